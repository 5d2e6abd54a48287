package peers

import (
	"context"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/wait"
)

// receive handles datagrams until ctx ends.
func (l *Link) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
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
		l.opt.Guard.Run("peer message", func() {
			if l.handleQuota(from, buffer[:n]) {
				return
			}
			m, err := decode(buffer[:n])
			if err != nil {
				event.PeerMessageSkipped.Emit(l.opt.Logger, "error", err.Error())
				return
			}
			l.handle(m)
		})
	}
}

// handle dispatches one message: a leader heartbeat, a reply to a query, or another node's report.
func (l *Link) handle(m *message) {
	if m.From == l.opt.Address {
		return
	}
	l.AddPeers(append(m.Peers, m.From))
	switch {
	case m.Leader:
		l.handleHeartbeat(m)
	case m.IsUpdate:
		l.handleUpdate(m)
	case m.IsReply:
		l.handleReply(m)
	default:
		l.handleReport(m)
	}
}

// handleHeartbeat applies the heartbeat of the leader, or that of another node if no leader is known or the
// leader is silent. The node that holds the lease ignores heartbeats.
func (l *Link) handleHeartbeat(m *message) {
	readAt := l.timestamps.readAt(m.echo, clock.Now())
	current := l.acceptHeartbeat(m, readAt)
	if current {
		l.opt.Board.ImportContents(m.Contents)
	}
	l.compareRevisions(m, current, readAt)
	if current {
		l.opt.Board.ApplyPermits(m.echo.Permits, readAt)
		l.opt.Board.ApplyHeartbeat(m.Heartbeat, m.Revisions, readAt)
		l.opt.Board.ApplyStates(m.States, m.Revisions, readAt)
		l.opt.Board.ApplyFrequent(m.Frequent)
		l.opt.Board.ApplySpeeds(m.Speeds, readAt)
		l.opt.Board.MergePrefixUpdates(m.PrefixUpdates, false)
	}
	// Evidence holds whoever sends it.
	l.opt.Board.MergeEvidence(m.Evidence, false, readAt)
}

// acceptHeartbeat records a heartbeat, whose content was read at readAt or later, and reports whether this node
// applies it.
func (l *Link) acceptHeartbeat(m *message, readAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opt.HoldsLease() || m.From != l.opt.Leader() && l.opt.Leader() != "" && time.Since(l.heartbeatAt) <= leaderTimeout {
		return false
	}
	l.heartbeatAt, l.heartbeatFrom, l.standbys = time.Now(), m.From, m.Heartbeat.Standbys
	l.relayHeardAt = clock.Now()
	l.nodes, l.nodesSettled = m.Heartbeat.Nodes, m.Heartbeat.NodesSettled
	if m.Heartbeat.Synced {
		l.recordSyncedLocked(readAt)
	}
	return true
}

// recordSyncedLocked records that the leader was in sync with the platform's store at a time.
func (l *Link) recordSyncedLocked(at time.Time) {
	if at.After(l.syncedHeartbeatAt) {
		l.syncedHeartbeatAt = at
	}
}

// acceptUpdate is acceptHeartbeat for updates.
func (l *Link) acceptUpdate(m *message, readAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opt.HoldsLease() || m.From != l.heartbeatFrom {
		return false
	}
	l.heartbeatAt, l.relayHeardAt = time.Now(), clock.Now()
	if m.Synced {
		l.recordSyncedLocked(readAt)
	}
	return true
}

// handleUpdate applies an update of the leader whose heartbeats this node follows.
func (l *Link) handleUpdate(m *message) {
	readAt := l.timestamps.readAt(m.echo, clock.Now())
	current := l.acceptUpdate(m, readAt)
	if current && m.Synced {
		l.opt.Board.RenewFollower(readAt)
	}
	if current {
		l.opt.Board.ImportContents(m.Contents)
	}
	l.compareRevisions(m, current, readAt)
	if current {
		l.opt.Board.ApplyStates(m.States, m.Revisions, readAt)
	}
	l.opt.Board.MergeEvidence(m.Evidence, false, readAt)
}

// handleReply makes this node a follower if the reply comes from a relay in sync with the store. Relays are not
// followers of each other.
func (l *Link) handleReply(m *message) {
	readAt := l.timestamps.readAt(m.echo, clock.Now())
	l.mu.Lock()
	relayed := l.recordReplyLocked(m, readAt)
	l.mu.Unlock()
	if relayed {
		l.opt.Board.RenewFollower(readAt)
	}
	l.compareRevisions(m, relayed, readAt)
	l.opt.Board.MergeEvidence(m.Evidence, false, readAt)
	if m.Heartbeat.LeaseVersion == 0 {
		return
	}
	// A node that has just started, or has lost its leader, learns who the leader is, and reports to it at once. Otherwise
	// it would compete for the lease when that of the former leader ends.
	before := l.opt.Leader()
	l.opt.Board.ObserveLease(m.Heartbeat.Lease, m.Heartbeat.LeaseVersion)
	if leader := l.opt.Leader(); leader != "" && leader != before {
		l.sendReport()
	}
}

// handleReport records another node's load and replies if that node requests it.
func (l *Link) handleReport(m *message) {
	l.compareRevisions(m, false, time.Time{})
	report := loadReport{at: time.Now(), loads: m.Loads, sentAt: m.SentAt, receivedAt: clock.Now(), replyRequested: m.ReplyRequested}
	sender := target{address: m.From, echo: report.echo()}
	l.mu.Lock()
	_, known := l.reports[m.From]
	l.reports[m.From] = report
	peers := pickRandom(l.knownPeers, maxPeersListed)
	l.mu.Unlock()
	leading := l.opt.ActingLeader()
	if !known && leading {
		// The node watches the store itself until it receives a heartbeat.
		l.sendHeartbeatTo(sender)
	}
	l.opt.Board.MergePrefixUpdates(m.PrefixUpdates, leading)
	l.opt.Board.MergeEvidence(m.Evidence, true, time.Time{})
	if leading {
		l.opt.Board.AddCounts(m.Counts)
		l.opt.Board.AddSpeedReport(m.Speeds)
		if l.opt.Board.AddQuotaReport(m.From, m.Quota) {
			l.RequestUpdate()
		}
	}
	if m.ReplyRequested && !leading {
		reply := l.buildReply()
		reply.Peers = peers
		l.send(reply, sender)
	}
}

// compareRevisions passes the revisions of the sender's mirrors, which it read at readAt or later, to the board.
func (l *Link) compareRevisions(m *message, relayed bool, readAt time.Time) {
	for _, r := range m.Revisions {
		var currentAt time.Time
		if !readAt.IsZero() && r.AgeMS != UnknownAge {
			currentAt = readAt.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		}
		l.opt.Board.HandlePeerRevision(m.From, r.Kind, r.Revision, relayed, currentAt)
	}
}
