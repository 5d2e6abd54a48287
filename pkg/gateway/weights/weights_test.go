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

// Guards against too many engines loading at a time, which take no requests meanwhile, and against a
// rollout that is blocked by an unreachable engine or delayed by one with long requests.
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
		"one engine in five":               {engines(10, none), []string{"e0", "e1"}},
		"at least one engine":              {engines(2, none), []string{"e0"}},
		"pending orders count":             {engines(10, func(i int, c *Candidate) { c.OrderPending = i < 2 }), nil},
		"unreachable engines do not count": {engines(10, func(i int, c *Candidate) { c.OrderPending, c.Unreachable = i < 2, i < 2 }), []string{"e2", "e3"}},
		"fewest long requests first":       {engines(5, func(i int, c *Candidate) { c.LongRequests = 5 - i }), []string{"e4"}},
		"short requests weigh less": {engines(5, func(i int, c *Candidate) {
			c.LongRequests, c.ShortRequests = 1, 0
			c.ShortRequests = i
			c.LongRequests = i % 2
		}), []string{"e0"}},
		"unreachable engines last":             {engines(5, func(i int, c *Candidate) { c.Unreachable = i < 4 }), []string{"e4"}},
		"engines with the version are skipped": {engines(5, func(i int, c *Candidate) { c.Version = 1 + i%2 }), []string{"e0"}},
		"oldest version first":                 {engines(5, func(i int, c *Candidate) { c.Version = i - 3 }), []string{"e0"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, Plan(test.engines, 2))
		})
	}
}

// Guards against requests that start on weights which the platform no longer allows, also at a node that
// received the new version late.
func TestOldVersionsExpire(t *testing.T) {
	w := NewVersions(8*time.Second, 3*time.Second)
	start := time.Unix(1000, 0)
	require.True(t, w.Add("m", 1, time.Hour, start))
	require.True(t, w.Add("m", 2, 0, start))
	require.False(t, w.Add("m", 2, 0, start))
	require.False(t, w.Add("m", 1, 0, start))
	newest, since, lowest := w.DesiredVersions("m", start)
	assert.Equal(t, []any{2, start, 0}, []any{newest, since, lowest})
	_, _, lowest = w.DesiredVersions("m", start.Add(8*time.Second-startMargin))
	assert.Equal(t, 2, lowest)
	assert.Equal(t, start.Add(8*time.Second-startDeadlineMargin), w.StartDeadline("m", 1))
	assert.True(t, w.StartDeadline("m", 2).IsZero())
	w.Add("m", 3, time.Minute, start)
	_, since, _ = w.DesiredVersions("m", start)
	assert.Equal(t, start.Add(-5*time.Second), since, "the limit less the grace after a reconnect")
}

// fakeStore holds the lease object. With dropWriteResponses a write takes effect and its response is lost.
type fakeStore struct {
	mu                 sync.Mutex
	object             objects.Object
	unavailable        bool
	dropWriteResponses bool
	writes             int
	// era is the number of times that the store was restored. Each era has an object of its own.
	era int64
}

func (s *fakeStore) Era() (era int64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, true
}

func (s *fakeStore) Get(context.Context, string) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
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
	if s.unavailable {
		return 0, fault.New(fault.PlatformUnavailable, "down")
	}
	if ifVersion != s.object.Version {
		return 0, fault.New(fault.Conflict, "changed")
	}
	s.writes++
	s.object = objects.Object{Name: name, Version: s.object.Version + 1, Value: value}
	if s.dropWriteResponses {
		return 0, fault.New(fault.PlatformUnavailable, "lost").WithWork(fault.Unknown)
	}
	return s.object.Version, nil
}

// receivedOrder is an order that reached an engine.
type receivedOrder struct {
	at      time.Time
	holder  string
	fencing uint64
	engine  string
	version int
}

// fakeEngines records orders. An accepted order keeps its engine busy for 600 ms.
type fakeEngines struct {
	mu       sync.Mutex
	received []receivedOrder
	orders   map[string]int64
	versions map[string]int
	busy     map[string]time.Time
	started  map[string]int64
	// dropResponses makes Load return an error for orders that are accepted.
	dropResponses bool
	// unanswered is the number of further orders to each engine that get no response and are carried out after
	// lateBy.
	unanswered map[string]int
	lateBy     time.Duration
}

func (e *fakeEngines) State(_ context.Context, t Target) (EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineState{
		Busy: time.Now().Before(e.busy[t.ID]), AcceptedOrders: e.orders[t.ID], Versions: map[string]int{"m": e.versions[t.ID]},
		Started: e.started[t.ID],
	}, nil
}

