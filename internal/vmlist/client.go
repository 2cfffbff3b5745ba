// Package vmlist reads the platform's list of live and leaving VMs over HTTP.
//
// Invariant: the list lags, so a VM that is missing from it is not considered
// failed; only the state "leaving" has an effect.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/head"
)

const (
	// callTimeout limits the duration of one call.
	callTimeout = time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 10 * time.Second
	// maxResponseHeader and maxResponseBody limit a response, in bytes. An entry of the
	// list has about a hundred bytes.
	maxResponseHeader = 16 << 10
	maxResponseBody   = 1 << 20
)

// Config configures a Client. Address is the service's IP and port.
type Config struct {
	Address string
}

// Client implements ring.VMList, the platform's list of VMs, over HTTP.
type Client struct {
	address string
	http    *http.Client
}

// New returns a Client for the service at the configured address.
func New(c Config) *Client {
	transport := head.NewTransport(&http.Transport{IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader})
	return &Client{address: c.Address, http: &http.Client{Timeout: callTimeout, Transport: transport}}
}

// VMs implements ring.VMList.
func (c *Client) VMs(ctx context.Context) ([]ring.ListedVM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list VMs: unexpected status %d", resp.StatusCode)
	}
	var listed []json.RawMessage
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody+1))
	if err == nil && len(body) > maxResponseBody {
		err = fmt.Errorf("response body exceeds %d bytes", maxResponseBody)
	}
	if err == nil {
		err = json.Unmarshal(body, &listed)
	}
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	out := make([]ring.ListedVM, 0, len(listed))
	unread := 0
	for _, entry := range listed {
		var vm ring.ListedVM
		if json.Unmarshal(entry, &vm) != nil {
			unread++
			continue
		}
		out = append(out, vm)
	}
	if unread > 0 {
		return out, fmt.Errorf("list VMs: %d entries cannot be read", unread)
	}
	return out, nil
}
