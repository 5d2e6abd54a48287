// Package exchange speaks HTTP/1.1 to backend servers. Unlike net/http's transport it never sends
// a request twice, tells whether any byte of a request may have reached the server, and skips
// answers that belong to an earlier request.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timing of connections.
const (
	// DialTimeout bounds a new connection. Backend servers are in the same region, so a
	// connection takes a few milliseconds; a server without power does not answer at all.
	DialTimeout = 250 * time.Millisecond
	// tcpUserTimeout is the time after which bytes that the peer has not acknowledged end the
	// connection. It covers two retransmissions on a link that loses packets.
	tcpUserTimeout = 900 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find connections that went silent
	// within 3 s, the time for which the platform counts a node as disturbed afterwards.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleMargin is subtracted from the idle timeout that a server states, so that the server
	// does not close a connection while a request is on its way.
	idleMargin = 400 * time.Millisecond
	// defaultIdleTimeout is the idle time of a connection whose server states no timeout: stated
	// timeouts are whole seconds, so an unstated one may be shorter than one second.
	defaultIdleTimeout = 300 * time.Millisecond
	// maxIdleTimeout bounds the idle time whatever a server states.
	maxIdleTimeout = 30 * time.Second
	// readBufferBytes is the size of a connection's read buffer in bytes. It holds an answer's header
	// and a few events.
	readBufferBytes = 2 << 10
)

// Dial opens a TCP connection that ends when its peer falls silent.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	return d.DialContext(ctx, "tcp4", address)
}

// conn is a connection to a backend server. One request uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// rawConn reads without waiting, to find out whether an idle connection is still clean.
	rawConn syscall.RawConn
	// idleTimeout is the time for which the server keeps the connection without a request.
	idleTimeout time.Duration
	idleSince   time.Time
}

func newConn(c net.Conn) *conn {
	pooled := &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
	if s, ok := c.(syscall.Conn); ok {
		// Without a raw connection the check before reuse is left out.
		pooled.rawConn, _ = s.SyscallConn()
	}
	return pooled
}

// isClean reports whether the connection is open and has no unread bytes. Bytes on an idle
// connection belong to no request.
func (c *conn) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	open := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		open = n <= 0 && errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// Pool holds the idle connections to one incarnation of a backend server. It is safe for
// concurrent use.
type Pool struct {
	address string

	mu     sync.Mutex
	idle   []*conn
	closed bool
	dialed int
}

// NewPool returns a pool without connections.
func NewPool(address string) *Pool { return &Pool{address: address} }

// Close ends all idle connections and those that are given back later.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.Conn.Close()
	}
}

// Sweep ends connections whose idle time is over.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	active := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) < c.idleTimeout {
			active = append(active, c)
			continue
		}
		c.Conn.Close()
	}
	p.idle = active
}

// get returns the connection that was used last, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) < c.idleTimeout && c.isClean() {
			return c, nil
		}
		c.Conn.Close()
	}
	raw, err := Dial(ctx, p.address, DialTimeout)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return newConn(raw), nil
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Dialed returns the number of connections that were opened.
func (p *Pool) Dialed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}
