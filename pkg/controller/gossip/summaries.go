package gossip

import (
	"cmp"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/membership"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// A summary travels in two forms. The full form goes to all nodes when an engine's identity
// changes and at long intervals. The load form has no incarnation, goes to nodes of the owner's
// data centre, and to all in a small fleet.
const (
	// summaryBytesPerSecond bounds what summaries cost a node. The budget for all control
	// traffic is 9 KB/s, most of which the calls between nodes need.
	summaryBytesPerSecond = 2000
	summaryBurst          = 2000
	// fullShare of the budget is for full summaries when intervals are chosen.
	fullShare = 1.0 / 3
	fullBytes = 90
	loadBytes = 55
	// fullRepeats and loadRepeats bound how often one node passes on one version. A lost load
	// is replaced by the next one, so it is repeated less.
	fullRepeats = 4
	loadRepeats = 2
	// smallFleet is the number of engines up to which loads go to all nodes.
	smallFleet = 64

	minFullInterval = 2 * time.Second
	maxFullInterval = 5 * time.Minute
	minLoadInterval = 500 * time.Millisecond
	maxLoadInterval = 30 * time.Second
	// loadRefresh is the number of load intervals after which an unchanged load is repeated.
	loadRefresh = 4
	// loadChange is the relative change of a load that is worth a message.
	loadChange = 0.1
	// forgetSummary removes summaries that nobody repeats. It exceeds maxFullInterval.
	forgetSummary = 15 * time.Minute
	// summaryOverhead is the most that tag and length add to a summary, in bytes.
	summaryOverhead = 4
)

// summary is the state of one engine's summary on this node.
type summary struct {
	engine    string
	latest    blackboard.SummaryEntry
	published blackboard.SummaryEntry
	fullAt    time.Time
	loadAt    time.Time
	fullLeft  int
	loadLeft  int
	sent      int
}

// summaries decides which engine summaries go into which message.
type summaries struct {
	self    string
	limiter *rate.Limiter
	known   map[string]*summary
	// active are those with repeats left.
	active  []*summary
	version uint64
	local   int
}

func newSummaries(self string) *summaries {
	return &summaries{
		self:    self,
		limiter: rate.NewLimiter(summaryBytesPerSecond, summaryBurst),
		known:   map[string]*summary{},
	}
}

func (s *summaries) get(engine string) *summary {
	x, ok := s.known[engine]
	if !ok {
		x = &summary{engine: engine}
		s.known[engine] = x
	}
	return x
}

func (s *summaries) activate(x *summary) {
	x.sent = 0
	if !slices.Contains(s.active, x) {
		s.active = append(s.active, x)
	}
}

// interval returns how often each of count engines can be repeated within a part of the budget.
func interval(count, bytes, repeats int, share float64, shortest, longest time.Duration) time.Duration {
	seconds := float64(count*bytes*repeats) / (summaryBytesPerSecond * share)
	return min(max(time.Duration(seconds*float64(time.Second)), shortest), longest)
}

func (s *summaries) fullInterval() time.Duration {
	return interval(len(s.known), fullBytes, fullRepeats, fullShare, minFullInterval, maxFullInterval)
}

func (s *summaries) loadInterval() time.Duration {
	count := s.local
	if s.loadsToAll() {
		count = len(s.known)
	}
	return interval(count, loadBytes, loadRepeats, 1-fullShare, minLoadInterval, maxLoadInterval)
}

func (s *summaries) loadsToAll() bool { return len(s.known) <= smallFleet }

// publishSummaries queues the summaries that this node's owners changed.
func (c *Controller) publishSummaries(now time.Time) {
	s := c.summaries
	version := c.o.Board.Summaries.Version()
	if version == s.version {
		return
	}
	s.version = version
	s.local = 0
	for engine, entry := range c.o.Board.Summaries.Snapshot() {
		owner, _ := c.machine.Member(entry.Value.Owner)
		if owner.DataCentre == c.o.DataCentre {
			s.local++
		}
		if entry.Value.Owner == s.self {
			s.publish(now, engine, entry.Value)
		}
	}
}

func (s *summaries) publish(now time.Time, engine string, entry blackboard.SummaryEntry) {
	x := s.get(engine)
	x.latest = entry
	switch {
	case !sameIdentity(entry, x.published) || now.Sub(x.fullAt) >= s.fullInterval():
		x.fullAt = now
		x.fullLeft = fullRepeats
	case now.Sub(x.loadAt) < s.loadInterval():
		return
	case loadChanged(entry, x.published) || now.Sub(x.loadAt) >= loadRefresh*s.loadInterval():
		x.loadLeft = loadRepeats
	default:
		return
	}
	x.loadAt = now
	x.published = entry
	s.activate(x)
}

func sameIdentity(a, b blackboard.SummaryEntry) bool {
	return a.Owner == b.Owner && a.Incarnation == b.Incarnation && a.Model == b.Model &&
		a.WeightsVersion == b.WeightsVersion && a.Leaving == b.Leaving
}

func loadChanged(a, b blackboard.SummaryEntry) bool {
	return differs(float64(a.Running), float64(b.Running)) ||
		differs(float64(a.Queued), float64(b.Queued)) ||
		differs(float64(a.BacklogTokens), float64(b.BacklogTokens)) ||
		differs(a.PrefillRate, b.PrefillRate) ||
		differs(a.StepTime.Seconds(), b.StepTime.Seconds()) ||
		a.Suspect != b.Suspect
}

func differs(a, b float64) bool { return math.Abs(a-b) > loadChange*max(a, b) }

// attachSummaries fills the rest of a message with the summaries that were sent least.
func (c *Controller) attachSummaries(now time.Time, send membership.Send) {
	s := c.summaries
	target, known := c.machine.Member(send.Name)
	if !known || len(s.active) == 0 {
		return
	}
	loads := s.loadsToAll() || target.DataCentre == c.o.DataCentre
	room := membership.DefaultMaxPayload - proto.Size(send.Message)
	slices.SortFunc(s.active, func(a, b *summary) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.engine, b.engine))
	})
	for _, x := range s.active {
		update := x.form(loads)
		if update == nil {
			continue
		}
		size := proto.Size(update) + summaryOverhead
		if size > room || !s.limiter.AllowN(now, size) {
			break
		}
		room -= size
		x.count()
		send.Message.Engines = append(send.Message.Engines, update)
	}
	s.active = slices.DeleteFunc(s.active, func(x *summary) bool { return x.fullLeft <= 0 && x.loadLeft <= 0 })
}

