package limits

import (
	"math/rand/v2"
	"slices"
	"time"
)

// lead begins and ends the leader's ledger, and sends the appointments.
func (a *Agent) lead(env Env, now time.Time) {
	if !env.ActingLeader {
		a.owner, a.ledger = nil, nil
		a.noteLeader(0)
		return
	}
	if a.owner == nil {
		unknown := a.opt.Term
		if a.opt.FirstStart && !a.heardOther && a.firstLeader == a.opt.Self {
			unknown = firstClaims
		}
		a.owner = newOwner(a.opt.Term, now.Add(unknown+clockMargin))
		a.ledger = NewLedger(a.opt.Bounds, rand.Uint32(), true, now)
		a.ledger.SetQuotas(a.quotas, a.version, now)
	}
	var changed []int
	if env.HoldsLease {
		changed = a.owner.assign(a.opt.Self, env.Standbys, a.owner.heardMost(a.seeds, now), now)
	}
	for _, part := range changed {
		a.ledger.Withdraw(part, now)
		holder := a.owner.parts[part].holder
		if holder != a.opt.Self {
			// The new holder may use the part as soon as it is told.
			a.parts.drop(part)
			a.syncInterim(now)
		}
		a.note(Note{Role: "holder", Part: part, Holder: holder})
	}
	for _, to := range a.appointees(env) {
		a.send(to, &Message{Appointment: a.owner.appointment(to, env, a.stamp(now), now)})
	}
	a.noteLeader(a.ledger.Lent(now))
}

// appointees returns the nodes that hold parts, and those that may hold or get some if there are others.
func (a *Agent) appointees(env Env) []string {
	list := []string{a.opt.Self}
	for _, p := range a.owner.parts {
		if p.holder != "" {
			list = append(list, p.holder)
		}
		if p.holder == "" || p.holder == a.opt.Self || p.initial {
			list = append(list, env.Standbys...)
			list = append(list, a.partHolders...)
		}
		if p.holder == "" {
			list = append(list, a.seeds...)
		}
	}
	for address, p := range a.owner.peers {
		if p.drop != 0 {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(s string) bool { return s == "" })
}

func (a *Agent) handleAppointment(from string, start uint64, ap *Appointment, now time.Time) {
	lent, ok := a.parts.appoint(from, start, ap, a.stampTime(ap.Echo, now), a.opt.Term, now)
	if !ok {
		return
	}
	if a.firstLeader == "" {
		a.firstLeader = from
	}
	// What is lent must not be granted here from now on.
	a.syncInterim(now)
	a.send(from, &Message{Ack: a.newAck(ap.Stamp, lent, now)})
}

func (a *Agent) newAck(echo int64, lent bool, now time.Time) *Ack {
	return &Ack{Echo: echo, Stamp: a.stamp(now), Held: a.parts.held(now), Initial: a.parts.initial, Lent: lent, Released: a.parts.released}
}

// Release gives up the parts that this node holds, because it stops, and tells the leader.
func (a *Agent) Release(now time.Time) {
	held := a.parts.held(now)
	a.parts.released = true
	for i := range Parts {
		a.parts.drop(i)
	}
	a.syncInterim(now)
	if leader := a.opt.Env().Leader; held != 0 && leader != "" {
		a.send(leader, &Message{Ack: a.newAck(0, false, now)})
	}
	a.flush(now)
}

func (a *Agent) handleAck(from string, m *Message, now time.Time) {
	if a.owner == nil || !a.opt.Env().ActingLeader {
		return
	}
	askedAt := a.stampTime(m.Ack.Echo, now)
	initial := initialUnknown
	switch {
	case a.heardOther || a.firstLeader != a.opt.Self:
		initial = initialDropped
	case now.Sub(a.startedAt) >= initialPartsDelay:
		initial = initialAccepted
	}
	held, freed := a.owner.ack(from, m.Start, m.Ack, askedAt, initial, now)
	for _, part := range freed {
		a.ledger.Withdraw(part, now)
	}
	if !m.Ack.Lent || askedAt.IsZero() {
		return
	}
	for _, part := range held {
		a.ledger.Lend(part, askedAt.Add(loanTTL), now)
	}
	a.noteLeader(a.ledger.Lent(now))
}

// holdParts grants from the parts that this node holds and that are lent to nobody, and tells a leader of them that does not
// appoint this node.
func (a *Agent) holdParts(env Env, now time.Time) {
	a.syncInterim(now)
	held := a.parts.held(now)
	if held == 0 || env.ActingLeader || now.Sub(a.parts.appointedAt) < loanTTL {
		return
	}
	leader := env.Leader
	if leader == "" {
		leader = env.Heard
	}
	if leader != "" && leader != a.opt.Self {
		a.send(leader, &Message{Ack: a.newAck(0, false, now)})
	}
}

// syncInterim makes the ledger of this node's own parts hold those that it may grant from now.
func (a *Agent) syncInterim(now time.Time) {
	usable := a.parts.usable(now)
	if a.opt.Env().ActingLeader {
		usable = 0
	}
	initialPartsUntil := a.initialPartsUntil(now)
	if !initialPartsUntil.After(now) {
		usable &^= a.parts.initial
	}
	if usable == 0 {
		a.interim = nil
		a.noteInterim(0)
		return
	}
	if a.interim == nil {
		a.interim = NewLedger(a.opt.Bounds, rand.Uint32(), false, now)
		a.interim.SetQuotas(a.quotas, a.version, now)
	}
	for i := range Parts {
		switch {
		case usable&bit(i) == 0:
			a.interim.Withdraw(i, now)
		case a.parts.initial&bit(i) != 0:
			a.interim.Lend(i, initialPartsUntil, now)
		default:
			a.interim.Lend(i, a.parts.termUntil[i], now)
		}
	}
	a.noteInterim(a.interim.Lent(now))
}

// initialPartsUntil returns the time until which this node may use the parts that nobody has appointed it to, or the zero time: it
// and most seeds, which it has asked, have heard of no leader since their start. No part of a network that is cut in two has
// most seeds, unless most of them restart while they are cut off from all nodes that have run longer.
func (a *Agent) initialPartsUntil(now time.Time) time.Time {
	if a.firstLeader != "" || a.heardOther || now.Sub(a.startedAt) < initialPartsDelay {
		return time.Time{}
	}
	needed := len(a.seeds)/2 + 1
	if slices.Contains(a.seeds, a.opt.Self) {
		needed--
	}
	if needed == 0 {
		return now.Add(loanTTL)
	}
	var times []time.Time
	for _, at := range a.freshAt {
		times = append(times, at)
	}
	if len(times) < needed {
		return time.Time{}
	}
	slices.SortFunc(times, func(x, y time.Time) int { return y.Compare(x) })
	return times[needed-1].Add(loanTTL)
}

// drop ends the holding of a part.
func (h *partHolder) drop(part int) {
	h.termUntil[part] = time.Time{}
	h.initial &^= bit(part)
}

func (a *Agent) note(n Note) {
	if a.opt.Note != nil {
		a.opt.Note(n)
	}
}

func (a *Agent) noteLeader(parts int) {
	if parts != a.notedLeader {
		a.notedLeader = parts
		a.note(Note{Role: "leader", Parts: parts})
	}
}

func (a *Agent) noteInterim(parts int) {
	if parts != a.notedInterim {
		a.notedInterim = parts
		a.note(Note{Role: "interim", Parts: parts})
	}
}
