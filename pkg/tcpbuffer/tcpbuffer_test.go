package tcpbuffer

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// pair returns a connection whose buffers are bounded from its first packet on, and its client.
func pair(t *testing.T, receive, send int) (server, client *net.TCPConn) {
	t.Helper()
	config := net.ListenConfig{Control: Control(receive, send)}
	config.SetMultipathTCP(false)
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	s, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// queued returns the bytes in the receive queue (SIOCINQ) or the send queue (SIOCOUTQ) of a connection.
func queued(t *testing.T, c *net.TCPConn, queue uint) (n int) {
	t.Helper()
	require.NoError(t, control(rawConn(t, c), func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, queue)
		return err
	}))
	return n
}

func rawConn(t *testing.T, c *net.TCPConn) syscall.RawConn {
	t.Helper()
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	return raw
}

// fill writes until the connection takes nothing for a while.
func fill(t *testing.T, c *net.TCPConn) {
	t.Helper()
	block := make([]byte, 64<<10)
	for {
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		if _, err := c.Write(block); err != nil {
			require.True(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
			return
		}
	}
}

// Guards against buffers that grow for a peer that sends faster than the process reads, and against ones that stay small.
func TestUnreadBytesAreBounded(t *testing.T) {
	const small, large = 8 << 10, 64 << 10
	server, client := pair(t, small, small)
	fill(t, client)
	unread := queued(t, server, unix.SIOCINQ)
	assert.Positive(t, unread)
	assert.LessOrEqual(t, unread, 2*small)

	require.NoError(t, Enlarge(rawConn(t, server), large, large))
	buffer := make([]byte, 4<<10)
	for range 2 * large / len(buffer) {
		_, err := server.Read(buffer)
		require.NoError(t, err)
	}
	fill(t, client)
	unread = queued(t, server, unix.SIOCINQ)
	assert.Greater(t, unread, 2*small)
	assert.LessOrEqual(t, unread, 2*large)
}

// Guards against buffers that grow for a peer that does not read.
func TestUnsentBytesAreBounded(t *testing.T) {
	const small = 16 << 10
	server, _ := pair(t, small, small)
	fill(t, server)
	unsent := queued(t, server, unix.SIOCOUTQ)
	assert.Positive(t, unsent)
	assert.LessOrEqual(t, unsent, 4*small)
}
