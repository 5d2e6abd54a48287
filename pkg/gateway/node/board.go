package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/gateway/peers"
)

// peerFetchDelay is the time for which another node must have newer objects before they are fetched from it.
// Most nodes receive the objects from the store within a few hundred milliseconds.
const peerFetchDelay = 400 * time.Millisecond

const (
	// minFollowerTimeout is the shortest time after a synced leader heartbeat for which this node stays a
	// follower, which relies on the leader instead of watching the store. Together with
	// leaderListInterval it bounds the delay of a change well below the platform's 2 s.
	minFollowerTimeout = 600 * time.Millisecond
	// followerTimeoutHeartbeats is the follower timeout in heartbeat intervals, which grow with the number
	// of nodes. It tolerates one lost heartbeat.
	followerTimeoutHeartbeats = 2.2
	// syncedTTL is the time after the store's last response for which a mirror counts as in sync with the
	// store.
	syncedTTL = 900 * time.Millisecond
	// minFetchInterval is the shortest time between fetches of one kind of objects.
	minFetchInterval = 120 * time.Millisecond
)

// board gives the link access to the node's state. It implements peers.Board.
type board struct {
	node *Node

	mu        sync.Mutex
	lagByKind map[string]lag
	// lastSyncedHeartbeat is the time of the last heartbeat of a leader, or response of a standby, that is
	// in sync with the store.
	lastSyncedHeartbeat time.Time
	nodeCount           int
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
}

var _ peers.Board = (*board)(nil)

// Loads implements peers.Board.
func (b *board) Loads() []backends.Load { return b.node.registry.Loads(time.Now()) }

// Revisions implements peers.Board.
func (b *board) Revisions() []peers.Revision {
	var revisions []peers.Revision
	for _, m := range b.node.mirrors {
		revisions = append(revisions, peers.Revision{Kind: m.Kind(), Revision: m.Revision()})
	}
	return revisions
}

// TakePrefixUpdates implements peers.Board.
func (b *board) TakePrefixUpdates() []byte { return b.node.prefixes.TakeUpdates() }

// MergePrefixUpdates implements peers.Board.
func (b *board) MergePrefixUpdates(prefixes []byte, relay bool) {
	b.node.prefixes.Merge(prefixes, relay, time.Now())
}

// BuildHeartbeat implements peers.Board.
func (b *board) BuildHeartbeat(nodes int, total map[string]backends.Load) peers.Heartbeat {
	heartbeat := peers.Heartbeat{
		Nodes: nodes, Synced: b.Synced(), CacheEpoch: b.node.prefixes.StoreEpoch(),
		Assignments: b.node.registry.ComputeAssignments(total, time.Now()),
	}
	heartbeat.Lease, heartbeat.LeaseVersion = b.node.controller.LeaseRecord()
	for id, models := range b.node.registry.ObservedVersions() {
		for _, m := range models {
			heartbeat.Versions = append(heartbeat.Versions, peers.Version{Backend: id, Model: m.Name, Version: m.Version})
		}
	}
	return heartbeat
}

// ApplyHeartbeat implements peers.Board.
func (b *board) ApplyHeartbeat(heartbeat peers.Heartbeat) {
	if heartbeat.Synced {
		b.mu.Lock()
		b.lastSyncedHeartbeat, b.nodeCount = time.Now(), heartbeat.Nodes
		b.mu.Unlock()
	}
	b.node.retryBudget.SetNodes(heartbeat.Nodes)
	b.node.controller.ObserveLease(heartbeat.Lease, heartbeat.LeaseVersion, time.Now())
	b.node.registry.ApplyAssignments(heartbeat.Assignments, time.Now())
	for _, v := range heartbeat.Versions {
		b.node.registry.ObserveVersion(v.Backend, v.Model, v.Version)
	}
	b.node.prefixes.SetStoreEpoch(heartbeat.CacheEpoch)
}

// isFollower reports whether the leader or a standby relays store changes to this node, so that it need not
// watch the store. It logs changes of the result.
func (b *board) isFollower() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	timeout := max(minFollowerTimeout, time.Duration(followerTimeoutHeartbeats*float64(peers.Interval(b.nodeCount))))
	if b.node.link.IsStandby() {
		timeout = peers.StandbyTimeout(b.nodeCount)
	}
	age := time.Since(b.lastSyncedHeartbeat)
	follower := age < timeout && !b.node.controller.ActingLeader()
	if follower != b.wasFollower {
		b.wasFollower = follower
		event.CoverageChanged.Emit(b.node.opt.Logger, "covered", follower, "holder", b.node.controller.Leader(),
			"word_age_ms", age.Milliseconds(), "nodes", b.nodeCount)
	}
	return follower
}

// RenewFollower implements peers.Board: it extends the time for which this node stays a follower.
func (b *board) RenewFollower() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastSyncedHeartbeat = time.Now()
}

// Synced implements peers.Board: it reports whether all mirrors are in sync with the store, so that this node
// can relay store changes to followers.
func (b *board) Synced() bool {
	for _, m := range b.node.mirrors {
		if !m.ReachedWithin(syncedTTL) {
			return false
		}
	}
	return true
}

// HandlePeerRevision implements peers.Board. It fetches newer objects of a kind at once if the leader or a standby
// relays them to this node, and from any other node after peerFetchDelay.
func (b *board) HandlePeerRevision(peer, kind string, revision int64, relayed bool) {
	m := b.node.mirrorByKind(kind)
	if m == nil {
		return
	}
	if m.Revision() >= revision {
		if relayed && b.isFollower() {
			m.MarkCurrent()
		}
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	l, ok := b.lagByKind[kind]
	if !ok || m.Revision() >= l.revision {
		l = lag{revision: revision, since: now, lastFetch: l.lastFetch}
	}
	if !l.fetching && now.Sub(l.lastFetch) >= minFetchInterval && (relayed || now.Sub(l.since) >= peerFetchDelay) {
		l.fetching, l.lastFetch = true, now
		go b.fetchFromPeer(peer, m, relayed)
	}
	b.lagByKind[kind] = l
}

// fetchFromPeer imports the objects that changed since the mirror's revision from a peer.
func (b *board) fetchFromPeer(peer string, m *mirror.Mirror, relayed bool) {
	content, err := b.node.fetcher.Fetch(context.Background(), peer, m.Kind(), m.Revision())
	imported := err == nil && m.Import(content, relayed)
	b.mu.Lock()
	l := b.lagByKind[m.Kind()]
	l.fetching = false
	b.lagByKind[m.Kind()] = l
	b.mu.Unlock()
	if err != nil {
		event.ObjectsNotFetched.Emit(b.node.opt.Logger, "kind", m.Kind(), "peer", peer, "error", err.Error())
		return
	}
	event.ObjectsFetched.Emit(b.node.opt.Logger, slog.String("kind", m.Kind()), slog.String("peer", peer),
		slog.Int64("revision", content.Revision), slog.Bool("newer", imported), slog.Bool("holder", relayed))
}

// mirrorByKind returns the mirror of a kind, or nil if there is none.
func (n *Node) mirrorByKind(kind string) *mirror.Mirror {
	for _, m := range n.mirrors {
		if m.Kind() == kind {
			return m
		}
	}
	return nil
}
