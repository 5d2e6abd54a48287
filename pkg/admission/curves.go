package admission

import (
	"sync"
	"time"
)

// maxCurves bounds the number of workspaces with their own curve.
const maxCurves = 20_000

// Curves holds the abandonment curves of the workspaces. It is safe for concurrent use, so that
// the queues of a node share what they learn.
type Curves struct {
	mu sync.Mutex
	m  map[string]*Curve
}

// NewCurves returns an empty set of curves.
func NewCurves() *Curves { return &Curves{m: map[string]*Curve{}} }

// Observe records that a request of the workspace ended at an age.
func (c *Curves) Observe(workspace string, age time.Duration, abandoned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(workspace).Observe(age, abandoned)
}

// StillThere returns the probability that a caller of the workspace who waits at an age is still
// there after a further time.
func (c *Curves) StillThere(workspace string, age, further time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(workspace).StillThere(age, further)
}

func (c *Curves) of(workspace string) *Curve {
	curve, ok := c.m[workspace]
	if ok {
		return curve
	}
	if len(c.m) >= maxCurves {
		for w := range c.m {
			delete(c.m, w)
			break
		}
	}
	curve = &Curve{}
	c.m[workspace] = curve
	return curve
}
