package admission

import (
	"math"
	"time"
)

// Options sets the bounds of a queue. Zero values mean the defaults.
type Options struct {
	// MaxQueued bounds the waiting tickets. Default 1000.
	MaxQueued int
	// MaxBatch is the number of requests that the engine runs at once. Default 16.
	MaxBatch int
	// HoldTime is how long a slot lives without renewal. Default 15 s.
	HoldTime time.Duration
	// PrefillWindow is the amount of prefill work, as time, that is handed to the engine ahead of
	// its need. Default 150 ms.
	PrefillWindow time.Duration
	// PrefillRate is the initial rate in tokens a second. Default 20,000.
	PrefillRate float64
}

// Default values of Options.
const (
	DefaultMaxQueued     = 1000
	DefaultMaxBatch      = 16
	DefaultHoldTime      = 15 * time.Second
	DefaultPrefillWindow = 150 * time.Millisecond
	DefaultPrefillRate   = 20_000.0
)

// outputCost is the fair-queueing cost of an output token in prefill tokens: a decode step is
// shared with the other requests of the batch.
const outputCost = 4.0

// burstCredit is the engine time that a workspace may use ahead of the others after it used less
// than its share. It covers the bursts of random arrivals; a longer credit would let a flood start
// at the cost of the others.
const burstCredit = 2 * time.Second

// abandonPenalty moves a ticket back in its workspace's order by this time when its caller is
// certainly gone, and proportionally less when the caller may have left.
const abandonPenalty = 2 * time.Second

// Queue admits requests to one engine. It is not safe for concurrent use.
type Queue struct {
	options Options
	curves  *Curves
	rates   Rates
	limit   limiter
	waiting []*Ticket
	slots   map[uint64]*slot
	// finish is the virtual finish time of each workspace's last ticket.
	finish   map[string]float64
	virtual  float64
	nextSlot uint64
	nextSeq  uint64
	// foreign is the engine's work that did not pass through this queue.
	foreignRunning int
	foreignTokens  int
	ownPeak        int
}

// New returns an empty queue. Slot numbers start above firstSlot, which must differ between
// owners of the same engine. Curves may be shared by the queues of a node.
func New(options Options, curves *Curves, firstSlot uint64) *Queue {
	if options.MaxQueued <= 0 {
		options.MaxQueued = DefaultMaxQueued
	}
	if options.MaxBatch <= 0 {
		options.MaxBatch = DefaultMaxBatch
	}
	if options.HoldTime <= 0 {
		options.HoldTime = DefaultHoldTime
	}
	if options.PrefillWindow <= 0 {
		options.PrefillWindow = DefaultPrefillWindow
	}
	if options.PrefillRate <= 0 {
		options.PrefillRate = DefaultPrefillRate
	}
	return &Queue{
		options:  options,
		curves:   curves,
		rates:    newRates(options.PrefillRate),
		limit:    newLimiter(options.MaxBatch),
		slots:    map[uint64]*slot{},
		finish:   map[string]float64{},
		nextSlot: firstSlot,
	}
}

// SetMaxBatch sets the number of requests that the engine runs at once.
func (q *Queue) SetMaxBatch(n int) {
	if n > 0 && n != q.options.MaxBatch {
		q.options.MaxBatch = n
		q.limit.setMax(n)
	}
}

// Ask adds a ticket or refuses it at once. The caller runs Next afterwards.
func (q *Queue) Ask(now time.Time, t Ticket) Outcome {
	t.Weight = max(1, t.Weight)
	predicted := q.Predict(now, &t)
	o := Outcome{TicketID: t.ID, Verdict: Queued, Predicted: predicted}
	switch {
	case !t.Deadline.IsZero() && now.Add(predicted).After(t.Deadline):
		o.Verdict = DeadlineMissed
	case t.DeclineOver > 0 && predicted+q.recompute(&t) > t.DeclineOver:
		o.Verdict = Declined
	case len(q.waiting) >= q.options.MaxQueued:
		o.Verdict = QueueFull
	}
	if o.Verdict != Queued {
		return o
	}
	q.add(&t)
	return o
}

func (q *Queue) recompute(t *Ticket) time.Duration {
	return time.Duration(t.RecomputeFactor * float64(q.prefillTime(t.AddedTokens)))
}

func (q *Queue) add(t *Ticket) {
	q.nextSeq++
	t.seq = q.nextSeq
	t.start = q.startOf(t)
	q.finish[t.Workspace] = t.start + t.cost()/float64(t.Weight)
	q.waiting = append(q.waiting, t)
}

// startOf returns the virtual start time of a new ticket. A workspace that used less than its share
// keeps a bounded credit, so that its short bursts pass the backlog of a workspace that uses more.
func (q *Queue) startOf(t *Ticket) float64 {
	credit := q.rates.Prefill() * burstCredit.Seconds()
	finish, ok := q.finish[t.Workspace]
	if !ok {
		return q.virtual - credit
	}
	return max(q.virtual-credit, finish)
}

func (t *Ticket) cost() float64 {
	return float64(t.MissingTokens) + outputCost*float64(t.OutputTokens) + 1
}

// SupersededBy removes the waiting tickets that a new ticket replaces and returns their outcomes.
// Only workspaces that declare superseding set Ticket.Supersede.
func (q *Queue) SupersededBy(t *Ticket) []Outcome {
	if !t.Supersede || t.Caller == "" {
		return nil
	}
	var out []Outcome
	for i := len(q.waiting) - 1; i >= 0; i-- {
		w := q.waiting[i]
		if w.Workspace != t.Workspace || w.Caller != t.Caller || w.ID == t.ID {
			continue
		}
		q.remove(i)
		out = append(out, Outcome{TicketID: w.ID, Verdict: Superseded})
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
		q.remove(i)
		return true
	}
	return false
}

