package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// fetchJSON reads JSON from a node's admin address.
func fetchJSON(ctx context.Context, address, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("node %s does not answer; give the admin address of a live node with --node: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("node %s: status %d", address, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func joinNames[T ~string](items []T) string {
	parts := make([]string, len(items))
	for i, item := range items {
		parts[i] = string(item)
	}
	return strings.Join(parts, ",")
}
