package fake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/claim"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/gateway"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/reservation"
	standin "eelgrassring.dev/internal/standin/engine"
	"eelgrassring.dev/internal/standin/platform"
	"eelgrassring.dev/internal/standin/service"
)

// Options describes a system of real nodes over fakes.
type Options struct {
	Document    deployment.Document
	Nodes       int
	LoadTime    time.Duration
	FirstToken  time.Duration
	TokenGap    time.Duration
	EvidenceAge time.Duration
	Log         io.Writer
	// Transport wraps the way of nodes to backend servers, for tests that
	// switch a mechanism off.
	Transport func(http.RoundTripper) http.RoundTripper
}

// System is a set of nodes with the platform and the backend servers around
// them, all in one process and in virtual time.
type System struct {
	options  Options
	Keys     *platform.Keyspace
	Net      *Network
	Lists    *platform.Lists
	History  *History
	Services map[string]*service.Server

	mu       sync.Mutex
	nodes    map[string]*Member
	engines  map[ring.VM]*standin.Server
	starts   int
	blind    bool
	stops    []context.CancelFunc
	finished sync.WaitGroup
}

// Member is one node of the system.
type Member struct {
	Name    string
	Node    *node.Node
	Gateway *gateway.Server
	Store   *Store
	cancel  context.CancelFunc
	done    chan struct{}
	calls   sync.WaitGroup
	// life ends when the node is killed; callers' connections end with it.
	life context.Context
}

// NewSystem starts everything and applies the document.
func NewSystem(o Options) *System {
	if o.EvidenceAge == 0 {
		o.EvidenceAge = node.EvidenceAge
	}
	s := &System{
		options: o, Keys: platform.NewKeyspace(), Net: NewNetwork(), Lists: platform.NewLists(1000),
		History: &History{}, Services: map[string]*service.Server{},
		nodes: map[string]*Member{}, engines: map[ring.VM]*standin.Server{},
	}
	s.Net.OnSent(s.noteSent)
	ctx, cancel := context.WithCancel(context.Background())
	s.stops = append(s.stops, cancel)
	s.finished.Go(func() { platform.ExpireUntil(ctx, s.Keys) })
	for _, vm := range o.Document.VMs {
		s.StartEngine(vm.Name)
	}
	for _, one := range o.Document.Services {
		for _, address := range one.Servers {
			server := service.New()
			s.Services[address] = server
			s.Net.Start(address, server.Handler())
		}
	}
	for i := range o.Nodes {
		s.StartNode(fmt.Sprintf("n%d", i+1))
	}
	s.Apply(0, o.Document)
	return s
}

// Stop ends everything.
func (s *System) Stop() {
	for _, name := range s.NodeNames() {
		s.KillNode(name)
	}
	for _, stop := range s.stops {
		stop()
	}
	for _, vm := range s.options.Document.VMs {
		s.Net.Crash(vm.Address)
	}
	s.finished.Wait()
	time.Sleep(lastWork)
}

// lastWork is longer than any work that goes on after a node has ended, such
// as the recording of outcomes. In virtual time it costs nothing.
const lastWork = 10 * time.Minute

func (s *System) noteSent(p Passage) {
	header := p.Request.Header
	epoch, err := strconv.ParseUint(header.Get(engine.HeaderEpoch), 10, 64)
	if err != nil {
		return
	}
	s.History.add(Sent{
		At: p.Dispatched, Arrived: time.Now(), From: p.From, To: p.To,
		Epoch: ring.Epoch(epoch), Request: header.Get(engine.HeaderRequest),
	})
}

// Apply puts a document in force on the given base.
func (s *System) Apply(base int64, d deployment.Document) catalog.Result {
	result, err := s.TryApply(NewStore(s.Keys), base, d, fmt.Sprintf("nonce-%d-%s", base, d.Name))
	if err != nil {
		panic(err)
	}
	return result
}

// TryApply applies a document through a store of its own.
func (s *System) TryApply(store *Store, base int64, d deployment.Document, nonce string) (catalog.Result, error) {
	text := printed(d)
	result, err := catalog.Apply(context.Background(), store, catalog.Request{Document: text, Base: base, Nonce: nonce, Operator: nonce, At: time.Now()})
	if result.Outcome == catalog.OutcomeAccepted {
		s.History.add(Accepted{At: time.Now(), Number: result.Number})
	}
	return result, err
}

// vm returns the declaration of a VM.
func (s *System) vm(name ring.VM) deployment.VM {
	for _, vm := range s.options.Document.VMs {
		if vm.Name == name {
			return vm
		}
	}
	panic("no VM " + string(name))
}

