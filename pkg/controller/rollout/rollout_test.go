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

// pool is a set of engines that count their loads.
type pool struct {
	mu         sync.Mutex
	engines    map[string]*fakeEngine
	loading    int
	maxLoading int
	minServing int
}

type fakeEngine struct {
	pool  *pool
	state engine.State
	want  string
	loads map[string]int
	down  bool
}

func newPool(n int) *pool {
	p := &pool{engines: map[string]*fakeEngine{}, minServing: n}
	for i := range n {
		id := fmt.Sprint("engine-", i)
		p.engines[id] = &fakeEngine{pool: p, want: "v1", loads: map[string]int{}, state: engine.State{ID: id, Model: "m", WeightsVersion: "v1", Adapters: []string{"sw"}}}
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
	if o.Fencing < e.state.Fencing {
		return fault.New(fault.EngineRefused, "old fencing number")
	}
	e.state.Fencing = o.Fencing
	e.state.Adapters = o.Adapters
	if e.want == o.WeightsVersion {
		return nil
	}
	e.want = o.WeightsVersion
	e.loads[o.WeightsVersion]++
	if !e.state.Loading {
		e.state.Loading = true
		p.loading++
		p.maxLoading = max(p.maxLoading, p.loading)
		p.minServing = min(p.minServing, len(p.engines)-p.loading)
	}
	if o.WeightsVersion != badVersion {
		time.AfterFunc(loadTime, func() { e.loaded(o.WeightsVersion) })
	}
	return nil
}

func (e *fakeEngine) loaded(version string) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if e.want == version && e.state.Loading {
		e.state.WeightsVersion, e.state.Loading = version, false
		e.pool.loading--
	}
}

// bed is three nodes with lease and rollout controllers over one pool of engines.
type bed struct {
	t       *testing.T
	store   *objects.Store
	weights *weights.Store
	pool    *pool
	boards  map[string]*blackboard.Board
	stops   map[string]func()
}

func newBed(t *testing.T, engines int) *bed {
	b := &bed{t: t, store: objects.NewStore(1), weights: weights.New(), pool: newPool(engines), boards: map[string]*blackboard.Board{}, stops: map[string]func(){}}
	for i := range 3 {
		b.boards[fmt.Sprint("node-", i)] = blackboard.New()
	}
	b.setTarget("v1")
	for name, board := range b.boards {
		for other := range b.boards {
			b.boards[other].Members.Put(name, blackboard.MemberEntry{Name: name, State: blackboard.MemberAlive}, blackboard.Evidence{})
		}
		for id := range b.pool.engines {
			board.Engines.Put(id, blackboard.EngineEntry{ID: id, Address: id}, blackboard.Evidence{})
		}
	}
	for name := range b.boards {
		b.start(name)
	}
	return b
}

func (b *bed) start(name string) {
	ctx, cancel := context.WithCancel(b.t.Context())
	log := slog.New(slog.DiscardHandler)
	leases := leasectl.New(leasectl.Options{Node: name, Board: b.boards[name], Store: b.store, Logger: log})
	rollouts := New(Options{Board: b.boards[name], Store: b.store, Weights: b.weights, Logger: log,
		Engines: func(address string) EngineClient { return b.pool.engines[address] }})
	var running sync.WaitGroup
	running.Go(func() { _ = leases.Run(ctx) })
	running.Go(func() { _ = rollouts.Run(ctx) })
	b.stops[name] = func() {
		cancel()
		running.Wait()
	}
}

func (b *bed) setTarget(version string) {
	c := &config.Config{
		Models:  []config.Model{{Name: "m", WeightsVersion: version, MinServing: 2}},
		Rollout: config.Rollout{MaxConcurrentLoads: 2, CanaryEngines: 1, MaxErrorShare: 0.1},
	}
	for _, board := range b.boards {
		board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Config: c}, blackboard.Evidence{})
	}
}

// kill ends the holder's process without its release being stored.
func (b *bed) kill() {
	for name, board := range b.boards {
		if e, _ := board.Leases.Get("m"); e.Value.Fencing != 0 {
			b.store.SetFaults(objects.Faults{Outage: true})
			b.stops[name]()
			b.store.SetFaults(objects.Faults{})
			for _, other := range b.boards {
				other.Members.Put(name, blackboard.MemberEntry{Name: name, State: blackboard.MemberDead}, blackboard.Evidence{})
			}
			return
		}
	}
	b.t.Fatal("no holder")
}

