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
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/reservation"
	"eelgrassring.dev/internal/suspect"
)

// Timing holds the intervals of a node's loops and the TTLs of its leases.
type Timing struct {
	// ProbeInterval is how often the status of every backend server is requested.
	ProbeInterval time.Duration
	// ProbeTimeout bounds one status request.
	ProbeTimeout time.Duration
	// HeartbeatInterval is how often this node sends its request counts and the
	// number of its configuration to every peer.
	HeartbeatInterval time.Duration
	// ResyncInterval is how often all keys of the state are listed from the store,
	// because the watch of the store may have stalled unnoticed.
	ResyncInterval time.Duration
	// VMListInterval is how often the platform's list of VMs is read.
	VMListInterval time.Duration
	// MembershipTTL is the TTL of the lease to which a node's key in the store is
	// bound.
	MembershipTTL time.Duration
	// ControllerTTL is the TTL of the lease that makes one node the controller.
	ControllerTTL time.Duration
	// DecisionInterval is how often the controller checks the members of all groups.
	DecisionInterval time.Duration
	// TakeoverDelay is how long a new controller waits before it changes any group.
	// After it, no order of the previous controller is still in flight.
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

// PeerClient calls other nodes.
type PeerClient interface {
	// Heartbeat sends self, this node's state, to a peer and returns the number of
	// the peer's active configuration.
	Heartbeat(ctx context.Context, address string, self Peer) (int64, error)
	// FetchSnapshot fetches the active configuration and the group records of a
	// peer. after is the number of this node's active configuration.
	FetchSnapshot(ctx context.Context, address string, after int64) (Snapshot, error)
	// ReserveSlot requests a slot of the group from its home node at the address.
	// holder is the name of the node that will send the request.
	ReserveSlot(ctx context.Context, address string, g ring.Group, holder string) (reservation.Result, error)
	// AskPermit requests a permit for a limited backend server from its home node at the
	// address.
	AskPermit(ctx context.Context, address string, r quota.Request) (quota.Reply, error)
	// UpdateSlots reports to a home node which of the holder's requests started,
	// returned a first token or ended.
	UpdateSlots(ctx context.Context, address, holder string, u SlotUpdates) error
}

// SlotUpdates lists the progress of one node's requests, for the home node that
// counts the used slots of their groups.
type SlotUpdates struct {
	// Taken names the group of each request sent without a reservation, FirstToken
	// that of each request that returned its first token, and Released that of each
	// request that ended. A group is repeated for each of its requests.
	Taken      []ring.Group
	FirstToken []ring.Group
	Released   []ring.Group
}

// Snapshot is the configuration and the group records that a node sends to a peer
// with an older configuration. Document is the configuration as JSON with comments.
type Snapshot struct {
	ConfigNumber int64
	Document     []byte
	Records      []placement.StoredRecord
}

// DemandSource is the part of the gateway that counts this node's requests.
type DemandSource interface {
	// Demand returns the numbers of running and queued requests by workspace.
	Demand() map[ring.Workspace]PeerDemand
}

// Config configures a Node. Incarnation identifies the start of this process;
// PeerAddress serves other nodes and CallerAddress serves callers.
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

// Node runs the background loops of one node: the store watch, probes of backend
// servers, heartbeats, membership and, while it is the controller, placement.
type Node struct {
	config Config
	table  *Table
	log    *event.Log
	// events are the inputs of the placement controller while this node runs it.
	events chan placement.Event
	meter  *Meter
	// reservations counts the requests at the groups whose home node is this node.
	// outbox holds this node's updates for the home nodes of other groups.
	reservations *reservation.Table
	outbox       *outbox
	// quota gets the permits for requests to limited backend servers.
	quota *quota.Client
	// suspects holds the requests under which servers have ended. news are those findings of
	// this node that heartbeats carry, and newsAdded asks for one at once.
	suspects  *suspect.Registry
	news      *suspectNews
	newsAdded chan struct{}

	mu           sync.Mutex
	draining     bool
	demand       DemandSource
	isController bool
	storeUp      bool
	// hasController is set while the store holds a controller's key, as far as this
	// node knows; stateListed is set once it has read the stored state.
	hasController bool
	stateListed   bool
	// quotaView is the last view of the members, and sentLimits counts the rate limits that
	// heartbeats carried, if one does not hold them all.
	quotaView  quota.View
	sentLimits int
}

// New returns a node that does nothing until Run is called.
func New(c Config) *Node {
	n := &Node{
		config:       c,
		table:        c.Table,
		log:          c.Log,
		events:       make(chan placement.Event, 4096),
		meter:        &Meter{},
		reservations: reservation.NewTable(),
		outbox:       newOutbox(),
		storeUp:      true,
		suspects:     &suspect.Registry{},
		news:         &suspectNews{},
		newsAdded:    make(chan struct{}, 1),
	}
	n.quota = quota.NewClient(n)
	return n
}

// SetDemand sets the source of the request counts that heartbeats send; it must be
// called before Run.
func (n *Node) SetDemand(d DemandSource) { n.demand = d }

// Table returns the node's view of the configuration, groups, VMs and peers.
func (n *Node) Table() *Table { return n.table }

// Meter returns the meter of group downtime and stranded accelerators, which
// advances only while this node is the controller.
func (n *Node) Meter() *Meter { return n.meter }

// Run runs all loops until the context is cancelled.
func (n *Node) Run(ctx context.Context) {
	var wait sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.runWatch, n.runResync, n.runProbes, n.runVMList, n.runMembership, n.runHeartbeats, n.runSuspectNews, n.runController, n.runPeriodicChecks, n.runSlotUpdates,
	} {
		wait.Go(func() { loop(ctx) })
	}
	wait.Wait()
}

// Drain marks the node as draining. The node then gives up the controller's lease,
// and its heartbeats tell the peers, which use other home nodes.
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

// runPeriodicChecks updates the slowness of all groups and logs the VMs that are
// newly known to be about to stop. It does both once per second.
func (n *Node) runPeriodicChecks(ctx context.Context) {
	logged := map[ring.VM]bool{}
	clock.Every(ctx, time.Second, func(context.Context) {
		n.table.UpdateSlowness()
		n.logLeavingVMs(logged)
	})
}

// runVMList reads the platform's list of VMs at intervals and passes it to the
// table and to the placement controller.
func (n *Node) runVMList(ctx context.Context) {
	wasComplete := true
	clock.Every(ctx, n.config.Timing.VMListInterval, func(ctx context.Context) {
		vms, err := n.config.VMList.VMs(ctx)
		if err != nil && wasComplete && ctx.Err() == nil {
			n.log.Write(event.VMListIncomplete, slog.Any("error", err))
		}
		wasComplete = err == nil
		if vms == nil {
			return // Keep the last list; backend servers also report that they are leaving.
		}
		n.table.UpdateVMList(vms)
		n.queueEvent(placement.VMsListed{VMs: vms})
	})
}

// logLeavingVMs logs each leaving VM that is not in logged, and adds it there.
func (n *Node) logLeavingVMs(logged map[ring.VM]bool) {
	for _, vm := range n.table.LeavingVMs() {
		if !logged[vm] {
			logged[vm] = true
			n.log.Write(event.VMLeaving, slog.String("vm", string(vm)))
		}
	}
}

// queueEvent queues an event for the controller's loop if this node is the
// controller, else it drops the event. It also drops the event if the queue is full,
// because reports and VM lists are repeated at intervals.
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

// CallerAddress returns the address at which the node serves callers.
func (n *Node) CallerAddress() string { return n.config.CallerAddress }
