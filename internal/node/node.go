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
	// Probe is how often every backend server is asked for its status.
	Probe time.Duration
	// ProbeTimeout bounds one such question.
	ProbeTimeout time.Duration
	// Heartbeat is how often every peer is told what this node knows.
	Heartbeat time.Duration
	// Resync is how often the whole state is listed, in case the watch is
	// silent.
	Resync time.Duration
	// List is how often the platform's list of VMs is read.
	List time.Duration
	// Membership is the span of a node's lease.
	Membership time.Duration
	// Control is the span of the controller's lease.
	Control time.Duration
	// Decide is how often the controller looks at all groups.
	Decide time.Duration
	// Takeover is how long a new controller waits before it acts, so that
	// orders of the one before it are over.
	Takeover time.Duration
}

// DefaultTiming returns the intervals used in production.
func DefaultTiming() Timing {
	return Timing{
		Probe:        500 * time.Millisecond,
		ProbeTimeout: 250 * time.Millisecond,
		Heartbeat:    400 * time.Millisecond,
		Resync:       2 * time.Second,
		List:         time.Second,
		Membership:   10 * time.Second,
		Control:      3 * time.Second,
		Decide:       100 * time.Millisecond,
		Takeover:     time.Second,
	}
}

// PeerClient speaks to other nodes.
type PeerClient interface {
	// Heartbeat tells a peer what this node knows and returns the number of
	// the configuration that the peer has in force.
	Heartbeat(ctx context.Context, address string, self Peer) (int64, error)
	// Configuration fetches the configuration and the records of a peer.
	Configuration(ctx context.Context, address string, after int64) (Handover, error)
	// Reserve asks the home of a group for a place.
	Reserve(ctx context.Context, address string, g ring.Group, holder string) (reservation.Result, error)
	// Note tells a home what became of places.
	Note(ctx context.Context, address, holder string, n Notes) error
}

// Notes are the news for one home, by group.
type Notes struct {
	// Taken lists requests that were sent without asking, Started first
	// tokens and Released ends.
	Taken    []ring.Group
	Started  []ring.Group
	Released []ring.Group
}

// Handover is what a node gives a peer that is behind.
type Handover struct {
	Number   int64
	Document []byte
	Records  []placement.StoredRecord
}

// DemandSource tells the running and queued requests by workspace.
type DemandSource interface {
	Demand() map[ring.Workspace]PeerDemand
}

// Config configures a Node.
type Config struct {
	Name        string
	Incarnation string
	Zone        ring.Zone
	PeerAddress string
	Entry       string
	Store       ring.Store
	VMList      ring.VMList
	Backends    ring.BackendControl
	Peers       PeerClient
	Table       *Table
	Log         *event.Log
	Timing      Timing
	Placement   placement.Options
}

// Node runs the loops of one node.
type Node struct {
	config   Config
	table    *Table
	log      *event.Log
	events   chan placement.Event
	measures *Measures
	book     *reservation.Table
	outbox   *outbox

	mu       sync.Mutex
	draining bool
	demand   DemandSource
	control  bool
	storeUp  bool
	// controlTaken tells whether the state last seen had a controller, and
	// listed whether the state was seen at all.
	controlTaken bool
	listed       bool
}

// New returns a node; Run starts its loops.
func New(c Config) *Node {
	return &Node{
		config:   c,
		table:    c.Table,
		log:      c.Log,
		events:   make(chan placement.Event, 4096),
		measures: &Measures{},
		book:     reservation.NewTable(),
		outbox:   newOutbox(),
		storeUp:  true,
	}
}

// SetDemand names the source of the node's demand; it is called once before
// Run.
func (n *Node) SetDemand(d DemandSource) { n.demand = d }

// Table returns what the node knows.
func (n *Node) Table() *Table { return n.table }

// Measures returns the measured capacity, which only a controller counts.
func (n *Node) Measures() *Measures { return n.measures }

// Run runs all loops until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wait sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.runWatch, n.runResync, n.runProbes, n.runList, n.runMembership, n.runHeartbeats, n.runControl, n.runPace, n.runNotes,
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
	return n.control
}

func (n *Node) runPace(ctx context.Context) {
	known := map[ring.VM]bool{}
	clock.Every(ctx, time.Second, func(context.Context) {
		n.table.RefreshPace()
		n.noteLeaving(known)
	})
}

func (n *Node) runList(ctx context.Context) {
	clock.Every(ctx, n.config.Timing.List, func(ctx context.Context) {
		vms, err := n.config.VMList.VMs(ctx)
		if err != nil {
			return // The last list stays; backend servers tell themselves that they leave.
		}
		n.table.PutListed(vms)
		n.tell(placement.VMsListed{VMs: vms})
	})
}

// noteLeaving logs VMs that were not known to be leaving before.
func (n *Node) noteLeaving(known map[ring.VM]bool) {
	for _, vm := range n.table.Leaving() {
		if !known[vm] {
			known[vm] = true
			n.log.Write(event.VMLeaving, slog.String("vm", string(vm)))
		}
	}
}

// tell hands an event to the controller's loop if it runs; a full queue drops
// it, for every event comes again.
func (n *Node) tell(e placement.Event) {
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

// Entry returns the node's callers' address.
func (n *Node) Entry() string { return n.config.Entry }
