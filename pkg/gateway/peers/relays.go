package peers

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
)

// Relays are the nodes that watch the platform's store on behalf of the others without a leader in sync with it: the standbys,
// and the seeds as well on a node that has heard no leader since its start, or neither a leader nor a standby in sync with the
// store for leaderTimeout. All nodes know the seeds, also after a restart of all of them, so that few nodes call the store
// until there is a leader.

const (
	// heardStartInterval is the time between the reports of a node that has received no heartbeat since its start, but a reply
	// of a relay. It bounds the queries that the seeds get from a large fleet; they send changes in between.
	heardStartInterval = 500 * time.Millisecond
	// relayFreshTime is the time after a relay's last reply for which it is queried instead of all relays. It is longer than
	// the longest report interval.
	relayFreshTime = 1500 * time.Millisecond
	// queryTTL is the time after a query for which a relay sends changes to the node that made it.
	queryTTL = 1500 * time.Millisecond
)

// relaysLocked returns the addresses of the relays.
func (l *Link) relaysLocked() []string {
	if len(l.standbys) > 0 && (time.Since(l.heartbeatAt) <= leaderTimeout || l.isRelayedLocked()) {
		return l.standbys
	}
	relays := slices.Concat(l.standbys, l.opt.Seeds)
	slices.Sort(relays)
	return slices.Compact(relays)
}

// isRelayLocked reports whether this node is a relay.
func (l *Link) isRelayLocked() bool { return slices.Contains(l.relaysLocked(), l.opt.Address) }

// RelayHeardAt returns the time, on the clock of clock.Now, of the last message of the leader or of a relay.
func (l *Link) RelayHeardAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.relayHeardAt
}

// recordReplyLocked records a reply, whose content was read at readAt or later, and reports whether its sender relays store
// changes to this node. Relays watch the store themselves.
func (l *Link) recordReplyLocked(m *message, readAt time.Time) (relayed bool) {
	if !slices.Contains(l.relaysLocked(), m.From) {
		return false
	}
	l.relayHeardAt = clock.Now()
	relayed = m.Synced && !l.isRelayLocked()
	if relayed && readAt.After(l.relayedAt) {
		l.relayedAt, l.relayedBy = readAt, m.From
	}
	return relayed
}

// isRelayedLocked reports whether a relay replied a moment ago that it is in sync with the store.
func (l *Link) isRelayedLocked() bool { return clock.Since(l.relayedAt) < relayFreshTime }

// relaysToQueryLocked returns the relays that the next report queries: the one that relays changes to this node and another
// one, or all.
func (l *Link) relaysToQueryLocked() []string {
	relays := l.relaysLocked()
	if !l.isRelayedLocked() {
		return relays
	}
	return append(pickRandom(relays, 1), l.relayedBy)
}

// sendRelayedChanges sends the revisions of this node's mirrors to the nodes that have queried it as a relay.
func (l *Link) sendRelayedChanges() {
	l.mu.Lock()
	var targets []target
	for address, r := range l.reports {
		if r.replyRequested && time.Since(r.at) < queryTTL {
			targets = append(targets, target{address: address, echo: r.echo()})
		}
	}
	l.mu.Unlock()
	if len(targets) > 0 {
		l.send(l.buildReply(), targets...)
	}
}

// buildReply returns the reply to a node's query.
func (l *Link) buildReply() *message {
	m := &message{From: l.opt.Address, IsReply: true, Synced: l.opt.Board.Synced(), Revisions: l.opt.Board.Revisions()}
	m.Heartbeat.Lease, m.Heartbeat.LeaseVersion = l.opt.Board.Lease()
	m.Evidence, _ = l.opt.Board.Evidence(0, maxEvidenceBytes)
	return m
}
