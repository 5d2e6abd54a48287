package enginestandin

import (
	"net"
	"net/http"
	"sync"
)

// connSet holds the open connections of a server, so that a crash can close them.
type connSet struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// track adds and removes connections; it is the ConnState hook of the server.
func (s *connSet) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, conn)
	}
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		_ = conn.Close()
	}
}
