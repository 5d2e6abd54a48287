package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/cacheindex"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// callTimeout bounds one call of State, Load or Cache.
	callTimeout = 2 * time.Second
	// eventsTimeout bounds one waiting call of Events.
	eventsTimeout = 30 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 200 * time.Millisecond
	// unreachableAfter is the number of failed calls in a row after which the engine counts as
	// unreachable. One failed call is no evidence.
	unreachableAfter = 2
	// stateRefresh is the age after which an unchanged state is written to the board again.
	stateRefresh = 5 * time.Second
)

// run reads the engine until it is stopped or ctx ends.
func (e *owned) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-e.stopped:
		case <-ctx.Done():
		}
		cancel()
	}()
	e.readState(ctx)
	e.repair(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { e.eventLoop(ctx) })
	loops.Go(func() { wait.Every(ctx, e.owner.options.LoadInterval, e.readLoad) })
	loops.Go(func() { wait.Every(ctx, e.owner.options.StateInterval, e.readState) })
	loops.Go(func() { wait.Every(ctx, e.owner.options.Tick, e.tick) })
	loops.Wait()
}

func (e *owned) eventLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		due := e.index.RepairDue(e.now())
		after := e.index.Seq()
		e.mu.Unlock()
		if due {
			e.repair(ctx)
			e.mu.Lock()
			after = e.index.Seq()
			e.mu.Unlock()
		}
		e.readEvents(ctx, after)
	}
}

func (e *owned) readEvents(ctx context.Context, after uint64) {
	callCtx, cancel := context.WithTimeout(ctx, e.eventsWait())
	defer cancel()
	batch, err := e.reporter.Events(callCtx, after)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if callCtx.Err() == nil {
			wait.Pause(ctx, retryDelay)
		}
		return
	}
	if len(batch.Events) == 0 {
		wait.Pause(ctx, e.owner.options.Tick)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	wasDoubtful := e.index.Suspect()
	change := e.index.Apply(e.now(), batch)
	e.noteChange(ctx, change, batch.Incarnation)
	if change.Gap && !wasDoubtful {
		event.EngineEventsLost.Log(ctx, e.owner.options.Logger, slog.String("engine", e.id))
	}
	e.dirty = e.dirty || e.queue.Waiting() > 0
	e.pump(e.now())
}

// eventsWait is shorter while a snapshot is wanted, so that an idle engine's index is repaired.
func (e *owned) eventsWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.index.Suspect() || !e.index.Loaded() {
		return cacheindex.DefaultMinRepairInterval
	}
	return eventsTimeout
}

func (e *owned) repair(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := e.reporter.Cache(callCtx)
	if ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	failed := err != nil
	if failed {
		e.index.RepairFailed(e.now())
	} else {
		e.noteChange(ctx, e.index.LoadSnapshot(e.now(), snapshot), snapshot.Incarnation)
		e.dirty = true
		e.markLoaded()
	}
	e.mu.Unlock()
	e.reached(ctx, err)
	if failed {
		wait.Pause(ctx, retryDelay)
	}
}

func (e *owned) markLoaded() {
	select {
	case <-e.loaded:
	default:
		close(e.loaded)
	}
}

// noteChange handles a restart of the engine: its slots are gone with it. The caller holds mu.
func (e *owned) noteChange(ctx context.Context, c cacheindex.UpdateResult, incarnation string) {
	if !c.Restarted {
		return
	}
	event.EngineReincarnated.Log(ctx, e.owner.options.Logger,
		slog.String("engine", e.id), slog.String("incarnation", incarnation))
	e.state.Incarnation = incarnation
	e.queue.ClearSlots()
	clear(e.bySlot)
	for _, c := range e.chains {
		e.index.AddPlanned(c.keys)
	}
	e.dirty = true
}

func (e *owned) readLoad(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	load, err := e.reporter.Load(callCtx)
	if ctx.Err() != nil {
		return
	}
	e.reached(ctx, err)
	if err == nil {
		e.takeLoad(load)
	}
	e.publish()
}

func (e *owned) takeLoad(load engine.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if load.Incarnation != "" && load.Incarnation != e.state.Incarnation {
		return
	}
	e.queue.SetLoad(load)
	e.pump(e.now())
}

func (e *owned) publish() {
	e.mu.Lock()
	entry := e.summaryEntry()
	closed := e.closed
	e.mu.Unlock()
	if !closed {
		e.owner.options.Board.Summaries.Put(e.id, entry, e.evidence("engine load"))
	}
}

func (e *owned) evidence(source string) blackboard.Evidence {
	return blackboard.Evidence{Writer: "owner/" + e.owner.options.Self, Source: source, ObservedAt: e.now()}
}

func (e *owned) readState(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := e.reporter.State(callCtx)
	if ctx.Err() != nil {
		return
	}
	e.reached(ctx, err)
	if err == nil {
		e.takeState(ctx, state)
	}
}

func (e *owned) takeState(ctx context.Context, state engine.State) {
	e.mu.Lock()
	change := cacheindex.UpdateResult{Restarted: e.index.Reset(state.Incarnation)}
	e.noteChange(ctx, change, state.Incarnation)
	e.state = state
	e.queue.SetMaxBatch(state.MaxBatch)
	e.pump(e.now())
	e.mu.Unlock()
	e.owner.options.Board.Engines.Update(e.id, e.evidence("engine state"),
		func(old blackboard.Entry[blackboard.EngineEntry], ok bool) (blackboard.EngineEntry, bool) {
			v := old.Value
			same := v.Known && v.Reachable && sameState(v.State, state) && (v.Leaving || !state.Leaving)
			if !ok || same && old.Evidence.Age(e.now()) < stateRefresh {
				return v, false
			}
			v.State = state
			v.Known = true
			v.Reachable = true
			v.Leaving = v.Leaving || state.Leaving
			return v, true
		})
}

func sameState(a, b engine.State) bool {
	return a.Incarnation == b.Incarnation && a.Model == b.Model && a.WeightsVersion == b.WeightsVersion &&
		a.Role == b.Role && a.Fencing == b.Fencing && a.Loading == b.Loading && a.Leaving == b.Leaving
}

// reached counts failed calls in a row and marks the engine on the board.
func (e *owned) reached(ctx context.Context, err error) {
	e.mu.Lock()
	before := e.reachable
	if err == nil {
		e.failures = 0
		e.reachable = true
	} else {
		e.failures++
		e.reachable = e.failures < unreachableAfter
	}
	after := e.reachable
	if before && !after {
		e.answerAll(peerpb.AcquireReply_ENGINE_LEAVING)
	}
	e.mu.Unlock()
	if before == after {
		return
	}
	if !after {
		event.EngineUnreachable.Log(ctx, e.owner.options.Logger, slog.String("engine", e.id), slog.Any("error", err))
	}
	e.owner.options.Board.Engines.Update(e.id, e.evidence("engine call"),
		func(old blackboard.Entry[blackboard.EngineEntry], ok bool) (blackboard.EngineEntry, bool) {
			v := old.Value
			v.Reachable = after
			return v, ok
		})
}

// tick frees expired slots and grants held tickets whose time has come.
func (e *owned) tick(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for _, id := range e.queue.ExpireSlots(now) {
		e.endPrefill(id)
		event.SlotExpired.Log(ctx, e.owner.options.Logger, slog.String("engine", e.id), slog.Uint64("slot", id))
	}
	if e.queue.Waiting() > 0 {
		e.pump(now)
	}
}
