package fake

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/node"
	standin "eelgrassring.dev/internal/standin/engine"
	"eelgrassring.dev/internal/standin/platform"
	"eelgrassring.dev/internal/standin/ratelimit"
	"eelgrassring.dev/internal/standin/service"
)

// Options configures a System.
type Options struct {
	// Document is the first configuration that is applied.
	Document deployment.Document
	// Nodes is how many nodes NewSystem starts.
	Nodes int
	// LoadTime, FirstToken and TokenGap configure the simulated engines.
	LoadTime   time.Duration
	FirstToken time.Duration
	TokenGap   time.Duration
	// Deadly is a text at which an engine ends when a request contains it. It starts again
	// after a second. Empty means that none does.
	Deadly string
	// MaxReportAge is the age up to which nodes trust a backend server's status;
	// zero means node.MaxReportAge.
	MaxReportAge time.Duration
	// Log receives the nodes' logs, unless nil.
	Log io.Writer
	// WrapTransport wraps the transports from nodes to backend servers, for
	// tests that switch off a mechanism.
	WrapTransport func(http.RoundTripper) http.RoundTripper
}

// System is a set of nodes with the simulated platform and the backend servers
// that they use, all in one process and in virtual time.
type System struct {
	options  Options
	Keyspace *platform.Keyspace
	Net      *Network
	VMList   *platform.VMList
	History  *History
	Services map[string]*service.Server

	mu      sync.Mutex
	nodes   map[string]*NodeProcess
	engines map[ring.VM]*standin.Server
	// limits holds the rate limits of the VMs' backend servers, over all their starts.
	limits map[ring.VM]*ratelimit.Limit
	// startCount counts the starts of nodes and engines; incarnations are made
	// from it.
	startCount   int
	deadlyEnds   int
	isStopped    bool
	ignoreGuards bool
	cancels      []context.CancelFunc
	background   sync.WaitGroup
}

// NewSystem starts the backend servers, the services and the nodes, and applies
// the document as the first configuration. The caller must call Stop.
func NewSystem(o Options) *System {
	if o.MaxReportAge == 0 {
		o.MaxReportAge = node.MaxReportAge
	}
	s := &System{
		options: o, Keyspace: platform.NewKeyspace(), Net: NewNetwork(), VMList: platform.NewVMList(1000),
		History: &History{}, Services: map[string]*service.Server{},
		nodes: map[string]*NodeProcess{}, engines: map[ring.VM]*standin.Server{}, limits: map[ring.VM]*ratelimit.Limit{},
	}
	s.Net.OnDelivery(s.recordDelivery)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancels = append(s.cancels, cancel)
	s.background.Go(func() { platform.RunLeaseExpiry(ctx, s.Keyspace) })
	for _, vm := range o.Document.VMs {
		s.StartEngine(vm.Name)
	}
	for _, declared := range o.Document.Services {
		for _, address := range declared.Servers {
			server := service.New()
			s.Services[address] = server
			s.Net.StartHost(address, server.Handler())
		}
	}
	for i := range o.Nodes {
		s.StartNode(fmt.Sprintf("n%d", i+1))
	}
	s.Apply(0, o.Document)
	return s
}

// Stop kills all nodes, crashes all backend servers and waits until their
// background work has ended.
func (s *System) Stop() {
	s.mu.Lock()
	s.isStopped = true
	s.mu.Unlock()
	for _, name := range s.NodeNames() {
		s.KillNode(name)
	}
	for _, cancel := range s.cancels {
		cancel()
	}
	for _, vm := range s.options.Document.VMs {
		s.Net.CrashHost(vm.Address)
	}
	s.background.Wait()
	time.Sleep(settleTime)
}

// settleTime is longer than any work that continues after a node has stopped,
// such as the recording of outcomes. In virtual time it costs nothing.
const settleTime = 10 * time.Minute

// recordDelivery adds a request to the history if it carries an epoch (the
// number of an assignment of VMs to a group). Only requests to model groups do.
func (s *System) recordDelivery(d Delivery) {
	header := d.Request.Header
	epoch, err := strconv.ParseUint(header.Get(engine.HeaderEpoch), 10, 64)
	if err != nil {
		return
	}
	s.History.add(SentRequest{
		DispatchedAt: d.Dispatched, ArrivedAt: time.Now(), From: d.From, To: d.To,
		Epoch: ring.Epoch(epoch), RequestID: header.Get(engine.HeaderRequest),
	})
}

// Apply applies a configuration document; base is the number of the
// configuration that it replaces. It panics on an error.
func (s *System) Apply(base int64, d deployment.Document) catalog.Result {
	result, err := s.TryApply(NewStore(s.Keyspace), base, d, fmt.Sprintf("nonce-%d-%s", base, d.Name))
	if err != nil {
		panic(err)
	}
	return result
}

// TryApply applies a configuration document through the given store, as the
// command-line tool does. The nonce identifies this apply, so that its outcome
// can be read back if the store's response is lost.
func (s *System) TryApply(store *Store, base int64, d deployment.Document, nonce string) (catalog.Result, error) {
	text := encodeDocument(d)
	result, err := catalog.Apply(context.Background(), store, catalog.Request{Document: text, Base: base, Nonce: nonce, Operator: nonce, At: time.Now()})
	if result.Outcome == catalog.OutcomeAccepted {
		s.History.add(ConfigurationAccepted{At: time.Now(), Number: result.Number})
	}
	return result, err
}

