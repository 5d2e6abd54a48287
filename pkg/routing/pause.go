package routing

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/retry"
)

// PauseRouter sends no requests to an engine that has asked this node for a pause until the pause ends, the engine restarts
// or has loaded other weights: engines refuse requests while they load. It is safe for concurrent use.
type PauseRouter struct {
	next    Router
	board   *blackboard.Board
	logger  *slog.Logger
	metrics *metrics.Registry
	now     func() time.Time

	mu sync.Mutex
	// pauses are keyed by engine.
	pauses map[string]enginePause
}

type enginePause struct {
	until time.Time
	// incarnation is that of the engine which asked for the pause, and listed the state that the board had then: it may lag.
	incarnation string
	listed      engine.State
}

// isOver reports whether the engine has restarted or has loaded other weights since it asked for the pause.
func (p *enginePause) isOver(state *engine.State) bool {
	restarted := state.Incarnation != p.incarnation && state.Incarnation != p.listed.Incarnation
	return state.Incarnation != "" && (restarted || state.WeightsVersion != p.listed.WeightsVersion || state.Model != p.listed.Model)
}

// NewPauseRouter returns a router that passes requests on to next.
func NewPauseRouter(next Router, board *blackboard.Board, logger *slog.Logger, m *metrics.Registry, now func() time.Time) *PauseRouter {
	return &PauseRouter{next: next, board: board, logger: logger, metrics: m, now: now, pauses: map[string]enginePause{}}
}

// Route implements Router. A request is refused with fault.EnginesPaused if only pauses keep it from all engines; its
// RetryAfter is then the end of the first pause, lengthened at random.
func (p *PauseRouter) Route(ctx context.Context, req *Request) (Slot, error) {
	filtered := *req
	for {
		filtered.FailedEngines = p.Exclude(req.FailedEngines)
		slot, err := p.next.Route(ctx, &filtered)
		if err != nil {
			return nil, p.refusal(req, err)
		}
		// The pause of the engine may have begun while the request was queued.
		if _, paused := p.pausedUntil(slot.Target().Engine); !paused {
			return &pausableSlot{Slot: slot, router: p}, nil
		}
		slot.Done(Outcome{Abandoned: true})
	}
}

// Exclude returns failed with the paused engines added.
func (p *PauseRouter) Exclude(failed map[string]bool) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pauses) == 0 {
		return failed
	}
	excluded := maps.Clone(failed)
	for id := range p.pauses {
		if _, paused := p.pausedUntilLocked(id); paused {
			if excluded == nil {
				excluded = map[string]bool{}
			}
			excluded[id] = true
		}
	}
	return excluded
}

func (p *PauseRouter) pausedUntil(id string) (until time.Time, paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedUntilLocked(id)
}

// pausedUntilLocked returns the end of an engine's pause, and forgets a pause that has ended.
func (p *PauseRouter) pausedUntilLocked(id string) (until time.Time, paused bool) {
	pause, ok := p.pauses[id]
	if !ok {
		return time.Time{}, false
	}
	if state := p.listedState(id); pause.isOver(&state) || !p.now().Before(pause.until) {
		delete(p.pauses, id)
		return time.Time{}, false
	}
	return pause.until, true
}

func (p *PauseRouter) listedState(id string) engine.State {
	e, _ := p.board.Engines.Get(id)
	return e.Value.State
}

// refusal returns the error for a request that was not routed.
func (p *PauseRouter) refusal(req *Request, err error) error {
	if !fault.Is(err, fault.NoEngine) {
		return err
	}
	// The engine that has just refused the request is among those that have failed it.
	unfiltered := *req
	unfiltered.FailedEngines = nil
	var earliest time.Time
	for _, e := range Candidates(p.board, &unfiltered) {
		if until, paused := p.pausedUntil(e.ID); paused && (earliest.IsZero() || until.Before(earliest)) {
			earliest = until
		}
	}
	if earliest.IsZero() {
		return err
	}
	return fault.New(fault.EnginesPaused, "the engines of model %s have asked for a pause", req.Model.Name).
		WithRetryAfter(retry.SpreadPause(earliest.Sub(p.now())))
}

// observe starts a pause, which is lengthened at random so that nodes do not return to the engine at the same moment. It
// never shortens one.
func (p *PauseRouter) observe(target Target, pause time.Duration) {
	until := p.now().Add(retry.SpreadPause(min(pause, retry.MaxPause)))
	p.mu.Lock()
	current, paused := p.pausedUntilLocked(target.Engine)
	if !paused || until.After(current) {
		p.pauses[target.Engine] = enginePause{until: until, incarnation: target.Incarnation, listed: p.listedState(target.Engine)}
	}
	p.mu.Unlock()
	p.metrics.Counter("engine_pauses").Inc(1)
	if !paused {
		event.EnginePaused.Log(context.Background(), p.logger, slog.String("engine", target.Engine),
			slog.Int64("pause_ms", pause.Milliseconds()), slog.Int64("left_ms", until.Sub(p.now()).Milliseconds()))
	}
}

// pausableSlot reports the pause that its engine asks for.
type pausableSlot struct {
	Slot
	router *PauseRouter
}

// Done implements Slot.
func (s *pausableSlot) Done(o Outcome) {
	if o.Pause > 0 {
		s.router.observe(s.Target(), o.Pause)
	}
	s.Slot.Done(o)
}
