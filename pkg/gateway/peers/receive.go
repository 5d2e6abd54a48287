package peers

import (
	"context"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/wait"
)

// receive handles datagrams until ctx ends.
func (l *Link) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := l.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// The socket also returns errors of earlier datagrams here, such as an unreachable receiver.
			l.opt.Logger.Debug("read from the peer socket failed", "error", err.Error())
			if !wait.Pause(ctx, time.Millisecond) {
				return
			}
			continue
		}
		m, err := decode(buffer[:n])
		if err != nil {
			event.PeerMessageSkipped.Emit(l.opt.Logger, "error", err.Error())
			continue
		}
		l.handle(m)
	}
}

// handle dispatches one message: a leader heartbeat, a reply to a query, or another node's report.
func (l *Link) handle(m *message) {
	l.AddPeers(append(m.Peers, m.From))
	switch {
	case m.Leader:
		l.handleHeartbeat(m)
	case m.IsReply:
		l.handleReply(m)
	default:
		l.handleReport(m)
	}
}

// handleHeartbeat applies the heartbeat of the leader, or that of another node if no leader is known or the
// leader is silent. The node that holds the lease ignores heartbeats.
func (l *Link) handleHeartbeat(m *message) {
	l.mu.Lock()
	current := !l.opt.HoldsLease() && (m.From == l.opt.Leader() || l.opt.Leader() == "" || time.Since(l.heartbeatAt) > leaderTimeout)
	if current {
		l.heartbeatAt, l.heartbeatFrom, l.nodes, l.standbys = time.Now(), m.From, m.Heartbeat.Nodes, m.Heartbeat.Standbys
		if m.Heartbeat.Synced {
			l.syncedHeartbeatAt = l.heartbeatAt
		}
	}
	l.mu.Unlock()
	l.compareRevisions(m, current)
	if current {
		l.opt.Board.ApplyHeartbeat(m.Heartbeat)
		l.opt.Board.MergePrefixUpdates(m.PrefixUpdates, false)
	}
}

// handleReply makes this node a follower if the reply comes from a standby in sync with the store. Standbys
// are not followers of each other.
func (l *Link) handleReply(m *message) {
	l.mu.Lock()
	relayed := m.Synced && slices.Contains(l.standbys, m.From) && !slices.Contains(l.standbys, l.opt.Address)
	l.mu.Unlock()
	if relayed {
		l.opt.Board.RenewFollower()
	}
	l.compareRevisions(m, relayed)
}

// handleReport records another node's load and replies if that node requests it.
func (l *Link) handleReport(m *message) {
	l.compareRevisions(m, false)
	l.mu.Lock()
	_, known := l.reports[m.From]
	l.reports[m.From] = loadReport{at: time.Now(), loads: m.Loads}
	peers := pickRandom(l.knownPeers, maxPeersListed)
	l.mu.Unlock()
	if !known {
		// The node watches the store itself until it receives a heartbeat.
		l.RequestHeartbeat()
	}
	l.opt.Board.MergePrefixUpdates(m.PrefixUpdates, l.opt.ActingLeader())
	if m.ReplyRequested && !l.opt.ActingLeader() {
		l.send(&message{From: l.opt.Address, IsReply: true, Synced: l.opt.Board.Synced(), Revisions: l.opt.Board.Revisions(), Peers: peers}, m.From)
	}
}

// compareRevisions passes the revisions of the sender's mirrors to the board.
func (l *Link) compareRevisions(m *message, relayed bool) {
	for _, r := range m.Revisions {
		l.opt.Board.HandlePeerRevision(m.From, r.Kind, r.Revision, relayed)
	}
}