// form returns the summary as it goes into a message, or nil if it does not.
func (x *summary) form(loads bool) *peerpb.EngineSummary {
	if x.fullLeft <= 0 && (x.loadLeft <= 0 || !loads) {
		return nil
	}
	update := peer.SummaryProto(x.engine, x.latest)
	if x.fullLeft <= 0 {
		update.Incarnation, update.Model, update.WeightsVersion = "", "", ""
	}
	return update
}

func (x *summary) count() {
	x.sent++
	x.loadLeft--
	x.fullLeft--
}

// takeSummaries stores newer summaries and passes them on.
func (c *Controller) takeSummaries(now time.Time, updates []*peerpb.EngineSummary) {
	for _, u := range updates {
		if u.Engine == "" || u.Owner == c.o.Name {
			continue
		}
		entry, ok := c.storeSummary(now, u)
		if !ok {
			continue
		}
		x := c.summaries.get(u.Engine)
		x.latest = entry
		if u.Incarnation != "" {
			x.fullLeft = fullRepeats - 1
		} else {
			x.loadLeft = loadRepeats - 1
		}
		c.summaries.activate(x)
	}
}

func (c *Controller) storeSummary(now time.Time, u *peerpb.EngineSummary) (blackboard.SummaryEntry, bool) {
	entry := peer.SummaryFromProto(u)
	changed := c.o.Board.Summaries.Update(u.Engine, c.evidence(now), func(old blackboard.Entry[blackboard.SummaryEntry], ok bool) (blackboard.SummaryEntry, bool) {
		if ok && u.Version <= old.Value.Version {
			return old.Value, false
		}
		if u.Incarnation != "" {
			return entry, true
		}
		entry.Incarnation = old.Value.Incarnation
		entry.Model = old.Value.Model
		entry.WeightsVersion = old.Value.WeightsVersion
		return entry, ok && old.Value.Owner == entry.Owner
	})
	return entry, changed
}

// dropOldSummaries forgets engines of which nobody has told for long.
func (c *Controller) dropOldSummaries(now time.Time) {
	for engine, entry := range c.o.Board.Summaries.Snapshot() {
		if entry.Evidence.Source == Source && entry.Evidence.Age(now) >= forgetSummary {
			c.o.Board.Summaries.Delete(engine)
			delete(c.summaries.known, engine)
		}
	}
}
