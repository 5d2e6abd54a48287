package metrics

import (
	"math"
	"runtime/metrics"
)

// processGauges maps names of exported metrics to names of Go runtime metrics.
var processGauges = map[string]string{
	"process_goroutines":      "/sched/goroutines:goroutines",
	"process_heap_bytes":      "/memory/classes/heap/objects:bytes",
	"process_memory_bytes":    "/memory/classes/total:bytes",
	"process_gc_cycles":       "/gc/cycles/total:gc-cycles",
	"process_cpu_seconds":     "/cpu/classes/user:cpu-seconds",
	"process_gc_cpu_seconds":  "/cpu/classes/gc/total:cpu-seconds",
	"process_allocated_bytes": "/gc/heap/allocs:bytes",
}

// AddProcessGauges registers gauges of the process's goroutines, memory and CPU time, read from the Go
// runtime. The runtime updates CPU times at each garbage collection.
func (r *Registry) AddProcessGauges() {
	for name, source := range processGauges {
		r.GaugeFunc(name, func() float64 { return readRuntimeMetric(source) })
	}
}

// readRuntimeMetric returns the value of a Go runtime metric, or NaN if this release of Go lacks it.
func readRuntimeMetric(source string) float64 {
	sample := []metrics.Sample{{Name: source}}
	metrics.Read(sample)
	switch sample[0].Value.Kind() {
	case metrics.KindUint64:
		return float64(sample[0].Value.Uint64())
	case metrics.KindFloat64:
		return sample[0].Value.Float64()
	}
	return math.NaN()
}
