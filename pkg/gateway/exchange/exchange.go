package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxInlineBodyBytes is the size up to which a body is written before the response is read. It
	// fits into the smallest send buffer, so the write does not block on the server.
	maxInlineBodyBytes = 4 << 10
	// maxSkippedBytes limits the body of a response that is skipped.
	maxSkippedBytes = 256 << 10
	// maxSkippedResponses limits the responses to earlier requests that are skipped.
	maxSkippedResponses = 2
	// MaxHeadBytes limits the status line and the headers of a response. A faulty server may send bytes
	// without end.
	MaxHeadBytes = 64 << 10
	// startGrace is the time for the first bytes of a response that began before the end of Request.StartDeadline.
	startGrace = 5 * time.Millisecond
	// maxInformational limits the informational responses (1xx) before a response.
	maxInformational = 8
)

// Body is the body of a request. Its parts are as they were read, because a copy to join them would take as much memory again.
type Body [][]byte

// Len returns the length in bytes.
func (b Body) Len() int {
	n := 0
	for _, part := range b {
		n += len(part)
	}
	return n
}

// Request is a request to a server. Its fields are written as they are.
type Request struct {
	// ID identifies the request among those to the server; see Response.MarkRefused.
	ID     string
	Method string
	// Target is the request target: the path and query exactly as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   Body
	// LastSend is set if nobody may send the request again once it is sent. Do then waits for the response until the end
	// of its context, also if the server's host acknowledges nothing.
	LastSend bool
	// StartDeadline, unless nil, ends the wait for a response that has not begun. A response whose first bytes have arrived by
	// then, or do so within startGrace, goes on.
	StartDeadline context.Context
	// BeforeWrite, unless nil, is called once the connection is open. If it fails, nothing is sent.
	BeforeWrite func() error
	// OnSilentHost is called if the host has not acknowledged the request for about a second, and may be called again. It
	// may be nil.
	OnSilentHost func()
}

// Error is returned by Do if there is no response.
type Error struct {
	// Sent is set if any byte of the request may have reached the server. Without it, the connection
	// could not be opened.
	Sent bool
	// Ended is the cause of the end of Do's context or, if that has not ended, of Request.StartDeadline. It is nil if neither
	// has. The cause that Unwrap returns is then only that the connection was closed.
	Ended error
	cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no response after the request was sent: %v", e.cause)
	}
	return fmt.Sprintf("cannot connect: %v", e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// errForeignResponses is the cause of an Error if only responses to other requests were received.
var errForeignResponses = errors.New("connection returned only responses to other requests")

// Response is a server's response. Read returns its body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Framed is set if the body has a content length or is chunked. Otherwise it ends when the connection is closed. It then
	// counts as truncated if the connection was reset or ended before the request was written. If its server closes the
	// connection as after a complete body, a truncated body cannot be detected.
	Framed bool

	requestID string
	body      io.ReadCloser
	pool      *Pool
	conn      *conn
	// stopWatching cancels the closing of the connection at the end of the context. It returns false
	// if the context has already ended.
	stopWatching func() bool
	// bodyWriter is nil if the request body was written before the response was read.
	bodyWriter *bodyWriter
	// reusable is set if the connection may be reused after this response.
	reusable bool
	// bodyRead is set once the body was read to its end.
	bodyRead bool
	once     sync.Once
}

// Read reads the body. io.EOF means that the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF && !r.Framed && !r.bodyRead && r.body != http.NoBody {
		err = r.checkUnframedEnd()
	}
	if err == io.EOF {
		r.bodyRead = true
	}
	return n, err
}

// SetReadTimeout limits the time that the following calls of Read wait, counted from now. Then onTimeout is called:
// it returns the time until its next call, or the error with which Read fails.
func (r *Response) SetReadTimeout(timeout time.Duration, onTimeout func() (next time.Duration, err error)) error {
	r.conn.limit.onTimeout = func() error {
		next, err := onTimeout()
		if err != nil {
			return err
		}
		return r.conn.SetReadDeadline(time.Now().Add(next))
	}
	return r.conn.SetReadDeadline(time.Now().Add(timeout))
}

// MarkRefused records that the server has refused the request, so that the request is not sent again on the same
// connection: a second copy of the refusal would seem to answer it.
func (r *Response) MarkRefused() {
	r.conn.refused = append(r.conn.refused, r.requestID)
	if len(r.conn.refused) >= maxRefusals {
		r.reusable = false
	}
}

