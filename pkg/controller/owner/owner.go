// Package owner runs the engines that this node owns: it reads their cache events, load and
// state, keeps their cache index and admission queue, and answers Acquire and Release.
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
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Options configures an Owner. Zero values of the intervals mean the defaults.
type Options struct {
	Board *blackboard.Board
	// Engines returns the adapter of an engine, or nil if its address is not known.
	Engines func(id string) engine.Reporter
	// Self is this node's member name.
	Self   string
	Logger *slog.Logger
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// CopySource returns another engine that holds leading pieces of the chain, and their number;
	// see placement.Placer.CopySource. Default: none, which disables copies.
	CopySource func(prefixHashes []uint64, except string) (engineID string, pieces int)
	// Copy states when a copy is suggested.
	Copy CopyOptions
	// Index and Queue bound the parts of each engine.
	Index cacheindex.Options
	Queue admission.Options
	// LoadInterval is the time between load reports. Default 100 ms.
	LoadInterval time.Duration
	// StateInterval is the time between state reports. Default 1 s.
	StateInterval time.Duration
	// TickInterval is the time between checks of held tickets and expired slots. Default 20 ms.
	TickInterval time.Duration
	// SnapshotTimeout bounds the time that Acquire waits for the first cache snapshot. Default
	// 300 ms.
	SnapshotTimeout time.Duration
}

// Default values of Options.
const (
	DefaultLoadInterval    = 100 * time.Millisecond
	DefaultStateInterval   = time.Second
	DefaultTickInterval    = 20 * time.Millisecond
	DefaultSnapshotTimeout = 300 * time.Millisecond
)

// reconcileInterval bounds the time until a missed change of members or engines is noticed.
const reconcileInterval = time.Second

// Owner runs the engines that this node owns. It is safe for concurrent use.
type Owner struct {
	options Options
	curves  *admission.SurvivalCurves
	mu      sync.Mutex
	engines map[string]*ownedEngine
	running sync.WaitGroup
	// lastView is the view that the current ownership was decided on.
	lastView ownershipView
}

// New returns an Owner without engines. Run starts it.
func New(o Options) *Owner {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	o.LoadInterval = orDefault(o.LoadInterval, DefaultLoadInterval)
	o.StateInterval = orDefault(o.StateInterval, DefaultStateInterval)
	o.TickInterval = orDefault(o.TickInterval, DefaultTickInterval)
	o.SnapshotTimeout = orDefault(o.SnapshotTimeout, DefaultSnapshotTimeout)
	return &Owner{options: o, curves: admission.NewSurvivalCurves(), engines: map[string]*ownedEngine{}}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// Run follows the members and engines on the board until ctx ends.
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

// reconcile starts and stops engines after a change of ownership. An engine that moved to another
// address is started anew.
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
		o.running.Go(func() { e.run(ctx) })
		event.EngineOwnershipTaken.Log(ctx, o.options.Logger, slog.String("engine", id))
	}
	if complete {
		o.lastView = current
	}
}

// desiredEngines returns the addresses of the engines that this node owns.
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

// Owned returns the ids of the engines that this node owns now, in no particular order.
func (o *Owner) Owned() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]string, 0, len(o.engines))
	for id := range o.engines {
		ids = append(ids, id)
	}
	return ids
}

// Acquire asks for a slot on an engine and blocks while the request is queued. It returns an
// error only when ctx ends first; the request then holds neither a place in the queue nor a slot.
func (o *Owner) Acquire(ctx context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	e := o.find(r.GetEngine())
	if e == nil {
		return &peerpb.AcquireReply{Verdict: peerpb.AcquireReply_NOT_OWNER}, nil
	}
	return e.acquire(ctx, r)
}

// Release reports progress of a slot. Unknown slots are no error: the slot may have expired or
// the engine may have changed its owner.
func (o *Owner) Release(_ context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	e := o.find(r.GetEngine())
	if e == nil {
		return &peerpb.ReleaseReply{}, nil
	}
	return &peerpb.ReleaseReply{Summary: e.release(r)}, nil
}
