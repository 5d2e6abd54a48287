package mirror

import "cassiawall.example/cassiawall/pkg/event"

// RecordRecovery records the end of an outage of the store that calls of other mirrors of the node have shown.
func (m *Mirror) RecordRecovery() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordRecoveryLocked()
}

// recordRecoveryLocked records the end of an outage, and logs it if calls of this mirror had failed.
func (m *Mirror) recordRecoveryLocked() {
	m.recoveredAt = m.now()
	if m.failing {
		m.failing = false
		event.StoreRegained.Emit(m.opt.Logger, "kind", m.opt.Kind, "outage_ms", m.now().Sub(m.failingSince).Milliseconds())
	}
}
