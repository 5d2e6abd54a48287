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
	// maxOnceAnswer bounds the answer to a non-idempotent call, which is held in memory.
	maxOnceAnswer = 8 << 20
	// settleSlack is added to a service's timeout before repeats of a call are told that its
	// outcome is unknown instead of in progress.
	settleSlack = 5 * time.Second
)

// answer is a backend server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// once serves a non-idempotent call. The call goes on when its caller leaves, because its outcome
// must be known to the caller's repeat.
func (d *Dispatcher) once(w http.ResponseWriter, r *http.Request, call entry.ServiceCall, q *Request) error {
	key, err := idempotencyKey(r, call, q)
	if err != nil {
		return err
	}
	q.Header.Set(fault.HeaderIdempotencyKey, key)
	if d.opt.Guard == nil {
		return fault.New(fault.PlatformUnavailable, "this node has no object API to claim non-idempotent requests with")
	}
	permit, recorded, err := d.opt.Guard.Begin(r.Context(), claimOf(call, q, key))
	if err != nil {
		return err
	}
	if recorded != nil {
		event.AnswerReplayed.Log(r.Context(), d.opt.Logger, slog.String("request_id", call.RequestID), slog.String("service", call.Service.Name))
		replay(w, recorded, call.RequestID)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), call.Service.Timeout.D())
	defer cancel()
	a, err := d.sendOnce(ctx, call, q, permit)
	if err != nil {
		return err
	}
	copyAnswerHeader(w.Header(), a.header, call.RequestID)
	w.WriteHeader(a.status)
	// A failed write means that the caller is gone; its repeat reads the record.
	_, _ = w.Write(a.body)
	return nil
}

// idempotencyKey returns the caller's key, or one derived from the body if the route allows it.
func idempotencyKey(r *http.Request, call entry.ServiceCall, q *Request) (string, error) {
	key := r.Header.Get(fault.HeaderIdempotencyKey)
	switch {
	case key == "" && call.Route.DeriveKey:
		return "derived-" + hex.EncodeToString(bodyHash(q)), nil
	case key == "":
		return "", fault.New(fault.IdempotencyKeyMissing, "%s %s runs at most once and needs a key", r.Method, call.Route.Path)
	case !validKey(key):
		return "", fault.New(fault.BadRequest, "the Idempotency-Key header must have 1 to 255 visible ASCII characters")
	}
	return key, nil
}

// bodyHash covers all that a backend server acts on, so that a key used for another path is a
// conflict too.
func bodyHash(q *Request) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q ", q.Method, q.Target)
	h.Write(q.Body)
	return h.Sum(nil)
}

func claimOf(call entry.ServiceCall, q *Request, key string) claimsctl.Request {
	return claimsctl.Request{
		Workspace: call.Workspace.Name,
		Key:       claims.NewKey(call.Workspace.Name, call.Service.Name+" "+call.Route.Path, key),
		BodyHash:  [sha256.Size]byte(bodyHash(q)),
		Deadline:  call.Service.Timeout.D() + settleSlack,
	}
}

// sendOnce sends the call to the first backend server that accepts a connection and records what
// became of it. Only connecting is tried again.
func (d *Dispatcher) sendOnce(ctx context.Context, call entry.ServiceCall, q *Request, permit *claimsctl.Permit) (*answer, error) {
	failure := noBackend(call)
	for _, c := range d.candidates(call) {
		sent := false
		response, err := d.client.SendOnce(ctx, c.address, q, func() error {
			err := permit.AuthorizeSend()
			sent = err == nil
			return err
		})
		if err == nil {
			return d.finish(ctx, call, response, permit)
		}
		d.noteFailure(call, c.address, err)
		if sent {
			return nil, d.lost(call, permit, err)
		}
		failure = mergeFailure(failure, fault.As(err))
	}
	permit.Abandon()
	return nil, failure
}

// finish records a backend server's answer.
func (d *Dispatcher) finish(ctx context.Context, call entry.ServiceCall, response *http.Response, permit *claimsctl.Permit) (*answer, error) {
	defer response.Body.Close()
	body, complete := readBounded(response.Body, maxOnceAnswer)
	if !complete {
		return nil, d.lost(call, permit, fault.New(fault.BackendFailed, "answer was cut or is over %d bytes", maxOnceAnswer))
	}
	if saysNotRun(response.StatusCode, response.Header, body) {
		permit.Finish(ctx, claims.Outcome{State: claims.NotSent})
		return nil, fault.New(fault.BackendUnavailable, "backend server refused with status %d", response.StatusCode).WithRetryAfter(unavailableRetry)
	}
	permit.Finish(ctx, claims.CompletedOutcome(response.StatusCode, response.Header.Get("Content-Type"), body))
	return &answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// lost records that the call may have run.
func (d *Dispatcher) lost(call entry.ServiceCall, permit *claimsctl.Permit, cause error) error {
	permit.Finish(context.Background(), claims.Outcome{State: claims.UnknownResult})
	event.OutcomeLost.Log(context.Background(), d.opt.Logger, slog.String("request_id", call.RequestID),
		slog.String("workspace", call.Workspace.Name), slog.String("service", call.Service.Name), slog.Any("error", cause))
	return fault.Wrap(cause, fault.OutcomeUnknown, "the request was sent and its answer was lost").WithWork(fault.Unknown)
}

// replay answers from the record.
func replay(w http.ResponseWriter, o *claims.Outcome, requestID string) {
	h := w.Header()
	h.Set(fault.HeaderRequestID, requestID)
	h.Set(fault.HeaderReplayed, "true")
	if o.ContentType != "" {
		h.Set("Content-Type", o.ContentType)
	}
	w.WriteHeader(o.Status)
	// A failed write means that the caller is gone; the record stays.
	_, _ = w.Write(o.Body)
}
