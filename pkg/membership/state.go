package membership

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// suspicion is the suspicion timeout of a member and the nodes that accuse it.
type suspicion struct {
	started time.Time
	// notBefore is the earliest deadline. It leaves time for the final pings when a further
	// accuser shortens the timeout late.
	notBefore time.Time
	shortest  time.Duration
	longest   time.Duration
	accusers  map[string]struct{}
	// finalPings is the number of final pings for which the time has come.
	finalPings int
}

// finalPingWindow returns the time before the deadline over which the final pings are spread.
func (s *suspicion) finalPingWindow() time.Duration { return s.shortest / 2 }

func (s *suspicion) finalPingDue(now time.Time) bool {
	left := s.deadline().Sub(now)
	return s.finalPings < maxFinalPings && left <= s.finalPingWindow()*time.Duration(maxFinalPings-s.finalPings)/maxFinalPings
}

// deadline returns when the suspected member is declared dead. The timeout shrinks with each
// further accuser, so that a suspicion by one accuser alone, which may itself be
// slow, takes longest.
func (s *suspicion) deadline() time.Time {
	confirmations := float64(len(s.accusers) - 1)
	fraction := math.Log(confirmations+1) / math.Log(fullConfirmations+1)
	timeout := s.longest - time.Duration(float64(s.longest-s.shortest)*min(fraction, 1))
	if d := s.started.Add(timeout); d.After(s.notBefore) {
		return d
	}
	return s.notBefore
}

func (m *Machine) newSuspicion(now time.Time, accuser string) *suspicion {
	intervals := max(minSuspicionIntervals, suspicionFactor*math.Log10(float64(m.live+1)))
	shortest := m.scaleTimeout(time.Duration(intervals * float64(m.options.ProbeInterval)))
	return &suspicion{
		started:  now,
		shortest: shortest,
		longest:  maxSuspicionRatio * shortest,
		accusers: map[string]struct{}{accuser: {}},
	}
}

func (m *Machine) add(now time.Time, member Member) *record {
	r := &record{Member: member, changedAt: now, index: len(m.records), hash: digestOf(member)}
	m.members[member.Name] = r
	m.records = append(m.records, r)
	if r.live() {
		m.live++
		m.digest ^= r.hash
	}
	return r
}

func (m *Machine) remove(r *record) {
	last := m.records[len(m.records)-1]
	m.records[r.index] = last
	last.index = r.index
	m.records = m.records[:len(m.records)-1]
	delete(m.members, r.Name)
	m.queue.remove(r.Name)
}

// updateRecord applies edit to r and updates the live count and the view digest.
func (m *Machine) updateRecord(r *record, edit func()) {
	if r.live() {
		m.live--
		m.digest ^= r.hash
	}
	edit()
	r.hash = digestOf(r.Member)
	if r.live() {
		m.live++
		m.digest ^= r.hash
	}
}

func digestOf(member Member) uint64 {
	b := binary.BigEndian.AppendUint64([]byte(member.Name), member.Incarnation)
	return xxhash.Sum64(b)
}

func (m *Machine) setState(now time.Time, r *record, state blackboard.MemberState, accuser string, out *Actions) {
	previous := r.State
	m.updateRecord(r, func() { r.State = state })
	r.changedAt = now
	r.suspicion = nil
	if state == blackboard.MemberSuspect {
		r.suspicion = m.newSuspicion(now, accuser)
	}
	m.enqueueUpdate(r, accuser)
	out.Changes = append(out.Changes, Change{Member: r.Member, Previous: previous})
}

// enqueueUpdate queues the member's state to be piggybacked on messages to other nodes.
func (m *Machine) enqueueUpdate(r *record, accuser string) {
	m.queue.put(toUpdate(r.Member, accuser))
}

