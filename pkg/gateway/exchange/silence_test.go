package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// dropPackets drops all packets that arrive at a connection, until the returned function is called.
func dropPackets(t *testing.T, c net.Conn) (stop func()) {
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NoError(t, err)
	// The program accepts 0 bytes of each packet.
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	assert.NoError(t, raw.Control(func(fd uintptr) {
		assert.NoError(t, unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]}))
	}))
	return func() {
		assert.NoError(t, raw.Control(func(fd uintptr) {
			assert.NoError(t, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0))
		}))
	}
}

// Guards against a request that is lost because its server is silent for a moment and then goes on: it does not read a large
// body, or its host does not respond to keep-alive probes.
func TestRequestOutlivesASilenceOfItsServer(t *testing.T) {
	const silence = 1600 * time.Millisecond
	tests := map[string]struct {
		bodyBytes int
		serve     func(t *testing.T, c net.Conn, r *bufio.Reader)
	}{
		"large body is not read": {4 << 20, func(_ *testing.T, _ net.Conn, r *bufio.Reader) {
			time.Sleep(silence)
			readRequest(r)
		}},
		"host of a quiet connection": {10, func(t *testing.T, c net.Conn, r *bufio.Reader) {
			readRequest(r)
			time.Sleep(keepAliveIdle / 2)
			stop := dropPackets(t, c)
			time.Sleep(keepAliveIdle/2 + silence)
			stop()
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
				test.serve(t, c, r)
				_, _ = io.WriteString(c, keepAliveHeader+"Id: 1\r\n\r\nok")
				if _, ok := readRequest(r); ok {
					_, _ = io.WriteString(c, keepAliveHeader+"Id: 1\r\n\r\nok")
				}
			}))
			for range 2 {
				response, err := Do(t.Context(), p, Request{Method: http.MethodPost, Target: "/", Host: "h", Body: Body{make([]byte, test.bodyBytes)}}, hasRequestID("1"))
				require.NoError(t, err)
				body, err := io.ReadAll(response)
				require.NoError(t, err)
				assert.Equal(t, "ok", string(body))
				response.Close()
			}
		})
	}
}

// Guards against a dead host that is found only when the request's time is over.
func TestHostWithoutResponseIsFoundSoon(t *testing.T) {
	tests := map[string]struct {
		// readsLast is set if the host dies after it has read the last request.
		readsLast bool
		bound     time.Duration
	}{
		"before the request is acknowledged": {false, 2 * tcpUserTimeout},
		"afterwards":                         {true, keepAliveIdle + (keepAliveCount+1)*keepAliveInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				// The first request waits for so long that its time-outs change.
				time.Sleep(keepAliveIdle + 500*time.Millisecond)
				_, _ = io.WriteString(c, keepAliveHeader+"Id: 1\r\n\r\nok")
				if test.readsLast {
					readRequest(r)
				}
				dropPackets(t, c)
				time.Sleep(2 * test.bound)
			}))
			send := func() (*Response, error) {
				return Do(t.Context(), p, Request{Method: http.MethodPost, Target: "/", Host: "h"}, hasRequestID("1"))
			}
			response, err := send()
			require.NoError(t, err)
			_, _ = io.ReadAll(response)
			response.Close()
			time.Sleep(50 * time.Millisecond)
			started := time.Now()
			_, err = send()
			assert.Error(t, err)
			assert.Less(t, time.Since(started), test.bound)
			assert.Equal(t, 1, p.Dialed())
		})
	}
}

// Guards against a request that is given up because its server's host acknowledges nothing for some seconds, although nobody may
// send it again, and against an idle connection that keeps the longer time-out of such a request.
func TestLastSendOutlivesASilenceOfItsHost(t *testing.T) {
	tests := map[string]struct {
		// readsLast is set if the host falls silent after it has read the last request.
		readsLast bool
		silence   time.Duration
		// told is set if the caller must learn that the host does not acknowledge the request.
		told bool
	}{
		"before the request is acknowledged": {false, 3 * tcpUserTimeout, true},
		"afterwards":                         {true, keepAliveIdle + (keepAliveCount+2)*keepAliveInterval, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, keepAliveHeader+"Id: 1\r\n\r\nok")
				if test.readsLast {
					readRequest(r)
				}
				stop := dropPackets(t, c)
				time.Sleep(test.silence)
				stop()
				if !test.readsLast {
					readRequest(r)
				}
				_, _ = io.WriteString(c, keepAliveHeader+"Id: 1\r\n\r\nok")
				_, _ = readRequest(r)
			}))
			var told atomic.Int64
			for range 2 {
				response, err := Do(t.Context(), p, Request{
					Method: http.MethodPost, Target: "/", Host: "h", LastSend: true, OnSilentHost: func() { told.Add(1) },
				}, hasRequestID("1"))
				require.NoError(t, err)
				body, err := io.ReadAll(response)
				require.NoError(t, err)
				assert.Equal(t, "ok", string(body))
				response.Close()
				assert.Equal(t, tcpUserTimeout, kernelUserTimeout(t, p.idle[0]))
				// The server falls silent.
				time.Sleep(50 * time.Millisecond)
			}
			assert.Equal(t, test.told, told.Load() > 0)
			assert.Equal(t, 1, p.Dialed())
		})
	}
}

// kernelUserTimeout returns the TCP_USER_TIMEOUT of a connection.
func kernelUserTimeout(t *testing.T, c *conn) time.Duration {
	var ms int
	assert.NoError(t, c.rawConn.Control(func(fd uintptr) {
		var err error
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		assert.NoError(t, err)
	}))
	return time.Duration(ms) * time.Millisecond
}
