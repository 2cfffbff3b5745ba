// Package settings reads the settings of one node from JSON with comments. It
// rejects unknown fields and reports all faults at once.
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

// Settings are the settings of one node. An address is an IP address and a port.
type Settings struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// CallerAddress, PeerAddress and AdminAddress are where the node listens for
	// callers, other nodes and operators.
	CallerAddress string `json:"callers"`
	PeerAddress   string `json:"peers"`
	AdminAddress  string `json:"admin"`
	// StoreAddress is the key-value service, VMListAddress the platform's list of
	// VMs.
	StoreAddress  string `json:"store"`
	VMListAddress string `json:"vms"`
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64 `json:"body"`
	// FirstByteTimeout bounds the time to the first byte of a response,
	// EventGapTimeout the time between two events of a stream.
	FirstByteTimeout deployment.Duration `json:"first"`
	EventGapTimeout  deployment.Duration `json:"gap"`
	// MaxWait is how long a request may wait for a group with a free slot if its
	// caller sets no deadline.
	MaxWait deployment.Duration `json:"patience"`
	// BalancerLag is how long the load balancer takes to notice that a node is not
	// ready.
	BalancerLag deployment.Duration `json:"lag"`
	// DrainTimeout bounds the graceful shutdown of a node.
	DrainTimeout deployment.Duration `json:"drain"`
	// MaxQueue is the maximum number of waiting requests.
	MaxQueue int `json:"queue"`
	// Adapter selects the platform that the node runs on, such as AdapterEtcd.
	Adapter string `json:"adapter"`
	// ReadyAddress serves the load balancer's readiness checks; DigestAddress
	// receives the digests, the state that peers send by datagram. These fields
	// and those below up to RetryBurst are used only with AdapterPlatform.
	ReadyAddress  string `json:"ready"`
	DigestAddress string `json:"digests"`
	// MaxRevocationDelay is the longest time until every node refuses a revoked
	// key.
	MaxRevocationDelay deployment.Duration `json:"revocation"`
	// MaxEvacuationDelay is the longest time until no request is sent to the servers of an
	// availability zone that is being evacuated; 0 means that no zone is.
	MaxEvacuationDelay deployment.Duration `json:"evacuation"`
	// IsFirstStart is set if the whole system starts for the first time. Without it a node waits
	// until it knows that the store was not restored a moment ago.
	IsFirstStart bool `json:"initial"`
	// RetryRatio and RetryBurst bound the retries that all nodes send to a
	// service within ten seconds: RetryRatio times the service's requests plus
	// RetryBurst.
	RetryRatio float64 `json:"retry"`
	RetryBurst float64 `json:"burst"`
	// Hedge is the share of its requests that a node may send to a second server while the
	// first one is slow; 0 means none.
	Hedge float64 `json:"hedge"`
	// MemoryLimitMB limits the memory of the process; 0 means no limit.
	MemoryLimitMB int64 `json:"memory"`
	// BudgetMB is what the process may hold for its clients, in MB, and Descriptors the limit of
	// its descriptors. Connections bounds the connections of callers, ConnectionsPerAddress those
	// of one remote address, ConnectionsPerWorkspace those with a request of one workspace. 0 means for BudgetMB a part of MemoryLimitMB, for Descriptors the limit
	// of the operating system, for Connections what the descriptors and the budget allow, and
	// for the last two no limit.
	BudgetMB                int64 `json:"budget"`
	Descriptors             int   `json:"descriptors"`
	Connections             int   `json:"connections"`
	ConnectionsPerAddress   int   `json:"address"`
	ConnectionsPerWorkspace int   `json:"workspace"`
	// MaxHead and MaxFields are the largest size in bytes, and the largest number of fields, of
	// a request's head. HeadTimeout bounds the time to a whole head, StallTimeout the time that
	// a client may be behind with a body or with the reading of an answer.
	MaxHead      int                 `json:"head"`
	MaxFields    int                 `json:"fields"`
	HeadTimeout  deployment.Duration `json:"heads"`
	StallTimeout deployment.Duration `json:"stall"`
	// LogLevel is the minimum level of log lines: "debug", "info", "warn" or "error".
	LogLevel string `json:"log"`
}

// The adapters. AdapterEtcd uses this system's own interfaces with an
// etcd-compatible store; AdapterPlatform uses those that package platform adapts.
const (
	AdapterEtcd     = "etcd"
	AdapterPlatform = "platform"
)

