// Package cacheindex keeps what the owner of an engine knows of the engine's cache. It does no
// I/O; its caller feeds it events, snapshots and the outcome of requests.
package cacheindex

import (
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
)

// Options bounds an index.
type Options struct {
	// MaxEntries bounds the number of keys. Default 1,000,000.
	MaxEntries int
	// RepairInterval is the shortest time between two snapshots. Default 1 s.
	RepairInterval time.Duration
	// RepairKeysPerSecond bounds the mean rate of keys read by snapshots. Default 2000.
	RepairKeysPerSecond float64
	// EventLag is the age that events may have. An eviction that arrives within this time of an
	// answer that proved the key is older than the answer and ignored. Default 500 ms.
	EventLag time.Duration
}

// Default values of Options.
const (
	DefaultMaxEntries          = 1_000_000
	DefaultRepairInterval      = time.Second
	DefaultRepairKeysPerSecond = 2000
	DefaultEventLag            = 500 * time.Millisecond
)

// Index is the index of one engine. It is not safe for concurrent use.
type Index struct {
	options     Options
	incarnation string
	entries     map[uint64]entry
	// epoch grows with every gap; entries of older epochs are doubtful.
	epoch    uint32
	doubtful bool
	loaded   bool
	seq      uint64
	pending  map[uint64]pendingPrefill
	// planned counts the waiting requests that will compute a key.
	planned    map[uint64]int
	lastRepair time.Time
}

// entry tells how a key was confirmed last.
type entry struct {
	epoch uint32
	// answered is the time of the last answer that proved the key, in Unix milliseconds; 0 for
	// none. Events and snapshots do not set it.
	answered int64
}

type pendingPrefill struct {
	owner   uint64
	readyAt time.Time
}

// Depth is what the index knows about a chain of keys.
type Depth struct {
	// Certain is the number of leading pieces that the engine holds.
	Certain int
	// Doubtful is at least Certain; pieces between may have been evicted without notice.
	Doubtful int
	// Pending is at least Doubtful; pieces between are being computed by another request.
	Pending int
	// Planned is at least Pending; pieces between will be computed by requests that wait.
	Planned int
	// PendingReady is when the pending pieces are expected to be cached.
	PendingReady time.Time
}

// Change tells what Apply or Load found.
type Change struct {
	// Gap is set when events are missing.
	Gap bool
	// Reincarnated is set when the engine has restarted and all entries were dropped.
	Reincarnated bool
}

// New returns an empty index that knows no incarnation.
func New(options Options) *Index {
	if options.MaxEntries <= 0 {
		options.MaxEntries = DefaultMaxEntries
	}
	if options.RepairInterval <= 0 {
		options.RepairInterval = DefaultRepairInterval
	}
	if options.RepairKeysPerSecond <= 0 {
		options.RepairKeysPerSecond = DefaultRepairKeysPerSecond
	}
	if options.EventLag <= 0 {
		options.EventLag = DefaultEventLag
	}
	x := &Index{options: options}
	x.clear("")
	return x
}

// Incarnation returns the incarnation that the entries belong to.
func (x *Index) Incarnation() string { return x.incarnation }

// Seq returns the sequence number of the last event that the index accounts for.
func (x *Index) Seq() uint64 { return x.seq }

// Len returns the number of keys.
func (x *Index) Len() int { return len(x.entries) }

// Doubtful reports whether events have been missed since the last snapshot.
func (x *Index) Doubtful() bool { return x.doubtful }

// Loaded reports whether a snapshot of this incarnation was loaded.
func (x *Index) Loaded() bool { return x.loaded }

// Reset drops all entries if the incarnation is new, and reports whether it was.
func (x *Index) Reset(incarnation string) bool {
	if incarnation == x.incarnation {
		return false
	}
	known := x.incarnation != ""
	x.clear(incarnation)
	return known
}

func (x *Index) clear(incarnation string) {
	x.incarnation = incarnation
	x.entries = map[uint64]entry{}
	x.pending = map[uint64]pendingPrefill{}
	x.planned = map[uint64]int{}
	x.epoch = 1
	x.seq = 0
	x.doubtful = false
	x.loaded = false
}

// Apply takes a batch of events. Events that a snapshot or an earlier batch already covers are
// ignored. A missing sequence number makes all older entries doubtful.
func (x *Index) Apply(now time.Time, batch engine.EventBatch) Change {
	change := Change{Reincarnated: x.Reset(batch.Incarnation)}
	for _, e := range batch.Events {
		if e.Seq <= x.seq {
			continue
		}
		if e.Seq > x.seq+1 {
			change.Gap = true
			x.markDoubtful()
		}
		x.seq = e.Seq
		x.applyOne(now, e)
	}
	return change
}