// merge applies u if it supersedes the state that this node has: a higher incarnation supersedes a
// lower one, and within one incarnation the order is alive, suspect, dead, left.
func (m *Machine) merge(now time.Time, u *peerpb.MemberUpdate, out *Actions) {
	if u.Name == "" || u.State == peerpb.MemberUpdate_STATE_UNSPECIFIED || u.Incarnation > maxIncarnation {
		return
	}
	if u.Name == m.self.Name {
		m.mergeSelf(now, u, out)
		return
	}
	r, known := m.members[u.Name]
	if !known {
		m.mergeUnknown(now, u, out)
		return
	}
	switch u.State {
	case peerpb.MemberUpdate_ALIVE:
		m.mergeAlive(now, r, u, out)
	case peerpb.MemberUpdate_SUSPECT:
		m.mergeSuspect(now, r, u, out)
	default:
		m.mergeDeadOrLeft(now, r, u, out)
	}
}

// mergeUnknown adds a member that u reports as alive or suspected. Reports that an unknown member
// is dead or has left are ignored.
func (m *Machine) mergeUnknown(now time.Time, u *peerpb.MemberUpdate, out *Actions) {
	deadOrLeft := u.State != peerpb.MemberUpdate_ALIVE && u.State != peerpb.MemberUpdate_SUSPECT
	if deadOrLeft || u.GossipAddress == "" || len(m.records) >= m.options.MaxMembers {
		return
	}
	member := fromUpdate(u)
	member.State = blackboard.MemberAlive
	r := m.add(now, member)
	m.enqueueUpdate(r, "")
	out.Changes = append(out.Changes, Change{Member: r.Member})
	if u.State == peerpb.MemberUpdate_SUSPECT {
		m.setState(now, r, blackboard.MemberSuspect, u.Accuser, out)
	}
}

func (m *Machine) mergeAlive(now time.Time, r *record, u *peerpb.MemberUpdate, out *Actions) {
	if u.Incarnation < r.Incarnation {
		return
	}
	if u.Incarnation == r.Incarnation {
		if m.updateConfigVersion(r, u.ConfigVersion, out) && m.isAlive(r) && m.live <= maxVersionGossipNodes {
			m.enqueueUpdate(r, "")
		}
		return
	}
	previous := r.State
	member := fromUpdate(u)
	member.State = blackboard.MemberAlive
	member.ConfigVersion = max(member.ConfigVersion, r.ConfigVersion)
	m.updateRecord(r, func() { r.Member = member })
	r.changedAt = now
	r.suspicion = nil
	m.enqueueUpdate(r, "")
	out.Changes = append(out.Changes, Change{Member: r.Member, Previous: previous})
}

func (m *Machine) mergeSuspect(now time.Time, r *record, u *peerpb.MemberUpdate, out *Actions) {
	if u.Incarnation < r.Incarnation {
		return
	}
	if u.Incarnation > r.Incarnation {
		m.updateRecord(r, func() { r.Incarnation = u.Incarnation })
		m.setState(now, r, blackboard.MemberSuspect, u.Accuser, out)
		return
	}
	switch r.State {
	case blackboard.MemberAlive:
		m.setState(now, r, blackboard.MemberSuspect, u.Accuser, out)
	case blackboard.MemberSuspect:
		m.confirm(now, r, u.Accuser)
	}
}

// confirm adds an accuser and gossips it. Accusers beyond those that shorten the suspicion timeout
// are ignored, which bounds the traffic about one member.
func (m *Machine) confirm(now time.Time, r *record, accuser string) {
	if _, ok := r.suspicion.accusers[accuser]; ok || len(r.suspicion.accusers) > fullConfirmations {
		return
	}
	r.suspicion.accusers[accuser] = struct{}{}
	r.suspicion.notBefore = now.Add(r.suspicion.finalPingWindow())
	m.enqueueUpdate(r, accuser)
}

func (m *Machine) mergeDeadOrLeft(now time.Time, r *record, u *peerpb.MemberUpdate, out *Actions) {
	state := blackboard.MemberDead
	if u.State == peerpb.MemberUpdate_LEFT {
		state = blackboard.MemberLeft
	}
	if u.Incarnation < r.Incarnation || (u.Incarnation == r.Incarnation && r.State >= state) {
		return
	}
	m.updateRecord(r, func() { r.Incarnation = u.Incarnation })
	m.setState(now, r, state, u.Accuser, out)
}

