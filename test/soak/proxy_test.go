package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode says what a proxy does to the connections through it.
type proxyMode int

const (
	passing proxyMode = iota
	// refusing resets new connections.
	refusing
	// silent passes nothing, in neither direction, and keeps connections open.
	silent
	// oneWay passes requests and keeps answers back.
	oneWay
	// slow passes everything late.
	slow
)

// proxyDelay is the delay of each piece by a slow proxy.
const proxyDelay = 150 * time.Millisecond

// proxy is a TCP proxy that can harm the connections through it. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	mode proxyMode
	// changed is closed at the next change of mode.
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

func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// harm keeps a mode for a time.
func (p *proxy) harm(mode proxyMode, length time.Duration) {
	p.set(mode)
	time.Sleep(length)
	p.set(passing)
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// Without lingering, closing resets the connection.
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.set(passing)
	p.listener.Close()
	p.reset()
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
	defer p.forget(client)
	if !p.remember(client) {
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
	defer p.forget(server)
	if !p.remember(server) {
		return
	}
	done := make(chan struct{}, 2)
	go p.copy(server, client, true, done)
	go p.copy(client, server, false, done)
	<-done
}

func (p *proxy) remember(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) forget(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.Close()
}

// copy forwards one direction of a connection. requests is set for that from the client.
func (p *proxy) copy(to, from net.Conn, requests bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.hold(requests)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				// The other side may still answer.
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
			}
			return
		}
	}
}

// hold waits while the mode keeps a direction back.
func (p *proxy) hold(requests bool) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case mode == silent, mode == oneWay && !requests:
			<-changed
		case mode == slow:
			time.Sleep(proxyDelay)
			return
		default:
			return
		}
	}
}
