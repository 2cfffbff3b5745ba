// Package agent runs the background loops of a node in front of discovered backend
// servers. It follows the routing configuration and the server registry in the store
// and exchanges state with its peers. While the node is the controller, it also runs
// the composers, which decide which servers form replicas.
//
// Terms:
//
//   - Active configuration: the newest routing configuration that the node has
//     read; requests are routed by it.
//   - Confirmation: the latest moment at which the active configuration is known to
//     have been the newest one, as read from the store by this node or a peer. It is one
//     value with the number of that configuration. What a peer knows counts from a stamp
//     of this node that the peer returned; see package echo.
//   - Digest: the state that a node sends to its peers at intervals. With many nodes,
//     the nodes form a tree instead: reports with aggregated state are sent up the
//     tree, and summaries down; see minTreeNodes.
//   - Controller: the node whose term holds the controller's key in the store;
//     see package election. It is the root of the tree.
//   - Replica: backend servers that hold one copy of a model. Its epoch, a number
//     that is never reused, identifies it; its head is the server that takes the
//     requests.
//   - Registry: the entries of the discovered backend servers in the store.
//   - Registry age: the time since a node was last known to know the whole registry,
//     because it read the store or its checksums were those of the root of the tree.
//   - State prefix: the prefix of the store's keys that hold the nodes' membership
//     records and the name of the controller.
//
// Invariants:
//
//   - The number of the active configuration never decreases.
//   - Requests with API keys are served only while the confirmation is younger
//     than Config.Revocation less a margin. A read confirms nothing until
//     Timing.RestoreGrace after a restore of the store: the store may lack a newer
//     configuration that it had acknowledged.
//   - A read of the routing configuration also reads the evacuated zones, where zones can be
//     evacuated. A node skips it only while it knows both as of a short while ago.
//   - A node below the root of the tree watches the registry in the store itself, unless
//     its registry age is less than followTimeout.
//   - After a restore, a new controller sends no orders while its predecessor, which
//     may not know of the restore, can still believe that it holds its lease.
package agent

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/coldstart"
	"eelgrassring.dev/internal/composition"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/echo"
	"eelgrassring.dev/internal/election"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/mirror"
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/retry"
	"eelgrassring.dev/internal/route"
	"eelgrassring.dev/internal/suspect"
)

// Timing holds the intervals and timeouts of a node's loops and the TTLs of its
// leases in the store.
type Timing struct {
	// ConfirmInterval is how often the configuration is read even if its watch
	// reports no change, because a watch may fail silently. An accepted
	// configuration must be active on all nodes within 2 s.
	ConfirmInterval time.Duration
	// ResyncInterval is how often the registry and the state prefix, which holds the
	// nodes' memberships and the controller's key, are listed.
	ResyncInterval time.Duration
	// BatchInterval is the minimum time between two reads from a watch of the store.
	// ControllerBatchInterval is that of the controller, which sends orders because
	// of changes and so needs them sooner.
	BatchInterval           time.Duration
	ControllerBatchInterval time.Duration
	// RetryInterval is the delay after a failed call to the store.
	RetryInterval time.Duration
	// GracePeriod is how long after an outage of the store a server may take to write
	// its expired registry entry again; MinOutage is the shortest time that counts as
	// an outage. Servers register again within 2 s of the end of an outage.
	GracePeriod time.Duration
	MinOutage   time.Duration
	// RestoreGrace is how long after a restore of the store from an older copy its
	// users may take to write again what was lost. In this time a missing or older
	// value says nothing.
	RestoreGrace time.Duration
	// DigestInterval is the minimum time between two digests to the same peer.
	DigestInterval time.Duration
	// MembershipTTL is the TTL of the lease on a node's membership record.
	// ControllerTTL is that of the controller's lease, which is renewed every
	// ControllerRenewal; the controller sends no orders in its last ControllerMargin.
	MembershipTTL     time.Duration
	ControllerTTL     time.Duration
	ControllerMargin  time.Duration
	ControllerRenewal time.Duration
	// TakeoverDelay is how long a new controller sends no orders, so that those of
	// its predecessor have completed or timed out.
	TakeoverDelay time.Duration
	// DecisionInterval is how often the controller passes the state of the servers to
	// the composers, which decide which servers form replicas.
	DecisionInterval time.Duration
	// OrderTimeout bounds one order to a backend server, InspectTimeout one request
	// for a server's state.
	OrderTimeout   time.Duration
	InspectTimeout time.Duration
	// RevocationMargin is subtracted from Config.Revocation: a node accepts no API keys
	// when the confirmation is older than the difference.
	RevocationMargin time.Duration
}

