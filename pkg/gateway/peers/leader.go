package peers

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
)

// RequestHeartbeat sends a heartbeat, at once or as soon as the minimum gap has passed. It returns the time until
// it is sent. On a node that does not act as the leader it does nothing and returns 0.
func (l *Link) RequestHeartbeat() time.Duration {
	return l.request(&l.heartbeats, minHeartbeatGapPerNode, l.sendHeartbeat)
}

// RequestUpdate is like RequestHeartbeat for an update, which contains the changed states of backend servers and
// the revisions only. On a relay it sends the revisions to the nodes that query it.
func (l *Link) RequestUpdate() time.Duration {
	if !l.opt.ActingLeader() && l.IsStandby() {
		l.mu.Lock()
		gap := time.Duration(len(l.reports)) * minUpdateGapPerNode
		l.mu.Unlock()
		return l.pace(&l.changesPacer, gap, l.sendRelayedChanges)
	}
	return l.request(&l.updates, minUpdateGapPerNode, l.sendUpdate)
}

func (l *Link) request(p *pacer, gapPerNode time.Duration, send func()) time.Duration {
	if !l.opt.ActingLeader() {
		return 0
	}
	l.mu.Lock()
	gap := time.Duration(l.nodes) * gapPerNode
	l.mu.Unlock()
	return l.pace(p, gap, send)
}

// pace sends a message at once or as soon as the minimum gap has passed. It returns the time until it is sent.
func (l *Link) pace(p *pacer, gap time.Duration, send func()) time.Duration {
	l.mu.Lock()
	left := gap - time.Since(p.sentAt)
	if left <= 0 {
		// Another call must not send at the same time.
		p.sentAt = time.Now()
	} else if !p.pending {
		p.pending = true
		time.AfterFunc(left, func() {
			l.mu.Lock()
			p.pending, p.sentAt = false, time.Now()
			l.mu.Unlock()
			l.opt.Guard.Run("peer message", send)
		})
	}
	l.mu.Unlock()
	if left > 0 {
		return left
	}
	send()
	return 0
}

// collectReportsLocked returns the nodes that report to this one and the sum of all loads. It drops reports that
// are too old. The content of a message to the targets must be read afterwards.
func (l *Link) collectReportsLocked(now time.Time) (targets []target, total map[string]backends.Load) {
	total = map[string]backends.Load{}
	addLoads(total, l.opt.Board.Loads())
	for address, r := range l.reports {
		if now.Sub(r.at) > reportTTL {
			delete(l.reports, address)
			continue
		}
		addLoads(total, r.loads)
		targets = append(targets, target{address: address, echo: r.echo()})
	}
	return targets, total
}

// countNodesLocked sets the number of nodes from that of reporting nodes. A new leader keeps the number of its
// predecessor until each node has had time to report to it: a number that is too low would make each node use
// too large a part of the shared retry budget.
func (l *Link) countNodesLocked(reporting int, now time.Time) {
	if l.leadingSince.IsZero() {
		l.leadingSince = now
	}
	counted := reporting + 1
	if now.Sub(l.leadingSince) >= reportTTL {
		l.nodes, l.nodesSettled = counted, true
		return
	}
	l.nodes = max(l.nodes, counted)
}

// beginHeartbeat returns the receivers of the next heartbeat, the sum of all loads, and whether the heartbeat lists
// peers.
func (l *Link) beginHeartbeat(now time.Time) (targets []target, total map[string]backends.Load, listPeers bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	targets, total = l.collectReportsLocked(now)
	first := l.leadingSince.IsZero()
	l.countNodesLocked(len(targets), now)
	l.heartbeats.sentAt = now
	l.heartbeatsSent++
	l.standbys = pickEvenly(addresses(targets), standbyCount)
	if first {
		targets = l.addKnownPeersLocked(targets)
	}
	return targets, total, l.heartbeatsSent%heartbeatsPerPeerList == 0
}

// addKnownPeersLocked adds the known nodes that do not report to this one. They get the first heartbeat of a leader, so that
// they need not compete for the lease.
func (l *Link) addKnownPeersLocked(targets []target) []target {
	reporting := addresses(targets)
	for _, a := range l.knownPeers {
		if !slices.Contains(reporting, a) {
			targets = append(targets, target{address: a})
		}
	}
	return targets
}

