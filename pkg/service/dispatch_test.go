package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/controller/claims"
	"cassiawall.example/cassiawall/pkg/entry"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/standin/objects"
	standin "cassiawall.example/cassiawall/pkg/standin/service"
)

// testEnv is a dispatcher with two backend servers on loopback and an in-process object API.
type testEnv struct {
	t          *testing.T
	board      *blackboard.Board
	store      *objects.Store
	ledger     *standin.Ledger
	backends   []*standin.Server
	listeners  []*httptest.Server
	dispatcher *Dispatcher
	call       entry.ServiceCall
	requests   int
}

func newTestEnv(t *testing.T) *testEnv {
	b := &testEnv{t: t, board: blackboard.New(), store: objects.NewStore(1), ledger: standin.NewLedger()}
	for i := range 2 {
		backend := standin.New(b.ledger, uint64(i))
		b.backends = append(b.backends, backend)
		b.addBackend(backend)
	}
	log, registry := slog.New(slog.DiscardHandler), metrics.New()
	guard := claims.New(claims.Options{Node: "n", Board: b.board, Store: b.store, Metrics: registry, Logger: log})
	// The test's context has ended by then, so outcomes that wait for an outage are given up.
	t.Cleanup(func() { guard.Close(t.Context()) })
	b.dispatcher = New(Options{DataCentre: "dar-a", Board: b.board, Guard: guard, Metrics: registry, Logger: log})
	b.call = entry.ServiceCall{
		Workspace: &config.Workspace{Name: "school"},
		Service:   &config.Service{Name: "ratiba", Timeout: config.Duration(10 * time.Second)},
		Route:     &config.Route{Path: "/book", NonIdempotent: true},
	}
	return b
}

func (b *testEnv) addBackend(h http.Handler) {
	server := httptest.NewServer(h)
	b.t.Cleanup(server.Close)
	b.listeners = append(b.listeners, server)
	key := blackboard.ServiceKey{Service: "ratiba", Address: server.Listener.Addr().String()}
	b.board.Services.Put(key, blackboard.ServiceEntry{DataCentre: "dar-a", Reachable: true}, blackboard.Evidence{})
}

func (b *testEnv) setFaults(f standin.Faults) {
	for _, s := range b.backends {
		s.SetFaults(f)
	}
}

func (b *testEnv) do(method, path, key, body string) *httptest.ResponseRecorder {
	return b.doWith(b.t.Context(), method, path, key, body)
}

func (b *testEnv) doWith(ctx context.Context, method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	if key != "" {
		r.Header.Set(fault.HeaderIdempotencyKey, key)
	}
	b.requests++
	call := b.call
	call.RequestID = "req-" + string(rune('a'+b.requests))
	w := httptest.NewRecorder()
	b.dispatcher.Dispatch(w, r, call)
	assert.Equal(b.t, call.RequestID, w.Header().Get(fault.HeaderRequestID))
	return w
}

func (b *testEnv) book(key string) *httptest.ResponseRecorder {
	return b.do(http.MethodPost, "/book?slot=3", key, `{"teacher":"asha"}`)
}

func assertError(t *testing.T, w *httptest.ResponseRecorder, kind fault.Kind, work fault.Work) {
	t.Helper()
	var body fault.Body
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body), w.Body.String())
	assert.Equal(t, kind, body.Error.Kind, body.Error.Message)
	assert.Equal(t, work, body.Error.Work, body.Error.Message)
}

func assertResponse(t *testing.T, w *httptest.ResponseRecorder, replayed string) {
	t.Helper()
	assert.Equal(t, http.StatusOK, w.Code, w.Body.String())
	assert.Equal(t, replayed, w.Header().Get(fault.HeaderReplayed))
}