// DefaultTiming returns the intervals used in production.
func DefaultTiming() Timing {
	return Timing{
		ConfirmInterval:         800 * time.Millisecond,
		ResyncInterval:          4 * time.Second,
		BatchInterval:           300 * time.Millisecond,
		ControllerBatchInterval: 40 * time.Millisecond,
		RetryInterval:           200 * time.Millisecond,
		GracePeriod:             2200 * time.Millisecond,
		MinOutage:               800 * time.Millisecond,
		RestoreGrace:            2500 * time.Millisecond,
		DigestInterval:          200 * time.Millisecond,
		MembershipTTL:           8 * time.Second,
		ControllerTTL:           2 * time.Second,
		ControllerMargin:        300 * time.Millisecond,
		ControllerRenewal:       400 * time.Millisecond,
		TakeoverDelay:           600 * time.Millisecond,
		DecisionInterval:        50 * time.Millisecond,
		OrderTimeout:            400 * time.Millisecond,
		InspectTimeout:          250 * time.Millisecond,
		RevocationMargin:        700 * time.Millisecond,
	}
}

// Transport sends messages to peers and receives theirs; see digest.Transport. It
// may lose messages.
type Transport interface {
	// Send returns the size of the encoded message in bytes.
	Send(address string, m digest.Message) (int, error)
	// Serve calls handle for each received message until Close is called.
	Serve(handle func(from string, m digest.Message))
	Close() error
}

// ConfigFetcher fetches the routing configuration of the peer at an address if its
// number is greater than after. It returns the configuration's number and text; the
// text is empty if the peer's number is not greater.
type ConfigFetcher interface {
	FetchConfig(ctx context.Context, address string, after int64) (int64, []byte, error)
}

// Config configures an Agent. Incarnation identifies this start of the process, and
// PeerAddress is where the Transport receives. Directory parses what the Store
// holds, Fleet receives the backend servers' entries, and Control reaches the
// servers. Revocation is the time within which every node must refuse a revoked API
// key. Evacuation is the time within which no more requests reach the servers of a zone that
// is being evacuated; 0 means that no zone is. ConfigFetcher may be nil.
type Config struct {
	Name          string
	Incarnation   string
	Zone          ring.Zone
	PeerAddress   string
	Transport     Transport
	Store         ring.Store
	Directory     ring.Directory
	Control       ring.ReplicaControl
	ConfigFetcher ConfigFetcher
	Fleet         *fleet.Fleet
	Log           *event.Log
	Timing        Timing
	Composition   composition.Options
	Revocation    time.Duration
	Evacuation    time.Duration
	// IsFirstStart is set if the whole system starts for the first time, so that nothing was
	// written that a restore of the store could have lost.
	IsFirstStart bool
	// Suspects receives what peers announce of suspects; nil means a registry of its own.
	Suspects *suspect.Registry
}

