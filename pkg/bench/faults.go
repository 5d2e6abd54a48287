package bench

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiawall.example/cassiawall/pkg/fault"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

// Names of the faults that a bench can inject.
const (
	FaultEngineCrash   = "engine-crash"
	FaultEventGaps     = "event-gaps"
	FaultLoadLag       = "load-lag"
	FaultHerdRestart   = "herd-restart"
	FaultObjectsOutage = "objects-outage"
)

// FaultNames lists all faults, in the order of the documentation.
var FaultNames = []string{FaultEngineCrash, FaultEventGaps, FaultLoadLag, FaultHerdRestart, FaultObjectsOutage}

const (
	// lostEventShare is the share of cache events that engines drop under FaultEventGaps.
	lostEventShare = 1.0 / 3
	// loadLagMS is the age of the engines' load reports under FaultLoadLag, in milliseconds.
	loadLagMS = 2000
	// crashDowntime is how long a crashed engine does not respond.
	crashDowntime = 2 * time.Second
)

// faultAction starts or ends a fault at a trace time.
type faultAction struct {
	at  time.Duration
	run func(ctx context.Context, r *policyRun) error
}

// faultPlan holds the fault actions of a bench.
type faultPlan struct {
	actions []faultAction
	// lastPointFault is the trace time of the last momentary fault (a crash or restart), or 0 if
	// there is none.
	lastPointFault time.Duration
}

// newFaultPlan returns the plan for fault names. The first slice is the warm-up, which has no
// faults. Momentary faults are in the middle of a slice, so that they hit a running load. The error
// is of kind fault.BadRequest for an unknown name.
func newFaultPlan(names []string, all []traceSlice) (faultPlan, error) {
	var p faultPlan
	measured := all[1:]
	for _, name := range names {
		if err := p.add(name, measured); err != nil {
			return faultPlan{}, err
		}
	}
	return p, nil
}

func (p *faultPlan) add(name string, measured []traceSlice) error {
	first, last := measured[0], measured[len(measured)-1]
	switch name {
	case FaultEngineCrash:
		for i, s := range measured {
			p.addPointFault(s.middle(), crashEngine(i))
		}
	case FaultEventGaps:
		p.actions = append(p.actions, faultAction{at: first.from, run: changeEngineFaults(func(f *enginestandin.Faults) { f.LostEventShare = lostEventShare })})
	case FaultLoadLag:
		p.actions = append(p.actions, faultAction{at: first.from, run: changeEngineFaults(func(f *enginestandin.Faults) { f.LoadLagMS = loadLagMS })})
	case FaultHerdRestart:
		p.addPointFault(last.middle(), restartEverySecondNode)
	case FaultObjectsOutage:
		p.actions = append(p.actions, faultAction{at: first.middle(), run: setObjectsOutage(true)})
		p.actions = append(p.actions, faultAction{at: last.middle(), run: setObjectsOutage(false)})
	default:
		return fault.New(fault.BadRequest, "unknown fault %q; use one of %s", name, strings.Join(FaultNames, ", "))
	}
	return nil
}

// addPointFault adds a momentary fault.
func (p *faultPlan) addPointFault(at time.Duration, run func(context.Context, *policyRun) error) {
	p.actions = append(p.actions, faultAction{at: at, run: run})
	p.lastPointFault = max(p.lastPointFault, at)
}

// actionsIn returns the actions within a slice, ordered by time.
func (p *faultPlan) actionsIn(s traceSlice) []faultAction {
	var out []faultAction
	for _, a := range p.actions {
		if a.at >= s.from && a.at < s.to {
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(a, b faultAction) int { return int(a.at - b.at) })
	return out
}

// runFaultActions runs the actions of a slice at their times and records the last error in
// actionErr.
func (r *policyRun) runFaultActions(ctx context.Context, s traceSlice, start time.Time, actions []faultAction) {
	for _, a := range actions {
		if !sleepUntil(ctx, start.Add(a.at-s.from)) {
			return
		}
		if err := a.run(ctx, r); err != nil && ctx.Err() == nil {
			r.mu.Lock()
			r.actionErr = err
			r.mu.Unlock()
		}
	}
}

// crashEngine returns an action that crashes engine i, modulo the number of engines.
func crashEngine(i int) func(context.Context, *policyRun) error {
	return func(_ context.Context, r *policyRun) error {
		engines := r.fleet.Engines
		engines[i%len(engines)].CrashFor(crashDowntime)
		return nil
	}
}

// changeEngineFaults returns an action that changes the faults of all engines. Faults set by
// earlier actions stay in force.
func changeEngineFaults(change func(*enginestandin.Faults)) func(context.Context, *policyRun) error {
	return func(_ context.Context, r *policyRun) error {
		change(&r.engineFaults)
		for _, e := range r.fleet.Engines {
			e.SetFaults(r.engineFaults)
		}
		return nil
	}
}

// restartEverySecondNode restarts every second node at the same time without draining, as a crash
// does. It waits until all are ready.
func restartEverySecondNode(ctx context.Context, r *policyRun) error {
	var group errgroup.Group
	for i := 0; i < len(r.fleet.Nodes()); i += 2 {
		group.Go(func() error { return r.fleet.Restart(ctx, i) })
	}
	return group.Wait()
}

// setObjectsOutage returns an action that starts or ends an outage of the object API.
func setObjectsOutage(down bool) func(context.Context, *policyRun) error {
	return func(_ context.Context, r *policyRun) error {
		r.fleet.SetObjectsDown(down)
		return nil
	}
}
