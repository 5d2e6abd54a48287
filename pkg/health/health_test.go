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

// Guards against a breaker that opens too early, never closes again, or admits more than one probe.
func TestBreaker(t *testing.T) {
	type step struct {
		at      float64
		result  string
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
		{"a successful probe closes it", []step{
			{0, "fail", true, Closed}, {0, "fail", true, Open}, {0.5, "none", false, Open},
			{1, "none", true, HalfOpen}, {1.1, "none", false, HalfOpen}, {1.2, "late ok", false, Closed},
		}},
		{"failed probes double the open duration", []step{
			{0, "fail", true, Closed}, {0, "fail", true, Open}, {1, "fail", true, Open},
			{2.9, "none", false, Open}, {3, "fail", true, Open}, {6.9, "none", false, Open}, {7, "ok", true, Closed},
		}},
		{"a probe without a result times out", []step{
			{0, "fail", true, Closed}, {0, "fail", true, Open}, {1, "none", true, HalfOpen},
			{5, "none", false, HalfOpen}, {11, "ok", true, Closed},
		}},
		{"results of earlier requests do not close it", []step{
			{0, "fail", true, Closed}, {0, "fail", true, Open}, {0.1, "late ok", false, Open},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBreaker(BreakerConfig{FailureThreshold: 2})
			for i, s := range tc.steps {
				assert.Equal(t, s.allowed, b.Allow(at(s.at)), "step %d", i)
				if s.result != "none" {
					b.Record(at(s.at), s.result != "fail")
				}
				assert.Equal(t, s.state, b.State(at(s.at)), "step %d", i)
			}
		})
	}
}

func newTestPool(n int, now time.Time) (*Pool, []string) {
	p := NewPool(PoolConfig{})
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("b%02d", i)
	}
	p.SetMembers(now, ids)
	return p, ids
}

// reportResults records 20 results for each backend. Every second result of the first bad backends
// is a failure.
func reportResults(p *Pool, now time.Time, ids []string, bad int) {
	for round := range 20 {
		for i, id := range ids {
			p.RecordResult(now, id, i >= bad || round%2 == 0)
		}
	}
}

func countUnusable(verdicts []Verdict) int {
	n := 0
	for _, v := range verdicts {
		if !v.Usable {
			n++
		}
	}
	return n
}

// Guards against ejecting backends of a pool in which all fail, and against keeping an outlier in
// use.
func TestOutlierEjectionIsCapped(t *testing.T) {
	cases := []struct{ size, bad, ejected int }{
		{10, 0, 0}, {10, 1, 1}, {10, 3, 3}, {10, 4, 3}, {10, 10, 0}, {3, 1, 1}, {2, 1, 1}, {1, 1, 0},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%d of %d bad", tc.bad, tc.size), func(t *testing.T) {
			p, ids := newTestPool(tc.size, at(0))
			reportResults(p, at(0), ids, tc.bad)
			assert.Equal(t, tc.ejected, countUnusable(p.Assess(at(0))))
		})
	}
}

// Guards against open breakers that remove the whole pool when every request fails.
func TestBreakersAreCapped(t *testing.T) {
	p, ids := newTestPool(10, at(0))
	for range 10 {
		for _, id := range ids {
			p.RecordResult(at(0), id, false)
		}
	}
	verdicts := p.Assess(at(0))
	assert.Equal(t, 3, countUnusable(verdicts))
	for _, v := range verdicts {
		assert.Equal(t, v.Usable, p.Allow(at(0), v.ID))
	}
}

// Guards against an ejection that ends early or never, against a repeated ejection that is no
// longer than the first, and against full load right after an ejection.
func TestEjectionEndsWithSlowStart(t *testing.T) {
	p, ids := newTestPool(4, at(0))
	reportResults(p, at(0), ids, 1)
	assert.Equal(t, Outlier, p.Assess(at(0))[0].Reason)
	assert.False(t, p.Assess(at(4.9))[0].Usable)
	returned := p.Assess(at(5))[0]
	assert.True(t, returned.Usable)
	assert.InDelta(t, 0.1, returned.Weight, 0.001)
	assert.InDelta(t, 0.55, p.Assess(at(10))[0].Weight, 0.001)
	assert.InDelta(t, 1, p.Assess(at(15))[0].Weight, 0.001)

	reportResults(p, at(15), ids, 1)
	assert.False(t, p.Assess(at(15))[0].Usable)
	assert.False(t, p.Assess(at(24.9))[0].Usable, "the second ejection is longer")
	assert.True(t, p.Assess(at(25))[0].Usable)
}

