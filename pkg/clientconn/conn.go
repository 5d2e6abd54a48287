package clientconn

import (
	"bytes"
	"math"
	"net"
	"sync/atomic"
)

// Phases of a connection.
const (
	// phaseHead lasts from the first byte of a request, or from the start of the connection, until the head is read.
	phaseHead int32 = iota
	// phaseBody lasts until the end of the request's body, and phaseRun until the end of the response.
	phaseBody
	phaseRun
	phaseIdle
	// phaseMultiplexed is that of an HTTP/2 connection, which has several requests at once.
	phaseMultiplexed
	// phaseHijacked is that of a connection that net/http no longer serves.
	phaseHijacked
)

// closedHeld is the value of conn.held after the charge has ended.
const closedHeld = math.MinInt64 / 2

// conn is a connection of a client. It counts what the client has sent since its last complete request. Reads and writes add
// neither system calls nor allocations.
type conn struct {
	net.Conn
	listener *Listener
	// index is the place in Listener.conns, or -1. Budget.mu guards it.
	index int

	phase atomic.Int32
	// since is the start of the phase, readAt the time of the last read of a body or of an HTTP/2 connection, and writeAt the
	// start of a write that has not returned, or 0; all as time since the start of the budget.
	since, readAt, writeAt atomic.Int64
	// held is what the connection holds according to the estimate, in bytes.
	held atomic.Int64
	// bodyBytes is the stated length of the request's body, or what has arrived of a body without a stated length.
	bodyBytes atomic.Int64
	// written is what the response has so far in large writes, in bytes. large is set while the connection has large buffers, and
	// refusedLarge once its request has not got them.
	written             atomic.Int64
	large, refusedLarge atomic.Bool
	// draining is set once the connection is closed and its client has not received the whole response.
	draining atomic.Bool
	// head is used by the goroutine that reads only. net/http reads a connection from one goroutine at a time.
	head headCounter
	// pending is what was read of a head of several parts and is not returned yet, and pendingErr the error after it.
	pending    []byte
	pendingErr error
}

// Read implements net.Conn. It returns a head only when it is complete: net/http takes up to ten times the memory of its bytes
// for what it has read of a head.
func (c *conn) Read(p []byte) (int, error) {
	if c.pending != nil {
		return c.readPending(p)
	}
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	switch c.phase.Load() {
	case phaseRun, phaseHijacked:
	case phaseBody:
		c.readAt.Store(int64(c.listener.budget.now()))
	case phaseMultiplexed:
		c.since.Store(int64(c.listener.budget.now()))
	case phaseIdle:
		c.enter(phaseHead)
		return c.readHead(p, n, err, true)
	default:
		return c.readHead(p, n, err, false)
	}
	return n, err
}

// Write implements net.Conn. It records how long the client lets it wait.
func (c *conn) Write(p []byte) (int, error) {
	c.enlargeForWrite(len(p))
	c.writeAt.Store(int64(c.listener.budget.now()))
	n, err := c.Conn.Write(p)
	c.writeAt.Store(0)
	return n, err
}

// CloseWrite closes the sending side, which net/http does before it closes a connection whose request it has not read whole.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with bytes that are not sent, as that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// http2Preface begins an HTTP/2 connection without TLS. http2LineBytes is the length of its first line, which net/http reads by
// itself.
var http2Preface = []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

const http2LineBytes = len("PRI * HTTP/2.0")

// isHTTP2 reports whether the first bytes of a connection begin the preface of HTTP/2.
func isHTTP2(first []byte) bool {
	return len(first) >= http2LineBytes && bytes.HasPrefix(http2Preface, first[:min(len(first), len(http2Preface))])
}

// multiplexedBytes is what an HTTP/2 connection holds besides connBytes: the state of its requests, which net/http bounds.
const multiplexedBytes = 64 << 10

// multiplex marks an HTTP/2 connection.
func (c *conn) multiplex() {
	if c.phase.Swap(phaseMultiplexed) == phaseMultiplexed {
		return
	}
	c.settle()
	c.charge(multiplexedBytes)
}

func (c *conn) enter(phase int32) {
	now := int64(c.listener.budget.now())
	c.since.Store(now)
	c.readAt.Store(now)
	c.phase.Store(phase)
}

// charge adds to what the connection holds. It returns false if the connections of the process then hold too much, and either
// none can be closed or this one is the first to close.
func (c *conn) charge(n int64) bool {
	b := c.listener.budget
	if n == 0 || c.held.Add(n) < 0 {
		// The charge of a closed connection has ended.
		return true
	}
	b.used.Add(n)
	return !b.exceeded() || b.makeRoom(c)
}

// settle returns the connection to what it holds at rest.
func (c *conn) settle() {
	atRest := c.listener.atRest()
	if held := c.held.Load(); held > atRest {
		if c.held.CompareAndSwap(held, atRest) {
			c.listener.budget.used.Add(atRest - held)
		}
	}
	c.bodyBytes.Store(0)
	c.written.Store(0)
	c.refusedLarge.Store(false)
}
