package placement

import (
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/prefix"
)

const (
	// declineFactor and declineMargin widen the decline bound, so that small prediction errors do
	// not pass a request from owner to owner.
	declineFactor = 1.5
	declineMargin = 30 * time.Millisecond
)

// RecomputeFactor returns the cost of a second of recomputation, in seconds of latency. Owners use
// it to compare a prediction with DeclineOver.
func RecomputeFactor(policy config.Policy) float64 {
	return weightOrDefault(policy.RecomputeWeight) / weightOrDefault(policy.LatencyWeight) * (1 + interferenceCost)
}

// Attempt selects the owners to query for one request, one after the other:
//
//	a := placer.Begin(now, request)
//	for c, ok := a.Next(); ok; c, ok = a.Next() {
//		reply := acquire(c.Engine, c.DeclineOver)
//		if granted { break }
//		a.Declined(time.Duration(reply.PredictedMs)*time.Millisecond, int(reply.CachedPieces))
//	}
//
// After all owners have declined, Next returns the candidate with the lowest reported cost once
// more, without a bound.
type Attempt struct {
	placer      *Placer
	request     *Request
	candidates  []Candidate
	next        int
	best        int
	bestCost    time.Duration
	lastQueried int
	retriedBest bool
}

// Begin ranks the engines for a request.
func (p *Placer) Begin(now time.Time, r *Request) *Attempt {
	return &Attempt{placer: p, request: r, candidates: p.Rank(now, r), best: -1}
}

// Next returns the next candidate whose owner to query, or false when there is none left.
func (a *Attempt) Next() (Candidate, bool) {
	if a.next < len(a.candidates) {
		a.lastQueried = a.next
		a.next++
		c := a.candidates[a.lastQueried]
		c.DeclineOver = a.declineBound(&c)
		return c, true
	}
	if a.retriedBest || a.best < 0 {
		return Candidate{}, false
	}
	a.retriedBest = true
	a.lastQueried = a.best
	return a.candidates[a.best], true
}

// declineBound returns the cost above which the owner of c should decline: the predicted cost
// with all shared pieces cached, plus a margin. Querying another owner costs one round trip, an
// avoidable prefill about a thousand times that. After a decline, the cost must also be clearly
// below the lowest one reported so far: if uncached prefixes followed small differences in load,
// they would spread over engines that other nodes do not try. A single candidate has no bound.
func (a *Attempt) declineBound(c *Candidate) time.Duration {
	if len(a.candidates) == 1 {
		return 0
	}
	pieces := a.request.Pieces
	missing := prefix.Tokens(pieces[max(c.CachedPieces, firstPrivatePiece(pieces)):])
	expected := c.NetworkTime + c.Wait
	expected += a.placer.prefillCost(a.request, c.Engine, missing)
	bound := time.Duration(declineFactor*float64(expected)) + declineMargin
	if a.best < 0 {
		return bound
	}
	better := time.Duration(float64(a.bestCost)/declineFactor) - declineMargin
	return max(time.Millisecond, min(bound, better))
}

// Declined records the decline of the owner that was queried last: its predicted time to first token
// and the number of cached pieces.
func (a *Attempt) Declined(predicted time.Duration, cachedPieces int) {
	pieces := a.request.Pieces
	missing := prefix.Tokens(pieces[min(cachedPieces, len(pieces)):])
	c := &a.candidates[a.lastQueried]
	extra := a.placer.prefillCost(a.request, c.Engine, missing) - a.placer.prefillTime(c.Engine, missing)
	cost := predicted + c.NetworkTime + extra
	if a.best < 0 || cost < a.bestCost {
		a.best = a.lastQueried
		a.bestCost = cost
	}
}

// prefillCost returns the duration of a prefill plus its recomputation cost, expressed as latency.
func (p *Placer) prefillCost(r *Request, engine string, tokens int) time.Duration {
	d := p.prefillTime(engine, tokens)
	return d + time.Duration(RecomputeFactor(r.Policy)*float64(d))
}

func (p *Placer) prefillTime(engine string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := defaultPrefillRate
	if e := p.engine(engine); e != nil {
		rate = prefillRateOf(&e.EngineView)
	}
	return seconds(float64(tokens) / rate)
}
