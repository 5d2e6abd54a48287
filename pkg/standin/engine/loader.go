package enginestandin

import (
	"sync"
	"time"
)

// LoadTime is the platform's time to load weights when few engines load at once.
const LoadTime = 500 * time.Millisecond

// Loader models the weight loading of a pool: more loads at once than the limit slow down.
type Loader struct {
	limit        int
	baseDuration time.Duration

	mu        sync.Mutex
	active    int
	maxActive int
	loads     int
}

// NewLoader returns a loader that takes base per load while at most limit run at once.
func NewLoader(limit int, base time.Duration) *Loader {
	return &Loader{limit: max(1, limit), baseDuration: base}
}

// begin starts a load and returns its duration, which grows with the loads above the limit.
// The caller calls end after it.
func (l *Loader) begin() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active++
	l.loads++
	l.maxActive = max(l.maxActive, l.active)
	if l.active <= l.limit {
		return l.baseDuration
	}
	return l.baseDuration * time.Duration(l.active) / time.Duration(l.limit)
}

func (l *Loader) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
}

// Most returns the highest number of loads that ran at once, and Loads the number of all.
func (l *Loader) MaxConcurrent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxActive
}

// Loads returns the number of loads begun.
func (l *Loader) Loads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads
}
