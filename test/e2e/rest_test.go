package e2e

import (
	"context"
	"testing"
	"time"
)

// BenchmarkObjectAPIAtRest measures the calls of the object API that 20 nodes make without load, and
// the watches that wait at the end. An iteration takes a minute.
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

// BenchmarkRollingRestart restarts 20 nodes one after the other under load. It fails if a request is
// cut or refused. An iteration takes about a minute.
func BenchmarkRollingRestart(b *testing.B) {
	f := startFleet(b, 20, 6)
	for b.Loop() {
		load := startCallers(b.Context(), f, 16)
		for i := range f.Nodes() {
			ctx, cancel := context.WithTimeout(b.Context(), giveUp)
			if err := f.RestartGracefully(ctx, i); err != nil {
				b.Fatal(err)
			}
			cancel()
		}
		load.stop(b)
		b.ReportMetric(float64(load.whole), "whole-answers")
		b.ReportMetric(float64(len(load.faulty)), "cut-or-refused")
	}
}
