package admission

import "cassiawall.example/cassiawall/pkg/engine"

// concurrencyLimiter adapts the number of requests on the engine: it grows by one while the engine takes
// everything at once and requests wait here, and shrinks when the engine itself queues.
type concurrencyLimiter struct {
	max   int
	limit float64
}

// limitDecreaseFactor is applied when the engine queues requests that it cannot run.
const limitDecreaseFactor = 0.9

func newConcurrencyLimiter(maxBatch int) concurrencyLimiter {
	return concurrencyLimiter{max: maxBatch, limit: float64(maxBatch)}
}

func (l *concurrencyLimiter) setMax(n int) {
	l.max = n
	l.limit = float64(n)
}

func (l *concurrencyLimiter) current() int { return max(1, int(l.limit)) }

// observe takes a load report and this queue's own counts. Requests in prefill may count as queued
// in the engine and say nothing about its capacity.
func (l *concurrencyLimiter) observe(load engine.Load, running, prefilling, waiting int) {
	switch {
	case load.Queued > prefilling+1 && load.Running < l.current():
		l.limit = max(1, float64(load.Running), l.limit*limitDecreaseFactor)
	case load.Queued == 0 && waiting > 0 && running >= l.current():
		l.limit = min(float64(l.max), l.limit+1)
	case waiting == 0 && load.Queued == 0:
		l.limit = min(float64(l.max), l.limit+0.5)
	}
}
