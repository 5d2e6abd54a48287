package enginestandin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxEndedExecutions is the maximum number of ended executions in memory; a full list drops its
// older half.
const maxEndedExecutions = 1 << 16

// Engine is a stand-in engine. All methods are safe for concurrent use.
type Engine struct {
	config Config
	// wake signals the step loop that a request has arrived.
	wake chan struct{}
	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup

	server   *http.Server
	listener net.Listener
	conns    connSet

	mu                sync.Mutex
	random            *rand.Rand
	faults            Faults
	faultyStreamsLeft int
	incarnation       string
	restarts          int
	downUntil         time.Time
	leaving           bool
	weights           weights
	desired           weights
	loading           bool
	role              string
	fencingToken      uint64
	batch             *batch
	events            eventLog
	loads             loadHistory
	sequences         map[string]*sequence
	arrivals          uint64
	counters          Counters
	endedExecutions   []Execution
}

// weights identifies the model, weights version and adapters that an engine loads together.
type weights struct {
	model    string
	version  string
	adapters []string
}

// New returns a running engine that does not listen for requests yet; Start makes it listen. The
// caller must call Close.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config:    config,
		wake:      make(chan struct{}, 1),
		random:    rand.New(rand.NewPCG(config.Seed, 0x656e67696e65)),
		sequences: map[string]*sequence{},
		conns:     connSet{open: map[net.Conn]struct{}{}},
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.reset()
	e.done.Go(e.stepLoop)
	return e
}

// reset starts a new incarnation (the identity of an engine between two restarts) with an empty
// cache and the configured weights.
func (e *Engine) reset() {
	e.restarts++
	e.incarnation = fmt.Sprintf("%s-%d-%08x", e.config.ID, e.restarts, e.random.Uint32())
	e.weights = weights{model: e.config.Model, version: e.config.WeightsVersion, adapters: e.config.Adapters}
	e.desired = e.weights
	e.loading = false
	e.role = e.config.Role
	e.fencingToken = 0
	e.events = eventLog{delay: e.config.EventDelay, interval: e.config.EventInterval, added: e.events.added}
	e.loads = loadHistory{}
	e.batch = &batch{config: &e.config, cache: newBlockCache(e.config.CacheBlocks*e.config.BlockTokens, e.recordCacheEvent)}
}

func (e *Engine) recordCacheEvent(kind cacheChangeKind, routingKey uint64) {
	lost := e.faults.LostEventShare > 0 && e.random.Float64() < e.faults.LostEventShare
	e.events.add(time.Now(), kind, routingKey, lost)
}

// ID returns the engine's id.
func (e *Engine) ID() string { return e.config.ID }

// Start listens on a free loopback port.
func (e *Engine) Start() error { return e.StartOn("127.0.0.1:0") }

// StartOn listens on address.
func (e *Engine) StartOn(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.listener = listener
	e.server = &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		ConnState:         e.conns.track,
	}
	e.done.Go(func() {
		if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.config.Logger.Error("engine stand-in: HTTP server failed", "error", err)
		}
	})
	return nil
}

// URL returns the base URL of a started engine.
func (e *Engine) URL() string { return "http://" + e.listener.Addr().String() }

// Close stops the engine and its HTTP server and waits for the goroutines to end.
func (e *Engine) Close() error {
	e.stop()
	var err error
	if e.server != nil {
		err = e.server.Close()
	}
	e.done.Wait()
	return err
}

// Crash simulates a crash with an immediate restart: it closes all connections and starts a new
// incarnation with an empty cache and the configured weights.
func (e *Engine) Crash() { e.CrashFor(0) }

// CrashFor simulates a crash like Crash, after which the engine serves no request for the duration
// down.
func (e *Engine) CrashFor(down time.Duration) {
	e.mu.Lock()
	now := time.Now()
	for _, s := range e.sequences {
		e.finish(s, dropped, now)
	}
	e.sequences = map[string]*sequence{}
	e.reset()
	e.downUntil = now.Add(down)
	e.mu.Unlock()
	e.conns.closeAll()
}

