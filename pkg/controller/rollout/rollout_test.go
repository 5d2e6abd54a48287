package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	leasectl "cassiawall.example/cassiawall/pkg/controller/lease"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/lease"
	"cassiawall.example/cassiawall/pkg/standin/objects"
	"cassiawall.example/cassiawall/pkg/standin/weights"
)

const (
	loadTime   = 500 * time.Millisecond
	badVersion = "bad"
)

// pool is a set of fake engines. It records the highest number that loaded at once and the lowest
// number that served.
type pool struct {
	mu         sync.Mutex
	engines    map[string]*fakeEngine
	loading    int
	maxLoading int
	minServing int
}

type fakeEngine struct {
	pool           *pool
	state          engine.State
	desiredVersion string
	loadCounts     map[string]int
	down           bool
}

func newPool(n int) *pool {
	p := &pool{engines: map[string]*fakeEngine{}, minServing: n}
	for i := range n {
		id := fmt.Sprint("engine-", i)
		p.engines[id] = &fakeEngine{pool: p, desiredVersion: "v1", loadCounts: map[string]int{}, state: engine.State{ID: id, Model: "m", WeightsVersion: "v1", Adapters: []string{"sw"}}}
	}
	return p
}

func (e *fakeEngine) State(context.Context) (engine.State, error) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if e.down {
		return engine.State{}, fault.New(fault.EngineFailed, "down")
	}
	return e.state, nil
}

func (e *fakeEngine) Order(_ context.Context, o engine.Order) error {
	p := e.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.FencingToken < e.state.FencingToken {
		return fault.New(fault.EngineRefused, "stale fencing token")
	}
	e.state.FencingToken = o.FencingToken
	e.state.Adapters = o.Adapters
	if e.desiredVersion == o.WeightsVersion {
		return nil
	}
	e.desiredVersion = o.WeightsVersion
	e.loadCounts[o.WeightsVersion]++
	if !e.state.Loading {
		e.state.Loading = true
		p.loading++
		p.maxLoading = max(p.maxLoading, p.loading)
		p.minServing = min(p.minServing, len(p.engines)-p.loading)
	}
	if o.WeightsVersion != badVersion {
		time.AfterFunc(loadTime, func() { e.finishLoading(o.WeightsVersion) })
	}
	return nil
}

func (e *fakeEngine) finishLoading(version string) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if e.desiredVersion == version && e.state.Loading {
		e.state.WeightsVersion, e.state.Loading = version, false
		e.pool.loading--
	}
}

// testFleet is a fleet of three nodes with lease and rollout controllers that share one pool of engines.
type testFleet struct {
	t       *testing.T
	store   *objects.Store
	weights *weights.Store
	pool    *pool
	boards  map[string]*blackboard.Board
	stops   map[string]func()
}

func newTestFleet(t *testing.T, engines int) *testFleet {
	f := &testFleet{t: t, store: objects.NewStore(1), weights: weights.New(), pool: newPool(engines), boards: map[string]*blackboard.Board{}, stops: map[string]func(){}}
	for i := range 3 {
		f.boards[fmt.Sprint("node-", i)] = blackboard.New()
	}
	f.setDesiredVersion("v1")
	for name, board := range f.boards {
		for other := range f.boards {
			f.boards[other].Members.Put(name, blackboard.MemberEntry{Name: name, State: blackboard.MemberAlive}, blackboard.Evidence{})
		}
		for id := range f.pool.engines {
			board.Engines.Put(id, blackboard.EngineEntry{ID: id, Address: id}, blackboard.Evidence{})
		}
	}
	for name := range f.boards {
		f.start(name)
	}
	return f
}

func (f *testFleet) start(name string) {
	ctx, cancel := context.WithCancel(f.t.Context())
	log := slog.New(slog.DiscardHandler)
	leases := leasectl.New(leasectl.Options{Node: name, Board: f.boards[name], Store: f.store, Logger: log})
	rollouts := New(Options{Board: f.boards[name], Store: f.store, Weights: f.weights, Logger: log,
		Engines: func(address string) EngineClient { return f.pool.engines[address] }})
	var running sync.WaitGroup
	running.Go(func() { _ = leases.Run(ctx) })
	running.Go(func() { _ = rollouts.Run(ctx) })
	f.stops[name] = func() {
		cancel()
		running.Wait()
	}
}

func (f *testFleet) setDesiredVersion(version string) {
	c := &config.Config{
		Models:  []config.Model{{Name: "m", WeightsVersion: version, MinServing: 2}},
		Rollout: config.Rollout{MaxConcurrentLoads: 2, CanaryEngines: 1, MaxErrorShare: 0.1},
	}
	for _, board := range f.boards {
		board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Config: c}, blackboard.Evidence{})
	}
}

// killLeaseHolder stops the lease holder during an outage of the object API, so that it cannot release
// the lease, and marks it as dead on the other nodes.
func (f *testFleet) killLeaseHolder() {
	for name, board := range f.boards {
		if e, _ := board.Leases.Get("m"); e.Value.FencingToken != 0 {
			f.store.SetFaults(objects.Faults{Outage: true})
			f.stops[name]()
			f.store.SetFaults(objects.Faults{})
			for _, other := range f.boards {
				other.Members.Put(name, blackboard.MemberEntry{Name: name, State: blackboard.MemberDead}, blackboard.Evidence{})
			}
			return
		}
	}
	f.t.Fatal("no node holds the lease")
}

