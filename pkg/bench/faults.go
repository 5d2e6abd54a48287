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
	// lostEvents is the share of cache events that event-gaps loses.
	lostEvents = 1.0 / 3
	// loadLagMS is the age of load reports under load-lag.
	loadLagMS = 2000
	// crashDown is how long a crashed engine stays away.
	crashDown = 2 * time.Second
)

// action is a fault at a point of trace time.
type action struct {
	at time.Duration
	do func(ctx context.Context, r *policyRun) error
}

// plan holds the faults of a bench.
type plan struct {
	actions []action
	// pointAt is the time of the last fault that happens at a point in time, or 0.
	pointAt time.Duration
}

// newPlan returns the actions for fault names. Faults at a point in time come in the middle of a
// slice, where they disturb a running load.
func newPlan(names []string, slices []slice) (plan, error) {
	var p plan
	measured := slices[1:]
	for _, name := range names {
		if err := p.add(name, measured); err != nil {
			return plan{}, err
		}
	}
	return p, nil
}

func (p *plan) add(name string, measured []slice) error {
	first, last := measured[0], measured[len(measured)-1]
	switch name {
	case FaultEngineCrash:
		for i, s := range measured {
			p.point(s.middle(), crashEngine(i))
		}
	case FaultEventGaps:
		p.actions = append(p.actions, action{at: first.from, do: setFaults(func(f *enginestandin.Faults) { f.LostEventShare = lostEvents })})
	case FaultLoadLag:
		p.actions = append(p.actions, action{at: first.from, do: setFaults(func(f *enginestandin.Faults) { f.LoadLagMS = loadLagMS })})
	case FaultHerdRestart:
		p.point(last.middle(), restartHalf)
	case FaultObjectsOutage:
		p.actions = append(p.actions, action{at: first.middle(), do: setObjectsOutage(true)})
		p.actions = append(p.actions, action{at: last.middle(), do: setObjectsOutage(false)})
	default:
		return fault.New(fault.BadRequest, "fault %q is unknown; use one of %s", name, strings.Join(FaultNames, ", "))
	}
	return nil
}

func (p *plan) point(at time.Duration, do func(context.Context, *policyRun) error) {
	p.actions = append(p.actions, action{at: at, do: do})
	p.pointAt = max(p.pointAt, at)
}

// in returns the actions of a slice in order of time.
func (p *plan) in(s slice) []action {
	var out []action
	for _, a := range p.actions {
		if a.at >= s.from && a.at < s.to {
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(a, b action) int { return int(a.at - b.at) })
	return out
}

// act runs the actions of a slice at their times.
func (r *policyRun) act(ctx context.Context, s slice, begin time.Time, actions []action) {
	for _, a := range actions {
		if !sleepUntil(ctx, begin.Add(a.at-s.from)) {
			return
		}
		if err := a.do(ctx, r); err != nil && ctx.Err() == nil {
			r.mu.Lock()
			r.actionErr = err
			r.mu.Unlock()
		}
	}
}

func crashEngine(i int) func(context.Context, *policyRun) error {
	return func(_ context.Context, r *policyRun) error {
		engines := r.fleet.Engines
		engines[i%len(engines)].CrashFor(crashDown)
		return nil
	}
}

// setFaults changes the faults of all engines; faults set before stay.
func setFaults(change func(*enginestandin.Faults)) func(context.Context, *policyRun) error {
	return func(_ context.Context, r *policyRun) error {
		change(&r.engineFaults)
		for _, e := range r.fleet.Engines {
			e.SetFaults(r.engineFaults)
		}
		return nil
	}
}

// restartHalf restarts every second node at once, as a crash does.
func restartHalf(ctx context.Context, r *policyRun) error {
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
