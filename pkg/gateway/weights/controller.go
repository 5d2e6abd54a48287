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
	// Orders is the number of orders that the engine has accepted since its start.
	Orders int64
	// Started is the time of the start in Unix milliseconds.
	Started int64
}

// Order tells an engine to take a version of a model's weights.
type Order struct {
	Model   string
	Version int
	Holder  string
	Fencing uint64
	// IfOrders is the number of accepted orders at which the order holds, so that an order which
	// is carried out late cannot undo a newer one.
	IfOrders int64
}

// Reply is an engine's answer to an order.
type Reply int

// Replies.
const (
	Accepted Reply = iota + 1
	// AlreadyHeld means that the engine has that version.
	AlreadyHeld
	// Conflict means that another order runs or that the number of orders differs.
	Conflict
	// Fenced means that the engine has seen a newer holder.
	Fenced
	// Gone means that another backend server has the address.
	Gone
)

// Engines makes calls to engines.
type Engines interface {
	State(ctx context.Context, t Target) (EngineState, error)
	Load(ctx context.Context, t Target, o Order) (Reply, error)
}

// Leases reads and writes the lease object.
type Leases interface {
	Get(ctx context.Context, name string) (objects.Object, error)
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error)
}

const (
	// tick is the time between decisions.
	tick = 100 * time.Millisecond
	// leaseCallTimeout bounds one call for the lease. It is below the time between renewals.
	leaseCallTimeout = 550 * time.Millisecond
	// orderTimeout bounds one call to an engine.
	orderTimeout = 700 * time.Millisecond
	// loadLeast is the time after which an engine is first asked whether it has finished, and
	// loadPoll the pause between further questions. Loads take some hundred milliseconds.
	loadLeast = 550 * time.Millisecond
	loadPoll  = 120 * time.Millisecond
	// loadMost is the time after which an order that is not complete is given again. It is above
	// the longest stream that an engine lets finish before it loads.
	loadMost = 6 * time.Second
	// noticeTime is the time from the holder's word to its arrival at the other nodes.
	noticeTime = 6 * time.Millisecond
	// retryPause is the pause after a failed order to one engine.
	retryPause = 300 * time.Millisecond
	// leaseObject names the lease.
	leaseObject = "leases/weights"
)

// LeaseTiming returns the times of the lease for a platform that counts orders of two holders
// within gap of each other as a conflict.
func LeaseTiming(gap time.Duration) lease.Timing {
	const renew = 600 * time.Millisecond
	flight := gap/2 + 50*time.Millisecond
	return lease.Timing{
		TTL: flight + 2*renew + 200*time.Millisecond, RenewInterval: renew, MaxDeliveryDelay: flight,
		RetryInterval: 150 * time.Millisecond, HandoverDelay: gap + 200*time.Millisecond,
	}
}

// Options configures a Controller.
type Options struct {
	// Node names this machine as a holder of the lease and towards engines. It is the node's peer
	// address, at which the other nodes report to the holder.
	Node string
	// Instance differs between starts of the process.
	Instance string
	Timing   lease.Timing
	Wanted   *Wanted
	Backends *backends.Registry
	Engines  Engines
	Leases   Leases
	// Changed is called when an engine begins or ends to load. It returns the time until the other
	// nodes are told.
	Changed func() time.Duration
	Logger  *slog.Logger
	Metrics *metrics.Registry
}

// Controller contends for the lease and gives orders while it holds it. Use Run once.
type Controller struct {
	opt  Options
	work sync.WaitGroup

	mu      sync.Mutex
	lease   *lease.Lease
	held    bool
	ordered map[string]*engineOrder
}

// engineOrder is what the holder knows of an engine that it orders.
type engineOrder struct {
	running bool
	// orders is the engine's number of accepted orders if known is set.
	orders int64
	known  bool
	// failed is set if the last order failed, so that it does not hold up those to other engines.
	failed bool
	// retryAt is the earliest time of the next order.
	retryAt time.Time
}

// New returns a controller.
func New(opt Options) *Controller {
	return &Controller{opt: opt, lease: lease.NewWithTiming(opt.Node, opt.Instance, opt.Timing), ordered: map[string]*engineOrder{}}
}

// Run works until ctx ends, then releases the lease.
func (c *Controller) Run(ctx context.Context) {
	wait.Every(ctx, tick, c.step)
	c.work.Wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseCallTimeout)
	defer cancel()
	c.renew(ctx, false)
	c.work.Wait()
	// The others learn of the release at once and need not wait for the lease to end.
	c.opt.Changed()
}

// Holding reports whether this node holds the lease.
func (c *Controller) Holding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// Leading reports whether this node tells the others what the fleet runs: as the holder, and after it has
// released the lease until another node has taken it.
func (c *Controller) Leading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held || c.lease.Released()
}

// Holder returns the last known holder of the lease, or "".
func (c *Controller) Holder() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Holder()
}

// Lease returns the last known record of the lease in stored form, and its version.
func (c *Controller) Lease() ([]byte, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, version := c.lease.LastRecord()
	value, err := json.Marshal(record)
	if err != nil {
		// A record holds only strings, numbers and a flag.
		panic(err)
	}
	return value, version
}

