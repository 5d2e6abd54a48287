package enginestandin

import "container/list"

// contentKey is the SHA-256 chain key of a block, the only key by which the cache matches.
type contentKey [32]byte

// block is one cached piece of a prompt.
type block struct {
	contentKey contentKey
	// routing is the key of the request that stored the block; events and snapshots show it.
	routingKey uint64
	tokens     int
	adapter    string
	// users counts the running requests that need the block.
	users   int
	element *list.Element
}

// blockCache holds blocks in limited memory and evicts the least recently used block that no
// request uses. All sizes are in tokens.
type blockCache struct {
	capacity int
	used     int
	blocks   map[contentKey]*block
	// lru orders all blocks, most recent first.
	lru *list.List
	// reserved is the memory that running requests will fill.
	reserved int
	// inUse is the size of blocks with users.
	pinned   int
	onChange func(kind cacheChangeKind, routing uint64)
}

type cacheChangeKind int

const (
	stored cacheChangeKind = iota
	evicted
	cleared
)

func newBlockCache(capacity int, onChange func(cacheChangeKind, uint64)) *blockCache {
	return &blockCache{
		capacity: capacity,
		blocks:   map[contentKey]*block{},
		lru:      list.New(),
		onChange: onChange,
	}
}

// match returns the number of leading pieces that are cached.
func (c *blockCache) match(pieces []piece) int {
	for i := range pieces {
		if c.blocks[pieces[i].contentKey] == nil {
			return i
		}
	}
	return len(pieces)
}

// available returns the tokens that could be reserved now.
func (c *blockCache) available() int { return c.capacity - c.pinned - c.reserved }

// reserve sets memory for n tokens aside and evicts what must go for them. The caller checks available
// first unless it accepts an overfull cache.
func (c *blockCache) reserve(n int) {
	c.reserved += n
	c.evictToCapacity()
}

func (c *blockCache) release(n int) { c.reserved -= n }

// shrink evicts unused blocks until the cache fits its capacity.
func (c *blockCache) evictToCapacity() {
	e := c.lru.Back()
	for e != nil && c.used+c.reserved > c.capacity {
		previous := e.Prev()
		if b := e.Value.(*block); b.users == 0 {
			c.remove(b)
		}
		e = previous
	}
}

func (c *blockCache) remove(b *block) {
	c.lru.Remove(b.element)
	delete(c.blocks, b.contentKey)
	c.used -= b.tokens
	c.onChange(evicted, b.routingKey)
}

// store turns a reserved block into a cached one and pins it for the caller. If another request
// has stored the same content since, that block is pinned instead.
func (c *blockCache) store(p *piece, adapter string) *block {
	c.reserved -= p.tokens
	if existing := c.blocks[p.contentKey]; existing != nil {
		c.pin(existing)
		return existing
	}
	b := &block{contentKey: p.contentKey, routingKey: p.routingKey, tokens: p.tokens, adapter: adapter}
	b.element = c.lru.PushFront(b)
	c.blocks[p.contentKey] = b
	c.used += b.tokens
	c.onChange(stored, b.routingKey)
	c.pin(b)
	return b
}

func (c *blockCache) pin(b *block) {
	if b.users == 0 {
		c.pinned += b.tokens
	}
	b.users++
}

// unpin ends the use of blocks, which are in chain order. The first block becomes the most
// recently used one, so that a chain is evicted from its end.
func (c *blockCache) unpin(blocks []*block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		b.users--
		if b.users == 0 {
			c.pinned -= b.tokens
		}
		if c.blocks[b.contentKey] == b {
			c.lru.MoveToFront(b.element)
		}
	}
	c.evictToCapacity()
}

// clear drops all blocks. Blocks in use stay pinned by their requests but match no more.
func (c *blockCache) clear() {
	c.blocks = map[contentKey]*block{}
	c.lru.Init()
	c.used = 0
	c.onChange(cleared, 0)
}

// keys returns the routing keys of all blocks.
func (c *blockCache) keys() []uint64 {
	keys := make([]uint64, 0, len(c.blocks))
	for e := c.lru.Front(); e != nil; e = e.Next() {
		keys = append(keys, e.Value.(*block).routingKey)
	}
	return keys
}
