// Package weights defines the interface to the platform's weight store and its HTTP client.
package weights

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
)

// Manifest describes the stored weights of a model version.
type Manifest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Bytes is the size of the weights. SHA256 is their digest in hex.
	Bytes  int64  `json:"bytes"`
	SHA256 string `json:"sha256"`
}

// Store is the weight store. Errors are of kind fault.NotFound, fault.RateLimited with a retry delay,
// or fault.PlatformUnavailable.
type Store interface {
	// Fetch reads the manifest of a version. Each call counts against the store's rate limit.
	Fetch(ctx context.Context, model, version string) (Manifest, error)
}

const (
	maxManifestBytes = 1 << 16
	// defaultRetryAfter is the retry delay if the store does not send a valid Retry-After.
	defaultRetryAfter = time.Second
)

// Client is the HTTP client of the weight store. It implements Store.
type Client struct {
	baseURL string
	http    *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client for the weight store at baseURL.
func NewClient(baseURL string, c *http.Client) *Client {
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), http: c}
}

// Fetch reads the manifest of a version.
func (c *Client) Fetch(ctx context.Context, model, version string) (Manifest, error) {
	address := c.baseURL + "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Manifest{}, fault.Wrap(err, fault.PlatformUnavailable, "invalid address of the weight store")
	}
	response, err := c.http.Do(req)
	if err != nil {
		return Manifest{}, fault.Wrap(err, fault.PlatformUnavailable, "no response from the weight store")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		var m Manifest
		if err := json.NewDecoder(io.LimitReader(response.Body, maxManifestBytes)).Decode(&m); err != nil {
			return Manifest{}, fault.Wrap(err, fault.PlatformUnavailable, "invalid manifest from the weight store")
		}
		return m, nil
	case http.StatusNotFound:
		return Manifest{}, fault.New(fault.NotFound, "weight store has no %s version %s", model, version)
	case http.StatusTooManyRequests:
		return Manifest{}, fault.New(fault.RateLimited, "weight store refused the request: rate limit exceeded").WithRetryAfter(retryAfter(response.Header))
	default:
		return Manifest{}, fault.New(fault.PlatformUnavailable, "weight store responded with status %d", response.StatusCode)
	}
}

func retryAfter(h http.Header) time.Duration {
	d, err := time.ParseDuration(h.Get(fault.HeaderRetryAfter) + "s")
	if err != nil || d <= 0 {
		return defaultRetryAfter
	}
	return d
}
