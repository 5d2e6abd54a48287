// Package backends keeps the backend servers that this node may send requests to, with what the
// node has learned about each, and chooses one for a request.
package backends

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/exchange"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// Model is a model that an engine serves, with the version of its weights.
type Model struct {
	Name    string
	Version int
}

// Backend is a backend server as the platform lists it.
type Backend struct {
	// ID names one incarnation, except that an engine may start again under the same ID with a
	// later Started.
	ID      string
	Service string
	Address string
	// DataCentre is where the backend server runs.
	DataCentre string
	// Leaving is set once the backend server has announced that it will stop.
	Leaving bool
	// Started is the time of the start in Unix milliseconds, or 0 if it is not stated.
	Started int64
	Slots   int
	Models  []Model
}

// version returns the listed version of a model's weights, or 0.
func (b *Backend) version(model string) int {
	for _, m := range b.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

// sameRun reports whether two listings speak of the same start of the same backend server.
func (b *Backend) sameRun(o *Backend) bool {
	return b.ID == o.ID && b.Address == o.Address && b.Service == o.Service && b.Started == o.Started
}

// member is a backend server with what this node has learned about its present run.
type member struct {
	Backend
	hash uint64
	pool *exchange.Pool

	inflight int
	// learned holds versions that the engine has revealed and that its listing lacks.
	learned map[string]int
	// pausedUntil keeps requests away, unless every other choice is worse.
	pausedUntil time.Time
	// loadingUntil keeps requests away while the engine takes new weights.
	loadingUntil time.Time
	score        score
	// doubtedAt is set while the entry is missing after an outage of the store.
	doubtedAt time.Time
}

// version returns the highest version that the listing or an answer has shown. Weights of one run
// never go back.
func (m *member) version(model string) int {
	return max(m.Backend.version(model), m.learned[model])
}

// Registry is the set of known backend servers. It is safe for concurrent use.
type Registry struct {
	dataCentre string

	mu      sync.Mutex
	members map[string]*member
	service map[string][]*member
}

// NewRegistry returns an empty registry of a node in dataCentre.
func NewRegistry(dataCentre string) *Registry {
	return &Registry{dataCentre: dataCentre, members: map[string]*member{}, service: map[string][]*member{}}
}

// Put adds or replaces a backend server. A new run starts with nothing learned and without
// connections. It reports whether anything but the heartbeat changed.
func (r *Registry) Put(b Backend) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.members[b.ID]
	if old != nil && old.sameRun(&b) {
		changed := old.Leaving != b.Leaving || !slices.Equal(old.Models, b.Models)
		old.Backend = b
		old.doubtedAt = time.Time{}
		return changed
	}
	if old != nil {
		r.dropLocked(old)
	}
	m := &member{Backend: b, hash: rendezvous.Hash(b.ID), pool: exchange.NewPool(b.Address), learned: map[string]int{}}
	r.members[b.ID] = m
	list := append(r.service[b.Service], m)
	slices.SortFunc(list, func(a, c *member) int { return cmp.Compare(a.ID, c.ID) })
	r.service[b.Service] = list
	return true
}

// Remove drops a backend server. Running exchanges go on.
func (r *Registry) Remove(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	if m == nil {
		return false
	}
	r.dropLocked(m)
	return true
}

func (r *Registry) dropLocked(m *member) {
	delete(r.members, m.ID)
	r.service[m.Service] = slices.DeleteFunc(slices.Clone(r.service[m.Service]), func(x *member) bool { return x == m })
	go m.pool.Close()
}

// Doubt marks backend servers that are missing from a list which followed an outage of the store.
func (r *Registry) Doubt(ids []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if m := r.members[id]; m != nil && m.doubtedAt.IsZero() {
			m.doubtedAt = now
		}
	}
}

// RemoveDoubted drops backend servers whose entries did not come back within wait and returns
// their IDs.
func (r *Registry) RemoveDoubted(now time.Time, wait time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for id, m := range r.members {
		if !m.doubtedAt.IsZero() && now.Sub(m.doubtedAt) >= wait {
			r.dropLocked(m)
			gone = append(gone, id)
		}
	}
	return gone
}

// IDs returns the IDs of all known backend servers.
func (r *Registry) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.members))
	for id := range r.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Engines returns the backend servers that serve a model, leaving ones left out.
func (r *Registry) Engines(model string) []Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Backend
	for _, m := range r.members {
		if v := m.version(model); v > 0 && !m.Leaving && m.doubtedAt.IsZero() {
			b := m.Backend
			b.Models = []Model{{Name: model, Version: v}}
			found = append(found, b)
		}
	}
	slices.SortFunc(found, func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Learn notes a version that an engine's answer has shown.
func (r *Registry) Learn(id, model string, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil && version > m.version(model) {
		m.learned[model] = version
	}
}

// Loading keeps requests away from an engine until a time, while it takes new weights.
func (r *Registry) Loading(id string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil {
		m.loadingUntil = until
	}
}

// Pause keeps requests away from a backend server for a while.
func (r *Registry) Pause(id string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil && until.After(m.pausedUntil) {
		m.pausedUntil = until
	}
}

// Sweep ends idle connections whose time is over.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	pools := make([]*exchange.Pool, 0, len(r.members))
	for _, m := range r.members {
		pools = append(pools, m.pool)
	}
	r.mu.Unlock()
	for _, p := range pools {
		p.Sweep(now)
	}
}
