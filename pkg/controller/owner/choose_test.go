package owner

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/controller/engineview"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/placement"
	"cassiawall.example/cassiawall/pkg/prefix"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// releaseFunc reports progress of a slot to its owner: the first token if run is not nil, otherwise
// the end of the request.
type releaseFunc func(run *fakeRun, abandoned bool)

// choose selects an engine by the pool's policy. It returns nil if the request was refused or
// cancelled.
func (p *pool) choose(ctx context.Context, requestID string, entry int, r request, began time.Time) (*fakeEngine, releaseFunc) {
	if p.policy != policyCassiawall {
		return p.baseline(r)
	}
	p.mu.Lock()
	placer := p.placers[entry]
	p.mu.Unlock()
	placementRequest := &placement.Request{Pieces: r.pieces, Model: "m", MaxTokens: p.workload.output, Policy: p.workload.policy}
	attempt := placer.Begin(time.Now(), placementRequest)
	for c, ok := attempt.Next(); ok; c, ok = attempt.Next() {
		reply := p.acquire(ctx, requestID, placer, c, r, began, uint32(c.DeclineOver.Milliseconds()))
		if reply == nil {
			return nil, nil
		}
		if reply.GetVerdict() == peerpb.AcquireReply_GRANTED {
			return p.dispatch(placer, c, r, reply)
		}
		if reply.GetVerdict() != peerpb.AcquireReply_DECLINED {
			continue
		}
		attempt.Declined(time.Duration(reply.GetPredictedMs())*time.Millisecond, int(reply.GetCachedPieces()))
	}
	p.mu.Lock()
	p.result.refused++
	p.mu.Unlock()
	return nil, nil
}

// acquire requests a slot from the owner, with the delay of a network round trip, and updates the
// placer from the reply. It returns nil if the request was cancelled.
func (p *pool) acquire(ctx context.Context, requestID string, placer *placement.Placer, c placement.Candidate, r request, began time.Time, declineOverMs uint32) *peerpb.AcquireReply {
	time.Sleep(time.Millisecond)
	request := &peerpb.AcquireRequest{RequestId: requestID, Engine: c.Engine, Workspace: r.workspace, Keys: prefix.Hashes(r.pieces),
		MaxOutputTokens: uint32(p.workload.output), DeadlineMs: 30_000, DeclineOverMs: declineOverMs, AgeMs: uint32(time.Since(began).Milliseconds())}
	for _, piece := range r.pieces {
		request.PieceTokens = append(request.PieceTokens, uint32(piece.Tokens))
	}
	placer.RecordDispatch(c.Engine, c.MissingTokens)
	reply, err := p.currentOwner().Acquire(ctx, request)
	if time.Since(p.started) > warmUp+time.Second {
		p.mu.Lock()
		p.acquireCalls++
		p.mu.Unlock()
	}
	if err != nil {
		return nil
	}
	if reply.GetSummary() == nil {
		return reply
	}
	placer.SetLoad(c.Engine, reply.GetIncarnation(), engineview.LoadOf(reply.GetSummary()))
	placer.ObserveCachedPieces(time.Now(), c.Engine, reply.GetIncarnation(), r.pieces, int(reply.GetCachedPieces()))
	return reply
}

func (p *pool) dispatch(placer *placement.Placer, c placement.Candidate, r request, reply *peerpb.AcquireReply) (*fakeEngine, releaseFunc) {
	i := slices.IndexFunc(p.engines, func(f *fakeEngine) bool { return f.id == c.Engine })
	return p.engines[i], func(run *fakeRun, abandoned bool) {
		release := &peerpb.ReleaseRequest{Slot: reply.GetSlot(), Engine: c.Engine, Stage: peerpb.ReleaseRequest_DONE, Abandoned: abandoned}
		if run != nil {
			prefill := time.Since(run.started)
			release.Stage = peerpb.ReleaseRequest_FIRST_TOKEN
			release.ReusedTokens = uint32(run.reused)
			release.ComputedTokens = uint32(run.computed)
			release.PrefillMs = uint32(prefill.Milliseconds())
			placer.Observe(time.Now(), placement.Feedback{Pieces: r.pieces, Engine: c.Engine, Incarnation: reply.GetIncarnation(),
				ReusedTokens: run.reused, ComputedTokens: run.computed, PrefillTime: prefill})
		}
		time.Sleep(500 * time.Microsecond)
		done, _ := p.currentOwner().Release(context.Background(), release)
		if done.GetSummary() == nil {
			return
		}
		placer.SetLoad(c.Engine, done.GetSummary().GetIncarnation(), engineview.LoadOf(done.GetSummary()))
	}
}

// baseline selects an engine by least load, or by consistent hashing with bounded loads (1.25 times
// the mean), from the exact number of requests in flight.
func (p *pool) baseline(r request) (*fakeEngine, releaseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	order := slices.Clone(p.engines)
	p.choices++
	key := r.pieces[p.workload.pieces[0]-1].PrefixHash
	bound := math.MaxInt
	if p.policy == policyHash {
		total := 1
		for _, n := range p.inFlight {
			total += n
		}
		bound = int(math.Ceil(1.25 * float64(total) / float64(len(order))))
		slices.SortFunc(order, func(a, b *fakeEngine) int {
			return cmp.Compare(rendezvous.Score(rendezvous.Hash(b.id), key), rendezvous.Score(rendezvous.Hash(a.id), key))
		})
	} else {
		slices.SortStableFunc(order, func(a, b *fakeEngine) int { return cmp.Compare(p.inFlight[a.id], p.inFlight[b.id]) })
	}
	chosen := order[0]
	for _, e := range order {
		if p.inFlight[e.id] < bound {
			chosen = e
			break
		}
	}
	p.inFlight[chosen.id]++
	return chosen, func(run *fakeRun, _ bool) {
		if run != nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inFlight[chosen.id]--
	}
}
