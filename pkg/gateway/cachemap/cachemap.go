// Package cachemap records which engine last processed each shared prefix, and which prefixes were saved to
// the KV cache store. Its entries are hints: a wrong one costs a fetch that finds nothing.
package cachemap

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key is a 32-bit hash of a shared prefix and its cache salt. Keys may collide: a collision costs a fetch that
// finds nothing, because engines compare the parts themselves.
type Key uint32

// KeyOf returns the key of the prefix that consists of parts, under a cache salt.
func KeyOf(salt string, parts ...string) Key {
	h := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = h.WriteString(salt)
	for _, p := range parts {
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(p)
	}
	return Key(h.Sum64())
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
	// savedTTL is the time for which the store is assumed to keep a prefix.
	savedTTL = 60 * time.Second
	// maxEntries bounds the map. Older entries are evicted.
	maxEntries = 8192
	// maxPending bounds the entries that wait to be sent to other nodes. Further ones are not sent.
	maxPending = 1024
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
	// epoch is the store's epoch at the time of saving.
	epoch int64
}

// Map holds the last known locations of prefixes. It is safe for concurrent use.
type Map struct {
	mu sync.Mutex
	// New entries go to recent. When it holds half of maxEntries, it replaces older, whose entries are
	// evicted.
	recent, older map[Key]location
	// pending are the entries that the next report sends to other nodes.
	pending []Entry
	// epoch identifies the store's generation since its last restart; 0 means that the store is down or its
	// epoch is not known.
	epoch int64
}

// New returns an empty map.
func New() *Map { return &Map{recent: map[Key]location{}, older: map[Key]location{}} }

// Record adds an entry of this node and queues it for the next report to other nodes.
func (m *Map) Record(e Entry, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.putLocked(e, now)
	if len(m.pending) < maxPending {
		m.pending = append(m.pending, e)
	}
}

// TakeUpdates returns the queued entries in encoded form and clears the queue. It returns nil if there are
// none.
func (m *Map) TakeUpdates() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending) == 0 {
		return nil
	}
	data := make([]byte, 0, len(m.pending)*entryBytes)
	for _, e := range m.pending {
		engine := e.Engine
		if e.Saved {
			engine |= savedBit
		}
		data = binary.BigEndian.AppendUint32(data, uint32(e.Key))
		data = binary.BigEndian.AppendUint32(data, engine)
	}
	m.pending = m.pending[:0]
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
		if relay && len(m.pending) < maxPending {
			m.pending = append(m.pending, e)
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
		loc.savedAt, loc.epoch = now, m.epoch
	}
	if len(m.recent) >= maxEntries/2 {
		m.older, m.recent = m.recent, make(map[Key]location, maxEntries/2)
	}
	m.recent[e.Key] = loc
}

// SetStoreEpoch sets the store's epoch, or 0 if the store is down, and returns the previous one.
func (m *Map) SetStoreEpoch(epoch int64) (previous int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, m.epoch = m.epoch, epoch
	return previous
}

// StoreEpoch returns the store's epoch, or 0 if the store is down or its epoch is not known.
func (m *Map) StoreEpoch() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

// StoreUp reports whether the store is assumed to be available.
func (m *Map) StoreUp() bool { return m.StoreEpoch() != 0 }

// PrefixState is the last known state of a prefix.
type PrefixState struct {
	// Engine is the EngineHash of the engine that last processed the prefix, or 0 if the prefix is not known.
	Engine uint32
	// Cached is set if the engine is assumed to have the prefix in memory.
	Cached bool
	// RecentlyProcessed is set if the engine processed the prefix so recently that it need not fetch it from
	// the store.
	RecentlyProcessed bool
	// Saved is set if the store is assumed to keep the prefix.
	Saved bool
}

// Lookup returns the state of a prefix. The zero value means that the prefix is not known.
func (m *Map) Lookup(key Key, now time.Time) PrefixState {
	m.mu.Lock()
	defer m.mu.Unlock()
	loc, ok := m.recent[key]
	if !ok {
		if loc, ok = m.older[key]; !ok {
			return PrefixState{}
		}
	}
	return PrefixState{
		Engine: loc.engine, Cached: now.Sub(loc.processedAt) < engineTTL, RecentlyProcessed: now.Sub(loc.processedAt) < recentlyProcessedTTL,
		Saved: !loc.savedAt.IsZero() && now.Sub(loc.savedAt) < savedTTL && m.epoch != 0 && loc.epoch == m.epoch,
	}
}
