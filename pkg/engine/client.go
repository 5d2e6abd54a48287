package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/retry"
)

const (
	// maxResponseBytes limits a response that is not a stream. A snapshot of 400,000 cache keys
	// takes about 9 MB.
	maxResponseBytes = 64 << 20
	// maxErrorBytes limits the part of an error response that is copied into the error message.
	maxErrorBytes = 4 << 10
	// maxLoggedHeader bounds the part of a malformed header that an error message contains, in bytes.
	maxLoggedHeader = 64
)

// Client is the HTTP client of an engine. It implements Engine and is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns a client of the engine at baseURL. A nil httpClient means
// http.DefaultClient. httpClient must not have a Timeout, which would truncate streams.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	own := *httpClient
	own.CheckRedirect = refuseRedirect
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: &own}
}

// refuseRedirect makes the client return redirects as responses. Following one would send the
// request twice, and the failure of the second copy would hide that the first one arrived.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Generate implements Generator.
func (c *Client) Generate(ctx context.Context, r *Request) (Stream, error) {
	body := CompletionBody{
		Model:       r.Model,
		Prompt:      r.Prompt,
		MaxTokens:   r.MaxTokens,
		Seed:        r.Seed,
		Temperature: r.Temperature,
		Stream:      true,
		Cassiawall: &Extension{
			Workspace:    r.Workspace,
			Adapter:      r.Adapter,
			Pieces:       r.Pieces,
			Replay:       r.Replay,
			ReplayTokens: r.ReplayTokens,
		},
	}
	request, err := c.newRequest(ctx, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return nil, err
	}
	setGenerateHeaders(request.Header, r)
	response, err := c.send(request)
	if err != nil {
		return nil, err
	}
	return newStream(response.Body), nil
}

func setGenerateHeaders(h http.Header, r *Request) {
	h.Set(HeaderRequestID, r.ID)
	h.Set("Accept", "text/event-stream")
	if r.Priority != 0 {
		h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	}
	if r.ResumeOffset != 0 {
		h.Set(HeaderResumeOffset, strconv.Itoa(r.ResumeOffset))
	}
	if r.WeightsVersion != "" {
		h.Set(HeaderWeightsVersion, r.WeightsVersion)
	}
	if r.Incarnation != "" {
		h.Set(HeaderIncarnation, r.Incarnation)
	}
}

// CancelBody is the body of /v1/cancel.
type CancelBody struct {
	RequestID string `json:"request_id"`
}

// Cancel implements Generator.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return c.call(ctx, http.MethodPost, "/v1/cancel", CancelBody{RequestID: requestID}, nil)
}

// State implements Reporter.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	return s, c.call(ctx, http.MethodGet, "/v1/state", nil, &s)
}

// Load implements Reporter.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	return l, c.call(ctx, http.MethodGet, "/v1/load", nil, &l)
}

// Events implements Reporter. The batch is empty if the engine's own limit on the waiting time is
// reached first.
func (c *Client) Events(ctx context.Context, after uint64) (EventBatch, error) {
	var b EventBatch
	path := "/v1/events?" + url.Values{"after": {strconv.FormatUint(after, 10)}}.Encode()
	return b, c.call(ctx, http.MethodGet, path, nil, &b)
}

// Cache implements Reporter.
func (c *Client) Cache(ctx context.Context) (CacheSnapshot, error) {
	var s CacheSnapshot
	return s, c.call(ctx, http.MethodGet, "/v1/cache", nil, &s)
}

// ExportBody is the body of /v1/kv/export.
type ExportBody struct {
	Keys []string `json:"keys"`
}

// Export implements KVTransfer.
func (c *Client) Export(ctx context.Context, keys []string) (KVBlocks, error) {
	var b KVBlocks
	return b, c.call(ctx, http.MethodPost, "/v1/kv/export", ExportBody{Keys: keys}, &b)
}

// Import implements KVTransfer.
func (c *Client) Import(ctx context.Context, blocks KVBlocks) error {
	return c.call(ctx, http.MethodPost, "/v1/kv/import", blocks, nil)
}

