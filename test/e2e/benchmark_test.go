package e2e

import (
	"context"
	"testing"
	"time"
)

// BenchmarkObjectAPIAtRest measures the rate of calls to the object API by 20 nodes without load, and the number
// of watches that are open at the end. An iteration takes one minute.
func BenchmarkObjectAPIAtRest(b *testing.B) {
	f := startFleet(b, 20, 6)
	time.Sleep(20 * time.Second)
	before, start := f.Platform.Objects.Counters().Calls(), time.Now()
	for b.Loop() {
		time.Sleep(time.Minute)
	}
	b.ReportMetric(float64(f.Platform.Objects.Counters().Waiting), "waiting-watches")
	b.ReportMetric(float64(f.Platform.Objects.Counters().Calls()-before)/time.Since(start).Seconds(), "calls/s")
}

// BenchmarkRollingRestart restarts 20 nodes one after another under load. It fails if a request is cut or
// refused. An iteration takes about one minute.
func BenchmarkRollingRestart(b *testing.B) {
	f := startFleet(b, 20, 6)
	for b.Loop() {
		load := startLoad(b.Context(), f, 16)
		for i := range f.Nodes() {
			ctx, cancel := context.WithTimeout(b.Context(), testTimeout)
			if err := f.RestartGracefully(ctx, i); err != nil {
				b.Fatal(err)
			}
			cancel()
		}
		load.stop(b)
		b.ReportMetric(float64(load.complete), "whole-answers")
		b.ReportMetric(float64(len(load.failed)), "cut-or-refused")
	}
}
