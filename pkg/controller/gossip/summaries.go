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

// A summary is sent in two forms. The full form goes to all nodes when an engine's identity changes
// and at long intervals. The load form omits incarnation (the ID of the engine's process, new after each
// restart), model and weights version. It goes only to nodes in the data centre of the engine's owner,
// or to all nodes if the fleet is small.
const (
	// summaryBytesPerSecond bounds the summaries that a node sends. All control traffic of a node
	// may take 9 KB/s, most of which is needed for RPC calls between nodes.
	summaryBytesPerSecond = 2000
	summaryBurst          = 2000
	// fullBudgetShare is the part of summaryBytesPerSecond from which the interval of full
	// summaries is computed; the rest determines the interval of loads.
	fullBudgetShare = 1.0 / 3
	// fullSizeBytes and loadSizeBytes are the typical encoded sizes of the two forms.
	fullSizeBytes = 90
	loadSizeBytes = 55
	// fullRepeats and loadRepeats bound how many times one node sends one version of a summary.
	// Loads are repeated less, because the next load replaces one that is lost.
	fullRepeats = 4
	loadRepeats = 2
	// smallFleetEngines is the number of engines up to which loads are sent to all nodes.
	smallFleetEngines = 64

	minFullInterval = 2 * time.Second
	maxFullInterval = 5 * time.Minute
	minLoadInterval = 500 * time.Millisecond
	maxLoadInterval = 30 * time.Second
	// loadRefreshIntervals is the number of load intervals after which an unchanged load is sent
	// again.
	loadRefreshIntervals = 4
	// minLoadChange is the relative change of a load value that must be exceeded for the load to
	// be sent before it is due for a refresh.
	minLoadChange = 0.1
	// summaryTTL is the time after which a summary that was not received again is removed. It
	// exceeds maxFullInterval, so that engines whose owner still publishes them are kept.
	summaryTTL = 15 * time.Minute
	// summaryOverheadBytes is the maximum size of the protobuf tag and length that precede a
	// summary in a message.
	summaryOverheadBytes = 4
)

// engineSummary is the state of one engine's summary on this node.
type engineSummary struct {
	engine string
	// latest is the version that messages carry.
	latest blackboard.SummaryEntry
	// published is the summary that this node last queued as the engine's owner, with the times at
	// which a full form and a load form were last queued.
	published    blackboard.SummaryEntry
	fullQueuedAt time.Time
	loadQueuedAt time.Time
	// fullRepeatsLeft and loadRepeatsLeft count the remaining messages in which each form is sent.
	fullRepeatsLeft int
	loadRepeatsLeft int
	timesSent       int
	// holders are the members that sent this node the latest version or were sent it.
	holders []string
	// informed holds, if this node is the engine's owner, the members to which it has sent the full form since
	// fullQueuedAt.
	informed map[string]bool
}

// summaryQueue selects the engine summaries that go into each message.
type summaryQueue struct {
	self     string
	limiter  *rate.Limiter
	byEngine map[string]*engineSummary
	// pending holds the summaries with repeats left.
	pending      []*engineSummary
	boardVersion uint64
	// localEngines is the number of engines whose owner is in this node's data centre.
	localEngines int
}

func newSummaryQueue(self string) *summaryQueue {
	return &summaryQueue{
		self:     self,
		limiter:  rate.NewLimiter(summaryBytesPerSecond, summaryBurst),
		byEngine: map[string]*engineSummary{},
	}
}

func (s *summaryQueue) getOrCreate(engine string) *engineSummary {
	e, ok := s.byEngine[engine]
	if !ok {
		e = &engineSummary{engine: engine}
		s.byEngine[engine] = e
	}
	return e
}

// enqueue queues a new version of a summary, which holders have already.
func (s *summaryQueue) enqueue(e *engineSummary, holders ...string) {
	e.timesSent = 0
	e.holders = append(e.holders[:0], holders...)
	if !slices.Contains(s.pending, e) {
		s.pending = append(s.pending, e)
	}
}

