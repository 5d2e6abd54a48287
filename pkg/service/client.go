// Package service routes calls of plain services (HTTP services beside the engines) to their backend
// servers. Calls of routes that are marked non-idempotent are claimed first and sent at most once;
// other calls may be retried where a second execution does no harm.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"cassiawall.example/cassiawall/pkg/defaults"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/tcpbuffer"
)

// Connection limits of a Client.
const (
	dialTimeout            = time.Second
	idleConnTimeout        = 30 * time.Second
	maxIdleConnsPerBackend = 16
)

// Request is a request to a backend server. Its body is held in memory so that it can be retried.
type Request struct {
	Method string
	// Target is the path with the query, as in "/book?slot=3".
	Target string
	Header http.Header
	Body   []byte
}

// Client is the HTTP client for backend servers. A response whose status HTTP does not define is an error, and a body without
// length or chunks is truncated unless its end shows that it is complete. Errors are of kind fault.BackendUnavailable
// with fault.NotRun if no byte was sent, else of kind fault.BackendFailed with fault.Unknown. It is
// safe for concurrent use.
type Client struct {
	pooled http.RoundTripper
	dialer net.Dialer
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	c := &Client{dialer: net.Dialer{
		Timeout: dialTimeout, Control: tcpbuffer.Control(defaults.BackendReceiveBytes, defaults.BackendSendBytes),
	}}
	c.pooled = &http.Transport{
		DialContext:         c.dialPooled,
		MaxIdleConnsPerHost: maxIdleConnsPerBackend,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: defaults.MaxResponseHeadBytes,
	}
	return c
}

// Probe checks that a backend server accepts TCP connections.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	return conn.Close()
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.BackendUnavailable, "backend server is unreachable")
	}
	return conn, nil
}

// pooledConn is a connection that carries no further request once retired is set.
type pooledConn struct {
	net.Conn
	retired atomic.Bool
}

// Write implements net.Conn. The transport sends a request again on another connection if nothing of it was written.
func (c *pooledConn) Write(p []byte) (int, error) {
	if c.retired.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *Client) dialPooled(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &pooledConn{Conn: endCheckedConn{conn}}, nil
}

// Send sends an idempotent request over a pooled connection. The transport may send it again if
// the backend server closes that connection. A connection is not used again after a refusal: responses
// repeat no ID, so a second copy of the refusal would count as the response to the next request.
func (c *Client) Send(ctx context.Context, address string, request *Request) (*http.Response, error) {
	var used atomic.Pointer[pooledConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ := info.Conn.(*pooledConn)
		used.Store(conn)
	}}
	req, err := newHTTPRequest(httptrace.WithClientTrace(ctx, trace), address, request)
	if err != nil {
		return nil, err
	}
	response, err := roundTrip(c.pooled, req)
	if conn := used.Load(); err == nil && conn != nil && isRefusalStatus(response.StatusCode) {
		conn.retired.Store(true)
	}
	return response, err
}

// SendOnce sends a request at most once over a new connection. It calls beforeSend after it has
// connected and before it sends the first byte. If beforeSend returns an error, SendOnce returns
// that error and sends nothing.
//
// It does not use pooled connections, because net/http sends requests with an Idempotency-Key
// header again when a pooled connection breaks. Like Send, it does not follow redirects, which
// would send the request again.
func (c *Client) SendOnce(ctx context.Context, address string, request *Request, beforeSend func() error) (*http.Response, error) {
	req, err := newHTTPRequest(ctx, address, request)
	if err != nil {
		return nil, err
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := beforeSend(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	dialled := false
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: defaults.MaxResponseHeadBytes,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if dialled {
				return nil, fault.New(fault.Internal, "transport opened a second connection for a request that may be sent only once")
			}
			dialled = true
			return endCheckedConn{conn}, nil
		},
	}
	return roundTrip(transport, req)
}

func newHTTPRequest(ctx context.Context, address string, request *Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Target, bytes.NewReader(request.Body))
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "request cannot be passed on")
	}
	req.Header = request.Header.Clone()
	return req, nil
}

// roundTrip sends req. A failed dial proves that nothing was sent only if no headers were written
// before: the transport also dials to send a request again whose pooled connection broke.
func roundTrip(t http.RoundTripper, req *http.Request) (*http.Response, error) {
	var written atomic.Bool
	up := newUpload()
	trace := up.trace()
	trace.WroteHeaders = func() { written.Store(true) }
	response, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return checkResponse(response, up)
	}
	if isDialError(err) && !written.Load() {
		return nil, fault.Wrap(err, fault.BackendUnavailable, "backend server is unreachable")
	}
	return nil, fault.Wrap(err, fault.BackendFailed, "backend server did not answer").WithWork(fault.Unknown)
}

// readBounded reads a body of at most limit bytes. complete is false if it is longer or truncated.
func readBounded(body io.Reader, limit int64) (content []byte, complete bool) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	return content, err == nil && int64(len(content)) <= limit
}
