package eelgrassring

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ErrRefused marks an order that does not fit the state of the backend server.
var ErrRefused = errors.New("order does not fit the server's state")

// MemberState is the state of a backend server as a member of a replica.
type MemberState string

// The states of a member. Only the head of a replica, the member with rank 0,
// can be open or closing. An open head accepts requests; a closing head only
// finishes those that it has.
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
// standby accepts no requests: its only member keeps the model loaded.
func StandbyGroup(name string) Group { return Group(standbyPrefix + name) }

// IsStandby reports whether the replica is a standby, which accepts no requests.
func (m Membership) IsStandby() bool { return strings.HasPrefix(string(m.Group), standbyPrefix) }

// Server is a discovered backend server, as the registry lists it or as the server
// reports its own state.
type Server struct {
	ID VM
	// Incarnation changes at each start of the server.
	Incarnation string
	Service     Service
	Address     string
	Zone        Zone
	Domain      Domain
	// Slots is how many requests the server runs at a time.
	Slots int
	// Leaving is set when the server is about to stop.
	Leaving bool
	// Model is loaded in the accelerators' memory; the Staged models are in the
	// host's memory.
	Model      Model
	Staged     []Model
	Membership Membership
	// Slowdown is the factor by which the server is slower than expected; 0 if
	// unknown.
	Slowdown float64
	// Running and Waiting count the requests at the server.
	Running int
	Waiting int
	// Orders is the number of orders that this incarnation has accepted. Registry
	// entries do not name it.
	Orders int64
	// ColdFor is how much longer the server is cold, as it said when its entry or report was
	// written, if SaysCold is set. ColdUnreadable is set if it said so in a way that cannot be read.
	ColdFor        time.Duration
	SaysCold       bool
	ColdUnreadable bool
}

// Bounds of what a registry entry or a report may say of a server. MaxServerText is in bytes,
// over all names together; an entry within it fits into one message between nodes.
const (
	MaxServerSlots    = 1 << 20
	MaxServerRequests = 1 << 30
	MaxServerRank     = 1 << 16
	MaxServerSlowdown = 1e6
	MaxServerText     = 1000
)

// Validate returns an error that names each field with a value that no server can have, or
// nil. An entry of the registry may come from another writer.
func (s Server) Validate() error {
	var errs []error
	check := func(ok bool, field string, value any) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s %v is out of range", field, value))
		}
	}
	text := len(s.ID) + len(s.Incarnation) + len(s.Service) + len(s.Address) + len(s.Zone) + len(s.Domain) + len(s.Model) + len(s.Membership.Group)
	for _, m := range s.Staged {
		text += len(m) + 1
	}
	check(text <= MaxServerText, "size of all names", text)
	check(isPrintable(string(s.ID)), "ID", strconv.Quote(string(s.ID[:min(len(s.ID), 40)])))
	check(0 <= s.Slots && s.Slots <= MaxServerSlots, "number of slots", s.Slots)
	check(0 <= s.Running && s.Running <= MaxServerRequests, "number of running requests", s.Running)
	check(0 <= s.Waiting && s.Waiting <= MaxServerRequests, "number of waiting requests", s.Waiting)
	check(0 <= s.Membership.Rank && s.Membership.Rank <= MaxServerRank, "rank", s.Membership.Rank)
	check(0 <= s.Slowdown && s.Slowdown <= MaxServerSlowdown, "slowdown", s.Slowdown)
	return errors.Join(errs...)
}

// isPrintable reports whether text consists of visible ASCII characters, so that it can be
// the value of a header.
func isPrintable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// HasStaged reports whether the model m is staged in the host's memory.
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

// The kinds of orders. OrderJoin makes a server join a replica and load the
// replica's model; OrderOpen lets a head accept requests; OrderClose makes a
// head accept no more requests and finish those that it has; OrderCut ends a
// head's requests at once; OrderLeave makes a server leave its replica at once;
// OrderStage loads a model into the host's memory.
const (
	OrderJoin  OrderKind = "join"
	OrderOpen  OrderKind = "open"
	OrderClose OrderKind = "close"
	OrderCut   OrderKind = "cut"
	OrderLeave OrderKind = "leave"
	OrderStage OrderKind = "stage"
)

// ReplicaOrder is an order to a backend server. Members is set for OrderJoin;
// the first member is the head. If HasExpected is set, the server refuses the order
// unless Expected is the number of orders that it has accepted (Server.Orders).
type ReplicaOrder struct {
	Kind        OrderKind
	Group       Group
	Epoch       Epoch
	Model       Model
	Members     []VM
	Expected    int64
	HasExpected bool
}

// ServerHealth is what a server's health check says. Leaving is set if the server is about to stop,
// which is so if it responds but is not healthy.
type ServerHealth struct {
	Leaving bool
	Cold    ColdAnswer
}

// ReplicaControl is the control interface of discovered backend servers.
type ReplicaControl interface {
	// Inspect fetches a server's report of itself. The report lacks the fields
	// that occur only in the registry; they stay empty. Leaving is set if the
	// response announces that the server is about to stop.
	Inspect(ctx context.Context, address string) (Server, error)
	// CheckHealth checks a server's health. It returns an error if the server does not respond.
	CheckHealth(ctx context.Context, address, healthPath string) (ServerHealth, error)
	// Order sends an order. It returns true if the order has begun something, which
	// adds one to the server's Orders, and false if the state that it asks for held
	// already. It returns an error that wraps ErrFenced or ErrRefused if the server
	// refused the order. After any other error it is unknown whether the server has
	// carried out the order, and it may still do so later. Order calls maySend just
	// before it sends the first byte and sends nothing if maySend returns false.
	Order(ctx context.Context, address string, order ReplicaOrder, maySend func() bool) (bool, error)
}
