package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/prefix"
)

var start = time.Unix(1000, 0)

func requestFor(pieces []prefix.Piece) *Request {
	return &Request{Pieces: pieces, Model: "m", WeightsVersion: "v1", MaxTokens: 128}
}

// placerWithPrefixOn returns a placer that has observed a prompt being computed on the engine.
func placerWithPrefixOn(t *testing.T, engine string) (*Placer, *Request) {
	p := newTestPlacer(t, 20)
	r := requestFor(testPieces(1, 1, 1))
	p.Observe(start, Feedback{Pieces: r.Pieces, Engine: engine, Incarnation: "1", ComputedTokens: 40_000})
	return p, r
}

// nonPreferredEngine returns an engine that is not the first preferred one of the request.
func nonPreferredEngine(t *testing.T, r *Request) string {
	preferred, ok := newTestPlacer(t, 20).PreferredEngine(r)
	require.True(t, ok)
	if preferred.Engine == "e003" {
		return "e004"
	}
	return "e003"
}

// Guards against a filter that keeps engines which cannot run the request, or drops those that can.
func TestFilter(t *testing.T) {
	base := EngineView{ID: "e", Model: "m", WeightsVersion: "v1"}
	cases := []struct {
		name   string
		change func(e *EngineView, r *Request)
		keep   bool
	}{
		{"serving", func(*EngineView, *Request) {}, true},
		{"unusable", func(e *EngineView, _ *Request) { e.Unusable = true }, false},
		{"other model", func(e *EngineView, _ *Request) { e.Model = "x" }, false},
		{"other weights", func(e *EngineView, _ *Request) { e.WeightsVersion = "v0" }, false},
		{"unknown model", func(e *EngineView, _ *Request) { e.Model, e.WeightsVersion = "", "" }, true},
		{"excluded", func(_ *EngineView, r *Request) { r.Exclude = []string{"e"} }, false},
	}
	for _, tc := range cases {
		e, r := base, Request{Model: "m", WeightsVersion: "v1"}
		tc.change(&e, &r)
		assert.Equal(t, tc.keep, servingFilter{}.Keep(&r, &e), tc.name)
	}
}

// Guards against predictions that omit a part of the wait, and against weights without effect.
func TestCostScorer(t *testing.T) {
	base := func() ScoredEngine {
		return ScoredEngine{View: &EngineView{ID: "e", MaxBatch: 4, Load: LoadView{PrefillRate: 10_000}}, TotalTokens: 10_000, CachedTokens: 9_000}
	}
	cases := []struct {
		name    string
		change  func(s *ScoredEngine, r *Request)
		ttft    time.Duration
		latency float64
	}{
		{"prefill of missing tokens", func(*ScoredEngine, *Request) {}, 100 * time.Millisecond, 100},
		{"backlog", func(s *ScoredEngine, _ *Request) { s.View.Load.BacklogTokens = 5000 }, 600 * time.Millisecond, 600},
		{"own work that no summary shows", func(s *ScoredEngine, _ *Request) { s.DispatchedTokens = 5000 }, 600 * time.Millisecond, 600},
		{"full batch", func(s *ScoredEngine, _ *Request) {
			s.View.Load.Running = 7
			s.View.Load.StepTime = 10 * time.Millisecond
		}, 1380 * time.Millisecond, 1380},
		{"network", func(s *ScoredEngine, _ *Request) { s.View.NetworkTime = time.Millisecond }, 101 * time.Millisecond, 101},
		{"recompute weight", func(_ *ScoredEngine, r *Request) { r.Policy.RecomputeWeight = 2 }, 100 * time.Millisecond, 100},
		{"latency weight", func(_ *ScoredEngine, r *Request) { r.Policy.LatencyWeight = 2 }, 100 * time.Millisecond, 200},
		{"higher rank", func(s *ScoredEngine, _ *Request) { s.Rank = 2 }, 100 * time.Millisecond, 102},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, r := base(), Request{}
			tc.change(&s, &r)
			costScorer{}.Score(&r, &s)
			assert.Equal(t, tc.ttft, s.TTFT)
			prefill := 100 * (1 + interferenceCost) * weightOrDefault(r.Policy.RecomputeWeight)
			assert.InDelta(t, tc.latency+prefill, s.Cost, 0.01)
		})
	}
}

// Guards against an order of candidates that differs between nodes: equal costs are ordered by id.
func TestPickerOrdersByCostThenID(t *testing.T) {
	scoredEngine := func(id string, cost float64) ScoredEngine { return ScoredEngine{View: &EngineView{ID: id}, Cost: cost} }
	picked := cheapestPicker{}.Pick([]ScoredEngine{scoredEngine("d", 4), scoredEngine("c", 1), scoredEngine("a", 2), scoredEngine("b", 1)})
	var ids []string
	for _, s := range picked {
		ids = append(ids, s.View.ID)
	}
	assert.Equal(t, []string{"b", "c", "a"}, ids)
}

