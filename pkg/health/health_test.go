package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a breaker that opens early, stays open for good, or lets more than a probe
// through.
func TestBreaker(t *testing.T) {
	type step struct {
		at      float64
		do      string
		allowed bool
		state   BreakerState
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"successes between failures keep it closed", []step{
			{0, "fail", true, Closed}, {0, "ok", true, Closed}, {0, "fail", true, Closed}, {0, "fail", true, Open},
		}},
		{"a good probe closes it", []step{
			{0, "fail", true, Closed}, {0, "fail", true, Open}, {0.5, "none", false, Open},
			{1, "none", true, HalfOpen}, {1.1, "none", false, HalfOpen}, {1.2, "late ok", false, Closed},
		}},
		{"failed probes double the wait", []step{
			{0, "fail", true, Closed}, {0, "fail", true, Open}, {1, "fail", true, Open},
			{2.9, "none", false, Open}, {3, "fail", true, Open}, {6.9, "none", false, Open}, {7, "ok", true, Closed},
		}},
		{"a lost probe frees its place", []step{
			{0, "fail", true, Closed}, {0, "fail", true, Open}, {1, "none", true, HalfOpen},
			{5, "none", false, HalfOpen}, {11, "ok", true, Closed},
		}},
		{"results of earlier requests do not close it", []step{
			{0, "fail", true, Closed}, {0, "fail", true, Open}, {0.1, "late ok", false, Open},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBreaker(BreakerConfig{Failures: 2})
			for i, s := range tc.steps {
				assert.Equal(t, s.allowed, b.Allow(at(s.at)), "step %d", i)
				if s.do != "none" {
					b.Record(at(s.at), s.do != "fail")
				}
				assert.Equal(t, s.state, b.State(at(s.at)), "step %d", i)
			}
		})
	}
}

func poolOf(n int, now time.Time) (*Pool, []string) {
	p := NewPool(PoolConfig{})
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("b%02d", i)
	}
	p.SetMembers(now, ids)
	return p, ids
}

// report gives each backend 20 results, of which every second one of the bad ones fails.
func report(p *Pool, now time.Time, ids []string, bad int) {
	for round := range 20 {
		for i, id := range ids {
			p.Report(now, id, i >= bad || round%2 == 0)
		}
	}
}

func unusable(verdicts []Verdict) int {
	n := 0
	for _, v := range verdicts {
		if !v.Usable {
			n++
		}
	}
	return n
}

// Guards against ejecting a pool whose backends all fail, and against keeping an outlier.
func TestOutlierEjectionIsCapped(t *testing.T) {
	cases := []struct{ size, bad, ejected int }{
		{10, 0, 0}, {10, 1, 1}, {10, 3, 3}, {10, 4, 3}, {10, 10, 0}, {3, 1, 1}, {2, 1, 1}, {1, 1, 0},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%d of %d bad", tc.bad, tc.size), func(t *testing.T) {
			p, ids := poolOf(tc.size, at(0))
			report(p, at(0), ids, tc.bad)
			assert.Equal(t, tc.ejected, unusable(p.Assess(at(0))))
		})
	}
}

// Guards against open breakers that take out the whole pool when every request fails.
func TestBreakersAreCapped(t *testing.T) {
	p, ids := poolOf(10, at(0))
	for range 10 {
		for _, id := range ids {
			p.Report(at(0), id, false)
		}
	}
	verdicts := p.Assess(at(0))
	assert.Equal(t, 3, unusable(verdicts))
	for _, v := range verdicts {
		assert.Equal(t, v.Usable, p.Allow(at(0), v.ID))
	}
}

// Guards against a cap that alternates between equally bad backends, and against an ejection
// that ends early or never.
func TestEjectionEndsWithSlowStart(t *testing.T) {
	p, ids := poolOf(4, at(0))
	report(p, at(0), ids, 1)
	assert.Equal(t, Outlier, p.Assess(at(0))[0].Reason)
	assert.False(t, p.Assess(at(4.9))[0].Usable)
	back := p.Assess(at(5))[0]
	assert.True(t, back.Usable)
	assert.InDelta(t, 0.1, back.Weight, 0.001)
	assert.InDelta(t, 0.55, p.Assess(at(10))[0].Weight, 0.001)
	assert.InDelta(t, 1, p.Assess(at(15))[0].Weight, 0.001)

	report(p, at(15), ids, 1)
	assert.False(t, p.Assess(at(15))[0].Usable)
	assert.False(t, p.Assess(at(24.9))[0].Usable, "the second ejection is longer")
	assert.True(t, p.Assess(at(25))[0].Usable)
}

