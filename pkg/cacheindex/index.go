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
	// MinRepairInterval is the shortest time between two snapshots. Default 1 s.
	MinRepairInterval time.Duration
	// RepairKeysPerSecond bounds the mean rate of keys read by snapshots. Default 2000.
	RepairKeysPerSecond float64
	// MaxEventDelay is the age that events may have. An eviction that arrives within this time of an
	// answer that proved the key is older than the answer and ignored. Default 500 ms.
	MaxEventDelay time.Duration
}

// Default values of Options.
const (
	DefaultMaxEntries          = 1_000_000
	DefaultMinRepairInterval   = time.Second
	DefaultRepairKeysPerSecond = 2000
	DefaultMaxEventDelay       = 500 * time.Millisecond
)

// Index is the index of one engine. It is not safe for concurrent use.
type Index struct {
	options     Options
	incarnation string
	entries     map[uint64]entry
	// epoch grows with every gap; entries of older epochs are doubtful.
	epoch   uint32
	suspect bool
	loaded  bool
	seq     uint64
	pending map[uint64]pendingPrefill
	// planned counts the waiting requests that will compute a key.
	planned    map[uint64]int
	lastRepair time.Time
}

// entry tells how a key was confirmed last.
type entry struct {
	epoch uint32
	// confirmedAt is the time of the last answer that proved the key, in Unix milliseconds; 0 for
	// none. Events and snapshots do not set it.
	confirmedAt int64
}

type pendingPrefill struct {
	slot    uint64
	readyAt time.Time
}

// Depth is what the index knows about a chain of keys.
type Depth struct {
	// Confirmed is the number of leading pieces that the engine holds.
	Confirmed int
	// Suspect is at least Certain; pieces between may have been evicted without notice.
	Suspect int
	// Pending is at least Doubtful; pieces between are being computed by another request.
	Pending int
	// Planned is at least Pending; pieces between will be computed by requests that wait.
	Planned int
	// PendingReady is when the pending pieces are expected to be cached.
	PendingReady time.Time
}

// UpdateResult tells what Apply or Load found.
type UpdateResult struct {
	// Gap is set when events are missing.
	Gap bool
	// Restarted is set when the engine has restarted and all entries were dropped.
	Restarted bool
}

// New returns an empty index that knows no incarnation.
func New(options Options) *Index {
	if options.MaxEntries <= 0 {
		options.MaxEntries = DefaultMaxEntries
	}
	if options.MinRepairInterval <= 0 {
		options.MinRepairInterval = DefaultMinRepairInterval
	}
	if options.RepairKeysPerSecond <= 0 {
		options.RepairKeysPerSecond = DefaultRepairKeysPerSecond
	}
	if options.MaxEventDelay <= 0 {
		options.MaxEventDelay = DefaultMaxEventDelay
	}
	ix := &Index{options: options}
	ix.clear("")
	return ix
}

// Incarnation returns the incarnation that the entries belong to.
func (ix *Index) Incarnation() string { return ix.incarnation }

// Seq returns the sequence number of the last event that the index accounts for.
func (ix *Index) Seq() uint64 { return ix.seq }

// Len returns the number of keys.
func (ix *Index) Len() int { return len(ix.entries) }

// Suspect reports whether events have been missed since the last snapshot.
func (ix *Index) Suspect() bool { return ix.suspect }

// Loaded reports whether a snapshot of this incarnation was loaded.
func (ix *Index) Loaded() bool { return ix.loaded }

// Reset drops all entries if the incarnation is new, and reports whether it was.
func (ix *Index) Reset(incarnation string) bool {
	if incarnation == ix.incarnation {
		return false
	}
	restarted := ix.incarnation != ""
	ix.clear(incarnation)
	return restarted
}

func (ix *Index) clear(incarnation string) {
	ix.incarnation = incarnation
	ix.entries = map[uint64]entry{}
	ix.pending = map[uint64]pendingPrefill{}
	ix.planned = map[uint64]int{}
	ix.epoch = 1
	ix.seq = 0
	ix.suspect = false
	ix.loaded = false
}

// Apply takes a batch of events. Events that a snapshot or an earlier batch already covers are
// ignored. A missing sequence number makes all older entries doubtful.
func (ix *Index) Apply(now time.Time, batch engine.EventBatch) UpdateResult {
	result := UpdateResult{Restarted: ix.Reset(batch.Incarnation)}
	for _, e := range batch.Events {
		if e.Seq <= ix.seq {
			continue
		}
		if e.Seq > ix.seq+1 {
			result.Gap = true
			ix.markSuspect()
		}
		ix.seq = e.Seq
		ix.applyEvent(now, e)
	}
	return result
}