// Guards against a misspelt stage name that silently runs the default.
func TestStagesByName(t *testing.T) {
	_, err := New(Options{Scorer: "no-such"})
	require.Error(t, err)
	p, err := New(Options{Region: "r", Scorer: "least-loaded"})
	require.NoError(t, err)
	busy := engineViews(3)
	busy[0].Load.Running, busy[2].Load.Running = 5, 5
	p.SetEngines(busy)
	assert.Equal(t, "e001", p.Rank(start, requestFor(testPieces(1, 1, 1)))[0].Engine)
}

// Guards against a restarted node that sends requests to other engines than its peers, where the
// prefixes are not cached.
func TestRankAgreesAcrossNodesWithoutState(t *testing.T) {
	for i := range 50 {
		r := requestFor(testPieces(i%5, i, i))
		var first []Candidate
		for range 3 {
			p := newTestPlacer(t, 20)
			got := p.Rank(start, r)
			if first == nil {
				first = got
			}
			assert.Equal(t, first, got)
			preferred, ok := p.PreferredEngine(r)
			assert.True(t, ok)
			assert.Equal(t, first[0].Engine, preferred.Engine)
		}
	}
}

// Guards against nested prefixes that are all placed on one engine, and against a parent prefix that
// is computed on every engine.
func TestPreferredEnginesNestByLevel(t *testing.T) {
	p := newTestPlacer(t, 20)
	perEngine := map[string]int{}
	for outer := range 40 {
		engines := map[string]bool{}
		for inner := range 12 {
			byFamily := map[string]bool{}
			for family := range 5 {
				preferred, _ := p.PreferredEngine(requestFor(testPieces(outer, inner, family)))
				engines[preferred.Engine] = true
				byFamily[preferred.Engine] = true
				perEngine[preferred.Engine]++
			}
			assert.Len(t, byFamily, 1, "families of one timetable share its preferred engine")
		}
		assert.LessOrEqual(t, len(engines), 7, "a school stays within its fan-out")
		assert.GreaterOrEqual(t, len(engines), 3, "timetables of a school are on several engines")
	}
	for id, n := range perEngine {
		assert.Less(t, n, 3*40*12*5/20, "engine %s", id)
	}
}

// Guards against a hot prefix that overloads its preferred engine, and against a prefix that keeps
// additional preferred engines after its demand has fallen.
func TestPreferredEnginesFollowDemand(t *testing.T) {
	p := newTestPlacer(t, 20)
	hotRequest := requestFor(testPieces(1, 1, 1))
	width := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		h := p.preferredEnginesFor(p.fleet.groupFor("m", "r"), hotRequest.Pieces)
		return h.width
	}
	cold, _ := p.PreferredEngine(hotRequest)
	assert.Equal(t, 1, width())
	for i := range 400 {
		r := requestFor(testPieces(2+i%20, i%200, i))
		if i%4 == 0 {
			r = hotRequest
		}
		p.Observe(start, Feedback{Pieces: r.Pieces, Engine: cold.Engine, Incarnation: "1"})
	}
	assert.GreaterOrEqual(t, width(), 5, "a quarter of the load of 20 engines needs five")
	for i := range 3 * demandHalvingRequests {
		p.Observe(start, Feedback{Pieces: testPieces(2+i%20, i%200, i), Engine: cold.Engine, Incarnation: "1"})
	}
	assert.LessOrEqual(t, width(), 2)
}

// Guards against index entries that outlive the cache they describe: an engine that restarts has an
// empty cache.
func TestRestartInvalidatesPrefixIndex(t *testing.T) {
	r := requestFor(testPieces(1, 1, 1))
	cachedOn := nonPreferredEngine(t, r)
	p, _ := placerWithPrefixOn(t, cachedOn)
	best := p.Rank(start, r)[0]
	assert.Equal(t, cachedOn, best.Engine)
	assert.Equal(t, 10, best.CachedPieces)
	engine, pieces := p.CopySource(prefix.Hashes(r.Pieces), "other")
	assert.Equal(t, cachedOn, engine)
	assert.Equal(t, 10, pieces)
	views := engineViews(20)
	for i := range views {
		if views[i].ID == cachedOn {
			views[i].Incarnation = "2"
		}
	}
	p.SetEngines(views)
	assert.NotEqual(t, cachedOn, p.Rank(start, r)[0].Engine)
	assert.Empty(t, p.CachedPrefixes(100))
}

// Guards against an index entry that stays although the owner reports fewer cached pieces, and against
// a report of another incarnation that changes the index.
func TestOwnerReplyCorrectsPrefixIndex(t *testing.T) {
	r := requestFor(testPieces(1, 1, 1))
	cachedOn := nonPreferredEngine(t, r)
	p, _ := placerWithPrefixOn(t, cachedOn)
	p.ObserveCachedPieces(start, cachedOn, "1", r.Pieces, 2)
	engine, pieces := p.CopySource(prefix.Hashes(r.Pieces), "")
	assert.Equal(t, cachedOn, engine)
	assert.Equal(t, 2, pieces)
	p.ObserveCachedPieces(start, cachedOn, "other incarnation", r.Pieces, 9)
	_, pieces = p.CopySource(prefix.Hashes(r.Pieces), "")
	assert.Equal(t, 2, pieces)
}

