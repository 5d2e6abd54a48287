package admission

import (
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
)

// FirstToken records that the prefill of a slot is done. It reports false for an unknown slot.
func (q *Queue) FirstToken(now time.Time, id uint64, computedTokens int, prefill time.Duration) bool {
	s, ok := q.slots[id]
	if !ok {
		return false
	}
	s.renewedAt = now
	if s.firstToken {
		return true
	}
	s.firstToken = true
	s.firstTokenAt = now
	if s.alone {
		q.rates.observePrefill(computedTokens, prefill)
	}
	return true
}

// Renew keeps a slot alive. It reports false for an unknown slot.
func (q *Queue) Renew(now time.Time, id uint64) bool {
	s, ok := q.slots[id]
	if ok {
		s.renewedAt = now
	}
	return ok
}

// Done frees a slot. It reports false for an unknown slot.
func (q *Queue) Done(now time.Time, id uint64, abandoned, failed bool) bool {
	s, ok := q.slots[id]
	if !ok {
		return false
	}
	delete(q.slots, id)
	if !failed {
		q.curves.Observe(s.ticket.Workspace, now.Sub(s.ticket.Arrived), abandoned)
	}
	if s.firstToken {
		q.rates.observeDecode(now.Sub(s.firstTokenAt), s.ticket.OutputTokens, abandoned || failed)
	}
	return true
}

// Expire frees the slots that were not renewed within the hold time and returns their numbers.
func (q *Queue) Expire(now time.Time) []uint64 {
	var ids []uint64
	for id, s := range q.slots {
		if now.Sub(s.renewedAt) > q.options.HoldTime {
			delete(q.slots, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// Clear frees all slots, after the engine has restarted.
func (q *Queue) Clear() { clear(q.slots) }

// SetLoad takes the engine's own report. The report lags: work that passed through this queue is
// known exactly, so only the excess over its recent peak counts as foreign.
func (q *Queue) SetLoad(l engine.Load) {
	q.foreignRunning = max(0, l.Running+l.Queued-q.ownPeak)
	q.foreignTokens = 0
	if q.foreignRunning > 0 {
		q.foreignTokens = max(0, l.BacklogTokens-q.prefillingOwn())
	}
	q.limit.observe(l, len(q.slots), q.prefilling(), len(q.waiting))
	q.ownPeak = len(q.slots)
}

func (q *Queue) prefillingOwn() int {
	sum := 0
	for _, s := range q.slots {
		if !s.firstToken {
			sum += s.ticket.MissingTokens
		}
	}
	return sum
}

func (q *Queue) prefilling() int {
	n := 0
	for _, s := range q.slots {
		if !s.firstToken {
			n++
		}
	}
	return n
}

func (q *Queue) prefillingTokens() int { return q.prefillingOwn() + q.foreignTokens }

// Waiting returns the number of tickets that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of slots in use, with the foreign work.
func (q *Queue) Running() int { return len(q.slots) + q.foreignRunning }

// Backlog returns the tokens that wait for prefill, in the queue and in the engine.
func (q *Queue) Backlog() int {
	sum := q.prefillingTokens()
	for _, t := range q.waiting {
		sum += t.AddedTokens
	}
	return sum
}

// Rates returns the fitted rates of the engine.
func (q *Queue) Rates() *Rates { return &q.rates }

// Limit returns the number of requests that may run on the engine now.
func (q *Queue) Limit() int { return q.limit.current() }

// Predict returns the expected time to first token of a ticket that arrives now. Work of
// workspaces that fair queueing puts behind the ticket is not counted.
func (q *Queue) Predict(now time.Time, t *Ticket) time.Duration {
	start := q.startOf(t)
	ahead := q.prefillingTokens()
	count := 0
	for _, w := range q.waiting {
		if w.start <= start {
			ahead += w.AddedTokens
			count++
		}
	}
	wait := q.prefillTime(ahead)
	if excess := len(q.slots) + q.foreignRunning + count + 1 - q.limit.current(); excess > 0 {
		perSlot := float64(q.rates.Service()) / float64(q.limit.current())
		wait = max(wait, time.Duration(perSlot*float64(excess)))
	}
	if held := t.HeldUntil.Sub(now); held > wait {
		wait = held
	}
	return wait + q.prefillTime(t.AddedTokens)
}
