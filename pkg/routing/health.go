package routing

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/health"
)

// assessInterval is the maximum age of the verdicts on engines.
const assessInterval = 100 * time.Millisecond

// HealthRouter excludes engines that package health finds failing, and raises the load of a recovered
// engine gradually.
type HealthRouter struct {
	next  Router
	board *blackboard.Board
	now   func() time.Time

	mu   sync.Mutex
	rng  *rand.Rand
	pool *health.Pool
	// boardVersion is the version of the board's engines at the last refresh.
	boardVersion uint64
	initialized  bool
	// incarnations holds the last known incarnation per engine.
	incarnations map[string]string
	assessedAt   time.Time
	verdicts     []health.Verdict
}

// NewHealthRouter returns a router that passes requests on to next.
func NewHealthRouter(next Router, board *blackboard.Board, now func() time.Time, rng *rand.Rand) *HealthRouter {
	return &HealthRouter{next: next, board: board, now: now, rng: rng, pool: health.NewPool(health.PoolConfig{}), incarnations: map[string]string{}}
}

// Route implements Router. If health excludes all engines, it is ignored: a failing engine is better
// than none.
func (h *HealthRouter) Route(ctx context.Context, req *Request) (Slot, error) {
	filtered := *req
	filtered.FailedEngines = h.excluded(req.FailedEngines)
	slot, err := h.next.Route(ctx, &filtered)
	if fault.Is(err, fault.NoEngine) && len(filtered.FailedEngines) > len(req.FailedEngines) {
		slot, err = h.next.Route(ctx, req)
	}
	if err != nil {
		return nil, err
	}
	return &reportingSlot{Slot: slot, health: h}, nil
}

// excluded returns a copy of failed, with the engines added that get no request at present.
func (h *HealthRouter) excluded(failed map[string]bool) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.refresh(now)
	excluded := maps.Clone(failed)
	for i := range h.verdicts {
		v := &h.verdicts[i]
		if v.Usable && (v.Weight >= 1 || h.rng.Float64() < v.Weight) && h.probeAllowed(now, v) {
			continue
		}
		if excluded == nil {
			excluded = map[string]bool{}
		}
		excluded[v.ID] = true
	}
	return excluded
}

// probeAllowed limits an engine with a half-open circuit breaker to one request.
func (h *HealthRouter) probeAllowed(now time.Time, v *health.Verdict) bool {
	return v.Breaker == health.Closed || h.pool.Allow(now, v.ID)
}

// refresh updates the pool when the board's engines changed and renews the verdicts.
func (h *HealthRouter) refresh(now time.Time) {
	if version := h.board.Engines.Version(); !h.initialized || version != h.boardVersion {
		h.initialized, h.boardVersion = true, version
		h.setMembers(now)
	} else if now.Sub(h.assessedAt) < assessInterval {
		return
	}
	h.assessedAt = now
	h.verdicts = h.pool.Assess(now)
}

func (h *HealthRouter) setMembers(now time.Time) {
	engines := h.board.Engines.Snapshot()
	h.pool.SetMembers(now, slices.Sorted(maps.Keys(engines)))
	for id, e := range engines {
		incarnation := e.Value.State.Incarnation
		if previous := h.incarnations[id]; previous != "" && incarnation != "" && previous != incarnation {
			h.pool.RecordRestart(now, id)
		}
		if incarnation != "" {
			h.incarnations[id] = incarnation
		}
	}
	for id := range h.incarnations {
		if _, ok := engines[id]; !ok {
			delete(h.incarnations, id)
		}
	}
}

func (h *HealthRouter) recordResult(engine string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.RecordResult(h.now(), engine, ok)
}

// reportingSlot reports the outcome of a request to the health pool. A request that the caller
// abandons before the first token is not reported.
type reportingSlot struct {
	Slot
	health *HealthRouter
	once   sync.Once
}

// FirstToken implements Slot.
func (s *reportingSlot) FirstToken(u Usage) {
	s.Slot.FirstToken(u)
	s.once.Do(func() { s.health.recordResult(s.Target().Engine, true) })
}

// Done implements Slot.
func (s *reportingSlot) Done(o Outcome) {
	s.Slot.Done(o)
	if o.Failed {
		s.health.recordResult(s.Target().Engine, false)
	}
}
