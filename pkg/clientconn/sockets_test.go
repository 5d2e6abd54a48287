package clientconn

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cassiawall.example/cassiawall/pkg/metrics"
)

// serveSockets is serve with ClientSockets and a bound of their large buffers.
func serveSockets(t *testing.T, maxLarge int64, h http.HandlerFunc) (*Budget, string) {
	t.Helper()
	b := New(Options{MaxLargeBytes: maxLarge, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New()})
	inner, err := ListenTCP("tcp4", "127.0.0.1:0", ClientSockets)
	require.NoError(t, err)
	l := b.Listen(inner, ListenerOptions{Sockets: ClientSockets})
	s := &http.Server{Handler: h, ReadHeaderTimeout: testTimeout}
	l.Configure(s)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return b, inner.Addr().String()
}

// Guards against connections that hold much before they are accepted.
func TestWaitingConnectionsHoldLittle(t *testing.T) {
	l, err := ListenTCP("tcp4", "127.0.0.1:0", ClientSockets)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	c := dial(t, l.Addr().String())
	go func() { _, _ = io.WriteString(c, strings.Repeat("b", 1<<20)) }()
	waiting, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = waiting.Close() })
	raw, err := waiting.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	unread := 0
	require.Eventually(t, func() bool {
		before := unread
		err := raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
		return err == nil && unread > 0 && unread == before
	}, testTimeout, testTimeout/100)
	assert.LessOrEqual(t, unread, 2*ClientSockets.ReceiveBytes)
}

// Guards against a large body that stays slow, and against large buffers that are not returned at the end of their connection.
func TestLargeBodiesGetLargeBuffers(t *testing.T) {
	b, address := serveSockets(t, 0, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	for _, framing := range []string{"Content-Length: 1048576\r\n\r\n" + largeBody, "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + largeBody + "\r\n0\r\n\r\n"} {
		c := dial(t, address)
		send(t, c, "POST / HTTP/1.1\r\nHost: h\r\n"+framing)
		assert.Equal(t, http.StatusOK, status(t, bufio.NewReader(c)))
		assert.Positive(t, b.large.Load())
		require.NoError(t, c.Close())
		assert.Eventually(t, func() bool { return b.large.Load() == 0 }, testTimeout, testTimeout/1000)
	}
}

var largeBody = strings.Repeat("b", 1<<20)

// largeRequest has a body of a known length.
var largeRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n" + largeBody

// Guards against a large response that stays slow.
func TestLargeResponsesGetLargeBuffers(t *testing.T) {
	b, address := serveSockets(t, 0, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, largeBody) })
	c := dial(t, address)
	send(t, c, request)
	assert.Equal(t, http.StatusOK, status(t, bufio.NewReader(c)))
	assert.Positive(t, b.large.Load())
}

// Guards against ordinary bodies and long streams that take the large buffers.
func TestOrdinaryRequestsKeepSmallBuffers(t *testing.T) {
	b, address := serveSockets(t, 0, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for range 100 {
			_, _ = io.WriteString(w, largeBody[:1<<10])
			w.(http.Flusher).Flush()
		}
	})
	c := dial(t, address)
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n"+largeBody[:64<<10])
	assert.Equal(t, http.StatusOK, status(t, bufio.NewReader(c)))
	assert.Zero(t, b.large.Load())
}

// Guards against large buffers without a bound, and against a body that is refused for lack of them.
func TestLargeBuffersAreBounded(t *testing.T) {
	b, address := serveSockets(t, 1, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	c := dial(t, address)
	send(t, c, largeRequest)
	assert.Equal(t, http.StatusOK, status(t, bufio.NewReader(c)))
	assert.Zero(t, b.large.Load())
	assert.EqualValues(t, 1, b.opt.Metrics.Counter("client_large_buffers_refused", "listener", "").Count())
}

// Guards against clients that keep all large buffers for themselves while their connections are idle.
func TestScarceLargeBuffersAreReturned(t *testing.T) {
	one := int64(2*ClientSockets.LargeBytes - ClientSockets.ReceiveBytes - ClientSockets.SendBytes)
	var b *Budget
	var used atomic.Int64
	b, address := serveSockets(t, one, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		used.Store(b.large.Load())
	})
	for range 2 {
		c := dial(t, address)
		send(t, c, largeRequest)
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.True(t, resp.Close)
		assert.Equal(t, one, used.Load(), "this connection has got them")
		require.NoError(t, c.Close())
		require.Eventually(t, func() bool { return b.large.Load() == 0 }, testTimeout, testTimeout/1000)
	}
}
