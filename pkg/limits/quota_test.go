package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testBounds = QuotaBounds{Window: 8 * time.Second, Over: 0.1, Slack: 110000}

// Guards against a workspace that exceeds its quota in some window: while nodes are partitioned, paused, killed and restarted,
// messages are lost, late and duplicated, and the leader changes, also to one that does not reach the holders of the parts.
func TestQuotaIsKeptInAnyWindowUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newQuotaSim(rapid.Uint64().Draw(t, "seed"), 9, testBounds, map[uint64]Quota{1: {Rate: 824739, Burst: 824739, Tokens: true}, 2: {Rate: 57000, Burst: 57000, Tokens: true}})
		s.term = rapid.SampledFrom([]time.Duration{3 * time.Second, 8 * time.Second, DefaultTerm}).Draw(t, "term")
		for _, n := range s.nodes {
			s.startNode(n)
		}
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		const length = 16 * time.Second
		s.leader = s.nodes[0]
		s.heartbeats(length)
		s.load(1, 2*824739, func() int64 { return 5000 + s.rand.Int64N(52000) }, length)
		s.load(2, 2*57000, func() int64 { return 5000 + s.rand.Int64N(52000) }, length)
		for range rapid.IntRange(0, 12).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(0, 16000).Draw(t, "at")) * time.Millisecond
			took := time.Duration(rapid.IntRange(100, 12000).Draw(t, "took")) * time.Millisecond
			n := s.nodes[rapid.IntRange(0, 8).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"kill", "pause", "partition", "lease", "kill leader", "kill holder", "kill all", "release"}).Draw(t, "fault") {
			case "kill":
				s.after(at, func() { s.killIfUp(n, took/4) })
			case "pause":
				s.after(at, func() { n.pausedUntil = s.now.Add(took) })
			case "partition":
				cut := rapid.IntRange(1, 4).Draw(t, "cut")
				s.after(at, func() {
					for i := range cut {
						s.nodes[(n.index+i*2)%9].group = 1
					}
				})
				s.after(at+took, func() {
					for _, n := range s.nodes {
						n.group = 0
					}
				})
			case "lease":
				s.after(at, func() { s.elect(50 * time.Millisecond) })
			case "kill all":
				s.after(at, func() {
					for _, n := range s.nodes {
						s.killIfUp(n, time.Duration(s.rand.Int64N(int64(took/4))))
					}
				})
			case "release":
				// The process stops, and another one takes its place.
				s.after(at, func() {
					if !n.down && !s.now.Before(n.pausedUntil) {
						n.agent.Release(s.now)
						s.after(took/8, func() { s.killIfUp(n, took/4) })
					}
				})
			case "kill leader":
				s.after(at, func() {
					if s.leader != nil {
						s.killIfUp(s.leader, took/4)
					}
				})
			case "kill holder":
				s.after(at, func() {
					for _, o := range s.nodes {
						if !o.down && o != s.leader && o.agent.parts.held(s.now) != 0 {
							s.killIfUp(o, took/4)
							return
						}
					}
				})
			}
		}
		s.checkParts(length)
		s.run(length + time.Second)
		if s.shared {
			t.Fatal("two nodes could use the same part of the quotas")
		}
		if worst := s.worst(); worst > 1 {
			t.Fatalf("a window had %.3f of what is allowed", worst)
		}
	})
}

func (s *quotaSim) killIfUp(n *simNode, downtime time.Duration) {
	if !n.down {
		s.kill(n, downtime)
	}
}

// maxRefusedWithin is the share of the tokens within the quotas that may be refused.
const maxRefusedWithin = 0.02

// Guards against refusals within the quota at the size of a deployment, and against an excess there: 145 nodes, uneven
// arrivals, one workspace with seven times its usual load, and a data centre that is cut off from the others.
func TestQuotaReplayOfADeployment(t *testing.T) {
	s := replayDeployment(false)
	assert.Less(t, s.refusedWithin(t), maxRefusedWithin)
	assert.LessOrEqual(t, s.worst(), 1.0)
}

// Guards against an excess in the same replay if the leader is killed, which leaves the quotas without any owner for 0.4 s of
// the 20 s.
func TestQuotaReplayWithAKilledLeaderStaysWithinTheBound(t *testing.T) {
	assert.LessOrEqual(t, replayDeployment(true).worst(), 1.0)
}

// Guards against refusals within the quota if the leader is killed.
func TestQuotaReplayWithAKilledLeaderRefusesLittle(t *testing.T) {
	assert.Less(t, replayDeployment(true).refusedWithin(t), maxRefusedWithin)
}

// refusedWithin returns the share of the tokens within the quotas that were refused.
func (s *quotaSim) refusedWithin(t *testing.T) float64 {
	var within, refused float64
	for id, q := range s.quotas {
		allowed := min(float64(s.offered[id]), q.Rate*replayLength.Seconds())
		within += allowed
		refused += max(allowed-float64(s.admitted[id]), 0)
	}
	t.Logf("refused within the quota: %.2f%%, worst window %.3f of the bound, %d messages", 100*refused/within, s.worst(), s.messages)
	return refused / within
}

