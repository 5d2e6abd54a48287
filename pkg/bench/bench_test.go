package bench

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/bench/scale"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/openai"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

func testTrace(t *testing.T, name string) *requestTrace {
	t.Helper()
	p, err := ProfileByName(name)
	require.NoError(t, err)
	return newRequestTrace(&p, traceOptions{seed: 1, duration: 4 * time.Minute, shiftAt: 2 * time.Minute, load: 1})
}

// Guards against policies that run different arrivals for the same seed, and against traces whose
// share of cancelled requests or of a workspace differs from the profile.
func TestTraceIsReproducibleAndMatchesProfile(t *testing.T) {
	for _, p := range profiles {
		t.Run(p.Name, func(t *testing.T) {
			one, two := testTrace(t, p.Name), testTrace(t, p.Name)
			assert.Equal(t, one.arrivals, two.arrivals)
			cancelled := 0
			prompts := map[string]bool{}
			perWorkspace := make([]int, len(p.WorkspaceShares))
			for i := range one.arrivals {
				a := &one.arrivals[i]
				if a.cancelAfter > 0 {
					cancelled++
				}
				perWorkspace[a.workspace]++
				prompts[openai.ChatText(one.messages(a))] = true
			}
			n := len(one.arrivals)
			assert.InDelta(t, abandonShare, float64(cancelled)/float64(n), 0.02)
			assert.Len(t, prompts, n, "prompts must be unique")
			for i, share := range p.WorkspaceShares {
				assert.InDelta(t, share, float64(perWorkspace[i])/float64(n), 0.03)
			}
		})
	}
}

// Guards against a trace whose most requested prompts do not change at shiftAt, or change before it.
func TestHotSetShifts(t *testing.T) {
	tr := testTrace(t, "kilele")
	hottest := func(from, to time.Duration) [levels]int {
		counts := map[[levels]int]int{}
		best := [levels]int{}
		for _, a := range tr.arrivals {
			key := [levels]int{a.workspace, a.path[0], a.path[1]}
			if a.at >= from && a.at < to {
				counts[key]++
				if counts[key] > counts[best] {
					best = key
				}
			}
		}
		return best
	}
	assert.NotEqual(t, hottest(0, 2*time.Minute), hottest(2*time.Minute, 4*time.Minute))
	assert.Equal(t, hottest(0, time.Minute), hottest(time.Minute, 2*time.Minute))
}

// Guards against a profile whose shared prompts fit into the cache of one engine or exceed the
// caches of all engines: placement makes no difference with either.
func TestWorkingSetLiesBetweenOneEngineAndThePool(t *testing.T) {
	for _, p := range profiles {
		tr := testTrace(t, p.Name)
		seen := map[uint64]int{}
		for i := range tr.arrivals {
			for _, piece := range tr.pieces(&tr.arrivals[i]) {
				if piece.Shared {
					seen[piece.PrefixHash] = piece.Tokens
				}
			}
		}
		tokens := 0
		for _, n := range seen {
			tokens += n
		}
		one := p.CacheBlocks * pieceTokens
		assert.Greater(t, tokens, one, p.Name)
		assert.Less(t, tokens, one*p.Engines, p.Name)
	}
}

// Guards against prompt texts whose length in pieces differs from the profile, so that the limit
// would be computed over other pieces than the engines cache.
func TestLevelsEndAtPieceBoundaries(t *testing.T) {
	for _, p := range profiles {
		tr := testTrace(t, p.Name)
		pieces := tr.pieces(&tr.arrivals[0])
		tokens := map[string]int{}
		for _, piece := range pieces {
			tokens[piece.Level] += piece.Tokens
			assert.LessOrEqual(t, piece.Tokens, pieceTokens)
		}
		for _, l := range p.Levels {
			assert.Equal(t, l.Tokens, tokens[l.Name])
		}
	}
}

// Guards against a limit that a policy could beat, because requests before the measured time do
// not warm the cache or the TTFT is above that of an idle engine.
func TestLimitUsesCacheWarmUp(t *testing.T) {
	tr := testTrace(t, "kilele")
	cold, warm := computeLimit(tr, 0), computeLimit(tr, 2*time.Minute)
	assert.Greater(t, warm.PrefixHitRate, cold.PrefixHitRate)
	assert.Less(t, warm.PrefixHitRate, 1.0)
	config := tr.profile.engineConfig(0)
	assert.Equal(t, config.IdleTTFT(21_640).Milliseconds(), int64(1082+43*10))
	assert.LessOrEqual(t, warm.TTFT.P99, 1.01*float64(config.IdleTTFT(21_640).Milliseconds()))
}

// Guards against arrivals that are in no slice or in two slices.
func TestSplitTraceKeepsAllArrivals(t *testing.T) {
	tr := testTrace(t, "tuul")
	traceSlices := splitTrace(tr, 48*time.Second, 192*time.Second)
	var joined []arrival
	for _, s := range traceSlices {
		joined = append(joined, s.arrivals...)
	}
	assert.Len(t, traceSlices, 1+measuredSlices)
	assert.Equal(t, tr.arrivals, joined)
}

