package limits

import (
	"slices"
	"time"
)

const (
	// silentAfter is the time without an answer after which a holder of a part is no longer appointed.
	silentAfter = 1500 * time.Millisecond
	// seedsGoneTerms is the number of further terms after which a leader that does not reach most seeds uses the parts whose
	// holders it does not know: the seeds may be gone for good, or hold the parts in another part of a network cut in two.
	seedsGoneTerms = 50
)

// owner is the leader's record of the parts and their holders.
type owner struct {
	term  time.Duration
	parts [Parts]ownedPart
	peers map[string]*ownerPeer
}

// ownedPart is one part of the quotas.
type ownedPart struct {
	// holder is "" if the part is held by nobody, or, until unknownUntil, by a node that is not known.
	holder       string
	unknownUntil time.Time
	// chosenAt is the time at which the holder was chosen, and holdSentAt that of the last appointment that can have made it
	// hold the part, or zero.
	chosenAt, holdSentAt time.Time
	// initial is set if the holder, a seed, was not chosen: seeds may all be in one data centre. Once a better node is known,
	// the holder is told to drop the part, first at dropSentAt.
	initial    bool
	dropSentAt time.Time
}

// ownerPeer is what the leader knows of a node that has answered an appointment or holds parts.
type ownerPeer struct {
	start uint64
	// firstAckAt is the time of the first answer.
	firstAckAt time.Time
	// stamp is the newest Ack.Stamp. askedAt is the time of the newest appointment that was answered, and ackedAt that of the
	// last answer.
	stamp            int64
	askedAt, ackedAt time.Time
	drop             uint8
}

// newOwner returns the record of a new leader. Nodes to which an earlier leader has given parts may hold them until
// unknownUntil.
func newOwner(term time.Duration, unknownUntil time.Time) *owner {
	o := &owner{term: term, peers: map[string]*ownerPeer{}}
	for i := range o.parts {
		o.parts[i].unknownUntil = unknownUntil
	}
	return o
}

// initialRule tells what a leader does with parts that seeds hold since their start.
type initialRule int

const (
	// initialUnknown applies to a leader that has just started: it has not heard yet whether there was another leader.
	initialUnknown initialRule = iota
	// initialAccepted applies to the first leader since the start of all nodes.
	initialAccepted
	// initialDropped applies to any other leader.
	initialDropped
)

func (o *owner) peer(address string) *ownerPeer {
	p := o.peers[address]
	if p == nil {
		p = &ownerPeer{}
		o.peers[address] = p
	}
	return p
}

// silent reports whether a holder has not answered for a while.
func (o *owner) silent(part *ownedPart, now time.Time) bool {
	last := part.chosenAt
	if p := o.peers[part.holder]; p != nil && p.ackedAt.After(last) {
		last = p.ackedAt
	}
	return now.Sub(last) > silentAfter
}

// heardMost reports whether most seeds have heard of this leader for long enough that no seed uses parts that it holds since
// its start.
func (o *owner) heardMost(seeds []string, now time.Time) bool {
	heard := 0
	for _, s := range seeds {
		if p := o.peers[s]; p != nil && !p.firstAckAt.IsZero() && now.Sub(p.firstAckAt) > loanTTL+clockMargin {
			heard++
		}
	}
	return heard > len(seeds)/2
}

// assign gives the parts that are free to candidates, and to this node if there is none. It returns the parts whose holder
// changed. Parts whose holder was not known are free if heardMost is set, and otherwise after seedsGoneTerms.
func (o *owner) assign(self string, candidates []string, heardMost bool, now time.Time) (changed []int) {
	for i := range o.parts {
		p := &o.parts[i]
		if p.holder != "" && p.holder != self && o.silent(p, now) && (p.holdSentAt.IsZero() || now.Sub(p.holdSentAt) > o.term+clockMargin) {
			*p = ownedPart{}
			changed = append(changed, i)
		}
		if p.initial && p.holder != self && p.dropSentAt.IsZero() && !slices.Contains(candidates, p.holder) && o.candidate(self, candidates, now) != self {
			p.dropSentAt = now
			// One part moves at a time.
			break
		}
		unknownUntil := p.unknownUntil
		if !unknownUntil.IsZero() && !heardMost {
			unknownUntil = unknownUntil.Add(seedsGoneTerms * o.term)
		}
		if p.holder == "" && now.Before(unknownUntil) || p.holder != "" && p.holder != self {
			continue
		}
		next := o.candidate(self, candidates, now)
		if next == p.holder {
			continue
		}
		*p = ownedPart{holder: next, chosenAt: now}
		changed = append(changed, i)
	}
	return changed
}

