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

// testEnv holds a dispatcher with two backend servers on loopback and an in-process object API.
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
	env := &testEnv{t: t, board: blackboard.New(), store: objects.NewStore(1), ledger: standin.NewLedger()}
	for i := range 2 {
		backend := standin.New(env.ledger, uint64(i))
		env.backends = append(env.backends, backend)
		env.addBackend(backend)
	}
	log, registry := slog.New(slog.DiscardHandler), metrics.New()
	guard := claims.New(claims.Options{Node: "n", Board: env.board, Store: env.store, Metrics: registry, Logger: log})
	// t.Context() is cancelled before cleanup functions run, so Close does not wait for outcomes that
	// cannot be recorded because of a simulated outage.
	t.Cleanup(func() { guard.Close(t.Context()) })
	env.dispatcher = New(Options{DataCentre: "dar-a", Board: env.board, Guard: guard, Metrics: registry, Logger: log})
	env.call = entry.ServiceCall{
		Workspace: &config.Workspace{Name: "school"},
		Service:   &config.Service{Name: "ratiba", Timeout: config.Duration(10 * time.Second)},
		Route:     &config.Route{Path: "/book", NonIdempotent: true},
	}
	return env
}

func (env *testEnv) addBackend(h http.Handler) {
	server := httptest.NewServer(h)
	env.t.Cleanup(server.Close)
	env.listeners = append(env.listeners, server)
	key := blackboard.ServiceKey{Service: "ratiba", Address: server.Listener.Addr().String()}
	env.board.Services.Put(key, blackboard.ServiceEntry{DataCentre: "dar-a", Reachable: true}, blackboard.Evidence{})
}

func (env *testEnv) setFaults(f standin.Faults) {
	for _, s := range env.backends {
		s.SetFaults(f)
	}
}

func (env *testEnv) do(method, path, key, body string) *httptest.ResponseRecorder {
	return env.doWith(env.t.Context(), method, path, key, body)
}

func (env *testEnv) doWith(ctx context.Context, method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	if key != "" {
		r.Header.Set(fault.HeaderIdempotencyKey, key)
	}
	env.requests++
	call := env.call
	call.RequestID = "req-" + string(rune('a'+env.requests))
	w := httptest.NewRecorder()
	env.dispatcher.Dispatch(w, r, call)
	assert.Equal(env.t, call.RequestID, w.Header().Get(fault.HeaderRequestID))
	return w
}

