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
	// maxIdempotencyKeyBytes bounds the length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// atMostOnceTimeout bounds a generation that runs at most once. Such a generation continues after
	// its caller has disconnected, so a disconnect does not bound it.
	atMostOnceTimeout = 10 * time.Minute
)

// AtMostOnceGuard ensures that requests run at most once. The controller of claims implements it.
type AtMostOnceGuard interface {
	// Begin claims a request. It returns a permit to send it, or the recorded outcome of an earlier
	// request with the same key.
	Begin(ctx context.Context, r claimsctl.Request) (*claimsctl.Permit, *claims.Outcome, error)
}

// mustRunAtMostOnce reports whether the request must run at most once: its model is declared
// non-idempotent in the workspace, or the caller sent an idempotency key.
func mustRunAtMostOnce(g *generation, r *http.Request) bool {
	return r.Header.Get(fault.HeaderIdempotencyKey) != "" || slices.Contains(g.workspace.NonIdempotentModels, g.model.Name)
}

// generateAtMostOnce serves a generation that runs at most once. The generation continues after its
// caller has disconnected, so that its outcome can be returned when the request is repeated.
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

// claimRequest returns the claim on the idempotency key of r. It fails with a typed error if the key is
// missing or too long, or if the server has no AtMostOnceGuard.
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

// recordedResponse is the response as stored in the claim. It is encoded as JSON.
type recordedResponse struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
	Tokens       int    `json:"tokens"`
	ReusedTokens int    `json:"reused_tokens"`
}

// claimOutcome returns the outcome to store in the claim of a generation that ended with err. A failed
// generation is NotSent if err states that no engine ran it, and UnknownResult otherwise.
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

// replayResponse delivers the recorded response of an earlier request with the same key.
func replayResponse(g *generation, o *claims.Outcome, out responder) error {
	var recorded recordedResponse
	if o.State != claims.Completed || len(o.Body) == 0 || json.Unmarshal(o.Body, &recorded) != nil {
		return fault.New(fault.OutcomeUnknown, "the request ran and its answer was too long to record").WithWork(fault.Run)
	}
	result := &stream.Result{Position: stream.Position{Text: recorded.Text, Tokens: recorded.Tokens}, FinishReason: recorded.FinishReason, ReusedTokens: recorded.ReusedTokens}
	chunk := engine.Chunk{RequestID: g.id, Text: recorded.Text, Tokens: recorded.Tokens, Final: true, FinishReason: recorded.FinishReason}
	if err := out.Deliver(chunk); err != nil {
		return err
	}
	return out.finish(result)
}

// recordingSink keeps the response for the claim and delivers it until the caller disconnects.
type recordingSink struct {
	responder
	text         strings.Builder
	result       stream.Result
	disconnected bool
}

// Deliver implements stream.Sink. It returns no error if the caller has disconnected, so that the
// generation continues.
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
