package clientconn

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// closingRequest ends its connection.
const closingRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

// dialWithSmallBuffer connects a client whose system takes little of a response that it does not read.
func dialWithSmallBuffer(t *testing.T, address string) net.Conn {
	t.Helper()
	c := dial(t, address)
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	return c
}

// Guards against closed connections whose responses are not read, which the system keeps for minutes and nothing bounds.
func TestUnreadResponseOfClosedConnectionIsChargedAndThenDiscarded(t *testing.T) {
	b, address := serveSockets(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, largeBody[:ClientSockets.SendBytes])
	})
	b.drainStall = time.Second
	c := dialWithSmallBuffer(t, address)
	send(t, c, closingRequest)
	unread := b.opt.Metrics.Counter("client_connections_closed", "listener", "", "reason", reasonUnread)
	require.Eventually(t, func() bool { return unread.Count() == 1 }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return b.Used() == 0 }, testTimeout, time.Millisecond)
	_, err := io.Copy(io.Discard, c)
	assert.Error(t, err, "the connection was reset")
}

// Guards against connections that stay open although their client is gone.
func TestClosedConnectionOfGoneClientIsNotKept(t *testing.T) {
	b, address := serveSockets(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, largeBody[:ClientSockets.SendBytes])
	})
	b.drainStall = 2 * testTimeout
	c := dialWithSmallBuffer(t, address)
	send(t, c, closingRequest)
	_, err := io.ReadFull(c, make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	assert.Eventually(t, func() bool { return b.Used() == 0 }, testTimeout, time.Millisecond)
}

// Guards against a slow reader that loses the end of its response.
func TestSlowReaderGetsTheWholeResponse(t *testing.T) {
	b, address := serveSockets(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, largeBody[:ClientSockets.SendBytes])
	})
	c := dialWithSmallBuffer(t, address)
	send(t, c, closingRequest)
	buffer, total := make([]byte, 1<<10), 0
	for {
		n, err := c.Read(buffer)
		total += n
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
			break
		}
		time.Sleep(drainInterval)
	}
	assert.Greater(t, total, ClientSockets.SendBytes)
	assert.Eventually(t, func() bool { return b.Used() == 0 }, testTimeout, time.Millisecond)
}
