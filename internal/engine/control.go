// Package engine holds the client of the backend servers' control interface and
// the headers between nodes and backend servers.
//
// Invariant: a control call that times out is not repeated on the same
// connection.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/head"
)

// The headers between nodes and backend servers.
const (
	// HeaderEpoch carries the epoch of the group that a request was routed to.
	HeaderEpoch = "Eelgrass-Epoch"
	// HeaderRequest carries the ID by which a request is resumed or cancelled.
	HeaderRequest = "Eelgrass-Request"
	// HeaderOffset carries the number of tokens after which a stream resumes.
	HeaderOffset = "Eelgrass-Offset"
	// HeaderPriority carries the priority of the calling application.
	HeaderPriority = "Eelgrass-Priority"
	// HeaderRateLimit names in a response how many requests a second the backend server
	// takes from all nodes together.
	HeaderRateLimit = "Eelgrass-Rate-Limit"
	// HeaderRan is "no" in a response if the backend server did not run the request.
	HeaderRan = "Eelgrass-Ran"
)

// The HTTP paths of a backend server's control interface.
const (
	StatusPath = "/control/status"
	OrderPath  = "/control/order"
)

const (
	// maxResponseHeader and maxResponseBody limit a response, in bytes. A status has
	// less than a kilobyte.
	maxResponseHeader = 16 << 10
	maxResponseBody   = 64 << 10
)

// Control implements ring.BackendControl, the control interface of the backend
// servers, over HTTP.
type Control struct {
	keepAliveClient *http.Client
	// freshClient opens a connection for each call. It sends orders and retries
	// a status call that failed on a reused connection.
	freshClient *http.Client
}

// ControlConfig configures a Control.
type ControlConfig struct {
	// Timeout limits the duration of one call.
	Timeout time.Duration
	// KeepAlive may reuse connections; Fresh opens a new connection for each
	// call. A nil field stands for a transport over TCP.
	KeepAlive http.RoundTripper
	Fresh     http.RoundTripper
}

// NewControl returns a Control with its own clients.
func NewControl(c ControlConfig) *Control {
	if c.KeepAlive == nil {
		c.KeepAlive = head.NewTransport(&http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader})
	}
	if c.Fresh == nil {
		c.Fresh = head.NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader})
	}
	return &Control{
		keepAliveClient: &http.Client{Timeout: c.Timeout, Transport: c.KeepAlive, CheckRedirect: keepRedirect},
		freshClient:     &http.Client{Timeout: c.Timeout, Transport: c.Fresh, CheckRedirect: keepRedirect},
	}
}

// keepRedirect makes a client return a redirect instead of following it.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Status implements ring.BackendControl. A call that fails on a reused
// connection is retried once on a new one.
func (c *Control) Status(ctx context.Context, address string) (ring.Status, error) {
	s, err := c.fetchStatus(ctx, c.keepAliveClient, address)
	if err != nil && ctx.Err() == nil {
		s, err = c.fetchStatus(ctx, c.freshClient, address)
	}
	return s, err
}

// fetchStatus fetches the status of the backend server at address with the given
// client.
func (c *Control) fetchStatus(ctx context.Context, client *http.Client, address string) (ring.Status, error) {
	var out ring.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatusPath, nil)
	if err != nil {
		return out, fmt.Errorf("get status of %s: %w", address, err)
	}
	req.Header.Set("User-Agent", "") // Keeps status requests small; they are most of what a node sends.
	resp, err := client.Do(req)
	if err != nil {
		return out, fmt.Errorf("get status of %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("get status of %s: unexpected status %d", address, resp.StatusCode)
	}
	body, err := readBody(resp)
	if err == nil {
		err = json.Unmarshal(body, &out)
	}
	if err != nil {
		return ring.Status{}, fmt.Errorf("get status of %s: %w", address, err)
	}
	return out, nil
}

// readBody reads the body of a response to its end. It returns an error if the body is
// longer than maxResponseBody.
func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody+1))
	if err == nil && len(body) > maxResponseBody {
		err = fmt.Errorf("response body exceeds %d bytes", maxResponseBody)
	}
	return body, err
}

// Send implements ring.BackendControl. The caller may send an order again after
// an error, because its epoch makes it idempotent.
func (c *Control) Send(ctx context.Context, address string, order ring.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("send order to %s: %w", address, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+OrderPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("send order to %s: %w", address, err)
	}
	resp, err := c.freshClient.Do(req)
	if err != nil {
		return fmt.Errorf("send order to %s: %w", address, err)
	}
	defer resp.Body.Close()
	if _, err := readBody(resp); err != nil {
		return fmt.Errorf("send order to %s: %w", address, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fmt.Errorf("send order to %s: %w", address, ring.ErrFenced)
	default:
		return fmt.Errorf("send order to %s: unexpected status %d", address, resp.StatusCode)
	}
}
