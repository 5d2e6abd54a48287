package claims

import (
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
)

// AttemptStep is what an entry node does next with an attempt.
type AttemptStep int

// Steps of an attempt.
const (
	// AskWriter asks the shard's usual writer.
	AskWriter AttemptStep = iota + 1
	// AskLocal asks this node's own writer.
	AskLocal
	// SendOnce allows to send, once TakeSend has returned true.
	SendOnce
	// Answer answers the caller from the verdict, without sending.
	Answer
)

// Attempt is one try of one entry node to run a request. The same id goes to every writer that
// is asked, so that a lost reply cannot lead to a second claim.
type Attempt struct {
	op      ClaimOp
	started time.Time
	reply   Reply
	sent    bool
	ended   bool
	// mayBePending is set when a writer may have stored the claim without saying so.
	mayBePending bool
}

// NewAttempt starts an attempt. now must carry a monotonic reading.
func NewAttempt(op ClaimOp, now time.Time) *Attempt { return &Attempt{op: op, started: now} }

// Op returns the claim that writers are asked for.
func (a *Attempt) Op() ClaimOp { return a.op }

// Reply returns the last verdict.
func (a *Attempt) Reply() Reply { return a.reply }

// First returns the first step: the usual writer unless this node is the usual writer itself.
func (a *Attempt) First(local bool) AttemptStep {
	if local {
		return AskLocal
	}
	return AskWriter
}

// WriterDone takes the usual writer's reply. failed means that no reply arrived.
func (a *Attempt) WriterDone(r Reply, failed bool) AttemptStep {
	if failed || r.Verdict == Unavailable {
		a.mayBePending = true
		return AskLocal
	}
	return a.settle(r)
}

// LocalDone takes the reply of this node's own writer.
func (a *Attempt) LocalDone(r Reply) AttemptStep {
	a.mayBePending = a.mayBePending || r.Verdict == Unavailable
	return a.settle(r)
}

func (a *Attempt) settle(r Reply) AttemptStep {
	a.reply = r
	if r.Verdict == Granted {
		a.mayBePending = true
		return SendOnce
	}
	return Answer
}

// TakeSend reports whether the attempt may send now. It returns true at most once, only for a
// granted attempt and only within SendWithin of its start, by both clocks: later the
// claim may have been trimmed by a node whose clock runs ahead.
func (a *Attempt) TakeSend(now time.Time) bool {
	if a.sent || a.ended || a.reply.Verdict != Granted {
		return false
	}
	if clock.Elapsed(a.started, now) > SendWithin {
		return false
	}
	a.sent = true
	return true
}

// End ends an attempt whose outcome is being recorded. It sends no more.
func (a *Attempt) End() { a.ended = true }

// Abandon ends an attempt that has not sent: it never will. It reports whether the writers must
// be told NotSent, because one of them may hold the claim.
func (a *Attempt) Abandon() (tell bool) {
	if a.sent || a.ended {
		return false
	}
	a.ended = true
	return a.mayBePending
}
