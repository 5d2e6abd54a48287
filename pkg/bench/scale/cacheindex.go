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
	// eventPairsPerBatch is the number of pairs of one stored and one evicted key.
	eventPairsPerBatch = 50
)

// measureCacheIndex measures the heap of an index with a number of keys and the time to apply an
// event. Half of the events store a key and half evict one, so that the size of the index stays the
// same.
func measureCacheIndex(_ context.Context, keys int) (map[string]float64, error) {
	heapBefore := liveHeapBytes()
	index := cacheindex.New(cacheindex.Options{})
	snapshot := engine.CacheSnapshot{Incarnation: "1", Keys: make([]uint64, keys)}
	for i := range snapshot.Keys {
		snapshot.Keys[i] = uint64(i+1) * hashMultiplier
	}
	index.LoadSnapshot(time.Unix(0, 0), snapshot)
	snapshot.Keys = nil
	heapBytes := liveHeapBytes() - heapBefore
	lastSeq := uint64(0)
	eventTime := medianOf(func() float64 { return timeEvent(index, keys, &lastSeq) })
	runtime.KeepAlive(index)
	return map[string]float64{"heap_mb": heapBytes / bytesPerMB, "event_us": eventTime}, nil
}

// timeEvent returns the mean time to apply an event, in µs. lastSeq is the sequence number of the
// last event applied, which it advances.
func timeEvent(index *cacheindex.Index, keys int, lastSeq *uint64) float64 {
	start := time.Now()
	for range eventBatches {
		batch := engine.EventBatch{Incarnation: "1"}
		for range eventPairsPerBatch {
			oldest := *lastSeq/2 + 1
			batch.Events = append(batch.Events,
				engine.CacheEvent{Seq: *lastSeq + 1, Kind: engine.EventStored, Key: (uint64(keys) + oldest) * hashMultiplier},
				engine.CacheEvent{Seq: *lastSeq + 2, Kind: engine.EventEvicted, Key: oldest * hashMultiplier})
			*lastSeq += 2
		}
		batch.Last = *lastSeq
		index.Apply(time.Unix(1, 0), batch)
	}
	return float64(time.Since(start).Microseconds()) / (eventBatches * 2 * eventPairsPerBatch)
}
