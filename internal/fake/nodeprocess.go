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

// NodeProcess is one running node with its gateway (the server of the callers'
// requests) and its store client.
type NodeProcess struct {
	Name    string
	Node    *node.Node
	Gateway *gateway.Server
	Store   *Store
	cancel  context.CancelFunc
	// done is closed when Node.Run has returned.
	done chan struct{}
	// activeCalls counts the callers' requests that are running.
	activeCalls sync.WaitGroup
	// ctx ends when the node stops, which closes the callers' connections.
	ctx context.Context
}

// StartNode starts a node under the given name with a new incarnation, which
// identifies one run of a process.
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
	keepAlive, fresh := s.Net.TransportFrom(name, true), s.Net.TransportFrom(name, false)
	timing := node.DefaultTiming()
	n := node.New(node.Config{
		Name: name, Incarnation: incarnation, Zone: "a", PeerAddress: name, CallerAddress: name,
		Store: store, VMList: s, Peers: &peerClient{system: s, from: name},
		Backends: engine.NewControl(engine.ControlConfig{Timeout: timing.ProbeTimeout, KeepAlive: keepAlive, Fresh: fresh}),
		Table:    node.NewTable(node.TableConfig{MaxReportAge: s.options.MaxReportAge}),
		Log:      log, Timing: timing, Placement: placement.DefaultOptions(),
	})
	if s.options.WrapTransport != nil {
		fresh = s.options.WrapTransport(fresh)
	}
	batch := claim.DefaultBatchConfig()
	batch.Nodes = n.NodeCount
	ledger := claim.NewLedger(claim.Config{Store: store, Node: name + "/" + incarnation, Batch: batch})
	process := &NodeProcess{Name: name, Node: n, Store: store, done: make(chan struct{})}
	process.Gateway = gateway.New(gateway.Config{
		Node: n, Ledger: ledger, Log: log, Metrics: metric.New(), MaxBody: 1 << 20, QueueLimit: 1000,
		FirstTimeout: 10 * time.Second, StallTimeout: 3 * time.Second, MaxWait: 10 * time.Second, Transport: fresh,
	})
	ctx, cancel := context.WithCancel(context.Background())
	process.cancel, process.ctx = cancel, ctx
	go ledger.Run(ctx)
	go process.Gateway.Run(ctx)
	go func() {
		n.Run(ctx)
		close(process.done)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[name] = process
	return process
}

// IgnoreGuards makes the stores of nodes that start later ignore the guards
// (conditions) of transactions, so that tests can show that the invariants
// depend on them.
func (s *System) IgnoreGuards() { s.ignoreGuards = true }

// KillNode stops a node at once, as kill -9 does: its calls are aborted and its
// leases stay until they expire.
func (s *System) KillNode(name string) {
	if process := s.Node(name); process != nil {
		process.Store.SetFault(platform.FaultDown)
		s.stopNode(name)
	}
}

// stopNode removes a node from the running ones and waits until its background
// tasks have ended. These tasks revoke the node's leases if they can reach the
// store.
func (s *System) stopNode(name string) {
	s.mu.Lock()
	process, ok := s.nodes[name]
	delete(s.nodes, name)
	s.mu.Unlock()
	if !ok {
		return
	}
	process.cancel()
	<-process.done
}

// DrainNode shuts a node down gracefully, as its process does on SIGTERM: it
// waits for the delay, so that the other nodes learn of the drain, and then
// until the running requests have ended.
func (s *System) DrainNode(name string, delay time.Duration) {
	process := s.Node(name)
	process.Node.Drain()
	time.Sleep(delay)
	process.activeCalls.Wait()
	process.Gateway.WaitSettled(context.Background())
	s.stopNode(name)
}

// Node returns the running node with a name, or nil.
func (s *System) Node(name string) *NodeProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

// NodeNames returns the names of the running nodes in the order of their
// numbers.
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

// Controller returns the name of the first node that considers itself the
// controller (the node that assigns VMs to groups), or "".
func (s *System) Controller() string {
	for _, name := range s.NodeNames() {
		process := s.Node(name) // It may have been stopped since its name was listed.
		if process != nil && process.Node.IsController() {
			return name
		}
	}
	return ""
}

// ServingGroups returns the number of declared groups that the named node
// considers able to serve.
func (s *System) ServingGroups(name string) int {
	n := 0
	for _, g := range s.options.Document.Groups {
		if s.Node(name).Node.Table().Group(g.Name, time.Now()).Reason == node.ReasonNone {
			n++
		}
	}
	return n
}

// AwaitServingGroups waits until every node would send requests to exactly the
// given number of groups. It returns an error after the timeout.
func (s *System) AwaitServingGroups(groups int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		waiting := 0
		for _, name := range s.NodeNames() {
			if s.ServingGroups(name) != groups {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d nodes do not have %d serving groups after %s", waiting, groups, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// AddPeer adds a node to the peers of all other nodes at once. Otherwise each node
// adds it when it sees the entry of the new node in the store.
func (s *System) AddPeer(name string) {
	for _, other := range s.NodeNames() {
		if other != name {
			s.Node(other).Node.Table().AddPeer(node.Peer{Name: name, Address: name, Incarnation: "introduced"})
		}
	}
}
