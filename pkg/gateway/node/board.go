package node

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/gateway/peers"
	"cassiawall.example/cassiawall/pkg/gateway/popularity"
	"cassiawall.example/cassiawall/pkg/gateway/quota"
)

// peerFetchDelay is the time for which another node must have newer objects before they are fetched from it.
// Most nodes receive the objects from the store within a few hundred milliseconds.
const peerFetchDelay = 400 * time.Millisecond

const (
	// minFollowerTimeout is the shortest time after a synced leader heartbeat for which this node stays a
	// follower, which relies on the leader instead of watching the store.
	minFollowerTimeout = 600 * time.Millisecond
	// followerTimeoutHeartbeats is the follower timeout in heartbeat intervals, which grow with the number
	// of nodes. It tolerates one lost heartbeat.
	followerTimeoutHeartbeats = 2.2
	// catchUpTime is the time from the end of the follower timeout until a node has listed the objects. The
	// follower timeout ends that long before Settings.ChangeDeadline.
	catchUpTime = 1400 * time.Millisecond
	// syncedTTL is the time after the last call of the store that was answered for which a mirror counts as in sync
	// with the store, if the store responds at once.
	syncedTTL = 900 * time.Millisecond
	// minFetchInterval is the shortest time between fetches of one kind of objects, and fetchIntervalPerNode
	// times the number of nodes if that is longer: a rollout changes objects all the time, and all nodes fetch
	// them from the leader.
	minFetchInterval     = 120 * time.Millisecond
	fetchIntervalPerNode = 2 * time.Millisecond
	// maxPushedBytes is the size of a mirror's content up to which the leader sends it in its messages.
	maxPushedBytes = 512
	// startWait is the time for which a starting node waits for the response of a peer that has objects before
	// it calls the store: a list of all objects takes many calls. startFetchWait is the time from that response
	// for the fetches and the leader's first heartbeat. firstStartWait replaces startWait at the first start of
	// all nodes, when the objects must reach each node from few others.
	startWait      = 800 * time.Millisecond
	startFetchWait = 400 * time.Millisecond
	firstStartWait = 3 * time.Second
)

// board gives the link access to the node's state. It implements peers.Board.
type board struct {
	node *Node
	// prefixTotals are in use while this node acts as the leader.
	prefixTotals *popularity.Totals

	announcerMu sync.Mutex
	announcer   *backends.Announcer

	distributorMu sync.Mutex
	// distributor is in use while this node acts as the leader.
	distributor *quota.Distributor

	mu sync.Mutex
	// awaitPeersUntil is the time until which this node does not call the store because its peers may have the
	// objects. peersHaveObjects is set once a peer has reported some.
	awaitPeersUntil  time.Time
	peersHaveObjects bool
	lagByKind        map[string]lag
	// lastSyncedHeartbeat is the last time at which the leader, or a standby that relays store changes to this
	// node, was known to be in sync with the store.
	lastSyncedHeartbeat time.Time
	nodeCount           int
	// calls decides when this node may call the store. competesFrom is the time from which it may compete for the lease, or
	// zero while the store is not known to respond.
	calls        *storeCalls
	competesFrom time.Time
	// wasFollower is the last result of isFollower, whose changes are logged.
	wasFollower bool
}

// lag records that this node's mirror of one kind of objects is older than a peer's.
type lag struct {
	// revision is the first newer revision that a peer reported, at the time since, and that the mirror has
	// not reached yet.
	revision  int64
	since     time.Time
	fetching  bool
	lastFetch time.Time
	// retrying is set while a fetch is scheduled that could not be made at once.
	retrying bool
	// fetchFailed is set if the last fetch from a peer that relays store changes failed. This node then calls the store
	// until it has reached revision.
	fetchFailed bool
}

var _ peers.Board = (*board)(nil)

func newBoard(n *Node) *board {
	b := &board{node: n, lagByKind: map[string]lag{}, announcer: backends.NewAnnouncer(), prefixTotals: popularity.NewTotals(), distributor: quota.NewDistributor(), calls: newStoreCalls()}
	s := n.opt.Settings
	isOther := func(seed string) bool { return seed != s.PeerAddress }
	// The seeds themselves, and at the first start the nodes that are suited as leaders, get the objects from
	// the store for the others.
	first := n.isSeed() || s.FirstStart && s.LinkMbps >= minLeaderLinkMbps
	if first || !slices.ContainsFunc(s.Seeds, isOther) {
		return b
	}
	wait := startWait
	if s.FirstStart {
		wait = firstStartWait
	}
	b.awaitPeersUntil = time.Now().Add(wait)
	return b
}

// awaitsPeers reports whether this node has just started and waits for objects from its peers.
func (b *board) awaitsPeers() bool {
	b.mu.Lock()
	until := b.awaitPeersUntil
	b.mu.Unlock()
	return time.Now().Before(until) && !b.node.controller.ActingLeader()
}

