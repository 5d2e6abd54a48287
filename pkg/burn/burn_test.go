package burn

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func configOf(names ...string) *config.Config {
	c := &config.Config{}
	for _, name := range names {
		c.Workspaces = append(c.Workspaces, config.Workspace{Name: name, Objectives: config.Objectives{
			TTFT: config.Duration(time.Second), BetweenTokens: config.Duration(100 * time.Millisecond),
			Target: 0.99, CompleteTarget: 0.999, OutcomeTarget: 0.999,
		}})
	}
	return c
}

func recorderOf(c *config.Config, node string) *Recorder {
	r := NewRecorder(node, start)
	r.SetConfig(c)
	return r
}

var (
	good = Outcome{TTFT: 500 * time.Millisecond, MaxBetweenTokens: 50 * time.Millisecond, Complete: true}
	late = Outcome{TTFT: 3 * time.Second, MaxBetweenTokens: 50 * time.Millisecond, Complete: true, Cause: "overloaded"}
)

// reportOf encodes, decodes and merges the recorders' sketches.
func reportOf(t *testing.T, c *config.Config, now time.Time, recorders ...*Recorder) Report {
	m := NewMerger(c)
	for _, r := range recorders {
		s, err := Decode(r.Sketch(now).Encode())
		require.NoError(t, err)
		require.NoError(t, m.Add(s))
	}
	return m.Report(now, nil)
}

func objectiveReport(r Report, objective string) ObjectiveReport {
	for _, o := range r.Workspaces[0].Objectives {
		if o.Objective == objective {
			return o
		}
	}
	return ObjectiveReport{}
}

// Guards against outcomes that count towards the wrong objective. In particular, a caller who
// disconnects must not hide a late first token, and must not count as a miss if nothing was late.
func TestEvaluateOutcome(t *testing.T) {
	levels := configOf("w").Workspaces[0].Objectives
	miss, ok, none := Tally{1, 1}, Tally{0, 1}, Tally{}
	for name, c := range map[string]struct {
		outcome Outcome
		want    tallies
		cause   string
	}{
		"good":              {good, tallies{ok, ok, ok, none}, ""},
		"late":              {late, tallies{miss, ok, ok, none}, causeSlowStart},
		"no first token":    {Outcome{}, tallies{miss, none, miss, none}, causeCutStream},
		"slow stream":       {Outcome{TTFT: 1, MaxBetweenTokens: time.Second, Complete: true}, tallies{ok, miss, ok, none}, causeSlowStream},
		"left early":        {Outcome{TTFT: 100, Abandoned: true}, tallies{none, none, none, none}, ""},
		"left after delay":  {Outcome{TTFT: 2 * time.Second, Abandoned: true}, tallies{miss, none, none, none}, causeSlowStart},
		"left while read":   {Outcome{TTFT: 100, MaxBetweenTokens: 1, Abandoned: true}, tallies{ok, ok, none, none}, ""},
		"booking known":     {Outcome{Plain: true, Complete: true, NonIdempotent: true, OutcomeKnown: true}, tallies{none, none, ok, ok}, ""},
		"booking not known": {Outcome{Plain: true, NonIdempotent: true}, tallies{none, none, miss, miss}, causeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			counts, cause := evaluate(c.outcome, levels)
			assert.Equal(t, c.want, counts)
			assert.Equal(t, c.cause, cause)
		})
	}
}

// Guards against a burn rate over the wrong window, and against a budget without one of the nodes.
func TestReportOverWindowsAndNodes(t *testing.T) {
	c := configOf("w")
	a, b := recorderOf(c, "a"), recorderOf(c, "b")
	for i := range 120 {
		at := start.Add(time.Duration(i) * time.Minute)
		a.RequestDone(at, "w", good)
		if i >= 90 {
			b.RequestDone(at, "w", late)
		}
	}
	now := start.Add(119*time.Minute + time.Second)
	r := reportOf(t, c, now, a, b)
	ttft := objectiveReport(r, "ttft")
	assert.EqualValues(t, 150, ttft.Requests)
	assert.EqualValues(t, 30, ttft.Bad)
	assert.InDelta(t, 1-0.2/0.01, ttft.BudgetLeft, 1e-9)
	assert.InDelta(t, 0.5/0.01, ttft.Burn[window5m].Rate, 1e-9)
	assert.InDelta(t, 30.0/91/0.01, ttft.Burn[window1h].Rate, 1e-9)
	assert.InDelta(t, 0.2/0.01, ttft.Burn[window6h].Rate, 1e-9)
	assert.Equal(t, AlertPage, ttft.Alert)
	assert.Equal(t, []CauseReport{{"overloaded", 30}}, r.Workspaces[0].Causes)
	assert.Equal(t, "b", r.Workspaces[0].WorstNode)
	assert.Equal(t, AlertNone, objectiveReport(r, "complete_streams").Alert)
	assert.Equal(t, 2, r.Nodes)
}

