package bench

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"runtime"
	"slices"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/pkg/bench/scale"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

func init() {
	scale.Register(scale.Role{
		Name:       "idle_node",
		SizeUnit:   "nodes",
		TargetSize: 400,
		Sizes:      []int{2, 4, 8, 12},
		Measure:    measureIdleNode,
	})
}

const (
	// idleSettleTime is the wait after the start of a fleet, so that its work at start-up is not
	// measured.
	idleSettleTime      = 5 * time.Second
	idleMeasureDuration = 5 * time.Second
)

// measureIdleNode runs a fleet without load and measures the CPU time and the heap of the whole
// process, so that the slope of the fit is the cost of one node. The slope is an upper bound,
// because it includes two stand-in engines per node.
func measureIdleNode(ctx context.Context, nodes int) (map[string]float64, error) {
	profile, err := ProfileByName("tuul")
	if err != nil {
		return nil, err
	}
	profile.Nodes, profile.Engines = nodes, 2*nodes
	heapBefore := liveHeap()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := startFleet(startCtx, &profile, PolicyCassiawall, enginestandin.NewLedger(), slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	sleepUntil(ctx, time.Now().Add(idleSettleTime))
	cpuBefore, start := processCPU(), time.Now()
	sleepUntil(ctx, start.Add(idleMeasureDuration))
	perSecond := (processCPU() - cpuBefore).Seconds() / time.Since(start).Seconds()
	heapBytes := liveHeap() - heapBefore
	if err := fleet.Close(); err != nil {
		return nil, err
	}
	return map[string]float64{"fleet_cpu_ms_per_s": 1000 * perSecond, "fleet_heap_mb": heapBytes / 1e6}, ctx.Err()
}

// liveHeap returns the heap size after a garbage collection, in bytes.
func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processCPU returns the CPU time of this process, or 0 if the system call fails.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// RunScale measures the named roles, or all roles if none is named. progress receives
// human-readable progress lines and may be nil. The error is of kind fault.BadRequest for an unknown
// role.
func RunScale(ctx context.Context, roles []string, progress io.Writer) ([]scale.Result, error) {
	if len(roles) == 0 {
		roles = scale.Roles()
	}
	var results []scale.Result
	for _, role := range roles {
		if progress != nil {
			_, _ = fmt.Fprintf(progress, "measuring role %s\n", role)
		}
		result, err := scale.Measure(ctx, role, nil)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// WriteScaleTable writes results as plain text, one line per measured value.
func WriteScaleTable(w io.Writer, results []scale.Result) error {
	for _, result := range results {
		for _, name := range slices.Sorted(maps.Keys(result.Fits)) {
			fit := result.Fits[name]
			if _, err := fmt.Fprintf(w, "%-12s %-32s %.4g at %d %s (±%.2g), slope %.3g (±%.2g), R² %.3f; measured",
				result.Role, name, fit.AtTarget, result.TargetSize, result.SizeUnit, fit.TargetError, fit.Slope, fit.SlopeError, fit.R2); err != nil {
				return err
			}
			for _, sample := range result.Samples {
				if _, err := fmt.Fprintf(w, " %d: %.4g", sample.Size, sample.Values[name]); err != nil {
					return err
				}
			}
			if _, err := fmt.Fprintln(w); err != nil {
				return err
			}
		}
	}
	return nil
}
