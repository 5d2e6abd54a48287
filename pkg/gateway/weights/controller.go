package weights

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/lease"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/recovery"
	"cassiawall.example/cassiawall/pkg/wait"
)

// Target is an engine that orders are sent to.
type Target struct {
	ID      string
	Address string
	// Started is the start time of the engine in Unix milliseconds, or 0 if it is not known.
	Started int64
}

// EngineState is the state that an engine reports.
type EngineState struct {
	// Versions are the loaded versions by model.
	Versions map[string]int
	// Busy is set while the engine executes an order.
	Busy bool
	// AcceptedOrders is the number of orders accepted since the engine started.
	AcceptedOrders int64
	// Started is the start time of the engine in Unix milliseconds.
	Started int64
}

// Order instructs an engine to load a version of a model's weights.
type Order struct {
	Model   string
	Version int
	// Holder is the peer address of the leader, which holds the lease under FencingToken.
	Holder       string
	FencingToken uint64
	// ExpectedOrders is the number of orders that the engine must have accepted so far, else it
	// rejects the order. A delayed order therefore cannot undo a newer one.
	ExpectedOrders int64
}

// Reply is an engine's reply to an order.
type Reply int

// Replies to an order.
const (
	// Accepted means that the engine has started to execute the order.
	Accepted Reply = iota + 1
	// AlreadyLoaded means that the engine already serves the version.
	AlreadyLoaded
	// Conflict means that the engine executes another order or that ExpectedOrders does not match.
	Conflict
	// Fenced means that the engine has seen a higher fencing token, or that this node no longer holds
	// the lease.
	Fenced
	// Misdirected means that another backend server responded at the engine's address.
	Misdirected
)

// Engines is a client of the engines.
type Engines interface {
	// State returns the state that an engine reports.
	State(ctx context.Context, t Target) (EngineState, error)
	// Load sends an order. After an error the engine may have accepted the order.
	Load(ctx context.Context, t Target, o Order) (Reply, error)
}

// LeaseStore reads and writes the lease object.
type LeaseStore interface {
	// Era returns the number of times that the store is known to have been restored from a copy; see objects.Position. known
	// is false before the first response.
	Era() (era int64, known bool)
	// Get returns the object; the error is of kind NotFound if it does not exist.
	Get(ctx context.Context, name string) (objects.Object, error)
	// Put writes the object if its version is ifVersion, where 0 means that it must not exist. It
	// returns the new version; the error is of kind Conflict if the version differs.
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error)
}

const (
	// decisionInterval is the time between two passes of the control loop.
	decisionInterval = 100 * time.Millisecond
	// leaseCallTimeout bounds one read or write of the lease. It is below the renewal interval.
	leaseCallTimeout = 550 * time.Millisecond
	// releaseTimeout bounds the calls that release the lease at a stop.
	releaseTimeout = 1500 * time.Millisecond
	// engineCallTimeout bounds one call to an engine.
	engineCallTimeout = 700 * time.Millisecond
	// orderTimeout bounds the first call with an order. Engines respond at once and carry out the order afterwards.
	// Each further call may take twice as long, until all took engineCallTimeout, so that a distant engine can respond.
	orderTimeout = engineCallTimeout / 7
	// firstPollDelay is the time from an accepted order to the first poll of the engine's state, and
	// pollInterval the time between further polls. Loads take some hundred milliseconds.
	firstPollDelay = 550 * time.Millisecond
	pollInterval   = 120 * time.Millisecond
	// loadTimeout bounds an order from its start until the engine serves the version; the order is then
	// repeated. It is longer than the longest stream that an engine finishes before it loads.
	loadTimeout = 6 * time.Second
	// heartbeatDelay is the time from sending a leader heartbeat until the other nodes have received it.
	heartbeatDelay = 6 * time.Millisecond
	// retryPause is the pause after a failed order before the same engine gets another.
	retryPause = 300 * time.Millisecond
	// failedOrderDelay is the time after a failed order for which other engines come first. It is limited, because others
	// are always outdated while new versions go on being set.
	failedOrderDelay = 3 * time.Second
	// leaseObjectName is the name of the lease object in the store in era 0.
	leaseObjectName = "leases/weights"
	// tokensPerEra is the number of fencing tokens of an era. Those of the next one are above them, so that a node that knows
	// no token of before the store was restored does not give one again.
	tokensPerEra = 1 << 32
)

// LeaseTiming returns the lease timing for a platform that counts orders of two lease holders less than
// leaderChangeGap apart as a conflict.
func LeaseTiming(leaderChangeGap time.Duration) lease.Timing {
	const renewInterval = 600 * time.Millisecond
	maxDeliveryDelay := leaderChangeGap/2 + 50*time.Millisecond
	return lease.Timing{
		TTL: maxDeliveryDelay + 2*renewInterval + 200*time.Millisecond, RenewInterval: renewInterval, MaxDeliveryDelay: maxDeliveryDelay,
		RetryInterval: 150 * time.Millisecond, HandoverDelay: leaderChangeGap + 200*time.Millisecond,
	}
}