func (ix *Index) applyEvent(now time.Time, e engine.CacheEvent) {
	switch e.Kind {
	case engine.EventStored:
		ix.put(e.Key, ix.entries[e.Key].confirmedAt)
	case engine.EventEvicted:
		if now.Sub(time.UnixMilli(ix.entries[e.Key].confirmedAt)) > ix.options.MaxEventDelay {
			delete(ix.entries, e.Key)
		}
	case engine.EventCleared:
		clear(ix.entries)
	}
}

func (ix *Index) markSuspect() {
	ix.suspect = true
	ix.epoch++
}

func (ix *Index) put(key uint64, confirmedAt int64) {
	if _, ok := ix.entries[key]; !ok && len(ix.entries) >= ix.options.MaxEntries {
		ix.dropArbitrary()
	}
	ix.entries[key] = entry{epoch: ix.epoch, confirmedAt: confirmedAt}
}

// dropArbitrary removes some entry. A missing entry costs accuracy only.
func (ix *Index) dropArbitrary() {
	for k := range ix.entries {
		delete(ix.entries, k)
		return
	}
}

// LoadSnapshot replaces the entries by a snapshot. A snapshot older than the applied events of the same
// incarnation is ignored.
func (ix *Index) LoadSnapshot(now time.Time, snapshot engine.CacheSnapshot) UpdateResult {
	result := UpdateResult{Restarted: ix.Reset(snapshot.Incarnation)}
	ix.lastRepair = now
	if ix.loaded && snapshot.Seq < ix.seq {
		return result
	}
	ix.entries = make(map[uint64]entry, len(snapshot.Keys))
	ix.epoch++
	for _, k := range snapshot.Keys {
		ix.put(k, 0)
	}
	ix.seq = snapshot.Seq
	ix.suspect = false
	ix.loaded = true
	return result
}

// RepairDue reports whether a snapshot should be read now.
func (ix *Index) RepairDue(now time.Time) bool {
	if !ix.loaded {
		return true
	}
	if !ix.suspect {
		return false
	}
	interval := time.Duration(float64(len(ix.entries)) / ix.options.RepairKeysPerSecond * float64(time.Second))
	return now.Sub(ix.lastRepair) >= max(ix.options.MinRepairInterval, interval)
}

// RepairFailed delays the next snapshot after a failed read.
func (ix *Index) RepairFailed(now time.Time) { ix.lastRepair = now }

// Depth returns how much of the chain is cached.
func (ix *Index) Depth(now time.Time, keys []uint64) Depth {
	var d Depth
	confirmed := true
	for i, k := range keys {
		cached, ok := ix.entries[k]
		if !ok {
			break
		}
		confirmed = confirmed && cached.epoch == ix.epoch
		d.Suspect = i + 1
		if confirmed {
			d.Confirmed = i + 1
		}
	}
	d.Pending = d.Suspect
	d.PendingReady = now
	for _, k := range keys[d.Suspect:] {
		p, ok := ix.pending[k]
		if !ok {
			break
		}
		d.Pending++
		if p.readyAt.After(d.PendingReady) {
			d.PendingReady = p.readyAt
		}
	}
	d.Planned = d.Pending
	for d.Planned < len(keys) && ix.planned[keys[d.Planned]] > 0 {
		d.Planned++
	}
	return d
}

// AddPlanned notes that a waiting request needs the keys. Each call needs one Unplan.
func (ix *Index) AddPlanned(keys []uint64) {
	for _, k := range keys {
		ix.planned[k]++
	}
}

// RemovePlanned ends Plan. It ignores keys that a reset has dropped.
func (ix *Index) RemovePlanned(keys []uint64) {
	for _, k := range keys {
		if ix.planned[k] > 1 {
			ix.planned[k]--
		} else {
			delete(ix.planned, k)
		}
	}
}

// PrefillStarted notes that the request in a slot computes the keys that are neither cached nor
// pending yet, until about readyAt.
func (ix *Index) PrefillStarted(slot uint64, keys []uint64, readyAt time.Time) {
	for _, k := range keys {
		if _, cached := ix.entries[k]; cached {
			continue
		}
		if _, pending := ix.pending[k]; pending {
			continue
		}
		ix.pending[k] = pendingPrefill{slot: slot, readyAt: readyAt}
	}
}

// PrefillEnded ends the pending prefill of a slot. If done, the engine holds all keys now;
// this knowledge does not depend on events, which may be lost.
func (ix *Index) PrefillEnded(now time.Time, slot uint64, keys []uint64, done bool) {
	for _, k := range keys {
		if p, ok := ix.pending[k]; ok && p.slot == slot {
			delete(ix.pending, k)
		}
		if done {
			ix.put(k, now.UnixMilli())
		}
	}
}

// RecordMiss corrects the index after an answer reused fewer pieces than the index held: the piece
// after the reused ones was evicted without notice.
func (ix *Index) RecordMiss(keys []uint64, reusedPieces int) {
	for _, k := range keys[min(reusedPieces, len(keys)):] {
		delete(ix.entries, k)
	}
}
