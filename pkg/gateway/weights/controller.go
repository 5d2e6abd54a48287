package weights

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/lease"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/wait"
)

// Target is an engine that takes orders.
type Target struct {
	ID      string
	Address string
}

// EngineState is an engine's account of itself.
type EngineState struct {
	Versions map[string]int
	// Busy is set while the engine carries out an order.
	Busy bool
	// AcceptedOrders is the number of orders that the engine has accepted since its start.
	AcceptedOrders int64
	// Started is the time of the start in Unix milliseconds.
	Started int64
}

// Order tells an engine to take a version of a model's weights.
type Order struct {
	Model        string
	Version      int
	Holder       string
	FencingToken uint64
	// IfOrders is the number of accepted orders at which the order holds, so that an order which
	// is carried out late cannot undo a newer one.
	ExpectedOrders int64
}

// Reply is an engine's answer to an order.
type Reply int

// Replies.
const (
	Accepted Reply = iota + 1
	// AlreadyLoaded means that the engine has that version.
	AlreadyLoaded
	// Conflict means that another order runs or that the number of orders differs.
	Conflict
	// Fenced means that the engine has seen a newer holder.
	Fenced
	// Misdirected means that another backend server has the address.
	Misdirected
)

// Engines makes calls to engines.
type Engines interface {
	State(ctx context.Context, t Target) (EngineState, error)
	Load(ctx context.Context, t Target, o Order) (Reply, error)
}

// Leases reads and writes the lease object.
type LeaseStore interface {
	Get(ctx context.Context, name string) (objects.Object, error)
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error)
}

const (
	// tick is the time between decisions.
	decisionInterval = 100 * time.Millisecond
	// leaseCallTimeout bounds one call for the lease. It is below the time between renewals.
	leaseCallTimeout = 550 * time.Millisecond
	// orderTimeout bounds one call to an engine.
	engineCallTimeout = 700 * time.Millisecond
	// loadLeast is the time after which an engine is first asked whether it has finished, and
	// loadPoll the pause between further questions. Loads take some hundred milliseconds.
	firstPollDelay = 550 * time.Millisecond
	pollInterval   = 120 * time.Millisecond
	// loadMost is the time after which an order that is not complete is given again. It is above
	// the longest stream that an engine lets finish before it loads.
	loadTimeout = 6 * time.Second
	// noticeTime is the time from the holder's word to its arrival at the other nodes.
	heartbeatDelay = 6 * time.Millisecond
	// retryPause is the pause after a failed order to one engine.
	retryPause = 300 * time.Millisecond
	// leaseObject names the lease.
	leaseObjectName = "leases/weights"
)

// LeaseTiming returns the times of the lease for a platform that counts orders of two holders
// within gap of each other as a conflict.
func LeaseTiming(leaderChangeGap time.Duration) lease.Timing {
	const renew = 600 * time.Millisecond
	flight := leaderChangeGap/2 + 50*time.Millisecond
	return lease.Timing{
		TTL: flight + 2*renew + 200*time.Millisecond, RenewEvery: renew, Flight: flight,
		RetryEvery: 150 * time.Millisecond, Handover: leaderChangeGap + 200*time.Millisecond,
	}
}

// Options configures a Controller.
type Options struct {
	// Node names this machine as a holder of the lease and towards engines. It is the node's peer
	// address, at which the other nodes report to the holder.
	PeerAddress string
	// Instance differs between starts of the process.
	Instance string
	Timing   lease.Timing
	Versions *Versions
	Backends *backends.Registry
	Engines  Engines
	Leases   LeaseStore
	// Changed is called when an engine begins or ends to load. It returns the time until the other
	// nodes are told.
	NotifyPeers func() time.Duration
	Logger      *slog.Logger
	Metrics     *metrics.Registry
}

// Controller contends for the lease and gives orders while it holds it. Use Run once.
type Controller struct {
	opt      Options
	inFlight sync.WaitGroup

	mu           sync.Mutex
	lease        *lease.Lease
	held         bool
	engineOrders map[string]*engineOrder
}

