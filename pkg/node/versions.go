package node

import (
	"sync"

	"cassiawall.example/cassiawall/pkg/rollout"
)

// versionKey identifies a weights version of a model.
type versionKey struct{ model, version string }

// versionCounts counts this node's total and failed requests per weights version, from which a rollout
// detects a faulty version. Its size is bounded by the number of versions that engines have served
// since the process started.
type versionCounts struct {
	mu     sync.Mutex
	counts map[versionKey]rollout.Requests
}

func (v *versionCounts) add(model, version string, failed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.counts == nil {
		v.counts = map[versionKey]rollout.Requests{}
	}
	k := versionKey{model, version}
	c := v.counts[k]
	c.Total++
	if failed {
		c.Failed++
	}
	v.counts[k] = c
}

func (v *versionCounts) requests(model, version string) rollout.Requests {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts[versionKey{model, version}]
}
