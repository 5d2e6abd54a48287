package peers

import (
	"slices"
	"time"
)

// Standbys watch the platform's store on behalf of the other nodes while the leader is silent, so that the
// loss of the leader does not make all nodes call the store at the same time.
const (
	// standbyCount is the number of standbys, of which at least one should be reachable.
	standbyCount = 3
	// A standby starts to watch the store after minStandbyTimeout without a leader heartbeat, or after
	// standbyTimeoutHeartbeats heartbeat intervals if that is longer. The other nodes query the standbys after
	// minQueryTimeout or queryTimeoutHeartbeats intervals, and so before they would watch the store
	// themselves.
	minStandbyTimeout        = 350 * time.Millisecond
	standbyTimeoutHeartbeats = 1.2
	minQueryTimeout          = 450 * time.Millisecond
	queryTimeoutHeartbeats   = 1.4
)

// heartbeatsDuration returns the duration of a number of heartbeat intervals, but not less than minimum.
func heartbeatsDuration(minimum time.Duration, heartbeats float64, nodes int) time.Duration {
	return max(minimum, time.Duration(heartbeats*float64(Interval(nodes))))
}

// StandbyTimeout returns the time without a leader heartbeat after which a standby starts to watch the store.
func StandbyTimeout(nodes int) time.Duration {
	return heartbeatsDuration(minStandbyTimeout, standbyTimeoutHeartbeats, nodes)
}

// IsStandby reports whether this node relays store changes to others without a leader in sync with the store: it is a standby
// by the last leader heartbeat, or a seed that takes the place of the standbys.
func (l *Link) IsStandby() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isRelayLocked()
}

// pickEvenly returns n of the addresses at even distances in sorted order, so that they are not all close to
// each other and stay the same as long as the set of nodes does.
func pickEvenly(addresses []string, n int) []string {
	sorted := slices.Sorted(slices.Values(addresses))
	n = min(n, len(sorted))
	picked := make([]string, 0, n)
	for i := range n {
		picked = append(picked, sorted[i*len(sorted)/n])
	}
	return picked
}
