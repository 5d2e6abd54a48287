package weights

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

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/objects"
)

// Guards against too many engines without service at once, and against a rollout that waits for an
// engine with long requests or one that is down.
func TestPlan(t *testing.T) {
	engines := func(n int, change func(i int, c *Candidate)) []Candidate {
		var list []Candidate
		for i := range n {
			c := Candidate{ID: fmt.Sprint("e", i), Version: 1}
			change(i, &c)
			list = append(list, c)
		}
		return list
	}
	none := func(int, *Candidate) {}
	tests := map[string]struct {
		engines []Candidate
		want    []string
	}{
		"one in five":           {engines(10, none), []string{"e0", "e1"}},
		"at least one":          {engines(2, none), []string{"e0"}},
		"running orders count":  {engines(10, func(i int, c *Candidate) { c.Ordered = i < 2 }), nil},
		"down ones do not":      {engines(10, func(i int, c *Candidate) { c.Ordered, c.Down = i < 2, i < 2 }), []string{"e2", "e3"}},
		"fewest long first":     {engines(5, func(i int, c *Candidate) { c.Long = 5 - i }), []string{"e4"}},
		"short count less":      {engines(5, func(i int, c *Candidate) { c.Long, c.Short = 1, 0; c.Short = i; c.Long = i % 2 }), []string{"e0"}},
		"down last":             {engines(5, func(i int, c *Candidate) { c.Down = i < 4 }), []string{"e4"}},
		"those with it are out": {engines(5, func(i int, c *Candidate) { c.Version = 1 + i%2 }), []string{"e0"}},
		"oldest first":          {engines(5, func(i int, c *Candidate) { c.Version = i - 3 }), []string{"e0"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, Plan(test.engines, 2))
		})
	}
}

// Guards against requests that begin on weights which the platform no longer allows, also at a node
// that learned of the version late.
func TestWantedVersionsAge(t *testing.T) {
	w := NewWanted(8*time.Second, 3*time.Second)
	start := time.Unix(1000, 0)
	require.True(t, w.Name("m", 1, time.Hour, start))
	require.True(t, w.Name("m", 2, 0, start))
	require.False(t, w.Name("m", 2, 0, start))
	require.False(t, w.Name("m", 1, 0, start))
	newest, since, lowest := w.DesiredVersions("m", start)
	assert.Equal(t, []any{2, start, 0}, []any{newest, since, lowest})
	_, _, lowest = w.DesiredVersions("m", start.Add(8*time.Second-beginMargin))
	assert.Equal(t, 2, lowest)
	assert.Equal(t, start.Add(8*time.Second-beginSlack), w.StartDeadline("m", 1))
	assert.True(t, w.StartDeadline("m", 2).IsZero())
	w.Name("m", 3, time.Minute, start)
	_, since, _ = w.DesiredVersions("m", start)
	assert.Equal(t, start.Add(-5*time.Second), since, "the limit less the time that the rules excuse")
}

// fakeStore holds the lease object. Failing calls leave the outcome open.
type fakeStore struct {
	mu      sync.Mutex
	object  objects.Object
	down    bool
	losing  bool
	changes int
}

func (s *fakeStore) Get(context.Context, string) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objects.Object{}, fault.New(fault.PlatformUnavailable, "down")
	}
	if s.object.Version == 0 {
		return objects.Object{}, fault.New(fault.NotFound, "none")
	}
	return s.object, nil
}

func (s *fakeStore) Put(_ context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, fault.New(fault.PlatformUnavailable, "down")
	}
	if ifVersion != s.object.Version {
		return 0, fault.New(fault.Conflict, "changed")
	}
	s.changes++
	s.object = objects.Object{Name: name, Version: s.object.Version + 1, Value: value}
	if s.losing {
		return 0, fault.New(fault.PlatformUnavailable, "lost").WithWork(fault.Unknown)
	}
	return s.object.Version, nil
}