// repeatInterval returns the interval, between shortest and longest, at which the summaries of count
// engines can be queued again. Each takes the given number of bytes and is sent repeats times; all
// together may use a share of summaryBytesPerSecond.
func repeatInterval(count, bytes, repeats int, share float64, shortest, longest time.Duration) time.Duration {
	seconds := float64(count*bytes*repeats) / (summaryBytesPerSecond * share)
	return min(max(time.Duration(seconds*float64(time.Second)), shortest), longest)
}

func (s *summaryQueue) fullInterval() time.Duration {
	return repeatInterval(len(s.byEngine), fullSizeBytes, fullRepeats, fullBudgetShare, minFullInterval, maxFullInterval)
}

func (s *summaryQueue) loadInterval() time.Duration {
	count := s.localEngines
	if s.sendsLoadsToAll() {
		count = len(s.byEngine)
	}
	return repeatInterval(count, loadSizeBytes, loadRepeats, 1-fullBudgetShare, minLoadInterval, maxLoadInterval)
}

func (s *summaryQueue) sendsLoadsToAll() bool { return len(s.byEngine) <= smallFleetEngines }

// publishSummaries queues the summaries of this node's own engines that changed or are due again.
func (c *Controller) publishSummaries(now time.Time) {
	s := c.summaries
	version := c.options.Board.Summaries.Version()
	if version == s.boardVersion {
		return
	}
	s.boardVersion = version
	s.localEngines = 0
	for engine, entry := range c.options.Board.Summaries.Snapshot() {
		owner, _ := c.machine.Member(entry.Value.Owner)
		if owner.DataCentre == c.options.DataCentre {
			s.localEngines++
		}
		if entry.Value.Owner == s.self {
			s.publish(now, engine, entry.Value)
		}
	}
}

func (s *summaryQueue) publish(now time.Time, engine string, entry blackboard.SummaryEntry) {
	e := s.getOrCreate(engine)
	e.latest = entry
	switch {
	case !sameIdentity(entry, e.published) || now.Sub(e.fullQueuedAt) >= s.fullInterval():
		e.fullQueuedAt = now
		e.fullRepeatsLeft = fullRepeats
		e.informed = map[string]bool{}
	case now.Sub(e.loadQueuedAt) < s.loadInterval():
		return
	case loadChanged(entry, e.published) || now.Sub(e.loadQueuedAt) >= loadRefreshIntervals*s.loadInterval():
		e.loadRepeatsLeft = loadRepeats
	default:
		return
	}
	e.loadQueuedAt = now
	e.published = entry
	s.enqueue(e)
}

func sameIdentity(a, b blackboard.SummaryEntry) bool {
	return a.Owner == b.Owner && a.Incarnation == b.Incarnation && a.Model == b.Model &&
		a.WeightsVersion == b.WeightsVersion && a.Leaving == b.Leaving
}

func loadChanged(a, b blackboard.SummaryEntry) bool {
	return loadDiffers(float64(a.Running), float64(b.Running)) ||
		loadDiffers(float64(a.Queued), float64(b.Queued)) ||
		loadDiffers(float64(a.BacklogTokens), float64(b.BacklogTokens)) ||
		loadDiffers(a.PrefillRate, b.PrefillRate) ||
		loadDiffers(a.StepTime.Seconds(), b.StepTime.Seconds()) ||
		a.Suspect != b.Suspect
}

func loadDiffers(a, b float64) bool { return math.Abs(a-b) > minLoadChange*max(a, b) }

// attachSummaries fills the remaining room of a message with pending summaries, those sent least
// often first.
func (c *Controller) attachSummaries(now time.Time, send membership.Send) {
	s := c.summaries
	target, known := c.machine.Member(send.Name)
	if !known || len(s.pending) == 0 {
		return
	}
	others := c.machine.Live() - 1
	withLoads := s.sendsLoadsToAll() || target.DataCentre == c.options.DataCentre
	remaining := membership.DefaultMaxPayload - proto.Size(send.Message)
	slices.SortFunc(s.pending, func(a, b *engineSummary) int {
		return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), cmp.Compare(a.engine, b.engine))
	})
	for _, e := range s.pending {
		if e.isRedundantFor(send.Name, others) {
			continue
		}
		update := e.toProto(send.Name, withLoads)
		if update == nil {
			continue
		}
		size := proto.Size(update) + summaryOverheadBytes
		if size > remaining || !s.limiter.AllowN(now, size) {
			break
		}
		remaining -= size
		e.recordSent(send.Name)
		send.Message.Engines = append(send.Message.Engines, update)
	}
	s.pending = slices.DeleteFunc(s.pending, func(e *engineSummary) bool { return e.fullRepeatsLeft <= 0 && e.loadRepeatsLeft <= 0 })
}

