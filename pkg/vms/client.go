package vms

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"cassiawall.example/cassiawall/pkg/fault"
)

// maxListBytes limits a list. Several thousand VMs of a few hundred bytes each are well below it.
const maxListBytes = 16 << 20

// Client is the HTTP client of the VM list. It implements Lister.
type Client struct {
	url  string
	http *http.Client
}

var _ Lister = (*Client)(nil)

// NewClient returns a client for the VM list at baseURL, for example "http://10.0.0.6:7001".
func NewClient(baseURL string, c *http.Client) *Client {
	return &Client{url: strings.TrimRight(baseURL, "/") + "/vms", http: c}
}

// List reads the VM list.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.PlatformUnavailable, "invalid address of the VM list")
	}
	response, err := c.http.Do(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.PlatformUnavailable, "no response from the VM list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.PlatformUnavailable, "VM list responded with status %d", response.StatusCode)
	}
	var list []VM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, fault.Wrap(err, fault.PlatformUnavailable, "invalid response from the VM list")
	}
	return list, nil
}
