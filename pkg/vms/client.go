package vms

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/jsonsplit"
)

// maxListBytes limits a list. Several thousand VMs of a few hundred bytes each are well below it.
const maxListBytes = 16 << 20

// Client is the HTTP client of the VM list. It implements Lister.
type Client struct {
	url  string
	http *http.Client
	// OnSkip is called for each entry that is left out because it cannot be used. It may be nil.
	OnSkip func(error)
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, fault.Wrap(err, fault.PlatformUnavailable, "response of the VM list was truncated")
	}
	entries, err := jsonsplit.Array(body)
	if err != nil {
		return nil, fault.Wrap(err, fault.PlatformUnavailable, "invalid response from the VM list")
	}
	list := make([]VM, 0, len(entries))
	for i, entry := range entries {
		vm, err := decodeVM(entry)
		if err == nil {
			list = append(list, vm)
		} else if c.OnSkip != nil {
			c.OnSkip(fmt.Errorf("entry %d of the VM list: %w", i, err))
		}
	}
	return list, nil
}

// decodeVM decodes one entry. It returns an error if the entry does not parse or has no valid port.
func decodeVM(entry []byte) (VM, error) {
	var vm VM
	if err := json.Unmarshal(entry, &vm); err != nil {
		return VM{}, err
	}
	_, port, err := net.SplitHostPort(vm.Address)
	if err != nil {
		return VM{}, err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return VM{}, fmt.Errorf("VM %q has the port %q; it must be from 1 to 65535", vm.Name, port)
	}
	return vm, nil
}
