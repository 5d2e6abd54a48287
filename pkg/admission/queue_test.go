package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/engine"
)

var start = time.Unix(1000, 0)

// newTestQueue returns a queue for an engine that prefills 1000 tokens a second.
func newTestQueue(batch int) *Queue {
	return New(Options{MaxBatch: batch, PrefillRate: 1000}, NewSurvivalCurves(), 0)
}

func ticket(id, workspace string, tokens int) Ticket {
	return Ticket{ID: id, Workspace: workspace, Arrived: start, Deadline: start.Add(time.Minute),
		MissingTokens: tokens, AddedTokens: tokens}
}

func grantAll(q *Queue, now time.Time) []string {
	var ids []string
	for o, ok := q.GrantNext(now); ok; o, ok = q.GrantNext(now) {
		ids = append(ids, o.TicketID)
	}
	return ids
}

// Guards against rejections that come only after a wait, and against predictions that ignore the
// prefill already under way.
func TestEnqueueRejectsImmediately(t *testing.T) {
	cases := []struct {
		name    string
		change  func(t *Ticket)
		verdict Verdict
	}{
		{"queued", func(*Ticket) {}, Queued},
		{"prediction over the limit", func(t *Ticket) { t.DeclineOver = 2 * time.Second }, Declined},
		{"recomputation over the limit", func(t *Ticket) { t.DeclineOver, t.RecomputeFactor = 4*time.Second, 2 }, Declined},
		{"cost within the limit", func(t *Ticket) { t.DeclineOver = 4 * time.Second }, Queued},
		{"deadline cannot be met", func(t *Ticket) { t.Deadline = start.Add(time.Second) }, DeadlineMissed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := newTestQueue(4)
			q.Enqueue(start, ticket("first", "w", 2000))
			require.Len(t, grantAll(q, start), 1)
			next := ticket("next", "w", 1000)
			tc.change(&next)
			outcome := q.Enqueue(start, next)
			assert.Equal(t, tc.verdict, outcome.Verdict)
			assert.Equal(t, 3*time.Second, outcome.PredictedTTFT)
		})
	}
	q := New(Options{MaxQueued: 1}, NewSurvivalCurves(), 0)
	q.Enqueue(start, ticket("a", "w", 1))
	assert.Equal(t, QueueFull, q.Enqueue(start, ticket("b", "w", 1)).Verdict)
}

// Guards against an order in which a workspace with many tickets, a later deadline or a caller who
// has left goes first.
func TestGrantOrder(t *testing.T) {
	withDeadline := func(id string, d time.Duration) Ticket {
		t := ticket(id, "a", 100)
		t.Deadline = start.Add(d)
		return t
	}
	withWeight := func(id string, weight int) Ticket {
		t := ticket(id, "b", 100)
		t.Weight = weight
		return t
	}
	staying := withDeadline("stays", 10*time.Second)
	gone := withDeadline("gone", 9*time.Second)
	gone.Patience = time.Millisecond
	cases := []struct {
		name    string
		tickets []Ticket
		want    []string
	}{
		{"deadline within a workspace", []Ticket{withDeadline("late", 20*time.Second), withDeadline("early", 10*time.Second)}, []string{"early", "late"}},
		{"workspaces alternate", []Ticket{withDeadline("a1", time.Minute), withDeadline("a2", time.Minute), withWeight("b1", 1)}, []string{"a1", "b1", "a2"}},
		{"weight", []Ticket{withDeadline("a1", time.Minute), withDeadline("a2", time.Minute), withWeight("b1", 4), withWeight("b2", 4), withWeight("b3", 4)},
			[]string{"a1", "b1", "b2", "b3", "a2"}},
		{"caller who has probably left", []Ticket{gone, staying}, []string{"stays", "gone"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := newTestQueue(1)
			for _, next := range tc.tickets {
				q.Enqueue(start, next)
			}
			var got []string
			for o, ok := q.GrantNext(start); ok; o, ok = q.GrantNext(start) {
				got = append(got, o.TicketID)
				q.Done(start, o.Slot, false, true)
			}
			assert.Equal(t, tc.want, got)
		})
	}
}

// Guards against sending the engine more prefill work than it needs to stay busy, and against slots
// that stay idle.
func TestBackpressure(t *testing.T) {
	q := newTestQueue(3)
	for i := range 5 {
		q.Enqueue(start, ticket(fmt.Sprint(i), "w", 100))
	}
	assert.Equal(t, []string{"0"}, grantAll(q, start), "100 tokens exceed the window of 150 with a second prefill")
	assert.True(t, q.FirstToken(start, 1, 100, 100*time.Millisecond))
	assert.Equal(t, []string{"1"}, grantAll(q, start))
	q.FirstToken(start, 2, 100, 100*time.Millisecond)
	assert.Equal(t, []string{"2"}, grantAll(q, start))
	q.FirstToken(start, 3, 100, 100*time.Millisecond)
	assert.Empty(t, grantAll(q, start), "all slots are in use")
	q.Done(start, 2, false, false)
	assert.Equal(t, []string{"3"}, grantAll(q, start))
}

