package admission

import (
	"sync"
	"time"
)

// maxCurves bounds the number of workspaces with their own curve.
const maxCurves = 20_000

// SurvivalCurves holds the abandonment curves of the workspaces. It is safe for concurrent use, so that
// the queues of a node share what they learn.
type SurvivalCurves struct {
	mu          sync.Mutex
	byWorkspace map[string]*SurvivalCurve
}

// NewSurvivalCurves returns an empty set of curves.
func NewSurvivalCurves() *SurvivalCurves {
	return &SurvivalCurves{byWorkspace: map[string]*SurvivalCurve{}}
}

// Observe records that a request of the workspace ended at an age.
func (c *SurvivalCurves) Observe(workspace string, age time.Duration, abandoned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.curveFor(workspace).Observe(age, abandoned)
}

// SurvivalProbability returns the probability that a caller of the workspace who waits at an age is still
// there after a further time.
func (c *SurvivalCurves) SurvivalProbability(workspace string, age, horizon time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.curveFor(workspace).SurvivalProbability(age, horizon)
}

func (c *SurvivalCurves) curveFor(workspace string) *SurvivalCurve {
	curve, ok := c.byWorkspace[workspace]
	if ok {
		return curve
	}
	if len(c.byWorkspace) >= maxCurves {
		for w := range c.byWorkspace {
			delete(c.byWorkspace, w)
			break
		}
	}
	curve = &SurvivalCurve{}
	c.byWorkspace[workspace] = curve
	return curve
}
