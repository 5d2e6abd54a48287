package enginestandin

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
)

// drainPollInterval is the interval at which the engine checks whether requests on the old weights
// have ended and loaded weights can be activated. A failed load is retried after the same interval.
const drainPollInterval = 5 * time.Millisecond

// applyOrder sets the role and the desired weights of an order; empty fields leave them unchanged. It
// starts a load only if the order changes the desired weights and none is running. An order with an
// outdated fencing token is refused.
func (e *Engine) applyOrder(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.config.IgnoreFencing && order.FencingToken < e.fencingToken {
		return fault.New(fault.EngineRefused, "fencing number %d is older than %d", order.FencingToken, e.fencingToken)
	}
	e.fencingToken = max(e.fencingToken, order.FencingToken)
	if order.Role != "" {
		e.role = order.Role
	}
	desired := weights{model: order.Model, version: order.WeightsVersion, adapters: slices.Clone(order.Adapters)}
	slices.Sort(desired.adapters)
	if desired.model == "" {
		desired.model = e.desired.model
	}
	if desired.version == "" {
		desired.version = e.desired.version
	}
	if desired.equal(e.desired) {
		return nil
	}
	e.desired = desired
	if !e.loading {
		e.loading = true
		incarnation := e.incarnation
		e.done.Go(func() { e.load(incarnation) })
	}
	return nil
}

func (w weights) equal(other weights) bool {
	return w.sameModelVersion(other) && slices.Equal(w.adapters, other.adapters)
}

// sameModelVersion reports whether w and other have the same model and weights version, so that
// cached blocks stay valid.
func (w weights) sameModelVersion(other weights) bool {
	return w.model == other.model && w.version == other.version
}

// load loads and activates the desired weights, which may change meanwhile, and retries until it
// succeeds. It stops when the engine crashes or closes.
func (e *Engine) load(incarnation string) {
	for {
		desired, current := e.desiredWeights(incarnation)
		if !current {
			return
		}
		if e.loadOnce(desired) && e.activateWeights(incarnation, desired) {
			return
		}
		if !e.sleep(drainPollInterval) {
			return
		}
	}
}

func (e *Engine) desiredWeights(incarnation string) (weights, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.desired, e.incarnation == incarnation && e.ctx.Err() == nil
}

// loadOnce fetches and loads weights. It returns false if the fetch fails or the engine closes.
func (e *Engine) loadOnce(desired weights) bool {
	if e.config.FetchWeights != nil {
		if err := e.config.FetchWeights(e.ctx, desired.model, desired.version); err != nil {
			e.config.Logger.Warn("fetching weights failed; retrying", "engine", e.config.ID, "error", err)
			return false
		}
	}
	d := e.config.Loader.begin()
	defer e.config.Loader.end()
	return e.sleep(d)
}

// activateWeights activates loaded weights as soon as no request uses the old ones. It returns false if
// the desired weights have changed or the engine crashes or closes.
func (e *Engine) activateWeights(incarnation string, loaded weights) bool {
	for {
		activated, stale := e.tryActivateWeights(incarnation, loaded)
		if activated {
			return true
		}
		if stale || !e.sleep(drainPollInterval) {
			return false
		}
	}
}

func (e *Engine) tryActivateWeights(incarnation string, loaded weights) (activated, stale bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation || !loaded.equal(e.desired) {
		return false, true
	}
	if loaded.sameModelVersion(e.weights) {
		e.weights = loaded
		e.loading = false
		return true, false
	}
	if len(e.batch.running)+len(e.batch.waiting) > 0 {
		return false, false
	}
	e.weights = loaded
	e.batch.cache.clear()
	e.loading = false
	return true, false
}

// drainsForLoad reports whether the engine refuses new requests because it is loading another model
// or weights version.
func (e *Engine) drainsForLoad() bool { return e.loading && !e.desired.sameModelVersion(e.weights) }

// sleep waits for d and returns false if the engine closes first.
func (e *Engine) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.ctx.Done():
		return false
	}
}
