package service

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	standin "cassiawall.example/cassiawall/pkg/standin/service"
)

// Guards against calls that are missing from the service-level report: completed calls, calls without
// a response, and calls whose response is truncated while it is relayed.
func TestOnResultReportsEachCall(t *testing.T) {
	env := newTestEnv(t)
	var results []Result
	env.dispatcher.opt.OnResult = func(r Result) { results = append(results, r) }
	env.book("k1")
	env.setFaults(standin.Faults{LostResponseShare: 1})
	env.book("k2")
	route := *env.call.Route
	route.NonIdempotent = false
	env.call.Route = &route
	for key := range env.board.Services.Snapshot() {
		env.board.Services.Delete(key)
	}
	env.addBackend(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("part"))
	}))
	assert.Panics(t, func() { env.do(http.MethodGet, "/list", "", "") })

	require.Len(t, results, 3)
	assert.Equal(t, Result{Workspace: "school", NonIdempotent: true}, results[0])
	assert.True(t, fault.Is(results[1].Err, fault.OutcomeUnknown))
	assert.False(t, results[2].NonIdempotent)
	assert.True(t, fault.Is(results[2].Err, fault.BackendFailed))
}