// Default returns the default settings. Required fields are empty.
func Default() Settings {
	return Settings{
		MaxBody:          4 << 20,
		FirstByteTimeout: deployment.Duration(15 * time.Second),
		EventGapTimeout:  deployment.Duration(5 * time.Second),
		MaxWait:          deployment.Duration(10 * time.Second),
		BalancerLag:      deployment.Duration(5 * time.Second),
		DrainTimeout:     deployment.Duration(10 * time.Minute),
		MaxQueue:         1000,
		MaxHead:          64 << 10,
		MaxFields:        4096,
		HeadTimeout:      deployment.Duration(10 * time.Second),
		StallTimeout:     deployment.Duration(30 * time.Second),
		LogLevel:         "info",
		Adapter:          AdapterEtcd,
		RetryRatio:       0.1,
		RetryBurst:       100,
	}
}

// Read reads and validates a settings file. If the settings have faults, it
// returns them as one error with a line for each fault.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(text)
	var faults strictjson.Faults
	if errors.As(err, &faults) {
		return Settings{}, fmt.Errorf("invalid settings in %s:\n%w", path, faults)
	}
	return s, err
}

// Parse parses and validates settings; missing fields keep their defaults.
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

// address is an address from the settings with the JSON path of its field.
type address struct{ path, value string }

// addresses returns the addresses that must be set with the selected adapter: those
// that the node listens on, that of the store and, unless the adapter is
// AdapterPlatform, that of the list of VMs.
func (s Settings) addresses() []address {
	out := []address{{"/callers", s.CallerAddress}, {"/admin", s.AdminAddress}, {"/store", s.StoreAddress}}
	if s.Adapter == AdapterPlatform {
		return append(out, address{"/ready", s.ReadyAddress}, address{"/digests", s.DigestAddress})
	}
	return append(out, address{"/peers", s.PeerAddress}, address{"/vms", s.VMListAddress})
}

// validate returns all faults of the settings, with paths but without positions.
func (s Settings) validate() strictjson.Faults {
	var out strictjson.Faults
	addFault := func(path, format string, args ...any) {
		out = append(out, strictjson.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	for _, f := range s.addresses() {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			addFault(f.path, "%q is not an IP address with a port", f.value)
		}
	}
	if s.Name == "" {
		addFault("/name", "must not be empty")
	}
	if s.Zone == "" {
		addFault("/zone", "must not be empty")
	}
	for _, f := range []struct {
		path     string
		duration deployment.Duration
	}{
		{"/first", s.FirstByteTimeout}, {"/gap", s.EventGapTimeout}, {"/patience", s.MaxWait}, {"/drain", s.DrainTimeout},
		{"/heads", s.HeadTimeout}, {"/stall", s.StallTimeout},
	} {
		if f.duration <= 0 {
			addFault(f.path, "must be above 0")
		}
	}
	if s.MaxEvacuationDelay < 0 {
		addFault("/evacuation", "must not be negative")
	}
	if s.BalancerLag < 0 {
		addFault("/lag", "must not be negative")
	}
	if s.MaxBody <= 0 {
		addFault("/body", "must be above 0")
	}
	if s.MaxQueue <= 0 {
		addFault("/queue", "must be above 0")
	}
	switch s.Adapter {
	case AdapterEtcd:
	case AdapterPlatform:
		if s.MaxRevocationDelay <= 0 {
			addFault("/revocation", "must be above 0")
		}
	default:
		addFault("/adapter", "must be %s or %s, not %q", AdapterEtcd, AdapterPlatform, s.Adapter)
	}
	if s.RetryRatio < 0 || s.RetryBurst < 0 {
		addFault("/retry", "neither /retry nor /burst may be negative")
	}
	if s.Hedge < 0 || s.Hedge > 1 {
		addFault("/hedge", "must be from 0 to 1")
	}
	if s.MemoryLimitMB < 0 {
		addFault("/memory", "must not be negative")
	}
	for _, f := range []struct {
		path  string
		value int64
	}{{"/budget", s.BudgetMB}, {"/descriptors", int64(s.Descriptors)}, {"/connections", int64(s.Connections)}, {"/address", int64(s.ConnectionsPerAddress)}, {"/workspace", int64(s.ConnectionsPerWorkspace)}} {
		if f.value < 0 {
			addFault(f.path, "must not be negative")
		}
	}
	if s.MaxHead <= 0 || s.MaxFields <= 0 {
		addFault("/head", "/head and /fields must be above 0")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		addFault("/log", "must be debug, info, warn or error, not %q", s.LogLevel)
	}
	return out
}
