// Package exchange is an HTTP/1.1 client for backend servers. Unlike net/http's transport it never sends
// a request twice, reports whether any byte of a request may have reached the server, and skips
// responses that belong to an earlier request.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/pkg/defaults"
	"cassiawall.example/cassiawall/pkg/tcpbuffer"
)

// Timing of connections.
const (
	// DialTimeout limits the time to open a connection. Backend servers are in the same region, so
	// this takes a few milliseconds; a server without power does not respond at all.
	DialTimeout = 250 * time.Millisecond
	// tcpUserTimeout is the TCP_USER_TIMEOUT: the time after which unacknowledged data closes the
	// connection. It leaves time for two retransmissions on a lossy link.
	tcpUserTimeout = 900 * time.Millisecond
	// largeBodyTimeout is the TCP_USER_TIMEOUT while a body is written that does not fit into the server's receive
	// buffer. It then also ends a connection whose server does not read, which may be silent for a second or two.
	largeBodyTimeout = 3 * time.Second
	// maxFittingBodyBytes is the size up to which a body fits into the receive buffer of a server that does not read.
	maxFittingBodyBytes = 64 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection within 3 s. For
	// that time after a disturbance, the platform does not enforce its time limits. They count only without a
	// TCP_USER_TIMEOUT: with it, a single probe without response ends the connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleMargin is subtracted from the idle timeout of a server's Keep-Alive header, so that the
	// server does not close the connection while a request is in flight to it.
	idleMargin = 400 * time.Millisecond
	// defaultIdleTimeout applies if the server sends no timeout. Keep-Alive timeouts are whole
	// seconds, so one that is not sent may be shorter than one second.
	defaultIdleTimeout = 300 * time.Millisecond
	// maxIdleTimeout limits the idle time whatever timeout the server sends.
	maxIdleTimeout = 30 * time.Second
	// readBufferBytes is the size of a connection's read buffer. It holds a response header and a few
	// events.
	readBufferBytes = 2 << 10
)

// Dial opens a TCP connection that is closed when its peer stops responding.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	return dial(ctx, address, timeout, func(raw syscall.RawConn) error { return setTCPUserTimeout(raw, tcpUserTimeout) })
}

// dialBackend is Dial for a connection whose buffers are bounded.
func dialBackend(ctx context.Context, address string) (net.Conn, error) {
	return dial(ctx, address, DialTimeout, func(raw syscall.RawConn) error {
		return errors.Join(setTCPUserTimeout(raw, tcpUserTimeout), tcpbuffer.Set(raw, defaults.BackendReceiveBytes, defaults.BackendSendBytes))
	})
}

func dial(ctx context.Context, address string, timeout time.Duration, prepare func(raw syscall.RawConn) error) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return prepare(raw) },
	}
	return d.DialContext(ctx, "tcp4", address)
}

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// limit bounds the bytes that reader may read next.
	limit *limitedReader
	// rawConn allows a non-blocking read in isClean. It is nil if the connection does not support it.
	rawConn     syscall.RawConn
	userTimeout userTimeout
	// idleTimeout is the time for which the idle connection may be reused.
	idleTimeout time.Duration
	idleSince   time.Time
	// refused lists the IDs of the requests that were refused on the connection.
	refused []string
}

// maxRefusals bounds conn.refused. A connection with more refusals is closed.
const maxRefusals = 32

func newConn(c net.Conn) *conn {
	limit := &limitedReader{reader: c, left: math.MaxInt64}
	pooled := &conn{Conn: c, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit}
	if s, ok := c.(syscall.Conn); ok {
		// On an error rawConn stays nil, and isClean skips its check of the socket.
		pooled.rawConn, _ = s.SyscallConn()
		pooled.userTimeout = userTimeout{conn: pooled.rawConn, timeout: tcpUserTimeout}
	}
	return pooled
}

// limitedReader fails with errHeadTooLong once it has read a number of bytes. The readers above it keep an error, so that
// a read that is to continue after its deadline must not fail: onTimeout, unless nil, then sets a new one.
type limitedReader struct {
	reader    io.Reader
	left      int64
	onTimeout func() error
	// begun is set once bytes have arrived since it was last cleared.
	begun atomic.Bool
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	for {
		n, err := r.reader.Read(p[:min(int64(len(p)), r.left)])
		r.left -= int64(n)
		if n > 0 {
			r.begun.Store(true)
		}
		if n > 0 || r.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := r.onTimeout(); err != nil {
			return 0, err
		}
	}
}

// isClean reports whether the connection is open and has no unread data. Data on an idle connection
// belongs to no request.
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

// Pool holds the idle connections to one incarnation of a backend server, which is its process from start
// to exit. It is safe for concurrent use.
type Pool struct {
	address string

	mu     sync.Mutex
	idle   []*conn
	closed bool
	dialed int
}

// NewPool returns an empty pool for the backend server at address.
func NewPool(address string) *Pool { return &Pool{address: address} }

// Close closes all idle connections. Connections in use are closed when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.Conn.Close()
	}
}

// Sweep closes connections whose idle timeout has expired.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	valid := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) < c.idleTimeout {
			valid = append(valid, c)
			continue
		}
		c.Conn.Close()
	}
	p.idle = valid
}

// get returns the most recently used idle connection that is still valid and has not refused the request with that ID, or a
// new one. A faulty server may write an earlier refusal once more.
func (p *Pool) get(ctx context.Context, requestID string) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(requestID)
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) < c.idleTimeout && c.isClean() {
			return c, nil
		}
		c.Conn.Close()
	}
	raw, err := dialBackend(ctx, p.address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return newConn(raw), nil
}

func (p *Pool) pop(requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !slices.Contains(c.refused, requestID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// Connect makes sure that the pool has a connection for the request with that ID, and opens one if it has none.
func (p *Pool) Connect(ctx context.Context, requestID string) error {
	c, err := p.get(ctx, requestID)
	if err != nil {
		return err
	}
	if c.idleSince.IsZero() {
		c.idleSince, c.idleTimeout = time.Now(), defaultIdleTimeout
	}
	p.putIdle(c)
	return nil
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.putIdle(c)
}

// putIdle adds a connection that is idle since c.idleSince.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Dialed returns the number of connections that the pool has opened.
func (p *Pool) Dialed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}
