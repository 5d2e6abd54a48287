package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// upload sends a request whose body is far larger than the buffers of the sockets.
func upload(t *testing.T, p *Pool) *Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	req := Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: Body{[]byte(strings.Repeat("x", 64<<20))}}
	response, err := Do(ctx, p, req, hasRequestID("1"))
	require.NoError(t, err)
	t.Cleanup(response.Close)
	return response
}

// Guards against a part of a body without length that looks complete: its server answered a long upload at once and ended the
// connection while the upload was still being written. The write that fails at the reset uses up the socket's error, so that
// the read after it returns a regular end.
func TestUnframedBodyDuringAnUploadIsTruncated(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"reset":                      func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"sending side closed":        func(c *net.TCPConn) { _ = c.CloseWrite() },
		"sending side, then a reset": func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0); _ = c.Close() },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			read, ended := make(chan struct{}), make(chan struct{})
			defer close(ended)
			p := NewPool(startServer(t, func(c net.Conn, _ *bufio.Reader) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				<-read
				end(c.(*net.TCPConn))
				<-ended
			}))
			response := upload(t, p)
			close(read)
			if strings.Contains(name, "reset") {
				// The write meets the reset first.
				<-response.bodyWriter.finished
			}
			body, err := io.ReadAll(response)
			assert.Error(t, err)
			assert.Equal(t, "part", string(body))
		})
	}
}

// Guards against a part of a body without length that looks complete, although the connection is reset just after the server has
// closed its sending side.
func TestUnframedBodyIsTruncatedIfAResetFollowsItsEnd(t *testing.T) {
	read, ended := make(chan struct{}), make(chan struct{})
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		defer close(ended)
		if _, ok := readRequest(r); !ok {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		<-read
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}))
	response, err := post(t, p, "1")
	require.NoError(t, err)
	defer response.Close()
	close(read)
	<-ended
	_, err = io.ReadAll(response)
	assert.Error(t, err)
}

// Guards against a chunked body that looks complete although its last chunk or the blank line after it is missing: the body is
// cut after each of its bytes.
func TestChunkedBodyWithoutItsEndIsTruncated(t *testing.T) {
	const chunks = "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"
	cut := 0
	p := NewPool(startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks[:cut])
		}
	}))
	for ; cut <= len(chunks); cut++ {
		response, err := post(t, p, "1")
		require.NoError(t, err)
		_, err = io.ReadAll(response)
		assert.Equal(t, cut == len(chunks), err == nil, "cut after %q: %v", chunks[:cut], err)
		response.Close()
	}
}

// Guards against a response whose status is none: counted as an informational response, it would be skipped, and the next
// response read from its body.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const hidden = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	status := ""
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); ok {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(hidden), hidden)
		}
	})
	for _, status = range []string{
		"000 X", "001 X", "020 X", "099 X", "600 X", "999 X", "000", "-00 X", "+00 X", "+20 X", "-20 X", "+200 X", "-200 X", " +20 X",
		"0200 X", "2000 X", "1200 X", "20 X", "2 00 X", "20x X", "2_0 X", "0x1 X", "٢٠٠ X", "", " ", "X", "200\tX", "\t200 X",
	} {
		response, err := post(t, NewPool(address), "1")
		var failed *Error
		if assert.ErrorAs(t, err, &failed, "%q", status) {
			assert.True(t, failed.Sent)
			continue
		}
		response.Close()
	}
	for _, status = range []string{"200 OK", "200", "404 Not Found", "599 X"} {
		response, err := post(t, NewPool(address), "1")
		require.NoError(t, err, "%q", status)
		body, err := io.ReadAll(response)
		require.NoError(t, err)
		assert.Equal(t, hidden, string(body))
		response.Close()
	}
}
