package rollout

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/lease"
)

// Engine is what the lease holder has read back from an engine of the model.
type Engine struct {
	ID string
	// Known is false if the engine did not answer; its other fields are then old.
	Known   bool
	Version string
	Loading bool
	Leaving bool
}

// serving reports whether the engine takes requests now.
func (e Engine) serving() bool { return e.Known && !e.Loading && !e.Leaving && e.Version != "" }

// Settings are the configured bounds of a model's rollout.
type Settings struct {
	// Target is the version that the configuration wants.
	Target string
	// MaxLoads bounds the engines that load at once, over all models.
	MaxLoads int
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
	Model    string
	Fencing  uint64
	State    State
	Engines  []Engine
	Settings Settings
	Requests Requests
	// Hold keeps further engines from loading, while the weight store is over its rate.
	Hold bool
	Now  time.Time
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
	d.begin()
	d.settleLoads()
	d.judge()
	d.advance()
	blocked := d.takePlaces()
	d.next.Models[in.Model] = d.model
	changed := d.changed || d.model != in.State.Models[in.Model]
	decision := Decision{State: d.next, Changed: changed, Blocked: blocked}
	if !changed {
		decision.Orders = d.orders()
	}
	decision.Active = changed || !d.settled() || d.model.Phase == Canary || d.model.Phase == Rolling || d.model.Phase == RollingBack
	return decision
}

type decider struct {
	in    Input
	next  State
	model Model
	// changed is set when the loads change; changes of model are compared at the end.
	changed bool
}

// begin takes over the state for this holder and starts a rollout if the wanted version is new.
// A version that was rolled back stays the target until another one is wanted.
func (d *decider) begin() {
	m := &d.model
	first := m.Target == ""
	m.Fencing = d.in.Fencing
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
	*m = Model{Fencing: d.in.Fencing, Phase: Canary, Target: d.in.Settings.Target, Previous: previous}
	if first && d.allKnown() && d.settled() {
		m.Phase, m.Previous = Complete, m.Target
	}
}

// commonVersion is the version that most engines have, or "" if no engine answers.
func (d *decider) commonVersion() string {
	counts := map[string]int{}
	best := ""
	for _, e := range d.in.Engines {
		if !e.Known || e.Version == "" {
			continue
		}
		counts[e.Version]++
		if n := counts[e.Version]; best == "" || n > counts[best] || n == counts[best] && e.Version < best {
			best = e.Version
		}
	}
	return best
}

func (d *decider) allKnown() bool {
	return !slices.ContainsFunc(d.in.Engines, func(e Engine) bool { return !e.Known })
}

