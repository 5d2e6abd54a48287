package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/objects"
)

const (
	// relayHeardTimeout is the time after the last message of the leader or a relay from which this node counts as isolated.
	// It is longer than the longest report interval, within which a relay replies.
	relayHeardTimeout = 1500 * time.Millisecond
	// leaseSpread bounds the random time by which a node that is neither a relay nor a seed waits longer before it competes for
	// the lease. A new leader's first heartbeat reaches the others within a small part of it.
	leaseSpread = 400 * time.Millisecond
	// maxSyncTime is the time from the first response after an outage within which a relay that is in sync again tells the
	// nodes that wait for it. syncCheckInterval is the time between checks.
	maxSyncTime       = time.Second
	syncCheckInterval = 20 * time.Millisecond
)

// storeClient is the store client of a node. It passes the result of each call to the node's board.
type storeClient struct {
	Store
	node *Node
}

// observe records the result of a call. An error that is a response shows that the store responds.
func (s *storeClient) observe(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	responds := err == nil || errors.Is(err, objects.ErrHistoryGone) || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Conflict)
	role := s.node.board.storeRole()
	if s.node.board.calls.Done(responds, role, time.Now()) {
		s.node.board.recordStoreReturn()
		if role == roleRelay {
			s.node.board.announceSync(maxSyncTime)
		}
	}
}

// List implements mirror.Source.
func (s *storeClient) List(ctx context.Context, kind string) ([]mirror.Entry, int64, error) {
	entries, revision, err := s.Store.List(ctx, kind)
	s.observe(err)
	return entries, revision, err
}

// Watch implements mirror.Source.
func (s *storeClient) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]mirror.Change, int64, error) {
	changes, next, err := s.Store.Watch(ctx, kind, after, wait)
	s.observe(err)
	return changes, next, err
}

// Era implements weights.LeaseStore. A node that has not called the store takes the era from the revisions that other nodes
// have relayed to it, so that it can compete for the lease. If the store was restored since then, the response to its first
// call tells it.
func (s *storeClient) Era() (era int64, known bool) {
	era, known = s.Store.Era()
	for _, m := range s.node.mirrors {
		if revision := m.Revision(); revision > 0 {
			era, known = max(era, objects.EraOf(revision)), true
		}
	}
	return era, known
}

// storeRole returns this node's present role.
func (b *board) storeRole() storeRole {
	switch {
	case b.node.controller.ActingLeader(), b.node.link.IsStandby():
		return roleRelay
	case clock.Since(b.node.link.RelayHeardAt()) < relayHeardTimeout:
		return roleWaiting
	default:
		return roleIsolated
	}
}

// mayCallStore reports whether a mirror may call the store now. It must then do so.
func (b *board) mayCallStore() bool { return !b.awaitsPeers() && b.calls.MayCall(time.Now()) }

// mayCompete reports whether this node may call the store to compete for the lease: always while it holds it, and else while
// the store is known to respond, to this node or to the relays. Nodes other than the relays begin after a random time, so
// that they do not all write at the moment at which the store returns.
func (b *board) mayCompete() bool {
	if b.node.controller.ActingLeader() {
		return true
	}
	responds := !b.awaitsPeers() && (b.isFollower() || b.calls.Responds())
	relay := b.storeRole() == roleRelay
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if !responds {
		b.competesFrom = time.Time{}
		return false
	}
	if b.competesFrom.IsZero() {
		b.competesFrom = now.Add(rand.N(leaseSpread))
	}
	return relay || !now.Before(b.competesFrom)
}

// isSeed reports whether this node is one of the seeds.
func (n *Node) isSeed() bool {
	return slices.Contains(n.opt.Settings.Seeds, n.opt.Settings.PeerAddress)
}

// recordRelayed records that changes of the store are relayed to this node from now on, or no longer. A relay that reaches the
// store again ends an outage that this node has seen.
func (b *board) recordRelayed(relayed bool) {
	if !relayed {
		b.calls.EndRelayed(b.storeRole(), time.Now())
	} else if b.calls.BeginRelayed(time.Now()) {
		b.recordStoreReturn()
	}
}

// recordStoreReturn records the end of an outage of the store in all mirrors: only the one whose calls were the probes has
// seen it.
func (b *board) recordStoreReturn() {
	for _, m := range b.node.mirrors {
		m.RecordRecovery()
	}
}

// announceSync tells the other nodes once all mirrors are in sync with the store again, if that takes less than a time. The
// nodes would otherwise learn it with their next report, and many would call the store until then.
func (b *board) announceSync(within time.Duration) {
	switch {
	case !b.Synced():
		if within > 0 {
			time.AfterFunc(syncCheckInterval, func() { b.announceSync(within - syncCheckInterval) })
		}
	case b.node.controller.ActingLeader():
		b.node.link.RequestHeartbeat()
	default:
		b.node.link.RequestUpdate()
	}
}