// Options configures a Controller.
type Options struct {
	// PeerAddress identifies this node as the lease holder, in the lease and towards engines. The other
	// nodes send their reports to the leader's peer address.
	PeerAddress string
	// Instance identifies the process; it differs after each restart.
	Instance string
	Timing   lease.Timing
	Versions *Versions
	Backends *backends.Registry
	Engines  Engines
	Leases   LeaseStore
	// NotifyPeers schedules a message of the leader, which sends the loading state of the engines to the
	// other nodes. It returns the time until the message is sent.
	NotifyPeers func() time.Duration
	// AnnounceLease sends the lease to the other nodes.
	AnnounceLease func()
	// MayCallStore reports whether the controller may compete for the lease. A node that has just started
	// first learns from its peers who holds it.
	MayCallStore func() bool
	Logger       *slog.Logger
	Metrics      *metrics.Registry
}

// Controller competes for the lease and sends orders to engines while it holds the lease. Run may be
// called once; the other methods are safe for concurrent use.
type Controller struct {
	opt      Options
	inFlight sync.WaitGroup

	mu    sync.Mutex
	lease *lease.Lease
	// era is the era that lease belongs to. It is valid only if eraKnown is set.
	era          int64
	eraKnown     bool
	holdsLease   bool
	engineOrders map[string]*engineOrder
}

// engineOrder is the leader's record of its orders to one engine.
type engineOrder struct {
	// pending is set while an order is in progress.
	pending bool
	// acceptedOrders is the number of orders that the engine has accepted. It is valid only if
	// acceptedOrdersKnown is set.
	acceptedOrders      int64
	acceptedOrdersKnown bool
	// started is the start time that the engine reported with acceptedOrders.
	started int64
	// deferUntil is the time until which other engines come first and further orders do not count as loads, because the
	// last order failed.
	deferUntil time.Time
	// retryAt is the earliest time of the next order.
	retryAt time.Time
}

// New returns a controller that does not hold the lease.
func New(opt Options) *Controller {
	return &Controller{opt: opt, lease: lease.NewWithTiming(opt.PeerAddress, opt.Instance, opt.Timing), engineOrders: map[string]*engineOrder{}}
}

// Run competes for the lease and sends orders until ctx ends, then waits for the orders in progress and
// releases the lease.
func (c *Controller) Run(ctx context.Context) {
	wait.Every(ctx, decisionInterval, c.reconcile)
	c.inFlight.Wait()
	c.releaseLease(context.WithoutCancel(ctx))
	// The heartbeat with the released lease spares the other nodes the wait for its expiry.
	c.opt.AnnounceLease()
}

// releaseLease releases the lease if this node holds it, also if the call has to wait after a failed renewal. If the response
// is lost, it reads whether the release was stored: the other nodes must learn of it from this one. They would find it only
// when the lease would have ended, and wait for the handover then.
func (c *Controller) releaseLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	c.advanceLease(ctx, false)
	c.inFlight.Wait()
	for c.needsRelease() && wait.Pause(ctx, c.opt.Timing.RetryInterval) {
		c.advanceLease(ctx, false)
		c.inFlight.Wait()
	}
}

func (c *Controller) needsRelease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.NeedsRelease()
}

// reconcile makes the next lease call and orders the next loads of each model.
func (c *Controller) reconcile(ctx context.Context) {
	if c.opt.MayCallStore() {
		c.advanceLease(ctx, true)
	}
	newest, _ := c.opt.Versions.Newest()
	for model, version := range newest {
		c.orderLoads(ctx, model, version)
	}
}

// start runs a call to the store or an engine in a goroutine. A panic of the call does not end the process.
func (c *Controller) start(call func()) {
	guard := recovery.Guard{Logger: c.opt.Logger, Metrics: c.opt.Metrics}
	c.inFlight.Go(func() { guard.Run("weights", call) })
}

// orderLoads orders the next engines of a model to load a version.
func (c *Controller) orderLoads(ctx context.Context, model string, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, held := c.lease.MaySend(time.Now()); !held {
		return
	}
	now := time.Now()
	engines := c.opt.Backends.Engines(model, now)
	targets, unconfirmed := map[string]Target{}, map[string]bool{}
	candidates := make([]Candidate, 0, len(engines))
	for _, e := range engines {
		targets[e.ID] = Target{ID: e.ID, Address: e.Address, Started: e.Started}
		o := c.engineOrders[e.ID]
		if o != nil && !o.pending && now.Before(o.retryAt) {
			continue
		}
		if e.Unconfirmed {
			e.Version = e.ListedVersion
			unconfirmed[e.ID] = true
		}
		candidates = append(candidates, Candidate{ID: e.ID, Version: e.Version, LongRequests: e.Long, ShortRequests: e.Short, Unreachable: e.Down || o != nil && now.Before(o.deferUntil), OrderPending: o != nil && o.pending})
	}
	for _, id := range Plan(candidates, version) {
		o := c.engineOrders[id]
		if o == nil {
			o = &engineOrder{}
			c.engineOrders[id] = o
		}
		o.pending = true
		// The engine's state shows whether it still has the version.
		o.acceptedOrdersKnown = o.acceptedOrdersKnown && !unconfirmed[id]
		c.start(func() { c.runOrder(ctx, targets[id], model, version, o) })
	}
}

// Outcomes of an order. outcomeDone means that the engine serves the version.
const (
	outcomeDone    = "done"
	outcomeRefused = "order refused"
)