// collectReports is collectReportsLocked for messages between heartbeats.
func (l *Link) collectReports() (targets []target, total map[string]backends.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.collectReportsLocked(time.Now())
}

// sendHeartbeat sends a heartbeat with the states of backend servers to all nodes that report to this one, and
// applies it to this node.
func (l *Link) sendHeartbeat() {
	readAt := clock.Now()
	targets, total, listPeers := l.beginHeartbeat(time.Now())
	l.opt.Board.AddCounts(l.opt.Board.TakeCounts())
	m := l.buildHeartbeat()
	m.Frequent = l.opt.Board.Frequent()
	l.opt.Board.ApplyFrequent(m.Frequent)
	m.States, m.PrefixUpdates = l.opt.Board.States(total, ForHeartbeat), l.opt.Board.TakePrefixUpdates()
	l.addSpeedsToHeartbeat(m, readAt)
	l.addEvidenceToHeartbeat(m)
	permits := l.opt.Board.IssuePermits(append(addresses(targets), l.opt.Address))
	for i := range targets {
		targets[i].echo.Permits = permits[targets[i].address]
	}
	l.opt.Board.ApplyPermits(permits[l.opt.Address], readAt)
	l.opt.Board.ApplyHeartbeat(m.Heartbeat, m.Revisions, readAt)
	l.opt.Board.ApplyStates(m.States, m.Revisions, readAt)
	if listPeers {
		m.Peers = pickRandom(addresses(targets), maxPeersListed)
	}
	l.mu.Lock()
	l.announcedRevisions = m.Revisions
	l.mu.Unlock()
	l.send(m, targets...)
}

// buildHeartbeat returns a heartbeat without states and prefixes.
func (l *Link) buildHeartbeat() *message {
	l.mu.Lock()
	nodes, settled, standbys := l.nodes, l.nodesSettled, l.standbys
	l.mu.Unlock()
	// The revisions are read first: receivers ignore states of servers that were listed again after them.
	revisions := l.opt.Board.Revisions()
	heartbeat := l.opt.Board.BuildHeartbeat(nodes)
	heartbeat.NodesSettled, heartbeat.Standbys = settled, standbys
	return &message{From: l.opt.Address, Leader: true, Revisions: revisions, Heartbeat: heartbeat, Contents: l.opt.Board.SmallContents()}
}

// addresses returns the addresses of targets.
func addresses(targets []target) []string {
	list := make([]string, len(targets))
	for i, t := range targets {
		list[i] = t.address
	}
	return list
}

// sendHeartbeatTo sends a heartbeat to a node that has reported to this leader for the first time.
func (l *Link) sendHeartbeatTo(to target) {
	_, total := l.collectReports()
	m := l.buildHeartbeat()
	m.States = l.opt.Board.States(total, ForNewNode)
	m.Evidence, _ = l.opt.Board.Evidence(0, maxEvidenceBytes)
	l.send(m, to)
}

// sendUpdate sends the states of backend servers that have changed since the last message to all nodes, and the
// revisions. It sends nothing if neither has changed.
func (l *Link) sendUpdate() {
	readAt := clock.Now()
	targets, total := l.collectReports()
	l.mu.Lock()
	l.updates.sentAt = time.Now()
	announced := l.announcedRevisions
	l.mu.Unlock()
	m := &message{
		From: l.opt.Address, IsReply: true, IsUpdate: true, Synced: l.opt.Board.Synced(), Revisions: l.opt.Board.Revisions(),
		States: l.opt.Board.States(total, ForUpdate),
	}
	changed := !sameRevisions(announced, m.Revisions)
	l.addEvidenceToUpdate(m)
	if len(m.States) == 0 && len(m.Evidence) == 0 && !changed {
		return
	}
	if changed {
		m.Contents = l.opt.Board.SmallContents()
	}
	l.opt.Board.ApplyStates(m.States, m.Revisions, readAt)
	l.mu.Lock()
	l.announcedRevisions = m.Revisions
	l.mu.Unlock()
	l.send(m, targets...)
}

func addLoads(total map[string]backends.Load, loads []backends.Load) {
	for _, load := range loads {
		sum := total[load.Backend]
		sum.Backend = load.Backend
		sum.Long += load.Long
		sum.Short += load.Short
		sum.Unreachable += load.Unreachable
		total[load.Backend] = sum
	}
}
