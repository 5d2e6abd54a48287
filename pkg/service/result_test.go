package service

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	standin "cassiawall.example/cassiawall/pkg/standin/service"
)

// Guards against calls that the report on service levels does not see: answered ones, lost ones,
// and answers that are cut while they are relayed.
func TestOnResultReportsEachCall(t *testing.T) {
	b := newTestEnv(t)
	var results []Result
	b.dispatcher.opt.OnResult = func(r Result) { results = append(results, r) }
	b.book("k1")
	b.setFaults(standin.Faults{LoseAnswer: 1})
	b.book("k2")
	route := *b.call.Route
	route.NonIdempotent = false
	b.call.Route = &route
	for key := range b.board.Services.Snapshot() {
		b.board.Services.Delete(key)
	}
	b.addBackend(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("part"))
	}))
	assert.Panics(t, func() { b.do(http.MethodGet, "/list", "", "") })

	require.Len(t, results, 3)
	assert.Equal(t, Result{Workspace: "school", NonIdempotent: true}, results[0])
	assert.True(t, fault.Is(results[1].Err, fault.OutcomeUnknown))
	assert.False(t, results[2].NonIdempotent)
	assert.True(t, fault.Is(results[2].Err, fault.BackendFailed))
}