// Guards against a booking that runs twice, is lost, or is refused with a wrong statement about
// its work. runs is the number of runs of all keys at the end.
func TestNonIdempotentCalls(t *testing.T) {
	cases := map[string]struct {
		runs int
		do   func(t *testing.T, b *testEnv)
		// doubles counts the keys that the backend servers saw twice.
		doubles int
	}{
		"repeat reads the record": {1, func(t *testing.T, b *testEnv) {
			first := b.book("k")
			assertResponse(t, first, "")
			second := b.book("k")
			assertResponse(t, second, "true")
			assert.Equal(t, first.Body.String(), second.Body.String())
		}, 0},
		"missing key": {0, func(t *testing.T, b *testEnv) {
			assertError(t, b.book(""), fault.IdempotencyKeyMissing, fault.NotRun)
		}, 0},
		"malformed key": {0, func(t *testing.T, b *testEnv) {
			assertError(t, b.book("two words"), fault.BadRequest, fault.NotRun)
		}, 0},
		"key derived from the body": {2, func(t *testing.T, b *testEnv) {
			b.call.Route.DeriveKey = true
			assertResponse(t, b.book(""), "")
			assertResponse(t, b.book(""), "true")
			assertResponse(t, b.do(http.MethodPost, "/book?slot=4", "", `{"teacher":"asha"}`), "")
		}, 0},
		"key used for another path": {1, func(t *testing.T, b *testEnv) {
			b.book("k")
			assertError(t, b.do(http.MethodPost, "/book?slot=4", "k", `{"teacher":"asha"}`), fault.IdempotencyConflict, fault.NotRun)
		}, 0},
		"keys of two workspaces": {2, func(t *testing.T, b *testEnv) {
			b.book("k")
			b.call.Workspace = &config.Workspace{Name: "other"}
			assertResponse(t, b.book("k"), "")
		}, 1},
		"answer lost": {1, func(t *testing.T, b *testEnv) {
			b.setFaults(standin.Faults{LoseAnswer: 1})
			assertError(t, b.book("k"), fault.OutcomeUnknown, fault.Unknown)
			b.setFaults(standin.Faults{})
			assertError(t, b.book("k"), fault.OutcomeUnknown, fault.Unknown)
		}, 0},
		"answer lost over a kept connection": {9, func(t *testing.T, b *testEnv) {
			for i := range 8 {
				assertResponse(t, b.book(fmt.Sprint("before", i)), "")
			}
			b.setFaults(standin.Faults{LoseAnswer: 1})
			assertError(t, b.book("k"), fault.OutcomeUnknown, fault.Unknown)
		}, 0},
		"backend crashes after the run": {2, func(t *testing.T, b *testEnv) {
			assertResponse(t, b.book("before"), "")
			b.setFaults(standin.Faults{CrashAfterRun: 1, CrashFor: time.Hour})
			assertError(t, b.book("k"), fault.OutcomeUnknown, fault.Unknown)
			b.setFaults(standin.Faults{})
			assertError(t, b.book("k"), fault.OutcomeUnknown, fault.Unknown)
		}, 0},
		"backend refuses and says so": {1, func(t *testing.T, b *testEnv) {
			b.setFaults(standin.Faults{Refuse: 1})
			assertError(t, b.book("k"), fault.BackendUnavailable, fault.NotRun)
			b.setFaults(standin.Faults{})
			assertResponse(t, b.book("k"), "")
		}, 0},
		"backend answers 503 without saying whether it ran": {0, func(t *testing.T, b *testEnv) {
			b.setFaults(standin.Faults{RefuseSilently: 1})
			assert.Equal(t, http.StatusServiceUnavailable, b.book("k").Code)
			b.setFaults(standin.Faults{})
			assert.Equal(t, http.StatusServiceUnavailable, b.book("k").Code, "the record is kept, the work is not sent again")
		}, 0},
		"one backend down": {3, func(t *testing.T, b *testEnv) {
			b.listeners[0].Close()
			for _, key := range []string{"k1", "k2", "k3"} {
				assertResponse(t, b.book(key), "")
			}
		}, 0},
		"all backends down": {0, func(t *testing.T, b *testEnv) {
			b.listeners[0].Close()
			b.listeners[1].Close()
			w := b.book("k")
			assertError(t, w, fault.BackendUnavailable, fault.NotRun)
			assert.NotEmpty(t, w.Header().Get(fault.HeaderRetryAfter))
		}, 0},
		"object API down": {0, func(t *testing.T, b *testEnv) {
			b.store.SetFaults(objects.Faults{Outage: true})
			assertError(t, b.book("k"), fault.PlatformUnavailable, fault.NotRun)
		}, 0},
		"answer of the object API lost": {1, func(t *testing.T, b *testEnv) {
			b.store.SetFaults(objects.Faults{LostAnswers: 1})
			assertResponse(t, b.book("k"), "")
			assertResponse(t, b.book("k"), "true")
		}, 0},
		"answer too large to record": {1, func(t *testing.T, b *testEnv) {
			b.setFaults(standin.Faults{AnswerBytes: 100_000})
			assertResponse(t, b.book("k"), "")
			assertError(t, b.book("k"), fault.OutcomeUnknown, fault.Run)
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestEnv(t)
			c.do(t, b)
			assert.Equal(t, c.runs, b.ledger.Runs().Total)
			assert.Equal(t, c.doubles, b.ledger.DoubleRuns())
		})
	}
}

