package routing

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/controller/engineview"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/placement"
	"cassiawall.example/cassiawall/pkg/prefix"
)

// OwnerClient calls the owners of engines. Calls for engines that this node owns use no network.
type OwnerClient interface {
	Acquire(ctx context.Context, owner blackboard.MemberEntry, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error)
	Release(ctx context.Context, owner blackboard.MemberEntry, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error)
}

// OwnerTable finds the owner of an engine. Package controller/owner implements it.
type OwnerTable interface {
	// Of returns the owner of an engine, or false if there is none.
	Of(engineID, dataCentre string) (blackboard.MemberEntry, bool)
}

// OwnerOptions configures an OwnerRouter.
type OwnerOptions struct {
	Board  *blackboard.Board
	Placer *placement.Placer
	Owners OwnerClient
	Table  OwnerTable
	// Copier copies cached pieces where an owner suggests it. Nil means never.
	Copier *Copier
	// Self is the member name of this node.
	Self   string
	Logger *slog.Logger
	Now    func() time.Time
}

// Bounds of calls to owners.
const (
	// releaseTimeout bounds a Release. If it is lost, the slot expires at the owner.
	releaseTimeout = 2 * time.Second
	// renewInterval is a third of the time after which an owner frees a slot without renewal.
	renewInterval = 5 * time.Second
	// acquireSlack is added to the deadline of an Acquire call for the transfer of the reply.
	acquireSlack = 200 * time.Millisecond
)

// OwnerRouter ranks engines at the entry node and acquires a slot from the owner of the best one that
// grants it.
type OwnerRouter struct {
	opt    OwnerOptions
	direct *directLimiter
}

// NewOwnerRouter returns a router.
func NewOwnerRouter(opt OwnerOptions) *OwnerRouter {
	return &OwnerRouter{opt: opt, direct: newDirectLimiter(opt.Board)}
}

// Route implements Router.
func (r *OwnerRouter) Route(ctx context.Context, req *Request) (Slot, error) {
	attempt := r.opt.Placer.Begin(r.opt.Now(), placementRequest(req))
	var lastErr error
	for candidate, ok := attempt.Next(); ok; candidate, ok = attempt.Next() {
		slot, err := r.acquireSlot(ctx, req, &candidate, attempt)
		if err == nil {
			return slot, nil
		}
		if ctx.Err() != nil {
			return nil, fault.Wrap(context.Cause(ctx), fault.Abandoned, "the caller left while the request was queued")
		}
		lastErr = err
	}
	if lastErr == nil {
		return nil, fault.New(fault.NoEngine, "no engine serves model %s version %s", req.Model.Name, req.Model.WeightsVersion)
	}
	return nil, lastErr
}

func placementRequest(req *Request) *placement.Request {
	request := &placement.Request{Pieces: req.Pieces, Model: req.Model.Name, WeightsVersion: req.Model.WeightsVersion,
		Policy: req.Policy, MaxTokens: req.MaxTokens}
	for id := range req.FailedEngines {
		request.Exclude = append(request.Exclude, id)
	}
	return request
}

// maxOwnersPerEngine bounds how many successive owners of one engine are queried while its ownership
// changes.
const maxOwnersPerEngine = 2

// acquireSlot acquires a slot from the owner of one candidate. If no owner responds, it sends the
// request directly.
func (r *OwnerRouter) acquireSlot(ctx context.Context, req *Request, candidate *placement.Candidate, attempt *placement.Attempt) (Slot, error) {
	r.opt.Placer.RecordDispatch(candidate.Engine, candidate.MissingTokens)
	previous := ""
	for range maxOwnersPerEngine {
		owner, ok := r.opt.Table.Of(candidate.Engine, candidate.DataCentre)
		if !ok || owner.Name == previous {
			break
		}
		reply, err := r.callOwner(ctx, req, candidate, owner)
		if err != nil {
			return nil, err
		}
		if reply == nil {
			break
		}
		if reply.Verdict != peerpb.AcquireReply_NOT_OWNER {
			r.recordReply(req, candidate, attempt, reply)
			return r.handleVerdict(ctx, req, candidate, owner, reply)
		}
		previous = owner.Name
	}
	return r.dispatchDirect(ctx, req, candidate)
}

