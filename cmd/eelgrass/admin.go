package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// fetchJSON requests a path from the admin interface of a node and decodes the
// JSON response into out.
func fetchJSON(ctx context.Context, address, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("node %s does not respond; give the admin address of a live node with --node: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("node %s: HTTP status %d", address, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// sendAdmin sends a request without a body to the admin interface of a node. It returns
// an error unless the response has the wanted status.
func sendAdmin(ctx context.Context, method, address, path string, wantStatus int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("node %s does not respond: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != wantStatus {
		return fmt.Errorf("node %s: HTTP status %d", address, resp.StatusCode)
	}
	return nil
}

// yesNo formats a bool for a table.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// joinNames joins the items with commas for a column of a table.
func joinNames[T ~string](items []T) string {
	parts := make([]string, len(items))
	for i, item := range items {
		parts[i] = string(item)
	}
	return strings.Join(parts, ",")
}
