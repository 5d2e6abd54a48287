package exchange

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A server or its host may be silent for a second or two and go on. A dead host, however, must be found soon, so that the
// request can be sent elsewhere. So TCP_USER_TIMEOUT is short while a request is on its way, and off once the host has
// acknowledged it: then keep-alive probes tell whether the host is there.

// unackedInterval is the time between two checks whether the request is acknowledged. It is shorter than the time to the
// second keep-alive probe.
const unackedInterval = keepAliveIdle

// userTimeout sets the TCP_USER_TIMEOUT of a connection. It is safe for concurrent use.
type userTimeout struct {
	// conn is nil if the connection has no file descriptor, and so no TCP_USER_TIMEOUT.
	conn syscall.RawConn

	mu sync.Mutex
	// timeout is the present value, or 0 if it is off.
	timeout time.Duration
	// timer calls check while a request waits for its response, and is nil otherwise.
	timer *time.Timer
}

// start sets the timeout for a request with a body of bodyBytes that is about to be written.
func (u *userTimeout) start(bodyBytes int) error {
	if u.conn == nil {
		return nil
	}
	timeout := tcpUserTimeout
	if bodyBytes > maxFittingBodyBytes {
		timeout = largeBodyTimeout
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.timeout != timeout {
		if err := setTCPUserTimeout(u.conn, timeout); err != nil {
			return err
		}
		u.timeout = timeout
	}
	u.timer = time.AfterFunc(unackedInterval, u.check)
	return nil
}

// check switches the timeout off once the host has acknowledged all data.
func (u *userTimeout) check() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.timer == nil {
		return
	}
	var info *unix.TCPInfo
	var failed error
	err := u.conn.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil || failed != nil:
		// The connection has been closed.
	case info.Unacked > 0 || info.Notsent_bytes > 0:
		u.timer.Reset(unackedInterval)
	case setTCPUserTimeout(u.conn, 0) == nil:
		u.timeout = 0
	}
}

// stop ends the checks.
func (u *userTimeout) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.timer != nil {
		u.timer.Stop()
		u.timer = nil
	}
}

// setTCPUserTimeout sets the TCP_USER_TIMEOUT of a connection, or none for 0.
func setTCPUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
