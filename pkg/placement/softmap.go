package placement

// softWays is the number of engines remembered per prefix. More copies than this are found
// through the homes.
const softWays = 4

// softPlace says that an engine held a prefix at a time. Engines are named by their interned
// number and incarnations by their hash, so that the map holds no pointers.
type softPlace struct {
	engine      int32
	depth       int32
	incarnation uint64
	// seen is in Unix nanoseconds.
	seen int64
}

type softEntry struct {
	key        uint64
	used       int8
	places     [softWays]softPlace
	prev, next int32
}

// softMap is a bounded map from prefix keys to the engines that held them, with eviction of the
// least recently used key. Entries live in one slab, so that the garbage collector sees no
// pointers between them.
type softMap struct {
	index map[uint64]int32
	slab  []softEntry
	head  int32
	tail  int32
	limit int
}

const noEntry = int32(-1)

func newSoftMap(limit int) *softMap {
	return &softMap{index: map[uint64]int32{}, head: noEntry, tail: noEntry, limit: limit}
}

// get returns the entry of a key without changing its age.
func (m *softMap) get(key uint64) *softEntry {
	i, ok := m.index[key]
	if !ok {
		return nil
	}
	return &m.slab[i]
}

// touch returns the entry of a key as the most recently used one, and adds it if needed.
func (m *softMap) touch(key uint64) *softEntry {
	i, ok := m.index[key]
	if ok {
		m.unlink(i)
		m.pushFront(i)
		return &m.slab[i]
	}
	if len(m.slab) < m.limit {
		m.slab = append(m.slab, softEntry{})
		i = int32(len(m.slab) - 1)
	} else {
		i = m.tail
		m.unlink(i)
		delete(m.index, m.slab[i].key)
	}
	m.slab[i] = softEntry{key: key}
	m.index[key] = i
	m.pushFront(i)
	return &m.slab[i]
}

func (m *softMap) unlink(i int32) {
	e := &m.slab[i]
	if e.prev == noEntry {
		m.head = e.next
	} else {
		m.slab[e.prev].next = e.next
	}
	if e.next == noEntry {
		m.tail = e.prev
	} else {
		m.slab[e.next].prev = e.prev
	}
}

func (m *softMap) pushFront(i int32) {
	e := &m.slab[i]
	e.prev = noEntry
	e.next = m.head
	if m.head != noEntry {
		m.slab[m.head].prev = i
	}
	m.head = i
	if m.tail == noEntry {
		m.tail = i
	}
}

// add notes that an engine holds the prefix. The place that was seen longest ago makes room.
func (e *softEntry) add(p softPlace) {
	oldest := 0
	for i := range e.places[:e.used] {
		if e.places[i].engine == p.engine {
			e.places[i] = p
			return
		}
		if e.places[i].seen < e.places[oldest].seen {
			oldest = i
		}
	}
	if int(e.used) < softWays {
		e.places[e.used] = p
		e.used++
		return
	}
	e.places[oldest] = p
}

// drop forgets that an engine holds the prefix.
func (e *softEntry) drop(engine int32) {
	for i := range e.places[:e.used] {
		if e.places[i].engine != engine {
			continue
		}
		e.used--
		e.places[i] = e.places[e.used]
		e.places[e.used] = softPlace{}
		return
	}
}

func (e *softEntry) list() []softPlace { return e.places[:e.used] }

// each calls f for the keys from the most recently used one until f returns false.
func (m *softMap) each(f func(e *softEntry) bool) {
	for i := m.head; i != noEntry; i = m.slab[i].next {
		if !f(&m.slab[i]) {
			return
		}
	}
}
