package backends

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
)

var now = time.Unix(1000, 0)

func engine(id string, version int) Backend {
	return Backend{ID: id, Service: "s", Address: "127.0.0.1:1", DataCentre: "dc", Slots: 10, Models: []Model{{Name: "m", Version: version}}}
}

func newRegistry(n int, change func(i int, b *Backend)) *Registry {
	r := NewRegistry("dc")
	for i := range n {
		b := engine(fmt.Sprint("e", i), 1)
		if change != nil {
			change(i, &b)
		}
		r.Put(b)
	}
	return r
}

// countPicks returns how often each backend server is picked in 200 picks.
func countPicks(r *Registry, q Query) map[string]int {
	counts := map[string]int{}
	for range 200 {
		c, _ := r.Pick(q, now)
		if c == nil {
			return counts
		}
		counts[c.ID]++
		c.Done(Neutral, 0)
	}
	return counts
}

func pickedIDs(counts map[string]int) []string {
	var ids []string
	for _, id := range []string{"e0", "e1", "e2", "e3", "e4", "e5"} {
		if counts[id] > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against requests to backend servers that are leaving, loading, down or have weights that are too old,
// and against refusals while a suspect one is left.
func TestPickEligibility(t *testing.T) {
	q := Query{Service: "s", Model: "m"}
	tests := map[string]struct {
		prepare func(r *Registry)
		query   Query
		want    []string
	}{
		"all":               {func(*Registry) {}, q, []string{"e0", "e1", "e2"}},
		"leaving":           {func(r *Registry) { b := engine("e0", 1); b.Leaving = true; r.Put(b) }, q, []string{"e1", "e2"}},
		"gone":              {func(r *Registry) { r.Remove("e0") }, q, []string{"e1", "e2"}},
		"loading":           {func(r *Registry) { r.SetLoading("e0", now.Add(time.Second)) }, q, []string{"e1", "e2"}},
		"loading, assigned": {func(r *Registry) { r.ApplyAssignments(map[string]Assignment{"e0": {Loading: true}}, now) }, q, []string{"e1", "e2"}},
		"down, assigned":    {func(r *Registry) { r.ApplyAssignments(map[string]Assignment{"e0": {Down: true}}, now) }, q, []string{"e1", "e2"}},
		"assignment expired": {func(r *Registry) {
			r.ApplyAssignments(map[string]Assignment{"e0": {Loading: true}}, now.Add(-2*assignmentTTL))
		}, q, []string{"e0", "e1", "e2"}},
		"paused":        {func(r *Registry) { r.Pause("e0", now.Add(time.Second)) }, q, []string{"e1", "e2"}},
		"suspect entry": {func(r *Registry) { r.MarkSuspectUntil([]string{"e0"}, now, time.Time{}) }, q, []string{"e1", "e2"}},
		"suspects, one past its time": {func(r *Registry) {
			r.MarkSuspectUntil([]string{"e0"}, now.Add(-time.Second), now)
			r.MarkSuspectUntil([]string{"e1", "e2"}, now.Add(-time.Second), now.Add(time.Second))
		}, q, []string{"e1", "e2"}},
		"all suspect":     {func(r *Registry) { r.MarkSuspectUntil([]string{"e0", "e1", "e2"}, now, time.Time{}) }, q, []string{"e0", "e1", "e2"}},
		"excluded":        {func(*Registry) {}, Query{Service: "s", Exclude: []string{"e0", "e1"}}, []string{"e2"}},
		"too old weights": {func(r *Registry) { r.ObserveVersion("e1", 0, "m", 2, time.Time{}) }, Query{Service: "s", Model: "m", MinVersion: 2}, []string{"e1"}},
		"other model":     {func(*Registry) {}, Query{Service: "s", Model: "x"}, nil},
		"other service":   {func(*Registry) {}, Query{Service: "x"}, nil},
		"newest if many": {func(r *Registry) {
			r.ObserveVersion("e1", 0, "m", 2, time.Time{})
			r.ObserveVersion("e2", 0, "m", 2, time.Time{})
			for i := 3; i < 10; i++ {
				b := engine(fmt.Sprint("e", i), 2)
				r.Put(b)
			}
		}, Query{Service: "s", Model: "m", PreferVersion: 2}, []string{"e1", "e2", "e3", "e4", "e5"}},
		"all if few new": {func(r *Registry) {
			r.ObserveVersion("e1", 0, "m", 2, time.Time{})
			r.ObserveVersion("e2", 0, "m", 2, time.Time{})
		}, Query{Service: "s", Model: "m", PreferVersion: 2}, []string{"e0", "e1", "e2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(3, nil)
			test.prepare(r)
			assert.Equal(t, test.want, pickedIDs(countPicks(r, test.query)))
		})
	}
}

// Guards against state that outlives the restart of an engine: the new process has neither the observed
// weights nor the connections of the old one.
func TestNewGenerationStartsWithoutState(t *testing.T) {
	r := newRegistry(1, nil)
	r.ObserveVersion("e0", 0, "m", 5, time.Time{})
	r.Pause("e0", now.Add(time.Hour))
	pool := r.members["e0"].pool
	b := engine("e0", 1)
	b.Started = 7
	require.True(t, r.Put(b))
	c, _ := r.Pick(Query{Service: "s", Model: "m"}, now)
	assert.Equal(t, 1, c.Version)
	assert.NotSame(t, pool, c.Pool)
	assert.False(t, r.Put(b), "a renewed entry changes nothing")
}

// Guards against entries that stay suspect after they expired in an outage of the store: they are listed again
// or removed.
func TestSuspectIsRelistedOrRemoved(t *testing.T) {
	r := newRegistry(2, nil)
	r.MarkSuspectUntil([]string{"e0", "e1"}, now, time.Time{})
	r.Put(engine("e0", 1))
	assert.Empty(t, r.RemoveSuspects(now.Add(time.Second), 2*time.Second))
	assert.Equal(t, []string{"e1"}, r.RemoveSuspects(now.Add(2*time.Second), 2*time.Second))
	assert.Equal(t, []string{"e0"}, r.IDs())
}

// Guards against a failing backend server that keeps its share of the requests.
func TestFailuresShiftRequestsAway(t *testing.T) {
	r := newRegistry(2, nil)
	for range 20 {
		r.members["e0"].score.add(now, false, 0)
	}
	counts := countPicks(r, Query{Service: "s"})
	assert.Equal(t, []string{"e1"}, pickedIDs(counts))
	later := now.Add(20 * scoreHalfLife)
	assert.InDelta(t, 1, r.members["e0"].score.successRate(later), 0.01, "failures decay")
}

// Guards against a shared prefix that is prefilled on every engine.
func TestAffinitySendsAPrefixToOneEngine(t *testing.T) {
	r := newRegistry(6, nil)
	counts := countPicks(r, Query{Service: "s", Model: "m", Affinity: 42})
	assert.Len(t, counts, 1)
	counts = countPicks(r, Query{Service: "s", Model: "m", Affinity: 42, PrefixEngine: cachemap.EngineHash("e3")})
	assert.Equal(t, []string{"e3"}, pickedIDs(counts))
	r.ApplyAssignments(map[string]Assignment{"e3": {Short: 50}}, now)
	counts = countPicks(r, Query{Service: "s", Model: "m", Affinity: 42, PrefixEngine: cachemap.EngineHash("e3")})
	assert.Zero(t, counts["e3"], "an overloaded engine is not picked for its prefix")
}

// Guards against long requests on every engine, where each would delay a rollout, and against prefills
// that delay long responses.
func TestLongRequestsUseFewEngines(t *testing.T) {
	r := newRegistry(6, nil)
	r.ApplyAssignments(r.ComputeAssignments(map[string]Load{"e2": {Backend: "e2", Long: 5}}, now), now)
	long := countPicks(r, Query{Service: "s", Model: "m", Long: true})
	assert.LessOrEqual(t, len(long), 2)
	short := countPicks(r, Query{Service: "s", Model: "m"})
	for id := range long {
		assert.Zero(t, short[id])
	}
	r.ObserveVersion("e5", 0, "m", 2, time.Time{})
	r.ApplyAssignments(r.ComputeAssignments(map[string]Load{"e2": {Backend: "e2", Long: 5}}, now), now)
	assert.Equal(t, []string{"e5"}, pickedIDs(countPicks(r, Query{Service: "s", Model: "m", Long: true})), "the newest weights come first")
}

// Guards against a node without a network connection whose report makes all nodes avoid a backend server.
func TestDownNeedsTwoReports(t *testing.T) {
	r := newRegistry(2, nil)
	assert.False(t, r.ComputeAssignments(map[string]Load{"e0": {Unreachable: 1}}, now)["e0"].Down)
	assert.True(t, r.ComputeAssignments(map[string]Load{"e0": {Unreachable: 2}}, now)["e0"].Down)
}

// Guards against a fetch from an engine that has other weights or does not serve now.
func TestCacheSource(t *testing.T) {
	idHash := cachemap.EngineHash("e0")
	r := newRegistry(2, nil)
	assert.NotEmpty(t, r.CacheSource(idHash, "m", 1, now))
	assert.Empty(t, r.CacheSource(idHash, "m", 2, now))
	r.SetLoading("e0", now.Add(time.Second))
	assert.Empty(t, r.CacheSource(idHash, "m", 1, now))
}

// Guards against a backend server that gets no request because it has none behind it, while two or three others respond
// faster than the latency that is assumed for it.
func TestServerWithoutResultsIsTried(t *testing.T) {
	r := NewRegistry("dc")
	put := func(id string) {
		r.Put(Backend{ID: id, Service: "s", Address: "127.0.0.1:1", DataCentre: "dc"})
	}
	picked := func() map[string]bool {
		ids := map[string]bool{}
		for range 20 {
			c, _ := r.Pick(Query{Service: "s"}, time.Now())
			ids[c.ID] = true
			c.Done(Success, 15*time.Millisecond)
		}
		return ids
	}
	put("e0")
	picked()
	put("e1")
	put("e2")
	assert.Len(t, picked(), 3)
}