// Agent runs the background loops of one node and holds its view of the
// configuration, the peers and the tree.
type Agent struct {
	config    Config
	fleet     *fleet.Fleet
	log       *event.Log
	transport Transport
	// activeConfig is the active configuration, or nil. isFetchingConfig is set
	// while a fetch of a newer configuration from a peer is scheduled or running.
	activeConfig     atomic.Pointer[configuration]
	isFetchingConfig atomic.Bool
	// These mirrors follow the routing configuration, the server registry and the
	// state prefix in the store.
	routingMirror *mirror.Mirror
	serversMirror *mirror.Mirror
	stateMirror   *mirror.Mirror
	// storeContact is what they share.
	storeContact mirror.Contact
	// digestRequested wakes the digest loop before its interval has passed.
	digestRequested chan struct{}
	// noticeLimiter, extraChildLimiter and urgentLimiter count bytes sent to peers;
	// stateListLimiter and configReadLimiter count calls to the store.
	noticeLimiter     *rate.Limiter
	extraChildLimiter *rate.Limiter
	urgentLimiter     *rate.Limiter
	stateListLimiter  *rate.Limiter
	configReadLimiter *rate.Limiter
	// strikes are about to be sent to the peers. refusalsAt is when refusals are next repeated.
	strikes    *strikeQueue
	refusalsAt time.Time
	// quota gets the permits for requests to limited servers.
	quota *quota.Client
	// cold knows the cold servers. coldErrors holds what was logged of them; coldMu guards it.
	// coldRepeatAt is when notices are next repeated, and coldRepeated counts those that were;
	// only the digest loop uses them.
	cold         *coldstart.Register
	coldMu       sync.Mutex
	coldErrors   map[string]bool
	coldRepeatAt time.Time
	coldRepeated int
	// retryPool holds the retry usage of all nodes together.
	retryPool    *retry.Pool
	draining     atomic.Bool
	isController atomic.Bool
	// acceptsKeys is the last result of MayAcceptAPIKeys, for the log.
	acceptsKeys atomic.Bool
	// hasFullRegistry is set as soon as the registry has been listed in this node's
	// term as the controller.
	hasFullRegistry atomic.Bool
	startedAt       clock.Instant
	// echoClock makes and reads this node's stamps.
	echoClock echo.Clock

	// confirmed is the confirmation, as defined in the package comment, or nil. Like the
	// active configuration, it is read by each request, without a lock.
	confirmed atomic.Pointer[confirmation]
	// evacuations holds which availability zones are evacuated.
	evacuations evacuations
	// stall says whether the agent's state moves.
	stall stallWatch
	// hasReadRouting is set after the first read of the routing configuration.
	hasReadRouting atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// echoes holds the stamps of the peers.
	echoes echo.Peers
	// storedConfig is the newest value of the routing configuration that this node has read
	// from the store and can use.
	storedConfig storedConfig
	// serversListedAt is when the last complete listing of the registry began.
	serversListedAt clock.Instant
	// registryReadAt is the latest moment up to which this node is known to have read
	// all changes of the registry from the store.
	registryReadAt clock.Instant
	// unsettledRead is the last read of the configuration if the era of the store was not
	// settled then, and recordedEra the era that the store names as settled.
	unsettledRead *routingRead
	recordedEra   ring.Era
	// invalidServers holds the servers whose registry entries are invalid.
	invalidServers map[ring.VM]bool
	// peers holds the other nodes by name.
	peers map[string]*peer
	// controller is the name of the last known controller.
	controller string
	// ownRetryUsage returns this node's counts of requests and retries. It is nil
	// until ShareRetryUsage is called.
	ownRetryUsage func(now time.Time) retry.Usage
	// abandoned holds the replicas that this node, as the controller, no longer uses
	// though their heads are still registered as open.
	abandoned []ring.Epoch
	tree      tree
	permits   permits
	// isControllerKeyHeld is set while the controller's key exists in the store;
	// isStateListed is set after the state prefix has been listed.
	isControllerKeyHeld bool
	isStateListed       bool
	// probes holds, by ID, the channels for replies to the requests in which this
	// node asks peers to probe a server.
	probes      map[uint64]chan digest.ProbeReply
	lastProbeID uint64
	// probeAnswers holds an element for each inspection at the request of a peer.
	probeAnswers chan struct{}
}

// peer is another node as this node knows it. Its address comes from its
// membership record or its last digest. heardAt is the time of its last digest or
// report.
type peer struct {
	address string
	heardAt time.Time
	// isDraining is set if the node said in its last digest that it is stopping.
	isDraining bool
}