func (x *Index) applyOne(now time.Time, e engine.CacheEvent) {
	switch e.Kind {
	case engine.EventStored:
		x.put(e.Key, x.entries[e.Key].answered)
	case engine.EventEvicted:
		if now.Sub(time.UnixMilli(x.entries[e.Key].answered)) > x.options.EventLag {
			delete(x.entries, e.Key)
		}
	case engine.EventCleared:
		clear(x.entries)
	}
}

func (x *Index) markDoubtful() {
	x.doubtful = true
	x.epoch++
}

func (x *Index) put(key uint64, answered int64) {
	if _, ok := x.entries[key]; !ok && len(x.entries) >= x.options.MaxEntries {
		x.dropOne()
	}
	x.entries[key] = entry{epoch: x.epoch, answered: answered}
}

// dropOne removes some entry. A missing entry costs accuracy only.
func (x *Index) dropOne() {
	for k := range x.entries {
		delete(x.entries, k)
		return
	}
}

// Load replaces the entries by a snapshot. A snapshot older than the applied events of the same
// incarnation is ignored.
func (x *Index) Load(now time.Time, s engine.CacheSnapshot) Change {
	change := Change{Reincarnated: x.Reset(s.Incarnation)}
	x.lastRepair = now
	if x.loaded && s.Seq < x.seq {
		return change
	}
	x.entries = make(map[uint64]entry, len(s.Keys))
	x.epoch++
	for _, k := range s.Keys {
		x.put(k, 0)
	}
	x.seq = s.Seq
	x.doubtful = false
	x.loaded = true
	return change
}

// RepairDue reports whether a snapshot should be read now.
func (x *Index) RepairDue(now time.Time) bool {
	if !x.loaded {
		return true
	}
	if !x.doubtful {
		return false
	}
	cost := time.Duration(float64(len(x.entries)) / x.options.RepairKeysPerSecond * float64(time.Second))
	return now.Sub(x.lastRepair) >= max(x.options.RepairInterval, cost)
}

// RepairFailed delays the next snapshot after a failed read.
func (x *Index) RepairFailed(now time.Time) { x.lastRepair = now }

// Depth returns how much of the chain is cached.
func (x *Index) Depth(now time.Time, keys []uint64) Depth {
	var d Depth
	certain := true
	for i, k := range keys {
		known, ok := x.entries[k]
		if !ok {
			break
		}
		certain = certain && known.epoch == x.epoch
		d.Doubtful = i + 1
		if certain {
			d.Certain = i + 1
		}
	}
	d.Pending = d.Doubtful
	d.PendingReady = now
	for _, k := range keys[d.Doubtful:] {
		p, ok := x.pending[k]
		if !ok {
			break
		}
		d.Pending++
		if p.readyAt.After(d.PendingReady) {
			d.PendingReady = p.readyAt
		}
	}
	d.Planned = d.Pending
	for d.Planned < len(keys) && x.planned[keys[d.Planned]] > 0 {
		d.Planned++
	}
	return d
}

// Plan notes that a waiting request needs the keys. Each call needs one Unplan.
func (x *Index) Plan(keys []uint64) {
	for _, k := range keys {
		x.planned[k]++
	}
}

// Unplan ends Plan. It ignores keys that a reset has dropped.
func (x *Index) Unplan(keys []uint64) {
	for _, k := range keys {
		if x.planned[k] > 1 {
			x.planned[k]--
		} else {
			delete(x.planned, k)
		}
	}
}

// PrefillStarted notes that the request in a slot computes the keys that are neither cached nor
// pending yet, until about readyAt.
func (x *Index) PrefillStarted(slot uint64, keys []uint64, readyAt time.Time) {
	for _, k := range keys {
		if _, cached := x.entries[k]; cached {
			continue
		}
		if _, taken := x.pending[k]; taken {
			continue
		}
		x.pending[k] = pendingPrefill{owner: slot, readyAt: readyAt}
	}
}

// PrefillEnded ends the pending prefill of a slot. If done, the engine holds all keys now;
// this knowledge does not depend on events, which may be lost.
func (x *Index) PrefillEnded(now time.Time, slot uint64, keys []uint64, done bool) {
	for _, k := range keys {
		if p, ok := x.pending[k]; ok && p.owner == slot {
			delete(x.pending, k)
		}
		if done {
			x.put(k, now.UnixMilli())
		}
	}
}

// Missed corrects the index after an answer reused fewer pieces than the index held: the piece
// after the reused ones was evicted without notice.
func (x *Index) Missed(keys []uint64, reusedPieces int) {
	for _, k := range keys[min(reusedPieces, len(keys)):] {
		delete(x.entries, k)
	}
}