// engineOrder is what the holder knows of an engine that it orders.
type engineOrder struct {
	pending bool
	// orders is the engine's number of accepted orders if known is set.
	acceptedOrders      int64
	acceptedOrdersKnown bool
	// failed is set if the last order failed, so that it does not hold up those to other engines.
	lastFailed bool
	// retryAt is the earliest time of the next order.
	retryAt time.Time
}

// New returns a controller.
func New(opt Options) *Controller {
	return &Controller{opt: opt, lease: lease.NewWithTiming(opt.PeerAddress, opt.Instance, opt.Timing), engineOrders: map[string]*engineOrder{}}
}

// Run works until ctx ends, then releases the lease.
func (c *Controller) Run(ctx context.Context) {
	wait.Every(ctx, decisionInterval, c.reconcile)
	c.inFlight.Wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseCallTimeout)
	defer cancel()
	c.advanceLease(ctx, false)
	c.inFlight.Wait()
	// The others learn of the release at once and need not wait for the lease to end.
	c.opt.NotifyPeers()
}

// Holding reports whether this node holds the lease.
func (c *Controller) HoldsLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// Leading reports whether this node tells the others what the fleet runs: as the holder, and after it has
// released the lease until another node has taken it.
func (c *Controller) ActingLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held || c.lease.HandedBack()
}

// Holder returns the last known holder of the lease, or "".
func (c *Controller) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Holder()
}

// Lease returns the last known record of the lease in stored form, and its version.
func (c *Controller) LeaseRecord() ([]byte, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, version := c.lease.Seen()
	value, err := json.Marshal(record)
	if err != nil {
		// A record holds only strings, numbers and a flag.
		panic(err)
	}
	return value, version
}

