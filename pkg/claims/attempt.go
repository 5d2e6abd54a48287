package claims

import (
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
)

// AttemptStep is what an entry node does next with an attempt.
type AttemptStep int

// Steps of an attempt.
const (
	// ClaimAtPreferredWriter asks the shard's usual writer.
	ClaimAtPreferredWriter AttemptStep = iota + 1
	// ClaimAtLocalWriter asks this node's own writer.
	ClaimAtLocalWriter
	// SendOnce allows to send, once TakeSend has returned true.
	SendOnce
	// Respond answers the caller from the verdict, without sending.
	Respond
)

// Attempt is one try of one entry node to run a request. The same id goes to every writer that
// is asked, so that a lost reply cannot lead to a second claim.
type Attempt struct {
	op      ClaimOp
	started time.Time
	reply   Reply
	sent    bool
	closed  bool
	// mayBeStored is set when a writer may have stored the claim without saying so.
	mayBeStored bool
}

// NewAttempt starts an attempt. now must carry a monotonic reading.
func NewAttempt(op ClaimOp, now time.Time) *Attempt { return &Attempt{op: op, started: now} }

// Op returns the claim that writers are asked for.
func (a *Attempt) Op() ClaimOp { return a.op }

// Reply returns the last verdict.
func (a *Attempt) Reply() Reply { return a.reply }

// FirstStep returns the first step: the usual writer unless this node is the usual writer itself.
func (a *Attempt) FirstStep(local bool) AttemptStep {
	if local {
		return ClaimAtLocalWriter
	}
	return ClaimAtPreferredWriter
}

// PreferredWriterDone takes the usual writer's reply. failed means that no reply arrived.
func (a *Attempt) PreferredWriterDone(r Reply, failed bool) AttemptStep {
	if failed || r.Verdict == Unavailable {
		a.mayBeStored = true
		return ClaimAtLocalWriter
	}
	return a.applyReply(r)
}

// LocalWriterDone takes the reply of this node's own writer.
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
// granted attempt and only within SendWithin of its start, by both clocks: later the
// claim may have been trimmed by a node whose clock runs ahead.
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

// Close ends an attempt whose outcome is being recorded. It sends no more.
func (a *Attempt) Close() { a.closed = true }

// Abandon ends an attempt that has not sent: it never will. It reports whether the writers must
// be told NotSent, because one of them may hold the claim.
func (a *Attempt) Abandon() (tell bool) {
	if a.sent || a.closed {
		return false
	}
	a.closed = true
	return a.mayBeStored
}
