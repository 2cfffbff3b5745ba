package eelgrassring

import (
	"context"
	"errors"
	"strings"
)

// ErrRefused marks an order that does not fit the state of the backend server.
var ErrRefused = errors.New("order does not fit the server's state")

// MemberState is the state of a backend server as a member of a replica.
type MemberState string

// The states of a member. Only a replica's head is ever open or closing.
const (
	MemberNone    MemberState = ""
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Membership is a backend server's place in a replica, as the server itself
// reports it. The zero value means that it is in no replica.
type Membership struct {
	Group Group
	Epoch Epoch
	Rank  int
	State MemberState
}

// standbyPrefix is the prefix of the names of standby replicas.
const standbyPrefix = "standby-"

// StandbyGroup returns the group of the standby replica with the given name. A
// standby is never opened: its only member just keeps the model loaded.
func StandbyGroup(name string) Group { return Group(standbyPrefix + name) }

// IsStandby reports whether the replica is a standby, which is never opened.
func (m Membership) IsStandby() bool { return strings.HasPrefix(string(m.Group), standbyPrefix) }

// Server is a discovered backend server, as listed in the registry or as it
// reports itself.
type Server struct {
	ID VM
	// Incarnation changes at each start of the server.
	Incarnation string
	Service     Service
	Address     string
	Zone        Zone
	Domain      Domain
	// Slots is how many requests the server runs at a time.
	Slots   int
	Leaving bool
	// Model is loaded in the accelerators' memory; the Staged models are in the
	// host's memory.
	Model      Model
	Staged     []Model
	Membership Membership
	// Slowdown is the factor by which the server is slower than expected; 0 if
	// unknown.
	Slowdown float64
	Running  int
	Waiting  int
}

// HasStaged reports whether the model is in the memory of the server's host.
func (s Server) HasStaged(m Model) bool {
	for _, staged := range s.Staged {
		if staged == m {
			return true
		}
	}
	return false
}

// OrderKind is the operation that a ReplicaOrder requests.
type OrderKind string

// The kinds of orders. OrderClose lets a head finish its requests; OrderCut
// ends them at once; OrderLeave makes a server leave its replica at once.
const (
	OrderJoin  OrderKind = "join"
	OrderOpen  OrderKind = "open"
	OrderClose OrderKind = "close"
	OrderCut   OrderKind = "cut"
	OrderLeave OrderKind = "leave"
	OrderStage OrderKind = "stage"
)

// ReplicaOrder is an order to a backend server. Members is set for OrderJoin;
// the first member is the head.
type ReplicaOrder struct {
	Kind    OrderKind
	Group   Group
	Epoch   Epoch
	Model   Model
	Members []VM
}

// ReplicaControl is the control interface of discovered backend servers.
//
// Inspect returns a server's report of itself; fields that only the registry
// has stay empty. Order returns an error that wraps ErrFenced or ErrRefused if
// the server refused the order; after any other error the server may have
// carried it out, or may still do so. Order calls maySend just before it sends
// the first byte and sends nothing if it returns false.
type ReplicaControl interface {
	Inspect(ctx context.Context, address string) (Server, error)
	// IsLeaving checks a server's health: one that runs but is not healthy is
	// about to stop.
	IsLeaving(ctx context.Context, address, healthPath string) (bool, error)
	Order(ctx context.Context, address string, order ReplicaOrder, maySend func() bool) error
}
