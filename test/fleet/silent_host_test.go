package fleet

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sys/unix"

	"cassiawall.example/cassiawall/platform/standin"
)

// silentHost is the listener of a server whose host can drop all packets that arrive, so that it acknowledges nothing.
type silentHost struct {
	net.Listener
	t *testing.T

	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (h *silentHost) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	if err == nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.conns = append(h.conns, c)
	}
	return c, err
}

// fallSilent drops all packets of the server's connections, and of new ones, for a time.
func (h *silentHost) fallSilent(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The program accepts 0 bytes of each packet.
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	h.onSockets(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
	time.Sleep(d)
	h.onSockets(func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// onSockets calls set for the listener and all connections that are open.
func (h *silentHost) onSockets(set func(fd int) error) {
	sockets := []syscall.Conn{h.Listener.(*net.TCPListener)}
	for _, c := range h.conns {
		sockets = append(sockets, c.(*net.TCPConn))
	}
	for _, s := range sockets {
		raw, err := s.SyscallConn()
		if err != nil {
			continue
		}
		// The call fails if the connection has been closed.
		_ = raw.Control(func(fd uintptr) { assert.NoError(h.t, set(int(fd))) })
	}
}

// Guards against requests that get no answer of their server because the server's host acknowledges nothing for some seconds and
// then goes on, although no one may send them again: neither the node nor the client.
func TestHostsThatAreSilentForSomeSecondsLoseNoRequestThatRunsOnce(t *testing.T) {
	t.Parallel()
	const (
		// silence is longer than the time in which the node takes a host as dead.
		silence         = 4 * time.Second
		goingOn         = time.Second
		requestInterval = 25 * time.Millisecond
		timeout         = 30 * time.Second
	)
	var hosts []*silentHost
	f := startFleet(t, 2, func(f *fleet) {
		f.listen = func(l net.Listener) net.Listener {
			hosts = append(hosts, &silentHost{Listener: l, t: t})
			return hosts[len(hosts)-1]
		}
		f.addEngines(2)
		f.addPlain(2)
	})
	f.setTimeout(timeout)
	var sending, silent sync.WaitGroup
	for i, kind := range []standin.Kind{standin.Stream, standin.Unsafe} {
		sending.Go(func() {
			for n, end := 0, time.Now().Add(goingOn+silence); time.Now().Before(end); n++ {
				sending.Go(func() {
					r := standin.Send(t.Context(), f.client, f.clientAddresses[(n+i)%2], standin.Request{
						ID: fmt.Sprintf("%s-%s-%d", t.Name(), kind, n), Kind: kind, Key: "key-north", Deadline: timeout,
					})
					refused := r.Complete && r.Status == http.StatusServiceUnavailable
					assert.True(t, refused || r.Complete && r.Status == http.StatusOK, "%s: status %d, complete: %v, %v", kind, r.Status, r.Complete, r.Err)
				})
				time.Sleep(requestInterval)
			}
		})
	}
	time.Sleep(goingOn)
	for _, h := range hosts {
		silent.Go(func() { h.fallSilent(silence) })
	}
	silent.Wait()
	sending.Wait()
}
