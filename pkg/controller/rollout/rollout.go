// Package rollout brings the engines of each model whose lease this node holds to the configured
// weights. It reads back what the engines have, decides with package rollout and sends orders.
package rollout

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/lease"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/rollout"
	"cassiawall.example/cassiawall/pkg/wait"
	"cassiawall.example/cassiawall/pkg/weights"
)

const (
	// tick is the time between decisions while a rollout is active.
	tick = time.Second
	// restTick is the time between readings of the engines while nothing is to do. It bounds how
	// long an engine that returned with old weights keeps them.
	restTick = 30 * time.Second
	// callTimeout bounds one call of the object API or the weight store, and one state reading.
	callTimeout = 2 * time.Second
	// stepsPerTick lets a decision that was stored be acted on at once.
	stepsPerTick = 3
)

// EngineClient is what the controller needs of an engine.
type EngineClient interface {
	State(ctx context.Context) (engine.State, error)
	engine.OrderTaker
}

// Options configures a Controller.
type Options struct {
	Board *blackboard.Board
	Store objects.Store
	// Engines returns the client for an address (host:port).
	Engines func(address string) EngineClient
	// Weights may be nil: loads then start without asking the weight store.
	Weights weights.Store
	// Requests reports how requests fared on a model's version. Nil reports none.
	Requests func(model, version string) rollout.Requests
	Logger   *slog.Logger
}

// Controller runs rollouts. Use Run once.
type Controller struct {
	opt Options
	// models is what this node knows of the models whose leases it holds.
	models map[string]*tenure
}

// tenure is the time in which this node holds a model's lease without a break.
type tenure struct {
	fencing uint64
	// stored is the highest version of the state that was read or written.
	stored  uint64
	states  map[string]engine.State
	target  string
	next    time.Time
	phase   rollout.Phase
	blocked bool
}

// New returns a controller.
func New(opt Options) *Controller {
	if opt.Requests == nil {
		opt.Requests = func(string, string) rollout.Requests { return rollout.Requests{} }
	}
	return &Controller{opt: opt, models: map[string]*tenure{}}
}

// Run decides until ctx ends. Orders in progress end with it.
func (c *Controller) Run(ctx context.Context) error {
	wait.Every(ctx, tick, c.step)
	return nil
}

// step decides for all models whose leases this node holds. Models wait for each other, because
// they share the places to load.
func (c *Controller) step(ctx context.Context) {
	current := c.opt.Board.CurrentConfig()
	if current == nil {
		return
	}
	for i := range current.Models {
		m := &current.Models[i]
		fencing, ok := c.maySend(m.Name)
		if !ok || m.WeightsVersion == "" {
			delete(c.models, m.Name)
			continue
		}
		t := c.models[m.Name]
		if t == nil || t.fencing != fencing {
			t = &tenure{fencing: fencing, states: map[string]engine.State{}}
			c.models[m.Name] = t
		}
		now := time.Now()
		if t.target == m.WeightsVersion && now.Before(t.next) {
			continue
		}
		t.target, t.next = m.WeightsVersion, now
		if !c.stepModel(ctx, current, m, t) {
			t.next = now.Add(restTick)
		}
	}
}

// maySend returns the fencing number if an order sent now arrives before the lease ends. Both
// clocks must agree: the monotonic clock stands still while a VM is suspended.
func (c *Controller) maySend(model string) (uint64, bool) {
	e, ok := c.opt.Board.Leases.Get(model)
	now := time.Now()
	held := ok && e.Value.Fencing != 0 && now.Before(e.Value.HeldUntil) && now.Round(0).Before(e.Value.HeldUntil.Round(0))
	return e.Value.Fencing, held
}

// stepModel takes one step of a model's rollout and reports whether it is active.
func (c *Controller) stepModel(ctx context.Context, current *config.Config, m *config.Model, t *tenure) (active bool) {
	engines := c.readBack(ctx, m.Name, t)
	if len(engines) == 0 {
		return false
	}
	hold := false
	for range stepsPerTick {
		state, version, ok := c.readState(ctx, t)
		if !ok {
			return true
		}
		in := c.input(current, m, t, engines, state)
		in.PauseLoads = hold
		d := rollout.Decide(in)
		if !hold && len(d.State.Loads) > len(state.Loads) && !c.mayFetch(ctx, m.Name, d.State) {
			// Everything but new loads goes on while the weight store is over its rate.
			hold = true
			continue
		}
		c.logBlocked(ctx, m.Name, t, d.Blocked)
		if !d.Changed {
			c.send(ctx, m.Name, t, d.Orders)
			return d.Active
		}
		if !c.store(ctx, t, d.State, version) {
			return true
		}
		c.logPhase(ctx, m.Name, t, d.State.Models[m.Name])
	}
	return true
}

func (c *Controller) input(current *config.Config, m *config.Model, t *tenure, engines []rollout.Engine, state rollout.State) rollout.Input {
	return rollout.Input{
		Model:        m.Name,
		FencingToken: t.fencing,
		State:        state,
		Engines:      engines,
		Settings: rollout.Settings{
			Target:             m.WeightsVersion,
			MaxConcurrentLoads: current.Rollout.MaxConcurrentLoads,
			Canaries:           current.Rollout.CanaryEngines,
			MinServing:         m.MinServing,
			MaxErrorShare:      current.Rollout.MaxErrorShare,
		},
		Requests: c.opt.Requests(m.Name, m.WeightsVersion),
		Now:      time.Now(),
	}
}

