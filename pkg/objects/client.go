package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"cassiawall.example/cassiawall/pkg/fault"
)

// maxResponseBytes bounds a response: a list of full objects in base64.
const maxResponseBytes = 64 << 20

// Written is the response to a write.
type Written struct {
	Version uint64 `json:"version"`
}

// Client is the HTTP adapter of the object API. It implements Store.
type Client struct {
	base string
	http *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns an adapter for the object API at baseURL, for example "http://10.0.0.5:7000".
// A timeout in c also ends watches; bound single calls by their contexts instead.
func NewClient(baseURL string, c *http.Client) *Client {
	return &Client{base: strings.TrimRight(baseURL, "/"), http: c}
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	var o Object
	err := c.call(ctx, request{method: http.MethodGet, path: objectPath(name)}, &o)
	return o, err
}

// Put stores value if the current version equals ifVersion.
func (c *Client) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, fault.New(fault.BadRequest, "value of %d bytes is over the platform's limit", len(value))
	}
	var written Written
	r := request{method: http.MethodPut, path: objectPath(name), body: value, ifMatch: &ifVersion}
	err := c.call(ctx, r, &written)
	return written.Version, err
}

// Delete removes an object if its current version equals ifVersion.
func (c *Client) Delete(ctx context.Context, name string, ifVersion uint64) error {
	var written Written
	r := request{method: http.MethodDelete, path: objectPath(name), ifMatch: &ifVersion}
	return c.call(ctx, r, &written)
}

// List returns the objects whose names start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var found []Object
	path := "/objects?prefix=" + url.QueryEscape(prefix)
	err := c.call(ctx, request{method: http.MethodGet, path: path}, &found)
	return found, err
}

// Watch waits for changes after a version, until ctx ends or some arrive.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Object, error) {
	path := fmt.Sprintf("/watch?prefix=%s&after=%d", url.QueryEscape(prefix), after)
	for {
		var found []Object
		if err := c.call(ctx, request{method: http.MethodGet, path: path}, &found); err != nil {
			return nil, err
		}
		if len(found) > 0 {
			return found, nil
		}
	}
}

func objectPath(name string) string {
	return "/objects/" + (&url.URL{Path: name}).EscapedPath()
}

// request is one HTTP call. A request with ifMatch is a write.
type request struct {
	method, path string
	body         []byte
	ifMatch      *uint64
}

func (c *Client) call(ctx context.Context, r request, into any) error {
	q, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return fault.Wrap(err, fault.Internal, "object API request is malformed")
	}
	lost := fault.NotRun
	if r.ifMatch != nil {
		q.Header.Set("If-Match", strconv.FormatUint(*r.ifMatch, 10))
		lost = fault.Unknown
	}
	response, err := c.http.Do(q)
	if err != nil {
		return fault.Wrap(err, fault.PlatformUnavailable, "object API did not answer").WithWork(lost)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(err, fault.PlatformUnavailable, "object API answer was cut").WithWork(lost)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode, body, lost)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fault.Wrap(err, fault.PlatformUnavailable, "object API answer does not parse").WithWork(lost)
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
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fault.New(fault.PlatformUnavailable, "object API refused with status %d: %s", status, message)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fault.New(fault.BadRequest, "object API rejected the call: %s", message)
	default:
		return fault.New(fault.PlatformUnavailable, "object API failed with status %d: %s", status, message).WithWork(lost)
	}
}
