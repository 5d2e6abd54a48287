package admission

import (
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
)

// FirstToken records that the prefill of a slot is done, with the number of tokens and the time
// that it took, and renews the slot. It returns false for an unknown slot.
func (q *Queue) FirstToken(now time.Time, id uint64, computedTokens int, prefill time.Duration) bool {
	s, ok := q.slots[id]
	if !ok {
		return false
	}
	s.renewedAt = now
	if s.prefillDone {
		return true
	}
	s.prefillDone = true
	s.firstTokenAt = now
	if s.exclusivePrefill {
		q.rates.observePrefill(computedTokens, prefill)
	}
	return true
}

// Renew restarts the TTL of a slot. It returns false for an unknown slot.
func (q *Queue) Renew(now time.Time, id uint64) bool {
	s, ok := q.slots[id]
	if ok {
		s.renewedAt = now
	}
	return ok
}

// Done frees the slot of a request that ended. abandoned is set if its caller left, failed if
// the request failed. It returns false for an unknown slot.
func (q *Queue) Done(now time.Time, id uint64, abandoned, failed bool) bool {
	s, ok := q.slots[id]
	if !ok {
		return false
	}
	delete(q.slots, id)
	if !failed {
		q.curves.Observe(s.ticket.Workspace, now.Sub(s.ticket.Arrived), abandoned)
	}
	if s.prefillDone {
		q.rates.observeDecode(now.Sub(s.firstTokenAt), s.ticket.OutputTokens, abandoned || failed)
	}
	return true
}

// ExpireSlots frees the slots that were not renewed within the slot TTL and returns their numbers.
func (q *Queue) ExpireSlots(now time.Time) []uint64 {
	var ids []uint64
	for id, s := range q.slots {
		if now.Sub(s.renewedAt) > q.options.SlotTTL {
			delete(q.slots, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// ClearSlots frees all slots. The caller calls it after a restart of the engine.
func (q *Queue) ClearSlots() { clear(q.slots) }

// SetLoad applies the engine's load report. The report lags, but the number of this queue's own
// requests is known exactly, so only the excess over their recent peak counts as external.
func (q *Queue) SetLoad(load engine.Load) {
	q.externalRequests = max(0, load.Running+load.Queued-q.peakSlots)
	q.externalTokens = 0
	if q.externalRequests > 0 {
		q.externalTokens = max(0, load.BacklogTokens-q.ownPrefillTokens())
	}
	q.limiter.observe(load, len(q.slots), q.ownPrefills(), len(q.waiting))
	q.peakSlots = len(q.slots)
}

func (q *Queue) ownPrefillTokens() int {
	sum := 0
	for _, s := range q.slots {
		if !s.prefillDone {
			sum += s.ticket.MissingTokens
		}
	}
	return sum
}

func (q *Queue) ownPrefills() int {
	n := 0
	for _, s := range q.slots {
		if !s.prefillDone {
			n++
		}
	}
	return n
}

func (q *Queue) enginePrefillTokens() int { return q.ownPrefillTokens() + q.externalTokens }

// Waiting returns the number of waiting tickets.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of slots in use plus the external requests.
func (q *Queue) Running() int { return len(q.slots) + q.externalRequests }

// BacklogTokens returns the number of tokens that wait for prefill, in the queue and in the engine.
func (q *Queue) BacklogTokens() int {
	sum := q.enginePrefillTokens()
	for _, t := range q.waiting {
		sum += t.AddedTokens
	}
	return sum
}

// Rates returns the estimated rates of the engine. Changes to them apply to the queue.
func (q *Queue) Rates() *Rates { return &q.rates }

// ConcurrencyLimit returns the number of requests that may run on the engine now.
func (q *Queue) ConcurrencyLimit() int { return q.limiter.current() }

// PredictTTFT returns the expected time to first token of a ticket that arrives now. Tickets that
// fair queueing orders behind it are not counted.
func (q *Queue) PredictTTFT(now time.Time, t *Ticket) time.Duration {
	start := q.virtualStart(t)
	tokensAhead := q.enginePrefillTokens()
	ticketsAhead := 0
	for _, waiting := range q.waiting {
		if waiting.virtualStart <= start {
			tokensAhead += waiting.AddedTokens
			ticketsAhead++
		}
	}
	wait := q.prefillTime(tokensAhead)
	if excess := len(q.slots) + q.externalRequests + ticketsAhead + 1 - q.limiter.current(); excess > 0 {
		perSlot := float64(q.rates.DecodeTime()) / float64(q.limiter.current())
		wait = max(wait, time.Duration(perSlot*float64(excess)))
	}
	if held := t.HeldUntil.Sub(now); held > wait {
		wait = held
	}
	return wait + q.prefillTime(t.AddedTokens)
}