// callOwner calls Acquire on one owner. It returns neither a reply nor an error if the owner does not
// respond.
func (r *OwnerRouter) callOwner(ctx context.Context, req *Request, candidate *placement.Candidate, owner blackboard.MemberEntry) (*peerpb.AcquireReply, error) {
	remaining := req.Deadline.Sub(r.opt.Now())
	if remaining <= 0 {
		return nil, fault.New(fault.DeadlineUnreachable, "the deadline passed while the request was queued")
	}
	callCtx, cancel := context.WithTimeout(ctx, remaining+acquireSlack)
	defer cancel()
	reply, err := r.opt.Owners.Acquire(callCtx, owner, r.acquireRequest(req, candidate, remaining))
	if err != nil {
		go r.releaseAbandoned(owner, candidate.Engine, req.RequestID)
	}
	if err != nil && callCtx.Err() != nil {
		return nil, fault.New(fault.DeadlineUnreachable, "no slot became free within the deadline")
	}
	if err != nil {
		return nil, nil
	}
	return reply, nil
}

// releaseAbandoned releases a slot that the owner may have granted although its reply was lost or came
// too late.
func (r *OwnerRouter) releaseAbandoned(owner blackboard.MemberEntry, engine, requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// If the call is lost, the slot expires at the owner.
	_, _ = r.opt.Owners.Release(ctx, owner, &peerpb.ReleaseRequest{
		Engine: engine, Stage: peerpb.ReleaseRequest_DONE, RequestId: requestID, Abandoned: true,
	})
}

func (r *OwnerRouter) acquireRequest(req *Request, candidate *placement.Candidate, remaining time.Duration) *peerpb.AcquireRequest {
	tokens := make([]uint32, len(req.Pieces))
	for i, p := range req.Pieces {
		tokens[i] = uint32(p.Tokens)
	}
	return &peerpb.AcquireRequest{
		RequestId: req.RequestID, Engine: candidate.Engine, Workspace: req.Workspace.Name, EntryNode: r.opt.Self,
		Keys: prefix.Hashes(req.Pieces), PieceTokens: tokens,
		MaxOutputTokens: uint32(req.MaxTokens), DeadlineMs: uint32(remaining.Milliseconds()),
		DeclineOverMs: uint32(candidate.DeclineOver.Milliseconds()), Weight: uint32(req.Workspace.Weight),
		AgeMs: uint32(r.opt.Now().Sub(req.Arrived).Milliseconds()),
	}
}

// recordReply applies the load and the cached pieces that the owner reports to the placer, and a
// decline to the attempt.
func (r *OwnerRouter) recordReply(req *Request, candidate *placement.Candidate, attempt *placement.Attempt, reply *peerpb.AcquireReply) {
	if reply.Verdict == peerpb.AcquireReply_DECLINED {
		attempt.Declined(time.Duration(reply.PredictedMs)*time.Millisecond, int(reply.CachedPieces))
	}
	if reply.Summary == nil {
		return
	}
	r.opt.Placer.SetLoad(candidate.Engine, reply.Incarnation, engineview.LoadOf(reply.Summary))
	if reply.Verdict == peerpb.AcquireReply_GRANTED || reply.Verdict == peerpb.AcquireReply_DECLINED {
		r.opt.Placer.ObserveCachedPieces(r.opt.Now(), candidate.Engine, reply.Incarnation, req.Pieces, int(reply.CachedPieces))
	}
}

// handleVerdict returns the slot that an owner granted, or the error for its refusal.
func (r *OwnerRouter) handleVerdict(ctx context.Context, req *Request, candidate *placement.Candidate, owner blackboard.MemberEntry, reply *peerpb.AcquireReply) (Slot, error) {
	switch reply.Verdict {
	case peerpb.AcquireReply_GRANTED:
		slot := r.newOwnerSlot(req, candidate, owner, reply)
		if r.opt.Copier != nil && reply.CopyFrom != "" {
			r.opt.Copier.Copy(ctx, req, reply.CopyFrom, candidate.Engine)
		}
		return slot, nil
	case peerpb.AcquireReply_ENGINE_LEAVING:
		return nil, fault.New(fault.NoEngine, "engine %s leaves or is unreachable", candidate.Engine)
	case peerpb.AcquireReply_DEADLINE:
		return nil, fault.New(fault.DeadlineUnreachable, "the predicted time to first token is %d ms", reply.PredictedMs).
			WithRetryAfter(time.Second)
	case peerpb.AcquireReply_QUEUE_FULL:
		return nil, fault.New(fault.Overloaded, "the queue of engine %s is full", candidate.Engine).WithRetryAfter(time.Second)
	}
	return nil, fault.New(fault.Overloaded, "engine %s declined", candidate.Engine).WithRetryAfter(time.Second)
}

