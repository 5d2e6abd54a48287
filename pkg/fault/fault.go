// Package fault defines the typed errors of cassiawall. Each kind has a fixed name, an HTTP
// status and a remedy, and each error states whether a backend ran the request.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Work states whether a backend (an engine or a backend server) ran the request that failed.
type Work string

// Values of Work. Callers receive them in the field work of an error body.
const (
	// NotRun means that no backend ran the request: none received a byte of it, or the backend
	// rejected it. It is safe to send again.
	NotRun Work = "not_run"
	// Run means that a backend ran the request.
	Run Work = "run"
	// Unknown means that a backend may have run the request.
	Unknown Work = "unknown"
)

// Kind is the machine-readable name of an error.
type Kind string

// Kinds of errors. They are part of the API, so their values do not change.
const (
	BadRequest            Kind = "bad_request"
	Unauthenticated       Kind = "unauthenticated"
	NotFound              Kind = "not_found"
	BodyTooLarge          Kind = "body_too_large"
	RequestTimeout        Kind = "request_timeout"
	RateLimited           Kind = "rate_limited"
	Overloaded            Kind = "overloaded"
	DeadlineUnreachable   Kind = "deadline_unreachable"
	EnginesPaused         Kind = "engines_paused"
	NoEngine              Kind = "no_engine"
	EngineFailed          Kind = "engine_failed"
	EngineRefused         Kind = "engine_refused"
	StreamBroken          Kind = "stream_broken"
	Superseded            Kind = "superseded"
	Draining              Kind = "draining"
	SlowReader            Kind = "slow_reader"
	BackendUnavailable    Kind = "backend_unavailable"
	BackendFailed         Kind = "backend_failed"
	IdempotencyKeyMissing Kind = "idempotency_key_missing"
	IdempotencyConflict   Kind = "idempotency_conflict"
	OutcomeUnknown        Kind = "outcome_unknown"
	InProgress            Kind = "in_progress"
	PlatformUnavailable   Kind = "platform_unavailable"
	Conflict              Kind = "conflict"
	InvalidSettings       Kind = "invalid_settings"
	InvalidConfiguration  Kind = "invalid_configuration"
	// Abandoned occurs only in logs and metrics, because the caller has disconnected.
	Abandoned Kind = "abandoned"
	Internal  Kind = "internal"
)

// statusClientClosedRequest is the usual non-standard status of a request whose client disconnected.
const statusClientClosedRequest = 499

// definition holds the HTTP status and the remedy of a kind.
type definition struct {
	status int
	remedy string
}

var definitions = map[Kind]definition{
	BadRequest:            {http.StatusBadRequest, "correct the request as the message says"},
	Unauthenticated:       {http.StatusUnauthorized, "send a valid API key in the Authorization header"},
	NotFound:              {http.StatusNotFound, "use a model or route that the workspace declares"},
	BodyTooLarge:          {http.StatusRequestEntityTooLarge, "send a shorter prompt or ask the operator to raise limits.body_bytes"},
	RequestTimeout:        {http.StatusRequestTimeout, "send the request body faster"},
	RateLimited:           {http.StatusTooManyRequests, "retry after the time in Retry-After or ask the operator for a higher limit"},
	Overloaded:            {http.StatusServiceUnavailable, "retry after the time in Retry-After"},
	DeadlineUnreachable:   {http.StatusServiceUnavailable, "retry later or allow a longer deadline"},
	EnginesPaused:         {http.StatusServiceUnavailable, "retry after the time in Retry-After"},
	NoEngine:              {http.StatusServiceUnavailable, "retry later; the operator checks the engines with 'cassiawall status'"},
	EngineFailed:          {http.StatusBadGateway, "send the request again"},
	EngineRefused:         {http.StatusBadGateway, "send the request again"},
	StreamBroken:          {http.StatusBadGateway, "discard the partial answer and send the request again"},
	Superseded:            {http.StatusConflict, "read the answer to the newer message"},
	Draining:              {http.StatusServiceUnavailable, "send the request again; another node takes it"},
	SlowReader:            {http.StatusRequestTimeout, "read the stream faster"},
	BackendUnavailable:    {http.StatusServiceUnavailable, "retry later; the operator checks the service's backend servers"},
	BackendFailed:         {http.StatusBadGateway, "check the state of the work before sending it again"},
	IdempotencyKeyMissing: {http.StatusBadRequest, "send an Idempotency-Key header that is unique for this piece of work"},
	IdempotencyConflict:   {http.StatusUnprocessableEntity, "use a new Idempotency-Key for a different request body"},
	OutcomeUnknown:        {http.StatusConflict, "check the state of the work at the service before ordering it again"},
	InProgress:            {http.StatusConflict, "wait and repeat the request with the same Idempotency-Key to read its outcome"},
	PlatformUnavailable:   {http.StatusServiceUnavailable, "retry when the platform's object API answers again"},
	Conflict:              {http.StatusConflict, "read the current version, merge the change and apply again"},
	InvalidSettings:       {http.StatusBadRequest, "correct the settings file as listed"},
	InvalidConfiguration:  {http.StatusBadRequest, "correct the configuration file as listed"},
	Abandoned:             {statusClientClosedRequest, "none"},
	Internal:              {http.StatusInternalServerError, "report the request id to the operator"},
}

// Error is a typed error. It implements error and unwraps to its cause.
type Error struct {
	Kind    Kind
	Message string
	Work    Work
	// RetryAfter is the time after which a retry can succeed. Zero means unknown.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of kind k for a request that was not run.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), Work: NotRun}
}

// Wrap returns an error of kind k around cause, with a stack trace for the logs.
func Wrap(cause error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = eris.Wrap(cause, e.Message)
	return e
}

// WithWork sets whether a backend ran the request and returns e.
func (e *Error) WithWork(w Work) *Error {
	e.Work = w
	return e
}

// WithRetryAfter sets the time after which a retry can succeed and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the kind, the message, the cause if there is one, and the remedy.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %s; remedy: %s", e.Kind, e.Message, eris.Cause(e.cause), e.Remedy())
	}
	return fmt.Sprintf("%s: %s; remedy: %s", e.Kind, e.Message, e.Remedy())
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Remedy returns the action that the caller or the operator can take.
func (e *Error) Remedy() string { return definitions[e.Kind].remedy }

// Status returns the HTTP status of the error's kind, or 500 for a kind that is not defined.
func (e *Error) Status() int {
	if d, ok := definitions[e.Kind]; ok {
		return d.status
	}
	return http.StatusInternalServerError
}

// Kinds returns every defined kind. The order is not specified.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(definitions))
	for k := range definitions {
		kinds = append(kinds, k)
	}
	return kinds
}

// As returns the typed error in err's chain. An error without one is wrapped in an error of kind
// Internal, whose Work is Unknown.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, Internal, "unexpected error").WithWork(Unknown)
}

// Is reports whether err's chain holds an error of kind k.
func Is(err error, k Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == k
}