// Guards against a bootstrap import that loses prefixes or adds those of removed or restarted engines.
func TestImportPrefixes(t *testing.T) {
	r := requestFor(testPieces(1, 1, 1))
	cachedOn := nonPreferredEngine(t, r)
	p, _ := placerWithPrefixOn(t, cachedOn)
	exported := p.CachedPrefixes(100)
	require.Len(t, exported, 10)
	exported = append(exported, CachedPrefix{PrefixHash: 1, Engine: cachedOn, Incarnation: "old", Pieces: 1}, CachedPrefix{PrefixHash: 2, Engine: "gone"})
	restarted := newTestPlacer(t, 20)
	restarted.ImportPrefixes(start, exported)
	assert.Equal(t, cachedOn, restarted.Rank(start, r)[0].Engine)
	assert.Len(t, restarted.CachedPrefixes(100), 10)
	assert.Len(t, restarted.CachedPrefixes(3), 3)
}

// Guards against a load summary that arrives late and replaces a newer one of the same owner.
func TestStaleLoadsAreIgnored(t *testing.T) {
	p := newTestPlacer(t, 3)
	p.SetLoad("e001", "1", LoadView{Owner: "n", Version: 9, Running: 7})
	p.SetLoad("e001", "1", LoadView{Owner: "n", Version: 8, Running: 1})
	p.SetEngines(engineViews(3))
	assert.Equal(t, 7, p.fleet.engines[1].Load.Running)
	p.RecordDispatch("e001", 100)
	p.SetEngines(append(engineViews(3), EngineView{ID: "new", Region: "r", Model: "m"}))
	assert.Equal(t, 7, p.engine("e001").Load.Running)
	assert.Equal(t, 100, p.engine("e001").dispatchedTokens)
	p.SetLoad("e001", "1", LoadView{Owner: "other", Version: 1, Running: 2})
	assert.Equal(t, 2, p.engine("e001").Load.Running, "versions of two owners do not compare")
	assert.Zero(t, p.engine("e001").dispatchedTokens)
}

// Guards against querying more than three owners, and against using an engine without the prefix before
// the other owners were queried.
func TestAttemptRejectsColdEngines(t *testing.T) {
	p := newTestPlacer(t, 20)
	r := requestFor(testPieces(1, 1, 1))
	a := p.Begin(start, r)
	asked := map[string]bool{}
	var declineBounds []time.Duration
	for range 3 {
		c, ok := a.Next()
		require.True(t, ok)
		asked[c.Engine] = true
		declineBounds = append(declineBounds, c.DeclineOver)
		a.Declined(time.Duration(2+len(asked))*time.Second, 0)
	}
	assert.Len(t, asked, 3)
	assert.Less(t, declineBounds[0], 2*time.Second, "the first owner declines if its engine does not have the prefix cached")
	last, ok := a.Next()
	require.True(t, ok)
	assert.Zero(t, last.DeclineOver)
	assert.Equal(t, a.candidates[0].Engine, last.Engine, "the candidate with the lowest cost is taken")
	_, ok = a.Next()
	assert.False(t, ok)
}

// Guards against a decline bound with a single engine, where no other could take the request, and
// against failures with no engine or no pieces.
func TestAttemptWithFewEngines(t *testing.T) {
	p := newTestPlacer(t, 1)
	c, ok := p.Begin(start, requestFor(testPieces(1, 1, 1))).Next()
	assert.True(t, ok)
	assert.Zero(t, c.DeclineOver)
	_, ok = newTestPlacer(t, 0).Begin(start, requestFor(testPieces(1, 1, 1))).Next()
	assert.False(t, ok)
	_, ok = p.Begin(start, &Request{Model: "other"}).Next()
	assert.False(t, ok)
	_, ok = p.Begin(start, requestFor(nil)).Next()
	assert.True(t, ok, "a prompt without pieces has no preferred engine but can run")
}

// Guards against requests that wait at overloaded preferred engines while other engines are idle.
func TestOverloadedPreferredEnginesAddSampledOnes(t *testing.T) {
	p := newTestPlacer(t, 20)
	r := requestFor(testPieces(1, 1, 1))
	loaded := engineViews(20)
	for _, c := range p.Rank(start, r) {
		for i := range loaded {
			if loaded[i].ID == c.Engine {
				loaded[i].Load = LoadView{Owner: "n", Version: 2, PrefillRate: 20_000, BacklogTokens: 400_000}
			}
		}
	}
	p.SetEngines(loaded)
	best := p.Rank(start, r)[0]
	assert.Less(t, best.Wait, time.Second, fmt.Sprint(best))
}
