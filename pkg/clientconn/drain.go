package clientconn

import (
	"time"

	"cassiawall.example/cassiawall/pkg/tcpbuffer"
	"cassiawall.example/cassiawall/pkg/tcpstate"
)

// A connection that is closed before its client has received the response stays with the system, which keeps trying for minutes and
// counts it for no process. So it stays open and charged meanwhile, as long as the client receives something.

const (
	// drainInterval is the time between looks at what the client has not received.
	drainInterval = 100 * time.Millisecond
	// defaultDrainStall is the time without progress after which the rest is discarded.
	defaultDrainStall = 5 * time.Second
)

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.draining.Load() {
		return nil
	}
	if unsent := c.unsent(); unsent > 0 && c.phase.Load() != phaseHijacked {
		c.draining.Store(true)
		// The client sees the end of the response. An error means that it has disconnected.
		_ = c.CloseWrite()
		go c.drain(unsent)
		return nil
	}
	return c.release()
}

// release ends the charge of the connection and closes it.
func (c *conn) release() error {
	b := c.listener.budget
	b.mu.Lock()
	b.removeLocked(c)
	b.mu.Unlock()
	return c.Conn.Close()
}

// drain closes the connection once the client has received what was written, or has received nothing for some time.
func (c *conn) drain(unsent int) {
	b := c.listener.budget
	c.settle()
	c.enter(phaseRun)
	progressAt := b.now()
	// To the budget, the client is one that does not read its response.
	c.writeAt.Store(int64(progressAt))
	fits := c.charge(int64(c.listener.opt.Sockets.SendBytes))
	for fits && unsent > 0 && b.now()-progressAt < b.drainStall {
		time.Sleep(drainInterval)
		if left := c.unsent(); left < unsent {
			unsent, progressAt = left, b.now()
			c.writeAt.Store(int64(progressAt))
		}
	}
	if unsent > 0 {
		b.record(c.listener, reasonUnread)
		_ = c.SetLinger(0)
	}
	// The budget may have closed the connection.
	_ = c.release()
}

// unsent returns the bytes that are written and not acknowledged, or 0 if that is not known or the connection is closed.
func (c *conn) unsent() int {
	raw := c.raw()
	if raw == nil {
		return 0
	}
	n, err := tcpbuffer.Unsent(raw)
	// The count of a connection that was reset stays.
	if err != nil || n > 0 && tcpstate.WasReset(raw) {
		return 0
	}
	return n
}
