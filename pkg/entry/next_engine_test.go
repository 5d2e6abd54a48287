package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/routing"
)

// crashingEngine cuts its only stream after one chunk and age, and does not answer afterwards.
type crashingEngine struct {
	fakeEngine
	age time.Duration
}

func (c *crashingEngine) Generate(_ context.Context, r *engine.Request) (engine.Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
	if len(c.requests) > 1 {
		return nil, fault.New(fault.EngineFailed, "the engine did not answer")
	}
	return &crashingStream{id: r.ID, age: c.age}, nil
}

type crashingStream struct {
	id      string
	age     time.Duration
	started bool
}

func (s *crashingStream) Next() (engine.Chunk, error) {
	if !s.started {
		s.started = true
		c := twoChunks()[0]
		c.RequestID = s.id
		return c, nil
	}
	time.Sleep(s.age)
	return engine.Chunk{}, fault.New(fault.StreamBroken, "the stream was cut").WithWork(fault.Run)
}

func (s *crashingStream) Close() error { return nil }

// continuingEngine continues responses at their offset.
type continuingEngine struct{ fakeEngine }

func (c *continuingEngine) Generate(ctx context.Context, r *engine.Request) (engine.Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
	return &fakeStream{ctx: ctx, engine: &c.fakeEngine, id: r.ID, next: r.ResumeOffset}, nil
}

// refusingRouter refuses the requests for which refuse returns an error.
type refusingRouter struct {
	routing.Router
	refuse func(r *routing.Request) error
	routed int
}

func (r *refusingRouter) Route(ctx context.Context, req *routing.Request) (routing.Slot, error) {
	r.routed++
	if err := r.refuse(req); err != nil {
		return nil, err
	}
	return r.Router.Route(ctx, req)
}

const crashAge = 2 * time.Second

// crashServer returns a server of the engines e1, which crashes, and e2, and its router.
func crashServer(t *testing.T, age time.Duration) (*Server, *refusingRouter) {
	t.Helper()
	first, second := &crashingEngine{age: age}, &continuingEngine{fakeEngine{chunks: twoChunks()}}
	s := testServer(t, &fakeEngine{})
	router := &refusingRouter{Router: s.opt.Router, refuse: func(*routing.Request) error { return nil }}
	s.opt.Router = router
	s.opt.Engines = func(address string) engine.Generator {
		return map[string]engine.Generator{"a1": first, "a2": second}[address]
	}
	return s, router
}

// addSecondEngine adds e2 to the board. Until then all requests go to e1.
func addSecondEngine(s *Server) {
	e, _ := s.opt.Board.Engines.Get("e1")
	e.Value.ID, e.Value.Address = "e2", "a2"
	s.opt.Board.Engines.Put("e2", e.Value, blackboard.Evidence{})
}

// Guards against a begun response that is cut because no engine can take it at that moment, or because the deadline of its
// first token has passed, although another engine takes it a moment later.
func TestBegunResponseWaitsForTheNextEngine(t *testing.T) {
	const unavailable = 3 * time.Second
	cases := map[string]struct {
		age    time.Duration
		refuse func(since time.Duration, r *routing.Request) error
		spend  bool
	}{
		"first-token deadline passed": {age: 2 * time.Minute, refuse: func(_ time.Duration, r *routing.Request) error {
			if !time.Now().Before(r.Deadline) {
				return fault.New(fault.DeadlineUnreachable, "the deadline passed while the request was queued")
			}
			return nil
		}},
		"no engine reachable": {age: crashAge, refuse: func(since time.Duration, _ *routing.Request) error {
			if since < unavailable {
				return fault.New(fault.NoEngine, "engine e2 leaves or is unreachable")
			}
			return nil
		}},
		"queues full": {age: crashAge, refuse: func(since time.Duration, _ *routing.Request) error {
			if since < unavailable {
				return fault.New(fault.Overloaded, "the queue of engine e2 is full").WithRetryAfter(time.Second)
			}
			return nil
		}},
		"engines paused": {age: crashAge, refuse: func(since time.Duration, _ *routing.Request) error {
			if since < unavailable {
				return fault.New(fault.EnginesPaused, "the engines have asked for a pause").WithRetryAfter(unavailable)
			}
			return nil
		}},
		"retry budget spent": {age: time.Millisecond, spend: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, router := crashServer(t, c.age)
				startedAt := time.Now()
				router.refuse = func(r *routing.Request) error {
					if router.routed > 1 && c.refuse != nil {
						return c.refuse(time.Since(startedAt)-c.age, r)
					}
					return nil
				}
				time.AfterFunc(c.age/2, func() { addSecondEngine(s) })
				for granted := c.spend; granted; {
					_, granted = s.retries.retryDelay(time.Now(), false, 0)
				}
				w := post(t.Context(), s, testKey, "/v1/completions", `{"model":"lugha","prompt":"slot?","stream":true}`)
				require.Equal(t, http.StatusOK, w.Code)
				assert.Contains(t, w.Body.String(), `"text":"ri"`)
				assert.Contains(t, w.Body.String(), "[DONE]")
				assert.Less(t, time.Since(startedAt), c.age+continuationTimeout)
			})
		})
	}
}

// Guards against a begun response that waits without end for an engine, or at all although no engine is left that has not
// failed it.
func TestBegunResponseWithoutNextEngineEnds(t *testing.T) {
	for name, c := range map[string]struct {
		second bool
		want   time.Duration
	}{"engine that takes no request": {true, continuationTimeout}, "no other engine": {false, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, router := crashServer(t, crashAge)
				router.refuse = func(*routing.Request) error {
					if router.routed > 1 {
						return fault.New(fault.Overloaded, "the queue of engine e2 is full")
					}
					return nil
				}
				if c.second {
					time.AfterFunc(crashAge/2, func() { addSecondEngine(s) })
				}
				startedAt := time.Now()
				w := post(t.Context(), s, testKey, "/v1/completions", `{"model":"lugha","prompt":"slot?","stream":true}`)
				assert.InDelta(t, c.want.Seconds(), (time.Since(startedAt) - crashAge).Seconds(), 1)
				assert.Contains(t, w.Body.String(), "event: error")
				assert.Contains(t, w.Body.String(), `"work":"run"`)
				assert.NotContains(t, w.Body.String(), "[DONE]")
			})
		})
	}
}

// Guards against a begun stream that ends with an error because the engine that is to continue it refuses it once, although it
// would take it a moment later.
func TestBegunStreamIsContinuedAfterRefusals(t *testing.T) {
	var sends atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/completions" {
			return
		}
		id := r.Header.Get(engine.HeaderRequestID)
		switch n := sends.Add(1); {
		case n == 1:
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprintf(w, `data: {"id":%q,"seq":0,"tokens":1,"choices":[{"text":"haba"}]}`+"\n\n", id)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case n <= 3:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		default:
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprintf(w, `data: {"id":%q,"seq":1,"tokens":1,"choices":[{"text":"ri","finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n", id)
		}
	}))
	defer server.Close()
	s := testServer(t, &fakeEngine{})
	s.opt.Engines = func(string) engine.Generator { return engine.NewClient(server.URL, server.Client()) }
	e, _ := s.opt.Board.Engines.Get("e1")
	e.Value.ID = "e2"
	s.opt.Board.Engines.Put("e2", e.Value, blackboard.Evidence{})
	w := post(t.Context(), s, testKey, "/v1/completions", `{"model":"lugha","prompt":"slot?","stream":true}`)
	assert.NotContains(t, w.Body.String(), `"error"`)
}