// settled reports whether all engines that answer have the goal and no load is recorded. Without
// any answer nothing is settled.
func (d *decider) settled() bool {
	if !slices.ContainsFunc(d.in.Engines, func(e Engine) bool { return e.Known }) {
		return false
	}
	for _, l := range d.next.Loads {
		if l.Model == d.in.Model {
			return false
		}
	}
	for _, e := range d.in.Engines {
		if e.Known && !e.Leaving && (e.Loading || e.Version != d.model.Goal()) {
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

// settleLoads gives back the places of engines that have loaded, failed or gone.
func (d *decider) settleLoads() {
	kept := d.next.Loads[:0]
	for _, l := range d.next.Loads {
		if l.Model != d.in.Model {
			kept = append(kept, l)
			continue
		}
		next, keep := d.settleLoad(l)
		d.changed = d.changed || !keep || next != l
		if keep {
			kept = append(kept, next)
		}
	}
	d.next.Loads = kept
}

func (d *decider) settleLoad(l Load) (next Load, keep bool) {
	e, listed := d.engine(l.Engine)
	expired := d.in.Now.Sub(time.UnixMilli(l.SinceMS)) > LoadTimeout
	switch {
	case !listed:
		return l, false
	case l.Version != d.model.Goal():
		// The engine keeps its place and is ordered to the new goal.
		return l.retargeted(d.model.Goal(), d.in.Now), true
	case d.in.Now.UnixMilli() < l.HoldUntilMS:
		return l, true
	case e.Known && !e.Loading && e.Version == l.Version:
		d.model.Loaded++
		return l, false
	case !expired:
		return l, true
	case e.Known && e.Loading:
		// The place stays taken, because the engine still uses the weight store. Its time
		// starts over, so that orders are sent again.
		if !l.Slow {
			d.model.Errors++
		}
		l.Slow, l.SinceMS = true, d.in.Now.UnixMilli()
		return l, true
	default:
		d.model.Errors++
		return l, false
	}
}

// judge stops a rollout with too many errors. A canary allows none.
func (d *decider) judge() {
	m := &d.model
	if m.Phase != Canary && m.Phase != Rolling {
		return
	}
	allowed := 0
	if m.Phase == Rolling {
		allowed = int(d.in.Settings.MaxErrorShare * float64(len(d.in.Engines)))
	}
	r := d.in.Requests
	failing := r.Total >= MinRequests && float64(r.Failed) > d.in.Settings.MaxErrorShare*float64(r.Total)
	if m.Errors <= allowed && !failing {
		return
	}
	m.Phase, m.Loaded, m.Errors, m.CanarySinceMS = RollingBack, 0, 0, 0
	d.retarget()
}

// retarget moves this model's places to the goal.
func (d *decider) retarget() {
	for i := range d.next.Loads {
		l := &d.next.Loads[i]
		if l.Model == d.in.Model && l.Version != d.model.Goal() {
			*l = l.retargeted(d.model.Goal(), d.in.Now)
			d.changed = true
		}
	}
}

// advance moves to the next phase.
func (d *decider) advance() {
	m := &d.model
	switch {
	case m.Phase == Canary:
		d.advanceCanary()
	case m.Phase == Rolling && d.settled():
		m.Phase, m.Previous = Complete, m.Target
	case m.Phase == RollingBack && d.settled():
		m.Phase = RolledBack
	}
}

func (d *decider) advanceCanary() {
	m := &d.model
	if d.withGoal() < d.canaries() {
		m.CanarySinceMS = 0
		return
	}
	if m.CanarySinceMS == 0 {
		m.CanarySinceMS = d.in.Now.UnixMilli()
	}
	if d.in.Now.Sub(time.UnixMilli(m.CanarySinceMS)) >= CanaryHold {
		m.Phase = Rolling
	}
}

// canaries is at least 1, because a rollout without a canary could take out every engine.
func (d *decider) canaries() int {
	return max(1, min(d.in.Settings.Canaries, len(d.in.Engines)))
}

// withGoal counts the engines that serve with the goal.
func (d *decider) withGoal() int {
	n := 0
	for _, e := range d.in.Engines {
		if e.serving() && e.Version == d.model.Goal() && d.next.loadOf(e.ID) < 0 {
			n++
		}
	}
	return n
}

// takePlaces records the engines that load next. blocked tells whether MinServing alone keeps
// this model from going on.
func (d *decider) takePlaces() (blocked bool) {
	if d.in.Hold {
		return false
	}
	room := d.in.Settings.MaxLoads - len(d.next.Loads)
	own := 0
	for _, l := range d.next.Loads {
		if l.Model == d.in.Model {
			own++
		}
	}
	if d.model.Phase == Canary {
		room = min(room, d.canaries()-d.withGoal()-own)
	}
	serving := d.servingWithoutPlace()
	for _, e := range d.waiting() {
		if room <= 0 {
			return false
		}
		if e.serving() && serving <= d.in.Settings.MinServing {
			return own == 0
		}
		if e.serving() {
			serving--
		}
		d.next.Loads = append(d.next.Loads, Load{Model: d.in.Model, Engine: e.ID, Version: d.model.Goal(), SinceMS: d.in.Now.UnixMilli()})
		d.changed = true
		own++
		room--
	}
	return false
}

// servingWithoutPlace counts the engines that serve and are not about to load.
func (d *decider) servingWithoutPlace() int {
	n := 0
	for _, e := range d.in.Engines {
		if e.serving() && d.next.loadOf(e.ID) < 0 {
			n++
		}
	}
	return n
}

// waiting returns the engines that must load and have no place, those that serve nothing first.
func (d *decider) waiting() []Engine {
	var found []Engine
	for _, e := range d.in.Engines {
		if e.Known && !e.Leaving && !e.Loading && e.Version != d.model.Goal() && d.next.loadOf(e.ID) < 0 {
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
		timely := d.in.Now.Sub(time.UnixMilli(l.SinceMS)) < LoadTimeout-lease.Flight
		if l.Model == d.in.Model && ok && timely && e.Known && (e.Version != l.Version || e.Loading) {
			orders = append(orders, Order{Engine: l.Engine, Version: l.Version})
		}
	}
	return orders
}
