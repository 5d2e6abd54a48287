package node

import (
	"math/rand/v2"
	"sync"
	"time"
)

// storeRole determines how often a node tries a store that does not respond.
type storeRole int

const (
	// roleRelay is the role of the leader and the relays, from which the other nodes learn that the store is back.
	roleRelay storeRole = iota
	// roleIsolated is the role of a node that hears neither the leader nor a relay.
	roleIsolated
	// roleWaiting is the role of a node that hears a relay which does not reach the store either.
	roleWaiting
)

// probeTiming is the pause after the first and after many failed calls of the store, before jitter.
type probeTiming struct {
	first, longest time.Duration
}

// A relay that tries the store each 0.4 s lets the fleet notice the store's return within half a second. The longest pause of
// other nodes leaves time to list the objects within a change deadline of 3 s, also if nobody else reaches the store.
var probeTimings = map[storeRole]probeTiming{
	roleRelay:    {first: 80 * time.Millisecond, longest: 400 * time.Millisecond},
	roleIsolated: {first: 100 * time.Millisecond, longest: 800 * time.Millisecond},
	roleWaiting:  {first: 800 * time.Millisecond, longest: 1600 * time.Millisecond},
}

const (
	// probeJitter is the share by which pauses are lengthened or shortened at random.
	probeJitter = 0.25
	// firstProbeSpread bounds the random delay of the first call of a node that hears relays but is no longer relayed. It is
	// part of the time that catchUpTime leaves.
	firstProbeSpread = 250 * time.Millisecond
	// maxProbeTime is the time after which a probe without a result no longer prevents the next one.
	maxProbeTime = 2 * time.Second
	// minOutage is the duration of failures from which entries may have lapsed in the meantime. A connection that was reset
	// once must not put the entries of all kinds in doubt.
	minOutage = 500 * time.Millisecond
)

// storeCalls decides when a node may call the store. While it does not know that the store responds, it makes one call at a
// time for all kinds of objects, the probe, with growing pauses. It makes no calls itself and is safe for concurrent use.
type storeCalls struct {
	// jitter returns a random number from 0 to 1.
	jitter func() float64

	mu sync.Mutex
	// responds is set while the last call was successful.
	responds bool
	// failures is the number of failed probes in a row, the first of them at failingSince.
	failures     int
	failingSince time.Time
	// probeAt is the earliest time of the next probe. probing is set while one is under way, since probedAt.
	probeAt, probedAt time.Time
	probing           bool
}

func newStoreCalls() *storeCalls { return &storeCalls{jitter: rand.Float64} }

// MayCall reports whether a call may be made now. The caller must then make it and pass its result to Done.
func (c *storeCalls) MayCall(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responds {
		return true
	}
	if now.Before(c.probeAt) || c.probing && now.Sub(c.probedAt) < maxProbeTime {
		return false
	}
	c.probing, c.probedAt = true, now
	return true
}

// Done records the result of any call. It reports whether it shows the end of an outage.
func (c *storeCalls) Done(ok bool, role storeRole, now time.Time) (recovered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case ok:
		recovered = c.outageLocked(now)
		c.responds, c.probing, c.failures = true, false, 0
	case c.responds || c.probing:
		// Several calls that fail together, such as the watches of all kinds, count once.
		t := probeTimings[role]
		pause := min(t.first<<min(c.failures, 10), t.longest)
		pause = time.Duration(float64(pause) * (1 - probeJitter + 2*probeJitter*c.jitter()))
		c.responds, c.probing, c.probeAt = false, false, now.Add(pause)
		if c.failures++; c.failures == 1 {
			c.failingSince = now
		}
	}
	return recovered
}

// Responds reports whether the last call was successful.
func (c *storeCalls) Responds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responds
}

// outageLocked reports whether calls have failed until now for at least minOutage.
func (c *storeCalls) outageLocked(now time.Time) bool {
	return c.failures > 0 && now.Sub(c.failingSince) >= minOutage
}

// BeginRelayed records that a relay in sync with the store relays its changes to this node. It reports whether that shows the
// end of an outage.
func (c *storeCalls) BeginRelayed(now time.Time) (recovered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recovered = c.outageLocked(now)
	c.responds, c.failures, c.probeAt = true, 0, time.Time{}
	return recovered
}

// EndRelayed records that changes of the store are no longer relayed to this node.
func (c *storeCalls) EndRelayed(role storeRole, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responds, c.failures, c.probeAt = false, 0, now
	if role == roleWaiting {
		c.probeAt = now.Add(time.Duration(c.jitter() * float64(firstProbeSpread)))
	}
}
