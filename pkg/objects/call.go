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

// ErrHistoryGone is returned by a watch if the store no longer has the changes after the watch's
// revision.
var ErrHistoryGone = errors.New("the store no longer holds the changes after this revision; list the objects again")

// Call is one HTTP call to an object store that responds in JSON.
type Call struct {
	Method, URL string
	Header      http.Header
	Body        []byte
	// Write is set if the call can change an object. Without a response its outcome is then unknown.
	Write bool
	// MaxResponseBytes limits the body of the response.
	MaxResponseBytes int64
	// OnResponse is called with the header of the response before its body is read. It may be nil.
	OnResponse func(http.Header)
}

// Do makes the call and decodes the response into the value that into points to. A *[]byte receives the body as it is. Errors
// are of package fault, except ErrHistoryGone.
func (c Call) Do(ctx context.Context, client *http.Client, into any) error {
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, bytes.NewReader(c.Body))
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot build the request to the object store")
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	work := fault.NotRun
	if c.Write {
		work = fault.Unknown
	}
	response, err := client.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.PlatformUnavailable, "no response from the object store").WithWork(work)
	}
	defer response.Body.Close()
	if c.OnResponse != nil {
		c.OnResponse(response.Header)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.MaxResponseBytes))
	if err != nil {
		return fault.Wrap(err, fault.PlatformUnavailable, "response of the object store was truncated").WithWork(work)
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return statusError(response.StatusCode, body, work)
	}
	if raw, ok := into.(*[]byte); ok {
		*raw = body
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fault.Wrap(err, fault.PlatformUnavailable, "invalid response from the object store").WithWork(work)
	}
	return nil
}

// statusError maps a status to a typed error. Of the statuses for failures of the server only 429 and
// 503 prove that a write had no effect; after any other the error has the given work state.
func statusError(status int, body []byte, work fault.Work) error {
	message := strings.TrimSpace(string(body[:min(len(body), 200)]))
	switch status {
	case http.StatusNotFound:
		return fault.New(fault.NotFound, "%s", message)
	case http.StatusConflict, http.StatusPreconditionFailed:
		return fault.New(fault.Conflict, "%s", message)
	case http.StatusGone:
		return fmt.Errorf("%w: %s", ErrHistoryGone, message)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fault.New(fault.PlatformUnavailable, "object store refused the call with status %d: %s", status, message)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fault.New(fault.BadRequest, "object store rejected the call: %s", message)
	default:
		return fault.New(fault.PlatformUnavailable, "object store failed with status %d: %s", status, message).WithWork(work)
	}
}
