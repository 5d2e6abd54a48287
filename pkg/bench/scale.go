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
	// idleSettleTime lets a new fleet finish its start before it counts as idle.
	idleSettleTime      = 5 * time.Second
	idleMeasureDuration = 5 * time.Second
)

// measureIdleNode runs a fleet without load and measures the CPU and the heap of the whole
// process, so the slope is the cost of one node. It includes two stand-in engines a node and is
// an upper bound.
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

// liveHeap returns the bytes of live objects.
func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processCPU returns the CPU time of this process, or zero if the system does not tell.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// RunScale measures roles, or all if none is named. progress may be nil.
func RunScale(ctx context.Context, roles []string, progress io.Writer) ([]scale.Result, error) {
	if len(roles) == 0 {
		roles = scale.Roles()
	}
	var results []scale.Result
	for _, role := range roles {
		if progress != nil {
			_, _ = fmt.Fprintf(progress, "measuring %s\n", role)
		}
		result, err := scale.Measure(ctx, role, nil)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// WriteScaleTable writes slopes as a table for people.
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