// candidate returns the first candidate that holds no part and has not failed to answer, or this node.
func (o *owner) candidate(self string, candidates []string, now time.Time) string {
	for _, c := range candidates {
		if c == self || o.holds(c) {
			continue
		}
		if p := o.peers[c]; p != nil && now.Sub(p.ackedAt) <= silentAfter {
			return c
		}
	}
	return self
}

func (o *owner) holds(address string) bool {
	return slices.ContainsFunc(o.parts[:], func(p ownedPart) bool { return p.holder == address })
}

// appointment returns the parts that a node should hold, and records that it is told so. It is told only once it has
// answered: only then can it date the appointment. A leader that has released its lease extends no term.
func (o *owner) appointment(to string, env Env, stamp int64, now time.Time) *Appointment {
	peer := o.peer(to)
	ap := &Appointment{Version: env.LeaseVersion, Stamp: stamp, Echo: peer.stamp, Drop: peer.drop}
	peer.drop = 0
	if !env.HoldsLease {
		return ap
	}
	for i := range o.parts {
		p := &o.parts[i]
		if p.holder != to || o.silent(p, now) {
			continue
		}
		if !p.dropSentAt.IsZero() {
			ap.Drop |= bit(i)
			continue
		}
		ap.Hold |= bit(i)
		if peer.stamp != 0 {
			p.holdSentAt = now
		}
	}
	ap.Drop &^= ap.Hold
	return ap
}

// ack records an answer to the appointment that was sent at askedAt, which is zero if it is not an answer or that is not
// known. It returns the parts that the sender holds and the parts that have become free. Parts held since the start of the
// sender are accepted as initial says.
func (o *owner) ack(from string, start uint64, ack *Ack, askedAt time.Time, initial initialRule, now time.Time) (held, freed []int) {
	peer := o.peer(from)
	if start != peer.start && peer.start != 0 {
		// An answer of an earlier process may arrive late.
		if !askedAt.After(peer.askedAt) {
			return nil, nil
		}
		// The restarted process holds what the answer states only.
		for i := range o.parts {
			if o.parts[i].holder == from {
				o.parts[i] = ownedPart{}
				freed = append(freed, i)
			}
		}
		*peer = ownerPeer{}
	}
	for i := range o.parts {
		if o.parts[i].holder == from && ack.Released {
			o.parts[i] = ownedPart{}
			freed = append(freed, i)
		}
	}
	if ack.Released {
		peer.ackedAt = time.Time{}
		return nil, freed
	}
	if peer.firstAckAt.IsZero() && !askedAt.IsZero() {
		peer.firstAckAt = now
	}
	peer.start, peer.stamp, peer.ackedAt = start, max(peer.stamp, ack.Stamp), now
	if askedAt.After(peer.askedAt) {
		peer.askedAt = askedAt
	}
	for i := range o.parts {
		p := &o.parts[i]
		if p.holder == from && !p.dropSentAt.IsZero() && askedAt.After(p.dropSentAt) && ack.Held&bit(i) == 0 {
			*p = ownedPart{}
			freed = append(freed, i)
		}
		isInitial := ack.Initial&bit(i) != 0
		if ack.Held&bit(i) == 0 || isInitial && initial == initialUnknown {
			continue
		}
		if p.holder == "" && !p.unknownUntil.IsZero() && (!isInitial || initial == initialAccepted) {
			// Its term may have been extended a moment ago.
			*p = ownedPart{holder: from, chosenAt: now, holdSentAt: now, initial: isInitial}
		}
		if p.holder != from {
			peer.drop |= bit(i)
			continue
		}
		held = append(held, i)
	}
	return held, freed
}

// holders returns the holder of each part, or "".
func (o *owner) holders() []string {
	list := make([]string, Parts)
	for i := range o.parts {
		list[i] = o.parts[i].holder
	}
	return list
}
