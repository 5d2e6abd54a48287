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

// PolicyCassiawall names the system's own placement.
const PolicyCassiawall = "cassiawall"

// PolicyNames lists all policies.
var PolicyNames = []string{PolicyCassiawall, routing.PolicyRoundRobin, routing.PolicyLeastLoaded, routing.PolicyConsistentHash}

// Options describes a bench.
type Options struct {
	Profile  Profile
	Policies []string
	Seed     uint64
	// Duration is the measured time per policy.
	Duration time.Duration
	// Load scales the rate of arrivals; 1 is the profile's own rate.
	Load   float64
	Faults []string
	// Progress takes lines for a person to read.
	Progress io.Writer
	Logger   *slog.Logger
}

// Bounds of a bench. Shorter runs have too few requests for a 99th percentile.
const (
	minDuration = 4 * time.Second
	maxDuration = time.Hour
	maxLoad     = 10
	// measuredSlices is the number of parts in which policies take turns, so that changes of
	// the machine's own load reach all of them.
	measuredSlices = 4
	// warmUpShare is the length of the warm-up relative to the measured time.
	warmUpShare = 0.25
	// startTimeout bounds the start of a fleet.
	startTimeout = time.Minute
)

// traceSlice is a part of a trace that one policy runs without interruption.
type traceSlice struct {
	from, to time.Duration
	arrivals []arrival
}

func (s *traceSlice) middle() time.Duration { return (s.from + s.to) / 2 }

func (o *Options) validate() error {
	for _, p := range o.Policies {
		if !slices.Contains(PolicyNames, p) {
			return fault.New(fault.BadRequest, "policy %q is unknown; use one of %s", p, strings.Join(PolicyNames, ", "))
		}
	}
	switch {
	case len(o.Policies) == 0:
		return fault.New(fault.BadRequest, "no policy is given; use one of %s", strings.Join(PolicyNames, ", "))
	case o.Duration < minDuration || o.Duration > maxDuration:
		return fault.New(fault.BadRequest, "the duration %s is not between %s and %s", o.Duration, minDuration, maxDuration)
	case o.Load <= 0 || o.Load > maxLoad:
		return fault.New(fault.BadRequest, "the load factor %v is not above 0 and at most %d", o.Load, maxLoad)
	}
	return nil
}

// Run runs a bench. It takes about the duration and a quarter per policy.
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

// splitTrace returns the warm-up and the measured slices.
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

// startFleets starts one fleet per policy.
func (o *Options) startFleets(ctx context.Context, trace *requestTrace, measureFrom time.Duration) ([]*policyRun, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var runs []*policyRun
	for _, policy := range o.Policies {
		o.printProgress("starting %d nodes and %d engines for %s", o.Profile.Nodes, o.Profile.Engines, policy)
		ledger := enginestandin.NewLedger()
		fleet, err := startFleet(ctx, &o.Profile, policy, ledger, o.Logger)
		if err != nil {
			return runs, err
		}
		runs = append(runs, newPolicyRun(policy, trace, fleet, ledger, measureFrom))
	}
	return runs, nil
}

// runSlices lets the policies take turns. The order rotates with each slice, so that no policy
// always follows the same other one.
func (o *Options) runSlices(ctx context.Context, runs []*policyRun, traceSlices []traceSlice, faults *faultPlan) error {
	for i, s := range traceSlices {
		for j := range runs {
			r := runs[(i+j)%len(runs)]
			o.printProgress("part %d of %d: %s, %d requests in %s", i+1, len(traceSlices), r.policy, len(s.arrivals), s.to-s.from)
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
