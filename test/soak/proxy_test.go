package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is the way in which a proxy treats the connections through it.
type proxyMode int

const (
	forwarding proxyMode = iota
	// refusing closes new connections at once and leaves open ones alone.
	refusing
	// stalled forwards nothing in either direction and keeps connections open.
	stalled
	// responsesStalled forwards requests and holds responses back.
	responsesStalled
	// slow delays everything by proxyDelay.
	slow
)

// proxyDelay is the delay of each read of up to 16 KiB in mode slow.
const proxyDelay = 150 * time.Millisecond

// proxy is a TCP proxy that can disturb the connections through it. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	mode proxyMode
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

// newProxy listens on address, IP:PORT, and forwards to target.
func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// applyMode sets a mode for a duration, then forwards again.
func (p *proxy) applyMode(mode proxyMode, duration time.Duration) {
	p.setMode(mode)
	time.Sleep(duration)
	p.setMode(forwarding)
}

// resetConnections resets all connections (TCP RST).
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// With SO_LINGER set to 0, Close sends RST in place of FIN.
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.setMode(forwarding)
	p.listener.Close()
	p.resetConnections()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer p.closeConnection(client)
	if !p.track(client) {
		return
	}
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	if mode == refusing {
		return
	}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer p.closeConnection(server)
	if !p.track(server) {
		return
	}
	done := make(chan struct{}, 2)
	go p.copy(server, client, true, done)
	go p.copy(client, server, false, done)
	<-done
}

func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) closeConnection(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.Close()
}

// copy forwards one direction of a connection; requests is set for the direction from the client.
func (p *proxy) copy(to, from net.Conn, requests bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.waitForMode(requests)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				// The other side may still send its response, so only the write side is closed.
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
			}
			return
		}
	}
}

// waitForMode waits while the mode stalls a direction, or for proxyDelay in mode slow.
func (p *proxy) waitForMode(requests bool) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case mode == stalled, mode == responsesStalled && !requests:
			<-changed
		case mode == slow:
			time.Sleep(proxyDelay)
			return
		default:
			return
		}
	}
}
