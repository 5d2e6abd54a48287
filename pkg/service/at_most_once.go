package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"cassiawall.example/cassiawall/pkg/claims"
	claimsctl "cassiawall.example/cassiawall/pkg/controller/claims"
	"cassiawall.example/cassiawall/pkg/entry"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
)

const (
	// maxAtMostOnceResponseBytes limits the response to a non-idempotent call, which is buffered in
	// memory.
	maxAtMostOnceResponseBytes = 8 << 20
	// outcomeGrace is added to a service's timeout as the time in which the outcome of a call is
	// recorded. Until then repeats of the call are refused as in progress, after it with outcome
	// unknown.
	outcomeGrace = 5 * time.Second
)

// backendResponse is a backend server's response, read in full.
type backendResponse struct {
	status int
	header http.Header
	body   []byte
}

// serveAtMostOnce serves a non-idempotent call. The call continues if its caller disconnects, so that
// a repeat of the call can be served the recorded outcome.
func (d *Dispatcher) serveAtMostOnce(w http.ResponseWriter, r *http.Request, call entry.ServiceCall, request *Request) error {
	key, err := idempotencyKey(r, call, request)
	if err != nil {
		return err
	}
	request.Header.Set(fault.HeaderIdempotencyKey, key)
	if d.opt.Guard == nil {
		return fault.New(fault.PlatformUnavailable, "this node has no object API to claim non-idempotent requests with")
	}
	permit, recorded, err := d.opt.Guard.Begin(r.Context(), claimRequest(call, request, key))
	if err != nil {
		return err
	}
	if recorded != nil {
		event.AnswerReplayed.Log(r.Context(), d.opt.Logger, slog.String("request_id", call.RequestID), slog.String("service", call.Service.Name))
		replay(w, recorded, call.RequestID)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), call.Service.Timeout.AsDuration())
	defer cancel()
	response, err := d.sendOnce(ctx, call, request, permit)
	if err != nil {
		return err
	}
	copyResponseHeader(w.Header(), response.header, call.RequestID)
	w.WriteHeader(response.status)
	// A failed write means that the caller has disconnected. A repeat is served the recorded outcome.
	_, _ = w.Write(response.body)
	return nil
}

// idempotencyKey returns the caller's key, or one derived from the body if the route allows it.
func idempotencyKey(r *http.Request, call entry.ServiceCall, request *Request) (string, error) {
	key := r.Header.Get(fault.HeaderIdempotencyKey)
	switch {
	case key == "" && call.Route.DeriveKey:
		return "derived-" + hex.EncodeToString(bodyHash(request)), nil
	case key == "":
		return "", fault.New(fault.IdempotencyKeyMissing, "%s %s runs at most once and needs a key", r.Method, call.Route.Path)
	case !isValidIdempotencyKey(key):
		return "", fault.New(fault.BadRequest, "the Idempotency-Key header must have 1 to 255 visible ASCII characters")
	}
	return key, nil
}

// bodyHash hashes the method and the target with the body, so that a key that is reused for another
// path is a conflict too.
func bodyHash(request *Request) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q ", request.Method, request.Target)
	h.Write(request.Body)
	return h.Sum(nil)
}

func claimRequest(call entry.ServiceCall, request *Request, key string) claimsctl.Request {
	return claimsctl.Request{
		Workspace: call.Workspace.Name,
		Key:       claims.NewKey(call.Workspace.Name, call.Service.Name+" "+call.Route.Path, key),
		BodyHash:  [sha256.Size]byte(bodyHash(request)),
		Deadline:  call.Service.Timeout.AsDuration() + outcomeGrace,
	}
}

// sendOnce sends the call to the first backend server that accepts a connection and records its
// outcome. Only failed connections are retried at other backend servers.
func (d *Dispatcher) sendOnce(ctx context.Context, call entry.ServiceCall, request *Request, permit *claimsctl.Permit) (*backendResponse, error) {
	failure := unreachableError(call)
	for _, c := range d.candidates(call) {
		sent := false
		response, err := d.client.SendOnce(ctx, c.address, request, func() error {
			err := permit.AuthorizeSend()
			sent = err == nil
			return err
		})
		if err == nil {
			return d.recordResponse(ctx, call, response, permit)
		}
		d.recordFailure(call, c.address, err)
		if sent {
			return nil, d.recordUnknownOutcome(call, permit, err)
		}
		failure = mergeFailure(failure, fault.As(err))
	}
	permit.Abandon()
	return nil, failure
}

// recordResponse reads a backend server's response and records it as the outcome.
func (d *Dispatcher) recordResponse(ctx context.Context, call entry.ServiceCall, response *http.Response, permit *claimsctl.Permit) (*backendResponse, error) {
	defer response.Body.Close()
	body, complete := readBounded(response.Body, maxAtMostOnceResponseBytes)
	if !complete {
		return nil, d.recordUnknownOutcome(call, permit, fault.New(fault.BackendFailed, "response is truncated or exceeds %d bytes", maxAtMostOnceResponseBytes))
	}
	if isNotRunRefusal(response.StatusCode, response.Header, body) {
		permit.Finish(ctx, claims.Outcome{State: claims.NotSent})
		return nil, fault.New(fault.BackendUnavailable, "backend server refused with status %d", response.StatusCode).WithRetryAfter(unavailableRetryAfter)
	}
	permit.Finish(ctx, claims.CompletedOutcome(response.StatusCode, response.Header.Get("Content-Type"), body))
	return &backendResponse{status: response.StatusCode, header: response.Header, body: body}, nil
}

// recordUnknownOutcome records that the call may have run and returns the error for the caller.
func (d *Dispatcher) recordUnknownOutcome(call entry.ServiceCall, permit *claimsctl.Permit, cause error) error {
	permit.Finish(context.Background(), claims.Outcome{State: claims.UnknownResult})
	event.OutcomeLost.Log(context.Background(), d.opt.Logger, slog.String("request_id", call.RequestID),
		slog.String("workspace", call.Workspace.Name), slog.String("service", call.Service.Name), slog.Any("error", cause))
	return fault.Wrap(cause, fault.OutcomeUnknown, "the request was sent and its answer was lost").WithWork(fault.Unknown)
}

// replay responds with a recorded outcome.
func replay(w http.ResponseWriter, o *claims.Outcome, requestID string) {
	h := w.Header()
	h.Set(fault.HeaderRequestID, requestID)
	h.Set(fault.HeaderReplayed, "true")
	if o.ContentType != "" {
		h.Set("Content-Type", o.ContentType)
	}
	w.WriteHeader(o.Status)
	// A failed write means that the caller has disconnected. The record stays.
	_, _ = w.Write(o.Body)
}
