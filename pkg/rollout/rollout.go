package rollout

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/lease"
)

// Engine is the state of an engine of the model, as last read by the lease holder.
type Engine struct {
	ID string
	// Reachable is false if the engine did not respond; its other fields are then out of date.
	Reachable bool
	// Version is the version of the weights that the engine serves, or "" if it has none.
	Version string
	Loading bool
	// Leaving is set if the engine or its VM is about to stop.
	Leaving bool
}

// serving reports whether the engine accepts requests now.
func (e Engine) serving() bool { return e.Reachable && !e.Loading && !e.Leaving && e.Version != "" }

// Settings are the configured limits of a model's rollout.
type Settings struct {
	// Target is the version in the configuration.
	Target string
	// MaxConcurrentLoads is the number of load slots: the largest number of engines of all models
	// that load at the same time.
	MaxConcurrentLoads int
	// Canaries is the number of engines that load first.
	Canaries int
	// MinServing is the number of the model's engines that a rollout must leave serving.
	MinServing int
	// MaxErrorShare is the share of the engines that may fail to load after the canary phase, and
	// the share of the requests that may fail, both from 0 to 1.
	MaxErrorShare float64
}

// Requests counts the requests that engines served with the target version.
type Requests struct {
	Total  int
	Failed int
}

// Input is the input of Decide.
type Input struct {
	Model        string
	FencingToken uint64
	State        State
	Engines      []Engine
	Settings     Settings
	Requests     Requests
	// PauseLoads keeps further engines from loading while the weight store exceeds its rate limit.
	PauseLoads bool
	Now        time.Time
}

// Order is the instruction to an engine to load a version.
type Order struct {
	Engine  string
	Version string
}

// Decision is the next step of a rollout.
type Decision struct {
	// State must be stored if Changed is set. Orders is empty then, so that no engine is ordered to
	// load before its load slot is stored.
	State   State
	Changed bool
	Orders  []Order
	// Blocked is set if only MinServing prevents the next load, and no engine of the model is loading
	// whose return would permit it.
	Blocked bool
	// Active is set until the rollout has ended and all reachable engines have the desired version.
	Active bool
}

// Decide returns the next step of a model's rollout.
func Decide(in Input) Decision {
	d := &decider{in: in, next: in.State.clone()}
	d.model = d.next.Models[in.Model]
	if d.model.Target == "" && d.commonVersion() == "" {
		// As long as no engine has responded, there is no version to roll back to.
		return Decision{State: in.State, Active: true}
	}
	d.startIfTargetChanged()
	d.updateLoads()
	d.rollBackOnErrors()
	d.advancePhase()
	blocked := d.startLoads()
	d.next.Models[in.Model] = d.model
	changed := d.changed || d.model != in.State.Models[in.Model]
	decision := Decision{State: d.next, Changed: changed, Blocked: blocked}
	if !changed {
		decision.Orders = d.orders()
	}
	decision.Active = changed || !d.converged() || d.model.Phase == Canary || d.model.Phase == Rolling || d.model.Phase == RollingBack
	return decision
}

// decider computes one decision.
type decider struct {
	in Input
	// next is the state to store, model the part of it for the model of the input.
	next  State
	model Model
	// changed is set when the loads change. A change of model is detected at the end.
	changed bool
}

// startIfTargetChanged writes this holder's fencing token to the state and starts a rollout if the target
// has changed. A version that was rolled back stays the target until another one is configured, so that
// its rollout is not started again.
func (d *decider) startIfTargetChanged() {
	m := &d.model
	firstRollout := m.Target == ""
	m.FencingToken = d.in.FencingToken
	if m.Target == d.in.Settings.Target {
		return
	}
	previous := m.Previous
	switch {
	case firstRollout:
		previous = d.commonVersion()
	case m.Phase == Complete:
		previous = m.Target
	}
	*m = Model{FencingToken: d.in.FencingToken, Phase: Canary, Target: d.in.Settings.Target, Previous: previous}
	if firstRollout && d.allReachable() && d.converged() {
		m.Phase, m.Previous = Complete, m.Target
	}
}

