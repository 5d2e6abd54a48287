package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Header names that errors and requests share.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks an answer that comes from the record of an earlier request.
	HeaderReplayed   = "Idempotent-Replayed"
	HeaderRetryAfter = "Retry-After"
)

// Body is the JSON document of an error. Type and Code follow the OpenAI interface, so that its
// client libraries show them.
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

// BodyOf returns the JSON document of err. The cause stays in the logs because it can name
// internal addresses.
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

// WriteHTTP writes err as a typed error with its status, its JSON body and, if the error states
// one, the header Retry-After in whole seconds, rounded up.
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
	// The status is sent already, so a failed write has no other reader than the caller that left.
	_ = json.NewEncoder(w).Encode(BodyOf(e, requestID))
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

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
