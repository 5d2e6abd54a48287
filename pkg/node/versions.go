package node

import (
	"sync"

	"cassiawall.example/cassiawall/pkg/rollout"
)

// versionKey names a weights version of a model.
type versionKey struct{ model, version string }

// versionCounts counts this node's requests per weights version, so that a rollout can stop on
// errors. Its size is bounded by the versions that a model has had in the life of the process.
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