// New returns an agent for one node. It does nothing until Run is called.
func New(c Config) *Agent {
	if c.Suspects == nil {
		c.Suspects = &suspect.Registry{}
	}
	a := &Agent{
		config: c, fleet: c.Fleet, log: c.Log, transport: c.Transport, startedAt: clock.NewInstant(), digestRequested: make(chan struct{}, 1),
		extraChildLimiter: rate.NewLimiter(extraChildBytesPerSecond, extraChildBurst), urgentLimiter: rate.NewLimiter(urgentBytesPerSecond, urgentBurst), stateListLimiter: rate.NewLimiter(rate.Every(stateListInterval), 1), noticeLimiter: rate.NewLimiter(noticeBytesPerSecond, noticeBurst),
		configReadLimiter: rate.NewLimiter(rate.Every(configReadInterval), 1), retryPool: &retry.Pool{}, strikes: newStrikeQueue(), invalidServers: map[ring.VM]bool{}, peers: map[string]*peer{}, probes: map[uint64]chan digest.ProbeReply{}, probeAnswers: make(chan struct{}, maxProbeAnswers),
		permits: newPermits(), echoClock: echo.NewClock(rand.Uint64()),
	}
	a.quota = quota.NewClient(a)
	a.cold, a.coldErrors = coldstart.NewRegister(), map[string]bool{}
	a.quota.SetCold(a.cold)
	a.fleet.SetCold(a.cold)
	return a
}

// configuration is a parsed routing configuration and its text as stored.
type configuration struct {
	table *route.Table
	text  []byte
}

// storedConfig identifies a value of the routing configuration in the store: the revision
// that wrote it and the configuration's number.
type storedConfig struct {
	revision ring.Revision
	number   int64
}

// isIn reports whether a listing of the store holds the value under the given key.
func (c storedConfig) isIn(listed []ring.Entry, key string) bool {
	return slices.ContainsFunc(listed, func(e ring.Entry) bool { return e.Key == key && e.Modified == c.revision })
}

// Routing returns the routes of the active configuration, or nil if there is
// none.
func (a *Agent) Routing() *route.Table {
	if c := a.activeConfig.Load(); c != nil {
		return c.table
	}
	return nil
}

// ActiveConfig returns the number of the active configuration and its text as
// stored; the number is 0 if there is none.
func (a *Agent) ActiveConfig() (number int64, text []byte) {
	if c := a.activeConfig.Load(); c != nil {
		return c.table.Number(), c.text
	}
	return 0, nil
}

// configNumber returns the number of the active configuration, or 0 if there is
// none.
func (a *Agent) configNumber() int64 {
	number, _ := a.ActiveConfig()
	return number
}

// Drain marks the node as draining, so that IsReady returns false, the digests tell the
// peers that it is stopping, and its term ends if it is the controller.
func (a *Agent) Drain() {
	a.draining.Store(true)
	a.SendDigestSoon()
}

// IsDraining reports whether Drain was called.
func (a *Agent) IsDraining() bool { return a.draining.Load() }

// IsController reports whether the node is the controller, which decides which servers
// form replicas.
func (a *Agent) IsController() bool { return a.isController.Load() }

// IsReady reports whether the node can serve new connections: it has a recently
// confirmed configuration, is not draining, and its state moves. It takes no lock.
func (a *Agent) IsReady() bool {
	table := a.Routing()
	return table != nil && a.MayAcceptAPIKeys(table.Number()) && !a.draining.Load() && !a.stall.isStalled.Load()
}

// NodeCount returns the number of live nodes, including this one.
func (a *Agent) NodeCount() int {
	if a.usesTree() {
		a.mu.Lock()
		defer a.mu.Unlock()
		return max(a.tree.nodeCount, len(a.peers)+1)
	}
	return len(a.livePeerAddresses()) + 1
}

// NodeIndex returns this node's place among all nodes that it knows, in the order of their
// names, from 0.
func (a *Agent) NodeIndex() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	index := 0
	for name := range a.peers {
		if name < a.config.Name {
			index++
		}
	}
	return index
}

// ShareRetryUsage registers usage, which returns this node's counts of requests and
// retries. The agent sends them in its reports up the tree of nodes. ShareRetryUsage
// returns the pool that receives the sums over all nodes; while there are too few nodes
// for a tree, the pool stays empty.
func (a *Agent) ShareRetryUsage(usage func(now time.Time) retry.Usage) *retry.Pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownRetryUsage = usage
	return a.retryPool
}

// IsStoreUp reports whether the store answered the node's last call for the
// configuration.
func (a *Agent) IsStoreUp() bool {
	a.mu.Lock()
	routing := a.routingMirror
	a.mu.Unlock()
	return routing != nil && routing.IsStoreUp()
}

