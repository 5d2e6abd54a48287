package mirror

import (
	"slices"
	"strings"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/objects"
)

// Content is what a node serves of its mirror to other nodes, as a msgpack map of these fields: all objects,
// or the changes since a revision.
type Content struct {
	Revision int64
	// Complete is set if Entries are all objects. Otherwise Entries are the changed objects and Deleted names
	// the deleted ones.
	Complete bool `msgpack:"Whole"`
	Entries  []Entry
	Deleted  []string
	// Interrupted is the Freshness.Interrupted of the node's own content at the time of the export.
	Interrupted bool
	// TakenOver is set if the node has learned of that interruption from another node.
	TakenOver bool
}

// Export returns the changes since a revision, or all objects if since is 0 or older than the recorded
// deletions.
func (m *Mirror) Export(since int64) Content {
	m.mu.Lock()
	defer m.mu.Unlock()
	interruption := m.interruptionLocked()
	c := Content{
		Revision: m.revision, Complete: since < m.compactedRevision || since == 0,
		Interrupted: interruption.Known, TakenOver: interruption.TakenOver,
	}
	for _, e := range m.entries {
		if c.Complete || e.Revision > since {
			c.Entries = append(c.Entries, e)
		}
	}
	if !c.Complete {
		for name, revision := range m.tombstones {
			if revision > since {
				c.Deleted = append(c.Deleted, name)
			}
		}
	}
	slices.SortFunc(c.Entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return c
}

// Import applies the content of another node, all of it or the changes since CompleteRevision, if it is newer, and
// reports whether it was. relayed is set if that node relays store changes to this one, so that the content is as
// current as the store's own; otherwise the target receives it with Freshness.Interrupted set. Only the node that relays
// may have seen an outage of the store, so that its content tells of it. Relayed content of the same revision adds changes
// that a watch has missed.
func (m *Mirror) Import(c Content, relayed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Revision <= m.revision && !m.completesLocked(c, relayed) {
		return false
	}
	if relayed {
		defer func() { m.completeRevision = c.Revision }()
	}
	m.enterEraLocked(c.Revision)
	freshness := m.importFreshnessLocked(c, relayed)
	if c.Complete {
		m.resetLocked(c.Entries, c.Revision, freshness)
		return true
	}
	for _, e := range c.Entries {
		m.applyLocked(Change{Entry: e}, freshness)
	}
	for _, name := range c.Deleted {
		m.applyLocked(Change{Entry: Entry{Name: name, Revision: c.Revision}, Deleted: true}, freshness)
	}
	m.revision = max(m.revision, c.Revision)
	return true
}

// completesLocked reports whether content that is not newer than the mirror's may have changes that it lacks. All
// objects of an earlier revision would undo newer changes.
func (m *Mirror) completesLocked(c Content, relayed bool) bool {
	return relayed && c.Revision > m.completeRevision && (!c.Complete || c.Revision == m.revision)
}

// enterEraLocked records and logs that the store was restored since the last content, if a revision shows it.
func (m *Mirror) enterEraLocked(revision int64) {
	if m.revision == 0 || objects.EraOf(revision) <= objects.EraOf(m.revision) {
		return
	}
	m.restoredAt = m.now()
	event.StoreRestored.Emit(m.opt.Logger, "kind", m.opt.Kind, "era", objects.EraOf(revision), "revision", objects.RevisionOf(revision),
		"known_era", objects.EraOf(m.revision), "known_revision", objects.RevisionOf(m.revision))
}