// extendWait lets a node that waits for its peers wait for the objects of one that has some.
func (b *board) extendWait() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.peersHaveObjects || !now.Before(b.awaitPeersUntil) {
		return
	}
	b.peersHaveObjects = true
	if until := now.Add(startFetchWait); until.After(b.awaitPeersUntil) {
		b.awaitPeersUntil = until
	}
}

// Loads implements peers.Board.
func (b *board) Loads() []backends.Load { return b.node.registry.Loads(time.Now()) }

// Revisions implements peers.Board.
func (b *board) Revisions() []peers.Revision {
	var revisions []peers.Revision
	for _, m := range b.node.mirrors {
		// The age is read first: a change in between must not count as known for longer than it is.
		age, known := m.CurrentAge()
		r := peers.Revision{Kind: m.Kind(), Revision: m.Revision(), AgeMS: peers.UnknownAge}
		if known {
			r.AgeMS = age.Milliseconds() + 1
		}
		revisions = append(revisions, r)
	}
	return revisions
}

// TakePrefixUpdates implements peers.Board.
func (b *board) TakePrefixUpdates() []byte { return b.node.prefixes.TakeUpdates() }

// MergePrefixUpdates implements peers.Board.
func (b *board) MergePrefixUpdates(prefixes []byte, relay bool) {
	b.node.prefixes.Merge(prefixes, relay, time.Now())
}

// TakeCounts implements peers.Board.
func (b *board) TakeCounts() []byte { return b.node.prefixCounts.Take() }

// AddCounts implements peers.Board.
func (b *board) AddCounts(counts []byte) { b.prefixTotals.Add(counts, time.Now()) }

// Frequent implements peers.Board.
func (b *board) Frequent() []byte { return b.prefixTotals.Frequent(time.Now()) }

// ApplyFrequent implements peers.Board.
func (b *board) ApplyFrequent(rates []byte) { b.node.prefixRates.Set(rates, time.Now()) }

// BuildHeartbeat implements peers.Board.
func (b *board) BuildHeartbeat(nodes int) peers.Heartbeat {
	b.node.registry.SetLoadAge(peers.Interval(nodes))
	heartbeat := peers.Heartbeat{Nodes: nodes, Synced: b.Synced(), StoreEpochs: b.node.prefixes.StoreEpochs()}
	heartbeat.Lease, heartbeat.LeaseVersion = b.node.controller.LeaseRecord()
	for id, models := range b.node.registry.ObservedVersions() {
		for _, m := range models {
			heartbeat.Versions = append(heartbeat.Versions, peers.Version{Backend: id, Model: m.Name, Version: m.Version})
		}
	}
	return heartbeat
}

// States implements peers.Board.
func (b *board) States(total map[string]backends.Load, scope peers.StateScope) []byte {
	states := b.node.registry.States(total, time.Now())
	b.setLimited(states)
	b.announcerMu.Lock()
	defer b.announcerMu.Unlock()
	switch scope {
	case peers.ForUpdate:
		states = b.announcer.SelectUpdates(states)
	case peers.ForHeartbeat:
		states = b.announcer.SelectHeartbeat(states)
	case peers.ForNewNode:
		states = states[:min(len(states), backends.MaxStates)]
	}
	return backends.EncodeStates(states)
}

// ApplyStates implements peers.Board.
func (b *board) ApplyStates(states []byte, revisions []peers.Revision, readAt time.Time) {
	now := time.Now()
	b.node.registry.ApplyStates(backends.DecodeStates(states), b.listingRevision(revisions), now.Add(-ageOf(readAt)), now)
}

// ageOf returns the age of content that was read at readAt, or 0 if that is not known.
func ageOf(readAt time.Time) time.Duration {
	if readAt.IsZero() {
		return 0
	}
	return clock.Since(readAt)
}

// listingRevision returns the revision of the listings of backend servers among revisions, or 0.
func (b *board) listingRevision(revisions []peers.Revision) int64 {
	for _, r := range revisions {
		if r.Kind == b.node.opt.Kinds.Backends {
			return r.Revision
		}
	}
	return 0
}

// SmallContents implements peers.Board.
func (b *board) SmallContents() []peers.KindContent {
	var contents []peers.KindContent
	for _, m := range b.node.mirrors {
		if size := m.Size(); size > 0 && size <= maxPushedBytes {
			contents = append(contents, peers.KindContent{Kind: m.Kind(), Content: m.Export(0)})
		}
	}
	return contents
}

// ImportContents implements peers.Board.
func (b *board) ImportContents(contents []peers.KindContent) {
	for _, c := range contents {
		if m := b.node.mirrorByKind(c.Kind); m != nil && m.Import(c.Content, true) {
			event.ObjectsFetched.Emit(b.node.opt.Logger, slog.String("kind", c.Kind), slog.String("peer", b.node.controller.Leader()),
				slog.Int64("revision", c.Content.Revision), slog.Bool("newer", true), slog.Bool("relayed", true))
		}
	}
}

// Lease implements peers.Board.
func (b *board) Lease() (record []byte, version uint64) { return b.node.controller.LeaseRecord() }

