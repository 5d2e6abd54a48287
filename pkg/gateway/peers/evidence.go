package peers

import "time"

const (
	// maxHintBytes bounds what the leader's messages hold, from one heartbeat to the next, of cached prefixes, of the
	// factors of engines (at most speed.MaxAnnouncementBytes) and of evidence about prompt parts. Factors and evidence
	// take the place of prefixes, which only save work.
	maxHintBytes = 1872
	// maxEvidenceBytes bounds the evidence in a heartbeat or a report, about 30 prompt parts in doubt at three
	// engines, and maxUpdateEvidenceBytes that in all updates between two heartbeats.
	maxEvidenceBytes       = 960
	maxUpdateEvidenceBytes = 480
	// prefixUpdateBytes is the size of an entry of message.PrefixUpdates.
	prefixUpdateBytes = 8
	// minReportGap is the minimum time between a report and one with new evidence, and reportGapPerInterval the same
	// in intervals between reports if that is longer.
	minReportGap         = 100 * time.Millisecond
	reportGapPerInterval = 0.25
)

// evidenceBudget bounds the evidence in updates.
type evidenceBudget struct {
	// updateBytes is the size of the evidence in the updates since the last heartbeat, and sent the number of
	// changes of the evidence that messages to all nodes contain.
	updateBytes int
	sent        uint64
}

// AnnounceEvidence sends new evidence to the other nodes, at once or as soon as the minimum gap has passed: in an
// update of the leader, or in a report.
func (l *Link) AnnounceEvidence() {
	if l.opt.ActingLeader() {
		l.RequestUpdate()
		return
	}
	l.mu.Lock()
	gap := max(minReportGap, time.Duration(reportGapPerInterval*float64(Interval(l.nodes))))
	l.mu.Unlock()
	l.pace(&l.reportPacer, gap, l.sendReport)
}

// addEvidenceToHeartbeat adds all evidence that counts, and shortens the prefixes according to its size and that of the
// factors.
func (l *Link) addEvidenceToHeartbeat(m *message) {
	data, changes := l.opt.Board.Evidence(0, maxEvidenceBytes)
	l.mu.Lock()
	left := max(0, maxHintBytes-len(data)-len(m.Speeds)-l.evidenceBudget.updateBytes)
	l.evidenceBudget = evidenceBudget{sent: changes}
	l.mu.Unlock()
	m.Evidence = data
	if len(m.PrefixUpdates) > left {
		m.PrefixUpdates = m.PrefixUpdates[:left/prefixUpdateBytes*prefixUpdateBytes]
	}
}

// addEvidenceToUpdate adds the evidence that has changed since the last message to all nodes.
func (l *Link) addEvidenceToUpdate(m *message) {
	l.mu.Lock()
	after, left := l.evidenceBudget.sent, max(0, maxUpdateEvidenceBytes-l.evidenceBudget.updateBytes)
	l.mu.Unlock()
	data, changes := l.opt.Board.Evidence(after, left)
	l.mu.Lock()
	l.evidenceBudget.updateBytes += len(data)
	l.evidenceBudget.sent = max(l.evidenceBudget.sent, changes)
	l.mu.Unlock()
	m.Evidence = data
}
