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
	// eventsTimeout bounds one long poll for cache events.
	eventsTimeout = 30 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 200 * time.Millisecond
	// maxConsecutiveFailures is the number of failed calls in a row after which the engine counts
	// as unreachable. A single failed call may be a transient network error.
	maxConsecutiveFailures = 2
	// stateRefreshInterval is the age after which an unchanged state is written to the board again,
	// which renews its observation time.
	stateRefreshInterval = 5 * time.Second
)

// run polls the engine's state, load, cache events and snapshots until the engine is stopped or ctx
// ends.
func (e *ownedEngine) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-e.stopped:
		case <-ctx.Done():
		}
		cancel()
	}()
	e.owner.guard.Run("engine state", func() { e.readState(ctx) })
	e.owner.guard.Run("engine snapshot", func() { e.loadSnapshot(ctx) })
	var loops sync.WaitGroup
	for task, loop := range map[string]func(context.Context){
		"engine events": e.eventLoop,
		"engine load":   every(e.owner.options.LoadInterval, e.readLoad),
		"engine state":  every(e.owner.options.StateInterval, e.readState),
		"engine queue":  every(e.owner.options.TickInterval, e.tick),
	} {
		loops.Go(func() { e.owner.guard.Loop(ctx, task, loop) })
	}
	loops.Wait()
}

// every returns a loop that calls f once per interval.
func every(interval time.Duration, f func(context.Context)) func(context.Context) {
	return func(ctx context.Context) { wait.Every(ctx, interval, f) }
}

// eventLoop applies cache events to the index and reloads the snapshot when the index needs repair.
func (e *ownedEngine) eventLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		due := e.index.RepairDue(e.now())
		after := e.index.Seq()
		e.mu.Unlock()
		if due {
			e.loadSnapshot(ctx)
			e.mu.Lock()
			after = e.index.Seq()
			e.mu.Unlock()
		}
		e.readEvents(ctx, after)
	}
}

func (e *ownedEngine) readEvents(ctx context.Context, after uint64) {
	callCtx, cancel := context.WithTimeout(ctx, e.eventsCallTimeout())
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
		wait.Pause(ctx, e.owner.options.TickInterval)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	wasSuspect := e.index.Suspect()
	change := e.index.Apply(e.now(), batch)
	e.handleRestart(ctx, change, batch.Incarnation)
	if change.Gap && !wasSuspect {
		event.EngineEventsLost.Log(ctx, e.owner.options.Logger, slog.String("engine", e.id))
	}
	e.missingTokensStale = e.missingTokensStale || e.queue.Waiting() > 0
	e.grantWaiting(e.now())
}

// eventsCallTimeout returns the time limit of the next call of Events. It is short while the index
// needs a snapshot: an idle engine sends no events that would end the call before the repair.
func (e *ownedEngine) eventsCallTimeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.index.Suspect() || !e.index.Loaded() {
		return cacheindex.DefaultMinRepairInterval
	}
	return eventsTimeout
}

// loadSnapshot replaces the index by the engine's current cache snapshot.
func (e *ownedEngine) loadSnapshot(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := e.reporter.Cache(callCtx)
	if ctx.Err() != nil {
		return
	}
	e.applySnapshot(ctx, snapshot, err)
	e.recordCallResult(ctx, err)
	if err != nil {
		wait.Pause(ctx, retryDelay)
	}
}

// applySnapshot passes the result of a snapshot call to the index.
func (e *ownedEngine) applySnapshot(ctx context.Context, snapshot engine.CacheSnapshot, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.index.RepairFailed(e.now())
		return
	}
	e.handleRestart(ctx, e.index.LoadSnapshot(e.now(), snapshot), snapshot.Incarnation)
	e.missingTokensStale = true
	e.markSnapshotLoaded()
}

func (e *ownedEngine) markSnapshotLoaded() {
	select {
	case <-e.snapshotLoaded:
	default:
		close(e.snapshotLoaded)
	}
}

