package service

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/tcpstate"
)

// uploadEndTimeout bounds the wait for the end of a request's write after the end of its response. The transport has then
// ended the connection, so that the write has succeeded or fails at once.
const uploadEndTimeout = time.Second

// upload is the write of a request, which may go on while the response is read.
type upload struct {
	// written receives the result of each attempt to write the request.
	written chan error
}

// maxAttemptsOfTransport bounds the attempts of net/http whose results are kept. It sends a request again once.
const maxAttemptsOfTransport = 4

func newUpload() *upload { return &upload{written: make(chan error, maxAttemptsOfTransport)} }

// trace returns the hooks that record the upload.
func (u *upload) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case u.written <- info.Err:
			default:
			}
		},
	}
}

// succeeded waits for the end of the write and reports whether the whole request was written.
func (u *upload) succeeded() bool {
	timeout := time.NewTimer(uploadEndTimeout)
	defer timeout.Stop()
	for {
		select {
		case err := <-u.written:
			if err == nil {
				return true
			}
			// An earlier attempt may have failed before the one that was answered.
		case <-timeout.C:
			return false
		}
	}
}

// checkResponse returns a response whose body fails if it is truncated, or an error if the status is none.
func checkResponse(response *http.Response, u *upload) (*http.Response, error) {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		_ = response.Body.Close()
		return nil, fault.New(fault.BackendFailed, "backend server sent the invalid status %d", response.StatusCode).WithWork(fault.Unknown)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		response.Body = &unframedBody{ReadCloser: response.Body, upload: u}
	}
	return response, nil
}

// maxStatus is the highest status that HTTP defines.
const maxStatus = 599

// unframedBody is a body without length or chunks. It ends with its connection, so that only the way in which the connection
// ends tells whether the body is complete.
type unframedBody struct {
	io.ReadCloser
	upload *upload
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.upload.succeeded() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// endCheckedConn is a connection whose reads fail after a reset also if the socket does not say so.
type endCheckedConn struct{ net.Conn }

// Read implements io.Reader.
func (c endCheckedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if s, ok := c.Conn.(syscall.Conn); ok {
		if raw, rawErr := s.SyscallConn(); rawErr == nil && tcpstate.WasReset(raw) {
			return n, syscall.ECONNRESET
		}
	}
	return n, err
}
