// Package settings reads the settings of one node: JSON with comments, with
// unknown fields refused and all faults reported at once.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/strictjson"
)

// Settings are the settings of one node. Addresses are an IP and a port.
type Settings struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
	Store   string `json:"store"`
	VMs     string `json:"vms"`
	// Body is the largest request body, in bytes.
	Body int64 `json:"body"`
	// First bounds the time to the first byte of an answer; Gap the time
	// between two pieces of a stream.
	First deployment.Duration `json:"first"`
	Gap   deployment.Duration `json:"gap"`
	// Patience is how long a request may wait for a group when its caller
	// names no deadline.
	Patience deployment.Duration `json:"patience"`
	// Lag is how long the balancer takes to see that a node is not ready.
	Lag deployment.Duration `json:"lag"`
	// Drain bounds how long a stopping node lets requests finish.
	Drain deployment.Duration `json:"drain"`
	// Queue is how many requests may wait.
	Queue int `json:"queue"`
	// Log is the least level: "debug", "info", "warn" or "error".
	Log string `json:"log"`
}

// Default returns settings with every optional field set.
func Default() Settings {
	return Settings{
		Body:     4 << 20,
		First:    deployment.Duration(15 * time.Second),
		Gap:      deployment.Duration(5 * time.Second),
		Patience: deployment.Duration(10 * time.Second),
		Lag:      deployment.Duration(5 * time.Second),
		Drain:    deployment.Duration(10 * time.Minute),
		Queue:    1000,
		Log:      "info",
	}
}

// Read reads a file of settings.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(text)
	var faults strictjson.Faults
	if errors.As(err, &faults) {
		return Settings{}, fmt.Errorf("settings %s are not valid:\n%w", path, faults)
	}
	return s, err
}

// Parse reads settings from text, over the defaults.
func Parse(text []byte) (Settings, error) {
	s := Default()
	parsed, err := strictjson.Parse(text)
	if err != nil {
		return Settings{}, err
	}
	if err := parsed.Decode(&s); err != nil {
		return Settings{}, err
	}
	faults := s.faults()
	for i := range faults {
		faults[i].Position = parsed.At(faults[i].Path)
	}
	return s, faults.Err()
}

func (s Settings) faults() strictjson.Faults {
	var out strictjson.Faults
	fault := func(path, format string, args ...any) {
		out = append(out, strictjson.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	for _, f := range []struct{ path, value string }{
		{"/callers", s.Callers}, {"/peers", s.Peers}, {"/admin", s.Admin}, {"/store", s.Store}, {"/vms", s.VMs},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			fault(f.path, "%q is not an IP address with a port", f.value)
		}
	}
	if s.Name == "" {
		fault("/name", "must not be empty")
	}
	if s.Zone == "" {
		fault("/zone", "must not be empty")
	}
	for _, f := range []struct {
		path string
		span deployment.Duration
	}{
		{"/first", s.First}, {"/gap", s.Gap}, {"/patience", s.Patience}, {"/drain", s.Drain},
	} {
		if f.span <= 0 {
			fault(f.path, "must be above 0")
		}
	}
	if s.Lag < 0 {
		fault("/lag", "must not be negative")
	}
	if s.Body <= 0 {
		fault("/body", "must be above 0")
	}
	if s.Queue <= 0 {
		fault("/queue", "must be above 0")
	}
	switch s.Log {
	case "debug", "info", "warn", "error":
	default:
		fault("/log", "must be debug, info, warn or error, not %q", s.Log)
	}
	return out
}
