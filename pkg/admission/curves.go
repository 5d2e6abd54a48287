package admission

import "sync"

// maxCurves bounds the number of workspaces with their own curve.
const maxCurves = 20_000

// Curves holds the abandonment curves of the workspaces. Of is safe for concurrent use; a curve
// itself must be used by one queue at a time.
type Curves struct {
	mu sync.Mutex
	m  map[string]*Curve
}

// NewCurves returns an empty set of curves.
func NewCurves() *Curves { return &Curves{m: map[string]*Curve{}} }

// Of returns the workspace's curve.
func (c *Curves) Of(workspace string) *Curve {
	c.mu.Lock()
	defer c.mu.Unlock()
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
