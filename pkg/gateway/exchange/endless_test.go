package exchange

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeUntilClosed writes the bytes that next returns until the connection is closed. It counts them in written.
func writeUntilClosed(c net.Conn, written *atomic.Int64, next func(i int) string) {
	for i := 0; ; i++ {
		n, err := fmt.Fprint(c, next(i))
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Guards against a node that runs out of memory, or waits until the timeout, because a faulty server sends bytes
// without end in the head of its response.
func TestEndlessHeadIsRefused(t *testing.T) {
	block := string(make([]byte, 4096))
	tests := map[string]func(i int) string{
		"status line": func(int) string { return block },
		"one header":  func(i int) string { return map[bool]string{true: "HTTP/1.1 200 OK\r\nA: "}[i == 0] + block },
		"many headers": func(i int) string {
			return map[bool]string{true: "HTTP/1.1 200 OK\r\n"}[i == 0] + fmt.Sprintf("H%d: x\r\n", i)
		},
		"informational responses": func(int) string { return "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" },
	}
	for name, next := range tests {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			ended := make(chan struct{})
			address := startServer(t, func(c net.Conn, r *bufio.Reader) {
				defer close(ended)
				if _, ok := readRequest(r); ok {
					writeUntilClosed(c, &written, next)
				}
			})
			began := time.Now()
			_, err := post(t, NewPool(address), "1")
			var failure *Error
			require.ErrorAs(t, err, &failure)
			assert.True(t, failure.Sent)
			assert.Less(t, time.Since(began), 2*time.Second)
			<-ended
			// Socket buffers take some megabytes beyond what the node has read.
			assert.Less(t, written.Load(), int64(16<<20))
		})
	}
}

// Guards against a limit of the head that applies to the body as well.
func TestLongBodyIsNotLimited(t *testing.T) {
	const size = 4 * MaxHeadBytes
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, ok := readRequest(r); !ok {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n", size)
			_, _ = c.Write(make([]byte, size))
		}
	})
	pool := NewPool(address)
	for range 2 {
		response, err := post(t, pool, "1")
		require.NoError(t, err)
		buffer, read := make([]byte, 8192), 0
		for {
			n, err := response.Read(buffer)
			read += n
			if err != nil {
				break
			}
		}
		response.Close()
		assert.Equal(t, size, read)
	}
	assert.Equal(t, 1, pool.Dialed())
}
