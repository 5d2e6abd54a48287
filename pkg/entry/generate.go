package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/prefix"
	"cassiawall.example/cassiawall/pkg/routing"
	"cassiawall.example/cassiawall/pkg/stream"
)

func (s *Server) chat(w http.ResponseWriter, r *http.Request, id string) error {
	return s.generate(w, r, id, true)
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request, id string) error {
	return s.generate(w, r, id, false)
}

// generate serves one generation request of either kind.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, id string, chat bool) error {
	g, err := s.parse(w, r, id, chat)
	if err != nil {
		return err
	}
	release, err := s.admit(g)
	if err != nil {
		return err
	}
	defer release()
	if mustRunAtMostOnce(g, r) {
		return s.generateAtMostOnce(w, r, g)
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if g.workspace.Supersede && g.caller != "" {
		key := callerKey{workspace: g.workspace.Name, caller: g.caller}
		defer s.callers.register(key, &runningRequest{id: id, cancel: cancel})()
	}
	out := s.responder(w, g)
	return s.endGeneration(ctx, id, out, s.relayGeneration(ctx, g, out, nil))
}

// admit charges the request to the limits of its workspace. release must be called when the request
// has ended.
func (s *Server) admit(g *generation) (release func(), err error) {
	if s.opt.Limiter == nil {
		return func() {}, nil
	}
	now, name := s.opt.Now(), g.workspace.Name
	if !s.opt.Limiter.AcquireConcurrency(now, name) {
		return nil, fault.New(fault.RateLimited, "workspace %s has too many requests in progress", name).WithRetryAfter(time.Second)
	}
	tokens := prefix.Tokens(g.pieces) + g.maxTokens
	ok, retryAfter := s.opt.Limiter.Allow(now, name, tokens)
	if !ok {
		s.opt.Limiter.ReleaseConcurrency(now, name)
		return nil, fault.New(fault.RateLimited, "workspace %s is over its rate", name).WithRetryAfter(retryAfter)
	}
	return func() { s.opt.Limiter.ReleaseConcurrency(s.opt.Now(), name) }, nil
}

// sendPermit allows a request to be sent once. AuthorizeSend uses up the permission. It returns an
// error if the permission has been used or has expired.
type sendPermit interface{ AuthorizeSend() error }

// relayGeneration runs the request on engines and delivers the response to out. If permit is not nil,
// the request is sent at most once.
func (s *Server) relayGeneration(ctx context.Context, g *generation, out responder, permit sendPermit) error {
	src := &source{server: s, g: g, failed: map[string]bool{}, permit: permit}
	sink := &latencySink{responder: out, now: s.opt.Now, arrived: g.arrived, onChunk: src.recordChunk}
	result, err := stream.Relay(ctx, g.id, src, sink)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cancellationError(cause, err)
	}
	abandoned := callerDisconnected(ctx) || fault.Is(err, fault.Superseded)
	src.finish(err, abandoned)
	s.record(g, sink, &result, err, abandoned)
	if err != nil {
		return err
	}
	return out.finish(&result)
}

// cancellationError returns cause, the reason why the request was cancelled, if it is a typed error,
// with the statement of err on whether an engine ran the request. Otherwise it returns err.
func cancellationError(cause, err error) error {
	var typed *fault.Error
	if errors.As(cause, &typed) {
		cancellation := *typed
		cancellation.Work = fault.As(err).Work
		return &cancellation
	}
	return err
}

func (s *Server) record(g *generation, sink *latencySink, result *stream.Result, err error, abandoned bool) {
	if s.opt.Recorder == nil {
		return
	}
	o := Outcome{
		Workspace:        g.workspace.Name,
		Model:            g.model.Name,
		WeightsVersion:   g.model.WeightsVersion,
		TTFT:             sink.ttft,
		MaxBetweenTokens: sink.maxGap,
		Complete:         err == nil,
		Abandoned:        err != nil && abandoned,
		ReusedTokens:     result.ReusedTokens,
		ComputedTokens:   result.ComputedTokens,
	}
	if err != nil && !abandoned {
		o.Cause = fault.As(err).Kind
	}
	if o.Abandoned && o.TTFT == 0 {
		o.WaitBeforeAbandon = s.opt.Now().Sub(sink.arrived)
	}
	s.opt.Recorder.RecordGeneration(s.opt.Now(), o)
}