// remove takes the ticket out of the queue and gives its workspace the unused share back.
func (q *Queue) remove(i int) {
	t := q.waiting[i]
	cost := t.cost() / float64(t.Weight)
	q.finish[t.Workspace] -= cost
	for _, w := range q.waiting {
		if w.Workspace == t.Workspace && w.start > t.start {
			w.start -= cost
		}
	}
	q.take(i)
}

func (q *Queue) take(i int) *Ticket {
	t := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return t
}

// Drop removes and returns the tickets that can no longer meet their deadline.
func (q *Queue) Drop(now time.Time) []Outcome { return q.dropLate(now) }

// Next grants at most one ticket and reports whether it did. The caller refreshes the waiting
// tickets before it asks again, because the granted prefill may serve them too.
func (q *Queue) Next(now time.Time) (Outcome, bool) {
	if !q.hasRoom() {
		return Outcome{}, false
	}
	i := q.best(now)
	if i < 0 || !q.fits(q.waiting[i]) {
		return Outcome{}, false
	}
	t := q.take(i)
	q.virtual = max(q.virtual, t.start)
	o := q.grant(now, t)
	q.forgetIdle()
	return o, true
}

// Refresh lets the caller correct MissingTokens and HeldUntil of each waiting ticket after the
// engine's cache has changed.
func (q *Queue) Refresh(correct func(t *Ticket)) {
	for _, t := range q.waiting {
		correct(t)
	}
}

// Drain removes all waiting tickets and returns their ids.
func (q *Queue) Drain() []string {
	var ids []string
	for _, t := range q.waiting {
		ids = append(ids, t.ID)
	}
	q.waiting = nil
	return ids
}

func (q *Queue) grant(now time.Time, t *Ticket) Outcome {
	predicted := q.prefillTime(q.prefillingTokens() + t.MissingTokens)
	q.nextSlot++
	alone := q.prefillingTokens() == 0
	q.slots[q.nextSlot] = &slot{id: q.nextSlot, ticket: *t, grantedAt: now, renewedAt: now, alone: alone}
	q.ownPeak = max(q.ownPeak, len(q.slots))
	return Outcome{TicketID: t.ID, Verdict: Granted, Slot: q.nextSlot, Predicted: predicted}
}

func (q *Queue) dropLate(now time.Time) []Outcome {
	var out []Outcome
	for i := len(q.waiting) - 1; i >= 0; i-- {
		t := q.waiting[i]
		if t.Deadline.IsZero() || !now.Add(q.prefillTime(t.MissingTokens)).After(t.Deadline) {
			continue
		}
		q.remove(i)
		out = append(out, Outcome{TicketID: t.ID, Verdict: DeadlineMissed})
	}
	return out
}

// hasRoom reports whether the engine can take another request at all.
func (q *Queue) hasRoom() bool {
	return len(q.slots)+q.foreignRunning < q.limit.current()
}

// fits reports whether the ticket's prefill fits into the work that is handed to the engine ahead
// of its need. An idle prefill stage takes any ticket.
func (q *Queue) fits(t *Ticket) bool {
	ahead := q.prefillingTokens()
	window := int(q.rates.Prefill() * q.options.PrefillWindow.Seconds())
	return ahead == 0 || ahead+t.MissingTokens <= window
}

// best returns the index of the ticket that is next: the workspace with the smallest virtual
// start time, and within it the ticket with the earliest effective deadline. It returns -1 if
// every ticket is held.
func (q *Queue) best(now time.Time) int {
	starts := map[string]float64{}
	for _, t := range q.waiting {
		if t.HeldUntil.After(now) {
			continue
		}
		if s, ok := starts[t.Workspace]; !ok || t.start < s {
			starts[t.Workspace] = t.start
		}
	}
	best := -1
	var bestTurn float64
	var bestDeadline time.Time
	for i, t := range q.waiting {
		if t.HeldUntil.After(now) {
			continue
		}
		turn := starts[t.Workspace]
		deadline := q.effectiveDeadline(now, t)
		if best < 0 || turn < bestTurn || turn == bestTurn && deadline.Before(bestDeadline) {
			best = i
			bestTurn = turn
			bestDeadline = deadline
		}
	}
	return best
}

// effectiveDeadline is the ticket's deadline, moved back when its caller has probably left by the
// time of the first token.
func (q *Queue) effectiveDeadline(now time.Time, t *Ticket) time.Time {
	deadline := t.Deadline
	if deadline.IsZero() {
		deadline = t.Arrived.Add(time.Minute)
	}
	p := q.stillThere(now, t)
	return deadline.Add(time.Duration((1 - p) * float64(abandonPenalty)))
}

func (q *Queue) stillThere(now time.Time, t *Ticket) float64 {
	age := now.Sub(t.Arrived)
	needed := q.prefillTime(t.MissingTokens)
	if t.Patience > 0 && age+needed > t.Patience {
		return 0
	}
	return q.curves.StillThere(t.Workspace, age, needed)
}

// forgetIdle drops the virtual times of workspaces that have no claim left.
func (q *Queue) forgetIdle() {
	if len(q.waiting) > 0 {
		return
	}
	credit := q.rates.Prefill() * burstCredit.Seconds()
	for w, f := range q.finish {
		if f <= q.virtual-credit {
			delete(q.finish, w)
		}
	}
}

func (q *Queue) prefillTime(tokens int) time.Duration {
	seconds := float64(tokens) / q.rates.Prefill()
	return time.Duration(math.Min(seconds, 3600) * float64(time.Second))
}