// Guards against an outcome that is unknown only because the caller left.
func TestCallContinuesAfterCallerDisconnects(t *testing.T) {
	b := newTestEnv(t)
	b.board = blackboard.New()
	b.dispatcher.opt.Board = b.board
	started, release := make(chan struct{}), make(chan struct{})
	b.addBackend(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "booked")
	}))
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.doWith(ctx, http.MethodPost, "/book", "k", "")
	}()
	<-started
	leave()
	close(release)
	<-done
	again := b.do(http.MethodPost, "/book", "k", "")
	assertResponse(t, again, "true")
	assert.Equal(t, "booked", again.Body.String())
}

// Guards against repeating a call where that can run it twice, against not repeating it where
// that is safe, and against passing the caller's API key on.
func TestIdempotentCalls(t *testing.T) {
	seen := make(chan http.Header, 10)
	lossy := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		panic(http.ErrAbortHandler)
	})
	cases := map[string]struct {
		method string
		sent   int
		work   fault.Work
	}{
		"a lost GET is retried once": {http.MethodGet, 2, fault.Unknown},
		"a lost POST is not":         {http.MethodPost, 1, fault.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestEnv(t)
			b.call.Route = &config.Route{Path: "/slots"}
			b.board = blackboard.New()
			b.dispatcher.opt.Board = b.board
			for range 3 {
				b.addBackend(lossy)
			}
			w := b.do(c.method, "/slots", "kept-key", "")
			assertError(t, w, fault.BackendFailed, c.work)
			assert.Len(t, seen, c.sent)
			for range len(seen) {
				h := <-seen
				assert.Empty(t, h.Get("Authorization"))
				assert.NotEmpty(t, h.Get(fault.HeaderRequestID))
			}
		})
	}
}

// Each case is a backend server that takes a call over a kept connection, runs it and is gone when
// the transport repeats it. Guards against taking the refused repeat for a call that was not run.
func TestTransportRetryKeepsUnknownOutcome(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			b := newTestEnv(t)
			b.call.Route = &config.Route{Path: "/slots"}
			b.board = blackboard.New()
			b.dispatcher.opt.Board = b.board
			var runs atomic.Int32
			b.addBackend(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/first" {
					return
				}
				runs.Add(1)
				assert.NoError(t, b.listeners[2].Listener.Close())
				panic(http.ErrAbortHandler)
			}))
			assert.Equal(t, http.StatusOK, b.do(http.MethodGet, "/first", "", "").Code)
			assertError(t, b.do(method, "/slots", "key", ""), fault.BackendFailed, fault.Unknown)
			assert.Equal(t, int32(1), runs.Load())
		})
	}
}

