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
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	CallerAddress string `json:"callers"`
	PeerAddress   string `json:"peers"`
	AdminAddress  string `json:"admin"`
	StoreAddress  string `json:"store"`
	VMListAddress string `json:"vms"`
	// MaxBody is the largest request body, in bytes.
	MaxBody int64 `json:"body"`
	// FirstByteTimeout bounds the time to the first byte of an answer; Gap the time
	// between two pieces of a stream.
	FirstByteTimeout deployment.Duration `json:"first"`
	EventGapTimeout  deployment.Duration `json:"gap"`
	// MaxWait is how long a request may wait for a group when its caller
	// names no deadline.
	MaxWait deployment.Duration `json:"patience"`
	// BalancerLag is how long the balancer takes to see that a node is not ready.
	BalancerLag deployment.Duration `json:"lag"`
	// DrainTimeout bounds how long a stopping node lets requests finish.
	DrainTimeout deployment.Duration `json:"drain"`
	// MaxQueue is how many requests may wait.
	MaxQueue int `json:"queue"`
	// Adapter names the platform that the node runs on; see the constants.
	Adapter string `json:"adapter"`
	// ReadyAddress is the address at which the balancer asks, Digests the one of the
	// datagrams between nodes. Only AdapterPlatform uses these and the fields
	// below.
	ReadyAddress  string `json:"ready"`
	DigestAddress string `json:"digests"`
	// MaxRevocationDelay bounds the time in which a revoked key is refused.
	MaxRevocationDelay deployment.Duration `json:"revocation"`
	// RetryRatio and Burst bound the repeats to a service over all nodes: a part of
	// its requests, and so many more within ten seconds.
	RetryRatio float64 `json:"retry"`
	RetryBurst float64 `json:"burst"`
	// MemoryLimitMB bounds the process, in MB; 0 sets no bound.
	MemoryLimitMB int64 `json:"memory"`
	// LogLevel is the least level: "debug", "info", "warn" or "error".
	LogLevel string `json:"log"`
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
		MaxBody:          4 << 20,
		FirstByteTimeout: deployment.Duration(15 * time.Second),
		EventGapTimeout:  deployment.Duration(5 * time.Second),
		MaxWait:          deployment.Duration(10 * time.Second),
		BalancerLag:      deployment.Duration(5 * time.Second),
		DrainTimeout:     deployment.Duration(10 * time.Minute),
		MaxQueue:         1000,
		LogLevel:         "info",
		Adapter:          AdapterEtcd,
		RetryRatio:       0.1,
		RetryBurst:       100,
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
	faults := s.validate()
	for i := range faults {
		faults[i].Position = parsed.PositionOf(faults[i].Path)
	}
	return s, faults.Err()
}

// address is an address of the settings with its path.
type address struct{ path, value string }

// addresses returns the addresses that the adapter needs.
func (s Settings) addresses() []address {
	out := []address{{"/callers", s.CallerAddress}, {"/admin", s.AdminAddress}, {"/store", s.StoreAddress}}
	if s.Adapter == AdapterPlatform {
		return append(out, address{"/ready", s.ReadyAddress}, address{"/digests", s.DigestAddress})
	}
	return append(out, address{"/peers", s.PeerAddress}, address{"/vms", s.VMListAddress})
}

func (s Settings) validate() strictjson.Faults {
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
		{"/first", s.FirstByteTimeout}, {"/gap", s.EventGapTimeout}, {"/patience", s.MaxWait}, {"/drain", s.DrainTimeout},
	} {
		if f.span <= 0 {
			fault(f.path, "must be above 0")
		}
	}
	if s.BalancerLag < 0 {
		fault("/lag", "must not be negative")
	}
	if s.MaxBody <= 0 {
		fault("/body", "must be above 0")
	}
	if s.MaxQueue <= 0 {
		fault("/queue", "must be above 0")
	}
	switch s.Adapter {
	case AdapterEtcd:
	case AdapterPlatform:
		if s.MaxRevocationDelay <= 0 {
			fault("/revocation", "must be above 0")
		}
	default:
		fault("/adapter", "must be %s or %s, not %q", AdapterEtcd, AdapterPlatform, s.Adapter)
	}
	if s.RetryRatio < 0 || s.RetryBurst < 0 {
		fault("/retry", "and /burst must not be negative")
	}
	if s.MemoryLimitMB < 0 {
		fault("/memory", "must not be negative")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		fault("/log", "must be debug, info, warn or error, not %q", s.LogLevel)
	}
	return out
}