func (env *testEnv) book(key string) *httptest.ResponseRecorder {
	return env.do(http.MethodPost, "/book?slot=3", key, `{"teacher":"asha"}`)
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

// Guards against a non-idempotent call that runs twice, is lost, or fails with an error that
// misreports whether it ran. runs is the total number of runs of all keys.
func TestNonIdempotentCalls(t *testing.T) {
	cases := map[string]struct {
		runs int
		do   func(t *testing.T, env *testEnv)
		// doubles is the number of keys that the backend servers ran more than once.
		doubles int
	}{
		"repeat reads the record": {1, func(t *testing.T, env *testEnv) {
			first := env.book("k")
			assertResponse(t, first, "")
			second := env.book("k")
			assertResponse(t, second, "true")
			assert.Equal(t, first.Body.String(), second.Body.String())
		}, 0},
		"missing key": {0, func(t *testing.T, env *testEnv) {
			assertError(t, env.book(""), fault.IdempotencyKeyMissing, fault.NotRun)
		}, 0},
		"malformed key": {0, func(t *testing.T, env *testEnv) {
			assertError(t, env.book("two words"), fault.BadRequest, fault.NotRun)
		}, 0},
		"key derived from the body": {2, func(t *testing.T, env *testEnv) {
			env.call.Route.DeriveKey = true
			assertResponse(t, env.book(""), "")
			assertResponse(t, env.book(""), "true")
			assertResponse(t, env.do(http.MethodPost, "/book?slot=4", "", `{"teacher":"asha"}`), "")
		}, 0},
		"key used for another path": {1, func(t *testing.T, env *testEnv) {
			env.book("k")
			assertError(t, env.do(http.MethodPost, "/book?slot=4", "k", `{"teacher":"asha"}`), fault.IdempotencyConflict, fault.NotRun)
		}, 0},
		"keys of two workspaces": {2, func(t *testing.T, env *testEnv) {
			env.book("k")
			env.call.Workspace = &config.Workspace{Name: "other"}
			assertResponse(t, env.book("k"), "")
		}, 1},
		"answer lost": {1, func(t *testing.T, env *testEnv) {
			env.setFaults(standin.Faults{LostResponseShare: 1})
			assertError(t, env.book("k"), fault.OutcomeUnknown, fault.Unknown)
			env.setFaults(standin.Faults{})
			assertError(t, env.book("k"), fault.OutcomeUnknown, fault.Unknown)
		}, 0},
		"answer lost over a kept connection": {9, func(t *testing.T, env *testEnv) {
			for i := range 8 {
				assertResponse(t, env.book(fmt.Sprint("before", i)), "")
			}
			env.setFaults(standin.Faults{LostResponseShare: 1})
			assertError(t, env.book("k"), fault.OutcomeUnknown, fault.Unknown)
		}, 0},
		"backend crashes after the run": {2, func(t *testing.T, env *testEnv) {
			assertResponse(t, env.book("before"), "")
			env.setFaults(standin.Faults{CrashAfterExecutionShare: 1, CrashDuration: time.Hour})
			assertError(t, env.book("k"), fault.OutcomeUnknown, fault.Unknown)
			env.setFaults(standin.Faults{})
			assertError(t, env.book("k"), fault.OutcomeUnknown, fault.Unknown)
		}, 0},
		"backend refuses and says so": {1, func(t *testing.T, env *testEnv) {
			env.setFaults(standin.Faults{RefuseShare: 1})
			assertError(t, env.book("k"), fault.BackendUnavailable, fault.NotRun)
			env.setFaults(standin.Faults{})
			assertResponse(t, env.book("k"), "")
		}, 0},
		"backend answers 503 without saying whether it ran": {0, func(t *testing.T, env *testEnv) {
			env.setFaults(standin.Faults{RefuseWithoutWorkShare: 1})
			assert.Equal(t, http.StatusServiceUnavailable, env.book("k").Code)
			env.setFaults(standin.Faults{})
			assert.Equal(t, http.StatusServiceUnavailable, env.book("k").Code, "the recorded response is replayed and the call is not sent again")
		}, 0},
		"one backend down": {3, func(t *testing.T, env *testEnv) {
			env.listeners[0].Close()
			for _, key := range []string{"k1", "k2", "k3"} {
				assertResponse(t, env.book(key), "")
			}
		}, 0},
		"all backends down": {0, func(t *testing.T, env *testEnv) {
			env.listeners[0].Close()
			env.listeners[1].Close()
			w := env.book("k")
			assertError(t, w, fault.BackendUnavailable, fault.NotRun)
			assert.NotEmpty(t, w.Header().Get(fault.HeaderRetryAfter))
		}, 0},
		"object API down": {0, func(t *testing.T, env *testEnv) {
			env.store.SetFaults(objects.Faults{Outage: true})
			assertError(t, env.book("k"), fault.PlatformUnavailable, fault.NotRun)
		}, 0},
		"answer of the object API lost": {1, func(t *testing.T, env *testEnv) {
			env.store.SetFaults(objects.Faults{LostResponseShare: 1})
			assertResponse(t, env.book("k"), "")
			assertResponse(t, env.book("k"), "true")
		}, 0},
		"answer too large to record": {1, func(t *testing.T, env *testEnv) {
			env.setFaults(standin.Faults{PaddingBytes: 100_000})
			assertResponse(t, env.book("k"), "")
			assertError(t, env.book("k"), fault.OutcomeUnknown, fault.Run)
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			c.do(t, env)
			assert.Equal(t, c.runs, env.ledger.Executions().Total)
			assert.Equal(t, c.doubles, env.ledger.DuplicateExecutions())
		})
	}
}

// Guards against an outcome that is unknown only because the caller disconnected during the call.
func TestCallContinuesAfterCallerDisconnects(t *testing.T) {
	env := newTestEnv(t)
	env.board = blackboard.New()
	env.dispatcher.opt.Board = env.board
	started, release := make(chan struct{}), make(chan struct{})
	env.addBackend(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "booked")
	}))
	ctx, disconnect := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		env.doWith(ctx, http.MethodPost, "/book", "k", "")
	}()
	<-started
	disconnect()
	close(release)
	<-done
	repeat := env.do(http.MethodPost, "/book", "k", "")
	assertResponse(t, repeat, "true")
	assert.Equal(t, "booked", repeat.Body.String())
}

