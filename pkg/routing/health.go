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

// assessInterval bounds the age of the verdicts on engines.
const assessInterval = 100 * time.Millisecond

// HealthRouter keeps requests away from engines that fail, as package health decides, and lets a
// returning engine have its work back gradually.
type HealthRouter struct {
	next  Router
	board *blackboard.Board
	now   func() time.Time

	mu       sync.Mutex
	random   *rand.Rand
	pool     *health.Pool
	members  uint64
	started  bool
	lives    map[string]string
	assessed time.Time
	verdicts []health.Verdict
}

// NewHealthRouter returns a router in front of next.
func NewHealthRouter(next Router, board *blackboard.Board, now func() time.Time, random *rand.Rand) *HealthRouter {
	return &HealthRouter{next: next, board: board, now: now, random: random, pool: health.NewPool(health.PoolConfig{}), lives: map[string]string{}}
}

// Route implements Router. When health leaves no engine, it is ignored: a failing engine is better
// than none.
func (h *HealthRouter) Route(ctx context.Context, w *Request) (Slot, error) {
	judged := *w
	judged.FailedEngines = h.excluded(w.FailedEngines)
	slot, err := h.next.Route(ctx, &judged)
	if fault.Is(err, fault.NoEngine) && len(judged.FailedEngines) > len(w.FailedEngines) {
		slot, err = h.next.Route(ctx, w)
	}
	if err != nil {
		return nil, err
	}
	return &judgedSlot{Slot: slot, health: h}, nil
}

// excluded returns failed with the engines that get no request now.
func (h *HealthRouter) excluded(failed map[string]bool) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.refresh(now)
	out := maps.Clone(failed)
	for i := range h.verdicts {
		v := &h.verdicts[i]
		if v.Usable && (v.Weight >= 1 || h.random.Float64() < v.Weight) && h.probeAllowed(now, v) {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[v.ID] = true
	}
	return out
}

// probeAllowed limits an engine with a half-open breaker to one request.
func (h *HealthRouter) probeAllowed(now time.Time, v *health.Verdict) bool {
	return v.Breaker == health.Closed || h.pool.Allow(now, v.ID)
}

// refresh follows the board's engines and judges them again.
func (h *HealthRouter) refresh(now time.Time) {
	if version := h.board.Engines.Version(); !h.started || version != h.members {
		h.started, h.members = true, version
		h.setMembers(now)
	} else if now.Sub(h.assessed) < assessInterval {
		return
	}
	h.assessed = now
	h.verdicts = h.pool.Assess(now)
}

func (h *HealthRouter) setMembers(now time.Time) {
	engines := h.board.Engines.Snapshot()
	h.pool.SetMembers(now, slices.Sorted(maps.Keys(engines)))
	for id, e := range engines {
		life := e.Value.State.Incarnation
		if old := h.lives[id]; old != "" && life != "" && old != life {
			h.pool.RecordRestart(now, id)
		}
		if life != "" {
			h.lives[id] = life
		}
	}
	for id := range h.lives {
		if _, ok := engines[id]; !ok {
			delete(h.lives, id)
		}
	}
}

func (h *HealthRouter) report(engine string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.RecordResult(h.now(), engine, ok)
}

// judgedSlot reports how a request ended. A caller that leaves before the first token tells
// nothing about the engine.
type judgedSlot struct {
	Slot
	health *HealthRouter
	once   sync.Once
}

// FirstToken implements Slot.
func (s *judgedSlot) FirstToken(u Usage) {
	s.Slot.FirstToken(u)
	s.once.Do(func() { s.health.report(s.Target().Engine, true) })
}

// Done implements Slot.
func (s *judgedSlot) Done(e Outcome) {
	s.Slot.Done(e)
	if e.Failed {
		s.health.report(s.Target().Engine, false)
	}
}
