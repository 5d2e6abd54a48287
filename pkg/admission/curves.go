package admission

import (
	"sync"
	"time"
)

// maxCurves bounds the number of workspaces with their own curve. An arbitrary curve is dropped
// when a new workspace exceeds it.
const maxCurves = 20_000

// SurvivalCurves holds one SurvivalCurve per workspace. It is safe for concurrent use, so that the
// queues of a node share their observations.
type SurvivalCurves struct {
	mu          sync.Mutex
	byWorkspace map[string]*SurvivalCurve
}

// NewSurvivalCurves returns an empty set of curves.
func NewSurvivalCurves() *SurvivalCurves {
	return &SurvivalCurves{byWorkspace: map[string]*SurvivalCurve{}}
}

// Observe records a request of the workspace that ended at an age. abandoned is set if it
// ended because its caller left.
func (c *SurvivalCurves) Observe(workspace string, age time.Duration, abandoned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.curveFor(workspace).Observe(age, abandoned)
}

// SurvivalProbability returns the probability that a caller of the workspace whose request has the
// given age is still waiting once the horizon has passed.
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
