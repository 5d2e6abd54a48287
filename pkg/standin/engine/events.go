package enginestandin

import (
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
)

// maxEvents is the maximum number of events in the log; a full log drops its older half. A reader
// that has not read the dropped events sees a gap in the sequence numbers.
const maxEvents = 1 << 16

// eventLog holds cache events. It makes them visible with a delay and in batches, as the platform
// does.
type eventLog struct {
	delay, interval time.Duration
	lastSeq         uint64
	entries         []logEntry
	// added is closed when an entry is added; nil if no reader waits.
	added chan struct{}
}

type logEntry struct {
	event     engine.CacheEvent
	visibleAt time.Time
}

var eventKinds = map[cacheChangeKind]engine.EventKind{
	stored:  engine.EventStored,
	evicted: engine.EventEvicted,
	cleared: engine.EventCleared,
}

func (l *eventLog) add(now time.Time, kind cacheChangeKind, key uint64, lost bool) {
	l.lastSeq++
	if lost {
		return
	}
	visibleAt := now.Add(l.delay + l.interval - 1).Truncate(l.interval)
	l.entries = append(l.entries, logEntry{
		event:     engine.CacheEvent{Seq: l.lastSeq, Kind: eventKinds[kind], Key: key},
		visibleAt: visibleAt,
	})
	if len(l.entries) > maxEvents {
		l.entries = append(l.entries[:0], l.entries[maxEvents/2:]...)
	}
	if l.added != nil {
		close(l.added)
		l.added = nil
	}
}

// read returns the visible events after a sequence number and the time at which the next event
// becomes visible, which is zero if there is none.
func (l *eventLog) read(now time.Time, after uint64) ([]engine.CacheEvent, time.Time) {
	var events []engine.CacheEvent
	for i := l.search(after); i < len(l.entries); i++ {
		if l.entries[i].visibleAt.After(now) {
			return events, l.entries[i].visibleAt
		}
		events = append(events, l.entries[i].event)
	}
	return events, time.Time{}
}

// search returns the index of the first entry after a sequence number.
func (l *eventLog) search(after uint64) int {
	low, high := 0, len(l.entries)
	for low < high {
		middle := (low + high) / 2
		if l.entries[middle].event.Seq <= after {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// waitForEntry returns a channel that is closed when an entry is added.
func (l *eventLog) waitForEntry() <-chan struct{} {
	if l.added == nil {
		l.added = make(chan struct{})
	}
	return l.added
}

const (
	// loadSampleInterval is the minimum time between two load samples of a busy engine.
	loadSampleInterval = 20 * time.Millisecond
	// maxLoadSamples covers a lag of at least 5 s and at most about 10 s on a busy engine,
	// because a full history drops its older half.
	maxLoadSamples = 512
)

// loadHistory keeps recent load samples, so that reports can show the load of an earlier time.
type loadHistory struct{ samples []engine.Load }

// record adds a sample of the load of b, at most one per loadSampleInterval. An idle batch is always
// recorded, because no step follows that would record it later.
func (h *loadHistory) record(now time.Time, b *batch, idle bool) {
	n := len(h.samples)
	if !idle && n > 0 && now.Sub(h.samples[n-1].ObservedAt) < loadSampleInterval {
		return
	}
	if n >= maxLoadSamples {
		h.samples = append(h.samples[:0], h.samples[maxLoadSamples/2:]...)
	}
	h.samples = append(h.samples, engine.Load{
		ObservedAt:    now,
		Running:       len(b.running),
		Queued:        len(b.waiting),
		BacklogTokens: b.backlogTokens(),
		UsedBlocks:    (b.cache.used + b.cache.reserved + b.config.BlockTokens - 1) / b.config.BlockTokens,
	})
}

// at returns the load at time t: the latest sample up to t, or an idle load if there is none.
func (h *loadHistory) at(t time.Time) engine.Load {
	load := engine.Load{}
	for _, s := range h.samples {
		if s.ObservedAt.After(t) {
			break
		}
		load = s
	}
	load.ObservedAt = t
	return load
}
