package peer

import (
	"sync"
	"time"
)

// ReplayWindow is the largest difference between the sender's and the receiver's clocks at
// which a message is accepted. Nodes need synchronized wall clocks within this bound.
const ReplayWindow = 30 * time.Second

// maxNonces bounds the memory of a replay check. Only authenticated messages are recorded, so
// an outsider cannot fill it. At 3,000 messages/s in one window it holds 90,000.
const maxNonces = 1 << 18

// nonceBytes is the length of a nonce. At 5,000 messages/s two of one minute are equal about once
// in 800 years; the second one is then refused.
const nonceBytes = 8

// nonce makes a message unique among all messages of one window.
type nonce [nonceBytes]byte

// replayCheck remembers the nonces of the last two windows in two generations.
type replayCheck struct {
	mu        sync.Mutex
	current   map[nonce]struct{}
	previous  map[nonce]struct{}
	rotatedAt time.Time
}

// accept records n and reports whether a message sent at sent is new at now. It refuses
// everything while the current generation is full.
func (c *replayCheck) accept(now, sent time.Time, n nonce) bool {
	if sent.Before(now.Add(-ReplayWindow)) || sent.After(now.Add(ReplayWindow)) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	if c.seen(n) || len(c.current) >= maxNonces {
		return false
	}
	c.current[n] = struct{}{}
	return true
}

// rotate starts a new generation every two windows: a message is acceptable from one window
// before its time of sending until one window after it.
func (c *replayCheck) rotate(now time.Time) {
	if c.current != nil && now.Sub(c.rotatedAt) < 2*ReplayWindow {
		return
	}
	c.previous = c.current
	c.current = map[nonce]struct{}{}
	c.rotatedAt = now
}

func (c *replayCheck) seen(n nonce) bool {
	if _, ok := c.current[n]; ok {
		return true
	}
	_, ok := c.previous[n]
	return ok
}
