package admission

import "cassiawall.example/cassiawall/pkg/engine"

// limiter adapts the number of requests on the engine: it grows by one while the engine takes
// everything at once and requests wait here, and shrinks when the engine itself queues.
type limiter struct {
	max   int
	limit float64
}

// limitDecrease is applied when the engine queues requests that it cannot run.
const limitDecrease = 0.9

func newLimiter(maxBatch int) limiter { return limiter{max: maxBatch, limit: float64(maxBatch)} }

func (l *limiter) setMax(n int) {
	l.max = n
	l.limit = float64(n)
}

func (l *limiter) current() int { return max(1, int(l.limit)) }

// observe takes a load report and this queue's own counts. Requests in prefill may count as queued
// in the engine and say nothing about its capacity.
func (l *limiter) observe(load engine.Load, running, prefilling, waiting int) {
	switch {
	case load.Queued > prefilling+1 && load.Running < l.current():
		l.limit = max(1, float64(load.Running), l.limit*limitDecrease)
	case load.Queued == 0 && waiting > 0 && running >= l.current():
		l.limit = min(float64(l.max), l.limit+1)
	case waiting == 0 && load.Queued == 0:
		l.limit = min(float64(l.max), l.limit+0.5)
	}
}
