// Package clientconn bounds what the connections of clients hold: the memory of all connections of a process together, the
// fields of one request's head, and the number of connections of each listener. The listeners of package net/http bound the
// bytes of a head, but neither its memory, which is up to ten times as much, nor the sum over connections.
package clientconn

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/metrics"
)

// Estimates of what net/http holds, measured with go1.26 on x86-64.
const (
	// connBytes is what a connection holds at rest: a goroutine and two buffers of 4 KB. Crowds of 600 held 17 to 21 KB each.
	connBytes = 20 << 10
	// headFactor is what a byte of a head holds besides the buffer from which it is read. Lines over 4 KB are kept in a buffer
	// that grows by doubling: 600 endless lines of 36 KB held 60 to 80 KB each.
	headFactor = 3
	// fieldBytes is what a field of a head holds besides its text: an entry of a map that may just have grown, a slice, and
	// the two strings. 600 heads of 3,900 fields held 44 bytes a field with a collector that ran often.
	fieldBytes = 100
	// opaqueFactor is what a byte of a head inside TLS holds, whose lines are not visible: fields of four bytes hold 100.
	// Ordinary heads hold much less; the charge ends with the head.
	opaqueFactor = 25
)

// logInterval is the least time between two log lines about closed connections.
const logInterval = 10 * time.Second

// Options configures a Budget.
type Options struct {
	// MaxBytes bounds the estimated memory of all connections, in bytes; 0 for no bound.
	MaxBytes int64
	// MaxLargeBytes bounds the large socket buffers of all connections, in bytes; 0 for no bound.
	MaxLargeBytes int64
	Logger        *slog.Logger
	Metrics       *metrics.Registry
}

// Budget is the memory of the connections of all listeners of a process. It is safe for concurrent use.
type Budget struct {
	opt     Options
	started time.Time
	// used is the estimated memory of all connections, in bytes.
	used atomic.Int64
	// large is the size of the large socket buffers of all connections, in bytes.
	large atomic.Int64

	mu        sync.Mutex
	listeners []*Listener
	// closed counts the connections closed since the last log line, by reason.
	closed   map[string]int
	loggedAt time.Duration
	// buffersLoggedAt is the time of the last log line about large socket buffers.
	buffersLoggedAt time.Duration
	// drainStall is defaultDrainStall except in tests.
	drainStall time.Duration
}

// New returns a budget without listeners.
func New(opt Options) *Budget {
	b := &Budget{opt: opt, started: time.Now(), closed: map[string]int{}, loggedAt: -logInterval, buffersLoggedAt: -logInterval, drainStall: defaultDrainStall}
	opt.Metrics.GaugeFunc("client_connection_bytes", func() float64 { return float64(b.Used()) })
	opt.Metrics.GaugeFunc("client_large_buffer_bytes", func() float64 { return float64(b.large.Load()) })
	return b
}

// Used returns the estimated memory of all connections, in bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// now returns the time since the start of the budget. It reads the monotonic clock without a system call.
func (b *Budget) now() time.Duration { return time.Since(b.started) }

// Listen bounds the connections that a listener accepts.
func (b *Budget) Listen(inner net.Listener, opt ListenerOptions) *Listener {
	l := &Listener{Listener: inner, budget: b, opt: opt}
	b.mu.Lock()
	b.listeners = append(b.listeners, l)
	b.mu.Unlock()
	b.opt.Metrics.GaugeFunc("client_connections", func() float64 { return float64(l.open()) }, "listener", opt.Name)
	return l
}

// exceeded reports whether the connections hold more than the bound.
func (b *Budget) exceeded() bool { return b.opt.MaxBytes > 0 && b.used.Load() > b.opt.MaxBytes }

// makeRoom closes connections until the rest is within the bound. It reports whether it is. It never closes requester, whose
// request is refused instead if it is the first to close.
func (b *Budget) makeRoom(requester *conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.exceeded() {
		victim := choose(b.listeners, b.now())
		if victim == nil || victim == requester {
			return false
		}
		b.closeLocked(victim, reasonMemory)
	}
	return true
}

// CloseStalledBodies closes connections whose request bodies have stalled, the largest and oldest first, until their bodies
// have n bytes together. It reports whether it has closed any; the memory of their bodies is released soon after.
func (b *Budget) CloseStalledBodies(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	any := false
	for n > 0 {
		victim := chooseStalledBody(b.listeners, b.now())
		if victim == nil {
			break
		}
		n -= max(victim.bodyBytes.Load(), 1)
		any = true
		b.closeLocked(victim, reasonStalledBody)
	}
	return any
}

// Reasons of closed connections, in log lines and metric labels.
const (
	reasonMemory      = "memory"
	reasonCount       = "count"
	reasonStalledBody = "stalled_body"
	reasonHead        = "head"
	reasonUnread      = "unread"
)

// closeLocked closes a connection in favour of others.
func (b *Budget) closeLocked(c *conn, reason string) {
	b.removeLocked(c)
	if c.phase.Load() != phaseIdle || c.unsent() > 0 {
		// A reset discards what the system still holds for the connection, and a truncated response cannot look complete.
		_ = c.SetLinger(0)
	}
	// The client may have closed the connection.
	_ = c.Conn.Close()
	b.recordLocked(c.listener, reason)
}

// record counts a refused request as recordLocked.
func (b *Budget) record(l *Listener, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordLocked(l, reason)
}

// recordLocked counts a closed connection and logs it at most once in logInterval.
func (b *Budget) recordLocked(l *Listener, reason string) {
	b.opt.Metrics.Counter("client_connections_closed", "listener", l.opt.Name, "reason", reason).Inc(1)
	b.closed[reason]++
	now := b.now()
	if now-b.loggedAt < logInterval {
		return
	}
	b.loggedAt = now
	attrs := []slog.Attr{slog.String("listener", l.opt.Name), slog.Int64("bytes", b.used.Load()), slog.Int64("max_bytes", b.opt.MaxBytes)}
	for _, r := range []string{reasonMemory, reasonCount, reasonStalledBody, reasonHead, reasonUnread} {
		if n := b.closed[r]; n > 0 {
			attrs = append(attrs, slog.Int(r, n))
		}
	}
	clear(b.closed)
	event.ConnectionsClosed.Log(context.Background(), b.opt.Logger, attrs...)
}

// removeLocked ends the charge of a connection.
func (b *Budget) removeLocked(c *conn) {
	l := c.listener
	if c.large.Swap(false) {
		b.releaseLarge(c.largeCost())
	}
	if c.index < 0 {
		return
	}
	last := len(l.conns) - 1
	l.conns[c.index] = l.conns[last]
	l.conns[c.index].index = c.index
	l.conns[last] = nil
	l.conns = l.conns[:last]
	c.index = -1
	b.used.Add(-c.held.Swap(closedHeld))
}
