package fake

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"eelgrassring.dev/internal/claim"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/gateway"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/standin/platform"
)

// NodeProcess is one node of the system.
type NodeProcess struct {
	Name        string
	Node        *node.Node
	Gateway     *gateway.Server
	Store       *Store
	cancel      context.CancelFunc
	done        chan struct{}
	activeCalls sync.WaitGroup
	// ctx ends when the node is killed; callers' connections end with it.
	ctx context.Context
}

// StartNode starts a node.
func (s *System) StartNode(name string) *NodeProcess {
	s.mu.Lock()
	s.startCount++
	incarnation := fmt.Sprintf("i%d", s.startCount)
	s.mu.Unlock()
	store := NewStore(s.Keyspace)
	if s.ignoreGuards {
		store.IgnoreGuards()
	}
	log := event.NewLog(slog.New(slog.DiscardHandler))
	if s.options.Log != nil {
		log = event.NewLog(slog.New(slog.NewTextHandler(s.options.Log, nil)).With("node", name))
	}
	kept, fresh := s.Net.From(name, true), s.Net.From(name, false)
	timing := node.DefaultTiming()
	n := node.New(node.Config{
		Name: name, Incarnation: incarnation, Zone: "a", PeerAddress: name, CallerAddress: name,
		Store: store, VMList: s, Peers: &peerClient{system: s, from: name},
		Backends: engine.NewControl(engine.ControlConfig{Timeout: timing.ProbeTimeout, KeepAlive: kept, Fresh: fresh}),
		Table:    node.NewTable(node.TableConfig{MaxReportAge: s.options.MaxReportAge}),
		Log:      log, Timing: timing, Placement: placement.DefaultOptions(),
	})
	if s.options.WrapTransport != nil {
		kept, fresh = s.options.WrapTransport(kept), s.options.WrapTransport(fresh)
	}
	ledger := claim.NewLedger(claim.Config{Store: store, Node: name + "/" + incarnation, Batch: claim.DefaultBatchConfig()})
	m := &NodeProcess{Name: name, Node: n, Store: store, done: make(chan struct{})}
	m.Gateway = gateway.New(gateway.Config{
		Node: n, Ledger: ledger, Log: log, Metrics: metric.New(), MaxBody: 1 << 20, QueueLimit: 1000,
		FirstTimeout: 10 * time.Second, StallTimeout: 3 * time.Second, MaxWait: 10 * time.Second, KeepAlive: kept, Fresh: fresh,
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.ctx = cancel, ctx
	go ledger.Run(ctx)
	go m.Gateway.Run(ctx)
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
func (s *System) IgnoreGuards() { s.ignoreGuards = true }

// KillNode ends a node at once, as kill -9 does: its calls are cut off and its
// leases stay until they expire.
func (s *System) KillNode(name string) {
	if m := s.Node(name); m != nil {
		m.Store.SetFault(platform.FaultDown)
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
	m.activeCalls.Wait()
	m.Gateway.WaitSettled(context.Background())
	s.stopNode(name)
}

// Node returns a node.
func (s *System) Node(name string) *NodeProcess {
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

// ServingGroups counts the groups that a node would send requests to.
func (s *System) ServingGroups(name string) int {
	n := 0
	for _, g := range s.options.Document.Groups {
		if s.Node(name).Node.Table().Group(g.Name, time.Now()).Reason == node.ReasonNone {
			n++
		}
	}
	return n
}

// AwaitServingGroups waits until all nodes would send requests to so many groups.
func (s *System) AwaitServingGroups(groups int, within time.Duration) error {
	deadline := time.Now().Add(within)
	for {
		open := 0
		for _, name := range s.NodeNames() {
			if s.ServingGroups(name) != groups {
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

// AddPeer makes a node known to all others, as its membership would.
func (s *System) AddPeer(name string) {
	for _, other := range s.NodeNames() {
		if other != name {
			s.Node(other).Node.Table().AddPeer(node.Peer{Name: name, Address: name, Incarnation: "introduced"})
		}
	}
}