// source chooses the engine of each attempt at one request. It implements stream.Source.
type source struct {
	server *Server
	g      *generation
	// slot is the slot on the engine of the current attempt, or nil.
	slot routing.Slot
	// failed holds the engines that rejected or failed the request.
	failed map[string]bool
	// lastFailedEngine is the engine of the last failed attempt.
	lastFailedEngine string
	// refusals counts the retries of refused attempts; maxRefusals bounds it.
	refusals int
	// permit is set for a request that must be sent at most once.
	permit sendPermit
	// retryDelay is the delay before the next attempt. Zero marks the first attempt.
	retryDelay time.Duration
	// movedEngine is set when the request is retried on a second engine. It is never retried on a
	// third, so that a request that crashes engines cannot take down all of them.
	movedEngine bool
	// resuming makes the next attempt continue the interrupted stream on the same engine. resumed is
	// set once that has been tried.
	resuming bool
	resumed  bool
	// continuation is the search for the next engine of a begun response.
	continuation continuation
}

// Open implements stream.Source.
func (src *source) Open(ctx context.Context, from stream.Position) (engine.Stream, error) {
	if !src.resuming {
		if err := src.awaitRetryDelay(ctx); err != nil {
			return nil, err
		}
		slot, err := src.server.opt.Router.Route(ctx, src.routingRequest())
		if err != nil {
			return nil, err
		}
		src.slot = slot
		if src.permit != nil {
			if err := src.permit.AuthorizeSend(); err != nil {
				return nil, err
			}
		}
	}
	src.resuming = false
	target := src.slot.Target()
	s, err := src.server.opt.Engines(target.Address).Generate(ctx, src.engineRequest(target, from))
	src.recordSend(err)
	return s, err
}

// maxRefusals bounds how often a request that no engine has run is routed again. A refusal costs an
// engine almost nothing, so these retries need no budget; several in a row occur only while engines
// change weights.
const maxRefusals = 4

// Retry implements stream.Source. A request that must be sent at most once is never retried: an engine
// that has discarded it would run it again.
func (src *source) Retry(err error, delivered bool) bool {
	if src.permit != nil {
		return false
	}
	if delivered {
		return src.retryBegun(err)
	}
	if fault.Is(err, fault.EnginesPaused) {
		return src.pickOtherVersion()
	}
	refused := fault.Is(err, fault.NoEngine) || src.slot != nil && fault.As(err).Work == fault.NotRun
	src.excludeEngine(err)
	if refused && src.refusals < maxRefusals {
		src.refusals++
		src.retryDelay = src.server.retries.rerouteDelay()
		src.server.splitPrompt(src.g, src.failed)
		return true
	}
	return src.retryOnSecondEngine(err)
}

// pickOtherVersion reports whether engines of another weights version can take a request whose version has none left.
func (src *source) pickOtherVersion() bool {
	before := src.g.model.WeightsVersion
	src.server.splitPrompt(src.g, src.failed)
	if src.g.model.WeightsVersion == before || src.refusals >= maxRefusals {
		return false
	}
	src.refusals++
	src.retryDelay = src.server.retries.rerouteDelay()
	return true
}

// excludeEngine releases the slot of a failed attempt and excludes its engine from further attempts.
func (src *source) excludeEngine(err error) {
	if src.slot == nil {
		return
	}
	src.failed[src.slot.Target().Engine] = true
	src.lastFailedEngine = src.slot.Target().Engine
	src.releaseSlot(err)
}