// Guards against full load on a backend with a cold cache.
func TestSlowStart(t *testing.T) {
	p, ids := poolOf(2, at(0))
	assert.InDelta(t, 1, p.Assess(at(0))[0].Weight, 0.001, "the first members start at once")
	p.SetMembers(at(1), append(ids, "new"))
	assert.InDelta(t, 0.1, p.Assess(at(1))[2].Weight, 0.001)
	p.Restarted(at(20), ids[0])
	assert.InDelta(t, 0.1, p.Assess(at(20))[0].Weight, 0.001)
	assert.InDelta(t, 1, p.Assess(at(20))[2].Weight, 0.001)
}

// Guards against work to a leaving backend and against a return on thin evidence.
func TestLeaving(t *testing.T) {
	type say struct {
		at      float64
		source  Source
		leaving bool
	}
	cases := []struct {
		name  string
		says  []say
		ask   float64
		leave bool
	}{
		{"no evidence", nil, 0, false},
		{"one observation is enough", []say{{0, FromList, false}, {1, FromList, true}}, 1, true},
		{"a return takes steady evidence", []say{{0, FromList, true}, {1, FromList, false}, {10.9, FromList, false}}, 10.9, true},
		{"silence is no evidence", []say{{0, FromList, true}, {1, FromList, false}, {6, FromList, false}}, 60, true},
		{"steady evidence returns", []say{{0, FromList, true}, {1, FromList, false}, {11, FromList, false}}, 11, false},
		{"an interruption starts over", []say{{0, FromList, true}, {1, FromList, false}, {6, FromList, true}, {7, FromList, false}, {16.9, FromList, false}}, 17, true},
		{"the backend's own word stands against the list", []say{{0, FromBackend, true}, {1, FromList, false}, {60, FromList, false}}, 60, true},
		{"an old observation changes nothing", []say{{5, FromList, false}, {4, FromList, true}}, 5, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := NewLeaving(LeavingConfig{})
			for _, s := range tc.says {
				l.Observe(at(s.at), "b", s.source, s.leaving)
			}
			leaving, _ := l.Leaving(at(tc.ask), "b")
			assert.Equal(t, tc.leave, leaving)
		})
	}
}

// Guards against a backend that returns again and again while its evidence flaps slowly.
func TestReturnTakesLongerAfterEachFlap(t *testing.T) {
	l := NewLeaving(LeavingConfig{})
	now := 0.0
	for _, wait := range []float64{10, 20, 40, 80, 120, 120} {
		l.Observe(at(now), "b", FromList, true)
		l.Observe(at(now), "b", FromList, false)
		l.Observe(at(now+wait-0.1), "b", FromList, false)
		leaving, _ := l.Leaving(at(now+wait-0.1), "b")
		assert.True(t, leaving, "wait %v", wait)
		now += wait
		l.Observe(at(now), "b", FromList, false)
		leaving, _ = l.Leaving(at(now), "b")
		assert.False(t, leaving, "wait %v", wait)
	}
}

// Guards against a flapping list that empties the pool or keeps a dead backend in it.
func TestFlappingListNeitherEmptiesThePoolNorKeepsTheDead(t *testing.T) {
	l := NewLeaving(LeavingConfig{})
	ids := []string{"a", "b", "c", "dead", "draining"}
	for second := range 120 {
		now := at(float64(second))
		for i, id := range ids {
			l.Observe(now, id, FromList, (second+i)%2 == 0)
			l.Answered(now, id, id != "dead")
		}
		l.Observe(now, "draining", FromBackend, true)
		usable := l.Usable(now, ids)
		assert.NotEmpty(t, usable, "second %d", second)
		if second > 0 {
			assert.NotContains(t, usable, "dead")
			assert.NotContains(t, usable, "draining")
		}
	}
	l.Observe(at(200), "a", FromList, true)
	assert.Empty(t, l.Usable(at(200), ids), "no backend has answered for long")
}

// Guards against work to leaving backends while others are left.
func TestPlausibleListIsFollowed(t *testing.T) {
	l := NewLeaving(LeavingConfig{})
	ids := []string{"a", "b", "c", "d"}
	for i, id := range ids {
		l.Answered(at(0), id, true)
		l.Observe(at(0), id, FromList, i < 2)
	}
	assert.Equal(t, []string{"c", "d"}, l.Usable(at(0), ids))
}
