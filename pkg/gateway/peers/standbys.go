package peers

import (
	"slices"
	"time"
)

// Deputies follow the platform's store for the other nodes while the holder is silent, so that a fleet that loses its
// holder does not turn to the store as one.
const (
	// deputyCount is the number of deputies, of which one at least should be in reach.
	standbyCount = 3
	// A deputy begins to follow the store after deputyLeast or deputyWords words without the holder's, and
	// the others ask the deputies after askLeast or askWords, before they would follow the store themselves.
	minStandbyTimeout        = 350 * time.Millisecond
	standbyTimeoutHeartbeats = 1.2
	minQueryTimeout          = 450 * time.Millisecond
	queryTimeoutHeartbeats   = 1.4
)

// after returns the time of a number of words, and least at least.
func heartbeatsDuration(minimum time.Duration, heartbeats float64, nodes int) time.Duration {
	return max(minimum, time.Duration(heartbeats*float64(Interval(nodes))))
}

// DeputyAfter returns the time without a word after which a deputy follows the store.
func StandbyTimeout(nodes int) time.Duration {
	return heartbeatsDuration(minStandbyTimeout, standbyTimeoutHeartbeats, nodes)
}

// IsDeputy reports whether the last word names this node as a deputy.
func (l *Link) IsStandby() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.standbys, l.opt.Address)
}

// spread returns n of the addresses, evenly from their order, so that they are not all close to each other and
// stay the same while the nodes do.
func pickEvenly(addresses []string, n int) []string {
	sorted := slices.Sorted(slices.Values(addresses))
	n = min(n, len(sorted))
	picked := make([]string, 0, n)
	for i := range n {
		picked = append(picked, sorted[i*len(sorted)/n])
	}
	return picked
}
