package backends

import (
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/quota"
)

// ObserveLimit records what a backend server has stated about its limit in a response to a request that was sent at
// sentAt, and reports whether that has changed. It is ignored if the server has restarted since. started is the
// Backend.Started of the server that responded.
func (r *Registry) ObserveLimit(id string, started int64, statement quota.Statement, sentAt, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	return m != nil && m.Started == started && m.limit.Observe(statement, sentAt, now)
}

// Limited reports whether a backend server is known to state a limit.
func (r *Registry) Limited(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	return m != nil && m.limit.Limited()
}
