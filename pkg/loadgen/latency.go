package loadgen

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are quantiles of latencies, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

const (
	// maxRecordedLatency is the largest recorded latency. Longer latencies are recorded as this value.
	maxRecordedLatency = 5 * time.Minute
	// histogramDigits is the precision of recorded latencies in decimal digits.
	histogramDigits = 3
)

// NewHistogram returns a histogram of latencies in microseconds.
func NewHistogram() *hdr.Histogram {
	return hdr.New(1, maxRecordedLatency.Microseconds(), histogramDigits)
}

// Record adds a latency to a histogram that NewHistogram created.
func Record(h *hdr.Histogram, d time.Duration) {
	// The value is clamped to the histogram's range, so recording cannot fail.
	_ = h.RecordValue(min(max(d, time.Microsecond), maxRecordedLatency).Microseconds())
}

// QuantilesOf returns the quantiles, in milliseconds, of a histogram that NewHistogram created.
func QuantilesOf(h *hdr.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// Ratio returns part / whole, or 0 if whole is 0.
func Ratio[T int | int64 | float64](part, whole T) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
