package limits

import "time"

const (
	// DefaultTerm is the time for which a node holds a part after its last appointment. While there is no leader, as in an
	// outage of the platform's store, the quotas can be used until then. A part whose holder is gone, and neither restarts nor
	// releases it, is not used until the end of its term.
	DefaultTerm = 12 * time.Second
	// firstClaims is the time within which a leader hears of the seeds' parts when all nodes start for the first time.
	firstClaims = 2 * time.Second
	// loanTTL is the time for which the leader uses a part after it has sent the appointment that the holder answered. It
	// covers the loss of two answers.
	loanTTL = 400 * time.Millisecond
	// clockMargin allows for clocks that do not run equally fast.
	clockMargin = 20 * time.Millisecond
	// AppointmentInterval is the time between appointments, and the longest time between calls of Agent.Tick.
	AppointmentInterval = 150 * time.Millisecond
	// initialPartsDelay is the time after its start after which a seed may hold parts that nobody has appointed it to: in this time,
	// it hears of a leader if there is one.
	initialPartsDelay = 500 * time.Millisecond
)

// partHolder is what a node knows of the parts that it holds.
type partHolder struct {
	// termUntil is the time until which the node holds each part. initial marks parts that it holds since its start, without
	// an appointment.
	termUntil [Parts]time.Time
	initial   uint8
	// leader is the node whose appointment was accepted last, at appointedAt, with the lease version.
	leader      string
	version     uint64
	appointedAt time.Time
	// leaderStart identifies the leader's process, and stamp is that of its newest appointment.
	leaderStart uint64
	stamp       int64
	// lentUntil is the time until which the parts are lent to the leader.
	lentUntil time.Time
	// released is set once the node stops: it holds no parts any more.
	released bool
}

func bit(part int) uint8 { return 1 << part }

// held returns the parts that the node holds.
func (h *partHolder) held(now time.Time) uint8 {
	mask := h.initial
	for i, until := range h.termUntil {
		if now.Before(until) {
			mask |= bit(i)
		}
	}
	return mask
}

// appoint handles an appointment by a leader. echoAt is the time at which this node sent the answer that the appointment
// repeats, or zero. lent is set if the parts are lent to that leader. ok is false if a newer leader or appointment is known: an
// earlier one that arrives late must not undo it.
func (h *partHolder) appoint(from string, start uint64, ap *Appointment, echoAt time.Time, term time.Duration, now time.Time) (lent, ok bool) {
	if from != h.leader {
		if ap.Version < h.version {
			return false, false
		}
		if now.Before(h.lentUntil) {
			return false, true
		}
	} else if start == h.leaderStart && ap.Stamp <= h.stamp {
		return false, false
	}
	h.leaderStart, h.stamp = start, ap.Stamp
	h.leader, h.version, h.appointedAt = from, max(h.version, ap.Version), now
	for i := range Parts {
		switch {
		case ap.Drop&bit(i) != 0:
			h.termUntil[i] = time.Time{}
			h.initial &^= bit(i)
		case ap.Hold&bit(i) != 0 && !echoAt.IsZero() && !h.released:
			if until := echoAt.Add(term); until.After(h.termUntil[i]) {
				h.termUntil[i] = until
			}
			h.initial &^= bit(i)
		}
	}
	h.lentUntil = now.Add(loanTTL + clockMargin)
	return true, true
}

// usable returns the parts that the node may grant from itself, because they are lent to nobody.
func (h *partHolder) usable(now time.Time) uint8 {
	if now.Before(h.lentUntil) {
		return 0
	}
	return h.held(now)
}
