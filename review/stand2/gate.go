//go:build review2

package main

import (
	"io"
	"net"
	"sync"
)

// gate is a TCP proxy that forwards nothing, in either direction, while it is closed: a partition. Bytes that are held up go on
// when it opens.
type gate struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	open   chan struct{}
	closed bool
}

func newGate(address, target string) (*gate, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	g := &gate{listener: l, target: target, open: make(chan struct{})}
	close(g.open)
	go g.accept()
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

// cut begins a partition, and heal ends it.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed, g.open = true, make(chan struct{})
	}
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		g.closed = false
		close(g.open)
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

func (g *gate) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			g.wait()
			s, err := net.Dial("tcp4", g.target)
			if err != nil {
				return
			}
			defer s.Close()
			done := make(chan struct{}, 2)
			pipe := func(dst, src net.Conn) {
				defer func() { done <- struct{}{} }()
				buffer := make([]byte, 32<<10)
				for {
					n, err := src.Read(buffer)
					g.wait()
					if n > 0 {
						if _, werr := dst.Write(buffer[:n]); werr != nil {
							return
						}
					}
					if err != nil {
						if err == io.EOF {
							if half, ok := dst.(*net.TCPConn); ok {
								_ = half.CloseWrite()
							}
						}
						return
					}
				}
			}
			go pipe(s, c)
			go pipe(c, s)
			<-done
			<-done
		}()
	}
}
