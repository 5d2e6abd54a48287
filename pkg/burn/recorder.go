package burn

import (
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
)

// Bounds on the memory of a recorder.
const (
	// maxHistograms is the maximum number of workspaces with histograms of their own, which take
	// about 57 KB for each workspace.
	maxHistograms = 64
	// maxCauses is the maximum number of causes that are counted separately for a workspace.
	maxCauses = 16
	// otherCauses is the name under which all further causes are counted.
	otherCauses = "other"
)

// Recorder counts the requests of one node. It is safe for concurrent use.
type Recorder struct {
	mu            sync.Mutex
	node          string
	started       time.Time
	objectives    map[string]config.Objectives
	workspaces    map[string]*workspaceStats
	allWorkspaces latencies
	// latencyWorkspaces is the number of workspaces with histograms of their own.
	latencyWorkspaces int
	// lastIdleCheckHour is the hour of the last search for idle histograms.
	lastIdleCheckHour int64
}

// workspaceStats are the counts of one workspace. latencies is nil while the workspace has no
// histograms of its own.
type workspaceStats struct {
	history   history
	latencies *latencies
	causes    causes
}

// NewRecorder returns an empty recorder for the named node.
func NewRecorder(node string, started time.Time) *Recorder {
	return &Recorder{node: node, started: started, objectives: map[string]config.Objectives{}, workspaces: map[string]*workspaceStats{}}
}

// SetConfig replaces the objectives by those of c. Counts of workspaces that c does not contain are
// discarded.
func (r *Recorder) SetConfig(c *config.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = make(map[string]config.Objectives, len(c.Workspaces))
	for i := range c.Workspaces {
		r.objectives[c.Workspaces[i].Name] = c.Workspaces[i].Objectives
	}
	for name, stats := range r.workspaces {
		if _, ok := r.objectives[name]; !ok {
			delete(r.workspaces, name)
			r.dropLatencies(stats)
		}
	}
}

func (r *Recorder) dropLatencies(stats *workspaceStats) {
	if stats.latencies != nil {
		stats.latencies = nil
		r.latencyWorkspaces--
	}
}

// RequestDone counts a finished request. Requests of workspaces that are not configured are ignored.
func (r *Recorder) RequestDone(now time.Time, workspace string, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	levels, ok := r.objectives[workspace]
	if !ok {
		return
	}
	counts, cause := evaluate(o, levels)
	stats := r.statsOf(now, workspace)
	stats.history.add(now, counts)
	if counts.bad() > 0 {
		if o.Cause != "" {
			cause = o.Cause
		}
		stats.causes.add(now, cause)
	}
	r.allWorkspaces.record(now, o)
	if stats.latencies != nil {
		stats.latencies.record(now, o)
	}
}

// statsOf returns the counts of a workspace and creates them if there are none. It adds histograms as
// long as fewer than maxHistograms workspaces have them.
func (r *Recorder) statsOf(now time.Time, workspace string) *workspaceStats {
	stats, ok := r.workspaces[workspace]
	if !ok {
		stats = &workspaceStats{history: newHistory()}
		r.workspaces[workspace] = stats
	}
	if stats.latencies != nil {
		return stats
	}
	if r.latencyWorkspaces >= maxHistograms {
		r.dropIdleLatencies(now)
	}
	if r.latencyWorkspaces < maxHistograms {
		stats.latencies = &latencies{}
		r.latencyWorkspaces++
	}
	return stats
}

// dropIdleLatencies frees the histograms of workspaces without requests in the last hour. It runs at
// most once per hour, because it visits all workspaces.
func (r *Recorder) dropIdleLatencies(now time.Time) {
	if r.lastIdleCheckHour == hourIndex(now) {
		return
	}
	r.lastIdleCheckHour = hourIndex(now)
	for _, stats := range r.workspaces {
		if stats.latencies != nil && hourIndex(now)-stats.latencies.hour > 1 {
			r.dropLatencies(stats)
		}
	}
}

// latencies are the distributions of the time to first token and of the longest gap between tokens, in
// the current and the previous hour.
type latencies struct {
	hour                      int64
	ttft, gap                 Histogram
	previousTTFT, previousGap Histogram
	rotated                   bool
}

func hourIndex(now time.Time) int64 { return now.Unix() / int64(time.Hour/time.Second) }

// rotate starts a new hour if now is in a later hour than the histograms. rotated is false before the
// first call.
func (s *latencies) rotate(now time.Time) {
	hour := hourIndex(now)
	if s.rotated && hour <= s.hour {
		return
	}
	if hour == s.hour+1 {
		s.previousTTFT, s.previousGap = s.ttft, s.gap
	} else {
		s.previousTTFT, s.previousGap = Histogram{}, Histogram{}
	}
	s.ttft, s.gap = Histogram{}, Histogram{}
	s.hour, s.rotated = hour, true
}

func (s *latencies) record(now time.Time, o Outcome) {
	s.rotate(now)
	if o.TTFT > 0 && !o.Plain && !(o.Abandoned && o.MaxBetweenTokens == 0) {
		s.ttft.record(o.TTFT)
	}
	if o.MaxBetweenTokens > 0 {
		s.gap.record(o.MaxBetweenTokens)
	}
}

// current returns the distributions of the last one to two hours.
func (s *latencies) current(now time.Time) (ttft, gap Histogram) {
	s.rotate(now)
	ttft.merge(&s.ttft)
	ttft.merge(&s.previousTTFT)
	gap.merge(&s.gap)
	gap.merge(&s.previousGap)
	return ttft, gap
}

// causes counts requests that missed an objective by cause, in the current and the previous hour.
type causes struct {
	hour                   int64
	counts, previousCounts map[string]uint64
}

func (c *causes) rotate(now time.Time) {
	hour := hourIndex(now)
	if hour <= c.hour {
		return
	}
	c.previousCounts = nil
	if hour == c.hour+1 {
		c.previousCounts = c.counts
	}
	c.counts, c.hour = nil, hour
}

func (c *causes) add(now time.Time, cause string) {
	c.rotate(now)
	if c.counts == nil {
		c.counts = map[string]uint64{}
	}
	if _, known := c.counts[cause]; !known && len(c.counts) >= maxCauses {
		cause = otherCauses
	}
	c.counts[cause]++
}

func (c *causes) current(now time.Time) map[string]uint64 {
	c.rotate(now)
	sum := map[string]uint64{}
	for cause, count := range c.counts {
		sum[cause] += count
	}
	for cause, count := range c.previousCounts {
		sum[cause] += count
	}
	return sum
}
