// Package tcpstate tells a TCP connection that was reset from one that its peer has closed, and resets connections, for bodies
// that end with their connection. A reset is not always an error of the next read: a write that fails at it uses up the
// socket's error, and a read after the end of the peer's data returns a regular end whatever follows.
package tcpstate

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// closed is the state in TCP_INFO of a connection that was reset or has timed out. One that only its peer has closed is in
// another state.
const closed = 7

// WasReset reports whether a connection was reset, has timed out or was closed by this process.
func WasReset(c syscall.RawConn) bool {
	var info *unix.TCPInfo
	var failed error
	err := c.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return err != nil || failed == nil && info.State == closed
}
