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
	// maxInlineBodyBytes is the largest body in bytes that is written before the answer is read. It
	// fits into the smallest send buffer, so the write does not wait for the server.
	maxInlineBodyBytes = 4 << 10
	// maxSkippedBytes is the largest answer in bytes that is read to reach the next one.
	maxSkippedBytes = 256 << 10
	// maxSkippedResponses bounds the answers of earlier requests that are skipped.
	maxSkippedResponses = 2
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

// errForeignResponses is the cause when only answers of other requests arrive.
var errForeignResponses = errors.New("the connection carries answers of other requests")

// Response is a server's answer. Close must be called; it keeps the connection for the next
// request if the answer was read to its end and nothing followed it.
type Response struct {
	Status int
	Header http.Header
	// Framed is set if the end of the body is marked; otherwise the body ends with the connection.
	Framed bool

	body         io.ReadCloser
	pool         *Pool
	conn         *conn
	stopWatching func() bool
	bodyWriter   *bodyWriter
	reusable     bool
	bodyRead     bool
	once         sync.Once
}

// Read reads the body. io.EOF means that the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.bodyRead = true
	}
	return n, err
}

// SetReadTimeout bounds the wait of the next Read. 0 sets no bound.
func (r *Response) SetReadTimeout(timeout time.Duration) error {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	return r.conn.SetReadDeadline(deadline)
}

// Close ends the exchange.
func (r *Response) Close() {
	r.once.Do(func() {
		active := r.stopWatching()
		if r.bodyRead && r.reusable && active && r.bodyWriter.done() && r.conn.reader.Buffered() == 0 &&
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
func Do(ctx context.Context, p *Pool, req Request, accept func(http.Header) bool) (*Response, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, &Error{cause: err}
	}
	stopWatching := context.AfterFunc(ctx, func() { c.Conn.Close() })
	fail := func(err error) (*Response, error) {
		stopWatching()
		c.Conn.Close()
		return nil, &Error{Sent: true, cause: err}
	}
	writer, err := writeRequest(c, req)
	if err != nil {
		return fail(err)
	}
	skipped := 0
	for {
		response, err := readResponse(c, req.Method)
		if err != nil {
			return fail(err)
		}
		if accept(response.Header) {
			return &Response{
				Status: response.StatusCode, Header: response.Header, body: response.Body, pool: p, conn: c, stopWatching: stopWatching,
				Framed:     response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
				bodyWriter: writer, reusable: !response.Close && response.ProtoAtLeast(1, 1) && skipped == 0 && c.setIdleTimeout(response.Header),
			}, nil
		}
		if skipped++; skipped > maxSkippedResponses {
			return fail(errForeignResponses)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err != nil {
			return fail(err)
		}
		if n == maxSkippedBytes || response.Close {
			return fail(errForeignResponses)
		}
	}
}

// setIdleTimeout takes over the idle timeout that the server states. It reports whether the connection
// may be kept at all.
func (c *conn) setIdleTimeout(h http.Header) bool {
	c.idleTimeout = defaultIdleTimeout
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = min(time.Duration(seconds)*time.Second-idleMargin, maxIdleTimeout)
		}
	}
	return c.idleTimeout > 0
}

// writeRequest writes the request. A long body is written beside the reading of the answer.
func writeRequest(c *conn, req Request) (*bodyWriter, error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(req.Body), maxInlineBodyBytes))
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	for name, values := range req.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead && req.Method != http.MethodDelete {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(req.Body) <= maxInlineBodyBytes {
		b.Write(req.Body)
		_, err := c.Write(b.Bytes())
		return nil, err
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	w := &bodyWriter{finished: make(chan struct{})}
	go func() {
		defer close(w.finished)
		_, w.err = c.Write(req.Body)
	}()
	return w, nil
}

// readResponse reads the next final answer's header.
func readResponse(c *conn, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}