// Guards against an alert for misses that have stopped, which only the long window still shows: both
// windows must reach the rate.
func TestAlertNeedsBothWindows(t *testing.T) {
	c := configOf("w")
	r := recorderOf(c, "a")
	for i := range 60 {
		at := start.Add(time.Duration(i) * time.Minute)
		for range 20 {
			r.RequestDone(at, "w", map[bool]Outcome{true: late, false: good}[i < 20])
		}
	}
	now := start.Add(time.Hour - time.Second)
	assert.Greater(t, objectiveReport(reportOf(t, c, now, r), "ttft").Burn[window1h].Rate, float64(PageRate))
	assert.Equal(t, AlertNone, objectiveReport(reportOf(t, c, now, r), "ttft").Alert)
	for range 60 {
		r.RequestDone(now, "w", late)
	}
	assert.Equal(t, AlertPage, objectiveReport(reportOf(t, c, now, r), "ttft").Alert)
}

// Guards against a low target that never raises an alert: at 0.9 the burn rate is at most 10, less
// than PageRate.
func TestAlertWithLowTarget(t *testing.T) {
	c := configOf("w")
	c.Workspaces[0].Objectives.Target = 0.9
	r := recorderOf(c, "a")
	for range 20 {
		r.RequestDone(start, "w", late)
	}
	assert.Equal(t, AlertPage, objectiveReport(reportOf(t, c, start, r), "ttft").Alert)
}

// Guards against counts that never expire or expire before the end of the budget period.
func TestCountsExpire(t *testing.T) {
	c := configOf("w")
	r := recorderOf(c, "a")
	r.RequestDone(start, "w", late)
	for _, step := range []struct {
		after    time.Duration
		requests uint64
	}{{23 * time.Hour, 1}, {26 * time.Hour, 0}} {
		s := r.Sketch(start.Add(step.after))
		var total uint64
		for _, w := range s.Workspaces {
			total += w.Counts.window(window24h)[TTFT].Total
		}
		assert.Equal(t, step.requests, total, step.after)
	}
	r.SetConfig(configOf("other"))
	assert.Empty(t, r.workspaces)
}

// Guards against quantiles of merged histograms that differ from the true ones by more than 1%, and
// against different sums over all workspaces and for the only workspace.
func TestMergedQuantiles(t *testing.T) {
	c := configOf("w")
	random := rand.New(rand.NewPCG(1, 2))
	nodes := []*Recorder{recorderOf(c, "a"), recorderOf(c, "b"), recorderOf(c, "c")}
	for i := range 30_000 {
		o := good
		o.TTFT = time.Duration(1+i%10_000) * time.Millisecond
		nodes[random.IntN(len(nodes))].RequestDone(start, "w", o)
	}
	r := reportOf(t, c, start, nodes...)
	assert.EqualValues(t, 30_000, r.TTFT.Count)
	assert.InEpsilon(t, 5000, r.TTFT.P50, 0.01)
	assert.InEpsilon(t, 9900, r.TTFT.P99, 0.01)
	assert.Equal(t, r.TTFT, r.Workspaces[0].TTFT)
}

// Guards against a sketch of 18,000 workspaces that exceeds the byte bound, and against a truncation
// that drops the workspaces with the most misses or does not report how many it dropped.
func TestSketchStaysBounded(t *testing.T) {
	names := make([]string, 18_000)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%05d", i)
	}
	c := configOf(names...)
	r := recorderOf(c, "node-1")
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 50_000 {
		o := good
		o.TTFT = time.Duration(random.IntN(2000)) * time.Millisecond
		r.RequestDone(start.Add(time.Duration(i)*72*time.Millisecond), names[random.IntN(len(names))], o)
	}
	for range 100 {
		r.RequestDone(start.Add(time.Hour), names[17_000], late)
	}
	assert.LessOrEqual(t, r.latencyWorkspaces, maxHistograms)
	encoded := r.Sketch(start.Add(time.Hour)).Encode()
	assert.LessOrEqual(t, len(encoded), MaxEncodedBytes)
	s, err := Decode(encoded)
	require.NoError(t, err)
	assert.Equal(t, names[17_000], s.Workspaces[0].Name)
	assert.Positive(t, s.Omitted)
	assert.Positive(t, s.OmittedBad)
	t.Logf("%d of %d workspaces in %d bytes", len(s.Workspaces), len(s.Workspaces)+s.Omitted, len(encoded))
}

// Guards against unbounded memory when requests have many different causes.
func TestCausesStayBounded(t *testing.T) {
	c := configOf("w")
	r := recorderOf(c, "a")
	for i := range 1000 {
		o := late
		o.Cause = fmt.Sprint("cause ", i)
		r.RequestDone(start, "w", o)
	}
	assert.LessOrEqual(t, len(r.workspaces["w"].causes.counts), maxCauses+1)
}

