// Package quota keeps the requests of all nodes to a backend server within the limit that the server states. The leader
// issues permits, each for one request of one node to one server, at the stated rate and in proportion to the nodes'
// demand. A node sends to a server with a limit only with a permit.
package quota

import "time"

// Statement is what a backend server states about its limit in a response.
type Statement struct {
	// Limited is set if the server states a limit. Rate is the number of requests a second that it takes from all nodes
	// together.
	Limited bool
	Rate    float64
	// Invalid is the text of a limit that cannot be used, or "". Limited is then not set.
	Invalid string
}

// Server is what a node knows about the limit of one backend server since the server's last start. The zero value is a
// server without a limit. It is not safe for concurrent use.
type Server struct {
	// limited and rate are from the response that was received at statedAt.
	limited  bool
	rate     float64
	statedAt time.Time
}

// Observe records the statement in a response to a request that was sent at sentAt, and reports whether the limit has
// begun, ended or changed its rate. A response without a limit ends it only if the request was sent after the limit was
// stated, because responses on other connections may arrive late.
func (s *Server) Observe(statement Statement, sentAt, now time.Time) (changed bool) {
	switch {
	case statement.Invalid != "":
		return false
	case statement.Limited:
		changed = !s.limited || s.rate != statement.Rate
		s.limited, s.rate, s.statedAt = true, statement.Rate, now
	case s.limited && sentAt.After(s.statedAt):
		changed = true
		s.limited, s.statedAt = false, now
	}
	return changed
}

// Limited reports whether the server is known to state a limit.
func (s *Server) Limited() bool { return s.limited }