// Guards against a not_run from the second backend server after the first one may have run the call.
func TestUnreachableBackendKeepsUnknownOutcome(t *testing.T) {
	b := newTestEnv(t)
	b.call.Route = &config.Route{Path: "/slots"}
	near, far := b.listeners[0].Listener.Addr().String(), b.listeners[1].Listener.Addr().String()
	b.backends[0].SetFaults(standin.Faults{LoseAnswer: 1})
	b.listeners[1].Close()
	b.board.Services.Put(blackboard.ServiceKey{Service: "ratiba", Address: far}, blackboard.ServiceEntry{DataCentre: "dar-b", Reachable: true}, blackboard.Evidence{})
	assertError(t, b.do(http.MethodGet, "/slots", "", ""), fault.BackendFailed, fault.Unknown)
	e, _ := b.board.Services.Get(blackboard.ServiceKey{Service: "ratiba", Address: far})
	assert.False(t, e.Value.Reachable, "the second backend server was tried")
	e, _ = b.board.Services.Get(blackboard.ServiceKey{Service: "ratiba", Address: near})
	assert.True(t, e.Value.Reachable)
}

// Guards against retries that multiply the load of failing backend servers.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	b := newTestEnv(t)
	b.call.Route = &config.Route{Path: "/slots"}
	b.setFaults(standin.Faults{LoseAnswer: 1})
	const calls = 20
	for range calls {
		assertError(t, b.do(http.MethodGet, "/slots", "", ""), fault.BackendFailed, fault.Unknown)
	}
	retries := b.ledger.Runs().Total - calls
	assert.Positive(t, retries)
	assert.LessOrEqual(t, retries, 1+calls/10)
}

// Guards against an answer that was cut and looks complete to the caller.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	b := newTestEnv(t)
	b.call.Route = &config.Route{Path: "/slots"}
	b.board = blackboard.New()
	b.dispatcher.opt.Board = b.board
	b.addBackend(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	}))
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { b.do(http.MethodGet, "/slots", "", "") })
}

// Guards against work for a leaving or unreachable backend server while others are left, and
// against a pool that a wrong VM list empties.
func TestRankBackends(t *testing.T) {
	type entries map[string]blackboard.ServiceEntry
	cases := map[string]struct {
		entries entries
		want    []string
	}{
		"own data centre first": {entries{"far": {DataCentre: "dar-b", Reachable: true}, "near": {DataCentre: "dar-a", Reachable: true}}, []string{"near", "far"}},
		"unreachable last":      {entries{"near": {DataCentre: "dar-a"}, "far": {DataCentre: "dar-b", Reachable: true}}, []string{"far", "near"}},
		"leaving left out":      {entries{"a": {DataCentre: "dar-a", Reachable: true, Leaving: true}, "b": {DataCentre: "dar-b", Reachable: true}}, []string{"b"}},
		"all leaving":           {entries{"a": {DataCentre: "dar-a", Reachable: true, Leaving: true}}, []string{"a"}},
		"none":                  {entries{}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			board := blackboard.New()
			for address, e := range c.entries {
				board.Services.Put(blackboard.ServiceKey{Service: "s", Address: address}, e, blackboard.Evidence{})
			}
			board.Services.Put(blackboard.ServiceKey{Service: "other", Address: "x"}, blackboard.ServiceEntry{Reachable: true}, blackboard.Evidence{})
			var got []string
			for _, found := range rankBackends(board.Services.Snapshot(), "s", "dar-a", rand.New(rand.NewPCG(1, 0))) {
				got = append(got, found.address)
			}
			assert.Equal(t, c.want, got)
		})
	}
}

// Guards against a backend server that stays out of use after it has come back.
func TestProbeMarksBackendReachable(t *testing.T) {
	b := newTestEnv(t)
	address := b.listeners[0].Listener.Addr().String()
	b.dispatcher.setReachable("ratiba", address, false)
	b.dispatcher.probeUnreachable(t.Context())
	e, _ := b.board.Services.Get(blackboard.ServiceKey{Service: "ratiba", Address: address})
	assert.True(t, e.Value.Reachable)
}
