package clientconn

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/tcpbuffer"
)

// Sockets are the bounds of what the system holds for the connections of a listener: what has arrived and is not read, and what
// is written and not acknowledged. The zero value leaves them to the system.
type Sockets struct {
	// ReceiveBytes and SendBytes are the sizes of a connection's buffers, in bytes. They apply from its first packet on, also
	// while the connection waits to be accepted.
	ReceiveBytes, SendBytes int
	// LargeBytes is the size of each buffer from the first body or response on that is larger than that, in bytes, as long as
	// Options.MaxLargeBytes allows it. More than 64 KB have no effect on a body; see tcpbuffer.Set.
	LargeBytes int
	// Backlog bounds the connections that wait to be accepted.
	Backlog int
}

// ClientSockets are the bounds for clients that nobody controls. The receive buffer holds what a client sends before it waits for the
// first acknowledgement, ten segments; a large body or response passes at 64 KB a round trip, 10 MB/s at 6 ms. While a process stands
// still, the connections that wait to be accepted hold 4 MB.
var ClientSockets = Sockets{ReceiveBytes: 16 << 10, SendBytes: 16 << 10, LargeBytes: 64 << 10, Backlog: 256}

// ListenTCP opens a listener with such bounds.
func ListenTCP(network, address string, s Sockets) (net.Listener, error) {
	config := net.ListenConfig{Control: tcpbuffer.Control(s.ReceiveBytes, s.SendBytes)}
	// Multipath TCP has buffers of its own.
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), network, address)
	if err != nil || s.Backlog == 0 {
		return l, err
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = tcpbuffer.SetBacklog(raw, s.Backlog)
	}
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

// enlarge gives a connection large buffers until it is closed, if the connections of the process may have more of them. Without, a
// large body or response passes more slowly.
func (c *conn) enlarge() {
	s, b := &c.listener.opt.Sockets, c.listener.budget
	if s.LargeBytes == 0 || c.large.Load() {
		return
	}
	if !b.reserveLarge(c.largeCost()) {
		if !c.refusedLarge.Swap(true) {
			b.recordUsedUp(c.listener)
		}
		return
	}
	if !c.large.CompareAndSwap(false, true) {
		b.releaseLarge(c.largeCost())
		return
	}
	if raw := c.raw(); raw != nil {
		// The call fails if the connection has been closed.
		_ = tcpbuffer.Enlarge(raw, s.LargeBytes, s.LargeBytes)
	}
}

// enlargeForBody calls enlarge if the body of a request is large.
func (c *conn) enlargeForBody() {
	if c.bodyBytes.Load() > int64(c.listener.opt.Sockets.LargeBytes) {
		c.enlarge()
	}
}

// bulkWriteBytes is the size from which a write is part of a response that is written as fast as possible. The events of a stream are
// smaller, and need no large buffers however many there are.
const bulkWriteBytes = 2 << 10

// enlargeForWrite calls enlarge if a response is large.
func (c *conn) enlargeForWrite(n int) {
	if n >= bulkWriteBytes && c.written.Add(int64(n)) > int64(c.listener.opt.Sockets.LargeBytes) {
		c.enlarge()
	}
}

// largeCost is what the large buffers of a connection can hold more than the small ones, in bytes.
func (c *conn) largeCost() int64 {
	s := &c.listener.opt.Sockets
	return int64(2*s.LargeBytes - s.ReceiveBytes - s.SendBytes)
}

// raw returns the socket, or nil if there is none.
func (c *conn) raw() syscall.RawConn {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// shouldEnd reports whether a connection with large buffers should end with its request, so that others can have them.
func (c *conn) shouldEnd() bool {
	b := c.listener.budget
	return c.large.Load() && float64(b.large.Load()) > largeReuseShare*float64(b.opt.MaxLargeBytes) && b.opt.MaxLargeBytes > 0
}

// largeReuseShare is the share of Options.MaxLargeBytes up to which connections with large buffers are kept for further requests.
const largeReuseShare = 0.75

// reserveLarge reports whether the connections of the process may hold n more bytes in large buffers, and reserves them.
func (b *Budget) reserveLarge(n int64) bool {
	if b.large.Add(n) <= b.opt.MaxLargeBytes || b.opt.MaxLargeBytes == 0 {
		return true
	}
	b.large.Add(-n)
	return false
}

func (b *Budget) releaseLarge(n int64) { b.large.Add(-n) }

// recordUsedUp counts a request whose connection stays with small buffers, and logs it at most once in logInterval.
func (b *Budget) recordUsedUp(l *Listener) {
	b.opt.Metrics.Counter("client_large_buffers_refused", "listener", l.opt.Name).Inc(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now(); now-b.buffersLoggedAt >= logInterval {
		b.buffersLoggedAt = now
		event.BuffersUsedUp.Log(context.Background(), b.opt.Logger, slog.String("listener", l.opt.Name),
			slog.Int64("bytes", b.large.Load()), slog.Int64("max_bytes", b.opt.MaxLargeBytes))
	}
}