// handleRestart logs a new incarnation of the engine and discards the slots, which were lost with
// the old one. It does nothing if change reports no restart. The caller holds mu.
func (e *ownedEngine) handleRestart(ctx context.Context, change cacheindex.UpdateResult, incarnation string) {
	if !change.Restarted {
		return
	}
	event.EngineReincarnated.Log(ctx, e.owner.options.Logger,
		slog.String("engine", e.id), slog.String("incarnation", incarnation))
	e.state.Incarnation = incarnation
	e.queue.ClearSlots()
	clear(e.prefilling)
	for _, p := range e.waiting {
		e.index.AddPlanned(p.prefixHashes)
	}
	e.missingTokensStale = true
}

func (e *ownedEngine) readLoad(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	load, err := e.reporter.Load(callCtx)
	if ctx.Err() != nil {
		return
	}
	e.recordCallResult(ctx, err)
	if err == nil {
		e.applyLoad(load)
	}
	e.publish()
}

// applyLoad passes a load report to the queue. It ignores reports of another incarnation.
func (e *ownedEngine) applyLoad(load engine.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if load.Incarnation != "" && load.Incarnation != e.state.Incarnation {
		return
	}
	e.queue.SetLoad(load)
	e.grantWaiting(e.now())
}

// publish writes the engine's summary to the board, from which it is gossiped.
func (e *ownedEngine) publish() {
	e.mu.Lock()
	entry := e.summaryEntry()
	closed := e.closed
	e.mu.Unlock()
	if !closed {
		e.owner.options.Board.Summaries.Put(e.id, entry, e.evidence("engine load"))
	}
}

func (e *ownedEngine) evidence(source string) blackboard.Evidence {
	return blackboard.Evidence{Writer: "owner/" + e.owner.options.Self, Source: source, ObservedAt: e.now()}
}

func (e *ownedEngine) readState(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := e.reporter.State(callCtx)
	if ctx.Err() != nil {
		return
	}
	e.recordCallResult(ctx, err)
	if err == nil {
		e.applyState(ctx, state)
	}
}

// applyState applies a state report to the index and the queue and writes it to the board.
func (e *ownedEngine) applyState(ctx context.Context, state engine.State) {
	e.setState(ctx, state)
	e.owner.options.Board.Engines.Update(e.id, e.evidence("engine state"),
		func(old blackboard.Entry[blackboard.EngineEntry], ok bool) (blackboard.EngineEntry, bool) {
			v := old.Value
			same := v.HasState && v.Reachable && sameState(v.State, state) && (v.Leaving || !state.Leaving)
			if !ok || same && old.Evidence.Age(e.now()) < stateRefreshInterval {
				return v, false
			}
			v.State = state
			v.HasState = true
			v.Reachable = true
			v.Leaving = v.Leaving || state.Leaving
			return v, true
		})
}

func (e *ownedEngine) setState(ctx context.Context, state engine.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change := cacheindex.UpdateResult{Restarted: e.index.Reset(state.Incarnation)}
	e.handleRestart(ctx, change, state.Incarnation)
	e.state = state
	e.queue.SetMaxBatch(state.MaxBatch)
	e.grantWaiting(e.now())
}

func sameState(a, b engine.State) bool {
	return a.Incarnation == b.Incarnation && a.Model == b.Model && a.WeightsVersion == b.WeightsVersion &&
		a.Role == b.Role && a.FencingToken == b.FencingToken && a.Loading == b.Loading && a.Leaving == b.Leaving
}

// recordCallResult counts failed calls in a row and updates the engine's reachability on the board.
// The requests queued at an engine that becomes unreachable get ENGINE_LEAVING.
func (e *ownedEngine) recordCallResult(ctx context.Context, err error) {
	e.mu.Lock()
	before := e.reachable
	if err == nil {
		e.failures = 0
		e.reachable = true
	} else {
		e.failures++
		e.reachable = e.failures < maxConsecutiveFailures
	}
	after := e.reachable
	if before && !after {
		e.replyToAll(peerpb.AcquireReply_ENGINE_LEAVING)
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

// tick frees expired slots and grants queued requests that can start now, including those whose
// wait for another prefill has ended.
func (e *ownedEngine) tick(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for _, id := range e.queue.ExpireSlots(now) {
		e.endPrefill(id)
		event.SlotExpired.Log(ctx, e.owner.options.Logger, slog.String("engine", e.id), slog.Uint64("slot", id))
	}
	if e.queue.Waiting() > 0 {
		e.grantWaiting(now)
	}
}