// Guards against held tickets that start before the shared prefix is cached, and against held
// tickets that block others.
func TestHeldTicketDoesNotBlockOthers(t *testing.T) {
	q := newTestQueue(8)
	held := ticket("held", "w", 10)
	held.HeldUntil = start.Add(time.Second)
	q.Enqueue(start, held)
	q.Enqueue(start, ticket("free", "w", 10))
	assert.Equal(t, []string{"free"}, grantAll(q, start))
	q.UpdateWaiting(func(t *Ticket) { t.HeldUntil = time.Time{} })
	assert.Equal(t, []string{"held"}, grantAll(q, start))
}

// Guards against charging a workspace for cancelled requests that never ran.
func TestCancelRefundsVirtualTime(t *testing.T) {
	q := newTestQueue(1)
	for i := range 20 {
		q.Enqueue(start, ticket(fmt.Sprint("gone", i), "a", 100))
	}
	for i := range 20 {
		assert.True(t, q.Cancel(start, fmt.Sprint("gone", i)))
	}
	assert.False(t, q.Cancel(start, "gone1"))
	assert.Zero(t, q.BacklogTokens())
	q.Enqueue(start, ticket("b", "b", 1000))
	q.Enqueue(start, ticket("b2", "b", 1000))
	q.Enqueue(start, ticket("a", "a", 1000))
	var got []string
	for o, ok := q.GrantNext(start); ok; o, ok = q.GrantNext(start) {
		got = append(got, o.TicketID)
		q.Done(start, o.Slot, false, false)
	}
	assert.Equal(t, []string{"b", "a", "b2"}, got)
}

// Guards against slots that are never freed because their entry node was lost, and against tickets
// that wait past their deadline.
func TestSlotExpiryAndMissedDeadline(t *testing.T) {
	q := newTestQueue(1)
	q.Enqueue(start, ticket("a", "w", 10))
	grantAll(q, start)
	waiting := ticket("b", "w", 10)
	waiting.Deadline = start.Add(16 * time.Second)
	q.Enqueue(start, waiting)
	q.Renew(start.Add(10*time.Second), 1)
	assert.Empty(t, q.ExpireSlots(start.Add(20*time.Second)))
	assert.Equal(t, []Outcome{{TicketID: "b", Verdict: DeadlineMissed}}, q.DropLate(start.Add(20*time.Second)))
	assert.Equal(t, []uint64{1}, q.ExpireSlots(start.Add(26*time.Second)))
	assert.False(t, q.FirstToken(start, 1, 0, 0))
	assert.False(t, q.Done(start, 1, false, false))
}

// Guards against an older message that stays queued although its workspace declares superseding,
// and against removing one of a workspace that does not.
func TestSuperseding(t *testing.T) {
	older := ticket("old", "w", 10)
	older.Caller = "c"
	newer := ticket("new", "w", 10)
	newer.Caller = "c"
	q := newTestQueue(1)
	q.Enqueue(start, older)
	assert.Empty(t, q.RemoveSuperseded(&newer))
	newer.Supersede = true
	assert.Equal(t, []Outcome{{TicketID: "old", Verdict: Superseded}}, q.RemoveSuperseded(&newer))
	assert.Zero(t, q.Waiting())
	otherWorkspace := older
	otherWorkspace.Workspace = "other"
	q.Enqueue(start, otherWorkspace)
	assert.Empty(t, q.RemoveSuperseded(&newer), "callers of two workspaces may share a name")
}

// Guards against lagging load reports that count this queue's own requests as external.
func TestLoadReportExcludesOwnRequests(t *testing.T) {
	q := newTestQueue(4)
	q.Enqueue(start, ticket("a", "w", 10))
	grantAll(q, start)
	q.Done(start, 1, false, false)
	q.SetLoad(engine.Load{Running: 1, BacklogTokens: 10})
	assert.Zero(t, q.Running(), "the report still includes the request that has ended")
	q.SetLoad(engine.Load{Running: 3, BacklogTokens: 500})
	assert.Equal(t, 3, q.Running())
	assert.Equal(t, 500, q.BacklogTokens())
}

