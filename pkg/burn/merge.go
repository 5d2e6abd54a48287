package burn

import (
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
)

// Merger sums up the sketches of nodes. It keeps only the sums, so its memory grows with the number of
// workspaces in the configuration and not with the number of nodes.
type Merger struct {
	config     *config.Config
	configured map[string]bool
	nodes      int
	since      time.Time
	ttft, gap  histogramSum
	workspaces map[string]*workspaceSum
	// omittedNodes is the number of sketches that leave out workspaces. omittedBad is the sum of
	// their OmittedBad, a bound on the uncounted misses of any workspace.
	omittedNodes int
	omittedBad   uint64
}

// workspaceSum is the sum over all nodes for one workspace.
type workspaceSum struct {
	counts    [windowCount]tallies
	causes    map[string]uint64
	ttft, gap histogramSum
	// nodes is the number of nodes that reported the workspace. worst is the one with the most misses.
	nodes int
	worst worstNode
}

// worstNode is the node with the most misses of a workspace.
type worstNode struct {
	name string
	bad  uint64
}

// NewMerger returns an empty merger for the workspaces of c.
func NewMerger(c *config.Config) *Merger {
	m := &Merger{config: c, configured: make(map[string]bool, len(c.Workspaces)), workspaces: map[string]*workspaceSum{}}
	for i := range c.Workspaces {
		m.configured[c.Workspaces[i].Name] = true
	}
	return m
}

// Add adds a node's sketch. Workspaces that the configuration does not contain are ignored. If a
// count is out of range, it adds nothing and returns an error of kind fault.BadRequest.
func (m *Merger) Add(s Sketch) error {
	if !s.valid() {
		return fault.New(fault.BadRequest, "the sketch of node %q has counts out of range", s.Node)
	}
	m.nodes++
	if since := time.Unix(s.Since, 0); m.since.IsZero() || since.Before(m.since) {
		m.since = since
	}
	m.ttft.add(s.TTFT)
	m.gap.add(s.Gap)
	if s.Omitted > 0 {
		m.omittedNodes++
		m.omittedBad += s.OmittedBad
	}
	for i := range s.Workspaces {
		if m.configured[s.Workspaces[i].Name] {
			m.addWorkspace(s.Node, &s.Workspaces[i])
		}
	}
	return nil
}

// valid reports whether all counts are in range. Larger ones could overflow the sums and hide misses.
func (s *Sketch) valid() bool {
	if s.OmittedBad > maxCount || !s.TTFT.valid() || !s.Gap.valid() {
		return false
	}
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		if !w.TTFT.valid() || !w.Gap.valid() || len(w.Causes) > 2*maxCauses+1 {
			return false
		}
		for i := range w.Counts {
			for _, t := range w.Counts.window(i) {
				if t.Bad > t.Total || t.Total > maxCount {
					return false
				}
			}
		}
	}
	return true
}

func (m *Merger) addWorkspace(node string, w *workspaceSketch) {
	sum, ok := m.workspaces[w.Name]
	if !ok {
		sum = &workspaceSum{causes: map[string]uint64{}}
		m.workspaces[w.Name] = sum
	}
	sum.nodes++
	for i := range w.Counts {
		sum.counts[i].add(w.Counts.window(i))
	}
	for cause, count := range w.Causes {
		if _, known := sum.causes[cause]; !known && len(sum.causes) >= 2*maxCauses {
			cause = otherCauses
		}
		sum.causes[cause] += min(count, maxCount)
	}
	if bad := w.misses(); bad > sum.worst.bad {
		sum.worst = worstNode{name: node, bad: bad}
	}
	sum.ttft.add(w.TTFT)
	sum.gap.add(w.Gap)
}
