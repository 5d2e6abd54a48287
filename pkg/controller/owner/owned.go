package owner

import (
	"context"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/admission"
	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/cacheindex"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/placement"
)

// ownedEngine holds the queue, the cache index and the last reports of one engine that this node
// owns.
type ownedEngine struct {
	owner    *Owner
	id       string
	address  string
	reporter engine.Reporter
	stopped  chan struct{}
	// snapshotLoaded is closed after the first cache snapshot, of whichever incarnation, was loaded.
	snapshotLoaded chan struct{}

	mu    sync.Mutex
	index *cacheindex.Index
	queue *admission.Queue
	// waiting holds the prompts of queued requests by request id, prefilling those of granted
	// requests without a first token by slot.
	waiting    map[string]*pendingPrompt
	prefilling map[uint64]*pendingPrompt
	// missingTokensStale is set when the index has changed since the queued tickets were updated.
	missingTokensStale bool
	state              engine.State
	reachable          bool
	// failures is the number of failed calls in a row.
	failures       int
	summaryVersion uint64
	closed         bool
}

// pendingPrompt is the prompt of a request that is queued or in prefill.
type pendingPrompt struct {
	requestID    string
	prefixHashes []uint64
	pieceTokens  []int
	totalTokens  int
	// reply receives the one reply to a queued request.
	reply chan *peerpb.AcquireReply
	// cachedPieces is the number of leading pieces that the reply reports as cached. A reply that
	// declines also counts the pieces that other requests compute first.
	cachedPieces int
}

func newOwnedEngine(o *Owner, id, address string, reporter engine.Reporter) *ownedEngine {
	e := &ownedEngine{
		owner:          o,
		id:             id,
		address:        address,
		reporter:       reporter,
		stopped:        make(chan struct{}),
		snapshotLoaded: make(chan struct{}),
		index:          cacheindex.New(o.options.Index),
		queue:          admission.New(o.options.Queue, o.curves, uint64(o.options.Now().UnixNano())),
		waiting:        map[string]*pendingPrompt{},
		prefilling:     map[uint64]*pendingPrompt{},
		reachable:      true,
	}
	e.restoreFromBoard()
	return e
}

// restoreFromBoard starts from the prefill rate and the engine state that the previous owner
// published.
func (e *ownedEngine) restoreFromBoard() {
	if s, ok := e.owner.options.Board.Summaries.Get(e.id); ok {
		e.queue.Rates().SetPrefillRate(s.Value.PrefillRate)
	}
	if b, ok := e.owner.options.Board.Engines.Get(e.id); ok && b.Value.HasState {
		e.state = b.Value.State
		e.queue.SetMaxBatch(b.Value.State.MaxBatch)
	}
}

func (e *ownedEngine) now() time.Time { return e.owner.options.Now() }

// stop ends the engine's loops and replies NOT_OWNER to all queued requests.
func (e *ownedEngine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	close(e.stopped)
	e.replyToAll(peerpb.AcquireReply_NOT_OWNER)
}

// replyToAll empties the queue and sends every queued request the same verdict. The caller holds
// mu.
func (e *ownedEngine) replyToAll(v peerpb.AcquireReply_Verdict) {
	for _, id := range e.queue.Drain() {
		e.replyTo(id, &peerpb.AcquireReply{Verdict: v})
	}
}

// replyTo sends the reply to a queued request and removes its prompt. The caller holds mu.
func (e *ownedEngine) replyTo(ticketID string, reply *peerpb.AcquireReply) *pendingPrompt {
	p, ok := e.waiting[ticketID]
	if !ok {
		return nil
	}
	delete(e.waiting, ticketID)
	e.index.RemovePlanned(p.prefixHashes)
	p.reply <- reply
	return p
}

func (e *ownedEngine) acquire(ctx context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	if err := e.waitForSnapshot(ctx); err != nil {
		return nil, err
	}
	p, immediate := e.enqueue(r)
	if immediate != nil {
		return immediate, nil
	}
	select {
	case reply := <-p.reply:
		if ctx.Err() != nil && reply.GetVerdict() == peerpb.AcquireReply_GRANTED {
			e.release(&peerpb.ReleaseRequest{Slot: reply.GetSlot(), Stage: peerpb.ReleaseRequest_DONE, Abandoned: true})
			return nil, ctx.Err()
		}
		return reply, nil
	case <-ctx.Done():
		e.cancelAcquire(r.GetRequestId(), p)
		return nil, ctx.Err()
	}
}

