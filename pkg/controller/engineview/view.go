// Package engineview builds the placement.EngineView of every engine from the engines, summaries and
// members on the blackboard, and passes them to a Placer.
package engineview

import (
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/placement"
)

// Options configures a Feeder.
type Options struct {
	Board *blackboard.Board
	// DataCentre and Region are those of this node.
	DataCentre string
	Region     string
	// SameRegionRTT and OtherRegionRTT are the round-trip times to engines in other data centres of
	// this region and of other regions. Defaults 1 ms and 60 ms.
	SameRegionRTT  time.Duration
	OtherRegionRTT time.Duration
}

// Default round-trip times between data centres.
const (
	DefaultSameRegionRTT  = time.Millisecond
	DefaultOtherRegionRTT = 60 * time.Millisecond
)

// Feeder updates a Placer's engines from the board. It is not safe for concurrent use.
type Feeder struct {
	options Options
	placer  *placement.Placer
	// The versions of the sections at the last refresh.
	enginesVersion   uint64
	summariesVersion uint64
	membersVersion   uint64
	refreshed        bool
}

// New returns a Feeder for p. Zero round-trip times are replaced by the defaults.
func New(o Options, p *placement.Placer) *Feeder {
	if o.SameRegionRTT <= 0 {
		o.SameRegionRTT = DefaultSameRegionRTT
	}
	if o.OtherRegionRTT <= 0 {
		o.OtherRegionRTT = DefaultOtherRegionRTT
	}
	return &Feeder{options: o, placer: p}
}

// Refresh passes the board's engines to the Placer and returns true, or returns false if nothing has
// changed since the last call.
func (f *Feeder) Refresh() bool {
	b := f.options.Board
	engines := b.Engines.Version()
	summaries := b.Summaries.Version()
	members := b.Members.Version()
	if f.refreshed && engines == f.enginesVersion && summaries == f.summariesVersion && members == f.membersVersion {
		return false
	}
	f.refreshed = true
	f.enginesVersion = engines
	f.summariesVersion = summaries
	f.membersVersion = members
	f.placer.SetEngines(f.views())
	return true
}

func (f *Feeder) views() []placement.EngineView {
	b := f.options.Board
	regions := f.regions()
	summaries := b.Summaries.Snapshot()
	var views []placement.EngineView
	for id, e := range b.Engines.Snapshot() {
		v := viewOf(e.Value)
		v.ID = id
		v.Region = f.regionOf(v.DataCentre, regions)
		v.NetworkTime = f.networkTime(v.DataCentre, v.Region)
		if s, ok := summaries[id]; ok {
			v.Load = loadOf(s.Value)
			v.Unusable = v.Unusable || s.Value.Leaving
			if !e.Value.HasState {
				v.Incarnation = s.Value.Incarnation
				v.Model = s.Value.Model
				v.WeightsVersion = s.Value.WeightsVersion
			}
		}
		views = append(views, v)
	}
	return views
}

func viewOf(e blackboard.EngineEntry) placement.EngineView {
	v := placement.EngineView{
		Address:    e.Address,
		DataCentre: e.DataCentre,
		Unusable:   e.Leaving || !e.Reachable,
	}
	if e.HasState {
		v.Incarnation = e.State.Incarnation
		v.Model = e.State.Model
		v.WeightsVersion = e.State.WeightsVersion
		v.MaxBatch = e.State.MaxBatch
		v.Unusable = v.Unusable || e.State.Loading || e.State.Leaving || e.State.Role == engine.RoleStandby
	}
	return v
}

func (f *Feeder) regions() map[string]string {
	regions := map[string]string{f.options.DataCentre: f.options.Region}
	for _, m := range f.options.Board.Members.Snapshot() {
		regions[m.Value.DataCentre] = m.Value.Region
	}
	return regions
}

// regionOf returns the region of a data centre. A data centre without members counts as part of
// this node's region, so that its engines are used before the membership reports its first member.
func (f *Feeder) regionOf(dataCentre string, regions map[string]string) string {
	if region, ok := regions[dataCentre]; ok {
		return region
	}
	return f.options.Region
}

func (f *Feeder) networkTime(dataCentre, region string) time.Duration {
	switch {
	case dataCentre == f.options.DataCentre:
		return 0
	case region == f.options.Region:
		return f.options.SameRegionRTT
	}
	return f.options.OtherRegionRTT
}

func loadOf(s blackboard.SummaryEntry) placement.LoadView {
	return placement.LoadView{
		Owner:         s.Owner,
		Version:       s.Version,
		Running:       s.Running,
		Queued:        s.Queued,
		BacklogTokens: s.BacklogTokens,
		PrefillRate:   s.PrefillRate,
		StepTime:      s.StepTime,
		Suspect:       s.Suspect,
	}
}

// LoadOf converts the engine summary of a reply from the engine's owner.
func LoadOf(s *peerpb.EngineSummary) placement.LoadView {
	return placement.LoadView{
		Owner:         s.GetOwner(),
		Version:       s.GetVersion(),
		Running:       int(s.GetRunning()),
		Queued:        int(s.GetQueued()),
		BacklogTokens: int(s.GetBacklogTokens()),
		PrefillRate:   float64(s.GetPrefillRate()),
		StepTime:      time.Duration(s.GetStepUs()) * time.Microsecond,
		Suspect:       s.GetDoubtful(),
	}
}
