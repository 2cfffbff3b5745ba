// Package composition decides which discovered backend servers form which
// replicas when only the models' sizes and shares are declared. It is a
// deterministic state machine: Composer.Step takes one event and the time and
// returns actions. It starts no goroutine, does no I/O and reads no clock.
//
// Terms:
//
//   - Replica: servers of one fabric domain that hold one copy of a model; its
//     head takes the requests.
//   - Spare: a server in no replica.
//   - Standby: a spare that has loaded a model as the only member of a replica
//     that is never opened. It joins another replica of the model without loading it.
//   - Listed: a server with an entry in the registry.
//   - Absent: a server without an entry in the registry; it may be dead or only
//     disconnected from the store.
//   - Dead: a server that refused a connection or did not answer repeated
//     inspections.
//
// Invariants:
//
//   - Epochs increase across all replicas and terms.
//   - A head is opened only after all members were seen ready under the
//     replica's epoch.
//   - A member is ordered into another replica only after the head of its
//     current one left it, broke, restarted or died.
package composition

import (
	"time"

	ring "eelgrassring.dev"
)

// View is the state of a service as the controller's node sees it.
type View struct {
	// Servers are the listed servers of the service, sorted by ID.
	Servers []ring.Server
	Service ring.RoutedService
	// Stalled maps a replica to how long its streams have had no event at any
	// node.
	Stalled map[ring.Epoch]time.Duration
	// Active holds the replicas whose streams had recent events at some node.
	Active map[ring.Epoch]bool
	// Slow maps a replica whose streams are much slower than those of other
	// replicas of its model to the factor.
	Slow map[ring.Epoch]float64
	// HasTraffic is set after the first requests.
	HasTraffic bool
}

// Event is an input of the composer.
type Event interface{ event() }

// ViewUpdated carries the current view. Timeouts are checked when it arrives.
type ViewUpdated struct{ View View }

// Inspected carries a server's response to an inspection. Refused is set when the
// VM refused the connection, because no process listens.
type Inspected struct {
	ID       ring.VM
	Answered bool
	Refused  bool
	// Leaving is set when the server answered that it is about to stop.
	Leaving bool
	Server  ring.Server
}

// OrderEnded carries the outcome of an order.
type OrderEnded struct {
	ID      ring.VM
	Order   ring.ReplicaOrder
	Outcome Outcome
}

// Outcome is how an order ended.
type Outcome string

// The outcomes. After OutcomeUnknown the server may still execute the order.
const (
	OutcomeDone    Outcome = "done"
	OutcomeRefused Outcome = "refused"
	OutcomeFenced  Outcome = "fenced"
	OutcomeUnknown Outcome = "unknown"
)

func (ViewUpdated) event() {}
func (Inspected) event()   {}
func (OrderEnded) event()  {}

// Action is an output of the composer for its caller to perform.
type Action interface{ action() }

// SendOrder sends an order to a server.
type SendOrder struct {
	ID      ring.VM
	Address string
	Order   ring.ReplicaOrder
}

// Inspect asks a server for its current state.
type Inspect struct {
	ID      ring.VM
	Address string
	// IsHead makes the peers probe the server too: a head that only this node
	// cannot reach still serves.
	IsHead bool
	// WithHealth also reads the health endpoint: some servers leave without
	// marking their registry entry.
	WithHealth bool
}

// Decision describes a decision for the log. What is the decision or its reason,
// such as "forming" or "member lost".
type Decision struct {
	Group ring.Group
	Epoch ring.Epoch
	Model ring.Model
	What  string
	// VM is the server that caused the decision, if any.
	VM ring.VM
	// Took is the time since the replica was formed or adopted or its release
	// began. For a replica that is about to form it is the expected join time.
	Took time.Duration
}

// DomainCount counts the replicas and spares of one domain. Forming counts all
// replicas that are not in phaseOpen, also those being released. Spares counts the
// spares that have loaded a model, Loading those that have not yet.
type DomainCount struct {
	Domain  ring.Domain
	Open    map[ring.Model]int
	Forming map[ring.Model]int
	Spares  map[ring.Model]int
	Loading int
}

// Inventory reports the replicas and spares of all domains.
type Inventory struct{ Counts []DomainCount }

func (Inventory) action() {}
func (SendOrder) action() {}
func (Inspect) action()   {}
func (Decision) action()  {}
