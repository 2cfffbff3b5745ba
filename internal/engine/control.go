// Package engine speaks to backend servers: their control interface and the
// headers with which requests to them carry the epoch.
//
// Invariant: a control call that times out is not repeated on the same
// connection.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	ring "eelgrassring.dev"
)

// The headers between nodes and backend servers.
const (
	// HeaderEpoch carries the epoch that a request was routed by.
	HeaderEpoch = "Eelgrass-Epoch"
	// HeaderRequest carries the identity of a request for resume and cancel.
	HeaderRequest = "Eelgrass-Request"
	// HeaderOffset asks to resume a stream after so many tokens.
	HeaderOffset = "Eelgrass-Offset"
	// HeaderPriority carries the application's priority.
	HeaderPriority = "Eelgrass-Priority"
	// HeaderRan is "no" on a refusal by a backend server that ran nothing.
	HeaderRan = "Eelgrass-Ran"
)

// The paths of the control interface.
const (
	StatusPath = "/control/status"
	OrderPath  = "/control/order"
)

// Control implements ring.BackendControl over HTTP.
type Control struct {
	keepAliveClient *http.Client
	// freshClient opens a connection for each call; it follows a call that timed
	// out on a kept one.
	freshClient *http.Client
}

// ControlConfig configures a Control.
type ControlConfig struct {
	// Timeout bounds one call.
	Timeout time.Duration
	// KeepAlive and Fresh carry the calls; nil means TCP.
	KeepAlive http.RoundTripper
	Fresh     http.RoundTripper
}

// NewControl returns a Control.
func NewControl(c ControlConfig) *Control {
	if c.KeepAlive == nil {
		c.KeepAlive = &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	}
	if c.Fresh == nil {
		c.Fresh = &http.Transport{DisableKeepAlives: true}
	}
	return &Control{
		keepAliveClient: &http.Client{Timeout: c.Timeout, Transport: c.KeepAlive},
		freshClient:     &http.Client{Timeout: c.Timeout, Transport: c.Fresh},
	}
}

// Status implements ring.BackendControl. A call that fails on a kept
// connection is tried once more on a fresh one.
func (c *Control) Status(ctx context.Context, address string) (ring.Status, error) {
	s, err := c.status(ctx, c.keepAliveClient, address)
	if err != nil && ctx.Err() == nil {
		s, err = c.status(ctx, c.freshClient, address)
	}
	return s, err
}

func (c *Control) status(ctx context.Context, client *http.Client, address string) (ring.Status, error) {
	var out ring.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatusPath, nil)
	if err != nil {
		return out, fmt.Errorf("status of %s: %w", address, err)
	}
	req.Header.Set("User-Agent", "") // Probes are most of what a node sends; they stay small.
	resp, err := client.Do(req)
	if err != nil {
		return out, fmt.Errorf("status of %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("status of %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return out, fmt.Errorf("status of %s: %w", address, err)
	}
	return out, nil
}

// Send implements ring.BackendControl. Orders may be repeated: their epoch
// makes them idempotent.
func (c *Control) Send(ctx context.Context, address string, order ring.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("order to %s: %w", address, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+OrderPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("order to %s: %w", address, err)
	}
	resp, err := c.freshClient.Do(req)
	if err != nil {
		return fmt.Errorf("order to %s: %w", address, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fmt.Errorf("order to %s: %w", address, ring.ErrFenced)
	default:
		return fmt.Errorf("order to %s: status %d", address, resp.StatusCode)
	}
}
