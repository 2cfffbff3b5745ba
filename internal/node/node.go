package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/reservation"
)

// Timing holds the intervals of a node's loops and the spans of its leases.
type Timing struct {
	// ProbeInterval is how often every backend server is asked for its status.
	ProbeInterval time.Duration
	// ProbeTimeout bounds one such question.
	ProbeTimeout time.Duration
	// HeartbeatInterval is how often every peer is told what this node knows.
	HeartbeatInterval time.Duration
	// ResyncInterval is how often the whole state is listed, in case the watch is
	// silent.
	ResyncInterval time.Duration
	// VMListInterval is how often the platform's list of VMs is read.
	VMListInterval time.Duration
	// MembershipTTL is the span of a node's lease.
	MembershipTTL time.Duration
	// ControllerTTL is the span of the controller's lease.
	ControllerTTL time.Duration
	// DecisionInterval is how often the controller looks at all groups.
	DecisionInterval time.Duration
	// TakeoverDelay is how long a new controller waits before it acts, so that
	// orders of the one before it are over.
	TakeoverDelay time.Duration
}

// DefaultTiming returns the intervals used in production.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:     500 * time.Millisecond,
		ProbeTimeout:      250 * time.Millisecond,
		HeartbeatInterval: 400 * time.Millisecond,
		ResyncInterval:    2 * time.Second,
		VMListInterval:    time.Second,
		MembershipTTL:     10 * time.Second,
		ControllerTTL:     3 * time.Second,
		DecisionInterval:  100 * time.Millisecond,
		TakeoverDelay:     time.Second,
	}
}

// PeerClient speaks to other nodes.
type PeerClient interface {
	// Heartbeat tells a peer what this node knows and returns the number of
	// the configuration that the peer has in force.
	Heartbeat(ctx context.Context, address string, self Peer) (int64, error)
	// Configuration fetches the configuration and the records of a peer.
	Configuration(ctx context.Context, address string, after int64) (Snapshot, error)
	// ReserveSlot asks the home of a group for a place.
	ReserveSlot(ctx context.Context, address string, g ring.Group, holder string) (reservation.Result, error)
	// UpdateSlots tells a home what became of places.
	UpdateSlots(ctx context.Context, address, holder string, n SlotUpdates) error
}

// SlotUpdates are the news for one home, by group.
type SlotUpdates struct {
	// Taken lists requests that were sent without asking, Started first
	// tokens and Released ends.
	Taken    []ring.Group
	Started  []ring.Group
	Released []ring.Group
}

// Snapshot is what a node gives a peer that is behind.
type Snapshot struct {
	ConfigNumber int64
	Document     []byte
	Records      []placement.StoredRecord
}

// DemandSource tells the running and queued requests by workspace.
type DemandSource interface {
	Demand() map[ring.Workspace]PeerDemand
}

// Config configures a Node.
type Config struct {
	Name          string
	Incarnation   string
	Zone          ring.Zone
	PeerAddress   string
	CallerAddress string
	Store         ring.Store
	VMList        ring.VMList
	Backends      ring.BackendControl
	Peers         PeerClient
	Table         *Table
	Log           *event.Log
	Timing        Timing
	Placement     placement.Options
}

// Node runs the loops of one node.
type Node struct {
	config       Config
	table        *Table
	log          *event.Log
	events       chan placement.Event
	meter        *Meter
	reservations *reservation.Table
	outbox       *outbox

	mu           sync.Mutex
	draining     bool
	demand       DemandSource
	isController bool
	storeUp      bool
	// hasController tells whether the state last seen had a controller, and
	// listed whether the state was seen at all.
	hasController bool
	stateListed   bool
}

// New returns a node; Run starts its loops.
func New(c Config) *Node {
	return &Node{
		config:       c,
		table:        c.Table,
		log:          c.Log,
		events:       make(chan placement.Event, 4096),
		meter:        &Meter{},
		reservations: reservation.NewTable(),
		outbox:       newOutbox(),
		storeUp:      true,
	}
}

// SetDemand names the source of the node's demand; it is called once before
// Run.
func (n *Node) SetDemand(d DemandSource) { n.demand = d }

// Table returns what the node knows.
func (n *Node) Table() *Table { return n.table }

// Meter returns the measured capacity, which only a controller counts.
func (n *Node) Meter() *Meter { return n.meter }

// Run runs all loops until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wait sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.runWatch, n.runResync, n.runProbes, n.runVMList, n.runMembership, n.runHeartbeats, n.runController, n.runPeriodicChecks, n.runSlotUpdates,
	} {
		wait.Go(func() { loop(ctx) })
	}
	wait.Wait()
}

// Drain makes the node tell its peers that it is leaving.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// IsDraining reports whether Drain was called.
func (n *Node) IsDraining() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining
}

// IsController reports whether the node holds the controller's lease, as far
// as it knows.
func (n *Node) IsController() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isController
}

func (n *Node) runPeriodicChecks(ctx context.Context) {
	known := map[ring.VM]bool{}
	clock.Every(ctx, time.Second, func(context.Context) {
		n.table.UpdateSlowness()
		n.logLeavingVMs(known)
	})
}

func (n *Node) runVMList(ctx context.Context) {
	clock.Every(ctx, n.config.Timing.VMListInterval, func(ctx context.Context) {
		vms, err := n.config.VMList.VMs(ctx)
		if err != nil {
			return // The last list stays; backend servers tell themselves that they leave.
		}
		n.table.UpdateVMList(vms)
		n.queueEvent(placement.VMsListed{VMs: vms})
	})
}

// logLeavingVMs logs VMs that were not known to be leaving before.
func (n *Node) logLeavingVMs(known map[ring.VM]bool) {
	for _, vm := range n.table.Leaving() {
		if !known[vm] {
			known[vm] = true
			n.log.Write(event.VMLeaving, slog.String("vm", string(vm)))
		}
	}
}

// queueEvent hands an event to the controller's loop if it runs; a full queue drops
// it, for every event comes again.
func (n *Node) queueEvent(e placement.Event) {
	if !n.IsController() {
		return
	}
	select {
	case n.events <- e:
	default:
	}
}

// Zone returns the node's availability zone.
func (n *Node) Zone() ring.Zone { return n.config.Zone }

// CallerAddress returns the node's callers' address.
func (n *Node) CallerAddress() string { return n.config.CallerAddress }
