package peers

import (
	"slices"
	"time"
)

// Deputies follow the platform's store for the other nodes while the holder is silent, so that a fleet that loses its
// holder does not turn to the store as one.
const (
	// deputyCount is the number of deputies, of which one at least should be in reach.
	deputyCount = 3
	// A deputy begins to follow the store after deputyLeast or deputyWords words without the holder's, and
	// the others ask the deputies after askLeast or askWords, before they would follow the store themselves.
	deputyLeast = 350 * time.Millisecond
	deputyWords = 1.2
	askLeast    = 450 * time.Millisecond
	askWords    = 1.4
)

// after returns the time of a number of words, and least at least.
func after(least time.Duration, words float64, nodes int) time.Duration {
	return max(least, time.Duration(words*float64(Interval(nodes))))
}

// DeputyAfter returns the time without a word after which a deputy follows the store.
func DeputyAfter(nodes int) time.Duration { return after(deputyLeast, deputyWords, nodes) }

// IsDeputy reports whether the last word names this node as a deputy.
func (l *Link) IsDeputy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.deputies, l.opt.Address)
}

// spread returns n of the addresses, evenly from their order, so that they are not all close to each other and
// stay the same while the nodes do.
func spread(from []string, n int) []string {
	sorted := slices.Sorted(slices.Values(from))
	n = min(n, len(sorted))
	some := make([]string, 0, n)
	for i := range n {
		some = append(some, sorted[i*len(sorted)/n])
	}
	return some
}
