package entry

import (
	"context"
	"sync"

	"cassiawall.example/cassiawall/pkg/fault"
)

// callerKey names a caller inside a workspace.
type callerKey struct{ workspace, caller string }

// runningRequest is a caller's latest request.
type runningRequest struct {
	id     string
	cancel context.CancelCauseFunc
}

// callerTable knows the latest request of each caller, so that a retyped message can end the
// older one.
type callerTable struct {
	mu      sync.Mutex
	running map[callerKey]*runningRequest
}

func newCallerTable() *callerTable {
	return &callerTable{running: map[callerKey]*runningRequest{}}
}

// register makes the request the caller's latest and ends the older one. The returned function
// must be called when the request is over.
func (t *callerTable) register(k callerKey, r *runningRequest) (leave func()) {
	t.mu.Lock()
	older := t.running[k]
	t.running[k] = r
	t.mu.Unlock()
	if older != nil {
		older.cancel(fault.New(fault.Superseded, "a newer message of the same caller, request %s, replaces this one", r.id))
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.running[k] == r {
			delete(t.running, k)
		}
	}
}
