// Package popularity finds shared prefixes that many requests use at the moment. It answers the load of one key
// that gets a large part of the traffic: all nodes would send its requests to the same engine, and the loads that
// they know of are too old to show that it is full. Nodes count the requests by prefix and report the counts, the
// leader adds them up and announces the rates of the frequent prefixes.
package popularity

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Key is a 32-bit hash of a shared prefix. A collision makes a rare prefix count as a frequent one, which spreads
// it over more engines than it needs.
type Key uint32

const (
	// decayTime is the time in which the weight of a request falls to 1/e. A single request counts as half a
	// request a second.
	decayTime = 2 * time.Second
	// minRate is the rate in requests a second from which a prefix is announced.
	minRate = 4.0
	// rateTTL is the time for which an announced rate applies.
	rateTTL = 3 * time.Second
	// maxAnnounced bounds the rates in one message, to 384 bytes.
	maxAnnounced = 64
	// maxKeys bounds the counted prefixes of the leader, and maxReported those in a node's report.
	maxKeys     = 16384
	maxReported = 512
	// countBytes and rateBytes are the sizes of an encoded count and rate.
	countBytes = 5
	rateBytes  = 6
)

// Counter counts the requests of a node by prefix. It is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	counts map[Key]int
}

// NewCounter returns a counter without counts.
func NewCounter() *Counter { return &Counter{counts: map[Key]int{}} }

// Record counts one request.
func (c *Counter) Record(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.counts[key]; ok || len(c.counts) < maxReported {
		c.counts[key]++
	}
}

// Take returns the encoded counts since the last call, or nil if there are none.
func (c *Counter) Take() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.counts) == 0 {
		return nil
	}
	data := make([]byte, 0, len(c.counts)*countBytes)
	for key, count := range c.counts {
		data = binary.BigEndian.AppendUint32(data, uint32(key))
		data = append(data, byte(min(count, math.MaxUint8)))
	}
	clear(c.counts)
	return data
}

// Totals adds up the counts of all nodes at the leader. It is safe for concurrent use.
type Totals struct {
	mu     sync.Mutex
	totals map[Key]total
}

// total is the decaying number of requests of a prefix at a time.
type total struct {
	requests float64
	at       time.Time
}

func (t total) decayed(now time.Time) float64 {
	return t.requests * math.Exp(-max(now.Sub(t.at), 0).Seconds()/decayTime.Seconds())
}

// rate returns the requests a second.
func (t total) rate(now time.Time) float64 { return t.decayed(now) / decayTime.Seconds() }

// NewTotals returns totals without counts.
func NewTotals() *Totals { return &Totals{totals: map[Key]total{}} }

// Add adds encoded counts of a node.
func (t *Totals) Add(counts []byte, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ; len(counts) >= countBytes; counts = counts[countBytes:] {
		key := Key(binary.BigEndian.Uint32(counts))
		known, ok := t.totals[key]
		if !ok && len(t.totals) >= maxKeys {
			t.dropRareLocked(now)
		}
		t.totals[key] = total{requests: known.decayed(now) + float64(counts[4]), at: now}
	}
}

// dropRareLocked drops prefixes that are far from being announced, or all if none is.
func (t *Totals) dropRareLocked(now time.Time) {
	maps.DeleteFunc(t.totals, func(_ Key, n total) bool { return n.rate(now) < minRate/4 })
	if len(t.totals) >= maxKeys {
		clear(t.totals)
	}
}

// Frequent returns the encoded rates of the most frequent prefixes.
func (t *Totals) Frequent(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	type keyRate struct {
		key  Key
		rate float64
	}
	var frequent []keyRate
	for key, n := range t.totals {
		if rate := n.rate(now); rate >= minRate {
			frequent = append(frequent, keyRate{key, rate})
		}
	}
	slices.SortFunc(frequent, func(a, b keyRate) int { return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.key, b.key)) })
	frequent = frequent[:min(len(frequent), maxAnnounced)]
	data := make([]byte, 0, len(frequent)*rateBytes)
	for _, f := range frequent {
		data = binary.BigEndian.AppendUint32(data, uint32(f.key))
		data = binary.BigEndian.AppendUint16(data, uint16(min(f.rate, math.MaxUint16)))
	}
	return data
}

// Rates holds the rates that the leader has announced. It is safe for concurrent use.
type Rates struct {
	mu    sync.Mutex
	rates map[Key]int
	until time.Time
}

// NewRates returns rates without an announcement.
func NewRates() *Rates { return &Rates{} }

// Set replaces the rates by encoded ones.
func (r *Rates) Set(data []byte, now time.Time) {
	rates := make(map[Key]int, len(data)/rateBytes)
	for ; len(data) >= rateBytes; data = data[rateBytes:] {
		rates[Key(binary.BigEndian.Uint32(data))] = int(binary.BigEndian.Uint16(data[4:]))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rates, r.until = rates, now.Add(rateTTL)
}

// Rate returns the announced requests a second of a prefix over all nodes, or 0.
func (r *Rates) Rate(key Key, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.After(r.until) {
		return 0
	}
	return r.rates[key]
}
