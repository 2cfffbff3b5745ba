// Package agent runs the background loops of a node in front of discovered
// backend servers. It follows the routing configuration and the server registry
// in the store, exchanges state with its peers, and runs the composers, which
// form servers into replicas, while it is the controller.
//
// Terms:
//
//   - Active configuration: the newest routing configuration that the node has
//     read; requests are routed by it.
//   - Confirmation: the latest moment at which the active configuration was
//     certainly the newest one, as read from the store by this node or a peer.
//   - Digest: the state that a node sends to its peers at intervals. With many
//     nodes, reports and summaries along a tree replace it; see minTreeNodes.
//   - Root: the node at the top of the tree, which is the controller.
//
// Invariants:
//
//   - The number of the active configuration never decreases.
//   - Requests with API keys are served only while the confirmation is younger
//     than Config.Revocation less a margin.
package agent

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/composition"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/election"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/mirror"
	"eelgrassring.dev/internal/retry"
	"eelgrassring.dev/internal/route"
)

// Timing holds the intervals and timeouts of the loops and the TTLs of the
// leases.
type Timing struct {
	// ConfirmInterval is how often the configuration is read even if its watch
	// reports no change, because a watch may fail silently. An accepted
	// configuration must be active on all nodes within 2 s.
	ConfirmInterval time.Duration
	// ResyncInterval is how often the registry and the state prefix, which holds the
	// nodes' memberships and the controller's key, are listed.
	ResyncInterval time.Duration
	// BatchInterval is the minimum time between two reads from a watch.
	// ControllerBatchInterval is that of the controller, which acts on changes and so
	// needs them sooner.
	BatchInterval           time.Duration
	ControllerBatchInterval time.Duration
	// RetryInterval is the delay after a failed call to the store.
	RetryInterval time.Duration
	// GracePeriod and MinOutage are those of mirror.Config. Servers register entries
	// that expired during an outage of the store again within 2 s of its end.
	GracePeriod time.Duration
	MinOutage   time.Duration
	// DigestInterval is the minimum time between two digests.
	DigestInterval time.Duration
	// MembershipTTL is the TTL of a node's lease. ControllerTTL is that of the
	// controller's lease, which is renewed every ControllerRenewal; the controller
	// stops acting ControllerMargin before it expires.
	MembershipTTL     time.Duration
	ControllerTTL     time.Duration
	ControllerMargin  time.Duration
	ControllerRenewal time.Duration
	// TakeoverDelay is how long a new controller sends no orders, so that those of
	// its predecessor have completed or timed out.
	TakeoverDelay time.Duration
	// DecisionInterval is how often the controller passes the current state to
	// the composers.
	DecisionInterval time.Duration
	// OrderTimeout bounds one order to a server, InspectTimeout one inspection.
	OrderTimeout   time.Duration
	InspectTimeout time.Duration
	// RevocationMargin is subtracted from Config.Revocation.
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

// Transport sends and receives messages between nodes; see digest.Transport. It
// may lose messages.
type Transport interface {
	Send(address string, m digest.Message) (int, error)
	Serve(handle func(from string, m digest.Message))
	Close() error
}

// ConfigFetcher fetches a configuration with a number greater than after from a
// peer. It returns the configuration's number and text; the text is empty if the
// peer has no newer one.
type ConfigFetcher interface {
	FetchConfig(ctx context.Context, address string, after int64) (int64, []byte, error)
}

// Config configures an Agent. Revocation is the time within which every node
// must refuse a revoked API key. ConfigFetcher may be nil.
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
}

// Agent runs the loops of one node.
type Agent struct {
	config    Config
	fleet     *fleet.Fleet
	log       *event.Log
	transport Transport
	// activeConfig is the active configuration, or nil. isFetchingConfig is set
	// while a fetch of a newer one from a peer is scheduled or running.
	activeConfig     atomic.Pointer[configuration]
	isFetchingConfig atomic.Bool
	// activateMu serializes the activation of configurations.
	activateMu    sync.Mutex
	routingMirror *mirror.Mirror
	serversMirror *mirror.Mirror
	stateMirror   *mirror.Mirror
	// digestRequested wakes the digest loop before its interval has passed.
	digestRequested   chan struct{}
	noticeLimiter     *rate.Limiter
	extraChildLimiter *rate.Limiter
	urgentLimiter     *rate.Limiter
	stateListLimiter  *rate.Limiter
	configReadLimiter *rate.Limiter
	retryPool         *retry.Pool
	draining          atomic.Bool
	isController      atomic.Bool
	// hasFullRegistry is set once the registry has been listed in this node's term
	// as the controller.
	hasFullRegistry atomic.Bool
	startedAt       clock.Instant

	// mu guards the fields below.
	mu          sync.Mutex
	confirmedAt clock.Instant
	// serversListedAt is when the last complete listing of the registry began.
	serversListedAt clock.Instant
	peers           map[string]*peer
	// controller is the name of the last known controller.
	controller string
	// ownRetryUsage returns this node's retry usage. It is nil until ShareRetryUsage
	// is called.
	ownRetryUsage func(now time.Time) retry.Usage
	// abandoned holds the replicas that this node abandoned as the controller.
	abandoned []ring.Epoch
	tree      tree
	// isControllerKeyHeld is set while the controller's key exists in the store;
	// isStateListed is set once the state prefix has been listed.
	isControllerKeyHeld bool
	isStateListed       bool
	// probes holds the channels for replies to this node's probes, by ID.
	probes      map[uint64]chan digest.ProbeReply
	lastProbeID uint64
}

