package enginestandin

import (
	"sync"
	"time"
)

// LoadTime is the time that the platform takes to load weights while few engines load at once.
const LoadTime = 500 * time.Millisecond

// Loader models the weight loads of a pool, which slow down when more than a limited number run at
// once.
type Loader struct {
	limit        int
	baseDuration time.Duration

	mu        sync.Mutex
	active    int
	maxActive int
	loads     int
}

// NewLoader returns a loader on which a load takes base while at most limit loads run at once. A
// limit below 1 counts as 1.
func NewLoader(limit int, base time.Duration) *Loader {
	return &Loader{limit: max(1, limit), baseDuration: base}
}

// begin starts a load and returns its duration, which grows in proportion to the number of active
// loads above the limit. The caller must call end afterwards.
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

// MaxConcurrent returns the highest number of loads that ran at once.
func (l *Loader) MaxConcurrent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxActive
}

// Loads returns the number of loads started.
func (l *Loader) Loads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads
}
