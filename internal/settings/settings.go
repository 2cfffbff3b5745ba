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
	// Adapter names the platform that the node runs on; see the constants.
	Adapter string `json:"adapter"`
	// Ready is the address at which the balancer asks, Digests the one of the
	// datagrams between nodes. Only AdapterPlatform uses these and the fields
	// below.
	Ready   string `json:"ready"`
	Digests string `json:"digests"`
	// Revocation bounds the time in which a revoked key is refused.
	Revocation deployment.Duration `json:"revocation"`
	// Retry and Burst bound the repeats to a service over all nodes: a part of
	// its requests, and so many more within ten seconds.
	Retry float64 `json:"retry"`
	Burst float64 `json:"burst"`
	// Memory bounds the process, in MB; 0 sets no bound.
	Memory int64 `json:"memory"`
	// Log is the least level: "debug", "info", "warn" or "error".
	Log string `json:"log"`
}

// The adapters. AdapterEtcd is the own interface on an etcd-compatible store;
// AdapterPlatform is the users' platform.
const (
	AdapterEtcd     = "etcd"
	AdapterPlatform = "platform"
)

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
		Adapter:  AdapterEtcd,
		Retry:    0.1,
		Burst:    100,
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

// address is an address of the settings with its path.
type address struct{ path, value string }

// addresses returns the addresses that the adapter needs.
func (s Settings) addresses() []address {
	out := []address{{"/callers", s.Callers}, {"/admin", s.Admin}, {"/store", s.Store}}
	if s.Adapter == AdapterPlatform {
		return append(out, address{"/ready", s.Ready}, address{"/digests", s.Digests})
	}
	return append(out, address{"/peers", s.Peers}, address{"/vms", s.VMs})
}

func (s Settings) faults() strictjson.Faults {
	var out strictjson.Faults
	fault := func(path, format string, args ...any) {
		out = append(out, strictjson.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	for _, f := range s.addresses() {
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
	switch s.Adapter {
	case AdapterEtcd:
	case AdapterPlatform:
		if s.Revocation <= 0 {
			fault("/revocation", "must be above 0")
		}
	default:
		fault("/adapter", "must be %s or %s, not %q", AdapterEtcd, AdapterPlatform, s.Adapter)
	}
	if s.Retry < 0 || s.Burst < 0 {
		fault("/retry", "and /burst must not be negative")
	}
	if s.Memory < 0 {
		fault("/memory", "must not be negative")
	}
	switch s.Log {
	case "debug", "info", "warn", "error":
	default:
		fault("/log", "must be debug, info, warn or error, not %q", s.Log)
	}
	return out
}
