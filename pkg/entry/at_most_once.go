package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/claims"
	claimsctl "cassiawall.example/cassiawall/pkg/controller/claims"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/stream"
)

const (
	// maxIdempotencyKeyBytes bounds an idempotency key.
	maxIdempotencyKeyBytes = 255
	// atMostOnceTimeout bounds a generation that runs at most once and goes on without its caller.
	atMostOnceTimeout = 10 * time.Minute
)

// AtMostOnceGuard keeps requests at most once. The controller of claims implements it.
type AtMostOnceGuard interface {
	Begin(ctx context.Context, r claimsctl.Request) (*claimsctl.Permit, *claims.Outcome, error)
}

// mustRunAtMostOnce reports whether the request must run at most once: the workspace declares the model so,
// or the caller sent an idempotency key.
func mustRunAtMostOnce(g *generation, r *http.Request) bool {
	return r.Header.Get(fault.HeaderIdempotencyKey) != "" || slices.Contains(g.workspace.NonIdempotentModels, g.model.Name)
}

// generateAtMostOnce serves a generation that runs at most once. It goes on when its caller leaves,
// because a repeat of the request must learn its outcome.
func (s *Server) generateAtMostOnce(w http.ResponseWriter, r *http.Request, g *generation) error {
	request, err := s.claimRequest(g, r)
	if err != nil {
		return err
	}
	permit, recorded, err := s.opt.Guard.Begin(r.Context(), request)
	if err != nil {
		return err
	}
	out := s.responder(w, g)
	if recorded != nil {
		w.Header().Set(fault.HeaderReplayed, "true")
		return replayResponse(g, recorded, out)
	}
	running, stop := context.WithCancelCause(context.WithoutCancel(r.Context()))
	defer stop(nil)
	defer context.AfterFunc(s.stopped, func() { stop(context.Cause(s.stopped)) })()
	ctx, cancel := context.WithTimeoutCause(running, atMostOnceTimeout,
		fault.New(fault.StreamBroken, "the request ran longer than %s", atMostOnceTimeout))
	defer cancel()
	sink := &recordingSink{responder: out}
	err = s.relayGeneration(ctx, g, sink, permit)
	permit.Finish(ctx, claimOutcome(g, sink, err))
	return s.endGeneration(r.Context(), g.id, out, err)
}

func (s *Server) claimRequest(g *generation, r *http.Request) (claimsctl.Request, error) {
	key := r.Header.Get(fault.HeaderIdempotencyKey)
	switch {
	case key == "":
		return claimsctl.Request{}, fault.New(fault.IdempotencyKeyMissing, "requests of model %s run at most once in workspace %s", g.model.Name, g.workspace.Name)
	case len(key) > maxIdempotencyKeyBytes:
		return claimsctl.Request{}, fault.New(fault.BadRequest, "header %s is longer than %d bytes", fault.HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	case s.opt.Guard == nil:
		return claimsctl.Request{}, fault.New(fault.PlatformUnavailable, "this node has no object API for requests that run at most once")
	}
	return claimsctl.Request{
		Workspace: g.workspace.Name, Key: claims.NewKey(g.workspace.Name, r.URL.Path, key),
		BodyHash: sha256.Sum256(g.body), Deadline: atMostOnceTimeout,
	}, nil
}

// recordedResponse is the recorded body of a generation.
type recordedResponse struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
	Tokens       int    `json:"tokens"`
	ReusedTokens int    `json:"reused_tokens"`
}

// claimOutcome returns what to record of a generation that ended with err.
func claimOutcome(g *generation, sink *recordingSink, err error) claims.Outcome {
	switch {
	case err == nil:
		body, encodeErr := json.Marshal(sink.response())
		if encodeErr != nil {
			return claims.Outcome{State: claims.UnknownResult}
		}
		return claims.CompletedOutcome(http.StatusOK, "application/json", body)
	case fault.As(err).Work == fault.NotRun:
		return claims.Outcome{State: claims.NotSent}
	}
	return claims.Outcome{State: claims.UnknownResult}
}

// replayResponse delivers a recorded answer.
func replayResponse(g *generation, o *claims.Outcome, out responder) error {
	var a recordedResponse
	if o.State != claims.Completed || len(o.Body) == 0 || json.Unmarshal(o.Body, &a) != nil {
		return fault.New(fault.OutcomeUnknown, "the request ran and its answer was too long to record").WithWork(fault.Run)
	}
	result := &stream.Result{Position: stream.Position{Text: a.Text, Tokens: a.Tokens}, FinishReason: a.FinishReason, ReusedTokens: a.ReusedTokens}
	chunk := engine.Chunk{RequestID: g.id, Text: a.Text, Tokens: a.Tokens, Final: true, FinishReason: a.FinishReason}
	if err := out.Deliver(chunk); err != nil {
		return err
	}
	return out.finish(result)
}

// recordingSink keeps the answer for the record and delivers it while the caller is there.
type recordingSink struct {
	responder
	text         strings.Builder
	result       stream.Result
	disconnected bool
}

// Deliver implements stream.Sink. A caller that left does not end the work.
func (o *recordingSink) Deliver(c engine.Chunk) error {
	o.text.WriteString(c.Text)
	if !o.disconnected {
		o.disconnected = o.responder.Deliver(c) != nil
	}
	return nil
}

func (o *recordingSink) finish(result *stream.Result) error {
	o.result = *result
	if !o.disconnected {
		o.disconnected = o.responder.finish(result) != nil
	}
	return nil
}

func (o *recordingSink) response() recordedResponse {
	return recordedResponse{Text: o.text.String(), FinishReason: o.result.FinishReason, Tokens: o.result.Tokens, ReusedTokens: o.result.ReusedTokens}
}