// commonVersion returns the version that most of the reachable engines have, or "" if none has any. Of
// versions with the same count it returns the first in string order.
func (d *decider) commonVersion() string {
	counts := map[string]int{}
	best := ""
	for _, e := range d.in.Engines {
		if !e.Reachable || e.Version == "" {
			continue
		}
		counts[e.Version]++
		if n := counts[e.Version]; best == "" || n > counts[best] || n == counts[best] && e.Version < best {
			best = e.Version
		}
	}
	return best
}

func (d *decider) allReachable() bool {
	return !slices.ContainsFunc(d.in.Engines, func(e Engine) bool { return !e.Reachable })
}

// converged reports whether all reachable engines have the desired version and the model uses no load
// slot. It returns false if no engine is reachable.
func (d *decider) converged() bool {
	if !slices.ContainsFunc(d.in.Engines, func(e Engine) bool { return e.Reachable }) {
		return false
	}
	for _, l := range d.next.Loads {
		if l.Model == d.in.Model {
			return false
		}
	}
	for _, e := range d.in.Engines {
		if e.Reachable && !e.Leaving && (e.Loading || e.Version != d.model.DesiredVersion()) {
			return false
		}
	}
	return true
}

func (d *decider) engine(id string) (Engine, bool) {
	i := slices.IndexFunc(d.in.Engines, func(e Engine) bool { return e.ID == id })
	if i < 0 {
		return Engine{}, false
	}
	return d.in.Engines[i], true
}

// updateLoads releases the load slots of engines that have loaded, have failed to load or are gone.
func (d *decider) updateLoads() {
	kept := d.next.Loads[:0]
	for _, l := range d.next.Loads {
		if l.Model != d.in.Model {
			kept = append(kept, l)
			continue
		}
		next, keep := d.updateLoad(l)
		d.changed = d.changed || !keep || next != l
		if keep {
			kept = append(kept, next)
		}
	}
	d.next.Loads = kept
}

// updateLoad returns the new state of a load slot. keep is false if the slot is released.
func (d *decider) updateLoad(l Load) (next Load, keep bool) {
	e, listed := d.engine(l.Engine)
	expired := d.in.Now.Sub(time.UnixMilli(l.StartedMS)) > LoadTimeout
	switch {
	case !listed:
		return l, false
	case l.Version != d.model.DesiredVersion():
		// The engine keeps its slot and is ordered to load the desired version instead.
		return l.withVersion(d.model.DesiredVersion(), d.in.Now), true
	case d.in.Now.UnixMilli() < l.HoldUntilMS:
		return l, true
	case e.Reachable && !e.Loading && e.Version == l.Version:
		d.model.Loaded++
		return l, false
	case !expired:
		return l, true
	case e.Reachable && e.Loading:
		// The slot stays in use, because the engine still reads from the weight store. LoadTimeout
		// starts again, so that orders are sent again.
		if !l.Slow {
			d.model.Errors++
		}
		l.Slow, l.StartedMS = true, d.in.Now.UnixMilli()
		return l, true
	default:
		d.model.Errors++
		return l, false
	}
}

// rollBackOnErrors starts the rollback if too many engines fail to load or too many requests fail. In the
// canary phase, one failed load is too many.
func (d *decider) rollBackOnErrors() {
	m := &d.model
	if m.Phase != Canary && m.Phase != Rolling {
		return
	}
	allowed := 0
	if m.Phase == Rolling {
		allowed = int(d.in.Settings.MaxErrorShare * float64(len(d.in.Engines)))
	}
	r := d.in.Requests
	failing := r.Total >= MinErrorSample && float64(r.Failed) > d.in.Settings.MaxErrorShare*float64(r.Total)
	if m.Errors <= allowed && !failing {
		return
	}
	m.Phase, m.Loaded, m.Errors, m.CanarySinceMS = RollingBack, 0, 0, 0
	d.retargetLoads()
}

// retargetLoads sets the version of this model's load slots to the desired version.
func (d *decider) retargetLoads() {
	for i := range d.next.Loads {
		l := &d.next.Loads[i]
		if l.Model == d.in.Model && l.Version != d.model.DesiredVersion() {
			*l = l.withVersion(d.model.DesiredVersion(), d.in.Now)
			d.changed = true
		}
	}
}

