package mirror

import "time"

// recoveryDuration is the time after an outage of the store within which entries that expired during the
// outage are written again.
const recoveryDuration = 2500 * time.Millisecond

// Interruption is what a mirror knows of a recent interruption; see Freshness.
type Interruption struct {
	// Known is set if entries may be missing for a moment.
	Known bool
	// TakenOver is set if this node has not seen the interruption itself but learned of it from another node.
	TakenOver bool
}

// Interruption returns the present interruption.
func (m *Mirror) Interruption() Interruption {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.interruptionLocked()
}

// MarkRelayInterrupted records that the node that relays store changes to this one did not reach the store at a time on the
// clock of clock.Now, or later. This node may see no failed call: the store may have returned before its first one.
func (m *Mirror) MarkRelayInterrupted(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.takenOverAt) {
		m.takenOverAt = at
	}
}

func (m *Mirror) interruptionLocked() Interruption {
	if m.sawInterruptionLocked() {
		return Interruption{Known: true}
	}
	takenOver := m.recentLocked(m.takenOverAt)
	return Interruption{Known: takenOver, TakenOver: takenOver}
}

// sawInterruptionLocked reports whether this node has seen the end of an outage of the store, or its restoration, less than
// recoveryDuration ago.
func (m *Mirror) sawInterruptionLocked() bool {
	return m.restoredLocked() || m.recentLocked(m.recoveredAt)
}

// restoredLocked reports whether it has become known less than recoveryDuration ago that the store was restored. Its
// writers then store again what it has lost.
func (m *Mirror) restoredLocked() bool { return m.recentLocked(m.restoredAt) }

// recentLocked reports whether a time, which is zero if there is none, is less than recoveryDuration ago.
func (m *Mirror) recentLocked(t time.Time) bool {
	return !t.IsZero() && m.now().Sub(t) < recoveryDuration
}

// freshnessLocked returns the freshness of content that arrives from the store now.
func (m *Mirror) freshnessLocked() Freshness {
	i := m.interruptionLocked()
	return Freshness{Interrupted: i.Known, SeenByRelayOnly: i.TakenOver, CurrentAt: m.currentAt, ConfirmedBy: m.currentBy}
}

// importFreshnessLocked returns the freshness of the content of another node, and takes over the interruption that the
// content tells of. What that node has itself taken over is not taken over again, so that an interruption that has ended does
// not circulate between nodes.
func (m *Mirror) importFreshnessLocked(c Content, relayed bool) Freshness {
	f := m.freshnessLocked()
	f.Interrupted = !relayed || c.Interrupted || m.restoredLocked() || f.SeenByRelayOnly
	f.SeenByRelayOnly = relayed && f.Interrupted && !m.sawInterruptionLocked()
	// The first content of a mirror replaces none, so that no entries are missing.
	if f.Interrupted && m.revision > 0 && !c.TakenOver && !m.sawInterruptionLocked() {
		m.takenOverAt = m.now()
	}
	return f
}
