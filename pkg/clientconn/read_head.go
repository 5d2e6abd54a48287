package clientconn

import (
	"io"
	"time"
)

// partBytes is the initial size of the buffer for a head that does not arrive with the first read, twice the buffer of net/http.
const partBytes = 8 << 10

// readHead handles the first n bytes of p that were read while a head was expected. wasIdle is set for the first bytes of
// another request.
func (c *conn) readHead(p []byte, n int, err error, wasIdle bool) (int, error) {
	opt := &c.listener.opt
	if opt.TLS {
		c.charge(int64(n) * opaqueFactor)
		return n, err
	}
	if opt.HTTP2 && isHTTP2(p[:n]) {
		c.multiplex()
		return n, err
	}
	c.head.add(p[:n])
	// net/http refuses an empty line before a request at once.
	if err == nil && !c.head.done && c.head.lines+c.head.lineBytes > 0 {
		if wasIdle && opt.HeadTimeout > 0 {
			// net/http sets its deadline for the head after the read of the first bytes, and then this one no longer applies.
			_ = c.SetReadDeadline(time.Now().Add(opt.HeadTimeout))
		}
		c.pending, c.pendingErr = c.gather(p[:n])
		if c.pending == nil {
			return 0, c.pendingErr
		}
		n, err = c.readPending(p)
	} else if !c.chargeHead() {
		return 0, c.refuse(noMemory, reasonMemory)
	}
	return n, err
}

// gather reads the rest of a head. The result is nil if the head is refused or the connection closed meanwhile; the error is then
// that of the connection.
func (c *conn) gather(first []byte) ([]byte, error) {
	opt := &c.listener.opt
	buffer := append(make([]byte, 0, partBytes), first...)
	fits := c.charge(partBytes)
	for {
		switch {
		case opt.MaxFields > 0 && c.head.lines > opt.MaxFields, opt.MaxHeadBytes > 0 && !c.head.done && len(buffer) >= opt.MaxHeadBytes:
			return nil, c.refuse(headTooLarge, reasonHead)
		case !fits, c.head.done && !c.chargeHead():
			return nil, c.refuse(noMemory, reasonMemory)
		case c.head.done:
			return buffer, nil
		}
		if len(buffer) == cap(buffer) {
			if fits = c.charge(int64(cap(buffer))); !fits {
				continue
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := c.Conn.Read(buffer[len(buffer):cap(buffer)])
		c.head.add(buffer[len(buffer) : len(buffer)+n])
		buffer = buffer[:len(buffer)+n]
		if err != nil {
			// net/http decides about a head that ends early.
			return buffer, err
		}
	}
}

func (c *conn) readPending(p []byte) (int, error) {
	n := copy(p, c.pending)
	if c.pending = c.pending[n:]; len(c.pending) > 0 {
		return n, nil
	}
	err := c.pendingErr
	c.pending, c.pendingErr = nil, nil
	return n, err
}

// chargeHead charges what net/http allocates for a complete head. It returns false if there is no memory for it.
func (c *conn) chargeHead() bool {
	return c.charge(int64(c.head.bytes)*headFactor+int64(c.head.lines+c.head.following)*fieldBytes) || c.head.lines < smallHeadLines
}

// smallHeadLines is the number of lines up to which a head is read even if there is no memory: the handler refuses its request
// with the reason.
const smallHeadLines = 128

// Responses to requests that are refused before net/http has read their head. They have not run.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\n\r\nnot run: the head of the request is too large or has too many fields\n"
	noMemory = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\n" +
		"Connection: close\r\n\r\nnot run: the connections of clients hold too much memory on this node\n"
	tooManyRuns = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\n" +
		"Connection: close\r\n\r\nnot run: this node has too many running requests\n"
)

const (
	// refuseWriteTimeout bounds the time to write a response to a connection that is closed afterwards.
	refuseWriteTimeout = time.Second
	// refuseReadTimeout bounds the time for which what the client still sends is discarded. If the connection were closed
	// before, the client could get a reset instead of the response. net/http waits as long.
	refuseReadTimeout = 500 * time.Millisecond
)

// refuse writes a response. The error is the one that makes net/http close the connection without another response.
func (c *conn) refuse(response, reason string) error {
	_ = c.SetWriteDeadline(time.Now().Add(refuseWriteTimeout))
	// The client may have closed the connection.
	_, _ = io.WriteString(c.Conn, response)
	c.listener.budget.record(c.listener, reason)
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(refuseReadTimeout))
	var discarded [512]byte
	for {
		if _, err := c.Conn.Read(discarded[:]); err != nil {
			return io.EOF
		}
	}
}