func (e *ownedEngine) waitForSnapshot(ctx context.Context) error {
	timer := time.NewTimer(e.owner.options.SnapshotTimeout)
	defer timer.Stop()
	select {
	case <-e.snapshotLoaded:
	case <-e.stopped:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// enqueue adds the request to the queue and returns its prompt, or returns the reply to a request
// that was refused.
func (e *ownedEngine) enqueue(r *peerpb.AcquireRequest) (*pendingPrompt, *peerpb.AcquireReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.closed:
		return nil, &peerpb.AcquireReply{Verdict: peerpb.AcquireReply_NOT_OWNER}
	case e.waiting[r.GetRequestId()] != nil:
		return nil, e.newReply(peerpb.AcquireReply_DECLINED, admission.Outcome{}, 0)
	case !e.reachable || e.isLeaving():
		return nil, e.newReply(peerpb.AcquireReply_ENGINE_LEAVING, admission.Outcome{}, 0)
	}
	now := e.now()
	p := newPendingPrompt(r)
	t := e.newTicket(now, r, p)
	outcome := e.queue.Enqueue(now, t)
	if outcome.Verdict != admission.Queued {
		return nil, e.newReply(verdictOf(outcome.Verdict), outcome, p.cachedPieces)
	}
	e.waiting[t.ID] = p
	e.index.AddPlanned(p.prefixHashes)
	e.grantWaiting(now)
	return p, nil
}

func (e *ownedEngine) isLeaving() bool {
	if e.state.Leaving {
		return true
	}
	b, ok := e.owner.options.Board.Engines.Get(e.id)
	return ok && b.Value.Leaving
}

func newPendingPrompt(r *peerpb.AcquireRequest) *pendingPrompt {
	p := &pendingPrompt{requestID: r.GetRequestId(), prefixHashes: r.GetKeys(), reply: make(chan *peerpb.AcquireReply, 1)}
	p.pieceTokens = make([]int, len(p.prefixHashes))
	for i := range p.pieceTokens {
		if i < len(r.GetPieceTokens()) {
			p.pieceTokens[i] = int(r.GetPieceTokens()[i])
		}
		p.totalTokens += p.pieceTokens[i]
	}
	return p
}

// tokensOfFirst returns the number of tokens in the first pieces of the prompt.
func (p *pendingPrompt) tokensOfFirst(pieces int) int {
	sum := 0
	for _, t := range p.pieceTokens[:min(pieces, len(p.pieceTokens))] {
		sum += t
	}
	return sum
}

func (e *ownedEngine) newTicket(now time.Time, r *peerpb.AcquireRequest, p *pendingPrompt) admission.Ticket {
	t := admission.Ticket{
		ID:           r.GetRequestId(),
		Workspace:    r.GetWorkspace(),
		Weight:       int(r.GetWeight()),
		Arrived:      now.Add(-ms(r.GetAgeMs())),
		DeclineOver:  ms(r.GetDeclineOverMs()),
		Patience:     ms(r.GetPatienceMs()),
		OutputTokens: int(r.GetMaxOutputTokens()),
	}
	if r.GetDeadlineMs() > 0 {
		t.Deadline = now.Add(ms(r.GetDeadlineMs()))
	}
	policy := defaultPolicy
	if current := e.owner.options.Board.CurrentConfig(); current != nil {
		policy = current.Policy
	}
	t.RecomputeFactor = placement.RecomputeFactor(policy)
	e.updateMissingTokens(now, &t, p)
	// Pieces that other requests compute first are not recomputed for this one.
	p.cachedPieces = e.index.Depth(now, p.prefixHashes).Planned
	t.AddedTokens = p.totalTokens - p.tokensOfFirst(p.cachedPieces)
	return t
}

// defaultPolicy applies until the board has a configuration.
var defaultPolicy config.Policy

// prefillWaitMargin is how far a prefill may exceed its predicted end before the requests that wait
// for its prefix stop waiting.
const prefillWaitMargin = 100 * time.Millisecond

// updateMissingTokens sets the ticket's number of uncached prompt tokens from the index. If another
// request is computing the same prefix, the ticket is held until that prefill ends, provided that
// this is faster than computing the prefix again.
func (e *ownedEngine) updateMissingTokens(now time.Time, t *admission.Ticket, p *pendingPrompt) {
	depth := e.index.Depth(now, p.prefixHashes)
	p.cachedPieces = depth.Suspect
	cachedTokens := p.tokensOfFirst(depth.Suspect)
	pendingTokens := p.tokensOfFirst(depth.Pending)
	t.MissingTokens = p.totalTokens - cachedTokens
	t.HeldUntil = time.Time{}
	if pendingTokens == cachedTokens {
		return
	}
	rate := e.queue.Rates().PrefillRate()
	wait := depth.PendingReady.Sub(now)
	compute := time.Duration(float64(pendingTokens-cachedTokens) / rate * float64(time.Second))
	if wait <= compute+prefillWaitMargin {
		t.MissingTokens = p.totalTokens - pendingTokens
		t.HeldUntil = depth.PendingReady.Add(prefillWaitMargin)
	}
}

// grantWaiting grants slots to queued requests as far as the engine has room, and refuses those that
// can no longer meet their deadline. If the engine is leaving, all queued requests get
// ENGINE_LEAVING, so that their entry nodes send them to other engines. The caller holds mu.
func (e *ownedEngine) grantWaiting(now time.Time) {
	if e.queue.Waiting() > 0 && e.isLeaving() {
		e.replyToAll(peerpb.AcquireReply_ENGINE_LEAVING)
		return
	}
	for _, outcome := range e.queue.DropLate(now) {
		e.replyTo(outcome.TicketID, e.newReply(verdictOf(outcome.Verdict), outcome, 0))
	}
	for {
		if e.missingTokensStale {
			e.missingTokensStale = false
			e.queue.UpdateWaiting(func(t *admission.Ticket) { e.updateMissingTokens(now, t, e.waiting[t.ID]) })
		}
		outcome, ok := e.queue.GrantNext(now)
		if !ok {
			return
		}
		e.grant(now, outcome)
	}
}

func (e *ownedEngine) grant(now time.Time, outcome admission.Outcome) {
	p := e.waiting[outcome.TicketID]
	p.cachedPieces = e.index.Depth(now, p.prefixHashes).Suspect
	reply := e.newReply(peerpb.AcquireReply_GRANTED, outcome, p.cachedPieces)
	reply.Slot = outcome.Slot
	reply.CopyFrom = e.copySource(p)
	e.prefilling[outcome.Slot] = p
	e.replyTo(outcome.TicketID, reply)
	e.index.PrefillStarted(outcome.Slot, p.prefixHashes, now.Add(outcome.PredictedTTFT))
	e.missingTokensStale = true
}

// newReply returns a reply of any verdict with the engine's current summary. The caller holds mu.
func (e *ownedEngine) newReply(v peerpb.AcquireReply_Verdict, outcome admission.Outcome, cachedPieces int) *peerpb.AcquireReply {
	return &peerpb.AcquireReply{
		Verdict:      v,
		CachedPieces: uint32(cachedPieces),
		PredictedMs:  uint32(outcome.PredictedTTFT.Milliseconds()),
		Incarnation:  e.state.Incarnation,
		Summary:      e.summary(),
	}
}

// cancelAcquire removes the queued request of a caller that has disconnected. If a slot was granted
// at the same moment, it is freed.
func (e *ownedEngine) cancelAcquire(ticketID string, p *pendingPrompt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if e.queue.Cancel(now, ticketID) {
		delete(e.waiting, ticketID)
		e.index.RemovePlanned(p.prefixHashes)
		return
	}
	select {
	case reply := <-p.reply:
		if reply.GetVerdict() == peerpb.AcquireReply_GRANTED {
			e.freeSlot(now, reply.GetSlot(), true, false)
		}
	default:
	}
	e.grantWaiting(now)
}

// summary returns the engine's load with a higher version than any summary before. The caller holds
// mu.
func (e *ownedEngine) summary() *peerpb.EngineSummary {
	return summaryProto(e.id, e.summaryEntry())
}

func (e *ownedEngine) summaryEntry() blackboard.SummaryEntry {
	// Versions derive from the clock, so that they also increase across a restart of this node.
	e.summaryVersion = max(e.summaryVersion+1, uint64(e.now().UnixMicro()))
	return blackboard.SummaryEntry{
		Owner:         e.owner.options.Self,
		Incarnation:   e.state.Incarnation,
		Running:       e.queue.Running(),
		Queued:        e.queue.Waiting(),
		BacklogTokens: e.queue.BacklogTokens(),
		PrefillRate:   e.queue.Rates().PrefillRate(),
		StepTime:      e.queue.Rates().StepTime(),
		Leaving:       e.state.Leaving || !e.reachable,
		Suspect:       e.index.Suspect(),
		Version:       e.summaryVersion,

		Model:          e.state.Model,
		WeightsVersion: e.state.WeightsVersion,
	}
}