// mergeSelf refutes an outdated or wrong state of this node by announcing a higher incarnation.
func (m *Machine) mergeSelf(now time.Time, u *peerpb.MemberUpdate, out *Actions) {
	own := m.self.Incarnation
	if m.leaving || u.Incarnation < own {
		return
	}
	if u.State == peerpb.MemberUpdate_ALIVE {
		// A higher incarnation or another address comes from an earlier process with this name.
		if u.Incarnation > own || u.GossipAddress != m.self.GossipAddress {
			m.raiseIncarnation(u.Incarnation + 1)
		}
		return
	}
	m.refutations++
	m.adjustAwareness(1)
	m.raiseIncarnation(u.Incarnation + 1)
	if now.Before(m.nextRefutationPing) {
		return
	}
	m.nextRefutationPing = now.Add(m.options.ProbeInterval)
	m.pingSample(refuteFanout, out)
}

func (m *Machine) raiseIncarnation(incarnation uint64) {
	m.updateRecord(m.self, func() { m.self.Incarnation = incarnation })
	m.enqueueUpdate(m.self, "")
}

// updateConfigVersion raises the member's configuration version and reports whether it rose.
func (m *Machine) updateConfigVersion(r *record, version uint64, out *Actions) bool {
	if version <= r.ConfigVersion {
		return false
	}
	r.ConfigVersion = version
	out.Changes = append(out.Changes, Change{Member: r.Member, Previous: r.State})
	return true
}

// expireMembers declares members dead whose suspicion timed out, and removes those that have been
// dead or left for longer than their TTL.
func (m *Machine) expireMembers(now time.Time, out *Actions) {
	for i := len(m.records) - 1; i >= 0; i-- {
		r := m.records[i]
		if r == m.self {
			continue
		}
		if r.suspicion != nil {
			m.expireSuspicion(now, r, out)
		}
		if m.recordExpired(now, r) {
			m.remove(r)
			out.Changes = append(out.Changes, Change{Member: r.Member, Previous: r.State, Removed: true})
		}
	}
}

// expireSuspicion declares r dead once its suspicion timed out. Before that it sends the final
// pings, because a refutation may have been lost before it reached this node. In a fleet larger than
// finalPingers, a random part of the nodes sends each of them.
func (m *Machine) expireSuspicion(now time.Time, r *record, out *Actions) {
	if !now.Before(r.suspicion.deadline()) {
		m.setState(now, r, blackboard.MemberDead, m.self.Name, out)
		return
	}
	if !r.suspicion.finalPingDue(now) {
		return
	}
	r.suspicion.finalPings++
	if m.options.Rand.IntN(m.live) < finalPingers {
		m.sendTo(out, r, m.message(peerpb.Gossip_PING, m.nextSequence()))
	}
}

func (m *Machine) recordExpired(now time.Time, r *record) bool {
	switch r.State {
	case blackboard.MemberDead:
		return now.Sub(r.changedAt) >= m.options.DeadTTL
	case blackboard.MemberLeft:
		return now.Sub(r.changedAt) >= m.options.LeftTTL
	}
	return false
}

func toUpdate(member Member, accuser string) *peerpb.MemberUpdate {
	return &peerpb.MemberUpdate{
		Name:          member.Name,
		GossipAddress: member.GossipAddress,
		RpcAddress:    member.RPCAddress,
		DataCentre:    member.DataCentre,
		Region:        member.Region,
		Incarnation:   member.Incarnation,
		State:         peerpb.MemberUpdate_State(member.State),
		ConfigVersion: member.ConfigVersion,
		Draining:      member.Draining,
		Accuser:       accuser,
	}
}

func fromUpdate(u *peerpb.MemberUpdate) Member {
	return Member{
		Name:          u.Name,
		GossipAddress: u.GossipAddress,
		RPCAddress:    u.RpcAddress,
		DataCentre:    u.DataCentre,
		Region:        u.Region,
		Incarnation:   u.Incarnation,
		State:         blackboard.MemberState(u.State),
		ConfigVersion: u.ConfigVersion,
		Draining:      u.Draining,
	}
}
