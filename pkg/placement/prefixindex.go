package placement

// maxLocations is the number of engines that are recorded per prefix. Further copies are only found
// on the preferred engines.
const maxLocations = 4

// prefixLocation records that an engine had a prefix cached at a time. Engines are named by their
// interned number and incarnations by their hash, so that the index contains no pointers.
type prefixLocation struct {
	engine      int32
	pieces      int32
	incarnation uint64
	// lastSeen is in Unix nanoseconds.
	lastSeen int64
}

type indexEntry struct {
	prefixHash uint64
	count      int8
	slots      [maxLocations]prefixLocation
	prev, next int32
}

// prefixIndex is a bounded map from prefix hashes to the engines that had them cached. It evicts the
// least recently used prefix. Entries are linked by their indexes in one slice, so that the garbage
// collector has no pointers to follow.
type prefixIndex struct {
	byHash map[uint64]int32
	slab   []indexEntry
	head   int32
	tail   int32
	limit  int
}

const noEntry = int32(-1)

func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{byHash: map[uint64]int32{}, head: noEntry, tail: noEntry, limit: limit}
}

// get returns the entry of a prefix, or nil, without marking it as used.
func (m *prefixIndex) get(hash uint64) *indexEntry {
	i, ok := m.byHash[hash]
	if !ok {
		return nil
	}
	return &m.slab[i]
}

// touch returns the entry of a prefix as the most recently used one, and adds it if needed.
func (m *prefixIndex) touch(hash uint64) *indexEntry {
	i, ok := m.byHash[hash]
	if ok {
		m.unlink(i)
		m.pushFront(i)
		return &m.slab[i]
	}
	if len(m.slab) < m.limit {
		m.slab = append(m.slab, indexEntry{})
		i = int32(len(m.slab) - 1)
	} else {
		i = m.tail
		m.unlink(i)
		delete(m.byHash, m.slab[i].prefixHash)
	}
	m.slab[i] = indexEntry{prefixHash: hash}
	m.byHash[hash] = i
	m.pushFront(i)
	return &m.slab[i]
}

func (m *prefixIndex) unlink(i int32) {
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

func (m *prefixIndex) pushFront(i int32) {
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

// put records that an engine has the prefix cached. It replaces the location of the same engine or, if
// all slots are in use, the one that was seen longest ago.
func (e *indexEntry) put(p prefixLocation) {
	oldest := 0
	for i := range e.slots[:e.count] {
		if e.slots[i].engine == p.engine {
			e.slots[i] = p
			return
		}
		if e.slots[i].lastSeen < e.slots[oldest].lastSeen {
			oldest = i
		}
	}
	if int(e.count) < maxLocations {
		e.slots[e.count] = p
		e.count++
		return
	}
	e.slots[oldest] = p
}

// remove deletes the location of an engine.
func (e *indexEntry) remove(engine int32) {
	for i := range e.slots[:e.count] {
		if e.slots[i].engine != engine {
			continue
		}
		e.count--
		e.slots[i] = e.slots[e.count]
		e.slots[e.count] = prefixLocation{}
		return
	}
}

func (e *indexEntry) locations() []prefixLocation { return e.slots[:e.count] }

// each calls f for the entries, the most recently used one first, until f returns false.
func (m *prefixIndex) each(f func(e *indexEntry) bool) {
	for i := m.head; i != noEntry; i = m.slab[i].next {
		if !f(&m.slab[i]) {
			return
		}
	}
}