// Guards against full load on a backend with a cold cache, after it joins or restarts.
func TestSlowStart(t *testing.T) {
	p, ids := newTestPool(2, at(0))
	assert.InDelta(t, 1, p.Assess(at(0))[0].Weight, 0.001, "the first members get no slow start")
	p.SetMembers(at(1), append(ids, "new"))
	assert.InDelta(t, 0.1, p.Assess(at(1))[2].Weight, 0.001)
	p.RecordRestart(at(20), ids[0])
	assert.InDelta(t, 0.1, p.Assess(at(20))[0].Weight, 0.001)
	assert.InDelta(t, 1, p.Assess(at(20))[2].Weight, 0.001)
}

// Guards against requests to a leaving backend, and against its return after too few observations.
func TestLeaving(t *testing.T) {
	type report struct {
		at      float64
		source  Source
		leaving bool
	}
	cases := []struct {
		name    string
		reports []report
		queryAt float64
		want    bool
	}{
		{"no observations", nil, 0, false},
		{"one observation is enough", []report{{0, SourceVMList, false}, {1, SourceVMList, true}}, 1, true},
		{"no return before 10 s of steady observations", []report{{0, SourceVMList, true}, {1, SourceVMList, false}, {10.9, SourceVMList, false}}, 10.9, true},
		{"time without observations does not count", []report{{0, SourceVMList, true}, {1, SourceVMList, false}, {6, SourceVMList, false}}, 60, true},
		{"return after 10 s of steady observations", []report{{0, SourceVMList, true}, {1, SourceVMList, false}, {11, SourceVMList, false}}, 11, false},
		{"an observation of leaving restarts the delay", []report{{0, SourceVMList, true}, {1, SourceVMList, false}, {6, SourceVMList, true}, {7, SourceVMList, false}, {16.9, SourceVMList, false}}, 17, true},
		{"the VM list does not override the backend's announcement", []report{{0, SourceBackend, true}, {1, SourceVMList, false}, {60, SourceVMList, false}}, 60, true},
		{"an older observation is ignored", []report{{5, SourceVMList, false}, {4, SourceVMList, true}}, 5, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := NewLeavingDetector(LeavingDetectorConfig{})
			for _, s := range tc.reports {
				l.Observe(at(s.at), "b", s.source, s.leaving)
			}
			leaving, _ := l.IsLeaving(at(tc.queryAt), "b")
			assert.Equal(t, tc.want, leaving)
		})
	}
}

// Guards against a backend that returns again and again while its observations alternate slowly.
func TestReturnDelayDoublesPerFlap(t *testing.T) {
	l := NewLeavingDetector(LeavingDetectorConfig{})
	now := 0.0
	for _, delay := range []float64{10, 20, 40, 80, 120, 120} {
		l.Observe(at(now), "b", SourceVMList, true)
		l.Observe(at(now), "b", SourceVMList, false)
		l.Observe(at(now+delay-0.1), "b", SourceVMList, false)
		leaving, _ := l.IsLeaving(at(now+delay-0.1), "b")
		assert.True(t, leaving, "delay of %v s", delay)
		now += delay
		l.Observe(at(now), "b", SourceVMList, false)
		leaving, _ = l.IsLeaving(at(now), "b")
		assert.False(t, leaving, "delay of %v s", delay)
	}
}

// Guards against a flapping VM list that empties the pool, or that keeps a dead or draining backend
// in use.
func TestFlappingVMListKeepsOnlyRespondingBackends(t *testing.T) {
	l := NewLeavingDetector(LeavingDetectorConfig{})
	ids := []string{"a", "b", "c", "dead", "draining"}
	for second := range 120 {
		now := at(float64(second))
		for i, id := range ids {
			l.Observe(now, id, SourceVMList, (second+i)%2 == 0)
			l.RecordResult(now, id, id != "dead")
		}
		l.Observe(now, "draining", SourceBackend, true)
		usable := l.Usable(now, ids)
		assert.NotEmpty(t, usable, "second %d", second)
		if second > 0 {
			assert.NotContains(t, usable, "dead")
			assert.NotContains(t, usable, "draining")
		}
	}
	l.Observe(at(200), "a", SourceVMList, true)
	assert.Empty(t, l.Usable(at(200), ids), "no backend has responded within the liveness TTL")
}

// Guards against requests to backends that the VM list reports as leaving while enough others are
// left.
func TestVMListIsFollowedAboveMinUsableShare(t *testing.T) {
	l := NewLeavingDetector(LeavingDetectorConfig{})
	ids := []string{"a", "b", "c", "d"}
	for i, id := range ids {
		l.RecordResult(at(0), id, true)
		l.Observe(at(0), id, SourceVMList, i < 2)
	}
	assert.Equal(t, []string{"c", "d"}, l.Usable(at(0), ids))
}