// Guards against a retry that can run a call twice, against a missing retry where it is safe, and
// against forwarding the caller's API key.
func TestIdempotentCalls(t *testing.T) {
	seen := make(chan http.Header, 10)
	abortingHandler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
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
			env := newTestEnv(t)
			env.call.Route = &config.Route{Path: "/slots"}
			env.board = blackboard.New()
			env.dispatcher.opt.Board = env.board
			for range 3 {
				env.addBackend(abortingHandler)
			}
			w := env.do(c.method, "/slots", "kept-key", "")
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

// Guards against reporting a call as not run although it ran: the backend server runs a call that
// arrived over a pooled connection, then closes the connection and its listener. The transport sends
// the call again, and only that second dial fails.
func TestTransportRetryKeepsUnknownOutcome(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			env := newTestEnv(t)
			env.call.Route = &config.Route{Path: "/slots"}
			env.board = blackboard.New()
			env.dispatcher.opt.Board = env.board
			var runs atomic.Int32
			env.addBackend(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/first" {
					return
				}
				runs.Add(1)
				assert.NoError(t, env.listeners[2].Listener.Close())
				panic(http.ErrAbortHandler)
			}))
			assert.Equal(t, http.StatusOK, env.do(http.MethodGet, "/first", "", "").Code)
			assertError(t, env.do(method, "/slots", "key", ""), fault.BackendFailed, fault.Unknown)
			assert.Equal(t, int32(1), runs.Load())
		})
	}
}

// Guards against reporting a call as not run because the second backend server is unreachable
// although the first one may have run it.
func TestUnreachableBackendKeepsUnknownOutcome(t *testing.T) {
	env := newTestEnv(t)
	env.call.Route = &config.Route{Path: "/slots"}
	localAddress, remoteAddress := env.listeners[0].Listener.Addr().String(), env.listeners[1].Listener.Addr().String()
	env.backends[0].SetFaults(standin.Faults{LostResponseShare: 1})
	env.listeners[1].Close()
	env.board.Services.Put(blackboard.ServiceKey{Service: "ratiba", Address: remoteAddress}, blackboard.ServiceEntry{DataCentre: "dar-b", Reachable: true}, blackboard.Evidence{})
	assertError(t, env.do(http.MethodGet, "/slots", "", ""), fault.BackendFailed, fault.Unknown)
	e, _ := env.board.Services.Get(blackboard.ServiceKey{Service: "ratiba", Address: remoteAddress})
	assert.False(t, e.Value.Reachable, "the second backend server was tried")
	e, _ = env.board.Services.Get(blackboard.ServiceKey{Service: "ratiba", Address: localAddress})
	assert.True(t, e.Value.Reachable)
}

// Guards against retries that multiply the load of failing backend servers.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	env := newTestEnv(t)
	env.call.Route = &config.Route{Path: "/slots"}
	env.setFaults(standin.Faults{LostResponseShare: 1})
	const calls = 20
	for range calls {
		assertError(t, env.do(http.MethodGet, "/slots", "", ""), fault.BackendFailed, fault.Unknown)
	}
	retries := env.ledger.Executions().Total - calls
	assert.Positive(t, retries)
	assert.LessOrEqual(t, retries, 1+calls/10)
}

// Guards against a truncated response that looks complete to the caller.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	env := newTestEnv(t)
	env.call.Route = &config.Route{Path: "/slots"}
	env.board = blackboard.New()
	env.dispatcher.opt.Board = env.board
	env.addBackend(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	}))
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { env.do(http.MethodGet, "/slots", "", "") })
}

// Guards against calls to a leaving or unreachable backend server while others are available, and
// against a service without backend servers because a wrong VM list marks all as leaving.
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

// Guards against a backend server that stays marked unreachable after it has recovered.
func TestProbeMarksBackendReachable(t *testing.T) {
	env := newTestEnv(t)
	address := env.listeners[0].Listener.Addr().String()
	env.dispatcher.setReachable("ratiba", address, false)
	env.dispatcher.probeUnreachable(t.Context())
	e, _ := env.board.Services.Get(blackboard.ServiceKey{Service: "ratiba", Address: address})
	assert.True(t, e.Value.Reachable)
}
