package eelgrassring

import (
	"context"
	"errors"
)

// ErrFenced marks an order that a backend server refused because it has seen an
// order with a larger epoch (the number of an assignment of VMs to a group).
var ErrFenced = errors.New("order has a stale epoch")

// BackendPhase is how far a backend server has loaded its part of a replica.
type BackendPhase string

// The phases of a backend server.
const (
	BackendEmpty   BackendPhase = "empty"
	BackendLoading BackendPhase = "loading"
	BackendReady   BackendPhase = "ready"
)

// Spec is what the servers of a group load: a model in one version with its
// adapters.
type Spec struct {
	Model    Model     `json:"model"`
	Version  string    `json:"version"`
	Adapters []Adapter `json:"adapters,omitempty"`
}

// Equal reports whether two specs load the same weights.
func (s Spec) Equal(o Spec) bool {
	if s.Model != o.Model || s.Version != o.Version || len(s.Adapters) != len(o.Adapters) {
		return false
	}
	for i, a := range s.Adapters {
		if a != o.Adapters[i] {
			return false
		}
	}
	return true
}

// Status is a backend server's report of its own state. Incarnation changes at
// each start of the server. Group and Epoch are those of the last order that it
// accepted. Running and Waiting count the requests at the group's head; they may be
// out of date. Leaving is set when the server is about to stop.
type Status struct {
	VM          VM           `json:"vm"`
	Incarnation string       `json:"incarnation"`
	Group       Group        `json:"group,omitempty"`
	Epoch       Epoch        `json:"epoch,omitempty"`
	Phase       BackendPhase `json:"phase"`
	Spec        Spec         `json:"spec"`
	Running     int          `json:"running"`
	Waiting     int          `json:"waiting"`
	Leaving     bool         `json:"leaving,omitempty"`
}

// Order tells a backend server to load its part of a replica and to unload the
// weights that it held before. Rank is the server's place in the replica,
// Members are the addresses of all members by rank, and Slots is how many
// requests the replica runs at a time.
type Order struct {
	Epoch   Epoch    `json:"epoch"`
	Group   Group    `json:"group,omitempty"`
	Rank    int      `json:"rank"`
	Members []string `json:"members,omitempty"`
	Spec    Spec     `json:"spec"`
	Slots   int      `json:"slots,omitempty"`
}

// BackendControl is the control interface of the backend servers. Address is
// the server's IP and port.
type BackendControl interface {
	// Status fetches the server's report of its own state.
	Status(ctx context.Context, address string) (Status, error)
	// Send sends an order to the server. It returns an error that wraps ErrFenced
	// when the server refused the order because of its epoch.
	Send(ctx context.Context, address string, order Order) error
}

// VMState tells whether the platform is about to stop a VM.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// ListedVM is one row of the platform's list.
type ListedVM struct {
	VM    VM      `json:"vm"`
	State VMState `json:"state"`
}

// VMList is the platform's list of live and leaving VMs. It may be out of date.
type VMList interface {
	// VMs fetches the list. Together with an error it returns the entries that could be
	// read, or nil; a VM that is missing is not considered failed.
	VMs(ctx context.Context) ([]ListedVM, error)
}
