package exchange

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cassiawall.example/cassiawall/pkg/defaults"
)

// queued returns the bytes in the receive queue (SIOCINQ) or the send queue (SIOCOUTQ) of a connection.
func queued(t *testing.T, raw syscall.RawConn, queue uint) (n int) {
	t.Helper()
	var failed error
	require.NoError(t, raw.Control(func(fd uintptr) { n, failed = unix.IoctlGetInt(int(fd), queue) }))
	require.NoError(t, failed)
	return n
}

// Guards against a response whose client does not read, and a body whose server does not read, of which the system holds several MB.
func TestBuffersOfBackendConnectionsAreBounded(t *testing.T) {
	const total = 16 << 20
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 16777216\r\n\r\n"))
		_, _ = c.Write(make([]byte, total))
		<-t.Context().Done()
	}()
	p := NewPool(l.Addr().String())
	response, err := Do(t.Context(), p, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: Body{make([]byte, total)}},
		func(http.Header) bool { return true })
	require.NoError(t, err)
	defer response.Close()
	// Reading lets the system grow a buffer that is not bounded.
	buffer := make([]byte, 64<<10)
	for read := 0; read < total/2; {
		n, err := response.Read(buffer)
		require.NoError(t, err)
		read += n
	}
	settled := func(queue uint) (n int) {
		require.Eventually(t, func() bool {
			before := n
			n = queued(t, response.conn.rawConn, queue)
			return n > 0 && n == before
		}, 5*time.Second, 50*time.Millisecond)
		return n
	}
	assert.LessOrEqual(t, settled(unix.SIOCINQ), 2*defaults.BackendReceiveBytes)
	assert.LessOrEqual(t, settled(unix.SIOCOUTQ), 4*defaults.BackendSendBytes)
}