// readBack asks all engines what they have and returns those of the model. An engine that does
// not answer belongs to the model that it last had.
func (c *Controller) readBack(ctx context.Context, model string, t *tenure) []rollout.Engine {
	entries := c.opt.Board.Engines.Snapshot()
	answers := make(chan engineAnswer, len(entries))
	var readers sync.WaitGroup
	for id, e := range entries {
		if last, known := t.states[id]; known && last.Model != model || !known && e.Value.Known && e.Value.State.Model != model {
			continue
		}
		readers.Go(func() { answers <- c.readEngine(ctx, id, e.Value) })
	}
	readers.Wait()
	close(answers)
	var engines []rollout.Engine
	for a := range answers {
		if a.ok {
			t.states[a.id] = a.state
		}
		last, known := t.states[a.id]
		if known && last.Model == model {
			engines = append(engines, rollout.Engine{
				ID: a.id, Reachable: a.ok, Version: last.WeightsVersion, Loading: last.Loading, Leaving: a.leaving || last.Leaving,
			})
		}
	}
	return engines
}

type engineAnswer struct {
	id      string
	state   engine.State
	ok      bool
	leaving bool
}

func (c *Controller) readEngine(ctx context.Context, id string, e blackboard.EngineEntry) engineAnswer {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := c.opt.Engines(e.Address).State(callCtx)
	return engineAnswer{id: id, state: state, ok: err == nil, leaving: e.Leaving}
}

// readState returns the stored state. ok is false if it cannot be read or is older than what this
// node has seen.
func (c *Controller) readState(ctx context.Context, t *tenure) (state rollout.State, version uint64, ok bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := c.opt.Store.Get(callCtx, rollout.ObjectName)
	switch {
	case fault.Is(err, fault.NotFound):
		return rollout.State{}, 0, t.stored == 0
	case err != nil || o.Version < t.stored:
		return rollout.State{}, 0, false
	}
	state, err = rollout.Decode(o.Value)
	if err != nil {
		event.RolloutDamaged.Log(ctx, c.opt.Logger, slog.Any("error", err))
		return rollout.State{}, 0, false
	}
	t.stored = o.Version
	return state, o.Version, true
}

// store writes a state. After a conflict or a lost answer the next step reads what is stored.
func (c *Controller) store(ctx context.Context, t *tenure, s rollout.State, ifVersion uint64) bool {
	value, err := s.Encode()
	if err != nil {
		c.opt.Logger.Error("rollout state does not encode", slog.Any("error", err))
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := c.opt.Store.Put(callCtx, rollout.ObjectName, value, ifVersion)
	if err != nil {
		return false
	}
	t.stored = version
	return true
}

// mayFetch asks the weight store for the version that engines would load.
func (c *Controller) mayFetch(ctx context.Context, model string, s rollout.State) bool {
	if c.opt.Weights == nil {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version := s.Models[model].DesiredVersion()
	_, err := c.opt.Weights.Fetch(callCtx, model, version)
	if err != nil {
		event.WeightsUnavailable.Log(ctx, c.opt.Logger, slog.String("model", model), slog.String("version", version), slog.Any("error", err))
	}
	return err == nil
}

// send gives the orders. The lease is checked immediately before each one.
func (c *Controller) send(ctx context.Context, model string, t *tenure, orders []rollout.Order) {
	var senders sync.WaitGroup
	for _, o := range orders {
		e, ok := c.opt.Board.Engines.Get(o.Engine)
		if !ok {
			continue
		}
		client := c.opt.Engines(e.Value.Address)
		order := engine.Order{Model: model, WeightsVersion: o.Version, Adapters: t.states[o.Engine].Adapters}
		senders.Go(func() { c.sendOne(ctx, client, o.Engine, order, t.fencing) })
	}
	senders.Wait()
}

func (c *Controller) sendOne(ctx context.Context, client EngineClient, id string, o engine.Order, fencing uint64) {
	callCtx, cancel := context.WithTimeout(ctx, lease.MaxDeliveryDelay)
	defer cancel()
	held, ok := c.maySend(o.Model)
	if !ok || held != fencing {
		return
	}
	o.Fencing = fencing
	err := client.Order(callCtx, o)
	attrs := []slog.Attr{slog.String("engine", id), slog.String("version", o.WeightsVersion), slog.Uint64("fencing", fencing), slog.Any("error", err)}
	switch {
	case err == nil:
	case fault.Is(err, fault.EngineRefused):
		event.OrderRefused.Log(ctx, c.opt.Logger, attrs...)
	default:
		event.OrderFailed.Log(ctx, c.opt.Logger, attrs...)
	}
}

func (c *Controller) logBlocked(ctx context.Context, model string, t *tenure, blocked bool) {
	if blocked && !t.blocked {
		event.RolloutBlocked.Log(ctx, c.opt.Logger, slog.String("model", model))
	}
	t.blocked = blocked
}

func (c *Controller) logPhase(ctx context.Context, model string, t *tenure, m rollout.Model) {
	if m.Phase == t.phase {
		return
	}
	t.phase = m.Phase
	attrs := []slog.Attr{slog.String("model", model), slog.String("phase", string(m.Phase)), slog.String("target", m.Target), slog.String("previous", m.Previous)}
	switch m.Phase {
	case rollout.Canary:
		event.RolloutStarted.Log(ctx, c.opt.Logger, attrs...)
	case rollout.Complete:
		event.RolloutDone.Log(ctx, c.opt.Logger, attrs...)
	case rollout.RollingBack:
		event.RolloutStopped.Log(ctx, c.opt.Logger, attrs...)
	}
}
