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
	// settleTime lets a new fleet finish its start before it counts as idle.
	settleTime = 5 * time.Second
	idleTime   = 5 * time.Second
)

// measureIdleNode runs a fleet without load and measures the CPU and the heap of the whole
// process, so the slope is the cost of one node. It includes two stand-in engines a node and is
// an upper bound.
func measureIdleNode(ctx context.Context, nodes int) (map[string]float64, error) {
	p, err := ProfileByName("tuul")
	if err != nil {
		return nil, err
	}
	p.Nodes, p.Engines = nodes, 2*nodes
	before := liveHeap()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := startFleet(startCtx, &p, PolicyCassiawall, enginestandin.NewLedger(), slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	sleepUntil(ctx, time.Now().Add(settleTime))
	cpu, begin := processCPU(), time.Now()
	sleepUntil(ctx, begin.Add(idleTime))
	perSecond := (processCPU() - cpu).Seconds() / time.Since(begin).Seconds()
	size := liveHeap() - before
	if err := fleet.Close(); err != nil {
		return nil, err
	}
	return map[string]float64{"fleet_cpu_ms_per_s": 1000 * perSecond, "fleet_heap_mb": size / 1e6}, ctx.Err()
}

// liveHeap returns the bytes of live objects.
func liveHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processCPU returns the CPU time of this process, or zero if the system does not tell.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// RunScale measures roles, or all if none is named. progress may be nil.
func RunScale(ctx context.Context, roles []string, progress io.Writer) ([]scale.Slope, error) {
	if len(roles) == 0 {
		roles = scale.Roles()
	}
	var slopes []scale.Slope
	for _, role := range roles {
		if progress != nil {
			_, _ = fmt.Fprintf(progress, "measuring %s\n", role)
		}
		s, err := scale.Measure(ctx, role, nil)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// WriteScaleTable writes slopes as a table for people.
func WriteScaleTable(w io.Writer, slopes []scale.Slope) error {
	for _, s := range slopes {
		for _, name := range slices.Sorted(maps.Keys(s.Fits)) {
			f := s.Fits[name]
			if _, err := fmt.Fprintf(w, "%-12s %-32s %.4g at %d %s (±%.2g), slope %.3g (±%.2g), R² %.3f; measured",
				s.Role, name, f.AtTarget, s.TargetSize, s.SizeUnit, f.TargetError, f.Slope, f.SlopeError, f.R2); err != nil {
				return err
			}
			for _, sample := range s.Samples {
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
