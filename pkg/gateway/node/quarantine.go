package node

import (
	"context"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/forward"
	"cassiawall.example/cassiawall/pkg/gateway/quarantine"
	"cassiawall.example/cassiawall/pkg/wait"
)

// newQuarantine returns the node's quarantine, which tells the other nodes of new evidence.
func (n *Node) newQuarantine() *forward.Quarantine {
	return forward.NewQuarantine(forward.QuarantineOptions{
		Node: n.opt.Settings.PeerAddress, MayTry: func() bool { return n.controller.ActingLeader() },
		Announce: func() { n.link.AnnounceEvidence() }, Now: clock.Now, Logger: n.opt.Logger,
	})
}

// keepQuarantine keeps the quarantined parts in the platform's store until ctx ends.
func (n *Node) keepQuarantine(ctx context.Context) {
	k := &quarantineKeeper{
		store: n.opt.Store, quarantine: n.quarantine, holdsLease: n.controller.HoldsLease,
		readsAtStart: n.isSeed(),
		announce:     func() { n.link.AnnounceEvidence() }, logger: n.opt.Logger,
	}
	k.step(ctx, time.Now())
	wait.Every(ctx, keepInterval, func(ctx context.Context) { k.step(ctx, time.Now()) })
}

// Evidence implements peers.Board.
func (b *board) Evidence(after uint64, maxBytes int) (data []byte, changes uint64) {
	return b.node.quarantine.Encode(quarantine.All, after, maxBytes)
}

// MergeEvidence implements peers.Board. The leader tells all nodes at once when the quarantined parts change.
func (b *board) MergeEvidence(data []byte, relay bool, readAt time.Time) {
	if b.node.quarantine.Merge(data, relay, ageOf(readAt)) && b.node.controller.ActingLeader() {
		b.node.link.RequestUpdate()
	}
}
