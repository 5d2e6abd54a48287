package enginestandin

import "container/list"

// contentKey is the SHA-256 prefix hash of a block. The cache compares blocks by this key only.
type contentKey [32]byte

// block is one cached piece of a prompt.
type block struct {
	contentKey contentKey
	// routingKey is the key that the router assigned to the piece; events and snapshots report it.
	routingKey uint64
	tokens     int
	adapter    string
	// users is the number of running requests that pin the block.
	users   int
	element *list.Element
}

// blockCache holds blocks in limited memory and evicts the least recently used block that no
// request uses. All sizes are in tokens.
type blockCache struct {
	capacity int
	used     int
	blocks   map[contentKey]*block
	// lru lists all blocks, most recently used first.
	lru *list.List
	// reserved is the memory set aside for pieces that running requests have yet to compute.
	reserved int
	// pinned is the total size of blocks with users.
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

// available returns the number of tokens that can be reserved, by eviction if necessary.
func (c *blockCache) available() int { return c.capacity - c.pinned - c.reserved }

// reserve sets aside memory for n tokens and evicts unused blocks to make room. It does not check
// available; if n is larger, the cache exceeds its capacity.
func (c *blockCache) reserve(n int) {
	c.reserved += n
	c.evictToCapacity()
}

func (c *blockCache) release(n int) { c.reserved -= n }

// evictToCapacity evicts unused blocks, least recently used first, until the cache is within its
// capacity or only blocks in use remain.
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

// store converts the reservation for p into a cached block and pins it for the caller. If another
// request has stored the same content since the reservation, store pins that block instead.
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

// unpin releases blocks, which are in the order of the prompt. The first block becomes the most
// recently used one, so that a prefix is evicted from its end.
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

// clear removes all blocks. Running requests keep the blocks that they pin, but new requests do not
// match them.
func (c *blockCache) clear() {
	c.blocks = map[contentKey]*block{}
	c.lru.Init()
	c.used = 0
	c.onChange(cleared, 0)
}

// keys returns the routing keys of all blocks, most recently used first.
func (c *blockCache) keys() []uint64 {
	keys := make([]uint64, 0, len(c.blocks))
	for e := c.lru.Front(); e != nil; e = e.Next() {
		keys = append(keys, e.Value.(*block).routingKey)
	}
	return keys
}
