package mirror

import (
	"context"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/wait"
)

// list lists the objects. It returns false after a pause if the store did not list them, or as they were before newer content
// that arrived from a peer.
func (m *Mirror) list(ctx context.Context) (int64, bool) {
	calledAt := m.now()
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	entries, revision, err := m.opt.Source.List(callCtx, m.opt.Kind)
	cancel()
	if err != nil {
		m.backOff(ctx, err)
		return 0, false
	}
	m.recordSuccess(calledAt)
	m.recordLatency(m.now().Sub(calledAt))
	if !m.applyList(entries, revision, calledAt) {
		wait.Pause(ctx, minRetryPause)
		return 0, false
	}
	return revision, true
}

// applyList replaces the content by a list from the store if they differ. The list was requested at calledAt and has
// all changes up to revision. applyList returns false, and applies nothing, if newer content has arrived from a peer
// since then.
func (m *Mirror) applyList(entries []Entry, revision int64, calledAt time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		event.StoreBehind.Emit(m.opt.Logger, "kind", m.opt.Kind, "revision", revision, "known_revision", m.revision)
		return false
	}
	defer func() {
		m.completeRevision = m.revision
		m.confirmLocked(calledAt, "list")
	}()
	entries = m.atRevisionLocked(entries, revision)
	if !m.differsLocked(entries) {
		return true
	}
	m.enterEraLocked(revision)
	newest := m.revision
	for _, e := range entries {
		newest = max(newest, e.Revision)
	}
	if newest == m.revision {
		// Only deletions differ; the revision of the newest of them is not known.
		newest = revision
	}
	m.resetLocked(entries, newest, m.freshnessLocked())
	m.notifyChange()
	return true
}

// atRevisionLocked returns a list without the changes after revision, which later pages of the list may have: changes
// before them may be missing from earlier pages. The watch that continues from revision brings all of them.
func (m *Mirror) atRevisionLocked(entries []Entry, revision int64) []Entry {
	listed := make([]Entry, 0, len(entries))
	for _, e := range entries {
		if e.Revision > revision {
			known, ok := m.entries[e.Name]
			if !ok {
				continue
			}
			e = known
		}
		listed = append(listed, e)
	}
	return listed
}

// differsLocked reports whether a list differs from the mirror's entries.
func (m *Mirror) differsLocked(entries []Entry) bool {
	if m.revision == 0 || len(entries) != len(m.entries) {
		return true
	}
	for _, e := range entries {
		if known, ok := m.entries[e.Name]; !ok || known.Revision != e.Revision {
			return true
		}
	}
	return false
}

func (m *Mirror) resetLocked(entries []Entry, revision int64, freshness Freshness) {
	clear(m.entries)
	for _, e := range entries {
		m.entries[e.Name] = e
	}
	clear(m.tombstones)
	m.revision, m.compactedRevision = revision, revision
	m.opt.Target.Reset(entries, freshness)
}
