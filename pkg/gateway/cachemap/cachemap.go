// Package cachemap records which engine last processed each shared prefix, and which prefixes were saved to
// a KV cache store. Its entries are hints: a wrong one costs a fetch that finds nothing.
package cachemap

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawall.example/cassiawall/pkg/compare"
)

// Key is a 32-bit hash of a shared prefix and its cache salt. Keys may collide: a collision costs a fetch that
// finds nothing, because engines compare the parts themselves. Its lowest bit is set for short prefixes, which are
// announced to other nodes after all others.
type Key uint32

// shortBit marks the key of a short prefix.
const shortBit Key = 1

// ShortKeyOf returns the key of a short prefix.
func ShortKeyOf(salt string, parts ...string) Key { return KeyOf(salt, parts...) | shortBit }

func (k Key) short() bool { return k&shortBit != 0 }

// KeyOf returns the key of the prefix that consists of parts, under a cache salt.
func KeyOf(salt string, parts ...string) Key {
	h := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = h.WriteString(salt)
	for _, p := range parts {
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(p)
	}
	return Key(h.Sum64()) &^ shortBit
}

// EngineHash returns the 31-bit hash of an engine's ID that an Entry holds. The top bit stays free for
// savedBit.
func EngineHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) &^ savedBit }

// Entry records that an engine has processed a prefix, and whether it was ordered to save it to the store.
type Entry struct {
	Key    Key
	Engine uint32
	Saved  bool
}

const (
	// engineTTL is the time for which an engine is assumed to have a prefix in memory. At the deployments'
	// request rates other prompts fill an engine's memory within 2 s, and updates from other nodes arrive with
	// a delay that uses up part of that.
	engineTTL = 1000 * time.Millisecond
	// recentlyProcessedTTL is the time for which an engine almost certainly still has a prefix in memory.
	recentlyProcessedTTL = 700 * time.Millisecond
	// sourceTTL is the time for which an engine is worth asking for a prefix that it has processed, if no better
	// source is known: a fetch that finds nothing costs about a millisecond, a prefill a hundred.
	sourceTTL = 5 * time.Second
	// savedTTL is the time for which the store is assumed to keep a prefix.
	savedTTL = 60 * time.Second
	// maxEntries bounds the map. Older entries are evicted.
	maxEntries = 8192
	// maxPending bounds the entries that wait to be sent to other nodes, and maxSent those in one message, to
	// 2 KB.
	maxPending = 4096
	maxSent    = 240
	// savedBit marks a saved prefix in an encoded entry.
	savedBit = 1 << 31
	// entryBytes is the size of an encoded entry.
	entryBytes = 8
)

// location is where a prefix was cached last.
type location struct {
	engine      uint32
	processedAt time.Time
	savedAt     time.Time
}

// storeState is what is known of a KV cache store.
type storeState struct {
	// epoch identifies the store's generation since its last restart; 0 means that the store is down.
	epoch int64
	// since is when the epoch replaced another. The store has no prefix that was saved before. It is zero for the
	// first known epoch.
	since time.Time
}

// StoreEpoch is the epoch of the KV cache store at an address. It is encoded as an array, so the order,
// number and types of its fields are the format.
type StoreEpoch struct {
	Address string
	Epoch   int64
}

// Map holds the last known locations of prefixes. It is safe for concurrent use.
type Map struct {
	mu sync.Mutex
	// New entries go to recent. When it holds half of maxEntries, it replaces older, whose entries are
	// evicted.
	recent, older map[Key]location
	// pending are the entries that wait to be sent to other nodes.
	pending map[Key]pendingEntry
	// stores are the KV cache stores by address.
	stores map[string]storeState
}

// New returns an empty map.
func New() *Map {
	return &Map{recent: map[Key]location{}, older: map[Key]location{}, stores: map[string]storeState{}, pending: map[Key]pendingEntry{}}
}

// Record adds an entry of this node and queues it for the next report to other nodes.
func (m *Map) Record(e Entry, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.putLocked(e, now)
	m.queueLocked(e)
}

// pendingEntry is the last entry of a prefix that waits to be sent, and the number of times that the prefix was
// processed.
type pendingEntry struct {
	Entry
	count int
}

func (m *Map) queueLocked(e Entry) {
	known, ok := m.pending[e.Key]
	if !ok && len(m.pending) >= maxPending {
		return
	}
	e.Saved = e.Saved || known.Saved
	m.pending[e.Key] = pendingEntry{Entry: e, count: known.count + 1}
}

