// Package backends keeps the backend servers that this node may send requests to, with the observed state of
// each, and picks one for a request.
package backends

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/exchange"
	"cassiawall.example/cassiawall/pkg/gateway/quota"
	"cassiawall.example/cassiawall/pkg/gateway/speed"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// Model is a model that an engine serves, with the version of its weights.
type Model struct {
	Name    string
	Version int
}

// Backend is a backend server as the platform lists it.
type Backend struct {
	// ID identifies one incarnation (a server process from start to exit), except that an engine may restart
	// under the same ID with a later Started.
	ID      string
	Service string
	Address string
	// DataCentre is where the backend server runs.
	DataCentre string
	// Leaving is set once the backend server has announced that it will stop.
	Leaving bool
	// Started is the time of the start in Unix milliseconds, or 0 if the listing does not state it.
	Started int64
	// Revision is that of the listing in the store.
	Revision int64
	// Heartbeat numbers what the server has said of itself since its start, or is 0 if the listing does not state it.
	Heartbeat int64
	// Slots is the number of requests that an engine runs at the same time.
	Slots  int
	Models []Model
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

// sameGeneration reports whether two listings describe the same backend server since the same start.
func (b *Backend) sameGeneration(other *Backend) bool {
	return b.ID == other.ID && b.Address == other.Address && b.Service == other.Service && b.Started == other.Started
}

// member is a backend server with the state that this node has observed since the server's last restart.
type member struct {
	Backend
	rendezvousHash uint64
	// dataCentreHash is the rendezvous hash of DataCentre.
	dataCentreHash uint64
	// idHash is the hash of the ID that a cachemap uses.
	idHash uint32
	// generationRevision is the revision of the first listing since the server's last restart that this node has received.
	generationRevision int64
	pool               *exchange.Pool

	// ownLong and ownShort count this node's running requests by their expected duration.
	ownLong, ownShort int
	// assignment is that of the last leader heartbeat, valid until assignmentExpiry.
	assignment       Assignment
	assignmentExpiry time.Time
	// versions are those of the models' weights, and newestHeartbeat is the highest Heartbeat of the listings.
	versions        map[string]knownVersion
	newestHeartbeat int64
	// pausedUntil is the time until which requests go to the server only if no other one is available.
	pausedUntil time.Time
	// unreachableUntil is the time until which the node reports that it cannot connect.
	unreachableUntil time.Time
	// loadingUntil is the time until which the engine gets no requests because it loads new weights.
	loadingUntil time.Time
	score        score
	// speedKey is the speed.Key, and speedFactor how many times longer than the others of its service an engine takes to
	// the first event of a prompt.
	speedKey    uint32
	speedFactor float64
	statements
	// suspectSince is set while the entry is missing after an outage of the store. relistedAt is set if the same entry has
	// been listed again since.
	suspectSince, relistedAt time.Time
	// suspectUntil is the time from which the server gets no request unless it is listed again, or zero if there is none.
	suspectUntil time.Time
}

// statements are what a backend server has stated in its responses since its start. Times are on the clock of clock.Now.
type statements struct {
	// knownSince is the time since which this node knows the server's present start.
	knownSince time.Time
	limit      quota.Server
	// statedLeavingAt is the time at which a response stated that the server will stop, and statedPauseUntil the time until
	// which it wants no requests from this node.
	statedLeavingAt, statedPauseUntil time.Time
}

// leaves reports whether the server's listing or one of its responses states that it will stop.
func (m *member) leaves() bool { return m.Leaving || !m.statedLeavingAt.IsZero() }

// Assignment is what the leader decides about one backend server. Heartbeats of earlier versions encode it as an
// array, so the order and types of its fields are a format.
type Assignment struct {
	// Long and Short are the running requests of all nodes.
	Long, Short int
	// Loading is set while the engine loads new weights.
	Loading bool
	// TakesLong is set if the engine should get long requests.
	TakesLong bool
	// Down is set if several nodes cannot connect to the backend server.
	Down bool
	// Leaving is set once the backend server has announced that it will stop.
	Leaving bool
	// Limited is set if the backend server states a limit of the rate of requests.
	Limited bool
}

// assignmentTTL is the time after which an assignment expires, from the time at which the leader read it.
const assignmentTTL = 1500 * time.Millisecond

// Load is the load of one node, or of all nodes, on a backend server. It is encoded as an array, so the order,
// number and types of its fields are the format.
type Load struct {
	Backend string
	// Long and Short count running requests by their expected duration.
	Long, Short int
	// Unreachable is the number of nodes that cannot connect to the backend server.
	Unreachable int
}

// Registry is the set of known backend servers. It is safe for concurrent use.
type Registry struct {
	dataCentre string

	mu sync.Mutex
	// loadAge is the time between two heartbeats of the leader.
	loadAge   time.Duration
	members   map[string]*member
	byService map[string][]*member
	// byHash holds the members by idHash.
	byHash map[uint32]*member
	// departed holds the last listings of servers that are no longer listed, by ID.
	departed map[string]*departure
	// drainLimit is set by SetDrainLimit.
	drainLimit time.Duration
	permits    permitState
}

// NewRegistry returns an empty registry of a node in dataCentre.
func NewRegistry(dataCentre string) *Registry {
	return &Registry{dataCentre: dataCentre, members: map[string]*member{}, byService: map[string][]*member{}, byHash: map[uint32]*member{}, departed: map[string]*departure{}, permits: permitState{demand: map[string]*quota.Meter{}}}
}

// SetLoadAge sets the time between two heartbeats of the leader, for the assignments that this node computes.
func (r *Registry) SetLoadAge(age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loadAge = age
}

// Put adds or replaces a backend server. If the server has restarted, its observed state is reset and its
// connections are closed. Put reports whether the server is new, has restarted or has changed Leaving or
// Models; it returns false for an entry that is only renewed, and for one of before the server left, which a store that
// was restored from a copy lists again.
func (r *Registry) Put(b Backend) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.departed[b.ID]; d != nil && d.precedes(b) {
		d.relist(b)
		return false
	}
	return r.putLocked(b)
}