func (r *OwnerRouter) newOwnerSlot(req *Request, candidate *placement.Candidate, owner blackboard.MemberEntry, reply *peerpb.AcquireReply) Slot {
	s := &ownerSlot{
		router: r, owner: owner, pieces: req.Pieces, id: reply.Slot,
		target:  Target{Engine: candidate.Engine, Address: candidate.Address, Incarnation: reply.Incarnation},
		reports: make(chan *peerpb.ReleaseRequest, maxReports),
	}
	go s.sendReports()
	return s
}

// dispatchDirect returns a slot on the engine without its owner, within this node's share of the
// engine's batch.
func (r *OwnerRouter) dispatchDirect(ctx context.Context, req *Request, candidate *placement.Candidate) (Slot, error) {
	// The request may have been queued at an owner since the engine was chosen.
	if e, ok := r.opt.Board.Engines.Get(candidate.Engine); ok && (e.Value.Leaving || e.Value.State.Leaving) {
		return nil, fault.New(fault.NoEngine, "engine %s leaves", candidate.Engine)
	}
	release, ok := r.direct.acquire(candidate.Engine)
	if !ok {
		return nil, fault.New(fault.Overloaded, "engine %s has no owner and this node's share of it is in use", candidate.Engine).
			WithRetryAfter(time.Second)
	}
	event.DirectDispatch.Log(ctx, r.opt.Logger, slog.String("engine", candidate.Engine), slog.String("request", req.RequestID))
	return &directSlot{
		router: r, pieces: req.Pieces, release: release,
		target: Target{Engine: candidate.Engine, Address: candidate.Address, Incarnation: candidate.Incarnation},
	}, nil
}

func (r *OwnerRouter) observe(pieces []prefix.Piece, target Target, u Usage, direct bool) {
	r.opt.Placer.Observe(r.opt.Now(), placement.Feedback{
		Pieces: pieces, Engine: target.Engine, Incarnation: u.Incarnation,
		ReusedTokens: u.ReusedTokens, ComputedTokens: u.ComputedTokens, PrefillTime: u.Prefill,
		Direct: direct,
	})
}

func (r *OwnerRouter) observeFailure(pieces []prefix.Piece, target Target) {
	r.opt.Placer.Observe(r.opt.Now(), placement.Feedback{
		Pieces: pieces, Engine: target.Engine, Incarnation: target.Incarnation, Failed: true,
	})
}

// maxReports is the number of reports per slot, without renewals.
const maxReports = 2

// ownerSlot is a slot that an owner granted.
type ownerSlot struct {
	router *OwnerRouter
	owner  blackboard.MemberEntry
	pieces []prefix.Piece
	id     uint64
	target Target
	// reports carries the first-token report and the final one, in order.
	reports chan *peerpb.ReleaseRequest
	done    sync.Once
	first   sync.Once
}

// Target implements Slot.
func (s *ownerSlot) Target() Target { return s.target }

// FirstToken implements Slot.
func (s *ownerSlot) FirstToken(u Usage) {
	s.first.Do(func() {
		s.router.observe(s.pieces, s.target, u, false)
		s.reports <- &peerpb.ReleaseRequest{
			Slot: s.id, Engine: s.target.Engine, Stage: peerpb.ReleaseRequest_FIRST_TOKEN,
			ReusedTokens: uint32(u.ReusedTokens), ComputedTokens: uint32(u.ComputedTokens), PrefillMs: uint32(u.Prefill.Milliseconds()),
		}
	})
}

// Done implements Slot.
func (s *ownerSlot) Done(o Outcome) {
	s.done.Do(func() {
		s.first.Do(func() {})
		if o.Failed {
			s.router.observeFailure(s.pieces, s.target)
		}
		s.reports <- &peerpb.ReleaseRequest{
			Slot: s.id, Engine: s.target.Engine, Stage: peerpb.ReleaseRequest_DONE, Abandoned: o.Abandoned, Failed: o.Failed,
		}
		close(s.reports)
	})
}

// sendReports sends the slot's reports to the owner in order, and renews the slot in between.
func (s *ownerSlot) sendReports() {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case r, ok := <-s.reports:
			if !ok {
				return
			}
			s.sendReport(r)
		case <-ticker.C:
			s.sendReport(&peerpb.ReleaseRequest{Slot: s.id, Engine: s.target.Engine, Stage: peerpb.ReleaseRequest_RENEW})
		}
	}
}

// sendReport sends one report to the owner. A lost report only makes the owner's load inaccurate until
// the slot expires.
func (s *ownerSlot) sendReport(r *peerpb.ReleaseRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	reply, err := s.router.opt.Owners.Release(ctx, s.owner, r)
	if err == nil && reply.Summary != nil {
		s.router.opt.Placer.SetLoad(s.target.Engine, reply.Summary.Incarnation, engineview.LoadOf(reply.Summary))
	}
}