// Guards against a malformed sketch of another node that makes decoding or merging panic.
func FuzzDecode(f *testing.F) {
	c := configOf("w")
	r := recorderOf(c, "a")
	r.RequestDone(start, "w", late)
	f.Add(r.Sketch(start).Encode())
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		s, err := Decode(encoded)
		if err != nil {
			return
		}
		m := NewMerger(c)
		_ = m.Add(s)
		m.Report(start, nil)
	})
}

// Guards against out-of-range counts from another node, which could overflow the sums or index
// outside the buckets.
func TestMergeRefusesBadCounts(t *testing.T) {
	for name, s := range map[string]Sketch{
		"odd pairs":      {TTFT: sparse{1}},
		"negative":       {TTFT: sparse{-1, 1}},
		"too far":        {Gap: sparse{1 << 40, 1}},
		"distance wraps": {Gap: sparse{1, 1, 1<<63 - 1, 1}},
		"more bad":       {Workspaces: []workspaceSketch{{Counts: wireCounts{{{2, 1}}}}}},
		"overflow":       {Workspaces: []workspaceSketch{{Counts: wireCounts{{{1, 1 << 63}}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMerger(configOf("w"))
			assert.Error(t, m.Add(s))
			assert.Zero(t, m.nodes)
		})
	}
}

func BenchmarkRequestDone(b *testing.B) {
	r := recorderOf(configOf("w"), "a")
	for b.Loop() {
		r.RequestDone(start, "w", good)
	}
}

func BenchmarkEncode(b *testing.B) {
	names := make([]string, 18_000)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%05d", i)
	}
	r := recorderOf(configOf(names...), "a")
	for i := range 50_000 {
		r.RequestDone(start, names[i%len(names)], late)
	}
	for b.Loop() {
		r.Sketch(start).Encode()
	}
}

// Guards against histograms over all workspaces that alone exceed the byte bound when times spread
// over the whole range, and against coarsening that changes quantiles by more than 4%.
func TestWidestHistogramsFit(t *testing.T) {
	c := configOf("w")
	r := recorderOf(c, "a")
	random := rand.New(rand.NewPCG(1, 2))
	randomTime := func() time.Duration {
		return time.Duration(float64(time.Millisecond) * math.Exp(random.Float64()*math.Log(600_000)))
	}
	for range 200_000 {
		r.RequestDone(start, "w", Outcome{TTFT: randomTime(), MaxBetweenTokens: randomTime(), Complete: true})
	}
	encoded := r.Sketch(start).Encode()
	s, err := Decode(encoded)
	require.NoError(t, err)
	t.Logf("%d bytes, %d workspaces", len(encoded), len(s.Workspaces))
	assert.LessOrEqual(t, len(encoded), MaxEncodedBytes)
	assert.Len(t, s.Workspaces, 1)
	var sum histogramSum
	sum.add(s.TTFT)
	merged := sum.histogram()
	for _, q := range []float64{0.5, 0.95, 0.99} {
		assert.InEpsilon(t, r.allWorkspaces.ttft.Quantile(q), merged.Quantile(q), 0.04)
	}
}

// Guards against plain calls that count towards the wrong objective, in particular an error that does
// not state whether a non-idempotent call ran.
func TestServiceOutcome(t *testing.T) {
	levels := configOf("w").Workspaces[0].Objectives
	miss, ok, none := Tally{1, 1}, Tally{0, 1}, Tally{}
	for name, c := range map[string]struct {
		err  error
		want tallies
	}{
		"answered":       {nil, tallies{none, none, ok, ok}},
		"refused":        {fault.New(fault.PlatformUnavailable, ""), tallies{none, none, miss, ok}},
		"outcome lost":   {fault.New(fault.OutcomeUnknown, "").WithWork(fault.Unknown), tallies{none, none, miss, miss}},
		"caller's fault": {fault.New(fault.IdempotencyKeyMissing, ""), tallies{}},
	} {
		o, counted := ServiceOutcome(true, c.err, false)
		counts := tallies{}
		if counted {
			counts, _ = evaluate(o, levels)
		}
		assert.Equal(t, c.want, counts, name)
	}
}

func BenchmarkDecodeAndMerge(b *testing.B) {
	names := make([]string, 500)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%05d", i)
	}
	c := configOf(names...)
	r := recorderOf(c, "a")
	for i := range 50_000 {
		o := late
		o.TTFT = time.Duration(i%2000) * time.Millisecond
		r.RequestDone(start, names[i%len(names)], o)
	}
	encoded := r.Sketch(start).Encode()
	m := NewMerger(c)
	for b.Loop() {
		s, err := Decode(encoded)
		if err != nil || m.Add(s) != nil {
			b.Fatalf("decode or merge of the sketch failed: %v", err)
		}
	}
}
