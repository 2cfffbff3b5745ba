// Package deployment holds the configuration that operators declare: VMs,
// models, groups, workspaces and plain services.
//
// Terms:
//
//   - Document: the configuration as written; it may be invalid.
//   - Configuration: a document that passed validation, indexed by name.
//   - Once route: a route of a plain service whose calls are non-idempotent, so
//     that each runs at most once.
//
// Invariants: a Configuration never changes after New; printing equal
// Documents gives the same bytes; validation reports all faults at once.
package deployment

import (
	"encoding/json"
	"fmt"
	"time"

	ring "eelgrassring.dev"
)

// Duration is a duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a duration from text.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return fmt.Errorf("must be a duration such as %q", "1.5s")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("must be a duration such as %q", "1.5s")
	}
	*d = Duration(parsed)
	return nil
}

// Fencing says whether a backend server refuses orders with a stale epoch, the number
// of an earlier assignment.
type Fencing string

// The values of Fencing.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Priority sets the order in which a node's queue serves the waiting requests of one
// workspace.
type Priority string

// The priorities, from first to last served.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Document is the configuration as an operator writes it.
type Document struct {
	Name       string      `json:"name"`
	Objective  Objective   `json:"objective"`
	VMs        []VM        `json:"vms"`
	Models     []Model     `json:"models"`
	Groups     []Group     `json:"groups"`
	Workspaces []Workspace `json:"workspaces"`
	Services   []Service   `json:"services"`
}

// Objective holds the weights of group downtime and of stranded accelerators;
// only their ratio matters. An accelerator is stranded if its VM is usable but in
// no ready group while a group is down.
type Objective struct {
	Downtime float64 `json:"downtime"`
	Stranded float64 `json:"stranded"`
}

// VM declares a VM that runs a backend server. Address is the server's IP and port,
// and Fencing tells whether it refuses orders with a stale epoch.
type VM struct {
	Name         ring.VM     `json:"name"`
	Address      string      `json:"address"`
	Zone         ring.Zone   `json:"zone"`
	Domain       ring.Domain `json:"domain"`
	Accelerators int         `json:"accelerators"`
	Fencing      Fencing     `json:"fencing"`
}

// Model declares a base model, its versions and its adapters.
type Model struct {
	Name     ring.Model `json:"name"`
	Versions []string   `json:"versions"`
	Adapters []Adapter  `json:"adapters,omitempty"`
}

// Adapter declares one version of an adapter of a model.
type Adapter struct {
	Name    ring.Adapter `json:"name"`
	Version string       `json:"version"`
}

// Group declares one replica: what it serves and how many VMs it spans. If Domain is
// empty, the controller chooses the fabric domain. Groups with a larger Rank are
// assigned VMs first. Slots is how many requests the replica runs at a time.
type Group struct {
	Name     ring.Group     `json:"name"`
	Model    ring.Model     `json:"model"`
	Version  string         `json:"version"`
	Adapters []ring.Adapter `json:"adapters,omitempty"`
	Size     int            `json:"size"`
	Domain   ring.Domain    `json:"domain,omitempty"`
	Rank     int            `json:"rank,omitempty"`
	Slots    int            `json:"slots"`
}

// Workspace declares a customer. Weight is its share of the requests that a node
// starts from its queue; Limit bounds its running requests over all nodes.
type Workspace struct {
	Name         ring.Workspace `json:"name"`
	Weight       int            `json:"weight"`
	Limit        int            `json:"limit"`
	Applications []Application  `json:"applications"`
}

// Application declares a client program of a workspace. Key is the hexadecimal
// SHA-256 of its bearer key.
type Application struct {
	Name     ring.Application `json:"name"`
	Key      string           `json:"key"`
	Priority Priority         `json:"priority"`
	Models   []ring.Model     `json:"models,omitempty"`
	Services []ring.Service   `json:"services,omitempty"`
}

// Service declares a plain service, which runs no model, with the addresses of its
// servers. Timeout limits one call. Once lists non-idempotent routes as
// "METHOD /path"; a trailing "*" matches any suffix of the path.
type Service struct {
	Name    ring.Service `json:"name"`
	Servers []string     `json:"servers"`
	Once    []string     `json:"once,omitempty"`
	Timeout Duration     `json:"timeout"`
}