// StartEngine starts the backend server of a VM, with a new incarnation.
func (s *System) StartEngine(name ring.VM) {
	vm := s.vm(name)
	s.mu.Lock()
	s.starts++
	incarnation := fmt.Sprintf("i%d", s.starts)
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e := standin.New(standin.Config{
		VM: name, Incarnation: incarnation, CheckFencing: vm.Fencing == deployment.FencingChecked,
		LoadTime: s.options.LoadTime, FirstToken: s.options.FirstToken, TokenGap: s.options.TokenGap,
		Transport: s.Net.From(vm.Address, true),
	})
	s.mu.Lock()
	s.engines[name] = e
	s.stops = append(s.stops, cancel)
	s.mu.Unlock()
	s.finished.Go(func() { e.Watch(ctx) })
	s.Net.Start(vm.Address, e.Handler())
	s.Lists.Set(name, ring.VMLive)
	s.History.add(Presence{At: time.Now(), VM: name, Present: true})
}

// CrashEngine kills a VM.
func (s *System) CrashEngine(name ring.VM) {
	s.Net.Crash(s.vm(name).Address)
	s.History.add(Presence{At: time.Now(), VM: name})
}

// PauseEngine stops a VM without ending it; ResumeEngine lets it go on with
// all its old beliefs.
func (s *System) PauseEngine(name ring.VM) {
	s.Net.Pause(s.vm(name).Address)
	s.History.add(Presence{At: time.Now(), VM: name})
}

// ResumeEngine lets a paused VM go on.
func (s *System) ResumeEngine(name ring.VM) {
	s.Net.Resume(s.vm(name).Address)
	s.History.add(Presence{At: time.Now(), VM: name, Present: true})
}

// Engine returns the backend server of a VM.
func (s *System) Engine(name ring.VM) *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[name]
}

// Leave marks a VM as leaving: by the platform's list, by its own report, or
// by both.
func (s *System) Leave(name ring.VM, byList, byReport bool) {
	if byList {
		s.Lists.Set(name, ring.VMLeaving)
	}
	if byReport {
		s.Engine(name).Leave()
	}
	s.History.add(Leaving{At: time.Now(), VM: name})
}

// VMs implements ring.VMList for the nodes.
func (s *System) VMs(context.Context) ([]ring.ListedVM, error) { return s.Lists.All(), nil }