// Guards against fault actions that fall into the warm-up or outside all slices, and against fault
// names without an action.
func TestFaultPlanCoversMeasuredSlices(t *testing.T) {
	traceSlices := splitTrace(testTrace(t, "tuul"), 48*time.Second, 192*time.Second)
	for _, name := range FaultNames {
		plan, err := newFaultPlan([]string{name}, traceSlices)
		require.NoError(t, err)
		actionsInSlices := 0
		for i := range traceSlices {
			actions := plan.actionsIn(traceSlices[i])
			actionsInSlices += len(actions)
			if i == 0 {
				assert.Empty(t, actions)
			}
		}
		assert.Equal(t, len(plan.actions), actionsInSlices, name)
		assert.NotEmpty(t, plan.actions, name)
	}
	_, err := newFaultPlan([]string{"flood"}, traceSlices)
	assert.True(t, fault.Is(err, fault.BadRequest))
}

// Guards against a comparison of hit rates over samples outside the windows before and after the
// fault.
func TestHitRateRatio(t *testing.T) {
	var samples []Sample
	for end := time.Second; end <= 20*time.Second; end += time.Second {
		s := Sample{At: end, Reused: 80, Computed: 20}
		if end > 10*time.Second && end <= 15*time.Second {
			s = Sample{At: end, Reused: 60, Computed: 40}
		}
		samples = append(samples, s)
	}
	assert.InDelta(t, 0.75, hitRateRatio(samples, 10*time.Second), 1e-9)
	assert.Zero(t, hitRateRatio(nil, time.Second))
}

// Guards against engine loads that are not divided by the measured time, and against a wrong mean
// or coefficient of variation.
func TestEngineLoadMeanAndCV(t *testing.T) {
	mean, cv := meanAndCV(engineLoads([]float64{2, 4, 6}, 10))
	assert.InDelta(t, 0.4, mean, 1e-9)
	assert.InDelta(t, 0.408, cv, 1e-3)
	mean, cv = meanAndCV(nil)
	assert.Zero(t, mean+cv)
}

// Guards against invalid options that start a bench which cannot give results.
func TestValidateRejectsInvalidOptions(t *testing.T) {
	good := Options{Policies: []string{PolicyCassiawall}, Duration: time.Minute, Load: 1}
	require.NoError(t, good.validate())
	for name, change := range map[string]func(*Options){
		"policy":   func(o *Options) { o.Policies = []string{"random"} },
		"none":     func(o *Options) { o.Policies = nil },
		"duration": func(o *Options) { o.Duration = time.Second },
		"load":     func(o *Options) { o.Load = -1 },
	} {
		bad := good
		change(&bad)
		assert.True(t, fault.Is(bad.validate(), fault.BadRequest), name)
	}
}

// Guards against requests that are missing in the results and against responses with the text of
// another request. It runs a short trace through real nodes.
func TestRunThroughRealNodes(t *testing.T) {
	p, err := ProfileByName("tuul")
	require.NoError(t, err)
	p.Nodes, p.Engines = 1, 2
	for _, policy := range []string{PolicyCassiawall, "consistent-hash"} {
		t.Run(policy, func(t *testing.T) {
			tr := newRequestTrace(&p, traceOptions{seed: 1, duration: 2 * time.Second, shiftAt: time.Second, load: 0.5})
			ledger := enginestandin.NewLedger()
			fleet, err := startFleet(t.Context(), &p, policy, ledger, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			r := newPolicyRun(policy, tr, fleet, ledger, 0)
			defer func() { require.NoError(t, r.close()) }()
			r.runSlice(t.Context(), traceSlice{to: 2 * time.Second, arrivals: tr.arrivals}, nil)
			got := r.result(0)
			assert.Equal(t, len(tr.arrivals), got.Requests)
			assert.Equal(t, got.Requests, got.Complete+got.Abandoned+got.Refused+got.Errors)
			assert.NotZero(t, got.Complete)
			assert.Zero(t, got.Crossed)
		})
	}
}

// Guards against a failed fault action that the bench does not report.
func TestFailedActionIsReported(t *testing.T) {
	r := &policyRun{}
	failure := errors.New("failure")
	actions := []faultAction{{run: func(context.Context, *policyRun) error { return failure }}}
	r.runFaultActions(t.Context(), traceSlice{}, time.Now(), actions)
	assert.ErrorIs(t, r.actionErr, failure)
}

// Guards against a report or table that lacks plots, policies or figures.
func TestReport(t *testing.T) {
	samples := []Sample{{At: time.Second, Computed: 1, Reused: 3, Decoded: 5, Cancelled: 2}}
	result := Result{Profile: "kilele", Policies: map[string]PolicyResult{
		"cassiawall":  {Requests: 1234, Samples: samples, EngineLoads: []float64{0.5, 0.7}, ttftBuckets: []histogramBucket{{1, 2, 1}}},
		"round-robin": {Requests: 1235},
	}}
	var page, table bytes.Buffer
	require.NoError(t, WriteReport(&page, result))
	assert.Equal(t, 4, bytes.Count(page.Bytes(), []byte("<svg")))
	require.NoError(t, WriteTable(&table, result))
	for _, text := range []string{"cassiawall", "1234", "1235"} {
		assert.Contains(t, page.String(), text, fmt.Sprintf("page lacks %s", text))
		assert.Contains(t, table.String(), text)
	}
}

// Guards against roles that are not registered when the command runs, and against unknown roles
// that are accepted.
func TestRunScaleRejectsUnknownRole(t *testing.T) {
	assert.Subset(t, scale.Roles(), []string{"cache_index", "gossip", "idle_node", "placement"})
	_, err := RunScale(t.Context(), []string{"none"}, nil)
	assert.True(t, fault.Is(err, fault.BadRequest))
}