// advancePhase enters the next phase if the current one is complete.
func (d *decider) advancePhase() {
	m := &d.model
	switch {
	case m.Phase == Canary:
		d.advanceCanary()
	case m.Phase == Rolling && d.converged():
		m.Phase, m.Previous = Complete, m.Target
	case m.Phase == RollingBack && d.converged():
		m.Phase = RolledBack
	}
}

// advanceCanary ends the canary phase when enough canary engines have served for CanaryDuration without
// interruption.
func (d *decider) advanceCanary() {
	m := &d.model
	if d.countServingDesired() < d.canaries() {
		m.CanarySinceMS = 0
		return
	}
	if m.CanarySinceMS == 0 {
		m.CanarySinceMS = d.in.Now.UnixMilli()
	}
	if d.in.Now.Sub(time.UnixMilli(m.CanarySinceMS)) >= CanaryDuration {
		m.Phase = Rolling
	}
}

// canaries returns the number of canary engines. It is at least 1: without a canary, a bad version
// could take every engine out of service.
func (d *decider) canaries() int {
	return max(1, min(d.in.Settings.Canaries, len(d.in.Engines)))
}

// countServingDesired returns the number of engines that serve the desired version and use no load slot.
func (d *decider) countServingDesired() int {
	n := 0
	for _, e := range d.in.Engines {
		if e.serving() && e.Version == d.model.DesiredVersion() && d.next.loadIndex(e.ID) < 0 {
			n++
		}
	}
	return n
}

// startLoads assigns free load slots to the engines that load next. blocked is described at
// Decision.Blocked.
func (d *decider) startLoads() (blocked bool) {
	if d.in.PauseLoads {
		return false
	}
	freeSlots := d.in.Settings.MaxConcurrentLoads - len(d.next.Loads)
	ownLoads := 0
	for _, l := range d.next.Loads {
		if l.Model == d.in.Model {
			ownLoads++
		}
	}
	if d.model.Phase == Canary {
		freeSlots = min(freeSlots, d.canaries()-d.countServingDesired()-ownLoads)
	}
	serving := d.countServingWithoutSlot()
	for _, e := range d.loadCandidates() {
		if freeSlots <= 0 {
			return false
		}
		if e.serving() && serving <= d.in.Settings.MinServing {
			return ownLoads == 0
		}
		if e.serving() {
			serving--
		}
		d.next.Loads = append(d.next.Loads, Load{Model: d.in.Model, Engine: e.ID, Version: d.model.DesiredVersion(), StartedMS: d.in.Now.UnixMilli()})
		d.changed = true
		ownLoads++
		freeSlots--
	}
	return false
}

// countServingWithoutSlot returns the number of engines that serve and are not about to load.
func (d *decider) countServingWithoutSlot() int {
	n := 0
	for _, e := range d.in.Engines {
		if e.serving() && d.next.loadIndex(e.ID) < 0 {
			n++
		}
	}
	return n
}

// loadCandidates returns the engines that must load and have no load slot. Those that do not serve come
// first, because their loads do not reduce the number of serving engines.
func (d *decider) loadCandidates() []Engine {
	var found []Engine
	for _, e := range d.in.Engines {
		if e.Reachable && !e.Leaving && !e.Loading && e.Version != d.model.DesiredVersion() && d.next.loadIndex(e.ID) < 0 {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b Engine) int {
		if a.serving() != b.serving() {
			if b.serving() {
				return -1
			}
			return 1
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return found
}

// orders returns the orders for all stored load slots whose engines have not loaded yet. An order states
// the desired version, so that a repeated one has no further effect. No order is sent so late that it
// could arrive after its slot was released.
func (d *decider) orders() []Order {
	var orders []Order
	for _, l := range d.next.Loads {
		e, ok := d.engine(l.Engine)
		inTime := d.in.Now.Sub(time.UnixMilli(l.StartedMS)) < LoadTimeout-lease.MaxDeliveryDelay
		if l.Model == d.in.Model && ok && inTime && e.Reachable && (e.Version != l.Version || e.Loading) {
			orders = append(orders, Order{Engine: l.Engine, Version: l.Version})
		}
	}
	return orders
}
