package eelgrassring

import (
	"context"
	"errors"
	"strings"
)

// ErrRefused marks an order that does not fit the state of the backend server.
var ErrRefused = errors.New("order does not fit the server's state")

// MemberState is the state of a backend server's place in a replica.
type MemberState string

// The states of a place. Only a replica's first member, its head, is ever
// open or closing.
const (
	MemberNone    MemberState = ""
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Membership is a backend server's place in a replica, by its own word. The zero
// value means that it has none.
type Membership struct {
	Group Group
	Epoch Epoch
	Rank  int
	State MemberState
}

// standbyPrefix begins the names of replicas that are never opened.
const standbyPrefix = "standby-"

// StandbyGroup names a replica that is never opened: its one member only holds the
// model.
func StandbyGroup(name string) Group { return Group(standbyPrefix + name) }

// IsStandby reports whether the place is in a replica that is never opened.
func (p Membership) IsStandby() bool { return strings.HasPrefix(string(p.Group), standbyPrefix) }

// Server is a discovered backend server, as the registry shows it or as it
// describes itself.
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
	// Model is what the server has in its accelerators, and Staged what lies on
	// its host.
	Model      Model
	Staged     []Model
	Membership Membership
	// Slowdown is the factor by which the server is slower than it should be; 0
	// when it is not known.
	Slowdown float64
	Running  int
	Waiting  int
}

// HasStaged reports whether the model lies on the server's host.
func (s Server) HasStaged(m Model) bool {
	for _, one := range s.Staged {
		if one == m {
			return true
		}
	}
	return false
}

// OrderKind says what a ReplicaOrder asks for.
type OrderKind string

// The kinds of orders. OrderClose lets a head finish its requests; OrderCut
// ends them at once; OrderLeave gives the place up at once.
const (
	OrderJoin  OrderKind = "join"
	OrderOpen  OrderKind = "open"
	OrderClose OrderKind = "close"
	OrderCut   OrderKind = "cut"
	OrderLeave OrderKind = "leave"
	OrderStage OrderKind = "stage"
)

// ReplicaOrder is one order to a backend server. Members are set for a join;
// the first is the head.
type ReplicaOrder struct {
	Kind    OrderKind
	Group   Group
	Epoch   Epoch
	Model   Model
	Members []VM
}

// ReplicaControl is the control side of discovered backend servers.
//
// Inspect returns what a server says of itself; fields that only the registry
// knows stay empty. Order returns an error that wraps ErrFenced or ErrRefused
// when the server refused; after any other error the order may have been
// carried out, or may be later. Just before the order's first byte leaves,
// Order asks mayAct and gives up when it reports false.
type ReplicaControl interface {
	Inspect(ctx context.Context, address string) (Server, error)
	// IsLeaving asks for a server's health: one that runs but is not healthy is
	// about to end.
	IsLeaving(ctx context.Context, address, healthPath string) (bool, error)
	Order(ctx context.Context, address string, order ReplicaOrder, mayAct func() bool) error
}