// given is an order as an engine saw it.
type given struct {
	at      time.Time
	holder  string
	fencing uint64
	engine  string
	version int
}

// fakeEngines carries out orders after a time and notes them.
type fakeEngines struct {
	mu       sync.Mutex
	given    []given
	orders   map[string]int64
	versions map[string]int
	busy     map[string]time.Time
	// lose makes the answer to an order fail although it was accepted.
	lose bool
}

func (e *fakeEngines) State(_ context.Context, t Target) (EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineState{
		Busy: time.Now().Before(e.busy[t.ID]), Orders: e.orders[t.ID], Versions: map[string]int{"m": e.versions[t.ID]},
	}, nil
}

func (e *fakeEngines) Load(_ context.Context, t Target, o Order) (Reply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given = append(e.given, given{at: time.Now(), holder: o.Holder, fencing: o.Fencing, engine: t.ID, version: o.Version})
	if o.IfOrders != e.orders[t.ID] || time.Now().Before(e.busy[t.ID]) {
		return Conflict, nil
	}
	if e.versions[t.ID] == o.Version {
		return AlreadyHeld, nil
	}
	e.orders[t.ID]++
	e.versions[t.ID] = o.Version
	e.busy[t.ID] = time.Now().Add(600 * time.Millisecond)
	if e.lose {
		return 0, fault.New(fault.EngineFailed, "lost").WithWork(fault.Unknown)
	}
	return Accepted, nil
}

// fleet is some nodes before the same store and engines.
type fleet struct {
	store   *fakeStore
	engines *fakeEngines
	wanted  *Wanted
}

func newFleet() *fleet {
	f := &fleet{
		store:   &fakeStore{},
		engines: &fakeEngines{orders: map[string]int64{}, versions: map[string]int{}, busy: map[string]time.Time{}},
		wanted:  NewWanted(8*time.Second, 3*time.Second),
	}
	f.wanted.Name("m", 1, time.Hour, time.Now())
	for i := range 6 {
		f.engines.versions[fmt.Sprint("e", i)] = 1
	}
	return f
}

func (f *fleet) node(name string) *Controller {
	registry := backends.NewRegistry("dc")
	for i := range 6 {
		registry.Put(backends.Backend{ID: fmt.Sprint("e", i), Service: "s", Address: "127.0.0.1:1", Models: []backends.Model{{Name: "m", Version: 1}}})
	}
	return New(Options{
		Node: name, Instance: name + "/1", Timing: LeaseTiming(3 * time.Second), Wanted: f.wanted, Backends: registry,
		Engines: f.engines, Leases: f.store, Changed: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New(),
	})
}

func run(ctx context.Context, wg *sync.WaitGroup, c *Controller) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	wg.Go(func() { c.Run(ctx) })
	return cancel
}

// checkOrders asserts that no engine got orders of two holders within the platform's gap, and no lower
// fencing number after a higher one.
func checkOrders(t *testing.T, orders []given) {
	t.Helper()
	last := map[string]given{}
	for _, o := range orders {
		if l, ok := last[o.engine]; ok {
			assert.GreaterOrEqual(t, o.fencing, l.fencing)
			if l.holder != o.holder {
				assert.NotEqual(t, l.fencing, o.fencing)
				assert.GreaterOrEqual(t, o.at.Sub(l.at), 3*time.Second)
			}
		}
		last[o.engine] = o
	}
}

