package admission

import (
	"math"
	"time"
)

// Options configures a Queue. Zero values mean the defaults.
type Options struct {
	// MaxQueued bounds the number of waiting tickets. Default 1000.
	MaxQueued int
	// MaxBatch is the number of requests that the engine runs at once. Default 16.
	MaxBatch int
	// SlotTTL is the time after which a slot that was not renewed is freed. Default 15 s.
	SlotTTL time.Duration
	// PrefillWindow bounds the prefill work that is sent to the engine in advance, as time at the
	// estimated prefill rate. Default 150 ms.
	PrefillWindow time.Duration
	// PrefillRate is the initial estimate of the prefill rate, in tokens per second. Default
	// 20,000.
	PrefillRate float64
}

// Default values of Options.
const (
	DefaultMaxQueued     = 1000
	DefaultMaxBatch      = 16
	DefaultSlotTTL       = 15 * time.Second
	DefaultPrefillWindow = 150 * time.Millisecond
	DefaultPrefillRate   = 20_000.0
)

// outputCost is the fair-queueing cost of an output token, in prefill tokens. A decode step serves
// all requests of the batch, so one request pays only a part of it.
const outputCost = 4.0

// burstCredit is the engine time by which a workspace that used less than its share may go ahead of
// the others. It covers the bursts of random arrivals; a longer credit lets a flood from one
// workspace start at the cost of the others.
const burstCredit = 2 * time.Second

// abandonmentPenalty is added to the effective deadline of a ticket, in proportion to the
// probability that its caller will have left.
const abandonmentPenalty = 2 * time.Second

// Queue is the admission queue of one engine. It uses start-time fair queueing between workspaces
// and earliest deadline first within a workspace. It is not safe for concurrent use.
type Queue struct {
	options Options
	curves  *SurvivalCurves
	rates   Rates
	limiter concurrencyLimiter
	waiting []*Ticket
	slots   map[uint64]*slot
	// finishTimes holds the virtual finish time of each workspace's last ticket.
	finishTimes map[string]float64
	virtualTime float64
	nextSlot    uint64
	nextSeq     uint64
	// externalRequests and externalTokens are the engine's requests and prefill tokens that did not
	// pass through this queue.
	externalRequests int
	externalTokens   int
	// peakSlots is the highest number of slots in use since the last load report.
	peakSlots int
}

// New returns an empty queue. Slot numbers start above firstSlot, which must differ between owners
// of the same engine, so that a slot of an earlier owner is not mistaken for a new one. The curves
// may be shared by the queues of a node.
func New(options Options, curves *SurvivalCurves, firstSlot uint64) *Queue {
	if options.MaxQueued <= 0 {
		options.MaxQueued = DefaultMaxQueued
	}
	if options.MaxBatch <= 0 {
		options.MaxBatch = DefaultMaxBatch
	}
	if options.SlotTTL <= 0 {
		options.SlotTTL = DefaultSlotTTL
	}
	if options.PrefillWindow <= 0 {
		options.PrefillWindow = DefaultPrefillWindow
	}
	if options.PrefillRate <= 0 {
		options.PrefillRate = DefaultPrefillRate
	}
	return &Queue{
		options:     options,
		curves:      curves,
		rates:       newRates(options.PrefillRate),
		limiter:     newConcurrencyLimiter(options.MaxBatch),
		slots:       map[uint64]*slot{},
		finishTimes: map[string]float64{},
		nextSlot:    firstSlot,
	}
}

// SetMaxBatch sets the number of requests that the engine runs at once. A change resets the
// concurrency limit to n. Values of 0 or less are ignored.
func (q *Queue) SetMaxBatch(n int) {
	if n > 0 && n != q.options.MaxBatch {
		q.options.MaxBatch = n
		q.limiter.setMax(n)
	}
}

// Enqueue adds a ticket to the queue or rejects it immediately. The caller calls GrantNext
// afterwards.
func (q *Queue) Enqueue(now time.Time, t Ticket) Outcome {
	t.Weight = max(1, t.Weight)
	predicted := q.PredictTTFT(now, &t)
	outcome := Outcome{TicketID: t.ID, Verdict: Queued, PredictedTTFT: predicted}
	switch {
	case !t.Deadline.IsZero() && now.Add(predicted).After(t.Deadline):
		outcome.Verdict = DeadlineMissed
	case t.DeclineOver > 0 && predicted+q.recomputeCost(&t) > t.DeclineOver:
		outcome.Verdict = Declined
	case len(q.waiting) >= q.options.MaxQueued:
		outcome.Verdict = QueueFull
	}
	if outcome.Verdict != Queued {
		return outcome
	}
	q.add(&t)
	return outcome
}

