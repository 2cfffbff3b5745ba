// Package composition decides which discovered backend servers form which
// replicas, when only the models' sizes and shares are declared. It is a pure
// core: Composer.Step takes one event and the time and returns actions; it
// starts no goroutine and reads no clock, socket or log.
//
// Terms:
//
//   - Replica: servers of one fabric domain that hold one copy of a model; its
//     head takes the requests.
//   - Spare: a server in no replica.
//   - Standby: a spare that holds a model in its accelerators by a replica of
//     its own that is never opened, so that it joins another in a moment.
//   - Absent: a server without an entry in the registry; it may be dead, or
//     only cut off from the store.
//   - Dead: a server that did not answer when it was asked, repeatedly.
//
// Invariants:
//
//   - Epochs grow over all replicas and all terms.
//   - A head is opened only after all members were seen ready under the
//     replica's epoch.
//   - A member is ordered elsewhere only after the head of its replica gave the
//     replica up, broke, restarted or died.
package composition

import (
	"time"

	ring "eelgrassring.dev"
)

// View is the world as the controller's node sees it.
type View struct {
	// Servers are the listed servers of the service, by identity.
	Servers []ring.Server
	Service ring.RoutedService
	// Stalled tells for how long the streams of a replica have stood still at
	// all nodes.
	Stalled map[ring.Epoch]time.Duration
	// Active are the replicas whose streams have had events lately at some node.
	Active map[ring.Epoch]bool
	// Slow are the replicas whose streams are much slower than those of others of
	// their model, by how many times.
	Slow map[ring.Epoch]float64
	// HasTraffic is set once there have been requests.
	HasTraffic bool
}

// Event is what the composer learns.
type Event interface{ event() }

// ViewUpdated brings the world; it also lets time pass.
type ViewUpdated struct{ View View }

// Inspected tells what a server answered when it was asked. Refused is set
// when the machine answered that no process listens.
type Inspected struct {
	ID       ring.VM
	Answered bool
	Refused  bool
	// Leaving is set when the server answered that it is about to end.
	Leaving bool
	Server  ring.Server
}

// OrderEnded tells how an order ended. Outcome says what the server answered.
type OrderEnded struct {
	ID      ring.VM
	Order   ring.ReplicaOrder
	Outcome Outcome
}

// Outcome is how an order ended.
type Outcome string

// The outcomes. After OutcomeUnknown the order may still be carried out.
const (
	OutcomeDone    Outcome = "done"
	OutcomeRefused Outcome = "refused"
	OutcomeFenced  Outcome = "fenced"
	OutcomeUnknown Outcome = "unknown"
)

func (ViewUpdated) event() {}
func (Inspected) event()   {}
func (OrderEnded) event()  {}

// Action is what the composer wants done.
type Action interface{ action() }

// SendOrder sends an order to a server.
type SendOrder struct {
	ID      ring.VM
	Address string
	Order   ring.ReplicaOrder
}

// Inspect asks a server for its report.
type Inspect struct {
	ID      ring.VM
	Address string
	// IsHead asks for the peers' help: a head that only this node cannot reach
	// still serves.
	IsHead bool
	// WithHealth asks also whether the server is leaving: some leave without
	// saying so in the registry.
	WithHealth bool
}

// Decision tells of a decision, for the log.
type Decision struct {
	Group ring.Group
	Epoch ring.Epoch
	Model ring.Model
	What  string
	VM    ring.VM
	// Took is how long the step that ended took.
	Took time.Duration
}

// DomainCount is what one domain has. Spares are those that hold a model, Loading
// those that do not yet.
type DomainCount struct {
	Domain  ring.Domain
	Open    map[ring.Model]int
	Forming map[ring.Model]int
	Spares  map[ring.Model]int
	Loading int
}

// Inventory tells what each domain has.
type Inventory struct{ Counts []DomainCount }

func (Inventory) action() {}
func (SendOrder) action() {}
func (Inspect) action()   {}
func (Decision) action()  {}
