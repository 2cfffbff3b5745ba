package fake

import (
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
	"eelgrassring.dev/internal/standin/service"
)

// Options describes a system of real nodes over fakes.
type Options struct {
	Document     deployment.Document
	Nodes        int
	LoadTime     time.Duration
	FirstToken   time.Duration
	TokenGap     time.Duration
	MaxReportAge time.Duration
	Log          io.Writer
	// WrapTransport wraps the way of nodes to backend servers, for tests that
	// switch a mechanism off.
	WrapTransport func(http.RoundTripper) http.RoundTripper
}

// System is a set of nodes with the platform and the backend servers around
// them, all in one process and in virtual time.
type System struct {
	options  Options
	Keyspace *platform.Keyspace
	Net      *Network
	VMList   *platform.VMList
	History  *History
	Services map[string]*service.Server

	mu           sync.Mutex
	nodes        map[string]*NodeProcess
	engines      map[ring.VM]*standin.Server
	startCount   int
	ignoreGuards bool
	cancels      []context.CancelFunc
	background   sync.WaitGroup
}

// NewSystem starts everything and applies the document.
func NewSystem(o Options) *System {
	if o.MaxReportAge == 0 {
		o.MaxReportAge = node.MaxReportAge
	}
	s := &System{
		options: o, Keyspace: platform.NewKeyspace(), Net: NewNetwork(), VMList: platform.NewVMList(1000),
		History: &History{}, Services: map[string]*service.Server{},
		nodes: map[string]*NodeProcess{}, engines: map[ring.VM]*standin.Server{},
	}
	s.Net.OnDelivery(s.recordDelivery)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancels = append(s.cancels, cancel)
	s.background.Go(func() { platform.RunLeaseExpiry(ctx, s.Keyspace) })
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
	for _, stop := range s.cancels {
		stop()
	}
	for _, vm := range s.options.Document.VMs {
		s.Net.Crash(vm.Address)
	}
	s.background.Wait()
	time.Sleep(settleTime)
}

// settleTime is longer than any work that goes on after a node has ended, such
// as the recording of outcomes. In virtual time it costs nothing.
const settleTime = 10 * time.Minute

func (s *System) recordDelivery(p Delivery) {
	header := p.Request.Header
	epoch, err := strconv.ParseUint(header.Get(engine.HeaderEpoch), 10, 64)
	if err != nil {
		return
	}
	s.History.add(SentRequest{
		DispatchedAt: p.Dispatched, ArrivedAt: time.Now(), From: p.From, To: p.To,
		Epoch: ring.Epoch(epoch), RequestID: header.Get(engine.HeaderRequest),
	})
}

// Apply puts a document in force on the given base.
func (s *System) Apply(base int64, d deployment.Document) catalog.Result {
	result, err := s.TryApply(NewStore(s.Keyspace), base, d, fmt.Sprintf("nonce-%d-%s", base, d.Name))
	if err != nil {
		panic(err)
	}
	return result
}

// TryApply applies a document through a store of its own.
func (s *System) TryApply(store *Store, base int64, d deployment.Document, nonce string) (catalog.Result, error) {
	text := encodeDocument(d)
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
	s.startCount++
	incarnation := fmt.Sprintf("i%d", s.startCount)
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e := standin.New(standin.Config{
		VM: name, Incarnation: incarnation, CheckFencing: vm.Fencing == deployment.FencingChecked,
		LoadTime: s.options.LoadTime, FirstToken: s.options.FirstToken, TokenGap: s.options.TokenGap,
		Transport: s.Net.From(vm.Address, true),
	})
	s.mu.Lock()
	s.engines[name] = e
	s.cancels = append(s.cancels, cancel)
	s.mu.Unlock()
	s.background.Go(func() { e.WatchMembers(ctx) })
	s.Net.Start(vm.Address, e.Handler())
	s.VMList.Set(name, ring.VMLive)
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

// StartLeaving marks a VM as leaving: by the platform's list, by its own report, or
// by both.
func (s *System) StartLeaving(name ring.VM, byList, byReport bool) {
	if byList {
		s.VMList.Set(name, ring.VMLeaving)
	}
	if byReport {
		s.Engine(name).MarkLeaving()
	}
	s.History.add(Leaving{At: time.Now(), VM: name})
}

// VMs implements ring.VMList for the nodes.
func (s *System) VMs(context.Context) ([]ring.ListedVM, error) { return s.VMList.All(), nil }

// StaleOrder returns an order with an epoch that is older than all others.
func StaleOrder(group ring.Group, rank int) ring.Order {
	return ring.Order{Epoch: 0, Group: group, Rank: rank, Spec: ring.Spec{Model: "m", Version: "1"}}
}

// SendOrder sends an order to a VM, as an old controller would.
func (s *System) SendOrder(vm ring.VM, o ring.Order) {
	control := engine.NewControl(engine.ControlConfig{Timeout: time.Second, KeepAlive: s.Net.From("old", true), Fresh: s.Net.From("old", false)})
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

// OtherMember returns another member of the group whose head has an address.
func (s *System) OtherMember(address string) ring.VM {
	head := s.VMAt(address)
	for _, r := range s.Node(s.NodeNames()[0]).Node.Table().Records() {
		if r.Record.Has(head) {
			return r.Record.Members[1].VM
		}
	}
	return ""
}
