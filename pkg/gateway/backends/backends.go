// Package backends keeps the backend servers that this node may send requests to, with what the
// node has learned about each, and chooses one for a request.
package backends

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
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
func (b *Backend) sameGeneration(o *Backend) bool {
	return b.ID == o.ID && b.Address == o.Address && b.Service == o.Service && b.Started == o.Started
}

// member is a backend server with what this node has learned about its present run.
type member struct {
	Backend
	rendezvousHash uint64
	// short32 is the short form of the ID that a cachemap uses.
	idHash uint32
	pool   *exchange.Pool

	// long and short count this node's running requests by their expected time.
	ownLong, ownShort int
	// assigned is the last word of the holder of the lease, valid until assignedUntil.
	assignment       Assignment
	assignmentExpiry time.Time
	// learned holds versions that the engine has revealed and that its listing lacks.
	observedVersions map[string]int
	// pausedUntil keeps requests away, unless every other choice is worse.
	pausedUntil time.Time
	// unreachableUntil is the time until which the node reports that it cannot connect.
	unreachableUntil time.Time
	// loadingUntil keeps requests away while the engine takes new weights.
	loadingUntil time.Time
	score        score
	// doubtedAt is set while the entry is missing after an outage of the store.
	suspectSince time.Time
}

// version returns the highest version that the listing or an answer has shown. Weights of one run
// never go back.
func (m *member) version(model string) int {
	return max(m.Backend.version(model), m.observedVersions[model])
}

// Assignment is what the holder of the lease says of one engine.
type Assignment struct {
	// Long and Short are the running requests of all nodes.
	Long, Short int
	// Loading is set while the engine takes new weights.
	Loading bool
	// TakesLong is set if the engine should get requests that run for long.
	TakesLong bool
	// Down is set if several nodes cannot connect to the backend server.
	Down bool
}

// assignmentLife is the time after which the word of a silent holder no longer counts.
const assignmentTTL = 1500 * time.Millisecond

// Load is the number of this node's running requests at a backend server.
type Load struct {
	Backend     string
	Long, Short int
	// Unreachable is the number of nodes that cannot connect to the backend server.
	Unreachable int
}

// Registry is the set of known backend servers. It is safe for concurrent use.
type Registry struct {
	dataCentre string

	mu        sync.Mutex
	members   map[string]*member
	byService map[string][]*member
}

// NewRegistry returns an empty registry of a node in dataCentre.
func NewRegistry(dataCentre string) *Registry {
	return &Registry{dataCentre: dataCentre, members: map[string]*member{}, byService: map[string][]*member{}}
}

// Put adds or replaces a backend server. A new run starts with nothing learned and without
// connections. It reports whether anything but the heartbeat changed.
func (r *Registry) Put(b Backend) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.members[b.ID]
	if old != nil && old.sameGeneration(&b) {
		changed := old.Leaving != b.Leaving || !slices.Equal(old.Models, b.Models)
		old.Backend = b
		old.suspectSince = time.Time{}
		return changed
	}
	if old != nil {
		r.removeLocked(old)
	}
	m := &member{Backend: b, rendezvousHash: rendezvous.Hash(b.ID), idHash: cachemap.EngineHash(b.ID), pool: exchange.NewPool(b.Address), observedVersions: map[string]int{}}
	r.members[b.ID] = m
	list := append(r.byService[b.Service], m)
	slices.SortFunc(list, func(a, c *member) int { return cmp.Compare(a.ID, c.ID) })
	r.byService[b.Service] = list
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
	r.removeLocked(m)
	return true
}

func (r *Registry) removeLocked(m *member) {
	delete(r.members, m.ID)
	r.byService[m.Service] = slices.DeleteFunc(slices.Clone(r.byService[m.Service]), func(other *member) bool { return other == m })
	go m.pool.Close()
}

// Doubt marks backend servers that are missing from a list which followed an outage of the store.
func (r *Registry) MarkSuspect(ids []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if m := r.members[id]; m != nil && m.suspectSince.IsZero() {
			m.suspectSince = now
		}
	}
}

// RemoveDoubted drops backend servers whose entries did not come back within wait and returns
// their IDs.
func (r *Registry) RemoveSuspects(now time.Time, timeout time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for id, m := range r.members {
		if !m.suspectSince.IsZero() && now.Sub(m.suspectSince) >= timeout {
			r.removeLocked(m)
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

// Engine is an engine that serves a model.
type Engine struct {
	ID, Address string
	// Version is that of the model's weights.
	Version int
	// Long and Short are the requests that run on it.
	Long, Short int
	// Down is set if it cannot be connected to.
	Down bool
}

// Engines returns the engines that serve a model, leaving ones left out.
func (r *Registry) Engines(model string, now time.Time) []Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Engine
	for _, m := range r.members {
		if v := m.version(model); v > 0 && !m.Leaving && m.suspectSince.IsZero() {
			found = append(found, Engine{ID: m.ID, Address: m.Address, Version: v, Long: m.runningLong(now), Short: m.running(now) - m.runningLong(now), Down: m.isDown(now)})
		}
	}
	slices.SortFunc(found, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Learn notes a version that an engine's answer has shown.
func (r *Registry) ObserveVersion(id, model string, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil && version > m.version(model) {
		m.observedVersions[model] = version
	}
}

// Loading reports whether an engine of a service takes new weights.
func (r *Registry) Loading(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.byService[service], func(m *member) bool { return m.isLoading(now) })
}

// SetLoading keeps requests away from an engine until a time, while it takes new weights on an order of
// this node.
func (r *Registry) SetLoading(id string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil {
		m.loadingUntil = until
	}
}

// Unreachable keeps requests away from a backend server that could not be connected to, and tells the
// holder of the lease.
func (r *Registry) MarkUnreachable(id string, until time.Time) {
	r.Pause(id, until)
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil {
		m.unreachableUntil = until
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

// Loads returns this node's running requests.
func (r *Registry) Loads(now time.Time) []Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	var loads []Load
	for _, m := range r.members {
		l := Load{Backend: m.ID, Long: m.ownLong, Short: m.ownShort}
		if now.Before(m.unreachableUntil) {
			l.Unreachable = 1
		}
		if l.Long+l.Short+l.Unreachable > 0 {
			loads = append(loads, l)
		}
	}
	return loads
}

// Assign applies the word of the holder of the lease.
func (r *Registry) ApplyAssignments(assignments map[string]Assignment, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range assignments {
		if m := r.members[id]; m != nil {
			m.assignment, m.assignmentExpiry = a, now.Add(assignmentTTL)
		}
	}
}

// Learned returns the versions of engines' weights that their listings lack.
func (r *Registry) ObservedVersions() map[string][]Model {
	r.mu.Lock()
	defer r.mu.Unlock()
	learned := map[string][]Model{}
	for id, m := range r.members {
		for model, version := range m.observedVersions {
			if version > m.Backend.version(model) {
				learned[id] = append(learned[id], Model{Name: model, Version: version})
			}
		}
	}
	return learned
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
