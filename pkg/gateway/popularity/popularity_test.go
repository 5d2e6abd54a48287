package popularity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

// Guards against a frequent prefix that the nodes do not learn of, and against rare prefixes that count as
// frequent. Replays a hot key with a third of the traffic: 300 nodes with two requests a second each, of which
// every third is for the same prefix.
func TestHotKeyIsAnnounced(t *testing.T) {
	const nodes, hot = 300, Key(7)
	counters := make([]*Counter, nodes)
	for i := range counters {
		counters[i] = NewCounter()
	}
	totals, rates := NewTotals(), NewRates()
	now := start
	rare := Key(100)
	for range 6 {
		for i, c := range counters {
			if i%3 == 0 {
				c.Record(hot)
				c.Record(hot)
			} else {
				rare++
				c.Record(rare % 3000)
				c.Record((rare + 1500) % 3000)
			}
		}
		now = now.Add(time.Second)
		for _, c := range counters {
			totals.Add(c.Take(), now)
		}
	}
	rates.Set(totals.Frequent(now), now)
	assert.InDelta(t, 200, rates.Rate(hot, now), 60)
	assert.Zero(t, rates.Rate(200, now))
	assert.Zero(t, rates.Rate(hot, now.Add(rateTTL+time.Second)), "the leader is silent")
	assert.Empty(t, totals.Frequent(now.Add(10*time.Second)), "the key is no longer hot")
}

// Guards against unbounded memory and messages, and against a crash on data of another length.
func TestStateIsBounded(t *testing.T) {
	c, totals, rates := NewCounter(), NewTotals(), NewRates()
	for i := range 2 * maxReported {
		c.Record(Key(i))
	}
	assert.Len(t, c.Take(), maxReported*countBytes)
	assert.Empty(t, c.Take())
	for i := range 3 * maxKeys {
		c.Record(Key(i))
		totals.Add(c.Take(), start)
	}
	assert.LessOrEqual(t, len(totals.totals), maxKeys)
	for i := range 2 * maxAnnounced {
		totals.Add([]byte{0, 0, 0, byte(i), 200}, start)
	}
	frequent := totals.Frequent(start)
	assert.Len(t, frequent, maxAnnounced*rateBytes)
	totals.Add([]byte{1, 2, 3}, start)
	rates.Set(frequent[:len(frequent)-1], start)
	assert.Len(t, rates.rates, maxAnnounced-1)
}