// Guards against a concurrency limit that stays above what the engine runs at once, or that never
// recovers.
func TestConcurrencyLimitFollowsEngineLoad(t *testing.T) {
	q := newTestQueue(16)
	for range 20 {
		q.SetLoad(engine.Load{Running: 6, Queued: 8})
	}
	assert.Less(t, q.ConcurrencyLimit(), 9)
	assert.GreaterOrEqual(t, q.ConcurrencyLimit(), 6)
	for range 40 {
		q.SetLoad(engine.Load{Running: 2})
	}
	assert.Equal(t, 16, q.ConcurrencyLimit())
}

// Guards against rates that stay at their initial value, and against a rate that one delay
// distorts.
func TestRatesAreFitted(t *testing.T) {
	r := newRates(20_000)
	for range 20 {
		r.observePrefill(20_000, 2*time.Second)
		r.observeDecode(3*time.Second, 100, false)
	}
	assert.InDelta(t, 10_000, r.PrefillRate(), 500)
	for range 20 {
		r.observePrefill(20_000, 8*time.Second)
	}
	assert.InDelta(t, 2500, r.PrefillRate(), 250, "the rate follows an engine that stays slow")
	for range 60 {
		r.observePrefill(20_000, 2*time.Second)
	}
	assert.InDelta(t, 30*time.Millisecond, r.StepTime(), float64(3*time.Millisecond))
	r.observePrefill(68, time.Second)
	r.observePrefill(2000, 20*time.Second)
	assert.Greater(t, r.PrefillRate(), 9_000.0, "one delay does not change the rate much")
}

// Guards against a curve that ignores observed abandonment, or that assumes abandonment at ages
// without observations.
func TestSurvivalCurve(t *testing.T) {
	var c SurvivalCurve
	assert.Equal(t, 1.0, c.SurvivalProbability(0, time.Minute))
	for i := range 1000 {
		c.Observe(time.Second, i%2 == 0)
	}
	assert.InDelta(t, 0.5, c.SurvivalProbability(0, 2*time.Second), 0.05)
	assert.InDelta(t, 1, c.SurvivalProbability(0, 100*time.Millisecond), 0.01)
	assert.InDelta(t, 1, c.SurvivalProbability(5*time.Second, 100*time.Millisecond), 0.01)
}

// simulateFlood simulates a queue for 60 s in steps of 1 ms and returns the p99 time to first token
// of the workspace "quiet". If flooding is set, the workspace "flood" sends 100 requests a second
// instead of 4.
func simulateFlood(flooding bool) time.Duration {
	q := New(Options{MaxBatch: 8, PrefillRate: 20_000}, NewSurvivalCurves(), 0)
	rng := rand.New(rand.NewPCG(5, 5))
	var waits []time.Duration
	ends := map[uint64]time.Time{}
	firstTokens := map[uint64]time.Time{}
	arrived := map[string]time.Time{}
	busyUntil := start
	for step := range 60_000 {
		now := start.Add(time.Duration(step) * time.Millisecond)
		arrive := func(workspace string, rate float64) {
			if rng.Float64() >= rate/1000 {
				return
			}
			next := ticket(fmt.Sprint(workspace, step), workspace, 1000)
			next.Arrived = now
			next.Deadline = now.Add(30 * time.Second)
			arrived[next.ID] = now
			q.Enqueue(now, next)
		}
		arrive("quiet", 4)
		arrive("other", 8)
		if flooding {
			arrive("flood", 100)
		} else {
			arrive("flood", 4)
		}
		for id, at := range firstTokens {
			if !at.After(now) {
				q.FirstToken(now, id, 1000, 50*time.Millisecond)
				delete(firstTokens, id)
			}
		}
		for id, at := range ends {
			if !at.After(now) {
				q.Done(now, id, false, false)
				delete(ends, id)
			}
		}
		q.DropLate(now)
		for o, ok := q.GrantNext(now); ok; o, ok = q.GrantNext(now) {
			busyUntil = now.Add(max(0, busyUntil.Sub(now)) + 50*time.Millisecond)
			firstTokens[o.Slot] = busyUntil
			ends[o.Slot] = busyUntil.Add(300 * time.Millisecond)
			if o.TicketID[:5] == "quiet" {
				waits = append(waits, busyUntil.Sub(arrived[o.TicketID]))
			}
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// Guards against one workspace whose flood delays the others: the p99 of the workspace "quiet" may
// rise by 20% at most.
func TestFloodDoesNotDelayOtherWorkspaces(t *testing.T) {
	baseline := simulateFlood(false)
	flooded := simulateFlood(true)
	t.Logf("p99 of the workspace \"quiet\": %v without a flood, %v with a flood", baseline, flooded)
	assert.LessOrEqual(t, flooded, baseline*12/10)
}
