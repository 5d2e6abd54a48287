package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// startServer starts a server that runs script on each connection, and returns its address.
func startServer(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	return rawserver.Serve(t, func(c net.Conn) { script(c, bufio.NewReader(c)) })
}

// readRequest reads one request and returns its body, or false at the end of the connection.
func readRequest(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	body, err := io.ReadAll(req.Body)
	return string(body), err == nil
}

func hasRequestID(id string) func(http.Header) bool {
	return func(h http.Header) bool { return h.Get("Id") == id }
}

func post(t *testing.T, p *Pool, id string) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	req := Request{Method: http.MethodPost, Target: "/x?y=%20", Host: "h", Header: http.Header{"A": {"1", "2"}}, Body: Body{[]byte("body")}}
	return Do(ctx, p, req, hasRequestID(id))
}

const keepAliveHeader = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n"

// Guards against a new connection for each request, and against a response body without its end.
func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			body, ok := readRequest(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, keepAliveHeader+"Id: 1\r\n\r\n"+body[:2])
		}
	}))
	for range 3 {
		response, err := post(t, p, "1")
		require.NoError(t, err)
		body, err := io.ReadAll(response)
		require.NoError(t, err)
		assert.Equal(t, "bo", string(body))
		response.Close()
	}
	assert.Equal(t, 1, p.Dialed())
}

// An engine may respond twice to a request, the second time late. Guards against delivering the second
// response to the next request on the connection.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, keepAliveHeader+"Id: old\r\n\r\nno"+keepAliveHeader+"Id: 2\r\n\r\nok")
		}
	}))
	response, err := post(t, p, "2")
	require.NoError(t, err)
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	assert.Equal(t, "ok", string(body))
	response.Close()
	assert.Empty(t, p.idle, "a connection with a response to another request is not reused")
}

// Guards against reading surplus data after a response as the response to the next request.
func TestConnectionWithSurplusBytesIsNotReused(t *testing.T) {
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, keepAliveHeader+"Id: 1\r\n\r\nok"+keepAliveHeader+"Id: 1\r\n\r\nno")
		}
		_, _ = r.ReadByte()
	}))
	for i := range 2 {
		response, err := post(t, p, "1")
		require.NoError(t, err, "request %d", i)
		body, err := io.ReadAll(response)
		require.NoError(t, err)
		assert.Equal(t, "ok", string(body))
		response.Close()
	}
	assert.Equal(t, 2, p.Dialed())
}

// A request that was sent may have run even if there is no response. Guards against an error that allows
// running it again.
func TestErrorReportsWhetherRequestWasSent(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	refused := closed.Addr().String()
	closed.Close()
	tests := map[string]struct {
		address string
		sent    bool
	}{
		"refused connection": {address: refused},
		"closed after the request": {sent: true, address: startServer(t, func(_ net.Conn, r *bufio.Reader) {
			readRequest(r)
		})},
		"truncated header": {sent: true, address: startServer(t, func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 O")
		})},
		"not HTTP": {sent: true, address: startServer(t, func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
		})},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := post(t, NewPool(test.address), "1")
			var failed *Error
			require.ErrorAs(t, err, &failed)
			assert.Equal(t, test.sent, failed.Sent)
		})
	}
}

// Guards against a truncated response that looks complete.
func TestTruncatedBodyIsAnError(t *testing.T) {
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc")
	}))
	response, err := post(t, p, "1")
	require.NoError(t, err)
	_, err = io.ReadAll(response)
	assert.Error(t, err)
	response.Close()
	assert.Empty(t, p.idle)
}

// Guards against sending a request on a connection that the server has closed: it would be unknown whether
// the request has run, so it could not be retried.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, keepAliveHeader+"Id: 1\r\n\r\nok")
		}
	}))
	for range 2 {
		response, err := post(t, p, "1")
		require.NoError(t, err)
		_, err = io.ReadAll(response)
		require.NoError(t, err)
		response.Close()
		assert.Eventually(t, func() bool { return len(p.idle) == 0 || !p.idle[0].isClean() }, 5*time.Second, time.Millisecond)
	}
	assert.Equal(t, 2, p.Dialed())
}

// A server may respond before it has read the whole body. Guards against reusing such a connection, on
// which the rest of the body would be read as the next request.
func TestEarlyResponseClosesConnection(t *testing.T) {
	release := make(chan struct{})
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, keepAliveHeader+"Id: 1\r\n\r\nok")
		<-release
	}))
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	body := []byte(strings.Repeat("x", 64<<20))
	response, err := Do(ctx, p, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: Body{body}}, hasRequestID("1"))
	require.NoError(t, err)
	read, err := io.ReadAll(response)
	require.NoError(t, err)
	assert.Equal(t, "ok", string(read))
	response.Close()
	assert.Empty(t, p.idle)
}

// Guards against a server that keeps working for a caller whose context has ended.
func TestContextEndClosesConnection(t *testing.T) {
	gone := make(chan struct{})
	p := NewPool(startServer(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(gone)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := Do(ctx, p, Request{Method: http.MethodGet, Target: "/", Host: "h"}, hasRequestID("1"))
	var failed *Error
	require.True(t, errors.As(err, &failed))
	<-gone
}

// Guards against reusing a connection after the idle timeout that the server has sent.
func TestIdleTimeoutFollowsKeepAliveHeader(t *testing.T) {
	tests := map[string]struct {
		header string
		idle   time.Duration
		keep   bool
	}{
		"stated":    {header: "timeout=4, max=100", idle: 4*time.Second - idleMargin, keep: true},
		"unstated":  {idle: defaultIdleTimeout, keep: true},
		"zero":      {header: "timeout=0", idle: -idleMargin},
		"malformed": {header: "timeout=x", idle: defaultIdleTimeout, keep: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &conn{}
			assert.Equal(t, test.keep, c.setIdleTimeout(http.Header{"Keep-Alive": {test.header}}))
			assert.Equal(t, test.idle, c.idleTimeout)
		})
	}
}

// Guards against a connection that is opened in advance and not used, and against one that is kept beyond the server's idle
// timeout because it was asked for in between.
func TestConnectOpensAConnectionOnlyIfThereIsNone(t *testing.T) {
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		for range 2 {
			readRequest(r)
			_, _ = io.WriteString(c, keepAliveHeader+"Id: 1\r\n\r\nok")
		}
		// The connection stays open.
		readRequest(r)
	}))
	require.NoError(t, p.Connect(t.Context(), "1"))
	for range 2 {
		response, err := Do(t.Context(), p, Request{ID: "1", Method: http.MethodPost, Target: "/", Host: "h"}, hasRequestID("1"))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response)
		require.NoError(t, err)
		response.Close()
		idleSince, idleTimeout := p.idle[0].idleSince, p.idle[0].idleTimeout
		require.NoError(t, p.Connect(t.Context(), "1"))
		assert.Equal(t, idleSince, p.idle[0].idleSince)
		assert.Equal(t, idleTimeout, p.idle[0].idleTimeout)
	}
	assert.Equal(t, 1, p.Dialed())
}
