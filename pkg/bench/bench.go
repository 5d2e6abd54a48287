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

// slice is a part of a trace that one policy runs without interruption.
type slice struct {
	from, to time.Duration
	arrivals []arrival
}

func (s *slice) middle() time.Duration { return (s.from + s.to) / 2 }

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
	t := newTrace(&o.Profile, traceOptions{
		seed:     o.Seed,
		duration: warmUp + o.Duration,
		shiftAt:  warmUp + o.Duration/2,
		load:     o.Load,
	})
	parts := cutTrace(t, warmUp, o.Duration)
	faults, err := newPlan(o.Faults, parts)
	if err != nil {
		return Result{}, err
	}
	runs, err := o.start(ctx, t, warmUp)
	if err == nil {
		err = o.runSlices(ctx, runs, parts, &faults)
	}
	result := Result{
		Profile:  o.Profile.Name,
		Seed:     o.Seed,
		Duration: o.Duration.String(),
		Load:     o.Load,
		Faults:   o.Faults,
		Policies: map[string]PolicyResult{},
		Limit:    limitOf(t, warmUp),
	}
	for _, r := range runs {
		result.Policies[r.policy] = r.result(faults.pointAt)
		err = errors.Join(err, r.actionErr, r.close())
	}
	return result, err
}

// cutTrace returns the warm-up and the measured slices.
func cutTrace(t *trace, warmUp, measured time.Duration) []slice {
	parts := []slice{{to: warmUp}}
	for i := range measuredSlices {
		from := parts[i].to
		parts = append(parts, slice{from: from, to: from + measured/measuredSlices})
	}
	for i := range parts {
		s := &parts[i]
		first, _ := slices.BinarySearchFunc(t.arrivals, s.from, compareAt)
		last, _ := slices.BinarySearchFunc(t.arrivals, s.to, compareAt)
		s.arrivals = t.arrivals[first:last]
	}
	return parts
}

func compareAt(a arrival, at time.Duration) int { return int(a.at - at) }

// start starts one fleet per policy.
func (o *Options) start(ctx context.Context, t *trace, measureFrom time.Duration) ([]*policyRun, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var runs []*policyRun
	for _, policy := range o.Policies {
		o.progress("starting %d nodes and %d engines for %s", o.Profile.Nodes, o.Profile.Engines, policy)
		ledger := enginestandin.NewLedger()
		fleet, err := startFleet(ctx, &o.Profile, policy, ledger, o.Logger)
		if err != nil {
			return runs, err
		}
		runs = append(runs, newPolicyRun(policy, t, fleet, ledger, measureFrom))
	}
	return runs, nil
}

// runSlices lets the policies take turns. The order rotates with each slice, so that no policy
// always follows the same other one.
func (o *Options) runSlices(ctx context.Context, runs []*policyRun, parts []slice, faults *plan) error {
	for i, s := range parts {
		for j := range runs {
			r := runs[(i+j)%len(runs)]
			o.progress("part %d of %d: %s, %d requests in %s", i+1, len(parts), r.policy, len(s.arrivals), s.to-s.from)
			r.runSlice(ctx, s, faults.in(s))
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
	return nil
}

func (o *Options) progress(format string, args ...any) {
	if o.Progress != nil {
		_, _ = fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}
