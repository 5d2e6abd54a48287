package e2e

import (
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
