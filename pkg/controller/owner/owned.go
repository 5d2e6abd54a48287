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

// owned is one engine that this node owns.
type owned struct {
	owner    *Owner
	id       string
	address  string
	reporter engine.Reporter
	stopped  chan struct{}
	// loaded is closed when the first cache snapshot of any incarnation was taken.
	loaded chan struct{}

	mu        sync.Mutex
	index     *cacheindex.Index
	queue     *admission.Queue
	chains    map[string]*chain
	bySlot    map[uint64]*chain
	dirty     bool
	state     engine.State
	reachable bool
	failures  int
	version   uint64
	closed    bool
}

// chain is the prompt of a request that waits or prefills.
type chain struct {
	request string
	keys    []uint64
	tokens  []int
	total   int
	// reply receives the outcome of a waiting ticket.
	reply chan *peerpb.AcquireReply
	// depth is the number of pieces stated as cached, or as planned when the owner declines.
	depth int
}

func newOwned(o *Owner, id, address string, reporter engine.Reporter) *owned {
	e := &owned{
		owner:     o,
		id:        id,
		address:   address,
		reporter:  reporter,
		stopped:   make(chan struct{}),
		loaded:    make(chan struct{}),
		index:     cacheindex.New(o.options.Index),
		queue:     admission.New(o.options.Queue, o.curves, uint64(o.options.Now().UnixNano())),
		chains:    map[string]*chain{},
		bySlot:    map[uint64]*chain{},
		reachable: true,
	}
	e.learnFromBoard()
	return e
}

// learnFromBoard takes over the rate that the last owner published.
func (e *owned) learnFromBoard() {
	if s, ok := e.owner.options.Board.Summaries.Get(e.id); ok {
		e.queue.Rates().SetPrefillRate(s.Value.PrefillRate)
	}
	if b, ok := e.owner.options.Board.Engines.Get(e.id); ok && b.Value.Known {
		e.state = b.Value.State
		e.queue.SetMaxBatch(b.Value.State.MaxBatch)
	}
}

func (e *owned) now() time.Time { return e.owner.options.Now() }

// stop ends the engine's loops and answers all waiting requests.
func (e *owned) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	close(e.stopped)
	e.answerAll(peerpb.AcquireReply_NOT_OWNER)
}

// answerAll gives all waiting requests the same verdict.
func (e *owned) answerAll(v peerpb.AcquireReply_Verdict) {
	for _, id := range e.queue.Drain() {
		e.finish(id, &peerpb.AcquireReply{Verdict: v})
	}
}

func (e *owned) finish(ticketID string, reply *peerpb.AcquireReply) *chain {
	c, ok := e.chains[ticketID]
	if !ok {
		return nil
	}
	delete(e.chains, ticketID)
	e.index.RemovePlanned(c.keys)
	c.reply <- reply
	return c
}

func (e *owned) acquire(ctx context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	if err := e.waitLoaded(ctx); err != nil {
		return nil, err
	}
	c, immediate := e.ask(r)
	if immediate != nil {
		return immediate, nil
	}
	select {
	case reply := <-c.reply:
		if ctx.Err() != nil && reply.GetVerdict() == peerpb.AcquireReply_GRANTED {
			e.release(&peerpb.ReleaseRequest{Slot: reply.GetSlot(), Stage: peerpb.ReleaseRequest_DONE, Abandoned: true})
			return nil, ctx.Err()
		}
		return reply, nil
	case <-ctx.Done():
		e.abandon(r.GetRequestId(), c)
		return nil, ctx.Err()
	}
}

