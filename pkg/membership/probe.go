package membership

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// probe is the periodic probe that is in progress. There is one at a time.
type probe struct {
	target   string
	sequence uint64
	// directDeadline is when ping requests go to other members, and deadline when the target
	// becomes suspected.
	directDeadline time.Time
	deadline       time.Time
	pingRequests   int
	nacks          int
}

// relay is an indirect probe that this node runs at the request of another, the origin.
type relay struct {
	origin         string
	address        string
	originSequence uint64
	sequence       uint64
	target         string
	// nackDueAt is when a nack goes to the origin unless the target has acknowledged.
	nackDueAt time.Time
	nacked    bool
	expiresAt time.Time
}

// Tick does the periodic work that is due at now: probes, timeouts and syncs. The caller calls it
// every TickInterval.
func (m *Machine) Tick(now time.Time) Actions {
	var out Actions
	m.extendDeadlinesAfterPause(now)
	if m.leaving {
		return out
	}
	m.expireMembers(now, &out)
	m.tickProbe(now, &out)
	m.tickDead(now, &out)
	m.tickSeeds(now, &out)
	m.tickRelays(now, &out)
	m.tickSync(now, &out)
	return out
}

// extendDeadlinesAfterPause moves all deadlines by the time for which this process was paused. Acks
// may have arrived in the meantime and still wait to be read, so a missing ack is no evidence of a
// failure.
func (m *Machine) extendDeadlinesAfterPause(now time.Time) {
	last := m.lastTick
	m.lastTick = now
	if last.IsZero() || now.Sub(last) < pauseTicks*m.options.TickInterval {
		return
	}
	pause := now.Sub(last) - m.options.TickInterval
	m.adjustAwareness(1)
	if m.probe != nil {
		m.probe.directDeadline = m.probe.directDeadline.Add(pause)
		m.probe.deadline = m.probe.deadline.Add(pause)
	}
	for _, r := range m.records {
		if r.suspicion != nil {
			r.suspicion.started = r.suspicion.started.Add(pause)
			r.suspicion.notBefore = r.suspicion.notBefore.Add(pause)
		}
	}
}

func (m *Machine) tickProbe(now time.Time, out *Actions) {
	if m.probe != nil {
		m.advanceProbe(now, out)
	}
	if m.probe != nil || now.Before(m.nextProbe) {
		return
	}
	m.nextProbe = now.Add(m.scaleTimeout(m.options.ProbeInterval))
	target := m.nextTarget()
	if target == nil {
		return
	}
	m.probe = &probe{
		target:         target.Name,
		sequence:       m.nextSequence(),
		directDeadline: now.Add(m.scaleTimeout(m.directTimeout(target))),
		deadline:       m.nextProbe,
	}
	m.sendTo(out, target, m.message(peerpb.Gossip_PING, m.probe.sequence))
}

func (m *Machine) directTimeout(target *record) time.Duration {
	if target.Region != m.self.Region {
		return 2 * m.options.ProbeTimeout
	}
	return m.options.ProbeTimeout
}

// advanceProbe sends ping requests once the direct timeout has passed, and suspects the target once
// the whole probe has timed out.
func (m *Machine) advanceProbe(now time.Time, out *Actions) {
	p := m.probe
	target, known := m.members[p.target]
	if !known || !target.live() {
		m.probe = nil
		return
	}
	if p.pingRequests == 0 && !now.Before(p.directDeadline) {
		m.sendPingRequests(p, target, out)
	}
	if now.Before(p.deadline) {
		return
	}
	m.probe = nil
	// A live member that got a ping request sends a nack if the target does not respond. Without
	// any nack the fault may be on this node's side.
	if p.nacks == 0 {
		m.adjustAwareness(1)
	}
	if target.State == blackboard.MemberSuspect {
		m.confirm(now, target, m.self.Name)
		return
	}
	m.setState(now, target, blackboard.MemberSuspect, m.self.Name, out)
	// The ping carries the suspicion to the target, so that it can refute it at once.
	m.sendTo(out, target, m.message(peerpb.Gossip_PING, m.nextSequence()))
}

func (m *Machine) sendPingRequests(p *probe, target *record, out *Actions) {
	for _, helper := range m.pingRequestTargets(target) {
		request := m.message(peerpb.Gossip_PING_REQUEST, p.sequence)
		request.Target = target.Name
		request.TargetAddress = target.GossipAddress
		m.sendTo(out, helper, request)
		p.pingRequests++
	}
}

// tickDead probes one dead member, so that the two sides of a partition find each other again
// without an operator.
func (m *Machine) tickDead(now time.Time, out *Actions) {
	if now.Before(m.nextDead) {
		return
	}
	m.nextDead = now.Add(m.options.DeadInterval/2 + m.jitter(m.options.DeadInterval))
	for _, r := range m.sample(1, func(r *record) bool { return r.State == blackboard.MemberDead }) {
		m.sendWithSelf(out, r.GossipAddress, r.Name, m.message(peerpb.Gossip_PING, m.nextSequence()))
	}
}

// tickSeeds probes one random seed that is not the address of a live member.
func (m *Machine) tickSeeds(now time.Time, out *Actions) {
	if now.Before(m.nextSeed) {
		return
	}
	interval := m.options.SeedInterval
	if m.live == 1 {
		interval = m.options.IsolatedSeedInterval
	}
	m.nextSeed = now.Add(interval/2 + m.jitter(interval))
	candidates := m.unknownSeeds()
	if len(candidates) == 0 {
		return
	}
	address := candidates[m.options.Rand.IntN(len(candidates))]
	m.sendWithSelf(out, address, "", m.message(peerpb.Gossip_PING, m.nextSequence()))
}

func (m *Machine) unknownSeeds() []string {
	liveAddresses := map[string]bool{}
	for _, r := range m.records {
		if r.live() {
			liveAddresses[r.GossipAddress] = true
		}
	}
	var unknown []string
	for _, address := range m.seeds {
		if !liveAddresses[address] {
			unknown = append(unknown, address)
		}
	}
	return unknown
}

func (m *Machine) tickRelays(now time.Time, out *Actions) {
	for _, r := range m.relays {
		if !r.nacked && !now.Before(r.nackDueAt) {
			r.nacked = true
			m.send(out, r.address, r.origin, m.message(peerpb.Gossip_NACK, r.originSequence))
		}
	}
	m.relays = slices.DeleteFunc(m.relays, func(r *relay) bool { return !now.Before(r.expiresAt) })
}