func (e *fakeEngines) Load(ctx context.Context, t Target, o Order) (Reply, error) {
	e.mu.Lock()
	if e.unanswered[t.ID] > 0 {
		e.unanswered[t.ID]--
		e.mu.Unlock()
		time.AfterFunc(e.lateBy, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			_, _ = e.executeLocked(t, o)
		})
		<-ctx.Done()
		return 0, fault.Wrap(ctx.Err(), fault.EngineFailed, "no response").WithWork(fault.Unknown)
	}
	defer e.mu.Unlock()
	return e.executeLocked(t, o)
}

func (e *fakeEngines) executeLocked(t Target, o Order) (Reply, error) {
	e.received = append(e.received, receivedOrder{at: time.Now(), holder: o.Holder, fencing: o.FencingToken, engine: t.ID, version: o.Version})
	if o.ExpectedOrders != e.orders[t.ID] || time.Now().Before(e.busy[t.ID]) {
		return Conflict, nil
	}
	if e.versions[t.ID] == o.Version {
		return AlreadyLoaded, nil
	}
	e.orders[t.ID]++
	e.versions[t.ID] = o.Version
	e.busy[t.ID] = time.Now().Add(600 * time.Millisecond)
	if e.dropResponses {
		return 0, fault.New(fault.EngineFailed, "lost").WithWork(fault.Unknown)
	}
	return Accepted, nil
}

// fleet is the store, the engines and the desired versions that several controllers share.
type fleet struct {
	store    *fakeStore
	engines  *fakeEngines
	versions *Versions
}

func newFleet() *fleet {
	f := &fleet{
		store:    &fakeStore{},
		engines:  &fakeEngines{orders: map[string]int64{}, versions: map[string]int{}, busy: map[string]time.Time{}, started: map[string]int64{}},
		versions: NewVersions(8*time.Second, 3*time.Second),
	}
	f.versions.Add("m", 1, time.Hour, time.Now())
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
		PeerAddress: name, Instance: name + "/1", Timing: LeaseTiming(3 * time.Second), Versions: f.versions, Backends: registry,
		Engines: f.engines, Leases: f.store, NotifyPeers: func() time.Duration { return 0 },
		AnnounceLease: func() {}, MayCallStore: func() bool { return true }, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New(),
	})
}

func run(ctx context.Context, wg *sync.WaitGroup, c *Controller) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	wg.Go(func() { c.Run(ctx) })
	return cancel
}

// checkOrders asserts that no engine received orders of two lease holders less than 3 s apart, or a lower
// fencing token after a higher one.
func checkOrders(t *testing.T, orders []receivedOrder) {
	t.Helper()
	last := map[string]receivedOrder{}
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

// Guards against engines that keep an old version, and against orders of two leaders at a time, when the
// leader stops, cannot reach the store, or loses the responses of the store or of engines.
func TestRolloutSurvivesLeaderFailure(t *testing.T) {
	tests := map[string]func(f *fleet, stop context.CancelFunc){
		"leader stops": func(_ *fleet, stop context.CancelFunc) { stop() },
		"order responses are lost": func(f *fleet, _ context.CancelFunc) {
			f.engines.setDropResponses(true)
			time.AfterFunc(2*time.Second, func() { f.engines.setDropResponses(false) })
		},
		"lease write responses are lost": func(f *fleet, _ context.CancelFunc) {
			f.store.set(false, true)
			time.AfterFunc(4*time.Second, func() { f.store.set(false, false) })
		},
		"store is unavailable for 6 s": func(f *fleet, _ context.CancelFunc) {
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
				require.True(t, first.HoldsLease())
				require.False(t, second.HoldsLease())
				f.versions.Add("m", 2, 0, time.Now())
				time.Sleep(300 * time.Millisecond)
				disturb(f, stopFirst)
				time.Sleep(25 * time.Second)
				f.engines.mu.Lock()
				for id, v := range f.engines.versions {
					assert.Equal(t, 2, v, id)
				}
				checkOrders(t, f.engines.received)
				f.engines.mu.Unlock()
				cancel()
				wg.Wait()
			})
		})
	}
}

func (s *fakeStore) set(unavailable, dropWriteResponses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable, s.dropWriteResponses = unavailable, dropWriteResponses
}

func (e *fakeEngines) setDropResponses(drop bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropResponses = drop
}

// restart lets an engine start again under its ID, with a version and without its orders.
func (e *fakeEngines) restart(id string, version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders[id], e.versions[id], e.busy[id] = 0, version, time.Time{}
	e.started[id]++
}
