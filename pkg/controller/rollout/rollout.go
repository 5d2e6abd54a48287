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
	decisionInterval = time.Second
	// restTick is the time between readings of the engines while nothing is to do. It bounds how
	// long an engine that returned with old weights keeps them.
	idleInterval = 30 * time.Second
	// callTimeout bounds one call of the object API or the weight store, and one state reading.
	callTimeout = 2 * time.Second
	// stepsPerTick lets a decision that was stored be acted on at once.
	maxStepsPerModel = 3
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
	terms map[string]*leaseTerm
}

// tenure is the time in which this node holds a model's lease without a break.
type leaseTerm struct {
	fencingToken uint64
	// stored is the highest version of the state that was read or written.
	stateVersion   uint64
	engineStates   map[string]engine.State
	desiredVersion string
	nextStep       time.Time
	phase          rollout.Phase
	blocked        bool
}

// New returns a controller.
func New(opt Options) *Controller {
	if opt.Requests == nil {
		opt.Requests = func(string, string) rollout.Requests { return rollout.Requests{} }
	}
	return &Controller{opt: opt, terms: map[string]*leaseTerm{}}
}

// Run decides until ctx ends. Orders in progress end with it.
func (c *Controller) Run(ctx context.Context) error {
	wait.Every(ctx, decisionInterval, c.step)
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
		model := &current.Models[i]
		fencingToken, ok := c.heldFencingToken(model.Name)
		if !ok || model.WeightsVersion == "" {
			delete(c.terms, model.Name)
			continue
		}
		term := c.terms[model.Name]
		if term == nil || term.fencingToken != fencingToken {
			term = &leaseTerm{fencingToken: fencingToken, engineStates: map[string]engine.State{}}
			c.terms[model.Name] = term
		}
		now := time.Now()
		if term.desiredVersion == model.WeightsVersion && now.Before(term.nextStep) {
			continue
		}
		term.desiredVersion, term.nextStep = model.WeightsVersion, now
		if !c.stepModel(ctx, current, model, term) {
			term.nextStep = now.Add(idleInterval)
		}
	}
}

// maySend returns the fencing number if an order sent now arrives before the lease ends. Both
// clocks must agree: the monotonic clock stands still while a VM is suspended.
func (c *Controller) heldFencingToken(model string) (uint64, bool) {
	entry, ok := c.opt.Board.Leases.Get(model)
	now := time.Now()
	held := ok && entry.Value.Fencing != 0 && now.Before(entry.Value.HeldUntil) && now.Round(0).Before(entry.Value.HeldUntil.Round(0))
	return entry.Value.Fencing, held
}

// stepModel takes one step of a model's rollout and reports whether it is active.
func (c *Controller) stepModel(ctx context.Context, current *config.Config, model *config.Model, term *leaseTerm) (active bool) {
	engines := c.readEngines(ctx, model.Name, term)
	if len(engines) == 0 {
		return false
	}
	pauseLoads := false
	for range maxStepsPerModel {
		state, version, ok := c.readState(ctx, term)
		if !ok {
			return true
		}
		input := c.input(current, model, term, engines, state)
		input.Hold = pauseLoads
		decision := rollout.Decide(input)
		if !pauseLoads && len(decision.State.Loads) > len(state.Loads) && !c.weightsAvailable(ctx, model.Name, decision.State) {
			// Everything but new loads goes on while the weight store is over its rate.
			pauseLoads = true
			continue
		}
		c.logBlocked(ctx, model.Name, term, decision.Blocked)
		if !decision.Changed {
			c.sendOrders(ctx, model.Name, term, decision.Orders)
			return decision.Active
		}
		if !c.storeState(ctx, term, decision.State, version) {
			return true
		}
		c.logPhase(ctx, model.Name, term, decision.State.Models[model.Name])
	}
	return true
}

func (c *Controller) input(current *config.Config, model *config.Model, term *leaseTerm, engines []rollout.Engine, state rollout.State) rollout.Input {
	return rollout.Input{
		Model:   model.Name,
		Fencing: term.fencingToken,
		State:   state,
		Engines: engines,
		Settings: rollout.Settings{
			Target:        model.WeightsVersion,
			MaxLoads:      current.Rollout.MaxConcurrentLoads,
			Canaries:      current.Rollout.CanaryEngines,
			MinServing:    model.MinServing,
			MaxErrorShare: current.Rollout.MaxErrorShare,
		},
		Requests: c.opt.Requests(model.Name, model.WeightsVersion),
		Now:      time.Now(),
	}
}

