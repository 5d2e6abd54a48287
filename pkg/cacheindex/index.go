// Package cacheindex is the prefix cache index of one engine: it records which prompt prefixes the
// engine has cached, for the engine's owner, the one node that admits requests to the engine. It
// does no I/O; its caller passes cache events, snapshots and the outcomes of requests. A key is a
// prefix hash: the hash of a prompt up to the end of a piece. A piece is a run of tokens that is
// cached as a unit (a KV block elsewhere). An incarnation is one run of the engine's process; a
// restart begins a new one with an empty cache.
package cacheindex

import (
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
)

// Options configures an Index. Zero values mean the defaults.
type Options struct {
	// MaxEntries bounds the number of keys. Default 1,000,000.
	MaxEntries int
	// MinRepairInterval is the minimum time between two snapshots. Default 1 s.
	MinRepairInterval time.Duration
	// RepairKeysPerSecond bounds the mean rate of keys read by snapshots. Default 2000.
	RepairKeysPerSecond float64
	// MaxEventDelay is the maximum delay of an event. An eviction that arrives within this time
	// after a response confirmed the key is older than the response and is ignored. Default 500 ms.
	MaxEventDelay time.Duration
}

// Default values of Options.
const (
	DefaultMaxEntries          = 1_000_000
	DefaultMinRepairInterval   = time.Second
	DefaultRepairKeysPerSecond = 2000
	DefaultMaxEventDelay       = 500 * time.Millisecond
)

// Index is the prefix cache index of one engine. It is not safe for concurrent use.
type Index struct {
	options     Options
	incarnation string
	entries     map[uint64]entry
	// epoch increases with every gap in the events and every snapshot. Entries of older epochs are
	// suspect.
	epoch uint32
	// suspect is set when events were missed since the last snapshot.
	suspect bool
	loaded  bool
	seq     uint64
	// pending holds the keys that granted requests are computing.
	pending map[uint64]pendingPrefill
	// planned counts, per key, the waiting requests that need it.
	planned    map[uint64]int
	lastRepair time.Time
}

// entry is the last confirmation of a key.
type entry struct {
	epoch uint32
	// confirmedAt is the time of the last response that confirmed the key, in Unix milliseconds; 0
	// for none. Events and snapshots do not set it.
	confirmedAt int64
}

type pendingPrefill struct {
	slot    uint64
	readyAt time.Time
}

// Depth is the number of leading pieces of a prompt that are cached or will be, by certainty. Each
// number includes the one before it.
type Depth struct {
	// Confirmed is the number of leading pieces that the engine holds.
	Confirmed int
	// Suspect is at least Confirmed. The pieces between them are indexed, but their eviction may
	// have been missed.
	Suspect int
	// Pending is at least Suspect. The pieces between them are being computed by another request.
	Pending int
	// Planned is at least Pending. The pieces between them will be computed by waiting requests.
	Planned int
	// PendingReady is the time at which the pending pieces are expected to be cached. It is the
	// current time if there are none.
	PendingReady time.Time
}

// UpdateResult reports what Apply or LoadSnapshot detected.
type UpdateResult struct {
	// Gap is set when events are missing.
	Gap bool
	// Restarted is set when the engine has restarted, so that all entries were dropped.
	Restarted bool
}

// New returns an empty index without an incarnation.
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

// Seq returns the sequence number of the last event that the index includes.
func (ix *Index) Seq() uint64 { return ix.seq }

// Len returns the number of keys.
func (ix *Index) Len() int { return len(ix.entries) }

// Suspect reports whether events were missed since the last snapshot.
func (ix *Index) Suspect() bool { return ix.suspect }

// Loaded reports whether a snapshot of this incarnation was loaded.
func (ix *Index) Loaded() bool { return ix.loaded }

// Reset drops all entries if the incarnation differs from the current one. It reports whether the
// engine has restarted, which is false for the first incarnation.
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

// Apply applies a batch of events. Events that a snapshot or an earlier batch already includes are
// ignored. A gap in the sequence numbers makes all older entries suspect.
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

// dropArbitrary removes an arbitrary entry. A missing entry only makes the index less accurate: the
// engine reuses the piece although the index does not expect it.
func (ix *Index) dropArbitrary() {
	for k := range ix.entries {
		delete(ix.entries, k)
		return
	}
}

// LoadSnapshot replaces the entries with those of a snapshot. A snapshot older than the applied
// events of the same incarnation is ignored.
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

// RepairDue reports whether the caller should read a snapshot now: until one is loaded, or while
// the index is suspect and the repair limits allow it.
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

// Depth returns how many leading pieces of the prompt with these prefix hashes are cached, pending
// and planned.
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

// AddPlanned records that a waiting request needs the keys. Each call needs one call of
// RemovePlanned.
func (ix *Index) AddPlanned(keys []uint64) {
	for _, k := range keys {
		ix.planned[k]++
	}
}

// RemovePlanned reverts AddPlanned. It ignores keys that a reset has dropped.
func (ix *Index) RemovePlanned(keys []uint64) {
	for _, k := range keys {
		if ix.planned[k] > 1 {
			ix.planned[k]--
		} else {
			delete(ix.planned, k)
		}
	}
}

// PrefillStarted records that the request in a slot computes the keys that are neither cached nor
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

// PrefillEnded removes the pending prefill of a slot. If done is set, the engine now holds all
// keys; they are recorded here because the events for them may be lost.
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

// RecordMiss corrects the index after a response that reused fewer pieces than the index held. It
// removes the keys after the reused pieces, because an eviction was missed.
func (ix *Index) RecordMiss(keys []uint64, reusedPieces int) {
	for _, k := range keys[min(reusedPieces, len(keys)):] {
		delete(ix.entries, k)
	}
}
