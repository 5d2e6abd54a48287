package clientconn

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"
)

// ListenerOptions are the bounds of one listener.
type ListenerOptions struct {
	// Name is the listener's name in log lines and metrics.
	Name string
	// MaxConns bounds the open connections; 0 for no bound.
	MaxConns int
	// MaxHeadBytes bounds the bytes of a head, and MaxFields its lines; 0 for no bound. They have no effect with TLS, where the
	// server's limit applies.
	MaxHeadBytes, MaxFields int
	// HeadTimeout bounds the time to read a head, as the server's ReadHeaderTimeout.
	HeadTimeout time.Duration
	// TLS is set if the connections are encrypted, so that lines are not visible.
	TLS bool
	// HTTP2 is set if the server accepts HTTP/2 without TLS.
	HTTP2 bool
	// Sockets are the bounds that the listener was opened with.
	Sockets Sockets
	// RunBytes is what a running request holds besides its head and body, in bytes. If it is not 0, requests are refused while
	// the connections of the process hold too much.
	RunBytes int64
	// ChargeBodies is set if the bytes of request bodies are charged, twice, because they are read into buffers that grow.
	ChargeBodies bool
	// Refuse writes the response to a request that is refused for lack of memory and has not run.
	Refuse http.HandlerFunc
}

// Listener is a net.Listener whose connections are charged to a Budget.
type Listener struct {
	net.Listener
	budget *Budget
	opt    ListenerOptions
	// conns are the open connections. Budget.mu guards it.
	conns []*conn
}

func (l *Listener) open() int {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return len(l.conns)
}

// atRest is what a connection holds at rest, in bytes.
func (l *Listener) atRest() int64 { return connBytes + int64(l.opt.Sockets.ReceiveBytes) }

// Accept implements net.Listener. At the bound of connections it closes another one, or the new one if the requests of all
// others run.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		if !l.opt.TLS {
			_ = inner.SetWriteDeadline(time.Now().Add(refuseWriteTimeout))
			// The client may have closed the connection.
			_, _ = io.WriteString(inner, tooManyRuns)
		}
		_ = inner.Close()
	}
}

// admit returns nil if there is no place for a new connection.
func (l *Listener) admit(inner net.Conn) *conn {
	b := l.budget
	c := &conn{Conn: inner, listener: l}
	c.enter(phaseHead)
	c.held.Store(l.atRest())
	b.mu.Lock()
	if l.opt.MaxConns > 0 && len(l.conns) >= l.opt.MaxConns {
		victim := choose([]*Listener{l}, b.now())
		if victim == nil {
			b.recordLocked(l, reasonCount)
			b.mu.Unlock()
			return nil
		}
		b.closeLocked(victim, reasonCount)
	}
	c.index = len(l.conns)
	l.conns = append(l.conns, c)
	b.used.Add(l.atRest())
	b.mu.Unlock()
	if b.exceeded() {
		b.makeRoom(c)
	}
	return c
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Configure makes a server report the phases of its requests. It must be called before Serve, after the handler is set.
func (l *Listener) Configure(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if encrypted, ok := c.(*tls.Conn); ok {
			c = encrypted.NetConn()
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if encrypted, ok := c.(*tls.Conn); ok {
			c = encrypted.NetConn()
		}
		if own, ok := c.(*conn); ok {
			own.change(state)
		}
	}
	s.Handler = &handler{next: s.Handler, listener: l}
}

// change follows the state of a connection. net/http does not read the connection meanwhile, unless it is of HTTP/2.
func (c *conn) change(state http.ConnState) {
	if c.phase.Load() == phaseMultiplexed {
		return
	}
	switch state {
	case http.StateIdle:
		c.settle()
		c.enter(phaseIdle)
		c.charge(int64(c.head.next()) * fieldBytes)
	case http.StateHijacked:
		c.enter(phaseHijacked)
	default:
	}
}

// handler reports the phases of HTTP/1 requests, and refuses those for which there is no memory.
type handler struct {
	next     http.Handler
	listener *Listener
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	switch {
	case !ok:
	case r.ProtoMajor > 1:
		c.multiplex()
		if h.listener.opt.ChargeBodies {
			b := &multiplexedBody{ReadCloser: r.Body, conn: c}
			defer b.release()
			r.Body = b
		}
	default:
		if !c.begin(r) {
			h.listener.budget.record(h.listener, reasonMemory)
			w.Header().Set("Connection", "close")
			h.listener.opt.Refuse(w, r)
			return
		}
		if c.shouldEnd() {
			w.Header().Set("Connection", "close")
		}
	}
	h.next.ServeHTTP(w, r)
}

// begin starts a request whose head is read. It returns false if there is no memory for it.
func (c *conn) begin(r *http.Request) bool {
	if r.Body == nil || r.Body == http.NoBody {
		c.enter(phaseRun)
	} else {
		c.bodyBytes.Store(max(r.ContentLength, 0))
		c.enlargeForBody()
		r.Body = &body{ReadCloser: r.Body, conn: c, unknownLength: r.ContentLength < 0}
		c.enter(phaseBody)
	}
	return c.listener.opt.RunBytes == 0 || c.charge(c.listener.opt.RunBytes)
}
