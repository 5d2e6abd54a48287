package entry

import (
	"context"
	"sync"

	"cassiawall.example/cassiawall/pkg/fault"
)

// callerKey identifies a caller within a workspace.
type callerKey struct{ workspace, caller string }

// runningRequest is a request in progress that can be cancelled.
type runningRequest struct {
	id     string
	cancel context.CancelCauseFunc
}

// callerTable holds the latest request in progress of each caller, so that a newer request can
// cancel it. It is safe for concurrent use.
type callerTable struct {
	mu      sync.Mutex
	running map[callerKey]*runningRequest
}

func newCallerTable() *callerTable {
	return &callerTable{running: map[callerKey]*runningRequest{}}
}

// register makes r the caller's latest request and cancels the previous one with an error of kind
// fault.Superseded. unregister must be called when r has ended.
func (t *callerTable) register(k callerKey, r *runningRequest) (unregister func()) {
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
