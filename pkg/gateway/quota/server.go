// Package quota keeps the requests of all nodes to a backend server within the limit that the server states. The leader
// issues permits, each for one request of one node to one server, at the stated rate and in proportion to the nodes'
// demand. A node sends to a server with a limit only with a permit. The package does no I/O. Its times are on the clock of
// clock.Now, so that a permit also expires while the VM is suspended.
package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// PermitTTL is the time for which a permit is valid after its issue. A server gets at most the permits that were issued
	// during a period and in the PermitTTL before it, so the TTL bounds by how much a period may exceed the limit.
	PermitTTL = 1200 * time.Millisecond
	// minRate is the lowest rate in requests a second at which permits are issued: only the responses of a server show that
	// its limit has ended.
	minRate = 0.25
	// leaderlessShare is the share of a limit that all nodes together use while no leader issues permits. The nodes draw
	// their permits independently, so that their sum varies.
	leaderlessShare = 0.5
	// reportDelay is the time after a response within which the leader has received this node's report about it, and after
	// which the leader's view prevails.
	reportDelay = 3 * time.Second
	// maxPermits bounds the permits that a node gets at once for one server.
	maxPermits = math.MaxUint8
	// endReportTime is the time for which the end of a limit is reported.
	endReportTime = 5 * time.Second
)

// Statement is what a backend server states about its limit in a response.
type Statement struct {
	// Limited is set if the server states a limit. Rate is the number of requests a second that it takes from all nodes
	// together.
	Limited bool
	Rate    float64
	// Invalid is the text of a limit that cannot be used, or "". Limited is then not set.
	Invalid string
}

// Server is what a node knows about the limit of one backend server since the server's last start, and the node's permits
// for it. The zero value is a server without a limit. It is not safe for concurrent use.
type Server struct {
	// limited and rate are from the response that was received at statedAt.
	limited  bool
	rate     float64
	statedAt time.Time
	// announced is set if the leader knew of a limit at announcedAt.
	announced   bool
	announcedAt time.Time
	// permits are the expiry times of the unused permits, in order.
	permits []time.Time
	// drawnAt is the last time at which permits were drawn without a leader.
	drawnAt time.Time
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

// Announce records whether the leader knew of a limit at a time. authoritative is set if the leader has had the reports of
// all nodes: it then ends a limit that this node knows from an earlier response.
func (s *Server) Announce(limited, authoritative bool, at time.Time) {
	if at.Before(s.announcedAt) {
		return
	}
	s.announced, s.announcedAt = limited, at
	if !limited && authoritative && s.limited && at.Sub(s.statedAt) >= reportDelay {
		s.limited, s.statedAt = false, at
	}
}

// Limited reports whether the server is known to state a limit.
func (s *Server) Limited() bool { return s.limited || s.announced }

// Grant adds permits that the leader issued at a time.
func (s *Server) Grant(n int, issuedAt time.Time) {
	s.dropExpired(issuedAt)
	for range min(n, maxPermits) {
		s.permits = append(s.permits, issuedAt.Add(PermitTTL))
	}
}

// Draw adds permits without a leader: on average, all nodes together draw leaderlessShare of the limit. Nodes that know of
// the limit only from the leader draw none.
func (s *Server) Draw(nodes int, now time.Time) {
	elapsed := min(now.Sub(s.drawnAt), PermitTTL)
	s.drawnAt = now
	if !s.limited || nodes < 1 || elapsed <= 0 {
		return
	}
	expected := min(leaderlessShare*max(s.rate, minRate)/float64(nodes)*elapsed.Seconds(), maxPermits)
	n := int(expected)
	if rand.Float64() < expected-float64(n) {
		n++
	}
	s.Grant(n, now)
}

// Available reports whether a request may be sent now: the server has no limit, or there is a permit.
func (s *Server) Available(now time.Time) bool {
	s.dropExpired(now)
	return !s.Limited() || len(s.permits) > 0
}

// Take uses a permit, the one that expires first, if the server has a limit.
func (s *Server) Take(now time.Time) {
	s.dropExpired(now)
	if s.Limited() && len(s.permits) > 0 {
		s.permits = s.permits[1:]
	}
}

func (s *Server) dropExpired(now time.Time) {
	for len(s.permits) > 0 && !now.Before(s.permits[0]) {
		s.permits = s.permits[1:]
	}
}

// Observation returns what this node has observed itself. ok is false if there is nothing that the leader needs.
func (s *Server) Observation(now time.Time) (o Observation, ok bool) {
	age := now.Sub(s.statedAt)
	if s.statedAt.IsZero() || !s.limited && age > endReportTime {
		return Observation{}, false
	}
	return Observation{Limited: s.limited, Rate: s.rate, Age: age}, true
}