func (r *Registry) putLocked(b Backend) bool {
	d := r.departed[b.ID]
	delete(r.departed, b.ID)
	old := r.members[b.ID]
	if old != nil && old.sameGeneration(&b) {
		// Within one start, a server that leaves never stays, whatever an older listing says.
		b.Leaving = b.Leaving || old.Leaving
		changed := old.Leaving != b.Leaving || !slices.Equal(old.Models, b.Models)
		relisted := !old.suspectSince.IsZero() && b.saysNothingNewerThan(&old.Backend)
		old.Backend = b
		old.applyListedVersions()
		if relisted {
			old.relistedAt = clock.Now()
		} else {
			old.suspectSince, old.suspectUntil = time.Time{}, time.Time{}
		}
		return changed
	}
	if old != nil {
		r.removeLocked(old)
	}
	m := &member{Backend: b, generationRevision: b.Revision, rendezvousHash: rendezvous.Hash(b.ID), dataCentreHash: rendezvous.Hash(b.DataCentre), idHash: cachemap.EngineHash(b.ID), speedKey: speed.Key(b.ID, b.Started), speedFactor: 1, pool: exchange.NewPool(b.Address), versions: map[string]knownVersion{}}
	m.applyListedVersions()
	if m.knownSince = clock.Now(); d.restores(&b) {
		m.statements = d.stated
	}
	r.members[b.ID], r.byHash[m.idHash] = m, m
	list := append(r.byService[b.Service], m)
	slices.SortFunc(list, func(a, c *member) int { return cmp.Compare(a.ID, c.ID) })
	r.byService[b.Service] = list
	return true
}

// Remove drops a backend server and reports whether it was known. Requests in progress continue.
func (r *Registry) Remove(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.departed[id]; d != nil {
		d.relisted = nil
	}
	m := r.members[id]
	if m == nil {
		return false
	}
	r.departLocked(m)
	return true
}

func (r *Registry) removeLocked(m *member) {
	delete(r.members, m.ID)
	if r.byHash[m.idHash] == m {
		delete(r.byHash, m.idHash)
	}
	r.byService[m.Service] = slices.DeleteFunc(slices.Clone(r.byService[m.Service]), func(other *member) bool { return other == m })
	go m.pool.Close()
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
	// Started is Backend.Started.
	Started int64
	// Version is that of the model's weights, and ListedVersion the one in the engine's listing.
	Version, ListedVersion int
	// Unconfirmed is set if Version is higher than ListedVersion and the engine has not stated it for some seconds.
	Unconfirmed bool
	// Long and Short are the requests that run on it.
	Long, Short int
	// Down is set if it cannot be connected to.
	Down bool
}

// Engines returns the engines that serve a model and are neither leaving nor suspect.
func (r *Registry) Engines(model string, now time.Time) []Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Engine
	for _, m := range r.members {
		if v := m.version(model); v > 0 && !m.leaves() && m.suspectSince.IsZero() {
			found = append(found, Engine{ID: m.ID, Address: m.Address, Started: m.Started, Version: v, ListedVersion: m.Backend.version(model), Unconfirmed: m.isUnconfirmed(model), Long: m.runningLong(now), Short: m.running(now) - m.runningLong(now), Down: m.isDown(now)})
		}
	}
	slices.SortFunc(found, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Loading reports whether an engine of a service loads new weights.
func (r *Registry) Loading(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.byService[service], func(m *member) bool { return m.isLoading(now) })
}

// SetLoading keeps requests away from an engine until a time, while it loads new weights as this node has
// ordered.
func (r *Registry) SetLoading(id string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil {
		m.loadingUntil = until
	}
}

// MarkUnreachable pauses a backend server that could not be connected to, and includes it in the loads
// reported to the leader, until a time.
func (r *Registry) MarkUnreachable(id string, until time.Time) {
	r.Pause(id, until)
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil {
		m.unreachableUntil = until
	}
}

// Pause keeps requests away from a backend server until a time, as long as others are available. It never
// shortens a pause.
func (r *Registry) Pause(id string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil && until.After(m.pausedUntil) {
		m.pausedUntil = until
	}
}

// Loads returns this node's running requests and the backend servers that it cannot connect to.
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

// ApplyAssignments stores the assignments of a heartbeat of an earlier version, by backend server ID.
func (r *Registry) ApplyAssignments(assignments map[string]Assignment, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range assignments {
		if m := r.members[id]; m != nil {
			m.assignment, m.assignmentExpiry = a, now.Add(assignmentTTL)
		}
	}
}

// Sweep closes connections that have been idle for too long.
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
