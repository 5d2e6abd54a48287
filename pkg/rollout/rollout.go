package rollout

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/lease"
)

// Engine is what the lease holder has read back from an engine of the model.
type Engine struct {
	ID string
	// Reachable is false if the engine did not answer; its other fields are then old.
	Reachable bool
	Version   string
	Loading   bool
	Leaving   bool
}

// serving reports whether the engine takes requests now.
func (e Engine) serving() bool { return e.Reachable && !e.Loading && !e.Leaving && e.Version != "" }

// Settings are the configured bounds of a model's rollout.
type Settings struct {
	// Target is the version that the configuration wants.
	Target string
	// MaxConcurrentLoads bounds the engines that load at once, over all models.
	MaxConcurrentLoads int
	// Canaries is the number of engines that load first.
	Canaries int
	// MinServing is the number of engines that always serve.
	MinServing int
	// MaxErrorShare is the share of engines that may fail to load, and of requests that may fail.
	MaxErrorShare float64
}

// Requests counts the requests that engines served with the target version.
type Requests struct {
	Total  int
	Failed int
}

// Input is what a decision rests on.
type Input struct {
	Model        string
	FencingToken uint64
	State        State
	Engines      []Engine
	Settings     Settings
	Requests     Requests
	// PauseLoads keeps further engines from loading, while the weight store is over its rate.
	PauseLoads bool
	Now        time.Time
}

// Order tells an engine to load a version.
type Order struct {
	Engine  string
	Version string
}

// Decision is what to do next.
type Decision struct {
	// State is to be stored if Changed is set. Orders hold only if it is unchanged: an engine
	// is never ordered to load before its place is stored.
	State   State
	Changed bool
	Orders  []Order
	// Blocked is set if an engine must load and only MinServing keeps it from doing so.
	Blocked bool
	// Active is set while there is anything left to do.
	Active bool
}

// Decide returns the next step of a model's rollout.
func Decide(in Input) Decision {
	d := &decider{in: in, next: in.State.clone()}
	d.model = d.next.Models[in.Model]
	if d.model.Target == "" && d.commonVersion() == "" {
		// Without an answer from any engine there is no version to roll back to.
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

type decider struct {
	in    Input
	next  State
	model Model
	// changed is set when the loads change; changes of model are compared at the end.
	changed bool
}

// startIfTargetChanged takes over the state for this holder and starts a rollout if the wanted version is new.
// A version that was rolled back stays the target until another one is wanted.
func (d *decider) startIfTargetChanged() {
	m := &d.model
	first := m.Target == ""
	m.FencingToken = d.in.FencingToken
	if m.Target == d.in.Settings.Target {
		return
	}
	previous := m.Previous
	switch {
	case first:
		previous = d.commonVersion()
	case m.Phase == Complete:
		previous = m.Target
	}
	*m = Model{FencingToken: d.in.FencingToken, Phase: Canary, Target: d.in.Settings.Target, Previous: previous}
	if first && d.allReachable() && d.converged() {
		m.Phase, m.Previous = Complete, m.Target
	}
}

// commonVersion is the version that most engines have, or "" if no engine answers.
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

// converged reports whether all engines that answer have the goal and no load is recorded. Without
// any answer nothing is converged.
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

// updateLoads gives back the places of engines that have loaded, failed or gone.
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

func (d *decider) updateLoad(l Load) (next Load, keep bool) {
	e, listed := d.engine(l.Engine)
	expired := d.in.Now.Sub(time.UnixMilli(l.StartedMS)) > LoadTimeout
	switch {
	case !listed:
		return l, false
	case l.Version != d.model.DesiredVersion():
		// The engine keeps its place and is ordered to the new goal.
		return l.withVersion(d.model.DesiredVersion(), d.in.Now), true
	case d.in.Now.UnixMilli() < l.HoldUntilMS:
		return l, true
	case e.Reachable && !e.Loading && e.Version == l.Version:
		d.model.Loaded++
		return l, false
	case !expired:
		return l, true
	case e.Reachable && e.Loading:
		// The place stays taken, because the engine still uses the weight store. Its time
		// starts over, so that orders are sent again.
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

// rollBackOnErrors stops a rollout with too many errors. A canary allows none.
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

// retargetLoads moves this model's places to the goal.
func (d *decider) retargetLoads() {
	for i := range d.next.Loads {
		l := &d.next.Loads[i]
		if l.Model == d.in.Model && l.Version != d.model.DesiredVersion() {
			*l = l.withVersion(d.model.DesiredVersion(), d.in.Now)
			d.changed = true
		}
	}
}

// advancePhase moves to the next phase.
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

// canaries is at least 1, because a rollout without a canary could take out every engine.
func (d *decider) canaries() int {
	return max(1, min(d.in.Settings.Canaries, len(d.in.Engines)))
}

// countServingDesired counts the engines that serve with the goal.
func (d *decider) countServingDesired() int {
	n := 0
	for _, e := range d.in.Engines {
		if e.serving() && e.Version == d.model.DesiredVersion() && d.next.loadIndex(e.ID) < 0 {
			n++
		}
	}
	return n
}

// startLoads records the engines that load next. blocked tells whether MinServing alone keeps
// this model from going on.
func (d *decider) startLoads() (blocked bool) {
	if d.in.PauseLoads {
		return false
	}
	room := d.in.Settings.MaxConcurrentLoads - len(d.next.Loads)
	own := 0
	for _, l := range d.next.Loads {
		if l.Model == d.in.Model {
			own++
		}
	}
	if d.model.Phase == Canary {
		room = min(room, d.canaries()-d.countServingDesired()-own)
	}
	serving := d.countServingWithoutSlot()
	for _, e := range d.loadCandidates() {
		if room <= 0 {
			return false
		}
		if e.serving() && serving <= d.in.Settings.MinServing {
			return own == 0
		}
		if e.serving() {
			serving--
		}
		d.next.Loads = append(d.next.Loads, Load{Model: d.in.Model, Engine: e.ID, Version: d.model.DesiredVersion(), StartedMS: d.in.Now.UnixMilli()})
		d.changed = true
		own++
		room--
	}
	return false
}

// countServingWithoutSlot counts the engines that serve and are not about to load.
func (d *decider) countServingWithoutSlot() int {
	n := 0
	for _, e := range d.in.Engines {
		if e.serving() && d.next.loadIndex(e.ID) < 0 {
			n++
		}
	}
	return n
}

// loadCandidates returns the engines that must load and have no place, those that serve nothing first.
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

// orders returns the orders for all stored places whose engines have not loaded yet. An order
// states the wanted condition, so a repeated one has no further effect. None is sent so late that
// it could arrive after its place was given back.
func (d *decider) orders() []Order {
	var orders []Order
	for _, l := range d.next.Loads {
		e, ok := d.engine(l.Engine)
		timely := d.in.Now.Sub(time.UnixMilli(l.StartedMS)) < LoadTimeout-lease.MaxDeliveryDelay
		if l.Model == d.in.Model && ok && timely && e.Reachable && (e.Version != l.Version || e.Loading) {
			orders = append(orders, Order{Engine: l.Engine, Version: l.Version})
		}
	}
	return orders
}
