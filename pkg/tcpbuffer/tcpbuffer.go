// Package tcpbuffer bounds the buffers that the system keeps for TCP connections. By default they grow to several MB for a peer that
// sends faster than the process reads, or that does not read.
package tcpbuffer

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Set sets the sizes of a socket's buffers in bytes; 0 leaves the system's. Before the connection is opened, the receive buffer also
// bounds the window that the connection can ever have, to 64 KB if the buffer is smaller.
func Set(raw syscall.RawConn, receive, send int) error {
	return control(raw, func(fd int) error {
		var errs []error
		if receive > 0 {
			errs = append(errs, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receive))
		}
		if send > 0 {
			errs = append(errs, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, send))
		}
		return errors.Join(errs...)
	})
}

// Control returns a function for net.Dialer and net.ListenConfig that sets the sizes. Connections inherit those of their listener.
func Control(receive, send int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return Set(raw, receive, send) }
}

// Enlarge sets larger sizes for the buffers of an open connection, and the window that its peer may use. They cannot be lowered
// again: the system would discard what the peer has been allowed to send, and the peer would send it again only after some time.
func Enlarge(raw syscall.RawConn, receive, send int) error {
	return errors.Join(Set(raw, receive, send), control(raw, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, receive)
	}))
}

// SetBacklog bounds the connections of a listener that wait to be accepted. Package net sets the largest bound that the system
// allows.
func SetBacklog(raw syscall.RawConn, backlog int) error {
	return control(raw, func(fd int) error { return unix.Listen(fd, backlog) })
}

// Unsent returns the bytes that are written and not acknowledged.
func Unsent(raw syscall.RawConn) (n int, err error) {
	err = control(raw, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return n, err
}

func control(raw syscall.RawConn, f func(fd int) error) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = f(int(fd)) })
	return errors.Join(err, failed)
}
