package burn

import (
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
)

// Bounds on the memory of a recorder.
const (
	// maxHistograms is the number of workspaces with histograms of their own, about 57 KB each.
	maxHistograms = 64
	// maxCauses is the number of causes that are counted by name for a workspace.
	maxCauses = 16
	// otherCauses counts the rest.
	otherCauses = "other"
)

// Recorder counts the requests of one node. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	node       string
	started    time.Time
	objectives map[string]config.Objectives
	workspaces map[string]*account
	fleet      spread
	// histograms is the number of accounts with histograms.
	histograms int
	// idleCheck is the hour of the last search for idle histograms.
	idleCheck int64
}

// account is what is known of one workspace.
type account struct {
	history history
	spread  *spread
	causes  causes
}

// NewRecorder returns an empty recorder of a node.
func NewRecorder(node string, started time.Time) *Recorder {
	return &Recorder{node: node, started: started, objectives: map[string]config.Objectives{}, workspaces: map[string]*account{}}
}

// SetConfig takes over the objectives of a configuration. Workspaces that it does not contain are
// forgotten.
func (r *Recorder) SetConfig(c *config.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = make(map[string]config.Objectives, len(c.Workspaces))
	for i := range c.Workspaces {
		r.objectives[c.Workspaces[i].Name] = c.Workspaces[i].Objectives
	}
	for name, a := range r.workspaces {
		if _, ok := r.objectives[name]; !ok {
			delete(r.workspaces, name)
			r.dropSpread(a)
		}
	}
}

func (r *Recorder) dropSpread(a *account) {
	if a.spread != nil {
		a.spread = nil
		r.histograms--
	}
}

// RequestDone counts a finished request. Requests of unknown workspaces are ignored.
func (r *Recorder) RequestDone(now time.Time, workspace string, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	levels, ok := r.objectives[workspace]
	if !ok {
		return
	}
	counts, cause := judge(o, levels)
	a := r.account(now, workspace)
	a.history.add(now, counts)
	if counts.bad() > 0 {
		if o.Cause != "" {
			cause = o.Cause
		}
		a.causes.add(now, cause)
	}
	r.fleet.record(now, o)
	if a.spread != nil {
		a.spread.record(now, o)
	}
}

// account returns the workspace's account and gives it histograms while there are few enough.
func (r *Recorder) account(now time.Time, workspace string) *account {
	a, ok := r.workspaces[workspace]
	if !ok {
		a = &account{history: newHistory()}
		r.workspaces[workspace] = a
	}
	if a.spread != nil {
		return a
	}
	if r.histograms >= maxHistograms {
		r.dropIdleSpreads(now)
	}
	if r.histograms < maxHistograms {
		a.spread = &spread{}
		r.histograms++
	}
	return a
}

// dropIdleSpreads frees the histograms of workspaces without requests in the last hour. It runs at
// most once per hour, because it visits all workspaces.
func (r *Recorder) dropIdleSpreads(now time.Time) {
	if r.idleCheck == hourOf(now) {
		return
	}
	r.idleCheck = hourOf(now)
	for _, a := range r.workspaces {
		if a.spread != nil && hourOf(now)-a.spread.hour > 1 {
			r.dropSpread(a)
		}
	}
}

// spread is the distribution of times in the current and the previous hour.
type spread struct {
	hour         int64
	ttft, gap    Histogram
	ttft1, gap1  Histogram
	everRecorded bool
}

func hourOf(now time.Time) int64 { return now.Unix() / int64(time.Hour/time.Second) }

// rotate starts a new hour.
func (s *spread) rotate(now time.Time) {
	hour := hourOf(now)
	if s.everRecorded && hour <= s.hour {
		return
	}
	if hour == s.hour+1 {
		s.ttft1, s.gap1 = s.ttft, s.gap
	} else {
		s.ttft1, s.gap1 = Histogram{}, Histogram{}
	}
	s.ttft, s.gap = Histogram{}, Histogram{}
	s.hour, s.everRecorded = hour, true
}

func (s *spread) record(now time.Time, o Outcome) {
	s.rotate(now)
	if o.TTFT > 0 && !o.Plain && !(o.Abandoned && o.MaxBetweenTokens == 0) {
		s.ttft.record(o.TTFT)
	}
	if o.MaxBetweenTokens > 0 {
		s.gap.record(o.MaxBetweenTokens)
	}
}

// current returns the distributions of the last one to two hours.
func (s *spread) current(now time.Time) (ttft, gap Histogram) {
	s.rotate(now)
	ttft.merge(&s.ttft)
	ttft.merge(&s.ttft1)
	gap.merge(&s.gap)
	gap.merge(&s.gap1)
	return ttft, gap
}

// causes counts misses by cause in the current and the previous hour.
type causes struct {
	hour            int64
	counts, counts1 map[string]uint64
}

func (c *causes) rotate(now time.Time) {
	hour := hourOf(now)
	if hour <= c.hour {
		return
	}
	c.counts1 = nil
	if hour == c.hour+1 {
		c.counts1 = c.counts
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
	for cause, count := range c.counts1 {
		sum[cause] += count
	}
	return sum
}