// Sighted takes over a record of the lease that the holder has told of.
func (c *Controller) Sighted(value []byte, version uint64, now time.Time) {
	record, err := lease.DecodeRecord(value)
	if err != nil {
		event.LeaseDamaged.Emit(c.opt.Logger, "error", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.ObserveRemote(record, version, now)
}

// step takes the next step of the lease and gives the next orders.
func (c *Controller) step(ctx context.Context) {
	c.renew(ctx, true)
	newest, _ := c.opt.Wanted.Newest()
	for model, version := range newest {
		c.give(ctx, model, version)
	}
}

// renew makes the next call for the lease, if any.
func (c *Controller) renew(ctx context.Context, want bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	action := c.lease.Next(time.Now(), want, 0)
	c.noteLocked()
	if action.Kind == lease.None {
		return
	}
	c.work.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		defer cancel()
		var version uint64
		var object objects.Object
		var err error
		if action.Kind == lease.Read {
			object, err = c.opt.Leases.Get(callCtx, leaseObject)
		} else {
			version, err = c.opt.Leases.Put(callCtx, leaseObject, action.Value, action.IfVersion)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if action.Kind == lease.Write {
			c.lease.WriteDone(version, err, time.Now())
		} else if damaged := c.lease.ReadDone(object, err, time.Now()); damaged != nil {
			event.LeaseDamaged.Emit(c.opt.Logger, "object", leaseObject, "error", damaged.Error())
		}
		c.noteLocked()
	})
}

// noteLocked logs a change of the lease. A new holder knows nothing of the engines' orders.
func (c *Controller) noteLocked() {
	fencing, held := c.lease.MaySend(time.Now())
	if held == c.held {
		return
	}
	c.held = held
	clear(c.ordered)
	if held {
		event.LeaseTaken.Emit(c.opt.Logger, "fencing", fencing)
	} else {
		event.LeaseLost.Emit(c.opt.Logger, "holder", c.lease.Holder())
	}
}

// give orders the next engines of a model to take a version.
func (c *Controller) give(ctx context.Context, model string, version int) {
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
		o := c.ordered[e.ID]
		if o != nil && !o.running && now.Before(o.retryAt) {
			continue
		}
		candidates = append(candidates, Candidate{ID: e.ID, Version: e.Version, Long: e.Long, Short: e.Short, Down: e.Down || o != nil && o.failed, Ordered: o != nil && o.running})
	}
	for _, id := range Plan(candidates, version) {
		o := c.ordered[id]
		if o == nil {
			o = &engineOrder{}
			c.ordered[id] = o
		}
		o.running = true
		c.work.Go(func() { c.order(ctx, targets[id], model, version, o) })
	}
}

// order brings one engine to a version and waits until it has it.
func (c *Controller) order(ctx context.Context, t Target, model string, version int, o *engineOrder) {
	ctx, cancel := context.WithTimeout(ctx, loadMost)
	defer cancel()
	began := time.Now()
	outcome := c.load(ctx, t, model, version, o)
	c.opt.Backends.SetLoading(t.ID, time.Time{})
	c.opt.Changed()
	event.OrderEnded.Emit(c.opt.Logger, "engine", t.ID, "model", model, "version", version, "outcome", outcome,
		"took_ms", time.Since(began).Milliseconds())
	result := "failed"
	if outcome == outcomeDone {
		result = "done"
	}
	c.opt.Metrics.Counter("orders", "result", result).Inc(1)
	c.opt.Metrics.Histogram("order_ms", "result", result).Update(time.Since(began).Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	o.running, o.failed = false, outcome != outcomeDone
	if outcome != outcomeDone {
		o.known = false
		o.retryAt = time.Now().Add(retryPause)
	}
}

// outcomeDone is the outcome of an order that was carried out.
const outcomeDone = "done"

func (c *Controller) load(ctx context.Context, t Target, model string, version int, o *engineOrder) string {
	if !o.known {
		state, err := c.state(ctx, t)
		if err != nil {
			return err.Error()
		}
		if state.Busy {
			return "engine is busy with another order"
		}
		o.orders, o.known = state.Orders, true
		if state.Versions[model] >= version {
			c.opt.Backends.ObserveVersion(t.ID, model, state.Versions[model])
			return outcomeDone
		}
	}
	// Requests that reach the engine after the order are refused, so the other nodes hear first.
	c.opt.Backends.SetLoading(t.ID, time.Now().Add(loadMost))
	wait.Pause(ctx, c.opt.Changed()+noticeTime)
	reply, err := c.send(ctx, t, model, version, o.orders)
	if err != nil {
		return err.Error()
	}
	switch reply {
	case AlreadyHeld:
		c.opt.Backends.ObserveVersion(t.ID, model, version)
		return outcomeDone
	case Accepted:
		o.orders++
	case Gone:
		c.opt.Backends.Pause(t.ID, time.Now().Add(retryPause))
		return "another backend server has the address"
	default:
		return "order refused"
	}
	for pause := loadLeast; wait.Pause(ctx, pause); pause = loadPoll {
		state, err := c.state(ctx, t)
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

func (c *Controller) state(ctx context.Context, t Target) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.opt.Engines.State(ctx, t)
}

// send gives an order if the lease still allows it.
func (c *Controller) send(ctx context.Context, t Target, model string, version int, orders int64) (Reply, error) {
	c.mu.Lock()
	fencing, held := c.lease.MaySend(time.Now())
	c.mu.Unlock()
	if !held {
		return Fenced, nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.opt.Engines.Load(ctx, t, Order{Model: model, Version: version, Holder: c.opt.Node, Fencing: fencing, IfOrders: orders})
}
