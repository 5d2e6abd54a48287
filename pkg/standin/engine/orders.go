package enginestandin

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
)

// drainPoll is the period at which a finished load checks for requests on the old weights.
const drainPoll = 5 * time.Millisecond

// order takes an order. A wanted condition that already holds or is being loaded has no effect.
func (e *Engine) order(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.config.IgnoreFencing && o.FencingToken < e.fencing {
		return fault.New(fault.EngineRefused, "fencing number %d is older than %d", o.FencingToken, e.fencing)
	}
	e.fencing = max(e.fencing, o.FencingToken)
	if o.Role != "" {
		e.role = o.Role
	}
	wanted := weights{model: o.Model, version: o.WeightsVersion, adapters: slices.Clone(o.Adapters)}
	slices.Sort(wanted.adapters)
	if wanted.model == "" {
		wanted.model = e.target.model
	}
	if wanted.version == "" {
		wanted.version = e.target.version
	}
	if wanted.equal(e.target) {
		return nil
	}
	e.target = wanted
	if !e.loading {
		e.loading = true
		incarnation := e.incarnation
		e.done.Go(func() { e.load(incarnation) })
	}
	return nil
}

func (w weights) equal(other weights) bool {
	return w.sameModel(other) && slices.Equal(w.adapters, other.adapters)
}

// sameModel reports whether cached blocks of w are valid for other.
func (w weights) sameModel(other weights) bool {
	return w.model == other.model && w.version == other.version
}

// load brings the engine to its target, which may change meanwhile. It ends early when the
// engine crashes or closes.
func (e *Engine) load(incarnation string) {
	for {
		wanted, current := e.loadTarget(incarnation)
		if !current {
			return
		}
		if e.loadOnce(wanted) && e.swap(incarnation, wanted) {
			return
		}
		if !e.sleep(drainPoll) {
			return
		}
	}
}

func (e *Engine) loadTarget(incarnation string) (weights, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.target, e.incarnation == incarnation && e.ctx.Err() == nil
}

// loadOnce fetches and loads weights. It returns false on failure.
func (e *Engine) loadOnce(wanted weights) bool {
	if e.config.FetchWeights != nil {
		if err := e.config.FetchWeights(e.ctx, wanted.model, wanted.version); err != nil {
			e.config.Logger.Warn("weights not fetched", "engine", e.config.ID, "error", err)
			return false
		}
	}
	d := e.config.Loader.begin()
	defer e.config.Loader.end()
	return e.sleep(d)
}

// swap puts loaded weights into service once no request uses the old ones. It returns false if
// the target has changed or the engine closes.
func (e *Engine) swap(incarnation string, loaded weights) bool {
	for {
		swapped, stale := e.trySwap(incarnation, loaded)
		if swapped {
			return true
		}
		if stale || !e.sleep(drainPoll) {
			return false
		}
	}
}

func (e *Engine) trySwap(incarnation string, loaded weights) (swapped, stale bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation || !loaded.equal(e.target) {
		return false, true
	}
	if loaded.sameModel(e.weights) {
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

// drainsForLoad reports whether new requests must wait for a load of other weights.
func (e *Engine) drainsForLoad() bool { return e.loading && !e.target.sameModel(e.weights) }

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