const replayLength = 20 * time.Second

func replayDeployment(killLeader bool) *quotaSim {
	quotas := map[uint64]Quota{}
	for id := range uint64(16) {
		rate := 57000.0
		if id < 3 {
			rate = 824739
		}
		quotas[id] = Quota{Rate: rate, Burst: rate, Tokens: true}
	}
	s := newQuotaSim(7, 145, testBounds, quotas)
	s.slowShare = 50
	s.leader = s.nodes[60]
	s.heartbeats(replayLength + 2*time.Second)
	s.run(2 * time.Second)
	for id := range uint64(len(quotas)) {
		weight := func() int64 { return 1000 + s.rand.Int64N(3000) }
		if id < 3 {
			weight = func() int64 { return 1000 + min(56000, int64(s.rand.ExpFloat64()*8200)) }
		}
		load := 0.5
		if id == 2 {
			load = 3.5
		}
		s.load(id, load*quotas[id].Rate, weight, replayLength)
	}
	if killLeader {
		s.after(4*time.Second, func() { s.kill(s.leader, time.Second) })
	}
	cut := func(group int) func() {
		return func() {
			for _, n := range s.nodes[:48] {
				n.group = group
			}
		}
	}
	s.after(12*time.Second, cut(1))
	s.after(14*time.Second, cut(0))
	s.run(replayLength)
	return s
}

func requireGranted(t *testing.T, w *Waiter) Charge {
	t.Helper()
	require.Equal(t, Granted, w.Outcome)
	return w.Charge
}

// soleAgent returns an agent that is the leader of a deployment of one node and has quotas, and its clock.
func soleAgent(q Quota) (a *Agent, now *time.Time) {
	at := simStart
	a = NewAgent(AgentOptions{Self: "a", Bounds: testBounds, Env: func() Env { return Env{ActingLeader: true, HoldsLease: true, LeaseVersion: 1, Leader: "a"} }, Send: func(string, *Message) {}}, at)
	a.SetQuotas(map[uint64]Quota{1: q}, 1, at)
	for range 40 {
		at = at.Add(AppointmentInterval)
		a.Tick(at)
	}
	return a, &at
}

// Guards against refused requests on a single node, a burst that is not there, requests heavier than the bucket that never
// run, and a wait that does not match the rate.
func TestQuotaOfASingleNode(t *testing.T) {
	a, now := soleAgent(Quota{Rate: 1000, Burst: 1000, Tokens: true})
	requireGranted(t, a.Acquire(1, 700, *now))
	w := a.Acquire(1, 500, *now)
	assert.Equal(t, Denied, w.Outcome)
	assert.InDelta(t, 200, w.RetryAfter.Milliseconds(), 5)
	assert.True(t, a.Acquire(1, 600, *now).Local, "a heavier request is denied without a query")
	requireGranted(t, a.Acquire(1, 300, *now))
	*now = now.Add(AppointmentInterval)
	a.Tick(*now)
	assert.Equal(t, Denied, a.Acquire(1, 5000, *now).Outcome)
	for range 8 {
		*now = now.Add(AppointmentInterval)
		a.Tick(*now)
	}
	requireGranted(t, a.Acquire(1, 5000, *now))
	assert.Equal(t, Denied, a.Acquire(1, 1, *now).Outcome, "the deficit delays the next request")
}

// Guards against charges that are lost although no backend server got the request, and against a refund that counts twice.
func TestQuotaRefund(t *testing.T) {
	a, now := soleAgent(Quota{Rate: 10, Burst: 1000, Tokens: true})
	first := requireGranted(t, a.Acquire(1, 1000, *now))
	assert.True(t, first.Valid(*now))
	a.Refund(first, *now)
	second := requireGranted(t, a.Acquire(1, 1000, *now))
	late := now.Add(GrantTTL)
	assert.False(t, second.Valid(late), "a process that was paused must not use the charge")
	a.Refund(second, late)
	a.Tick(late)
	assert.Equal(t, Denied, a.Acquire(1, 500, late).Outcome)
}