func (e *owned) waitLoaded(ctx context.Context) error {
	timer := time.NewTimer(e.owner.options.SnapshotWait)
	defer timer.Stop()
	select {
	case <-e.loaded:
	case <-e.stopped:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// ask returns the chain of a queued request, or the reply to a request that was refused.
func (e *owned) ask(r *peerpb.AcquireRequest) (*chain, *peerpb.AcquireReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.closed:
		return nil, &peerpb.AcquireReply{Verdict: peerpb.AcquireReply_NOT_OWNER}
	case e.chains[r.GetRequestId()] != nil:
		return nil, e.refusal(peerpb.AcquireReply_DECLINED, admission.Outcome{}, 0)
	case !e.reachable || e.isLeaving():
		return nil, e.refusal(peerpb.AcquireReply_ENGINE_LEAVING, admission.Outcome{}, 0)
	}
	now := e.now()
	c := newChain(r)
	t := e.ticket(now, r, c)
	o := e.queue.Enqueue(now, t)
	if o.Verdict != admission.Queued {
		return nil, e.refusal(verdictOf(o.Verdict), o, c.depth)
	}
	e.chains[t.ID] = c
	e.index.AddPlanned(c.keys)
	e.pump(now)
	return c, nil
}

func (e *owned) isLeaving() bool {
	if e.state.Leaving {
		return true
	}
	b, ok := e.owner.options.Board.Engines.Get(e.id)
	return ok && b.Value.Leaving
}

func newChain(r *peerpb.AcquireRequest) *chain {
	c := &chain{request: r.GetRequestId(), keys: r.GetKeys(), reply: make(chan *peerpb.AcquireReply, 1)}
	c.tokens = make([]int, len(c.keys))
	for i := range c.tokens {
		if i < len(r.GetPieceTokens()) {
			c.tokens[i] = int(r.GetPieceTokens()[i])
		}
		c.total += c.tokens[i]
	}
	return c
}

func (c *chain) first(pieces int) int {
	sum := 0
	for _, t := range c.tokens[:min(pieces, len(c.tokens))] {
		sum += t
	}
	return sum
}

func (e *owned) ticket(now time.Time, r *peerpb.AcquireRequest, c *chain) admission.Ticket {
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
	e.correct(now, &t, c)
	// Pieces that other requests compute first are not computed again for this one.
	c.depth = e.index.Depth(now, c.keys).Planned
	t.AddedTokens = c.total - c.first(c.depth)
	return t
}

// defaultPolicy holds until the first configuration.
var defaultPolicy config.Policy

// holdSlack allows a pending prefill to be late before its followers stop waiting for it.
const holdSlack = 100 * time.Millisecond

// correct sets the ticket's missing tokens from the index. Where another request is computing the
// same prefix, the ticket waits for it if that is faster than computing the prefix again.
func (e *owned) correct(now time.Time, t *admission.Ticket, c *chain) {
	d := e.index.Depth(now, c.keys)
	c.depth = d.Suspect
	cachedTokens := c.first(d.Suspect)
	pendingTokens := c.first(d.Pending)
	t.MissingTokens = c.total - cachedTokens
	t.HeldUntil = time.Time{}
	if pendingTokens == cachedTokens {
		return
	}
	rate := e.queue.Rates().PrefillRate()
	wait := d.PendingReady.Sub(now)
	compute := time.Duration(float64(pendingTokens-cachedTokens) / rate * float64(time.Second))
	if wait <= compute+holdSlack {
		t.MissingTokens = c.total - pendingTokens
		t.HeldUntil = d.PendingReady.Add(holdSlack)
	}
}

// pump grants what the engine can take now. Requests that wait when the engine starts to leave go
// to other engines. The caller holds mu.
func (e *owned) pump(now time.Time) {
	if e.queue.Waiting() > 0 && e.isLeaving() {
		e.answerAll(peerpb.AcquireReply_ENGINE_LEAVING)
		return
	}
	for _, o := range e.queue.DropLate(now) {
		e.finish(o.TicketID, e.refusal(verdictOf(o.Verdict), o, 0))
	}
	for {
		if e.dirty {
			e.dirty = false
			e.queue.UpdateWaiting(func(t *admission.Ticket) { e.correct(now, t, e.chains[t.ID]) })
		}
		o, ok := e.queue.GrantNext(now)
		if !ok {
			return
		}
		e.granted(now, o)
	}
}

func (e *owned) granted(now time.Time, o admission.Outcome) {
	c := e.chains[o.TicketID]
	c.depth = e.index.Depth(now, c.keys).Suspect
	reply := e.refusal(peerpb.AcquireReply_GRANTED, o, c.depth)
	reply.Slot = o.Slot
	reply.CopyFrom = e.copyFrom(c)
	e.bySlot[o.Slot] = c
	e.finish(o.TicketID, reply)
	e.index.PrefillStarted(o.Slot, c.keys, now.Add(o.PredictedTTFT))
	e.dirty = true
}

func (e *owned) refusal(v peerpb.AcquireReply_Verdict, o admission.Outcome, depth int) *peerpb.AcquireReply {
	return &peerpb.AcquireReply{
		Verdict:      v,
		CachedPieces: uint32(depth),
		PredictedMs:  uint32(o.PredictedTTFT.Milliseconds()),
		Incarnation:  e.state.Incarnation,
		Summary:      e.summary(),
	}
}

// abandon removes the request of a caller who left. A slot that was granted at the same moment is
// freed.
func (e *owned) abandon(ticketID string, c *chain) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if e.queue.Cancel(now, ticketID) {
		delete(e.chains, ticketID)
		e.index.RemovePlanned(c.keys)
		return
	}
	select {
	case reply := <-c.reply:
		if reply.GetVerdict() == peerpb.AcquireReply_GRANTED {
			e.freeSlot(now, reply.GetSlot(), true, false)
		}
	default:
	}
	e.pump(now)
}

// summary returns the current view of the engine with a higher version than any before.
func (e *owned) summary() *peerpb.EngineSummary {
	return summaryProto(e.id, e.summaryEntry())
}

func (e *owned) summaryEntry() blackboard.SummaryEntry {
	// Versions follow the clock, so that they also grow over a restart of this node.
	e.version = max(e.version+1, uint64(e.now().UnixMicro()))
	return blackboard.SummaryEntry{
		Owner:         e.owner.options.Self,
		Incarnation:   e.state.Incarnation,
		Running:       e.queue.Running(),
		Queued:        e.queue.Waiting(),
		BacklogTokens: e.queue.BacklogTokens(),
		PrefillRate:   e.queue.Rates().PrefillRate(),
		StepTime:      e.queue.Rates().StepTime(),
		Leaving:       e.state.Leaving || !e.reachable,
		Doubtful:      e.index.Suspect(),
		Version:       e.version,

		Model:          e.state.Model,
		WeightsVersion: e.state.WeightsVersion,
	}
}
