package admission

import "cassiawall.example/cassiawall/pkg/engine"

// concurrencyLimiter adapts the number of requests on the engine, from 1 to max, by additive
// increase and multiplicative decrease. It raises the limit while the engine runs all its requests
// at once: by one if tickets wait in this queue, else by a half. It lowers the limit, at most to
// the number of running requests, when requests queue inside the engine.
type concurrencyLimiter struct {
	max   int
	limit float64
}

// limitDecreaseFactor is applied to the limit when requests queue inside the engine.
const limitDecreaseFactor = 0.9

func newConcurrencyLimiter(maxBatch int) concurrencyLimiter {
	return concurrencyLimiter{max: maxBatch, limit: float64(maxBatch)}
}

func (l *concurrencyLimiter) setMax(n int) {
	l.max = n
	l.limit = float64(n)
}

func (l *concurrencyLimiter) current() int { return max(1, int(l.limit)) }

// observe adapts the limit to a load report and to this queue's numbers of running requests,
// requests in prefill and waiting tickets. The engine may count requests in prefill as queued,
// which shows no lack of capacity; only more than prefilling + 1 queued requests lower the limit.
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
