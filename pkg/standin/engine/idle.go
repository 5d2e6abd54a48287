package enginestandin

import "time"

// IdleTTFT returns the time to first token of a request on an otherwise idle engine that has to
// compute the given number of prompt tokens. It excludes network time. Zero fields of c mean the
// defaults.
func (c Config) IdleTTFT(computed int) time.Duration {
	c = c.withDefaults()
	b := &batch{config: &c, cache: newBlockCache(computed, func(cacheChangeKind, uint64) {})}
	s := &sequence{
		pieces:      []piece{{tokens: max(1, computed)}},
		completion:  newCompletion("", 0, 1),
		chunkTokens: 1,
		wake:        make(chan struct{}, 1),
	}
	b.waiting = waitingQueue{s}
	var total time.Duration
	for len(s.chunks) == 0 {
		work, duration := b.plan(time.Time{})
		b.apply(work, time.Time{}, nil)
		total += duration
	}
	return total
}

// ServiceTime returns the engine time that prefill and decode of the given tokens take in a full
// batch. The service time of the requests that arrive per second is the utilization of an engine.
func (c Config) ServiceTime(computed, decoded int) time.Duration {
	c = c.withDefaults()
	prefill := float64(computed) / c.PrefillTokensPerSecond * float64(time.Second)
	perToken := c.StepTime/time.Duration(c.MaxBatch) + c.DecodeTime
	return time.Duration(prefill) + time.Duration(decoded)*perToken
}