// releaseSlot gives up the engine of the last attempt, which failed with err.
func (src *source) releaseSlot(err error) {
	if src.slot != nil {
		src.slot.Done(routing.Outcome{Failed: true, Pause: requestedPause(err)})
		src.slot = nil
	}
}

// retryOnSecondEngine reports whether the retry budget allows a retry on a second engine, and sets
// its delay. It returns false if no engine has been tried or the request has already moved.
func (src *source) retryOnSecondEngine(err error) bool {
	if src.lastFailedEngine == "" {
		return false
	}
	delay, ok := src.server.retries.retryDelay(src.server.opt.Now(), src.movedEngine, fault.As(err).RetryAfter)
	if !ok {
		return false
	}
	src.movedEngine, src.retryDelay = true, delay
	event.StreamReplayed.Log(context.Background(), src.server.opt.Logger,
		slog.String("request", src.g.id), slog.String("engine", src.lastFailedEngine), slog.Any("error", err))
	return true
}

// awaitRetryDelay waits for the delay of a retry. It records a first attempt in the retry budget.
func (src *source) awaitRetryDelay(ctx context.Context) error {
	if src.continuation.isActive() {
		return src.awaitContinuation(ctx)
	}
	if src.retryDelay == 0 {
		src.server.retries.recordAttempt(src.server.opt.Now())
		return nil
	}
	delay := src.retryDelay
	src.retryDelay = 0
	return pauseRetry(ctx, delay)
}

func (src *source) routingRequest() *routing.Request {
	g := src.g
	// The deadline of a request is that of its first token, which the caller of a begun response has.
	deadline := g.deadline
	if src.continuation.isActive() {
		deadline = src.continuation.until
	}
	return &routing.Request{
		RequestID: g.id, Workspace: g.workspace, Model: g.model, Policy: g.config.Policy, Caller: g.caller,
		Pieces: g.pieces, Prompt: g.prompt, MaxTokens: g.maxTokens, Arrived: g.arrived, Deadline: deadline, FailedEngines: src.failed,
	}
}

func (src *source) engineRequest(target routing.Target, from stream.Position) *engine.Request {
	g := src.g
	return &engine.Request{
		ID: g.id, Workspace: g.workspace.Name, Model: g.model.Name, WeightsVersion: g.model.WeightsVersion,
		Prompt: g.prompt(), Pieces: engine.WirePieces(g.pieces), MaxTokens: g.maxTokens, Seed: g.common.Seed,
		Temperature: g.common.Temperature, ResumeOffset: from.NextSeq, Replay: from.Text,
		ReplayTokens: from.Tokens, Incarnation: target.Incarnation,
	}
}

// recordChunk ends the search for an engine, and reports the first token.
func (src *source) recordChunk(c *engine.Chunk) {
	src.continuation = continuation{}
	src.reportFirstToken(c)
}

// reportFirstToken reports the token counts of the prefill, which engines send with the first chunk,
// to the router.
func (src *source) reportFirstToken(c *engine.Chunk) {
	if src.slot == nil || c.ReusedTokens+c.ComputedTokens == 0 {
		return
	}
	src.slot.FirstToken(routing.Usage{
		Incarnation: c.Incarnation, ReusedTokens: c.ReusedTokens, ComputedTokens: c.ComputedTokens,
		Prefill: time.Duration(c.PrefillMS) * time.Millisecond,
	})
}

// finish releases the slot of the last attempt.
func (src *source) finish(err error, abandoned bool) {
	if src.slot != nil {
		src.slot.Done(routing.Outcome{Abandoned: abandoned, Failed: err != nil && !abandoned, Pause: requestedPause(err)})
	}
}

// requestedPause returns the time for which the engine of a failed attempt wants no requests, or 0.
func requestedPause(err error) time.Duration {
	if !fault.Is(err, fault.Overloaded) {
		return 0
	}
	return fault.As(err).RetryAfter
}