// declaredVM returns the declaration of the named VM in the first
// configuration.
func (s *System) declaredVM(name ring.VM) deployment.VM {
	for _, vm := range s.options.Document.VMs {
		if vm.Name == name {
			return vm
		}
	}
	panic("no VM is named " + string(name))
}

// StartEngine starts the simulated engine, which is the backend server of a VM,
// with a new incarnation and no model loaded.
func (s *System) StartEngine(name ring.VM) {
	vm := s.declaredVM(name)
	s.mu.Lock()
	s.startCount++
	incarnation := fmt.Sprintf("i%d", s.startCount)
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e := standin.New(standin.Config{
		VM: name, Incarnation: incarnation, CheckFencing: vm.Fencing == deployment.FencingChecked,
		LoadTime: s.options.LoadTime, FirstToken: s.options.FirstToken, TokenGap: s.options.TokenGap,
		Transport: s.Net.TransportFrom(vm.Address, true), Limit: s.Limit(name),
	})
	s.mu.Lock()
	s.engines[name] = e
	s.cancels = append(s.cancels, cancel)
	s.mu.Unlock()
	s.background.Go(func() { e.WatchMembers(ctx) })
	s.Net.StartHost(vm.Address, s.withDeadly(name, e.Handler()))
	s.VMList.SetState(name, ring.VMLive)
	s.History.add(PresenceChange{At: time.Now(), VM: name, Present: true})
}

// withDeadly returns a handler under which the engine of a VM ends at a deadly request.
func (s *System) withDeadly(name ring.VM, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.options.Deadly == "" || r.Body == nil {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte(s.options.Deadly)) {
			s.mu.Lock()
			s.deadlyEnds++
			s.mu.Unlock()
			s.CrashEngine(name)
			time.AfterFunc(time.Second, func() { s.restartEngine(name) })
			return
		}
		h.ServeHTTP(w, r)
	})
}

// restartEngine starts the engine of a VM unless the system has been stopped.
func (s *System) restartEngine(name ring.VM) {
	s.mu.Lock()
	isStopped := s.isStopped
	s.mu.Unlock()
	if !isStopped {
		s.StartEngine(name)
	}
}

// DeadlyEnds returns how often an engine has ended at a deadly request.
func (s *System) DeadlyEnds() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deadlyEnds
}

// Limit returns the rate limit that the backend server of a VM names.
func (s *System) Limit(name ring.VM) *ratelimit.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits[name] == nil {
		s.limits[name] = &ratelimit.Limit{}
	}
	return s.limits[name]
}

// CrashEngine crashes the backend server of a VM.
func (s *System) CrashEngine(name ring.VM) {
	s.Net.CrashHost(s.declaredVM(name).Address)
	s.History.add(PresenceChange{At: time.Now(), VM: name})
}

// PauseEngine pauses the backend server of a VM, which keeps its state until
// ResumeEngine.
func (s *System) PauseEngine(name ring.VM) {
	s.Net.PauseHost(s.declaredVM(name).Address)
	s.History.add(PresenceChange{At: time.Now(), VM: name})
}

// ResumeEngine resumes the paused backend server of a VM.
func (s *System) ResumeEngine(name ring.VM) {
	s.Net.ResumeHost(s.declaredVM(name).Address)
	s.History.add(PresenceChange{At: time.Now(), VM: name, Present: true})
}

// Engine returns the backend server of a VM.
func (s *System) Engine(name ring.VM) *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[name]
}

// StartLeaving marks a VM as leaving (about to be removed by the platform) in
// the platform's list of VMs, in its backend server's own status, or in both.
func (s *System) StartLeaving(name ring.VM, inList, inStatus bool) {
	if inList {
		s.VMList.SetState(name, ring.VMLeaving)
	}
	if inStatus {
		s.Engine(name).MarkLeaving()
	}
	s.History.add(LeavingStarted{At: time.Now(), VM: name})
}

// VMs implements ring.VMList for the nodes.
func (s *System) VMs(context.Context) ([]ring.ListedVM, error) { return s.VMList.All(), nil }

// StaleOrder returns an order to join the group and load a model. Its epoch (the
// number of an assignment) is older than all others.
func StaleOrder(group ring.Group, rank int) ring.Order {
	return ring.Order{Epoch: 0, Group: group, Rank: rank, Spec: ring.Spec{Model: "m", Version: "1"}}
}

// SendOrder sends an order directly to the backend server of a VM and ignores
// the result. A node may send such an order after it has lost the controller's
// lease.
func (s *System) SendOrder(vm ring.VM, o ring.Order) {
	control := engine.NewControl(engine.ControlConfig{Timeout: time.Second, KeepAlive: s.Net.TransportFrom("old", true), Fresh: s.Net.TransportFrom("old", false)})
	_ = control.Send(context.Background(), s.declaredVM(vm).Address, o)
}

// VMAt returns the VM whose backend server has the address, or "".
func (s *System) VMAt(address string) ring.VM {
	for _, vm := range s.options.Document.VMs {
		if vm.Address == address {
			return vm.Name
		}
	}
	return ""
}

// OtherMember returns the member with rank 1 of the group that the VM at an
// address belongs to, or "". Tests use it with the address of a head.
func (s *System) OtherMember(address string) ring.VM {
	head := s.VMAt(address)
	for _, r := range s.Node(s.NodeNames()[0]).Node.Table().Records() {
		if r.Record.HasMember(head) {
			return r.Record.Members[1].VM
		}
	}
	return ""
}