// SetFaults replaces the faults. Stream faults apply only to streams that start afterwards.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.faultyStreamsLeft = f.MaxFaultyStreams
}

// SetLeaving sets whether the engine reports in its state that it is about to leave.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Counters returns the totals so far, including the work already done for running requests.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	for _, s := range e.sequences {
		if !s.ended() {
			c.add(&s.execution)
		}
	}
	return c
}

func (c *Counters) add(execution *Execution) {
	c.ComputedTokens += execution.ComputedTokens
	c.ReusedTokens += execution.ReusedTokens
	c.DecodedTokens += execution.DecodedTokens
}

// Executions returns the executions of a request, or of all requests if requestID is empty: first
// the ended ones in the order of their end, then the running ones in no defined order.
func (e *Engine) Executions(requestID string) []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []Execution
	for _, execution := range e.endedExecutions {
		if requestID == "" || execution.RequestID == requestID {
			found = append(found, execution)
		}
	}
	for _, s := range e.sequences {
		if !s.ended() && (requestID == "" || s.id == requestID) {
			found = append(found, s.execution)
		}
	}
	return found
}

// stepLoop runs batch steps until Close.
func (e *Engine) stepLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for e.ctx.Err() == nil {
		current, work, duration := e.planStep()
		if len(work) == 0 {
			select {
			case <-e.wake:
			case <-e.ctx.Done():
			}
			continue
		}
		timer.Reset(duration)
		select {
		case <-timer.C:
		case <-e.ctx.Done():
			return
		}
		e.applyStep(current, work, duration)
	}
}

func (e *Engine) planStep() (*batch, []sequenceWork, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	work, duration := e.batch.plan(now)
	e.loads.record(now, e.batch, len(work) == 0)
	if e.faults.SlowFactor > 1 {
		duration = time.Duration(float64(duration) * e.faults.SlowFactor)
	}
	return e.batch, work, duration
}

// applyStep records the work of a step, unless the engine has crashed since the step was planned.
func (e *Engine) applyStep(planned *batch, work []sequenceWork, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.batch != planned {
		return
	}
	now := time.Now()
	e.counters.BusyTime += duration
	cancelledWork := e.batch.apply(work, now, e.config.Ledger)
	e.counters.ComputedTokens += cancelledWork.ComputedTokens
	e.counters.DecodedTokens += cancelledWork.DecodedTokens
	e.counters.CancelledTokens += cancelledWork.CancelledTokens
	for _, item := range work {
		if item.sequence.phase == finished {
			e.finish(item.sequence, finished, now)
		}
	}
}

// finish ends a sequence in the phase end and records its execution. The response can still read
// the remaining chunks.
func (e *Engine) finish(s *sequence, end phase, now time.Time) {
	if s.execution.Outcome != outcomeRunning {
		return
	}
	s.phase = end
	s.execution.EndedAt = now
	s.execution.Outcome = outcomes[end]
	e.counters.add(&s.execution)
	if end != finished {
		e.counters.CancelledTokens += s.execution.ComputedTokens + s.execution.DecodedTokens
	}
	if len(e.endedExecutions) >= maxEndedExecutions {
		e.endedExecutions = append(e.endedExecutions[:0], e.endedExecutions[maxEndedExecutions/2:]...)
	}
	e.endedExecutions = append(e.endedExecutions, s.execution)
	e.batch.remove(s)
	s.signal()
}

const outcomeRunning = "running"

var outcomes = map[phase]string{finished: "complete", cancelled: "cancelled", dropped: "crashed"}

// cancel ends a sequence and removes it from the engine.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !s.ended() {
		e.finish(s, cancelled, time.Now())
	}
	if e.sequences[s.id] == s {
		delete(e.sequences, s.id)
	}
}

// wakeStepLoop signals the step loop without blocking.
func (e *Engine) wakeStepLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
