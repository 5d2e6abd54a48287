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
// acknowledged it: then keep-alive probes tell whether the host is there. A request that nobody may send again gains
// nothing by the end of its connection, and may still be answered by a host that goes on: it is kept for as long as its
// caller waits, and the caller is told that the host is silent.

// unackedInterval is the time between two checks whether the request is acknowledged. It is shorter than the time to the
// second keep-alive probe.
const unackedInterval = keepAliveIdle

// lastSendTimeout is the TCP_USER_TIMEOUT during a request that nobody may send again. It is longer than any request. It
// also replaces the count of keep-alive probes.
const lastSendTimeout = time.Hour

// userTimeout sets the TCP_USER_TIMEOUT of a connection. It is safe for concurrent use.
type userTimeout struct {
	// conn is nil if the connection has no file descriptor, and so no TCP_USER_TIMEOUT.
	conn syscall.RawConn

	mu sync.Mutex
	// timeout is the present value, or 0 if it is off.
	timeout time.Duration
	// timer calls check while a request waits for its response, and is nil otherwise.
	timer *time.Timer
	// onSilentHost is the Request.OnSilentHost of the present request.
	onSilentHost func()
}

// start sets the timeout for a request that is about to be written.
func (u *userTimeout) start(req Request) error {
	if u.conn == nil {
		return nil
	}
	timeout := tcpUserTimeout
	switch {
	case req.LastSend:
		timeout = lastSendTimeout
	case req.Body.Len() > maxFittingBodyBytes:
		timeout = largeBodyTimeout
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.setLocked(timeout); err != nil {
		return err
	}
	u.onSilentHost = req.OnSilentHost
	u.timer = time.AfterFunc(unackedInterval, u.check)
	return nil
}

// setLocked sets the timeout, unless it is the present one.
func (u *userTimeout) setLocked(timeout time.Duration) error {
	if u.timeout == timeout {
		return nil
	}
	if err := setTCPUserTimeout(u.conn, timeout); err != nil {
		return err
	}
	u.timeout = timeout
	return nil
}

// check switches the timeout off once the host has acknowledged all data. The timeout of a request that nobody may send
// again stays.
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
		// A host whose server does not read acknowledges the probes of its closed window.
		if info.Unacked > 0 && time.Duration(info.Last_ack_recv)*time.Millisecond >= tcpUserTimeout && u.onSilentHost != nil {
			go u.onSilentHost()
		}
		u.timer.Reset(unackedInterval)
	case u.timeout != lastSendTimeout:
		// If the call fails, the connection has been closed.
		_ = u.setLocked(0)
	}
}

// stop ends the checks, and the timeout of a request that nobody may send again: a host that dies while the connection is
// idle must be found before the next request.
func (u *userTimeout) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.timer == nil {
		return
	}
	u.timer.Stop()
	u.timer, u.onSilentHost = nil, nil
	if u.timeout == lastSendTimeout {
		// If the call fails, the connection has been closed.
		_ = u.setLocked(tcpUserTimeout)
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