func (f *testFleet) versions() map[string]int {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	counts := map[string]int{}
	for _, e := range f.pool.engines {
		counts[e.state.WeightsVersion]++
	}
	return counts
}

// Guards against a rollout that exceeds the limit of concurrent loads or falls below the minimum of
// serving engines, loads a version twice into an engine, or does not complete, when a lease holder, an
// engine, the object API or the weight store fails.
func TestRolloutUnderFaults(t *testing.T) {
	cases := map[string]struct {
		engines int
		run     func(f *testFleet)
		want    map[string]int
		// maxLoads bounds the loads of one version into one engine.
		maxLoads int
	}{
		"no fault": {8, func(f *testFleet) {
			f.setDesiredVersion("v2")
			time.Sleep(time.Minute)
		}, map[string]int{"v2": 8}, 1},
		"lease holder dies half way": {8, func(f *testFleet) {
			f.setDesiredVersion("v2")
			time.Sleep(14 * time.Second)
			require.Len(f.t, f.versions(), 2, "the rollout is half way")
			f.killLeaseHolder()
			time.Sleep(2 * time.Minute)
		}, map[string]int{"v2": 8}, 1},
		"two lease holders die": {8, func(f *testFleet) {
			f.setDesiredVersion("v2")
			time.Sleep(3 * time.Second)
			f.killLeaseHolder()
			time.Sleep(lease.TTL + lease.MaxDeliveryDelay + 3*time.Second)
			f.killLeaseHolder()
			time.Sleep(2 * time.Minute)
		}, map[string]int{"v2": 8}, 1},
		"weights that do not load": {8, func(f *testFleet) {
			f.setDesiredVersion(badVersion)
			time.Sleep(5 * time.Minute)
		}, map[string]int{"v1": 8}, 1},
		"desired version reverted": {8, func(f *testFleet) {
			f.setDesiredVersion("v2")
			time.Sleep(14 * time.Second)
			f.setDesiredVersion("v1")
			time.Sleep(2 * time.Minute)
		}, map[string]int{"v1": 8}, 1},
		"object API outage": {8, func(f *testFleet) {
			f.setDesiredVersion("v2")
			time.Sleep(13 * time.Second)
			f.store.SetFaults(objects.Faults{Outage: true})
			time.Sleep(5 * time.Minute)
			f.store.SetFaults(objects.Faults{LostResponseShare: 0.5, StaleReadShare: 0.3})
			time.Sleep(5 * time.Minute)
		}, map[string]int{"v2": 8}, 1},
		"weight store over its rate": {8, func(f *testFleet) {
			f.weights.SetFaults(weights.Faults{FetchesPerSecond: 0.2})
			f.setDesiredVersion("v2")
			time.Sleep(5 * time.Minute)
		}, map[string]int{"v2": 8}, 1},
		"weight store lacks the version": {8, func(f *testFleet) {
			f.weights.SetFaults(weights.Faults{Missing: []string{"m/v2"}})
			f.setDesiredVersion("v2")
			time.Sleep(time.Minute)
		}, map[string]int{"v1": 8}, 0},
		"all engines needed to serve": {2, func(f *testFleet) {
			f.setDesiredVersion("v2")
			time.Sleep(time.Minute)
		}, map[string]int{"v1": 2}, 0},
		"engine restarts with old weights": {8, func(f *testFleet) {
			f.setDesiredVersion("v2")
			time.Sleep(time.Minute)
			e := f.pool.engines["engine-0"]
			f.pool.mu.Lock()
			e.desiredVersion, e.state.WeightsVersion, e.state.FencingToken = "v1", "v1", 0
			f.pool.mu.Unlock()
			time.Sleep(time.Minute)
		}, map[string]int{"v2": 8}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, c.engines)
				time.Sleep(time.Minute)
				require.Equal(t, map[string]int{"v1": c.engines}, f.versions())
				c.run(f)
				assert.Equal(t, c.want, f.versions())
				assert.LessOrEqual(t, f.pool.maxLoading, 2)
				assert.GreaterOrEqual(t, f.pool.minServing, 2)
				for id, e := range f.pool.engines {
					assert.Equal(t, []string{"sw"}, e.state.Adapters, "adapters are kept")
					for version, n := range e.loadCounts {
						assert.LessOrEqual(t, n, c.maxLoads, "%s loaded %s", id, version)
					}
				}
				for _, stop := range f.stops {
					stop()
				}
			})
		})
	}
}

// Guards against object API calls that continue at a high rate after a rollout has completed.
func TestCompletedRolloutMakesFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 8)
		f.setDesiredVersion("v2")
		time.Sleep(2 * time.Minute)
		before := f.store.Counters().Calls()
		time.Sleep(10 * time.Minute)
		calls := float64(f.store.Counters().Calls()-before) / 600
		t.Logf("%.3f calls/s for one model, lease included", calls)
		assert.LessOrEqual(t, calls, 0.15)
		for _, stop := range f.stops {
			stop()
		}
	})
}