// readBack asks all engines what they have and returns those of the model. An engine that does
// not answer belongs to the model that it last had.
func (c *Controller) readEngines(ctx context.Context, model string, term *leaseTerm) []rollout.Engine {
	entries := c.opt.Board.Engines.Snapshot()
	readings := make(chan engineReading, len(entries))
	var readers sync.WaitGroup
	for id, e := range entries {
		if last, known := term.engineStates[id]; known && last.Model != model || !known && e.Value.Known && e.Value.State.Model != model {
			continue
		}
		readers.Go(func() { readings <- c.readEngine(ctx, id, e.Value) })
	}
	readers.Wait()
	close(readings)
	var engines []rollout.Engine
	for reading := range readings {
		if reading.ok {
			term.engineStates[reading.id] = reading.state
		}
		last, known := term.engineStates[reading.id]
		if known && last.Model == model {
			engines = append(engines, rollout.Engine{
				ID: reading.id, Known: reading.ok, Version: last.WeightsVersion, Loading: last.Loading, Leaving: reading.leaving || last.Leaving,
			})
		}
	}
	return engines
}

type engineReading struct {
	id      string
	state   engine.State
	ok      bool
	leaving bool
}

func (c *Controller) readEngine(ctx context.Context, id string, e blackboard.EngineEntry) engineReading {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := c.opt.Engines(e.Address).State(callCtx)
	return engineReading{id: id, state: state, ok: err == nil, leaving: e.Leaving}
}

// readState returns the stored state. ok is false if it cannot be read or is older than what this
// node has seen.
func (c *Controller) readState(ctx context.Context, term *leaseTerm) (state rollout.State, version uint64, ok bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := c.opt.Store.Get(callCtx, rollout.ObjectName)
	switch {
	case fault.Is(err, fault.NotFound):
		return rollout.State{}, 0, term.stateVersion == 0
	case err != nil || o.Version < term.stateVersion:
		return rollout.State{}, 0, false
	}
	state, err = rollout.Decode(o.Value)
	if err != nil {
		event.RolloutDamaged.Log(ctx, c.opt.Logger, slog.Any("error", err))
		return rollout.State{}, 0, false
	}
	term.stateVersion = o.Version
	return state, o.Version, true
}

// store writes a state. After a conflict or a lost answer the next step reads what is stored.
func (c *Controller) storeState(ctx context.Context, term *leaseTerm, state rollout.State, ifVersion uint64) bool {
	value, err := state.Encode()
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
	term.stateVersion = version
	return true
}

// mayFetch asks the weight store for the version that engines would load.
func (c *Controller) weightsAvailable(ctx context.Context, model string, state rollout.State) bool {
	if c.opt.Weights == nil {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version := state.Models[model].Goal()
	_, err := c.opt.Weights.Fetch(callCtx, model, version)
	if err != nil {
		event.WeightsUnavailable.Log(ctx, c.opt.Logger, slog.String("model", model), slog.String("version", version), slog.Any("error", err))
	}
	return err == nil
}

// send gives the orders. The lease is checked immediately before each one.
func (c *Controller) sendOrders(ctx context.Context, model string, term *leaseTerm, orders []rollout.Order) {
	var senders sync.WaitGroup
	for _, o := range orders {
		e, ok := c.opt.Board.Engines.Get(o.Engine)
		if !ok {
			continue
		}
		client := c.opt.Engines(e.Value.Address)
		order := engine.Order{Model: model, WeightsVersion: o.Version, Adapters: term.engineStates[o.Engine].Adapters}
		senders.Go(func() { c.sendOrder(ctx, client, o.Engine, order, term.fencingToken) })
	}
	senders.Wait()
}

func (c *Controller) sendOrder(ctx context.Context, client EngineClient, id string, o engine.Order, fencingToken uint64) {
	callCtx, cancel := context.WithTimeout(ctx, lease.Flight)
	defer cancel()
	current, ok := c.heldFencingToken(o.Model)
	if !ok || current != fencingToken {
		return
	}
	o.Fencing = fencingToken
	err := client.Order(callCtx, o)
	attrs := []slog.Attr{slog.String("engine", id), slog.String("version", o.WeightsVersion), slog.Uint64("fencing", fencingToken), slog.Any("error", err)}
	switch {
	case err == nil:
	case fault.Is(err, fault.EngineRefused):
		event.OrderRefused.Log(ctx, c.opt.Logger, attrs...)
	default:
		event.OrderFailed.Log(ctx, c.opt.Logger, attrs...)
	}
}

func (c *Controller) logBlocked(ctx context.Context, model string, term *leaseTerm, blocked bool) {
	if blocked && !term.blocked {
		event.RolloutBlocked.Log(ctx, c.opt.Logger, slog.String("model", model))
	}
	term.blocked = blocked
}

func (c *Controller) logPhase(ctx context.Context, model string, term *leaseTerm, modelState rollout.Model) {
	if modelState.Phase == term.phase {
		return
	}
	term.phase = modelState.Phase
	attrs := []slog.Attr{slog.String("model", model), slog.String("phase", string(modelState.Phase)), slog.String("target", modelState.Target), slog.String("previous", modelState.Previous)}
	switch modelState.Phase {
	case rollout.Canary:
		event.RolloutStarted.Log(ctx, c.opt.Logger, attrs...)
	case rollout.Complete:
		event.RolloutDone.Log(ctx, c.opt.Logger, attrs...)
	case rollout.RollingBack:
		event.RolloutStopped.Log(ctx, c.opt.Logger, attrs...)
	}
}
