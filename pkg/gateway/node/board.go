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

// behindFor is the time for which another node must be ahead before its objects are fetched. The
// store brings them to most nodes by itself within a few hundred milliseconds.
const peerFetchDelay = 400 * time.Millisecond

const (
	// coveredFor is the least time since a holder's word for which it covers for this node. With the
	// holder's own lists it bounds how late a node is, well below the platform's 2 s.
	minFollowerTimeout = 600 * time.Millisecond
	// coveredWords is that time in words of the holder, which are rarer with many nodes. One may be
	// lost.
	followerTimeoutHeartbeats = 2.2
	// freshFor is the time since the store's last answer for which a holder covers for others.
	syncedTTL = 900 * time.Millisecond
	// fetchEvery is the least time between fetches of one kind.
	minFetchInterval = 120 * time.Millisecond
)

// board connects the link to what the node knows. It implements peers.Board.
type board struct {
	node *Node

	mu      sync.Mutex
	lagging map[string]lag
	// coveredAt is the time of the last word of a holder, or answer of a deputy, that follows the store
	// closely.
	lastSyncedHeartbeat time.Time
	nodeCount           int
	// wasCovered is the last answer of covered, of which changes are logged.
	wasFollower bool
}

// lag is the time since which this node has been behind in one kind of objects.
type lag struct {
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
func (b *board) MergePrefixUpdates(prefixes []byte, passOn bool) {
	b.node.prefixes.Merge(prefixes, passOn, time.Now())
}

// BuildHeartbeat implements peers.Board.
func (b *board) BuildHeartbeat(nodes int, total map[string]backends.Load) peers.Heartbeat {
	w := peers.Heartbeat{
		Nodes: nodes, Synced: b.Synced(), CacheEpoch: b.node.prefixes.StoreEpoch(),
		Assignments: b.node.registry.ComputeAssignments(total, time.Now()),
	}
	w.Lease, w.LeaseVersion = b.node.controller.LeaseRecord()
	for id, models := range b.node.registry.ObservedVersions() {
		for _, m := range models {
			w.Versions = append(w.Versions, peers.Version{Backend: id, Model: m.Name, Version: m.Version})
		}
	}
	return w
}

// ApplyHeartbeat implements peers.Board.
func (b *board) ApplyHeartbeat(w peers.Heartbeat) {
	if w.Synced {
		b.mu.Lock()
		b.lastSyncedHeartbeat, b.nodeCount = time.Now(), w.Nodes
		b.mu.Unlock()
	}
	b.node.retryBudget.SetNodes(w.Nodes)
	b.node.controller.ObserveLease(w.Lease, w.LeaseVersion, time.Now())
	b.node.registry.ApplyAssignments(w.Assignments, time.Now())
	for _, v := range w.Versions {
		b.node.registry.ObserveVersion(v.Backend, v.Model, v.Version)
	}
	b.node.prefixes.SetStoreEpoch(w.CacheEpoch)
}

// covered reports whether the holder of the lease tells this node of changes in the store.
func (b *board) isFollower() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	within := max(minFollowerTimeout, time.Duration(followerTimeoutHeartbeats*float64(peers.Interval(b.nodeCount))))
	if b.node.link.IsStandby() {
		within = peers.StandbyTimeout(b.nodeCount)
	}
	age := time.Since(b.lastSyncedHeartbeat)
	covered := age < within && !b.node.controller.ActingLeader()
	if covered != b.wasFollower {
		b.wasFollower = covered
		event.CoverageChanged.Emit(b.node.opt.Logger, "covered", covered, "holder", b.node.controller.Leader(),
			"word_age_ms", age.Milliseconds(), "nodes", b.nodeCount)
	}
	return covered
}

// RenewFollower implements peers.Board.
func (b *board) RenewFollower() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastSyncedHeartbeat = time.Now()
}

// Synced implements peers.Board: it reports whether this node follows the store closely enough to cover for
// others.
func (b *board) Synced() bool {
	for _, m := range b.node.mirrors {
		if !m.ReachedWithin(syncedTTL) {
			return false
		}
	}
	return true
}

// HandlePeerRevision implements peers.Board. It fetches the objects of a kind from a holder of the lease at once
// and from another node if that stays ahead.
func (b *board) HandlePeerRevision(peer, kind string, revision int64, holder bool) {
	m := b.node.mirrorByKind(kind)
	if m == nil {
		return
	}
	if m.Revision() >= revision {
		if holder && b.isFollower() {
			m.MarkCurrent()
		}
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	l, ok := b.lagging[kind]
	if !ok || m.Revision() >= l.revision {
		l = lag{revision: revision, since: now, lastFetch: l.lastFetch}
	}
	if !l.fetching && now.Sub(l.lastFetch) >= minFetchInterval && (holder || now.Sub(l.since) >= peerFetchDelay) {
		l.fetching, l.lastFetch = true, now
		go b.fetchFromPeer(peer, m, holder)
	}
	b.lagging[kind] = l
}

func (b *board) fetchFromPeer(peer string, m *mirror.Mirror, holder bool) {
	content, err := b.node.fetcher.Fetch(context.Background(), peer, m.Kind(), m.Revision())
	imported := err == nil && m.Import(content, holder)
	b.mu.Lock()
	l := b.lagging[m.Kind()]
	l.fetching = false
	b.lagging[m.Kind()] = l
	b.mu.Unlock()
	if err != nil {
		event.ObjectsNotFetched.Emit(b.node.opt.Logger, "kind", m.Kind(), "peer", peer, "error", err.Error())
		return
	}
	event.ObjectsFetched.Emit(b.node.opt.Logger, slog.String("kind", m.Kind()), slog.String("peer", peer),
		slog.Int64("revision", content.Revision), slog.Bool("newer", imported), slog.Bool("holder", holder))
}

// mirrorOf returns the mirror of a kind, or nil.
func (n *Node) mirrorByKind(kind string) *mirror.Mirror {
	for _, m := range n.mirrors {
		if m.Kind() == kind {
			return m
		}
	}
	return nil
}
