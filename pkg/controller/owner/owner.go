// Package owner runs the engines that this node owns. Every engine has one owner: the node that
// rendezvous hashing selects for it and that admits all requests to it. The owner reads the
// engine's cache events, load and state, maintains its cache index and admission queue, and serves
// the peer calls Acquire and Release.
package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/admission"
	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/cacheindex"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/recovery"
)

// Options configures an Owner. Zero intervals and timeouts are replaced by the defaults.
type Options struct {
	Board *blackboard.Board
	// Engines returns the adapter of an engine, or nil if there is none yet.
	Engines func(id string) engine.Reporter
	// Self is this node's member name.
	Self   string
	Logger *slog.Logger
	// Metrics is the registry of the counter task_panics. Default: a new registry.
	Metrics *metrics.Registry
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// CopySource returns an engine other than except that caches leading pieces of the prompt, and
	// their number; see placement.Placer.CopySource. If nil, replies suggest no copies.
	CopySource func(prefixHashes []uint64, except string) (engineID string, pieces int)
	// Copy is the cost of a copy, from which the owner decides whether to suggest one.
	Copy CopyOptions
	// Index and Queue configure each engine's cache index and admission queue.
	Index cacheindex.Options
	Queue admission.Options
	// LoadInterval is the time between reads of an engine's load. Default 100 ms.
	LoadInterval time.Duration
	// StateInterval is the time between reads of an engine's state. Default 1 s.
	StateInterval time.Duration
	// TickInterval is the time between checks for expired slots and for queued requests that can
	// be granted. Default 20 ms.
	TickInterval time.Duration
	// SnapshotTimeout bounds the time that Acquire waits for the engine's first cache snapshot.
	// After it, Acquire replies from an empty index. Default 300 ms.
	SnapshotTimeout time.Duration
}

// Default values of Options.
const (
	DefaultLoadInterval    = 100 * time.Millisecond
	DefaultStateInterval   = time.Second
	DefaultTickInterval    = 20 * time.Millisecond
	DefaultSnapshotTimeout = 300 * time.Millisecond
)

// reconcileInterval bounds the time until a missed notification or an engine adapter that was not
// available before takes effect.
const reconcileInterval = time.Second

// Owner runs the engines that this node owns. It is safe for concurrent use.
type Owner struct {
	options Options
	guard   recovery.Guard
	curves  *admission.SurvivalCurves
	mu      sync.Mutex
	engines map[string]*ownedEngine
	running sync.WaitGroup
	// lastView is the view for which all desired engines were last running.
	lastView ownershipView
}

// New returns an Owner that owns no engines until Run is called.
func New(o Options) *Owner {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	o.LoadInterval = orDefault(o.LoadInterval, DefaultLoadInterval)
	o.StateInterval = orDefault(o.StateInterval, DefaultStateInterval)
	o.TickInterval = orDefault(o.TickInterval, DefaultTickInterval)
	o.SnapshotTimeout = orDefault(o.SnapshotTimeout, DefaultSnapshotTimeout)
	return &Owner{
		options: o, guard: recovery.Guard{Logger: o.Logger, Metrics: o.Metrics},
		curves: admission.NewSurvivalCurves(), engines: map[string]*ownedEngine{},
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// Run starts and stops engines as members and engines on the board change, until ctx ends. It
// returns nil after all engines have stopped.
func (o *Owner) Run(ctx context.Context) error {
	members, stopMembers := o.options.Board.Members.Subscribe()
	defer stopMembers()
	engines, stopEngines := o.options.Board.Engines.Subscribe()
	defer stopEngines()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		o.reconcile(ctx)
		select {
		case <-ctx.Done():
			o.stopAll()
			o.running.Wait()
			return nil
		case <-members:
		case <-engines:
		case <-ticker.C:
		}
	}
}

// reconcile starts and stops engines after a change of ownership. An engine whose address has
// changed is restarted.
func (o *Owner) reconcile(ctx context.Context) {
	current := o.readView()
	if current.equal(&o.lastView) {
		return
	}
	desired := o.desiredEngines(&current)
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, e := range o.engines {
		if address, ok := desired[id]; !ok || address != e.address {
			delete(o.engines, id)
			e.stop()
		}
	}
	complete := true
	for id, address := range desired {
		if _, ok := o.engines[id]; ok {
			continue
		}
		reporter := o.options.Engines(id)
		if reporter == nil {
			complete = false
			continue
		}
		e := newOwnedEngine(o, id, address, reporter)
		o.engines[id] = e
		o.running.Go(func() { o.guard.Run("engine", func() { e.run(ctx) }) })
		event.EngineOwnershipTaken.Log(ctx, o.options.Logger, slog.String("engine", id))
	}
	if complete {
		o.lastView = current
	}
}

// desiredEngines returns the engines that this node owns in v, as a map from id to address.
func (o *Owner) desiredEngines(v *ownershipView) map[string]string {
	desired := map[string]string{}
	for id, e := range v.engines {
		m, ok := Of(id, e.dataCentre, v.members)
		if ok && m.Name == o.options.Self {
			desired[id] = e.address
		}
	}
	return desired
}

func (o *Owner) stopAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, e := range o.engines {
		delete(o.engines, id)
		e.stop()
	}
}

func (o *Owner) find(id string) *ownedEngine {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.engines[id]
}

// Owned returns the ids of the engines that this node currently owns, in no particular order.
func (o *Owner) Owned() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]string, 0, len(o.engines))
	for id := range o.engines {
		ids = append(ids, id)
	}
	return ids
}

// Acquire requests a slot on an engine and blocks while the request is queued. It returns an error
// only if ctx ends first; the request is then neither queued nor holds a slot. If this node does
// not own the engine, the verdict is NOT_OWNER.
func (o *Owner) Acquire(ctx context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	e := o.find(r.GetEngine())
	if e == nil {
		return &peerpb.AcquireReply{Verdict: peerpb.AcquireReply_NOT_OWNER}, nil
	}
	return e.acquire(ctx, r)
}

// Release handles a progress report for a slot: first token, renewal or end. An unknown slot is
// not an error: it may have expired, or the engine may have changed its owner.
func (o *Owner) Release(_ context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	e := o.find(r.GetEngine())
	if e == nil {
		return &peerpb.ReleaseReply{}, nil
	}
	return &peerpb.ReleaseReply{Summary: e.release(r)}, nil
}