func (b *bed) versions() map[string]int {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	counts := map[string]int{}
	for _, e := range b.pool.engines {
		counts[e.state.WeightsVersion]++
	}
	return counts
}

// Guards against a rollout that exceeds its bounds, loads an engine twice, is stuck or stops half
// way, under each fault of its surroundings.
func TestRollout(t *testing.T) {
	cases := map[string]struct {
		engines int
		run     func(b *bed)
		want    map[string]int
		// maxLoads is the number of loads of one engine and version.
		maxLoads int
	}{
		"no fault": {8, func(b *bed) {
			b.setTarget("v2")
			time.Sleep(time.Minute)
		}, map[string]int{"v2": 8}, 1},
		"holder dies half way": {8, func(b *bed) {
			b.setTarget("v2")
			time.Sleep(14 * time.Second)
			require.Len(b.t, b.versions(), 2, "the rollout is half way")
			b.kill()
			time.Sleep(2 * time.Minute)
		}, map[string]int{"v2": 8}, 1},
		"two holders die": {8, func(b *bed) {
			b.setTarget("v2")
			time.Sleep(3 * time.Second)
			b.kill()
			time.Sleep(lease.TTL + lease.MaxDeliveryDelay + 3*time.Second)
			b.kill()
			time.Sleep(2 * time.Minute)
		}, map[string]int{"v2": 8}, 1},
		"weights that do not load": {8, func(b *bed) {
			b.setTarget(badVersion)
			time.Sleep(5 * time.Minute)
		}, map[string]int{"v1": 8}, 1},
		"target taken back": {8, func(b *bed) {
			b.setTarget("v2")
			time.Sleep(14 * time.Second)
			b.setTarget("v1")
			time.Sleep(2 * time.Minute)
		}, map[string]int{"v1": 8}, 1},
		"object API outage": {8, func(b *bed) {
			b.setTarget("v2")
			time.Sleep(13 * time.Second)
			b.store.SetFaults(objects.Faults{Outage: true})
			time.Sleep(5 * time.Minute)
			b.store.SetFaults(objects.Faults{LostAnswers: 0.5, StaleReads: 0.3})
			time.Sleep(5 * time.Minute)
		}, map[string]int{"v2": 8}, 1},
		"weight store over its rate": {8, func(b *bed) {
			b.weights.SetFaults(weights.Faults{FetchesPerSecond: 0.2})
			b.setTarget("v2")
			time.Sleep(5 * time.Minute)
		}, map[string]int{"v2": 8}, 1},
		"weight store lacks the version": {8, func(b *bed) {
			b.weights.SetFaults(weights.Faults{Missing: []string{"m/v2"}})
			b.setTarget("v2")
			time.Sleep(time.Minute)
		}, map[string]int{"v1": 8}, 0},
		"no engine to spare": {2, func(b *bed) {
			b.setTarget("v2")
			time.Sleep(time.Minute)
		}, map[string]int{"v1": 2}, 0},
		"engine returns with old weights": {8, func(b *bed) {
			b.setTarget("v2")
			time.Sleep(time.Minute)
			e := b.pool.engines["engine-0"]
			b.pool.mu.Lock()
			e.want, e.state.WeightsVersion, e.state.Fencing = "v1", "v1", 0
			b.pool.mu.Unlock()
			time.Sleep(time.Minute)
		}, map[string]int{"v2": 8}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, c.engines)
				time.Sleep(time.Minute)
				require.Equal(t, map[string]int{"v1": c.engines}, b.versions())
				c.run(b)
				assert.Equal(t, c.want, b.versions())
				assert.LessOrEqual(t, b.pool.maxLoading, 2)
				assert.GreaterOrEqual(t, b.pool.minServing, 2)
				for id, e := range b.pool.engines {
					assert.Equal(t, []string{"sw"}, e.state.Adapters, "adapters stay")
					for version, n := range e.loads {
						assert.LessOrEqual(t, n, c.maxLoads, "%s loaded %s", id, version)
					}
				}
				for _, stop := range b.stops {
					stop()
				}
			})
		})
	}
}

// Guards against calls of the object API that go on after a rollout has ended.
func TestRestingRolloutIsCheap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 8)
		b.setTarget("v2")
		time.Sleep(2 * time.Minute)
		before := b.store.Counters().Calls()
		time.Sleep(10 * time.Minute)
		calls := float64(b.store.Counters().Calls()-before) / 600
		t.Logf("%.3f calls/s for one model, lease included", calls)
		assert.LessOrEqual(t, calls, 0.15)
		for _, stop := range b.stops {
			stop()
		}
	})
}
