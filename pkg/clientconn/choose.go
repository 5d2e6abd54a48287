package clientconn

import (
	"math/bits"
	"time"
)

const (
	// headGrace is the time after which an unfinished head is closed rather than an idle connection: clients send the head
	// at once.
	headGrace = 300 * time.Millisecond
	// bodyStall is the time without a byte after which a body has stalled, and bodyAge the age from which any body counts as
	// stalled. A body of 4 MiB takes 3.4 s at 10 Mbit/s, the slowest link of the deployments.
	bodyStall = time.Second
	bodyAge   = 15 * time.Second
	// writeStall is the time for which a write must have waited for the client to count as not read.
	writeStall = 2 * time.Second
)

// rank orders the connections that may be closed. The one that holds most is closed first, then unfinished requests before idle
// connections, then the oldest.
type rank struct {
	// size is the binary order of magnitude of what the connection holds, so that age decides among similar ones.
	size int
	// order is higher for connections that ordinary clients are less likely to have.
	order int
	age   time.Duration
}

func (r rank) before(other rank) bool {
	if r.size != other.size {
		return r.size > other.size
	}
	if r.order != other.order {
		return r.order > other.order
	}
	return r.age > other.age
}

// rank returns the rank of a connection at a time. It is not closable while its request runs, unless the client does not read
// the response.
func (c *conn) rank(now time.Duration) (r rank, closable bool) {
	phase := c.phase.Load()
	r = rank{size: bits.Len64(uint64(max(c.held.Load(), 0)) >> 14), age: now - time.Duration(c.since.Load())}
	switch phase {
	case phaseHead:
		if r.age >= headGrace {
			r.order = 2
		}
		return r, true
	case phaseIdle:
		r.order = 1
		return r, true
	case phaseBody:
		r.order = 2
		return r, c.bodyStalled(now)
	case phaseRun:
		r.order = 2
		started := time.Duration(c.writeAt.Load())
		return r, started > 0 && now-started >= writeStall
	default:
		r.order = 1
		return r, phase == phaseMultiplexed && r.age >= multiplexedIdle
	}
}

// multiplexedIdle is the time without a byte after which an HTTP/2 connection may be closed. It is longer than the intervals at
// which nodes call each other.
const multiplexedIdle = 15 * time.Second

func (c *conn) bodyStalled(now time.Duration) bool {
	return now-time.Duration(c.readAt.Load()) >= bodyStall || now-time.Duration(c.since.Load()) >= bodyAge
}

// choose returns the connection to close first, or nil.
func choose(listeners []*Listener, now time.Duration) (victim *conn) {
	var first rank
	for _, l := range listeners {
		for _, c := range l.conns {
			if r, closable := c.rank(now); closable && (victim == nil || r.before(first)) {
				victim, first = c, r
			}
		}
	}
	return victim
}

// chooseStalledBody returns the connection with the largest stalled body, the oldest of several similar ones, or nil.
func chooseStalledBody(listeners []*Listener, now time.Duration) (victim *conn) {
	var first rank
	for _, l := range listeners {
		for _, c := range l.conns {
			if c.phase.Load() != phaseBody || !c.bodyStalled(now) {
				continue
			}
			r := rank{size: bits.Len64(uint64(max(c.bodyBytes.Load(), 0)) >> 10), age: now - time.Duration(c.since.Load())}
			if victim == nil || r.before(first) {
				victim, first = c, r
			}
		}
	}
	return victim
}
