// Package rollout moves the engines of each model whose lease this node holds to the configured
// weights version. It reads the state of the engines, lets pkg/rollout decide the next step and sends
// load orders to the engines.
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
	// decisionInterval is the time between decisions while a rollout is active.
	decisionInterval = time.Second
	// idleInterval is the time between reads of the engines' states while no rollout is active. It
	// bounds the delay until an engine that restarted with old weights is ordered to load the
	// desired version.
	idleInterval = 30 * time.Second
	// callTimeout bounds one call of the object API, of the weight store, or of an engine's state.
	callTimeout = 2 * time.Second
	// maxStepsPerModel is the number of decisions for a model in one interval. More than one lets
	// the orders that follow from a stored decision be sent at once.
	maxStepsPerModel = 3
)

// EngineClient reads the state of an engine and sends it orders.
type EngineClient interface {
	State(ctx context.Context) (engine.State, error)
	engine.OrderReceiver
}

// Options configures a Controller.
type Options struct {
	Board *blackboard.Board
	Store objects.Store
	// Engines returns the client for an address (host:port).
	Engines func(address string) EngineClient
	// Weights is the weight store. If nil, loads start without a check that the store can serve them.
	Weights weights.Store
	// Requests returns the total and failed requests that were served with a model's version.
	// Default: none.
	Requests func(model, version string) rollout.Requests
	Logger   *slog.Logger
}

// Controller runs rollouts. Run may be called again only after a panic has ended it.
type Controller struct {
	opt Options
	// terms holds the state of the models whose leases this node holds, by model name.
	terms map[string]*leaseTerm
}

// leaseTerm is the state for a model during the time in which this node holds its lease without
// interruption.
type leaseTerm struct {
	fencingToken uint64
	// stateVersion is the highest version of the stored state that was read or written.
	stateVersion uint64
	// engineStates holds the last state that each engine reported, by engine ID.
	engineStates   map[string]engine.State
	desiredVersion string
	nextStep       time.Time
	// phase and blocked are those of the last log events.
	phase   rollout.Phase
	blocked bool
}

// New returns a controller with defaults for unset options.
func New(opt Options) *Controller {
	if opt.Requests == nil {
		opt.Requests = func(string, string) rollout.Requests { return rollout.Requests{} }
	}
	return &Controller{opt: opt, terms: map[string]*leaseTerm{}}
}

// Run makes decisions and sends orders until ctx ends, which also cancels orders in flight. It returns
// nil.
func (c *Controller) Run(ctx context.Context) error {
	wait.Every(ctx, decisionInterval, c.step)
	return nil
}

// step handles all models whose leases this node holds. It handles them one after the other, because
// they share the limit of concurrent loads.
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

// heldFencingToken returns the fencing token of a model's lease, and whether an order that is sent
// now arrives before the lease ends. The lease must be valid by both the monotonic and the wall
// clock, because the monotonic clock stops while a VM is suspended.
func (c *Controller) heldFencingToken(model string) (uint64, bool) {
	entry, ok := c.opt.Board.Leases.Get(model)
	now := time.Now()
	held := ok && entry.Value.FencingToken != 0 && now.Before(entry.Value.HeldUntil) && now.Round(0).Before(entry.Value.HeldUntil.Round(0))
	return entry.Value.FencingToken, held
}

// stepModel advances a model's rollout and reports whether it is active.
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
		input.PauseLoads = pauseLoads
		decision := rollout.Decide(input)
		if !pauseLoads && len(decision.State.Loads) > len(state.Loads) && !c.weightsAvailable(ctx, model.Name, decision.State) {
			// While the weight store does not serve the version, for instance because its rate limit
			// is exceeded, only new loads are withheld.
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
		Model:        model.Name,
		FencingToken: term.fencingToken,
		State:        state,
		Engines:      engines,
		Settings: rollout.Settings{
			Target:             model.WeightsVersion,
			MaxConcurrentLoads: current.Rollout.MaxConcurrentLoads,
			Canaries:           current.Rollout.CanaryEngines,
			MinServing:         model.MinServing,
			MaxErrorShare:      current.Rollout.MaxErrorShare,
		},
		Requests: c.opt.Requests(model.Name, model.WeightsVersion),
		Now:      time.Now(),
	}
}

// readEngines reads the states of the engines and returns the engines of the model. An engine that
// does not respond is assigned to the model that it last reported.
func (c *Controller) readEngines(ctx context.Context, model string, term *leaseTerm) []rollout.Engine {
	entries := c.opt.Board.Engines.Snapshot()
	readings := make(chan engineReading, len(entries))
	var readers sync.WaitGroup
	for id, e := range entries {
		if last, known := term.engineStates[id]; known && last.Model != model || !known && e.Value.HasState && e.Value.State.Model != model {
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
				ID: reading.id, Reachable: reading.ok, Version: last.WeightsVersion, Loading: last.Loading, Leaving: reading.leaving || last.Leaving,
			})
		}
	}
	return engines
}

// engineReading is the result of reading an engine's state. ok is false if the engine did not respond.
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

// readState returns the stored state and its version. ok is false if it cannot be read or is older
// than the version that this node last read or wrote.
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

// storeState writes a state and reports whether it was stored. After a conflict or a lost response
// the next step reads the stored state again.
func (c *Controller) storeState(ctx context.Context, term *leaseTerm, state rollout.State, ifVersion uint64) bool {
	value, err := state.Encode()
	if err != nil {
		c.opt.Logger.Error("cannot encode the rollout state; it is not stored", slog.Any("error", err))
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

// weightsAvailable reports whether the weight store serves the version that engines would load.
func (c *Controller) weightsAvailable(ctx context.Context, model string, state rollout.State) bool {
	if c.opt.Weights == nil {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version := state.Models[model].DesiredVersion()
	_, err := c.opt.Weights.Fetch(callCtx, model, version)
	if err != nil {
		event.WeightsUnavailable.Log(ctx, c.opt.Logger, slog.String("model", model), slog.String("version", version), slog.Any("error", err))
	}
	return err == nil
}

// sendOrders sends the orders concurrently and waits for them.
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

// sendOrder sends one order, provided that this node still holds the lease with the same fencing
// token.
func (c *Controller) sendOrder(ctx context.Context, client EngineClient, id string, o engine.Order, fencingToken uint64) {
	callCtx, cancel := context.WithTimeout(ctx, lease.MaxDeliveryDelay)
	defer cancel()
	current, ok := c.heldFencingToken(o.Model)
	if !ok || current != fencingToken {
		return
	}
	o.FencingToken = fencingToken
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
