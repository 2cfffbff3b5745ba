// Package composition decides which discovered backend servers form which
// replicas when only the models' sizes and shares are declared. It is a
// deterministic state machine: Composer.Step takes one event and the time and
// returns actions. It starts no goroutine, does no I/O and reads no clock.
//
// Terms:
//
//   - Replica: servers of one fabric domain that hold one copy of a model; its
//     head, the member with rank 0, takes the requests while it is open.
//   - Epoch: the number that identifies a replica and is never reused. A server
//     refuses orders with a smaller epoch than it has seen.
//   - Order: a request to a server to join, open, close or leave a replica, or to
//     load a model into its host's memory.
//   - Spare: a server in no replica.
//   - Standby: a spare that has loaded a model as the only member of a replica
//     that is never opened. It joins another replica of the model without loading it.
//   - Listed: a server with an entry in the registry.
//   - Absent: a server without an entry in the registry; it may be dead or only
//     disconnected from the store.
//   - Inspection: a request to a server for its current state.
//   - Stranded: a server that holds a model and is in no open replica, in a domain
//     without an open replica of some model.
//   - Dead: a server that refused a connection or did not answer repeated
//     inspections. It may still serve requests. A refused connection proves that the process
//     has ended or leaves; silence proves only that the server, or the way to it, stands still.
//   - Late order: an order that got no response and is executed seconds later, after
//     newer ones.
//   - Conditional order: an order that the server refuses if it has accepted another
//     order since it was seen.
//   - Seen state: the replica that a server was in when it had accepted a certain number of
//     orders. The number names the state, as only orders change it. A report shows a seen
//     state; the result of an order shows only that the order was carried out, not whether
//     before or after another one that was under way. A conditional order was carried out in
//     the state that it names.
//   - Broken: a head that reports the loss of a member; it no longer uses the
//     other members.
//
// Invariants:
//
//   - Epochs increase across all replicas and terms.
//   - A head is opened only after all members were seen ready under the
//     replica's epoch.
//   - A member is ordered into another replica only after the head of its
//     current one left it or broke, and no late order can open that head again;
//     or by a conditional order, after an inspection has shown the member outside
//     of each replica whose head may be open.
//   - The first order of a term to join is conditional, and only replicas with an
//     epoch of the term are opened.
//   - No time that passes frees a member.
//   - A server in an evacuated zone gets no order to join, open or load. A replica all of whose
//     members are there rests: it gets no order, and does not count as one that serves. One with
//     members elsewhere ends when its requests have.
//   - Once there are requests, a replica is formed only of servers that have its
//     model loaded or staged, and no more loads run at a time than at full speed.
package composition

import (
	"time"

	ring "eelgrassring.dev"
)

// View is the state of a service's servers and replicas as known to the controller,
// which is the node that runs the composer.
type View struct {
	// Servers are the listed servers of the service, sorted by ID. They must not change
	// after the view was passed to a composer.
	Servers []ring.Server
	Service ring.RoutedService
	// Stalled maps a replica to how long none of its streams has had an event at any
	// node.
	Stalled map[ring.Epoch]time.Duration
	// Active holds the replicas whose streams had recent events at some node.
	Active map[ring.Epoch]bool
	// Pinned holds the replicas at which some node may have requests that end with them: they
	// may not continue at another replica.
	Pinned map[ring.Epoch]bool
	// Slow holds the replicas whose streams are much slower than those of other
	// replicas of the same model, each with the factor by which they are slower.
	Slow map[ring.Epoch]float64
	// Limited holds the replicas that get fewer requests than others because of their heads'
	// limits, and LimitedServers the servers that take a limited number of requests.
	Limited        map[ring.Epoch]bool
	LimitedServers map[ring.VM]bool
	// Evacuated holds the availability zones whose servers are not to serve. It must not change
	// after the view was passed to a composer.
	Evacuated map[ring.Zone]bool
	// HasTraffic is set after the first request to any replica.
	HasTraffic bool
}

// Event is an input of Composer.Step: ViewUpdated, Inspected or OrderEnded. The event
// method only marks these types.
type Event interface{ event() }

// ViewUpdated carries the current view of the service. The composer checks its
// timeouts only at this event.
type ViewUpdated struct{ View View }

