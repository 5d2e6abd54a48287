package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/routing"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

// PolicyCassiawall is the name of cassiawall's own placement, as opposed to the baselines of
// package routing.
const PolicyCassiawall = "cassiawall"

// PolicyNames lists all policies, in the order of the tables and plots.
var PolicyNames = []string{PolicyCassiawall, routing.PolicyRoundRobin, routing.PolicyLeastLoaded, routing.PolicyConsistentHash}

// Options configures a bench.
type Options struct {
	Profile Profile
	// Policies are names of PolicyNames, at least one.
	Policies []string
	// Seed seeds the generator of arrivals. Equal seeds give equal arrivals.
	Seed uint64
	// Duration is the measured time per policy.
	Duration time.Duration
	// Load scales the arrival rate; 1 is the profile's own rate.
	Load float64
	// Faults are names of FaultNames.
	Faults []string
	// Progress receives human-readable progress lines. It may be nil.
	Progress io.Writer
	Logger   *slog.Logger
}

const (
	// minDuration bounds the measured time from below, because shorter runs have too few requests
	// for a 99th percentile.
	minDuration = 4 * time.Second
	maxDuration = time.Hour
	maxLoad     = 10
	// measuredSlices is the number of slices of the measured time. The policies run each slice
	// in turn, so that other load on the machine affects all of them.
	measuredSlices = 4
	// warmUpShare is the duration of the warm-up as a share of the measured time.
	warmUpShare = 0.25
	// startTimeout is the timeout for starting the fleets of a bench.
	startTimeout = time.Minute
)

// traceSlice is a time range of a trace that one policy runs without interruption.
type traceSlice struct {
	from, to time.Duration
	arrivals []arrival
}

func (s *traceSlice) middle() time.Duration { return (s.from + s.to) / 2 }

func (o *Options) validate() error {
	for _, p := range o.Policies {
		if !slices.Contains(PolicyNames, p) {
			return fault.New(fault.BadRequest, "unknown policy %q; use one of %s", p, strings.Join(PolicyNames, ", "))
		}
	}
	switch {
	case len(o.Policies) == 0:
		return fault.New(fault.BadRequest, "no policy given; use one or more of %s", strings.Join(PolicyNames, ", "))
	case o.Duration < minDuration || o.Duration > maxDuration:
		return fault.New(fault.BadRequest, "duration %s is out of range; use a value from %s to %s", o.Duration, minDuration, maxDuration)
	case o.Load <= 0 || o.Load > maxLoad:
		return fault.New(fault.BadRequest, "load factor %v is out of range; use a value above 0 and up to %d", o.Load, maxLoad)
	}
	return nil
}

// Run runs a bench. Per policy it takes about 1.25 times the measured duration, because of the
// warm-up. The error is of kind fault.BadRequest for invalid options. If a run or a fault action
// fails, Run returns the figures so far together with the error.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := o.validate(); err != nil {
		return Result{}, err
	}
	warmUp := time.Duration(float64(o.Duration) * warmUpShare)
	trace := newRequestTrace(&o.Profile, traceOptions{
		seed:     o.Seed,
		duration: warmUp + o.Duration,
		shiftAt:  warmUp + o.Duration/2,
		load:     o.Load,
	})
	traceSlices := splitTrace(trace, warmUp, o.Duration)
	faults, err := newFaultPlan(o.Faults, traceSlices)
	if err != nil {
		return Result{}, err
	}
	runs, err := o.startFleets(ctx, trace, warmUp)
	if err == nil {
		err = o.runSlices(ctx, runs, traceSlices, &faults)
	}
	result := Result{
		Profile:  o.Profile.Name,
		Seed:     o.Seed,
		Duration: o.Duration.String(),
		Load:     o.Load,
		Faults:   o.Faults,
		Policies: map[string]PolicyResult{},
		Limit:    computeLimit(trace, warmUp),
	}
	for _, r := range runs {
		result.Policies[r.policy] = r.result(faults.lastPointFault)
		err = errors.Join(err, r.actionErr, r.close())
	}
	return result, err
}

// splitTrace splits a trace into the warm-up, which comes first, and the measured slices.
func splitTrace(trace *requestTrace, warmUp, measured time.Duration) []traceSlice {
	traceSlices := []traceSlice{{to: warmUp}}
	for i := range measuredSlices {
		from := traceSlices[i].to
		traceSlices = append(traceSlices, traceSlice{from: from, to: from + measured/measuredSlices})
	}
	for i := range traceSlices {
		s := &traceSlices[i]
		first, _ := slices.BinarySearchFunc(trace.arrivals, s.from, compareAt)
		last, _ := slices.BinarySearchFunc(trace.arrivals, s.to, compareAt)
		s.arrivals = trace.arrivals[first:last]
	}
	return traceSlices
}

func compareAt(a arrival, at time.Duration) int { return int(a.at - at) }

// startFleets starts one fleet per policy. After an error it returns the runs whose fleets have
// started, which the caller closes.
func (o *Options) startFleets(ctx context.Context, trace *requestTrace, measureFrom time.Duration) ([]*policyRun, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var runs []*policyRun
	for _, policy := range o.Policies {
		o.printProgress("starting %d nodes and %d engines for policy %s", o.Profile.Nodes, o.Profile.Engines, policy)
		ledger := enginestandin.NewLedger()
		fleet, err := startFleet(ctx, &o.Profile, policy, ledger, o.Logger)
		if err != nil {
			return runs, err
		}
		runs = append(runs, newPolicyRun(policy, trace, fleet, ledger, measureFrom))
	}
	return runs, nil
}

// runSlices runs each slice with all policies, one after the other. The order of the policies
// rotates with each slice, so that side effects of one policy on the next one average out.
func (o *Options) runSlices(ctx context.Context, runs []*policyRun, traceSlices []traceSlice, faults *faultPlan) error {
	for i, s := range traceSlices {
		for j := range runs {
			r := runs[(i+j)%len(runs)]
			o.printProgress("slice %d of %d: policy %s, %d requests in %s", i+1, len(traceSlices), r.policy, len(s.arrivals), s.to-s.from)
			r.runSlice(ctx, s, faults.actionsIn(s))
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
	return nil
}

func (o *Options) printProgress(format string, args ...any) {
	if o.Progress != nil {
		_, _ = fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}