// peer is another node. Its address comes from its membership record or its
// last digest. heardAt is the time of its last digest or report.
type peer struct {
	address string
	heardAt time.Time
}

// New returns an agent; Run starts its loops.
func New(c Config) *Agent {
	return &Agent{
		config: c, fleet: c.Fleet, log: c.Log, transport: c.Transport, startedAt: clock.NewInstant(), digestRequested: make(chan struct{}, 1),
		extraChildLimiter: rate.NewLimiter(extraChildBytesPerSecond, extraChildBurst), urgentLimiter: rate.NewLimiter(urgentBytesPerSecond, urgentBurst), stateListLimiter: rate.NewLimiter(rate.Every(stateListInterval), 1), noticeLimiter: rate.NewLimiter(noticeBytesPerSecond, noticeBurst),
		configReadLimiter: rate.NewLimiter(rate.Every(configReadInterval), 1), retryPool: &retry.Pool{}, peers: map[string]*peer{}, probes: map[uint64]chan digest.ProbeReply{},
	}
}

// configuration is a parsed routing configuration and its text as stored.
type configuration struct {
	table *route.Table
	text  []byte
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

// Drain makes the node not ready, ends its term if it is the controller, and
// announces to the peers that it is stopping.
func (a *Agent) Drain() {
	a.draining.Store(true)
	a.SendDigestSoon()
}

// IsDraining reports whether Drain was called.
func (a *Agent) IsDraining() bool { return a.draining.Load() }

// IsController reports whether the node is the controller, as far as it knows.
func (a *Agent) IsController() bool { return a.isController.Load() }

// ConfirmedAge returns the age of the confirmation, or false if there was none.
func (a *Agent) ConfirmedAge() (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.confirmedAt.IsZero() {
		return 0, false
	}
	return a.confirmedAt.Age(), true
}

// MayAcceptAPIKeys reports whether the confirmation is recent enough to accept
// API keys: a key that is valid by the active configuration cannot have been
// revoked longer ago than Config.Revocation.
func (a *Agent) MayAcceptAPIKeys() bool {
	age, ok := a.ConfirmedAge()
	return ok && age < a.config.Revocation-a.config.Timing.RevocationMargin
}

// IsReady reports whether the node can serve new connections.
func (a *Agent) IsReady() bool {
	return a.Routing() != nil && a.MayAcceptAPIKeys() && !a.draining.Load()
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

// ShareRetryUsage makes the agent share the result of usage with all nodes, and
// returns the pool with the retry usage of all nodes. The pool is filled only while
// the nodes use the tree.
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
	defer a.mu.Unlock()
	return a.routingMirror != nil && a.routingMirror.IsStoreUp()
}

// PeerState is the state of another node as this one knows it. Age is the time
// since its last digest or report. In the tree a node receives reports only from
// its children; all peers count as live while the store holds their membership.
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
	t := a.config.Timing
	routing := a.newMirror(mirror.Config{
		Prefix: a.config.Directory.RoutingKey(), NextResync: a.nextConfirmDelay, OnChange: a.applyRoutingChange, OnSync: a.recordConfirmation, IsFresh: a.isConfirmationFresh,
		HasPeerFeed: a.rootSendsChanges,
	})
	a.mu.Lock()
	a.routingMirror = routing
	a.mu.Unlock()
	wait.Go(func() { a.transport.Serve(a.dispatchMessage) })
	context.AfterFunc(ctx, func() { _ = a.transport.Close() })
	a.serversMirror = a.newMirror(mirror.Config{
		Prefix: a.config.Directory.ServerPrefix(), ResyncInterval: t.ResyncInterval, GracePeriod: t.GracePeriod, OnChange: a.applyServerChange, HasPeerFeed: a.rootSendsChanges, OnSync: a.recordServersListed,
	})
	a.stateMirror = a.newMirror(mirror.Config{
		Prefix: catalog.StatePrefix, ResyncInterval: t.ResyncInterval, OnChange: a.applyStateChange, OnSync: func(clock.Instant) { a.recordStateListed() }, HasPeerFeed: a.canSkipStateWatch,
	})
	elector := election.New(election.Config{
		Store: a.config.Store, Key: catalog.ControllerKey, Name: a.config.Name + "/" + a.config.Incarnation,
		LeaseTTL: a.config.Timing.ControllerTTL, Margin: a.config.Timing.ControllerMargin, RenewInterval: a.config.Timing.ControllerRenewal,
		MayCampaign: a.mayCampaign, CampaignDelay: a.campaignDelay, Lead: a.runControllerTerm,
		OnError: func(operation string, err error) {
			a.log.Write(event.StoreCallFailed, slog.String("doing", operation), slog.Any("error", err))
		},
	})
	for _, loop := range []func(context.Context){
		a.routingMirror.Run, a.serversMirror.Run, a.stateMirror.Run, a.runMembershipLoop, a.runDigestLoop, elector.Run,
	} {
		wait.Go(func() { loop(ctx) })
	}
	wait.Wait()
}

// mayCampaign reports whether this node may try to become the controller. A root
// whose summaries still arrive is the controller, even if this node's view of the
// store is outdated.
func (a *Agent) mayCampaign() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	isRootLive := a.usesTreeLocked() && time.Since(a.tree.summaryAt) < rootTimeout
	return a.isStateListed && !a.isControllerKeyHeld && !isRootLive && !a.draining.Load() && a.activeConfig.Load() != nil
}
