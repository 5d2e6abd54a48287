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
