package peers

import (
	"context"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/wait"
)

// receive handles datagrams until the socket is closed.
func (l *Link) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := l.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// An unreachable receiver of an earlier datagram shows up here.
			l.opt.Logger.Debug("peer socket", "error", err.Error())
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

// handle takes one message: a word of a leader, the answer of a node that was asked, or another node's report.
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

// handleWord takes over the word of the holder, or of another leader while no holder is heard.
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

// handleAnswer looks whether a deputy covers for this node. Deputies do not cover for each other.
func (l *Link) handleReply(m *message) {
	l.mu.Lock()
	relayed := m.Synced && slices.Contains(l.standbys, m.From) && !slices.Contains(l.standbys, l.opt.Address)
	l.mu.Unlock()
	if relayed {
		l.opt.Board.RenewFollower()
	}
	l.compareRevisions(m, relayed)
}

// handleReport keeps another node's report and answers it if that node asks for it.
func (l *Link) handleReport(m *message) {
	l.compareRevisions(m, false)
	l.mu.Lock()
	_, known := l.reports[m.From]
	l.reports[m.From] = loadReport{at: time.Now(), loads: m.Loads}
	peers := pickRandom(l.knownPeers, maxPeersListed)
	l.mu.Unlock()
	if !known {
		// The node follows the store by itself until it hears a word.
		l.RequestHeartbeat()
	}
	l.opt.Board.MergePrefixUpdates(m.PrefixUpdates, l.opt.ActsAsLeader())
	if m.ReplyRequested && !l.opt.ActsAsLeader() {
		l.send(&message{From: l.opt.Address, IsReply: true, Synced: l.opt.Board.Synced(), Revisions: l.opt.Board.Revisions(), Peers: peers}, m.From)
	}
}

// compare looks whether the sender has newer objects than this node.
func (l *Link) compareRevisions(m *message, relayed bool) {
	for _, r := range m.Revisions {
		l.opt.Board.HandlePeerRevision(m.From, r.Kind, r.Revision, relayed)
	}
}
