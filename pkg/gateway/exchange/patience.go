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

// patience sets the TCP_USER_TIMEOUT of a connection. It is safe for concurrent use.
type patience struct {
	// conn is nil if the connection has no file descriptor, and so no TCP_USER_TIMEOUT.
	conn syscall.RawConn

	mu sync.Mutex
	// timeout is the TCP_USER_TIMEOUT, or 0 if it is off.
	timeout time.Duration
	// timer calls check while a request waits for its response, and is nil otherwise.
	timer *time.Timer
}

// start sets the timeout for a request with a body of bodyBytes that is about to be written.
func (p *patience) start(bodyBytes int) error {
	if p.conn == nil {
		return nil
	}
	timeout := tcpUserTimeout
	if bodyBytes > maxFittingBodyBytes {
		timeout = largeBodyTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timeout != timeout {
		if err := setUserTimeout(p.conn, timeout); err != nil {
			return err
		}
		p.timeout = timeout
	}
	p.timer = time.AfterFunc(unackedInterval, p.check)
	return nil
}

// check switches the timeout off once the host has acknowledged all data.
func (p *patience) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer == nil {
		return
	}
	var info *unix.TCPInfo
	var failed error
	err := p.conn.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil || failed != nil:
		// The connection has been closed.
	case info.Unacked > 0 || info.Notsent_bytes > 0:
		p.timer.Reset(unackedInterval)
	case setUserTimeout(p.conn, 0) == nil:
		p.timeout = 0
	}
}

// stop ends the checks.
func (p *patience) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
}

// setUserTimeout sets the TCP_USER_TIMEOUT of a connection, or none for 0.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