// StartNode starts a node.
func (s *System) StartNode(name string) *Member {
	s.mu.Lock()
	s.starts++
	incarnation := fmt.Sprintf("i%d", s.starts)
	s.mu.Unlock()
	store := NewStore(s.Keys)
	if s.blind {
		store.IgnoreGuards()
	}
	log := event.NewLog(slog.New(slog.DiscardHandler))
	if s.options.Log != nil {
		log = event.NewLog(slog.New(slog.NewTextHandler(s.options.Log, nil)).With("node", name))
	}
	kept, fresh := s.Net.From(name, true), s.Net.From(name, false)
	timing := node.DefaultTiming()
	n := node.New(node.Config{
		Name: name, Incarnation: incarnation, Zone: "a", PeerAddress: name, Entry: name,
		Store: store, VMList: s, Peers: &peerClient{system: s, from: name},
		Backends: engine.NewControl(engine.ControlConfig{Timeout: timing.ProbeTimeout, Kept: kept, Fresh: fresh}),
		Table:    node.NewTable(node.TableConfig{EvidenceAge: s.options.EvidenceAge}),
		Log:      log, Timing: timing, Placement: placement.DefaultOptions(),
	})
	if s.options.Transport != nil {
		kept, fresh = s.options.Transport(kept), s.options.Transport(fresh)
	}
	ledger := claim.NewLedger(claim.Config{Store: store, Node: name + "/" + incarnation, Batch: claim.DefaultBatchConfig()})
	m := &Member{Name: name, Node: n, Store: store, done: make(chan struct{})}
	m.Gateway = gateway.New(gateway.Config{
		Node: n, Ledger: ledger, Log: log, Metrics: metric.New(), Body: 1 << 20, Queue: 1000,
		First: 10 * time.Second, Gap: 3 * time.Second, Patience: 10 * time.Second, Kept: kept, Fresh: fresh,
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.life = cancel, ctx
	go ledger.Run(ctx)
	go m.Gateway.Scheduler().Run(ctx)
	go func() {
		n.Run(ctx)
		close(m.done)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[name] = m
	return m
}

// IgnoreGuards makes the stores of all nodes that start from now on ignore
// the guards of transactions.
func (s *System) IgnoreGuards() { s.blind = true }

// KillNode ends a node at once, as kill -9 does: its calls are cut off and its
// leases stay until they expire.
func (s *System) KillNode(name string) {
	if m := s.Node(name); m != nil {
		m.Store.Set(platform.FaultDown)
		s.stopNode(name)
	}
}

// stopNode ends a node's loops; they give up its leases if they can.
func (s *System) stopNode(name string) {
	s.mu.Lock()
	m, ok := s.nodes[name]
	delete(s.nodes, name)
	s.mu.Unlock()
	if !ok {
		return
	}
	m.cancel()
	<-m.done
}

// DrainNode stops a node gracefully, as its process does on SIGTERM.
func (s *System) DrainNode(name string, lag time.Duration) {
	m := s.Node(name)
	m.Node.Drain()
	time.Sleep(lag)
	m.calls.Wait()
	m.Gateway.Settled(context.Background())
	s.stopNode(name)
}

// FreezeNode holds all that a node sends to the store and to backend servers,
// as pauses right before its calls would.
func (s *System) FreezeNode(name string, on bool) {
	s.Net.Freeze(name, on)
	s.Node(name).Store.Freeze(on)
}

// Node returns a node.
func (s *System) Node(name string) *Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

// NodeNames returns the running nodes by name.
func (s *System) NodeNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for i := range 100 {
		name := fmt.Sprintf("n%d", i+1)
		if _, ok := s.nodes[name]; ok {
			out = append(out, name)
		}
	}
	return out
}

// Controller returns the node that believes it is the controller, or "".
func (s *System) Controller() string {
	for _, name := range s.NodeNames() {
		if s.Node(name).Node.IsController() {
			return name
		}
	}
	return ""
}

// Serving counts the groups that a node would send requests to.
func (s *System) Serving(name string) int {
	n := 0
	for _, g := range s.options.Document.Groups {
		if s.Node(name).Node.Table().Group(g.Name, time.Now()).Reason == node.ReasonNone {
			n++
		}
	}
	return n
}

// AwaitServing waits until all nodes would send requests to so many groups.
func (s *System) AwaitServing(groups int, within time.Duration) error {
	deadline := time.Now().Add(within)
	for {
		open := 0
		for _, name := range s.NodeNames() {
			if s.Serving(name) != groups {
				open++
			}
		}
		if open == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d nodes do not see %d serving groups within %s", open, groups, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// peerClient carries heartbeats between the nodes over the network's links.
type peerClient struct {
	system *System
	from   string
}

var errNoPeer = errors.New("peer does not answer")

func (p *peerClient) reach(ctx context.Context, to string) (*Member, error) {
	time.Sleep(hop)
	m := p.system.Node(to)
	if m == nil {
		return nil, errNoPeer
	}
	_, forth, back, _ := p.system.Net.state(linkName{p.from, to})
	if !forth || !back {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return m, nil
}

// Heartbeat implements node.PeerClient.
func (p *peerClient) Heartbeat(ctx context.Context, address string, self node.Peer) (int64, error) {
	m, err := p.reach(ctx, address)
	if err != nil {
		return 0, err
	}
	return m.Node.Hear(ctx, self), nil
}

// Reserve implements node.PeerClient.
func (p *peerClient) Reserve(ctx context.Context, address string, g ring.Group, holder string) (reservation.Answer, error) {
	m, err := p.reach(ctx, address)
	if err != nil {
		return reservation.AnswerNone, err
	}
	return m.Node.GrantPlace(g, holder), nil
}

// Note implements node.PeerClient.
func (p *peerClient) Note(ctx context.Context, address, holder string, n node.Notes) error {
	m, err := p.reach(ctx, address)
	if err != nil {
		return err
	}
	m.Node.TakeNotes(holder, n)
	return nil
}

// Configuration implements node.PeerClient.
func (p *peerClient) Configuration(ctx context.Context, address string, _ int64) (node.Handover, error) {
	m, err := p.reach(ctx, address)
	if err != nil {
		return node.Handover{}, err
	}
	return m.Node.Handover(), nil
}

// OldOrder returns an order with an epoch that is older than all others.
func OldOrder(group ring.Group, rank int) ring.Order {
	return ring.Order{Epoch: 0, Group: group, Rank: rank, Spec: ring.Spec{Model: "m", Version: "1"}}
}

// Order sends an order to a VM, as an old controller would.
func (s *System) Order(vm ring.VM, o ring.Order) {
	control := engine.NewControl(engine.ControlConfig{Timeout: time.Second, Kept: s.Net.From("old", true), Fresh: s.Net.From("old", false)})
	_ = control.Send(context.Background(), s.vm(vm).Address, o)
}

// VMAt returns the VM with an address.
func (s *System) VMAt(address string) ring.VM {
	for _, vm := range s.options.Document.VMs {
		if vm.Address == address {
			return vm.Name
		}
	}
	return ""
}

// PartnerOf returns another member of the group whose head has an address.
func (s *System) PartnerOf(address string) ring.VM {
	head := s.VMAt(address)
	for _, r := range s.Node(s.NodeNames()[0]).Node.Table().Records() {
		if r.Record.Has(head) {
			return r.Record.Members[1].VM
		}
	}
	return ""
}

// Introduce makes a node known to all others, as its membership would.
func (s *System) Introduce(name string) {
	for _, other := range s.NodeNames() {
		if other != name {
			s.Node(other).Node.Table().IntroducePeer(node.Peer{Name: name, Address: name, Incarnation: "introduced"})
		}
	}
}