// Close returns the connection to the pool if the request was written, the response was read to its end,
// no data followed it and both sides allow the reuse. Otherwise it closes the connection.
func (r *Response) Close() {
	r.once.Do(func() {
		active := r.stopWatching()
		r.conn.userTimeout.stop()
		r.conn.limit.onTimeout = nil
		if r.bodyRead && r.reusable && active && r.bodyWriter.done() && r.conn.reader.Buffered() == 0 &&
			r.conn.SetDeadline(time.Time{}) == nil {
			r.pool.put(r.conn)
			return
		}
		r.conn.Close()
	})
}

// bodyWriter is the state of a goroutine that writes a large body while the response is read, because a
// server may respond before it has read the whole body.
type bodyWriter struct {
	// finished is closed when the write has ended with err.
	finished chan struct{}
	err      error
}

// done reports whether the whole body was written.
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

// Do sends a request once and returns the first response whose header accept approves. Responses before it
// are skipped, because a server may respond twice to an earlier request. The end of ctx closes the
// connection. Errors are of type *Error.
func Do(ctx context.Context, p *Pool, req Request, accept func(http.Header) bool) (*Response, error) {
	c, err := p.get(ctx, req.ID)
	if err != nil {
		return nil, &Error{Ended: req.ended(ctx), cause: err}
	}
	if req.BeforeWrite != nil {
		if err := req.BeforeWrite(); err != nil {
			c.Conn.Close()
			return nil, &Error{cause: err}
		}
	}
	stopWatching := context.AfterFunc(ctx, func() { c.Conn.Close() })
	fail := func(err error) (*Response, error) {
		stopWatching()
		c.userTimeout.stop()
		c.Conn.Close()
		return nil, &Error{Sent: true, Ended: req.ended(ctx), cause: err}
	}
	c.limit.begun.Store(false)
	if req.StartDeadline != nil {
		defer context.AfterFunc(req.StartDeadline, func() {
			// Bytes may wait in the socket if the process got no processor time.
			time.Sleep(startGrace)
			if !c.limit.begun.Load() {
				c.Conn.Close()
			}
		})()
	}
	if err := c.userTimeout.start(req); err != nil {
		return fail(err)
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
				Framed:    response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
				requestID: req.ID, bodyWriter: writer, reusable: !response.Close && response.ProtoAtLeast(1, 1) && skipped == 0 && c.setIdleTimeout(response.Header),
			}, nil
		}
		// No response can follow one after which the server closes the connection.
		if skipped++; skipped > maxSkippedResponses || response.Close {
			return fail(errForeignResponses)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err != nil {
			return fail(err)
		}
		if n == maxSkippedBytes {
			return fail(errForeignResponses)
		}
		// Its bytes were no sign of the request's own response.
		c.limit.begun.Store(false)
		if req.StartDeadline != nil && req.StartDeadline.Err() != nil {
			return fail(context.Cause(req.StartDeadline))
		}
	}
}

// ended returns the Error.Ended of a request that was sent with ctx. A context that is derived from ctx may end a moment
// after it, so that ctx counts first.
func (req *Request) ended(ctx context.Context) error {
	if ctx.Err() == nil && req.StartDeadline != nil {
		ctx = req.StartDeadline
	}
	return context.Cause(ctx)
}

// setIdleTimeout sets the idle timeout from the server's Keep-Alive header. It reports whether the
// connection may be reused at all.
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

// writeRequest writes the request. A body over maxInlineBodyBytes is written by a goroutine, whose
// bodyWriter is returned; otherwise the bodyWriter is nil.
func writeRequest(c *conn, req Request) (*bodyWriter, error) {
	var b bytes.Buffer
	bodyBytes := req.Body.Len()
	b.Grow(1024 + min(bodyBytes, maxInlineBodyBytes))
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
	if bodyBytes > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead && req.Method != http.MethodDelete {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(bodyBytes))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if bodyBytes <= maxInlineBodyBytes {
		for _, part := range req.Body {
			b.Write(part)
		}
		_, err := c.Write(b.Bytes())
		return nil, err
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	w := &bodyWriter{finished: make(chan struct{})}
	go func() {
		defer close(w.finished)
		for _, part := range req.Body {
			if _, w.err = c.Write(part); w.err != nil {
				return
			}
		}
	}()
	return w, nil
}

// Causes of an Error after a response that breaks a limit.
var (
	errHeadTooLong          = fmt.Errorf("the head of the response is longer than %d bytes", MaxHeadBytes)
	errTooManyInformational = fmt.Errorf("more than %d informational responses", maxInformational)
)

// readResponse reads the header of the next response. Informational responses other than 101 are skipped.
func readResponse(c *conn, method string) (*http.Response, error) {
	defer func() { c.limit.left = math.MaxInt64 }()
	for range maxInformational + 1 {
		c.limit.left = MaxHeadBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := checkStatus(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, errTooManyInformational
}