// Order implements OrderReceiver. An error of kind fault.EngineRefused means that the engine has
// accepted an order with a higher fencing token.
func (c *Client) Order(ctx context.Context, o Order) error {
	request, err := c.newRequest(ctx, http.MethodPost, "/v1/orders", o)
	if err != nil {
		return err
	}
	request.Header.Set(HeaderFencingToken, strconv.FormatUint(o.FencingToken, 10))
	return c.sendAndDecode(request, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	return c.sendAndDecode(request, into)
}

func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "cannot encode the call to the engine")
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "engine address %q is not valid", c.baseURL)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

func (c *Client) sendAndDecode(request *http.Request, into any) error {
	response, err := c.send(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	limited := io.LimitReader(response.Body, maxResponseBytes)
	if into == nil {
		if _, err := io.Copy(io.Discard, limited); err != nil {
			return fault.Wrap(err, fault.EngineFailed, "reply of engine %s was cut", c.baseURL).WithWork(fault.Unknown)
		}
		return nil
	}
	if err := json.NewDecoder(limited).Decode(into); err != nil {
		return fault.Wrap(err, fault.EngineFailed, "engine %s sent an unreadable reply", c.baseURL).WithWork(fault.Unknown)
	}
	return nil
}

// send returns the response if its status is 200, else an error. The caller closes the body.
func (c *Client) send(request *http.Request) (*http.Response, error) {
	var connection httptrace.GotConnInfo
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connection = info }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, c.transportError(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	if response.ContentLength != 0 && connection.Conn != nil {
		// A faulty engine may write a refusal once more, when the connection carries another request. Before the body is
		// read, no other request uses the connection; most of the body has arrived with the header.
		_ = connection.Conn.Close()
	}
	if !answers(response, request, connection.Reused) {
		return nil, fault.New(fault.EngineFailed, "engine %s answered another request", c.baseURL).WithWork(fault.Unknown)
	}
	return nil, c.statusError(response)
}

// answers reports whether a response other than 200 belongs to a request. An engine repeats the ID of the request; without it,
// only the first response on a connection is sure to belong to the request. Calls without an ID change nothing.
func answers(response *http.Response, request *http.Request, reused bool) bool {
	want, got := request.Header.Get(HeaderRequestID), response.Header.Get(HeaderRequestID)
	if want == "" {
		return true
	}
	return got == want || got == "" && !reused
}

// transportError maps a failed dial, after which no byte has reached the engine, to fault.NotRun and
// failures on a connection to fault.Unknown.
func (c *Client) transportError(err error) error {
	wrapped := fault.Wrap(err, fault.EngineFailed, "engine %s did not answer", c.baseURL)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return wrapped
	}
	return wrapped.WithWork(fault.Unknown)
}

func (c *Client) statusError(response *http.Response) error {
	message := errorMessage(response.Body)
	status := response.StatusCode
	switch status {
	case http.StatusConflict:
		return fault.New(fault.EngineRefused, "engine %s refused: %s", c.baseURL, message)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		pause, valid := retry.ParsePause(response.Header.Get("Retry-After"))
		if !valid {
			message = fmt.Sprintf("%s (invalid Retry-After %.*q)", message, maxLoggedHeader, response.Header.Get("Retry-After"))
		}
		return fault.New(fault.Overloaded, "engine %s is busy: %s", c.baseURL, message).WithRetryAfter(pause)
	case http.StatusNotFound:
		return fault.New(fault.NotFound, "engine %s: %s", c.baseURL, message)
	}
	if status >= 400 && status < 500 {
		return fault.New(fault.BadRequest, "engine %s answered %d: %s", c.baseURL, status, message)
	}
	return fault.New(fault.EngineFailed, "engine %s answered %d: %s", c.baseURL, status, message).WithWork(fault.Unknown)
}

func errorMessage(body io.Reader) string {
	data, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	var e ErrorBody
	if json.Unmarshal(data, &e) == nil && e.Error.Message != "" {
		return e.Error.Message
	}
	return strings.TrimSpace(string(data))
}
