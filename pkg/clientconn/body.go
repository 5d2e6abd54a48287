package clientconn

import (
	"errors"
	"io"
)

// ErrMemory is returned for the body of a request that does not fit into the memory of the process's connections. The request
// has not run.
var ErrMemory = errors.New("the connections of this node hold too much memory")

// body is the body of a request. It reports its end and, if they are charged, its bytes.
type body struct {
	io.ReadCloser
	conn          *conn
	unknownLength bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.unknownLength {
		b.conn.bodyBytes.Add(int64(n))
		b.conn.enlargeForBody()
	}
	if b.conn.listener.opt.ChargeBodies && !b.conn.charge(2*int64(n)) {
		return n, ErrMemory
	}
	if err == io.EOF && b.conn.phase.CompareAndSwap(phaseBody, phaseRun) {
		b.conn.since.Store(int64(b.conn.listener.budget.now()))
	}
	return n, err
}

// multiplexedBody is the body of one of the requests on an HTTP/2 connection. It charges its bytes until the request ends.
type multiplexedBody struct {
	io.ReadCloser
	conn    *conn
	charged int64
}

// Read implements io.Reader.
func (b *multiplexedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	cost := 2 * int64(n)
	b.charged += cost
	if !b.conn.charge(cost) {
		return n, ErrMemory
	}
	return n, err
}

func (b *multiplexedBody) release() { b.conn.charge(-b.charged) }