// TakeUpdates returns the most important of the queued entries in encoded form and clears the queue: saved
// prefixes first, because a node that does not know of one has it saved again, then those that were processed
// most often, short ones last. It returns nil if there are none.
func (m *Map) TakeUpdates() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending) == 0 {
		return nil
	}
	entries := slices.Collect(maps.Values(m.pending))
	clear(m.pending)
	slices.SortFunc(entries, func(a, b pendingEntry) int {
		return cmp.Or(compare.Bool(b.Saved, a.Saved), compare.Bool(a.Key.short(), b.Key.short()), cmp.Compare(b.count, a.count), cmp.Compare(a.Key, b.Key))
	})
	entries = entries[:min(len(entries), maxSent)]
	data := make([]byte, 0, len(entries)*entryBytes)
	for _, e := range entries {
		engine := e.Engine
		if e.Saved {
			engine |= savedBit
		}
		data = binary.BigEndian.AppendUint32(data, uint32(e.Key))
		data = binary.BigEndian.AppendUint32(data, engine)
	}
	return data
}

// Merge adds encoded entries of other nodes. If relay is set, as on the leader, it also queues them for this
// node's next report.
func (m *Map) Merge(data []byte, relay bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(data) >= entryBytes {
		engine := binary.BigEndian.Uint32(data[4:])
		e := Entry{Key: Key(binary.BigEndian.Uint32(data)), Engine: engine &^ savedBit, Saved: engine&savedBit != 0}
		data = data[entryBytes:]
		m.putLocked(e, now)
		if relay {
			m.queueLocked(e)
		}
	}
}

func (m *Map) putLocked(e Entry, now time.Time) {
	loc, ok := m.recent[e.Key]
	if !ok {
		loc = m.older[e.Key]
	}
	loc.engine, loc.processedAt = e.Engine, now
	if e.Saved {
		loc.savedAt = now
	}
	if len(m.recent) >= maxEntries/2 {
		m.older, m.recent = m.recent, make(map[Key]location, maxEntries/2)
	}
	m.recent[e.Key] = loc
}

// SetStoreEpoch sets the epoch of the store at an address, or 0 if the store is down, and returns the previous
// one.
func (m *Map) SetStoreEpoch(address string, epoch int64, now time.Time) (previous int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.stores[address]
	switch {
	case !ok && epoch != 0:
		m.stores[address] = storeState{epoch: epoch}
	case !ok || epoch != known.epoch:
		m.stores[address] = storeState{epoch: epoch, since: now}
	}
	return known.epoch
}

// StoreEpochs returns the known stores in order of their addresses.
func (m *Map) StoreEpochs() []StoreEpoch {
	m.mu.Lock()
	defer m.mu.Unlock()
	epochs := make([]StoreEpoch, 0, len(m.stores))
	for address, s := range m.stores {
		epochs = append(epochs, StoreEpoch{Address: address, Epoch: s.epoch})
	}
	slices.SortFunc(epochs, func(a, b StoreEpoch) int { return cmp.Compare(a.Address, b.Address) })
	return epochs
}

// StoreUp reports whether the store at an address is assumed to be available. A store is, until the leader announces
// that it is not: after all nodes have restarted, there is no leader for seconds, and each shared prefix would be
// computed again although the store has it.
func (m *Map) StoreUp(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, known := m.stores[address]
	return !known || s.epoch != 0
}

// PrefixState is the last known state of a prefix.
type PrefixState struct {
	// Engine is the EngineHash of the engine that last processed the prefix, or 0 if the prefix is not known.
	Engine uint32
	// Cached is set if the engine is assumed to have the prefix in memory.
	Cached bool
	// MaybeCached is set if the engine may still have the prefix in memory.
	MaybeCached bool
	// RecentlyProcessed is set if the engine processed the prefix so recently that it need not fetch it from
	// the store.
	RecentlyProcessed bool
	// Saved is set if the store is assumed to keep the prefix.
	Saved bool
}

// Lookup returns the state of a prefix, which the store at an address keeps, or "" for none. The zero value means
// that the prefix is not known.
func (m *Map) Lookup(key Key, store string, now time.Time) PrefixState {
	m.mu.Lock()
	defer m.mu.Unlock()
	loc, ok := m.recent[key]
	if !ok {
		if loc, ok = m.older[key]; !ok {
			return PrefixState{}
		}
	}
	s, known := m.stores[store]
	kept := !known || s.epoch != 0 && !loc.savedAt.Before(s.since)
	age := now.Sub(loc.processedAt)
	return PrefixState{
		Engine: loc.engine, Cached: age < engineTTL, MaybeCached: age < sourceTTL, RecentlyProcessed: age < recentlyProcessedTTL,
		Saved: store != "" && kept && !loc.savedAt.IsZero() && now.Sub(loc.savedAt) < savedTTL,
	}
}