func (q *Queue) recomputeCost(t *Ticket) time.Duration {
	return time.Duration(t.RecomputeFactor * float64(q.prefillTime(t.AddedTokens)))
}

func (q *Queue) add(t *Ticket) {
	q.nextSeq++
	t.seq = q.nextSeq
	t.virtualStart = q.virtualStart(t)
	q.finishTimes[t.Workspace] = t.virtualStart + t.cost()/float64(t.Weight)
	q.waiting = append(q.waiting, t)
}

// virtualStart returns the virtual start time of a new ticket. A workspace that used less than its
// share keeps a bounded credit, so that its short bursts go ahead of the backlog of a workspace
// that uses more.
func (q *Queue) virtualStart(t *Ticket) float64 {
	credit := q.rates.PrefillRate() * burstCredit.Seconds()
	finish, ok := q.finishTimes[t.Workspace]
	if !ok {
		return q.virtualTime - credit
	}
	return max(q.virtualTime-credit, finish)
}

func (t *Ticket) cost() float64 {
	return float64(t.MissingTokens) + outputCost*float64(t.OutputTokens) + 1
}

// RemoveSuperseded removes the waiting tickets of the same caller that a new ticket replaces, and
// returns their outcomes. It does nothing unless Ticket.Supersede is set, which is only the case
// for workspaces that declare superseding.
func (q *Queue) RemoveSuperseded(t *Ticket) []Outcome {
	if !t.Supersede || t.Caller == "" {
		return nil
	}
	var out []Outcome
	for i := len(q.waiting) - 1; i >= 0; i-- {
		waiting := q.waiting[i]
		if waiting.Workspace != t.Workspace || waiting.Caller != t.Caller || waiting.ID == t.ID {
			continue
		}
		q.removeWithRefund(i)
		out = append(out, Outcome{TicketID: waiting.ID, Verdict: Superseded})
	}
	return out
}

// Cancel removes a waiting ticket whose caller left, and reports whether it was waiting.
func (q *Queue) Cancel(now time.Time, ticketID string) bool {
	for i, t := range q.waiting {
		if t.ID != ticketID {
			continue
		}
		q.curves.Observe(t.Workspace, now.Sub(t.Arrived), true)
		q.removeWithRefund(i)
		return true
	}
	return false
}

// removeWithRefund removes the ticket at index i and refunds its fair-queueing cost to its
// workspace.
func (q *Queue) removeWithRefund(i int) {
	t := q.waiting[i]
	cost := t.cost() / float64(t.Weight)
	q.finishTimes[t.Workspace] -= cost
	for _, other := range q.waiting {
		if other.Workspace == t.Workspace && other.virtualStart > t.virtualStart {
			other.virtualStart -= cost
		}
	}
	q.removeAt(i)
}

func (q *Queue) removeAt(i int) *Ticket {
	t := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return t
}

// DropLate removes and returns the tickets that can no longer meet their deadline.
func (q *Queue) DropLate(now time.Time) []Outcome { return q.dropLate(now) }

// GrantNext grants a slot to at most one ticket and reports whether it did. Before the next call,
// the caller calls UpdateWaiting, because the prefill of the granted request may also serve waiting
// tickets.
func (q *Queue) GrantNext(now time.Time) (Outcome, bool) {
	if !q.hasCapacity() {
		return Outcome{}, false
	}
	i := q.nextTicket(now)
	if i < 0 || !q.fitsPrefillWindow(q.waiting[i]) {
		return Outcome{}, false
	}
	t := q.removeAt(i)
	q.virtualTime = max(q.virtualTime, t.virtualStart)
	outcome := q.grant(now, t)
	q.dropIdleWorkspaces()
	return outcome, true
}

// UpdateWaiting calls update for each waiting ticket, so that the caller can correct MissingTokens
// and HeldUntil after the engine's cache has changed.
func (q *Queue) UpdateWaiting(update func(t *Ticket)) {
	for _, t := range q.waiting {
		update(t)
	}
}

// Drain removes all waiting tickets and returns their IDs.
func (q *Queue) Drain() []string {
	var ids []string
	for _, t := range q.waiting {
		ids = append(ids, t.ID)
	}
	q.waiting = nil
	return ids
}