// Sighted takes over a record of the lease that the holder has told of.
func (c *Controller) ObserveLease(value []byte, version uint64, now time.Time) {
	record, err := lease.DecodeRecord(value)
	if err != nil {
		event.LeaseDamaged.Emit(c.opt.Logger, "error", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Sighted(record, version, now)
}

// step takes the next step of the lease and gives the next orders.
func (c *Controller) reconcile(ctx context.Context) {
	c.advanceLease(ctx, true)
	newest, _ := c.opt.Versions.Newest()
	for model, version := range newest {
		c.orderLoads(ctx, model, version)
	}
}

// renew makes the next call for the lease, if any.
func (c *Controller) advanceLease(ctx context.Context, desired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	action := c.lease.Next(time.Now(), desired, 0)
	c.updateHeldLocked()
	if action.Kind == lease.None {
		return
	}
	c.inFlight.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		defer cancel()
		var version uint64
		var object objects.Object
		var err error
		if action.Kind == lease.Read {
			object, err = c.opt.Leases.Get(callCtx, leaseObjectName)
		} else {
			version, err = c.opt.Leases.Put(callCtx, leaseObjectName, action.Value, action.IfVersion)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if action.Kind == lease.Write {
			c.lease.WriteDone(version, err, time.Now())
		} else if damaged := c.lease.ReadDone(object, err, time.Now()); damaged != nil {
			event.LeaseDamaged.Emit(c.opt.Logger, "object", leaseObjectName, "error", damaged.Error())
		}
		c.updateHeldLocked()
	})
}

// noteLocked logs a change of the lease. A new holder knows nothing of the engines' orders.
func (c *Controller) updateHeldLocked() {
	fencingToken, held := c.lease.MaySend(time.Now())
	if held == c.held {
		return
	}
	c.held = held
	clear(c.engineOrders)
	if held {
		event.LeaseTaken.Emit(c.opt.Logger, "fencing", fencingToken)
	} else {
		event.LeaseLost.Emit(c.opt.Logger, "holder", c.lease.Holder())
	}
}

// give orders the next engines of a model to take a version.
func (c *Controller) orderLoads(ctx context.Context, model string, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, held := c.lease.MaySend(time.Now()); !held {
		return
	}
	now := time.Now()
	engines := c.opt.Backends.Engines(model, now)
	targets := map[string]Target{}
	candidates := make([]Candidate, 0, len(engines))
	for _, e := range engines {
		targets[e.ID] = Target{ID: e.ID, Address: e.Address}
		o := c.engineOrders[e.ID]
		if o != nil && !o.pending && now.Before(o.retryAt) {
			continue
		}
		candidates = append(candidates, Candidate{ID: e.ID, Version: e.Version, LongRequests: e.Long, ShortRequests: e.Short, Unreachable: e.Down || o != nil && o.lastFailed, OrderPending: o != nil && o.pending})
	}
	for _, id := range Plan(candidates, version) {
		o := c.engineOrders[id]
		if o == nil {
			o = &engineOrder{}
			c.engineOrders[id] = o
		}
		o.pending = true
		c.inFlight.Go(func() { c.runOrder(ctx, targets[id], model, version, o) })
	}
}

// order brings one engine to a version and waits until it has it.
func (c *Controller) runOrder(ctx context.Context, t Target, model string, version int, o *engineOrder) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	start := time.Now()
	outcome := c.loadVersion(ctx, t, model, version, o)
	c.opt.Backends.SetLoading(t.ID, time.Time{})
	c.opt.NotifyPeers()
	event.OrderEnded.Emit(c.opt.Logger, "engine", t.ID, "model", model, "version", version, "outcome", outcome,
		"took_ms", time.Since(start).Milliseconds())
	result := "failed"
	if outcome == outcomeDone {
		result = "done"
	}
	c.opt.Metrics.Counter("orders", "result", result).Inc(1)
	c.opt.Metrics.Histogram("order_ms", "result", result).Update(time.Since(start).Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	o.pending, o.lastFailed = false, outcome != outcomeDone
	if outcome != outcomeDone {
		o.acceptedOrdersKnown = false
		o.retryAt = time.Now().Add(retryPause)
	}
}

// outcomeDone is the outcome of an order that was carried out.
const outcomeDone = "done"

func (c *Controller) loadVersion(ctx context.Context, t Target, model string, version int, o *engineOrder) string {
	if !o.acceptedOrdersKnown {
		state, err := c.engineState(ctx, t)
		if err != nil {
			return err.Error()
		}
		if state.Busy {
			return "engine is busy with another order"
		}
		o.acceptedOrders, o.acceptedOrdersKnown = state.AcceptedOrders, true
		if state.Versions[model] >= version {
			c.opt.Backends.ObserveVersion(t.ID, model, state.Versions[model])
			return outcomeDone
		}
	}
	// Requests that reach the engine after the order are refused, so the other nodes hear first.
	c.opt.Backends.SetLoading(t.ID, time.Now().Add(loadTimeout))
	wait.Pause(ctx, c.opt.NotifyPeers()+heartbeatDelay)
	reply, err := c.sendOrder(ctx, t, model, version, o.acceptedOrders)
	if err != nil {
		return err.Error()
	}
	switch reply {
	case AlreadyLoaded:
		c.opt.Backends.ObserveVersion(t.ID, model, version)
		return outcomeDone
	case Accepted:
		o.acceptedOrders++
	case Misdirected:
		c.opt.Backends.Pause(t.ID, time.Now().Add(retryPause))
		return "another backend server has the address"
	default:
		return "order refused"
	}
	for pause := firstPollDelay; wait.Pause(ctx, pause); pause = pollInterval {
		state, err := c.engineState(ctx, t)
		if err != nil {
			return err.Error()
		}
		if !state.Busy && state.Versions[model] >= version {
			c.opt.Backends.ObserveVersion(t.ID, model, state.Versions[model])
			return outcomeDone
		}
	}
	return "order was not carried out in time"
}

func (c *Controller) engineState(ctx context.Context, t Target) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	return c.opt.Engines.State(ctx, t)
}

// send gives an order if the lease still allows it.
func (c *Controller) sendOrder(ctx context.Context, t Target, model string, version int, orders int64) (Reply, error) {
	c.mu.Lock()
	fencingToken, held := c.lease.MaySend(time.Now())
	c.mu.Unlock()
	if !held {
		return Fenced, nil
	}
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	return c.opt.Engines.Load(ctx, t, Order{Model: model, Version: version, Holder: c.opt.PeerAddress, FencingToken: fencingToken, ExpectedOrders: orders})
}
