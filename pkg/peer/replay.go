package peer

import (
	"sync"
	"time"
)

// ReplayWindow is the largest difference between the sender's and the receiver's clocks at
// which a message is accepted. Nodes need synchronized wall clocks within this bound.
const ReplayWindow = 30 * time.Second

// maxNonces limits the nonces of one generation of a replay check. Only those of authenticated
// messages are recorded, so nobody without a key can exhaust it. At 3,000 messages/s there are 90,000
// nonces in one ReplayWindow and 180,000 in a generation.
const maxNonces = 1 << 18

// nonceBytes is the length of a nonce. At 5,000 messages/s two nonces of one minute are equal about
// once in 800 years; the second message is then refused.
const nonceBytes = 8

// nonce is a random value that makes a message unique within ReplayWindow.
type nonce [nonceBytes]byte

// replayCheck records nonces to detect replayed messages. It keeps two generations, each of which
// covers two ReplayWindows.
type replayCheck struct {
	mu        sync.Mutex
	current   map[nonce]struct{}
	previous  map[nonce]struct{}
	rotatedAt time.Time
}

// accept reports whether a message that was sent at sent with nonce n is neither replayed nor outside
// the ReplayWindow around now, and then records n. It refuses all messages while the current
// generation is full.
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

// rotate starts a new generation every two ReplayWindows, because a message is accepted from one
// window before its send time until one window after it.
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
