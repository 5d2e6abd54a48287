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

// Names of the faults that a bench can add.
const (
	FaultEngineCrash   = "engine-crash"
	FaultEventGaps     = "event-gaps"
	FaultLoadLag       = "load-lag"
	FaultHerdRestart   = "herd-restart"
	FaultObjectsOutage = "objects-outage"
)

// FaultNames lists the faults in the order of the documentation.
var FaultNames = []string{FaultEngineCrash, FaultEventGaps, FaultLoadLag, FaultHerdRestart, FaultObjectsOutage}

const (
	// lostEventShare is the share of cache events that event-gaps loses.
	lostEventShare = 1.0 / 3
	// loadLagMS is the age of load reports under load-lag.
	loadLagMS = 2000
	// crashDowntime is how long a crashed engine stays away.
	crashDowntime = 2 * time.Second
)

// faultAction is a fault at a point of trace time.
type faultAction struct {
	at  time.Duration
	run func(ctx context.Context, r *policyRun) error
}

// faultPlan holds the faults of a bench.
type faultPlan struct {
	actions []faultAction
	// lastPointFault is the time of the last fault that happens at a point in time, or 0.
	lastPointFault time.Duration
}

// newFaultPlan returns the actions for fault names. Faults at a point in time come in the middle of a
// slice, where they disturb a running load.
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
		p.actions = append(p.actions, faultAction{at: first.from, run: changeEngineFaults(func(f *enginestandin.Faults) { f.LostEvents = lostEventShare })})
	case FaultLoadLag:
		p.actions = append(p.actions, faultAction{at: first.from, run: changeEngineFaults(func(f *enginestandin.Faults) { f.LoadLagMS = loadLagMS })})
	case FaultHerdRestart:
		p.addPointFault(last.middle(), restartEverySecondNode)
	case FaultObjectsOutage:
		p.actions = append(p.actions, faultAction{at: first.middle(), run: setObjectsOutage(true)})
		p.actions = append(p.actions, faultAction{at: last.middle(), run: setObjectsOutage(false)})
	default:
		return fault.New(fault.BadRequest, "fault %q is unknown; use one of %s", name, strings.Join(FaultNames, ", "))
	}
	return nil
}

func (p *faultPlan) addPointFault(at time.Duration, run func(context.Context, *policyRun) error) {
	p.actions = append(p.actions, faultAction{at: at, run: run})
	p.lastPointFault = max(p.lastPointFault, at)
}

// actionsIn returns the actions of a slice in order of time.
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

// runFaultActions runs the actions of a slice at their times.
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

func crashEngine(i int) func(context.Context, *policyRun) error {
	return func(_ context.Context, r *policyRun) error {
		engines := r.fleet.Engines
		engines[i%len(engines)].CrashFor(crashDowntime)
		return nil
	}
}

// changeEngineFaults changes the faults of all engines; faults set before stay.
func changeEngineFaults(change func(*enginestandin.Faults)) func(context.Context, *policyRun) error {
	return func(_ context.Context, r *policyRun) error {
		change(&r.engineFaults)
		for _, e := range r.fleet.Engines {
			e.SetFaults(r.engineFaults)
		}
		return nil
	}
}

// restartEverySecondNode restarts every second node at once, as a crash does.
func restartEverySecondNode(ctx context.Context, r *policyRun) error {
	var group errgroup.Group
	for i := 0; i < len(r.fleet.Nodes()); i += 2 {
		group.Go(func() error { return r.fleet.Restart(ctx, i) })
	}
	return group.Wait()
}

func setObjectsOutage(down bool) func(context.Context, *policyRun) error {
	return func(_ context.Context, r *policyRun) error {
		r.fleet.SetObjectsDown(down)
		return nil
	}
}
