package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"cassiawall.example/cassiawall/pkg/fault"
)

// ErrHistoryGone means that the changes after a watch's revision are no longer known.
var ErrHistoryGone = errors.New("the store no longer holds the changes after this revision; list the objects again")

// Call is one HTTP call to a store of objects that answers in JSON.
type Call struct {
	Method, URL string
	Header      http.Header
	Body        []byte
	// Write is set if the call may change an object. Its outcome is unknown without a response.
	Write bool
	// MaxResponseBytes bounds the answer's body in bytes.
	MaxResponseBytes int64
}

// Do makes the call and decodes the answer. Errors are of package fault, but for ErrHistoryGone.
func (c Call) Do(ctx context.Context, client *http.Client, into any) error {
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, bytes.NewReader(c.Body))
	if err != nil {
		return fault.Wrap(err, fault.Internal, "store request is malformed")
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	lost := fault.NotRun
	if c.Write {
		lost = fault.Unknown
	}
	response, err := client.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.PlatformUnavailable, "store did not answer").WithWork(lost)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.MaxResponseBytes))
	if err != nil {
		return fault.Wrap(err, fault.PlatformUnavailable, "store answer was cut").WithWork(lost)
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return statusError(response.StatusCode, body, lost)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fault.Wrap(err, fault.PlatformUnavailable, "store answer does not parse").WithWork(lost)
	}
	return nil
}

// statusError maps a status to a typed error. Only 429 and 503 say that a write had no effect;
// the outcome of a write is unknown after any other status of the server's own failure.
func statusError(status int, body []byte, lost fault.Work) error {
	message := strings.TrimSpace(string(body[:min(len(body), 200)]))
	switch status {
	case http.StatusNotFound:
		return fault.New(fault.NotFound, "%s", message)
	case http.StatusConflict, http.StatusPreconditionFailed:
		return fault.New(fault.Conflict, "%s", message)
	case http.StatusGone:
		return fmt.Errorf("%w: %s", ErrHistoryGone, message)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fault.New(fault.PlatformUnavailable, "store refused with status %d: %s", status, message)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fault.New(fault.BadRequest, "store rejected the call: %s", message)
	default:
		return fault.New(fault.PlatformUnavailable, "store failed with status %d: %s", status, message).WithWork(lost)
	}
}
