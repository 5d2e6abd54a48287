package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes.
const (
	// inlineBody is the largest body in bytes that is written before the answer is read. It
	// fits into the smallest send buffer, so the write does not wait for the server.
	inlineBody = 4 << 10
	// maxSkipped is the largest answer in bytes that is read to reach the next one.
	maxSkipped = 256 << 10
	// maxSkippedAnswers bounds the answers of earlier requests that are skipped.
	maxSkippedAnswers = 2
)

// Request is a request as it is written to the server.
type Request struct {
	Method string
	// Target is the path and query exactly as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Error is a failed exchange.
type Error struct {
	// Sent is set if any byte of the request may have reached the server.
	Sent  bool
	cause error
}

// Error returns the cause.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer after the request was sent: %v", e.cause)
	}
	return fmt.Sprintf("not connected: %v", e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// errNoAnswer is the cause when only answers of other requests arrive.
var errNoAnswer = errors.New("the connection carries answers of other requests")

// Response is a server's answer. Close must be called; it keeps the connection for the next
// request if the answer was read to its end and nothing followed it.
type Response struct {
	Status int
	Header http.Header
	// Framed is set if the end of the body is marked; otherwise the body ends with the connection.
	Framed bool

	body    io.ReadCloser
	pool    *Pool
	conn    *conn
	stop    func() bool
	written *bodyWriter
	keep    bool
	ended   bool
	once    sync.Once
}

// Read reads the body. io.EOF means that the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// Expect bounds the wait of the next Read. 0 sets no bound.
func (r *Response) Expect(within time.Duration) error {
	var deadline time.Time
	if within > 0 {
		deadline = time.Now().Add(within)
	}
	return r.conn.SetReadDeadline(deadline)
}

// Close ends the exchange.
func (r *Response) Close() {
	r.once.Do(func() {
		active := r.stop()
		if r.ended && r.keep && active && r.written.done() && r.conn.reader.Buffered() == 0 &&
			r.conn.SetDeadline(time.Time{}) == nil {
			r.pool.put(r.conn)
			return
		}
		r.conn.Close()
	})
}

// bodyWriter writes a long body while the answer is read, because a server may answer early.
type bodyWriter struct {
	finished chan struct{}
	err      error
}

func (w *bodyWriter) done() bool {
	if w == nil {
		return true
	}
	select {
	case <-w.finished:
		return w.err == nil
	default:
		return false
	}
}

// Do sends a request once and returns the answer that mine accepts. The end of ctx ends the
// exchange and closes the connection. Errors are of type *Error.
func Do(ctx context.Context, p *Pool, q Request, mine func(http.Header) bool) (*Response, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, &Error{cause: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	fail := func(err error) (*Response, error) {
		stop()
		c.Conn.Close()
		return nil, &Error{Sent: true, cause: err}
	}
	writer, err := send(c, q)
	if err != nil {
		return fail(err)
	}
	skipped := 0
	for {
		answer, err := readAnswer(c, q.Method)
		if err != nil {
			return fail(err)
		}
		if mine(answer.Header) {
			return &Response{
				Status: answer.StatusCode, Header: answer.Header, body: answer.Body, pool: p, conn: c, stop: stop,
				Framed:  answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0,
				written: writer, keep: !answer.Close && answer.ProtoAtLeast(1, 1) && skipped == 0 && c.noteIdle(answer.Header),
			}, nil
		}
		if skipped++; skipped > maxSkippedAnswers {
			return fail(errNoAnswer)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxSkipped))
		if err != nil {
			return fail(err)
		}
		if n == maxSkipped || answer.Close {
			return fail(errNoAnswer)
		}
	}
}

// noteIdle takes over the idle timeout that the server states. It reports whether the connection
// may be kept at all.
func (c *conn) noteIdle(h http.Header) bool {
	c.idleTimeout = idleUnstated
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = min(time.Duration(seconds)*time.Second-idleMargin, idleLongest)
		}
	}
	return c.idleTimeout > 0
}

// send writes the request. A long body is written beside the reading of the answer.
func send(c *conn, q Request) (*bodyWriter, error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(q.Body), inlineBody))
	b.WriteString(q.Method)
	b.WriteByte(' ')
	b.WriteString(q.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(q.Host)
	b.WriteString("\r\n")
	for name, values := range q.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead && q.Method != http.MethodDelete {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(q.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(q.Body) <= inlineBody {
		b.Write(q.Body)
		_, err := c.Write(b.Bytes())
		return nil, err
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	w := &bodyWriter{finished: make(chan struct{})}
	go func() {
		defer close(w.finished)
		_, w.err = c.Write(q.Body)
	}()
	return w, nil
}

// readAnswer reads the next final answer's header.
func readAnswer(c *conn, method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= 200 || answer.StatusCode == http.StatusSwitchingProtocols {
			return answer, nil
		}
	}
}
