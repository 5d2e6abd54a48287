package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Names of headers of requests and responses.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a response that is the recorded outcome of an earlier request with the same
	// idempotency key.
	HeaderReplayed   = "Idempotent-Replayed"
	HeaderRetryAfter = "Retry-After"
)

// Body is the JSON body of an error response. Its fields type and code follow the OpenAI API, so that
// OpenAI client libraries can read them.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of Body.
type BodyError struct {
	Kind      Kind   `json:"kind"`
	Message   string `json:"message"`
	Remedy    string `json:"remedy"`
	Work      Work   `json:"work"`
	RequestID string `json:"request_id"`
	Type      string `json:"type"`
	Code      string `json:"code"`
}

// BodyOf returns the response body for err. It leaves out the cause, which can contain internal
// addresses; the cause is only logged.
func BodyOf(err error, requestID string) Body {
	e := As(err)
	return Body{Error: BodyError{
		Kind:      e.Kind,
		Message:   e.Message,
		Remedy:    e.Remedy(),
		Work:      e.Work,
		RequestID: requestID,
		Type:      openAIErrorType(e.Status()),
		Code:      string(e.Kind),
	}}
}

// WriteHTTP writes the response for err: its status, its JSON body and, if RetryAfter is set, the
// header Retry-After in whole seconds, rounded up.
func WriteHTTP(w http.ResponseWriter, err error, requestID string) {
	e := As(err)
	header := w.Header()
	header.Del("Content-Length")
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, requestID)
	if e.RetryAfter > 0 {
		header.Set(HeaderRetryAfter, retryAfterSeconds(e.RetryAfter))
	}
	w.WriteHeader(e.Status())
	// A failed write cannot be reported: the status has been sent, and the caller has disconnected.
	_ = json.NewEncoder(w).Encode(BodyOf(e, requestID))
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// openAIErrorType returns the error type of the OpenAI API for an HTTP status.
func openAIErrorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
