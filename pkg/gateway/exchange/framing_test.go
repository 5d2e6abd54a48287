package exchange

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against waiting for the end of a response to an earlier request, which has no length and ends with its
// connection, so that no other response can follow it.
func TestUnframedForeignResponseFailsAtOnce(t *testing.T) {
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: old\r\n\r\nno")
		}
		// Returns once the client has closed the connection.
		_, _ = r.ReadByte()
	}))
	began := time.Now()
	_, err := post(t, p, "2")
	var failure *Error
	require.ErrorAs(t, err, &failure)
	assert.True(t, failure.Sent)
	assert.ErrorIs(t, err, errForeignResponses)
	assert.Less(t, time.Since(began), 2*time.Second)
}

// Guards against a kept connection whose response ends only with the connection, whatever the server says of keeping it.
func TestConnectionOfUnframedResponseIsNotReused(t *testing.T) {
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\n\r\nok")
		}
	}))
	for range 2 {
		response, err := post(t, p, "1")
		require.NoError(t, err)
		body, err := io.ReadAll(response)
		require.NoError(t, err)
		assert.Equal(t, "ok", string(body))
		assert.False(t, response.Framed)
		response.Close()
		assert.Empty(t, p.idle)
	}
	assert.Equal(t, 2, p.Dialed())
}

// Guards against an unframed body that counts as complete although its connection was reset.
func TestUnframedBodyIsAnErrorUnlessConnectionIsClosed(t *testing.T) {
	for name, broken := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, ok := readRequest(r); !ok {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok")
				<-read
				if broken {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}))
			response, err := post(t, p, "1")
			require.NoError(t, err)
			defer response.Close()
			close(read)
			_, err = io.ReadAll(response)
			assert.Equal(t, broken, err != nil, "%v", err)
		})
	}
}

// Guards against an error that allows running a request again which was sent on a kept connection and got no response.
func TestKeptConnectionClosedAfterRequestIsSentError(t *testing.T) {
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, keepAliveHeader+"Id: 1\r\n\r\nok")
		}
		readRequest(r)
	}))
	response, err := post(t, p, "1")
	require.NoError(t, err)
	_, err = io.ReadAll(response)
	require.NoError(t, err)
	response.Close()
	require.Len(t, p.idle, 1)
	_, err = post(t, p, "1")
	var failure *Error
	require.ErrorAs(t, err, &failure)
	assert.True(t, failure.Sent)
	assert.Equal(t, 1, p.Dialed())
}
