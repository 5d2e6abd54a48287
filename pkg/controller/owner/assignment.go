package owner

import (
	"sync"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// Of returns the member that owns an engine: the first choice of rendezvous hashing over the live
// members of the engine's data centre, or over all live members if the data centre has none. It
// returns false if no member is live. Members that drain do not count as live.
func Of(engineID, dataCentre string, members []blackboard.MemberEntry) (blackboard.MemberEntry, bool) {
	local := bestMember(engineID, members, func(m *blackboard.MemberEntry) bool { return m.DataCentre == dataCentre })
	if local >= 0 {
		return members[local], true
	}
	remote := bestMember(engineID, members, func(*blackboard.MemberEntry) bool { return true })
	if remote >= 0 {
		return members[remote], true
	}
	return blackboard.MemberEntry{}, false
}

// bestMember returns the index of the eligible live member with the highest rendezvous score, or -1.
// Equal scores are decided by the smaller name.
func bestMember(engineID string, members []blackboard.MemberEntry, eligible func(*blackboard.MemberEntry) bool) int {
	key := rendezvous.Hash(engineID)
	best := -1
	var bestScore uint64
	for i := range members {
		m := &members[i]
		if !mayOwn(m) || !eligible(m) {
			continue
		}
		score := rendezvous.Score(rendezvous.Hash(m.Name), key)
		if best < 0 || score > bestScore || score == bestScore && m.Name < members[best].Name {
			best = i
			bestScore = score
		}
	}
	return best
}

// mayOwn reports whether a member may own engines. A suspect member keeps its engines, because most
// suspicions are refuted.
func mayOwn(m *blackboard.MemberEntry) bool {
	return !m.Draining && (m.State == blackboard.MemberAlive || m.State == blackboard.MemberSuspect)
}

// Table caches the owners of engines until the member list changes. It is safe for concurrent use.
type Table struct {
	board   *blackboard.Board
	mu      sync.Mutex
	version uint64
	members []blackboard.MemberEntry
	owners  map[string]blackboard.MemberEntry
}

// NewTable returns a table of the owners among the board's members.
func NewTable(board *blackboard.Board) *Table { return &Table{board: board} }

// Of returns the owner of an engine, or false if no member is live; see the function Of.
func (t *Table) Of(engineID, dataCentre string) (blackboard.MemberEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if m, ok := t.owners[engineID]; ok {
		return m, true
	}
	m, ok := Of(engineID, dataCentre, t.members)
	if ok {
		t.owners[engineID] = m
	}
	return m, ok
}

// refresh discards the cached owners if the member list has changed.
func (t *Table) refresh() {
	version := t.board.Members.Version()
	if t.owners != nil && version == t.version {
		return
	}
	t.version = version
	t.members = t.members[:0]
	for _, e := range t.board.Members.Snapshot() {
		t.members = append(t.members, e.Value)
	}
	t.owners = map[string]blackboard.MemberEntry{}
}