// Guards against an old limit that is used after a lower one is known, also by an owner with an older configuration.
func TestLowerQuotaIsBinding(t *testing.T) {
	a, now := soleAgent(Quota{Rate: 1000, Burst: 1000, Tokens: true})
	q := Query{Number: 1, Workspace: 1, Version: 2, Rate: 100, Burst: 100, Needs: []int64{50}}
	reply, ok := a.ledger.Query("b", 1, q, *now)
	assert.True(t, ok)
	assert.Zero(t, reply.Granted)
	assert.Equal(t, staleDenial.Milliseconds(), reply.WaitMS)
	q.Number, q.Rate, q.Burst = 2, 5000, 5000
	reply, _ = a.ledger.Query("b", 1, q, *now)
	assert.Equal(t, 1, reply.Granted, "the owner's limit is lower")
	a.SetQuotas(map[uint64]Quota{1: {Rate: 100, Burst: 100, Tokens: true}}, 2, *now)
	requireGranted(t, a.Acquire(1, 100, *now))
	assert.Equal(t, Denied, a.Acquire(1, 50, *now).Outcome)
	a.SetQuotas(map[uint64]Quota{1: {Rate: 1000, Burst: 1000, Tokens: true}}, 3, *now)
	assert.Equal(t, Denied, a.Acquire(1, 900, *now).Outcome, "a higher limit fills at its rate")
}

// Guards against queries and returns that count twice when the network duplicates them, late ones included, and returns to
// a ledger that did not grant the tokens.
func TestRepeatedQueriesAndReturnsCountOnce(t *testing.T) {
	now := simStart
	l := NewLedger(testBounds, 7, false, now)
	l.SetQuotas(map[uint64]Quota{1: {Rate: 1, Burst: 1000, Tokens: true}}, 1, now)
	for part := range Parts {
		l.Lend(part, now.Add(time.Hour), now)
	}
	now = now.Add(2000 * time.Second)
	for part := range Parts {
		l.Lend(part, now.Add(time.Hour), now)
	}
	now = now.Add(2000 * time.Second)
	q := Query{Number: 100, Workspace: 1, Version: 1, Needs: []int64{400}}
	first, _ := l.Query("b", 1, q, now)
	again, _ := l.Query("b", 1, q, now)
	assert.Equal(t, first, again)
	assert.EqualValues(t, 600, first.Level)
	q.Number = 100 - seenQueries
	_, ok := l.Query("b", 1, q, now)
	assert.False(t, ok, "too old to know whether it was decided")
	r := Return{Number: 101, Workspace: 1, Epoch: 7, StampMS: first.StampMS, Tokens: 100}
	assert.True(t, l.Return("b", 1, r, now))
	assert.False(t, l.Return("b", 1, r, now))
	r.Number, r.Epoch = 102, 8
	assert.False(t, l.Return("b", 1, r, now))
	r.Number, r.Epoch = 103, 7
	assert.False(t, l.Return("b", 1, r, now.Add(returnTTL+time.Millisecond)), "the bucket may have been full since")
}

// Guards against a request that waits for an owner for ever, and a late grant that is used: its time runs from the query.
func TestLateGrantsAreNotUsed(t *testing.T) {
	var sent []*Message
	now := simStart
	a := NewAgent(AgentOptions{Self: "a", Seeds: []string{"b"}, Bounds: testBounds, Env: func() Env { return Env{Leader: "b", Heard: "b"} }, Send: func(_ string, m *Message) { sent = append(sent, m) }}, now)
	a.SetQuotas(map[uint64]Quota{1: {Rate: 1000, Burst: 1000, Tokens: true}}, 1, now)
	w := a.Acquire(1, 10, now)
	require.Len(t, sent, 1)
	a.Retry(now.Add(replyTimeout))
	require.Len(t, sent, 2)
	assert.Equal(t, sent[0].Query.Number, sent[1].Query.Number, "a query that is sent again keeps its number")
	a.Cancel(w)
	assert.Equal(t, Unavailable, w.Outcome)
	reply := &Message{Reply: &Reply{Number: sent[0].Query.Number, Workspace: 1, Granted: 1}}
	a.Receive("b", reply, now.Add(GrantTTL))
	assert.Empty(t, a.accounts[1].lots)
	a.Receive("b", reply, now.Add(GrantTTL))
	assert.Len(t, sent, 2)
}

// Guards against limits that exceed the bound: what a bucket grants in a window and the time of a lease must fit.
func TestBucketLimitsFitIntoTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{Rate: rapid.Float64Range(0.01, 1e7).Draw(t, "rate"), Burst: rapid.Float64Range(0, 1e7).Draw(t, "burst"), Tokens: rapid.Bool().Draw(t, "tokens")}
		b := QuotaBounds{Window: time.Duration(rapid.IntRange(1, 60).Draw(t, "window")) * time.Second, Over: rapid.Float64Range(0, 1).Draw(t, "over"), Slack: rapid.Float64Range(0, 2e5).Draw(t, "slack")}
		l := b.bucketLimits(q)
		allowed := (q.Rate*b.Window.Seconds() + q.Burst) * (1 + b.Over)
		if q.Tokens {
			allowed += b.Slack
		}
		seconds := (b.Window + GrantTTL + returnTTL + sendDelay).Seconds()
		if used := l.rate*seconds + l.depth + 3*(l.oversize+l.initial); used > allowed*(1+1e-9) || l.rate <= 0 {
			t.Fatalf("%+v may use %f of %f", l, used, allowed)
		}
	})
}
