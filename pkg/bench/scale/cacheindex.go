package scale

import (
	"context"
	"runtime"
	"time"

	"cassiawall.example/cassiawall/pkg/cacheindex"
	"cassiawall.example/cassiawall/pkg/engine"
)

func init() {
	Register(Role{
		Name:       "cache_index",
		SizeUnit:   "keys",
		TargetSize: 400_000,
		Sizes:      []int{50_000, 100_000, 200_000, 400_000},
		Measure:    measureCacheIndex,
	})
}

const (
	eventBatches = 100
	eventPairs   = 50
)

// measureCacheIndex measures the heap of an index and the time of an event. Half of the events
// store a key and half evict one, so the index keeps its size.
func measureCacheIndex(_ context.Context, keys int) (map[string]float64, error) {
	before := heap()
	x := cacheindex.New(cacheindex.Options{})
	snapshot := engine.CacheSnapshot{Incarnation: "1", Keys: make([]uint64, keys)}
	for i := range snapshot.Keys {
		snapshot.Keys[i] = uint64(i+1) * oddFactor
	}
	x.LoadSnapshot(time.Unix(0, 0), snapshot)
	snapshot.Keys = nil
	size := heap() - before
	seq := uint64(0)
	event := medianOf(func() float64 { return applyEvents(x, keys, &seq) })
	runtime.KeepAlive(x)
	return map[string]float64{"heap_mb": size / bytesPerMB, "event_us": event}, nil
}

// applyEvents returns the time of one event in µs.
func applyEvents(x *cacheindex.Index, keys int, seq *uint64) float64 {
	begin := time.Now()
	for range eventBatches {
		b := engine.EventBatch{Incarnation: "1"}
		for range eventPairs {
			oldest := *seq/2 + 1
			b.Events = append(b.Events,
				engine.CacheEvent{Seq: *seq + 1, Kind: engine.EventStored, Key: (uint64(keys) + oldest) * oddFactor},
				engine.CacheEvent{Seq: *seq + 2, Kind: engine.EventEvicted, Key: oldest * oddFactor})
			*seq += 2
		}
		b.Last = *seq
		x.Apply(time.Unix(1, 0), b)
	}
	return float64(time.Since(begin).Microseconds()) / (eventBatches * 2 * eventPairs)
}
