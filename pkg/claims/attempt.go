package claims

import (
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
)

// AttemptStep is the next thing that the entry node has to do for an attempt.
type AttemptStep int

// Steps of an attempt.
const (
	// ClaimAtPreferredWriter sends the claim to the shard's preferred writer.
	ClaimAtPreferredWriter AttemptStep = iota + 1
	// ClaimAtLocalWriter submits the claim to this node's own writer.
	ClaimAtLocalWriter
	// SendOnce permits sending the request once, after AuthorizeSend has returned true.
	SendOnce
	// Respond responds to the caller according to the verdict, without sending.
	Respond
)

// Attempt is one entry node's attempt to have a request executed. It gives every writer the same
// attempt id, so that a second claim after a lost reply is recognised as the same one.
type Attempt struct {
	op      ClaimOp
	started time.Time
	reply   Reply
	sent    bool
	closed  bool
	// mayBeStored is set if a writer has stored the claim, or may have stored it without a reply
	// that confirms it.
	mayBeStored bool
}

// NewAttempt starts an attempt. now must have a monotonic clock reading.
func NewAttempt(op ClaimOp, now time.Time) *Attempt { return &Attempt{op: op, started: now} }

// Op returns the claim to submit to writers.
func (a *Attempt) Op() ClaimOp { return a.op }

// Reply returns the last reply of a writer.
func (a *Attempt) Reply() Reply { return a.reply }

// FirstStep returns the first step. local is set if this node is the preferred writer or
// cannot reach it.
func (a *Attempt) FirstStep(local bool) AttemptStep {
	if local {
		return ClaimAtLocalWriter
	}
	return ClaimAtPreferredWriter
}

// PreferredWriterDone handles the preferred writer's reply and returns the next step. failed means
// that no reply arrived; r is then ignored.
func (a *Attempt) PreferredWriterDone(r Reply, failed bool) AttemptStep {
	if failed || r.Verdict == Unavailable {
		a.mayBeStored = true
		return ClaimAtLocalWriter
	}
	return a.applyReply(r)
}

// LocalWriterDone handles the reply of this node's own writer and returns the next step.
func (a *Attempt) LocalWriterDone(r Reply) AttemptStep {
	a.mayBeStored = a.mayBeStored || r.Verdict == Unavailable
	return a.applyReply(r)
}

func (a *Attempt) applyReply(r Reply) AttemptStep {
	a.reply = r
	if r.Verdict == Granted {
		a.mayBeStored = true
		return SendOnce
	}
	return Respond
}

// AuthorizeSend reports whether the attempt may send now. It returns true at most once, only for a
// granted attempt and only within SendTimeout of its start, by both the monotonic and the wall clock:
// later, a node whose clock runs ahead may have removed the claim as expired.
func (a *Attempt) AuthorizeSend(now time.Time) bool {
	if a.sent || a.closed || a.reply.Verdict != Granted {
		return false
	}
	if clock.Elapsed(a.started, now) > SendTimeout {
		return false
	}
	a.sent = true
	return true
}

// Close ends an attempt whose outcome is being recorded: AuthorizeSend returns false from then on.
func (a *Attempt) Close() { a.closed = true }

// Abandon ends an attempt that has not sent the request. It reports whether the outcome NotSent must
// be recorded, because a writer may have stored the claim. It does nothing if the request was sent
// or the attempt has ended.
func (a *Attempt) Abandon() (mustRecord bool) {
	if a.sent || a.closed {
		return false
	}
	a.closed = true
	return a.mayBeStored
}