// ObserveLease implements peers.Board.
func (b *board) ObserveLease(record []byte, version uint64) {
	b.node.controller.ObserveLease(record, version, time.Now())
}

// ApplyHeartbeat implements peers.Board.
func (b *board) ApplyHeartbeat(heartbeat peers.Heartbeat, revisions []peers.Revision, readAt time.Time) {
	if heartbeat.Synced {
		b.mu.Lock()
		b.nodeCount = heartbeat.Nodes
		b.mu.Unlock()
		b.RenewFollower(readAt)
	} else if !b.node.controller.ActingLeader() {
		for _, m := range b.node.mirrors {
			m.MarkRelayInterrupted(readAt)
		}
	}
	if heartbeat.NodesSettled {
		b.node.retryBudget.SetNodes(heartbeat.Nodes, time.Now())
		b.node.registry.SetNodes(heartbeat.Nodes)
	}
	b.node.controller.ObserveLease(heartbeat.Lease, heartbeat.LeaseVersion, time.Now())
	b.node.registry.ApplyAssignments(heartbeat.Assignments, time.Now())
	listed := b.listingRevision(revisions)
	for _, v := range heartbeat.Versions {
		b.node.registry.ApplyVersion(v.Backend, v.Model, v.Version, listed)
	}
	for _, s := range heartbeat.StoreEpochs {
		b.node.prefixes.SetStoreEpoch(s.Address, s.Epoch, time.Now())
	}
}

// isFollower reports whether the leader or a standby relays store changes to this node, so that it need not
// watch the store. It logs changes of the result.
func (b *board) isFollower() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	timeout := max(minFollowerTimeout, time.Duration(followerTimeoutHeartbeats*float64(peers.Interval(b.nodeCount))),
		b.node.opt.Settings.ChangeDeadline-catchUpTime)
	if b.node.link.IsStandby() {
		timeout = peers.StandbyTimeout(b.nodeCount)
	}
	age := clock.Since(b.lastSyncedHeartbeat)
	follower := age < timeout && !b.node.controller.ActingLeader()
	if follower != b.wasFollower {
		b.wasFollower = follower
		event.CoverageChanged.Emit(b.node.opt.Logger, "follower", follower, "leader", b.node.controller.Leader(),
			"heartbeat_age_ms", age.Milliseconds(), "nodes", b.nodeCount)
		b.recordRelayed(follower)
		if !follower && b.node.link.IsStandby() {
			b.node.controller.RecheckLease()
		}
	}
	return follower
}

// isRelayed reports whether the changes of one kind of objects reach this node from the leader or a standby, so that its
// mirror need not call the store. They do not if the messages arrive and the fetches fail.
func (b *board) isRelayed(m *mirror.Mirror) bool {
	if !b.isFollower() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.lagByKind[m.Kind()]
	return !l.fetchFailed || m.CompleteRevision() >= l.revision
}

// RenewFollower implements peers.Board: it extends the time for which this node stays a follower.
func (b *board) RenewFollower(readAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if readAt.After(b.lastSyncedHeartbeat) {
		b.lastSyncedHeartbeat = readAt
	}
}

// Synced implements peers.Board: it reports whether all mirrors are in sync with the store, so that this node
// can relay store changes to followers.
func (b *board) Synced() bool {
	for _, m := range b.node.mirrors {
		if !m.InSync(syncedTTL) {
			return false
		}
	}
	return true
}

// HandlePeerRevision implements peers.Board. It fetches newer objects of a kind at once if the leader or a standby
// relays them to this node or this node has just started, and from any other node after peerFetchDelay.
func (b *board) HandlePeerRevision(peer, kind string, revision int64, relayed bool, currentAt time.Time) {
	m := b.node.mirrorByKind(kind)
	if m == nil {
		return
	}
	held := m.Revision
	if relayed {
		held = m.CompleteRevision
	}
	if held() >= revision {
		if relayed {
			m.MarkCurrent(peer, currentAt)
		}
		return
	}
	b.extendWait()
	awaiting := b.awaitsPeers()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	l, ok := b.lagByKind[kind]
	if !ok || held() >= l.revision {
		l = lag{revision: revision, since: now, lastFetch: l.lastFetch, retrying: l.retrying}
	}
	interval := max(minFetchInterval, time.Duration(b.nodeCount)*fetchIntervalPerNode)
	due := relayed || awaiting || now.Sub(l.since) >= peerFetchDelay
	if !l.fetching && now.Sub(l.lastFetch) >= interval && due {
		l.fetching, l.lastFetch = true, now
		go b.node.guard().Run("fetch from a peer", func() { b.fetchFromPeer(peer, m, relayed) })
	} else if relayed && !l.retrying {
		// Without another message, the last of several changes would be fetched with the next heartbeat only.
		l.retrying = true
		time.AfterFunc(max(interval-now.Sub(l.lastFetch), minFetchInterval), func() { b.retryFetch(peer, kind, revision) })
	}
	b.lagByKind[kind] = l
}
