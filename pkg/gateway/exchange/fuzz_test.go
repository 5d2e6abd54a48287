package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// bytesConn is a connection whose server has sent some bytes and then closes it.
type bytesConn struct {
	net.Conn
	data *bytes.Reader
}

func (c bytesConn) Read(p []byte) (int, error)        { return c.data.Read(p) }
func (c bytesConn) Write(p []byte) (int, error)       { return len(p), nil }
func (c bytesConn) Close() error                      { return nil }
func (c bytesConn) SetDeadline(time.Time) error       { return nil }
func (c bytesConn) SetReadDeadline(_ time.Time) error { return nil }

// Guards against a malformed response that crashes a node, takes much more memory than its size, is passed to another
// request, or whose connection is kept although bytes of it are unread.
func FuzzResponse(f *testing.F) {
	for _, response := range []string{
		keepAliveHeader + "Id: 1\r\n\r\nok",
		keepAliveHeader + "Id: old\r\n\r\nno" + keepAliveHeader + "Id: 1\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + keepAliveHeader + "Id: 1\r\n\r\nok" + "surplus",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\nok",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9223372036854775807\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nId: 1\r\n\r\nok", "HTTP/1.1 200 O", "garbage\r\n\r\n", "",
	} {
		f.Add([]byte(response))
	}
	const maxBytesPerByte, maxBaseBytes = 64, 256 << 10
	f.Fuzz(func(t *testing.T, data []byte) {
		p := NewPool("127.0.0.1:1")
		c := newConn(bytesConn{data: bytes.NewReader(data)})
		c.idleTimeout = time.Hour
		p.put(c)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		response, err := Do(context.Background(), p, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}}, hasRequestID("1"))
		var body int64
		if err == nil {
			body, err = io.Copy(io.Discard, response)
			response.Close()
			assert.Equal(t, "1", response.Header.Get("Id"))
		} else {
			var failure *Error
			require.ErrorAs(t, err, &failure)
			assert.True(t, failure.Sent)
		}
		runtime.ReadMemStats(&after)
		require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(maxBaseBytes+maxBytesPerByte*len(data)))
		require.LessOrEqual(t, body, int64(len(data)))
		if len(p.idle) > 0 {
			require.NoError(t, err, "a connection is kept after a failure")
			require.Zero(t, p.idle[0].reader.Buffered(), "a connection is kept that has unread bytes")
		}
	})
}
