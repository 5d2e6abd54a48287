// Package cachemap remembers which engine read which shared prefix last, and which prefixes were sent
// to the store of kept KV cache. It is soft state: a wrong entry costs a fetch that finds nothing.
package cachemap

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a shared prefix within a namespace of kept cache. Keys may collide: a collision
// costs a fetch that finds nothing, because engines compare the parts themselves.
type Key uint32

// KeyOf returns the key of the prefix that consists of parts.
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

// EngineHash is the short form of an engine's ID in an Entry.
func EngineHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) &^ savedBit }

// Entry says that an engine has read a prefix, and whether it was told to save it to the store.
type Entry struct {
	Key    Key
	Engine uint32
	Saved  bool
}

const (
	// engineTTL is the time for which an engine is believed to keep a prefix. At the deployments'
	// rates, an engine's memory is filled by other prompts within 2 s, and late news takes part of that.
	engineTTL = 1000 * time.Millisecond
	// recentReadTTL is the time for which an engine keeps a prefix almost surely.
	recentReadTTL = 700 * time.Millisecond
	// savedTTL is the time for which the store is believed to keep a prefix.
	savedTTL = 60 * time.Second
	// maxEntries bounds the map. Older entries make room.
	maxEntries = 8192
	// maxPending bounds the entries of one report.
	maxPending = 1024
	// savedBit marks a saved prefix in an encoded entry.
	savedBit = 1 << 31
	// entryBytes is the size of an encoded entry.
	entryBytes = 8
)

type location struct {
	engine  uint32
	readAt  time.Time
	savedAt time.Time
	// epoch is that of the store at the time of saving.
	epoch int64
}

// Map is safe for concurrent use.
type Map struct {
	mu sync.Mutex
	// recent holds entries of the present half of the map's life, older those of the half before.
	recent, older map[Key]location
	pending       []Entry
	// epoch names the store's present run; 0 means that the store is down or not known.
	epoch int64
}

// New returns an empty map.
func New() *Map { return &Map{recent: map[Key]location{}, older: map[Key]location{}} }

// Record takes over an entry of this node, which the next report tells to others.
func (m *Map) Record(e Entry, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.putLocked(e, now)
	if len(m.pending) < maxPending {
		m.pending = append(m.pending, e)
	}
}

// TakeUpdates returns and forgets the entries that were noted since the last call, in encoded form.
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

// Merge takes over encoded entries of other nodes. A holder of the lease passes them on.
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
	p, ok := m.recent[e.Key]
	if !ok {
		p = m.older[e.Key]
	}
	p.engine, p.readAt = e.Engine, now
	if e.Saved {
		p.savedAt, p.epoch = now, m.epoch
	}
	if len(m.recent) >= maxEntries/2 {
		m.older, m.recent = m.recent, make(map[Key]location, maxEntries/2)
	}
	m.recent[e.Key] = p
}

// SetStoreEpoch notes the store's present run, 0 if it is down, and returns the one before.
func (m *Map) SetStoreEpoch(epoch int64) (previous int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, m.epoch = m.epoch, epoch
	return previous
}

// StoreEpoch returns the store's present run, or 0 if it is down or not known.
func (m *Map) StoreEpoch() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

// StoreUp reports whether the store is believed to answer.
func (m *Map) StoreUp() bool { return m.StoreEpoch() != 0 }

// PrefixState is what the map knows of a prefix.
type PrefixState struct {
	// Engine has read the prefix a short time ago, if Held is set.
	Engine uint32
	Cached bool
	// RecentlyRead is set if the engine read it so shortly ago that it need not fetch it from the store.
	RecentlyRead bool
	// Saved is set if the store is believed to keep the prefix.
	Saved bool
}

// Lookup returns what is known of a prefix.
func (m *Map) Lookup(key Key, now time.Time) PrefixState {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.recent[key]
	if !ok {
		if p, ok = m.older[key]; !ok {
			return PrefixState{}
		}
	}
	return PrefixState{
		Engine: p.engine, Cached: now.Sub(p.readAt) < engineTTL, RecentlyRead: now.Sub(p.readAt) < recentReadTTL,
		Saved: !p.savedAt.IsZero() && now.Sub(p.savedAt) < savedTTL && m.epoch != 0 && p.epoch == m.epoch,
	}
}
