package node

import (
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/forward"
	"cassiawall.example/cassiawall/pkg/gateway/quarantine"
)

// newQuarantine returns the node's quarantine, which tells the other nodes of new evidence.
func (n *Node) newQuarantine() *forward.Quarantine {
	return forward.NewQuarantine(forward.QuarantineOptions{
		Node: n.opt.Settings.PeerAddress, MayTry: func() bool { return n.controller.ActingLeader() },
		Announce: func() { n.link.AnnounceEvidence() }, Now: clock.Now, Logger: n.opt.Logger,
	})
}

// Evidence implements peers.Board.
func (b *board) Evidence(after uint64, maxBytes int) (data []byte, changes uint64) {
	return b.node.quarantine.Encode(quarantine.All, after, maxBytes)
}

// MergeEvidence implements peers.Board. The leader tells all nodes at once when the quarantined parts change.
func (b *board) MergeEvidence(data []byte, relay bool, readAt time.Time) {
	var age time.Duration
	if !readAt.IsZero() {
		age = clock.Since(readAt)
	}
	if b.node.quarantine.Merge(data, relay, age) && b.node.controller.ActingLeader() {
		b.node.link.RequestUpdate()
	}
}

// newQuarantineStore returns what keeps the evidence about quarantined parts in the platform's store.
func (n *Node) newQuarantineStore() *quarantineStore {
	return &quarantineStore{
		evidence: n.quarantine, store: n.opt.Store, logger: n.opt.Logger, isLeader: n.controller.HoldsLease, hasLeader: n.board.isFollower,
		mayCall: func() bool { return !n.board.awaitsPeers() },
	}
}