// Inspected carries the result of an Inspect action. Answered is set when the server
// responded with its state. Inconclusive is set when it did not, but the caller may have
// been too slow to read a response; this says nothing about the server. Refused is set when the VM refused the connection because
// no process listens.
type Inspected struct {
	ID           ring.VM
	Answered     bool
	Inconclusive bool
	Refused      bool
	// Leaving is set when the server answered that it is about to stop.
	Leaving bool
	Server  ring.Server
}

// OrderEnded carries the outcome of a SendOrder action.
type OrderEnded struct {
	ID      ring.VM
	Order   ring.ReplicaOrder
	Outcome Outcome
	// HasBegun is set with OutcomeDone if the order has begun something that takes time,
	// and the server counts it.
	HasBegun bool
	// Observation is that of the SendOrder.
	Observation int
}

// Outcome is the result of sending an order.
type Outcome string

// The outcomes of an order. The server executed it (done), rejected it because of its
// state (refused) or its smaller epoch (fenced), or sent no response (unknown); after
// OutcomeUnknown it may still execute the order.
const (
	OutcomeDone    Outcome = "done"
	OutcomeRefused Outcome = "refused"
	OutcomeFenced  Outcome = "fenced"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeNotSent: the caller did not send the order, because it was decided in a
	// state that has changed since.
	OutcomeNotSent Outcome = "not sent"
)

func (ViewUpdated) event() {}
func (Inspected) event()   {}
func (OrderEnded) event()  {}

// Action is an output of Composer.Step that the caller performs: SendOrder, Inspect,
// or a Decision or Inventory to log. The action method only marks these types.
type Action interface{ action() }

// SendOrder asks the caller to send an order to a server; OrderEnded is its result.
type SendOrder struct {
	ID      ring.VM
	Address string
	Order   ring.ReplicaOrder
	// Observation numbers the state of the server in which the order was given. The result
	// repeats it.
	Observation int
}

// Inspect asks the caller to request a server's current state; Inspected is its
// result.
type Inspect struct {
	ID      ring.VM
	Address string
	// IsHead makes other nodes request the state too, because a head that only this
	// node cannot reach still serves.
	IsHead bool
	// WithHealth also reads the health endpoint: some servers leave without
	// marking their registry entry.
	WithHealth bool
}

// Decision describes a decision about a replica or server, for the log. What names
// the decision or its reason, such as "forming" or "member lost".
type Decision struct {
	Group ring.Group
	Epoch ring.Epoch
	Model ring.Model
	What  string
	// VM is the server that caused the decision, if any.
	VM ring.VM
	// Took is the time since the replica was formed or adopted or its release
	// began. For a replica that is about to form it is the expected join time, and for a
	// server that is considered dead how long it has been silent.
	Took time.Duration
	// Missing is how long the domain has had no replica of the model when one is formed
	// there.
	Missing time.Duration
}

// DomainCount counts the replicas and spares of one fabric domain by model. Forming
// counts all replicas that are not in phaseOpen, including those being released.
// Spares counts the spares that have loaded a model, Loading the spares that have not
// yet. Stranded counts the servers that hold a model and are in no open replica although
// the domain lacks an open replica of some model.
type DomainCount struct {
	Domain   ring.Domain
	Open     map[ring.Model]int
	Forming  map[ring.Model]int
	Spares   map[ring.Model]int
	Loading  int
	Stranded int
	// Waiting counts the stranded servers by the reason why they serve nobody.
	Waiting map[WaitReason]int
}

// WaitReason says why a server that holds a model is in no open replica.
type WaitReason string

// The reasons.
const (
	// WaitForming: its replica is joining or opening.
	WaitForming WaitReason = "forming"
	// WaitReleasing: its replica is being released.
	WaitReleasing WaitReason = "releasing"
	// WaitLeaving: it has not confirmed that it is outside of a replica whose head may be
	// open.
	WaitLeaving WaitReason = "leaving"
	// WaitUnlisted: a head that is not listed may still use it.
	WaitUnlisted WaitReason = "unlisted head"
	// WaitDomain: other servers of its domain are about to be free.
	WaitDomain WaitReason = "domain in transition"
	// WaitServers: too few free servers of its domain hold the same model, or they are
	// kept for another one.
	WaitServers WaitReason = "too few servers"
)

// Inventory reports how many replicas and spares each domain has, for the log.
type Inventory struct{ Counts []DomainCount }

func (Inventory) action() {}
func (SendOrder) action() {}
func (Inspect) action()   {}
func (Decision) action()  {}
