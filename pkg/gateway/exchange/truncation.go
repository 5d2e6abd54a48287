package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/pkg/tcpstate"
)

// A body without length or chunks ends with its connection, so that only the way in which the connection ends tells whether
// the body is complete.

// resetGrace is the time after the end of such a body within which a reset makes it count as truncated: a server that
// ends may close its sending side first.
const resetGrace = 5 * time.Millisecond

// errReset is the cause for which a body without length is truncated although a read returned io.EOF: a write that fails at a
// reset uses up the socket's error, so that the reads after it report a regular end.
var errReset = fmt.Errorf("the connection was reset: %w", syscall.ECONNRESET)

// errUploadUnfinished is that of a response whose server ended the connection before it had the whole request.
var errUploadUnfinished = fmt.Errorf("the connection ended before the request was written: %w", io.ErrUnexpectedEOF)

// checkUnframedEnd returns io.EOF if a body that ended with the connection is complete, and the reason otherwise.
func (r *Response) checkUnframedEnd() error {
	if w := r.bodyWriter; w != nil {
		// A write that waits for the server fails now. One whose bytes the socket has taken does not.
		if err := r.conn.SetWriteDeadline(time.Now()); err != nil {
			return errReset
		}
		<-w.finished
		if w.err != nil {
			return errUploadUnfinished
		}
	}
	if r.conn.wasReset() {
		return errReset
	}
	time.Sleep(resetGrace)
	if r.conn.wasReset() {
		return errReset
	}
	return io.EOF
}

// wasReset reports whether the connection was reset or has timed out.
func (c *conn) wasReset() bool {
	return c.rawConn != nil && tcpstate.WasReset(c.rawConn)
}

const (
	minStatus = 100
	maxStatus = 599
)

// IsFinalStatus reports whether a status is one that HTTP defines for a response that is not informational.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// errInvalidStatus is the cause of an Error after a response with a status that HTTP does not define.
var errInvalidStatus = errors.New("the status is not between 100 and 599")

// checkStatus returns an error for a status that HTTP does not define. It must not count as an informational response: the
// next response would then be read from its body.
func checkStatus(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("%w: %.*q", errInvalidStatus, maxStatusShown, response.Status)
	}
	return nil
}

// maxStatusShown bounds the part of an invalid status line in an error.
const maxStatusShown = 16