func (q *Queue) grant(now time.Time, t *Ticket) Outcome {
	predicted := q.prefillTime(q.enginePrefillTokens() + t.MissingTokens)
	q.nextSlot++
	exclusive := q.enginePrefillTokens() == 0
	q.slots[q.nextSlot] = &slot{id: q.nextSlot, ticket: *t, grantedAt: now, renewedAt: now, exclusivePrefill: exclusive}
	q.peakSlots = max(q.peakSlots, len(q.slots))
	return Outcome{TicketID: t.ID, Verdict: Granted, Slot: q.nextSlot, PredictedTTFT: predicted}
}

func (q *Queue) dropLate(now time.Time) []Outcome {
	var out []Outcome
	for i := len(q.waiting) - 1; i >= 0; i-- {
		t := q.waiting[i]
		if t.Deadline.IsZero() || !now.Add(q.prefillTime(t.MissingTokens)).After(t.Deadline) {
			continue
		}
		q.removeWithRefund(i)
		out = append(out, Outcome{TicketID: t.ID, Verdict: DeadlineMissed})
	}
	return out
}

// hasCapacity reports whether the concurrency limit allows another request on the engine.
func (q *Queue) hasCapacity() bool {
	return len(q.slots)+q.externalRequests < q.limiter.current()
}

// fitsPrefillWindow reports whether the ticket's prefill fits into the prefill work that is sent to
// the engine in advance. An engine without prefill work accepts any ticket.
func (q *Queue) fitsPrefillWindow(t *Ticket) bool {
	sent := q.enginePrefillTokens()
	window := int(q.rates.PrefillRate() * q.options.PrefillWindow.Seconds())
	return sent == 0 || sent+t.MissingTokens <= window
}

// nextTicket returns the index of the ticket to grant next: of the workspace with the smallest
// virtual start time, the ticket with the earliest effective deadline. It returns -1 if no ticket
// waits or all are held.
func (q *Queue) nextTicket(now time.Time) int {
	starts := map[string]float64{}
	for _, t := range q.waiting {
		if t.HeldUntil.After(now) {
			continue
		}
		if earliest, ok := starts[t.Workspace]; !ok || t.virtualStart < earliest {
			starts[t.Workspace] = t.virtualStart
		}
	}
	best := -1
	var bestStart float64
	var bestDeadline time.Time
	for i, t := range q.waiting {
		if t.HeldUntil.After(now) {
			continue
		}
		start := starts[t.Workspace]
		deadline := q.effectiveDeadline(now, t)
		if best < 0 || start < bestStart || start == bestStart && deadline.Before(bestDeadline) {
			best = i
			bestStart = start
			bestDeadline = deadline
		}
	}
	return best
}

// effectiveDeadline returns the ticket's deadline, postponed by up to abandonmentPenalty if its
// caller will probably have left by the time of the first token. A ticket without a deadline counts
// as due one minute after its arrival.
func (q *Queue) effectiveDeadline(now time.Time, t *Ticket) time.Time {
	deadline := t.Deadline
	if deadline.IsZero() {
		deadline = t.Arrived.Add(time.Minute)
	}
	survival := q.survivalProbability(now, t)
	return deadline.Add(time.Duration((1 - survival) * float64(abandonmentPenalty)))
}

func (q *Queue) survivalProbability(now time.Time, t *Ticket) float64 {
	age := now.Sub(t.Arrived)
	needed := q.prefillTime(t.MissingTokens)
	if t.Patience > 0 && age+needed > t.Patience {
		return 0
	}
	return q.curves.SurvivalProbability(t.Workspace, age, needed)
}

// dropIdleWorkspaces drops, once no ticket waits, the finish times that are too old to affect the
// virtual start time of a new ticket.
func (q *Queue) dropIdleWorkspaces() {
	if len(q.waiting) > 0 {
		return
	}
	credit := q.rates.PrefillRate() * burstCredit.Seconds()
	for workspace, finish := range q.finishTimes {
		if finish <= q.virtualTime-credit {
			delete(q.finishTimes, workspace)
		}
	}
}

func (q *Queue) prefillTime(tokens int) time.Duration {
	seconds := float64(tokens) / q.rates.PrefillRate()
	return time.Duration(math.Min(seconds, 3600) * float64(time.Second))
}
