package backends

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
)

// State is what the leader announces about one backend server.
type State struct {
	// Hash is the cachemap.EngineHash of the server's ID.
	Hash uint32
	Assignment
	// Version is that of the first listed model's weights, or 0 for a server without models.
	Version int
}

const (
	// stateBytes is the size of an encoded state: hash, flags, long and short requests, version.
	stateBytes = 9
	// MaxStates bounds the states of one message, to 2.3 KB. A fleet with more backend servers gets their
	// states in several messages.
	MaxStates = 256
	// flagRepeats is the number of further selections that contain a changed flag or version, because
	// messages may be lost.
	flagRepeats = 2
)

// Flags of an encoded state.
const (
	flagLoading = 1 << iota
	flagTakesLong
	flagDown
	flagLeaving
	flagLimited
)

// EncodeStates encodes states in 9 bytes each. Counts above 255 and versions above 65,535 are encoded as these.
func EncodeStates(states []State) []byte {
	data := make([]byte, 0, len(states)*stateBytes)
	for _, s := range states {
		flags := bit(s.Loading, flagLoading) | bit(s.TakesLong, flagTakesLong) | bit(s.Down, flagDown) | bit(s.Leaving, flagLeaving) | bit(s.Limited, flagLimited)
		data = binary.BigEndian.AppendUint32(data, s.Hash)
		data = append(data, flags, byte(min(s.Long, math.MaxUint8)), byte(min(s.Short, math.MaxUint8)))
		data = binary.BigEndian.AppendUint16(data, uint16(min(s.Version, math.MaxUint16)))
	}
	return data
}

func bit(set bool, flag byte) byte {
	if set {
		return flag
	}
	return 0
}

// DecodeStates decodes the complete states in data.
func DecodeStates(data []byte) []State {
	states := make([]State, 0, len(data)/stateBytes)
	for ; len(data) >= stateBytes; data = data[stateBytes:] {
		flags := data[4]
		states = append(states, State{
			Hash: binary.BigEndian.Uint32(data),
			Assignment: Assignment{
				Long: int(data[5]), Short: int(data[6]),
				Loading: flags&flagLoading != 0, TakesLong: flags&flagTakesLong != 0, Down: flags&flagDown != 0,
				Leaving: flags&flagLeaving != 0, Limited: flags&flagLimited != 0,
			},
			Version: int(binary.BigEndian.Uint16(data[7:])),
		})
	}
	return states
}

// sameFlags reports whether two states differ in their loads only.
func (s State) sameFlags(other State) bool {
	return s.TakesLong == other.TakesLong && !s.needsUpdate(other)
}

// needsUpdate reports whether the change from other to s must reach the nodes at once: requests to a loading,
// down or newly loaded engine fail or are late.
func (s State) needsUpdate(other State) bool {
	return s.Loading != other.Loading || s.Down != other.Down || s.Leaving != other.Leaving || s.Limited != other.Limited || s.Version != other.Version
}

// loadDifference returns the difference of the running requests.
func (s State) loadDifference(other State) int {
	return max(s.Long-other.Long, other.Long-s.Long) + max(s.Short-other.Short, other.Short-s.Short)
}

// Announcer selects the states that the leader's messages contain. It bounds their size in fleets with many
// backend servers. It is not safe for concurrent use.
type Announcer struct {
	round     int
	announced map[uint32]announcement
}

// announcement is the state that was sent last, in a round.
type announcement struct {
	State
	round int
	// repeats is the number of further selections that contain the state.
	repeats int
}

// NewAnnouncer returns an announcer that has announced nothing.
func NewAnnouncer() *Announcer { return &Announcer{announced: map[uint32]announcement{}} }

// SelectUpdates returns the states that must reach the nodes before the next heartbeat.
func (a *Announcer) SelectUpdates(states []State) []State {
	var selected []State
	for _, s := range states {
		if known, ok := a.announced[s.Hash]; (!ok || s.needsUpdate(known.State)) && len(selected) < MaxStates {
			selected = append(selected, s)
		}
	}
	a.record(selected)
	return selected
}

// SelectHeartbeat returns the states for a heartbeat: all, or the most important MaxStates of them. Those are
// states with changed flags or versions, then those whose loads changed most, then those sent longest ago.
func (a *Announcer) SelectHeartbeat(states []State) []State {
	a.round++
	selected := states
	if len(states) > MaxStates {
		selected = slices.Clone(states)
		slices.SortFunc(selected, func(x, y State) int {
			return cmp.Or(cmp.Compare(a.urgency(y), a.urgency(x)), cmp.Compare(a.announced[x.Hash].round, a.announced[y.Hash].round), cmp.Compare(x.Hash, y.Hash))
		})
		selected = selected[:MaxStates]
	}
	a.record(selected)
	if len(a.announced) > 2*len(states)+MaxStates {
		// Most of the announced servers no longer exist.
		clear(a.announced)
	}
	return selected
}

// minLoadDifference is the change of a server's running requests from which its state precedes states that were
// sent longer ago.
const minLoadDifference = 3

// urgency orders states by what changed since they were sent last.
func (a *Announcer) urgency(s State) int {
	known, ok := a.announced[s.Hash]
	switch {
	case !ok || known.repeats > 0 || !s.sameFlags(known.State):
		return math.MaxInt
	case s.loadDifference(known.State) >= minLoadDifference:
		return s.loadDifference(known.State)
	}
	return 0
}

// record notes that states are sent now.
func (a *Announcer) record(states []State) {
	for _, s := range states {
		known, ok := a.announced[s.Hash]
		repeats := max(known.repeats-1, 0)
		if ok && !s.sameFlags(known.State) {
			repeats = flagRepeats
		}
		a.announced[s.Hash] = announcement{State: s, round: a.round, repeats: repeats}
	}
}

// States returns the states of all backend servers, from the loads of all nodes by backend server ID.
func (r *Registry) States(total map[string]Load, now time.Time) []State {
	assignments := r.ComputeAssignments(total, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	states := make([]State, 0, len(r.members))
	for id, m := range r.members {
		s := State{Hash: m.idHash, Assignment: assignments[id]}
		s.Leaving = m.leaves()
		if len(m.Models) > 0 {
			s.Version = m.version(m.Models[0].Name)
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Hash, b.Hash) })
	return states
}

// ApplyStates stores states that the leader announced and read at readAt or later, when it had the listings up to
// revision. States of a server that has restarted since are ignored. The earlier states of other servers stay valid.
func (r *Registry) ApplyStates(states []State, revision int64, readAt, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expiry := readAt.Add(assignmentTTL)
	announcedAt := clock.Now().Add(-now.Sub(readAt))
	expired := !now.Before(expiry)
	for _, m := range r.members {
		if now.Before(m.assignmentExpiry) && m.assignmentExpiry.Before(expiry) {
			m.assignmentExpiry = expiry
		}
	}
	for _, s := range states {
		m := r.byHash[s.Hash]
		if m == nil || m.generationRevision > revision {
			continue
		}
		if !expired {
			m.assignment, m.assignmentExpiry = s.Assignment, expiry
		}
		m.limit.Announce(s.Limited, r.permits.authoritative, announcedAt)
		if len(m.Models) > 0 {
			m.observeAnnouncedVersion(m.Models[0].Name, s.Version, revision, announcedAt)
		}
	}
}
