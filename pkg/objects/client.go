package objects

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"cassiawall.example/cassiawall/pkg/fault"
)

// maxResponseBytes limits a response. The largest are lists of objects of up to MaxValueBytes in
// base64.
const maxResponseBytes = 64 << 20

// WriteResponse is the response to a write.
type WriteResponse struct {
	Version uint64 `json:"version"`
}

// Client is the HTTP client of the object API. It implements Store.
type Client struct {
	baseURL string
	http    *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client for the object API at baseURL, for example "http://10.0.0.5:7000".
// A Timeout of c also ends watches; set deadlines on the contexts of single calls instead.
func NewClient(baseURL string, c *http.Client) *Client {
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), http: c}
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	var o Object
	err := c.call(ctx, request{method: http.MethodGet, path: objectPath(name)}, &o)
	return o, err
}

// Put stores value if the current version equals ifVersion and returns the new version. An
// ifVersion of 0 means that the object must not exist.
func (c *Client) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, fault.New(fault.BadRequest, "value of %d bytes exceeds the platform's limit of %d bytes", len(value), MaxValueBytes)
	}
	var written WriteResponse
	r := request{method: http.MethodPut, path: objectPath(name), body: value, ifMatch: &ifVersion}
	err := c.call(ctx, r, &written)
	return written.Version, err
}

// Delete removes an object if its current version equals ifVersion.
func (c *Client) Delete(ctx context.Context, name string, ifVersion uint64) error {
	var written WriteResponse
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

// Watch waits until objects whose names start with prefix have changed after the version, or ctx
// ends. It repeats the call if the server returns no changes.
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

// request is one call of the object API. It is a write if ifMatch is not nil.
type request struct {
	method, path string
	body         []byte
	ifMatch      *uint64
}

func (c *Client) call(ctx context.Context, r request, into any) error {
	call := Call{Method: r.method, URL: c.baseURL + r.path, Body: r.body, MaxResponseBytes: maxResponseBytes}
	if r.ifMatch != nil {
		call.Header = http.Header{"If-Match": {strconv.FormatUint(*r.ifMatch, 10)}}
		call.Write = true
	}
	return call.Do(ctx, c.http, into)
}