// toProto returns the summary for a message, or nil if no form is due for the receiver. withLoads
// states whether the receiver gets loads. A load from the engine's owner takes the full form once for each member, since
// members drop a load of an engine whose full form has not reached them.
func (e *engineSummary) toProto(member string, withLoads bool) *peerpb.EngineSummary {
	if e.fullRepeatsLeft <= 0 && (e.loadRepeatsLeft <= 0 || !withLoads) {
		return nil
	}
	update := peer.SummaryProto(e.engine, e.latest)
	if e.fullRepeatsLeft <= 0 && (e.informed == nil || e.informed[member]) {
		update.Incarnation, update.Model, update.WeightsVersion = "", "", ""
	}
	return update
}

// isRedundantFor returns whether a message to member would spend one of the few repeats on a member that has the version
// while one of others, the number of live members beside this node, may lack it. When each has been sent it, the rest of
// the repeats replaces lost messages.
func (e *engineSummary) isRedundantFor(member string, others int) bool {
	return len(e.holders) < others && slices.Contains(e.holders, member)
}

func (e *engineSummary) recordSent(member string) {
	if !slices.Contains(e.holders, member) {
		e.holders = append(e.holders, member)
	}
	if e.informed != nil {
		e.informed[member] = true
	}
	e.timesSent++
	e.loadRepeatsLeft--
	e.fullRepeatsLeft--
}

// applySummaries records newer summaries on the blackboard and queues them for other nodes.
func (c *Controller) applySummaries(now time.Time, from string, updates []*peerpb.EngineSummary) {
	for _, update := range updates {
		if update.Engine == "" || update.Owner == c.options.Name {
			continue
		}
		entry, ok := c.storeSummary(now, update)
		if !ok {
			continue
		}
		summary := c.summaries.getOrCreate(update.Engine)
		summary.latest = entry
		if update.Incarnation != "" {
			summary.fullRepeatsLeft = fullRepeats - 1
		} else {
			summary.loadRepeatsLeft = loadRepeats - 1
		}
		c.summaries.enqueue(summary, from)
	}
}

// storeSummary records a summary if it is newer than the one on the blackboard, and returns the entry
// and whether it was recorded. A load keeps the identity of the recorded entry and is ignored if there
// is no entry of the same owner.
func (c *Controller) storeSummary(now time.Time, update *peerpb.EngineSummary) (blackboard.SummaryEntry, bool) {
	entry := peer.SummaryFromProto(update)
	changed := c.options.Board.Summaries.Update(update.Engine, c.evidence(now), func(old blackboard.Entry[blackboard.SummaryEntry], ok bool) (blackboard.SummaryEntry, bool) {
		if ok && update.Version <= old.Value.Version {
			return old.Value, false
		}
		if update.Incarnation != "" {
			return entry, true
		}
		entry.Incarnation = old.Value.Incarnation
		entry.Model = old.Value.Model
		entry.WeightsVersion = old.Value.WeightsVersion
		return entry, ok && old.Value.Owner == entry.Owner
	})
	return entry, changed
}

// removeExpiredSummaries removes the engines whose summaries were not received for summaryTTL.
func (c *Controller) removeExpiredSummaries(now time.Time) {
	for engine, entry := range c.options.Board.Summaries.Snapshot() {
		if entry.Evidence.Source == EvidenceSource && entry.Evidence.Age(now) >= summaryTTL {
			c.options.Board.Summaries.Delete(engine)
			delete(c.summaries.byEngine, engine)
		}
	}
}
