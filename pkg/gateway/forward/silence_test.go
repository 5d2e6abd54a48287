package forward

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// startSilentEngine starts an engine whose first stream pauses after its first event. Every stream has four events and continues
// after the last one that the request names.
func startSilentEngine(t *testing.T, silence time.Duration) (b *fakeBackend, sends *atomic.Int64) {
	t.Helper()
	sends = &atomic.Int64{}
	return startWriter(t, func(c net.Conn, req *http.Request) {
		first := sends.Add(1) == 1
		writeStreamHead(c, req)
		after, _ := strconv.Atoi(req.Header.Get("After"))
		for n := after + 1; n <= 4; n++ {
			fmt.Fprintf(c, "id: %d\ndata: x\n\n", n)
			if first && n == after+1 {
				time.Sleep(silence)
			}
		}
	}), sends
}

// Guards against a stream that is cut because its engine is silent for a moment, although no other engine can continue it, and
// against a log that does not tell why the stream stayed.
func TestStreamOfSilentEngineIsKeptUntilAnotherCanContinueIt(t *testing.T) {
	const silence = streamIdleTimeout + 400*time.Millisecond
	tests := map[string]struct {
		engines  int
		change   func(*routes.Config, *Options)
		attempts int
		obstacle moveObstacle
	}{
		"only engine":       {1, nil, 2, obstacleNoBackend},
		"the other one too": {2, nil, 2, obstacleAttempts},
		"no attempt left":   {2, nil, 1, obstacleAttempts},
		"no retry budget": {2, func(_ *routes.Config, opt *Options) {
			opt.RetryBudget = NewRetryBudget(RetryBudgetLimits{Window: 10 * time.Second})
		}, 2, obstacleBudget},
		"the other one loads weights": {2, func(_ *routes.Config, opt *Options) {
			for i := range 2 {
				// The first send happens before.
				time.AfterFunc(300*time.Millisecond, func() { opt.Backends.SetLoading(fmt.Sprint("b", i), time.Now().Add(time.Minute)) })
			}
		}, 2, obstacleNoBackend},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var engines []*fakeBackend
			for range test.engines {
				engine, _ := startSilentEngine(t, silence)
				engines = append(engines, engine)
			}
			log := &logBuffer{}
			checkCompleteStream(t, test.attempts, func(c *routes.Config, opt *Options) {
				opt.Logger = slog.New(slog.NewJSONHandler(log, nil))
				if test.change != nil {
					test.change(c, opt)
				}
			}, engines...)
			lines := log.byEvent(t)
			idle, resumed := lines[event.StreamIdle.Number], lines[event.StreamResumed.Number]
			assert.Equal(t, string(test.obstacle), idle["obstacle"])
			assert.GreaterOrEqual(t, idle["idle_ms"], float64(streamIdleTimeout.Milliseconds()))
			assert.GreaterOrEqual(t, resumed["idle_ms"], idle["idle_ms"])
		})
	}
}

// checkCompleteStream sends a resumable stream and asserts that the client gets each of its events once.
func checkCompleteStream(t *testing.T, attempts int, change func(*routes.Config, *Options), engines ...*fakeBackend) {
	t.Helper()
	s := startGateway(t, routes.Stream, func(c *routes.Config, opt *Options) {
		c.Routes[0].Resumable, c.Routes[0].MaxAttempts, c.Routes[0].Timeout = true, attempts, 8*time.Second
		if change != nil {
			change(c, opt)
		}
	}, engines...)
	r := postRequest(t, s, "/p/x", http.Header{"Wait": {"7000"}})
	assert.NoError(t, r.err)
	assert.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n", r.body)
}

// blockingWriter is a response writer whose client does not read for a time after the first event.
type blockingWriter struct {
	*httptest.ResponseRecorder
	block   time.Duration
	blocked bool
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	if !w.blocked {
		w.blocked = true
		time.Sleep(w.block)
	}
	return w.ResponseRecorder.Write(p)
}

// Guards against a stream that leaves a sound engine because its client, not the engine, was slow: the events of the time in
// which the write to the client blocked have arrived and only have to be read.
func TestStreamOfSlowClientStaysAtItsEngine(t *testing.T) {
	t.Parallel()
	var sends atomic.Int64
	respond := func(c net.Conn, req *http.Request) {
		sends.Add(1)
		writeStreamHead(c, req)
		for n := 1; n <= 20; n++ {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: x\n\n", n); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	var handler http.Handler
	s := startGateway(t, routes.Stream, func(c *routes.Config, _ *Options) {
		c.Routes[0].Resumable, c.Routes[0].Timeout = true, 8*time.Second
	}, startWriter(t, respond), startWriter(t, respond))
	handler = s.Config.Handler
	req := httptest.NewRequest(http.MethodPost, "/p/x", strings.NewReader("body"))
	req.Host = "h"
	req.Header = http.Header{"Id": {"i1"}, "Wait": {"7000"}}
	handler.ServeHTTP(&blockingWriter{ResponseRecorder: httptest.NewRecorder(), block: streamIdleTimeout + 100*time.Millisecond}, req)
	assert.EqualValues(t, 1, sends.Load())
}