// PeerState is the state of another node as this node knows it. Age is the time since
// its last digest or report, or 0 if there was none. A digest is a node's own state,
// sent to every peer; from minTreeNodes nodes on, reports replace digests. A report is
// the aggregated state of a node and its descendants in the tree of nodes, sent only to
// its parent. Most peers then send nothing to this node, so every peer counts as live
// while the store holds its membership record.
type PeerState struct {
	Name    string
	Address string
	IsLive  bool
	Age     time.Duration
}

// Peers returns the other nodes, sorted by name.
func (a *Agent) Peers(now time.Time) []PeerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]PeerState, 0, len(a.peers))
	for name, p := range a.peers {
		state := PeerState{Name: name, Address: p.address}
		if !p.heardAt.IsZero() {
			state.Age = now.Sub(p.heardAt)
		}
		state.IsLive = a.usesTreeLocked() || (!p.heardAt.IsZero() && state.Age <= peerTimeout)
		out = append(out, state)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Run runs all loops until the context is cancelled.
func (a *Agent) Run(ctx context.Context) {
	var wait sync.WaitGroup
	routing, servers, state := a.newMirrors()
	a.mu.Lock()
	a.routingMirror, a.serversMirror, a.stateMirror = routing, servers, state
	a.mu.Unlock()
	wait.Go(func() { a.transport.Serve(a.dispatchMessage) }) // Messages use the mirrors.
	context.AfterFunc(ctx, func() { _ = a.transport.Close() })
	elector := election.New(election.Config{
		Store: a.config.Store, Key: catalog.ControllerKey, Name: a.config.Name + "/" + a.config.Incarnation,
		LeaseTTL: a.config.Timing.ControllerTTL, Margin: a.config.Timing.ControllerMargin, RenewInterval: a.config.Timing.ControllerRenewal,
		MayCampaign: a.mayCampaign, CampaignDelay: a.campaignDelay, Lead: a.runControllerTerm,
		OnError: func(operation string, err error) {
			a.log.Write(event.StoreCallFailed, slog.String("doing", operation), slog.Any("error", err))
		},
	})
	for _, loop := range []func(context.Context){
		a.routingMirror.Run, a.serversMirror.Run, a.stateMirror.Run, a.runMembershipLoop, a.runDigestLoop, elector.Run, a.runStallWatch,
	} {
		wait.Go(func() { loop(ctx) })
	}
	wait.Wait()
}

// newMirrors returns the mirrors of the routing configuration, the server registry and
// the state prefix.
func (a *Agent) newMirrors() (routing, servers, state *mirror.Mirror) {
	t := a.config.Timing
	routing = a.newMirror(mirror.Config{
		Prefix: a.routingPrefix(), NextResync: a.nextConfirmDelay, OnChange: a.applyRoutingChange, OnSync: a.recordRoutingRead, IsFresh: a.isConfirmationFresh,
		HasPeerFeed: a.rootSendsChanges,
	})
	servers = a.newMirror(mirror.Config{
		Prefix: a.config.Directory.ServerPrefix(), ResyncInterval: t.ResyncInterval, GracePeriod: t.GracePeriod, RestoreGrace: t.RestoreGrace, OnChange: a.applyServerChange, HasPeerFeed: a.rootSendsRegistry, OnSync: a.recordServersListed,
	})
	state = a.newMirror(mirror.Config{
		Prefix: catalog.StatePrefix, ResyncInterval: t.ResyncInterval, RestoreGrace: t.RestoreGrace, ReportsAtOnce: catalog.ControllerKey, OnChange: a.applyStateChange, OnSync: func(clock.Instant, []ring.Entry, ring.Revision) { a.recordStateListed() }, HasPeerFeed: a.canSkipStateWatch,
	})
	return routing, servers, state
}

// mayCampaign reports whether this node may try to become the controller: it knows of
// no other controller and can serve as one. If summaries of the tree's root still
// arrive, the root is the controller, even if this node's view of the store is
// outdated. It is not for a node that watches the key because the root no longer
// confirms the registry.
func (a *Agent) mayCampaign() bool {
	watchesKey := !a.canSkipStateWatch()
	a.mu.Lock()
	defer a.mu.Unlock()
	isRootLive := a.usesTreeLocked() && time.Since(a.tree.summaryAt) < rootTimeout && !watchesKey
	return a.isStateListed && !a.isControllerKeyHeld && !isRootLive && !a.draining.Load() && a.activeConfig.Load() != nil
}