// Guards against engines that stay behind, and against two givers of orders, when the holder stops,
// dies, loses the store or loses answers.
func TestRolloutGoesOnWithoutItsHolder(t *testing.T) {
	tests := map[string]func(f *fleet, stop context.CancelFunc){
		"holder stops": func(_ *fleet, stop context.CancelFunc) { stop() },
		"order answers are lost": func(f *fleet, _ context.CancelFunc) {
			f.engines.setLose(true)
			time.AfterFunc(2*time.Second, func() { f.engines.setLose(false) })
		},
		"lease answers are lost": func(f *fleet, _ context.CancelFunc) {
			f.store.set(false, true)
			time.AfterFunc(4*time.Second, func() { f.store.set(false, false) })
		},
		"store is down for a bit": func(f *fleet, _ context.CancelFunc) {
			f.store.set(true, false)
			time.AfterFunc(6*time.Second, func() { f.store.set(false, false) })
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				var wg sync.WaitGroup
				ctx, cancel := context.WithCancel(t.Context())
				first, second := f.node("a"), f.node("b")
				stopFirst := run(ctx, &wg, first)
				time.Sleep(time.Second)
				run(ctx, &wg, second)
				time.Sleep(time.Second)
				require.True(t, first.Holding())
				require.False(t, second.Holding())
				f.wanted.Name("m", 2, 0, time.Now())
				time.Sleep(300 * time.Millisecond)
				disturb(f, stopFirst)
				time.Sleep(25 * time.Second)
				f.engines.mu.Lock()
				for id, v := range f.engines.versions {
					assert.Equal(t, 2, v, id)
				}
				checkOrders(t, f.engines.given)
				f.engines.mu.Unlock()
				cancel()
				wg.Wait()
			})
		})
	}
}

func (s *fakeStore) set(down, losing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.losing = down, losing
}

func (e *fakeEngines) setLose(lose bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lose = lose
}

// Guards against a slow takeover: a node that hears the holder's renewals waits from the last of them.
func TestSightedLeaseShortensTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		first, second := f.node("a"), f.node("b")
		stop := run(ctx, &wg, first)
		time.Sleep(time.Second)
		run(ctx, &wg, second)
		for range 40 {
			time.Sleep(200 * time.Millisecond)
			value, version := first.Lease()
			second.Sighted(value, version, time.Now())
		}
		calls := f.store.changes
		f.store.set(true, false)
		stop()
		time.Sleep(900 * time.Millisecond)
		f.store.set(false, false)
		died := time.Now()
		for !second.Holding() {
			time.Sleep(50 * time.Millisecond)
		}
		timing := LeaseTiming(3 * time.Second)
		assert.LessOrEqual(t, time.Since(died), timing.TTL+timing.MaxDeliveryDelay)
		assert.Positive(t, calls)
		cancel()
		wg.Wait()
	})
}

// Guards against a long time without a holder after a planned stop: the stopped holder tells of its release and
// leads until another node holds the lease.
func TestStoppedHolderHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		first, second := f.node("a"), f.node("b")
		told := 0
		first.opt.Changed = func() time.Duration {
			told++
			value, version := first.Lease()
			second.Sighted(value, version, time.Now())
			return 0
		}
		stop := run(ctx, &wg, first)
		time.Sleep(time.Second)
		run(ctx, &wg, second)
		time.Sleep(time.Second)
		require.True(t, first.Holding())
		stop()
		stopped := time.Now()
		synctest.Wait()
		require.Equal(t, 1, told)
		assert.False(t, first.Holding())
		for !second.Holding() {
			assert.True(t, first.Leading())
			time.Sleep(50 * time.Millisecond)
		}
		assert.LessOrEqual(t, time.Since(stopped), LeaseTiming(3*time.Second).HandoverDelay+2*tick)
		value, version := second.Lease()
		first.Sighted(value, version, time.Now())
		assert.False(t, first.Leading())
		cancel()
		wg.Wait()
	})
}

// Guards against an order of a node whose lease ended after the order was planned.
func TestOrderNeedsTheLeaseAtItsSend(t *testing.T) {
	f := newFleet()
	reply, err := f.node("a").send(t.Context(), Target{ID: "e0"}, "m", 2, 0)
	require.NoError(t, err)
	assert.Equal(t, Fenced, reply)
	assert.Empty(t, f.engines.given)
}
