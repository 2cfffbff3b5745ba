package composition

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	ring "eelgrassring.dev"
)

// simulation simulates backend servers that execute orders as the platform
// specifies, registry entries that become outdated and expire while a server is
// disconnected from the store, and orders that are delayed at random by a seed. It
// records violations of the package's invariants.
type simulation struct {
	now time.Time
	// advancedAt is the time up to which loads have advanced.
	advancedAt time.Time
	random     *rand.Rand
	servers    map[ring.VM]*simServer
	service    ring.RoutedService
	delayed    []delayedOrder
	// delayedShare is the share of orders that get no response and are executed
	// seconds later.
	delayedShare float64
	// hasTraffic makes all open replicas serve requests, and pinsRequests makes these end with
	// their replica.
	hasTraffic   bool
	pinsRequests bool
	// stalledFor is how long the streams of an incomplete replica are said to have stalled.
	stalledFor time.Duration
	// limited are the servers that take a limited number of requests.
	limited map[ring.VM]bool
	// evacuated are the evacuated zones. A server's zone is that of its domain.
	evacuated map[ring.Zone]bool
	// sentIn counts the orders that were sent to servers in evacuated zones.
	sentIn     int
	violations []string
	// loadStarts are the times at which loads from the weight store began.
	loadStarts []time.Time
}

// delayedOrder is an order that a server executes at a later time.
type delayedOrder struct {
	at    time.Time
	id    ring.VM
	order ring.ReplicaOrder
}

// simServer is one simulated server. server is its actual state.
type simServer struct {
	server ring.Server
	alive  bool
	// isVMLost is set if the server ended with its VM.
	isVMLost bool
	// disconnectedUntil is until when the server cannot reach the store.
	disconnectedUntil time.Time
	// silentUntil is until when the server does not respond to the controller. It
	// neither receives orders nor answers inspections, and its process continues.
	silentUntil time.Time
	// pausedUntil is until when the server's process stands still. Orders that it
	// receives meanwhile are executed when it continues.
	pausedUntil time.Time
	// incompleteFor is for how long the process has run as an open head without one of
	// its members.
	incompleteFor time.Duration
	// listed is set while the registry has an entry of the server, which is entry as
	// of refreshedAt.
	listed      bool
	refreshedAt time.Time
	// joinLoad and stagingLoad are what is left of the loads from the weight store for
	// joining a replica and for staging, as time at full speed.
	joinLoad    time.Duration
	stagingLoad time.Duration
	// readyAt is when a joining server is ready, unless joinLoad is left, and openAt when a head that was
	// ordered to open is open.
	readyAt time.Time
	openAt  time.Time
	// maxEpoch is the largest epoch of an order to join.
	maxEpoch ring.Epoch
	// joining is the model of the replica that the server is joining. Its entry names a
	// model only when it is ready.
	joining ring.Model
	// loaded is the model in the accelerators' memory. staging is the model being
	// loaded into the host's memory.
	loaded  ring.Model
	staging ring.Model
	// wasReady holds the epochs under which the server, or an earlier process of it, has
	// been ready.
	wasReady map[ring.Epoch]bool
	// stopsAt is when a leaving server stops.
	stopsAt time.Time
	entry   ring.Server
	// members are the members of the server's replica by rank.
	members []ring.VM
	// reports are the states of the last ticks, the oldest first, within simReportLag.
	reports []ring.Server
}

const (
	simTick = 50 * time.Millisecond
	// simHeartbeat is the heartbeat interval of the servers; a registry entry expires
	// after three intervals without one.
	simHeartbeat = 1200 * time.Millisecond
	// simReportLag is how old the state is that a server reports to an inspection.
	simReportLag = 250 * time.Millisecond
	// simOpenTime is how long a head takes to open.
	simOpenTime = 300 * time.Millisecond
	// simBreakTimeout is how long a head may stay open after it lost a member.
	simBreakTimeout = 6 * time.Second
)

// newSimulation returns a simulation of a service with a large and a small model, and
// serversPerDomain servers without a replica in each of the domains d0, d1 and so on.
func newSimulation(seed uint64, domains, serversPerDomain int) *simulation {
	sim := &simulation{
		stalledFor: time.Second, now: time.Unix(1_700_000_000, 0), advancedAt: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), servers: map[ring.VM]*simServer{},
		service: ring.RoutedService{
			Name: "engine", Slots: 26, LoadsPerSecond: 5.5, LoadsAtOnce: 8,
			Models: []ring.ReplicaModel{
				{Name: "large", Size: 6, Share: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, StagedLoadTime: 1600 * time.Millisecond},
				{Name: "small", Size: 3, Share: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, StagedLoadTime: 1100 * time.Millisecond},
			},
		},
	}
	for d := range domains {
		for i := range serversPerDomain {
			sim.addServer(ring.VM(fmt.Sprintf("v%d-%02d", d, i)), ring.Domain(fmt.Sprintf("d%d", d)))
		}
	}
	return sim
}

// addServer adds a live, listed server that is in no replica, or replaces the server
// with the ID by a new process.
func (sim *simulation) addServer(id ring.VM, domain ring.Domain) {
	s := ring.Server{ID: id, Incarnation: fmt.Sprint(sim.now.UnixMilli()), Service: "engine", Address: string(id), Domain: domain, Zone: ring.Zone("z" + domain), Slots: 26}
	sim.servers[id] = &simServer{server: s, alive: true, listed: true, refreshedAt: sim.now, entry: s, wasReady: map[ring.Epoch]bool{}}
}

// serverIDs returns the IDs of all servers, sorted, so that a run is repeatable.
func (sim *simulation) serverIDs() []ring.VM {
	out := make([]ring.VM, 0, len(sim.servers))
	for id := range sim.servers {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// modelByName returns the service's model with the name, or a zero model.
func (sim *simulation) modelByName(name ring.Model) ring.ReplicaModel {
	for _, m := range sim.service.Models {
		if m.Name == name {
			return m
		}
	}
	return ring.ReplicaModel{}
}

// advanceTick advances the simulated time by simTick: it completes joins, opens and
// stagings that are due, updates the registry and executes delayed orders.
func (sim *simulation) advanceTick() {
	sim.now = sim.now.Add(simTick)
	progress := sim.loadProgress()
	for _, id := range sim.serverIDs() {
		s := sim.servers[id]
		s.joinLoad, s.stagingLoad = max(s.joinLoad-progress, 0), max(s.stagingLoad-progress, 0)
		if !s.stopsAt.IsZero() && sim.now.After(s.stopsAt) {
			s.alive = false
		}
		if !sim.now.After(s.pausedUntil) {
			sim.expireEntry(s)
			continue
		}
		sim.completeTransitions(s)
		sim.breakIncomplete(s)
		sim.updateEntry(s)
		s.recordReport()
	}
	remaining := sim.delayed[:0]
	for _, d := range sim.delayed {
		if sim.now.Before(d.at) || !sim.now.After(sim.servers[d.id].pausedUntil) {
			remaining = append(remaining, d)
			continue
		}
		sim.executeOrder(d.id, d.order)
	}
	sim.delayed = remaining
}

// recordReport adds the current state to those that the server reports later.
func (s *simServer) recordReport() {
	s.reports = append(s.reports, s.server)
	if len(s.reports) > int(simReportLag/simTick) {
		s.reports = s.reports[1:]
	}
}

// report returns the state that the server reports now.
func (s *simServer) report() ring.Server {
	if len(s.reports) == 0 {
		return s.server
	}
	return s.reports[0]
}

// loadProgress returns by how much each load from the weight store has advanced since
// the last call.
// Beyond LoadsAtOnce concurrent loads, each is slower in proportion.
func (sim *simulation) loadProgress() time.Duration {
	elapsed := sim.now.Sub(sim.advancedAt)
	sim.advancedAt = sim.now
	loads := 0
	for _, s := range sim.servers {
		if s.alive && (s.joinLoad > 0 || s.stagingLoad > 0) {
			loads++
		}
	}
	if !sim.hasTraffic || sim.service.LoadsAtOnce == 0 || loads <= sim.service.LoadsAtOnce {
		return elapsed
	}
	return elapsed * time.Duration(sim.service.LoadsAtOnce) / time.Duration(loads)
}

// completeTransitions applies the changes of a server's state that are due: it
// becomes ready or open, or has staged a model.
func (sim *simulation) completeTransitions(s *simServer) {
	membership := &s.server.Membership
	if membership.State == ring.MemberJoining && s.joinLoad == 0 && sim.now.After(s.readyAt) {
		s.server.Model = s.joining
		if s.loaded != s.server.Model {
			s.server.Staged = []ring.Model{s.server.Model}
		}
		membership.State = ring.MemberReady
		s.wasReady[membership.Epoch] = true
		s.loaded = s.server.Model
	}
	if membership.State == ring.MemberReady && !s.openAt.IsZero() && sim.now.After(s.openAt) {
		membership.State = ring.MemberOpen
		s.openAt = time.Time{}
	}
	if s.staging != "" && s.stagingLoad == 0 {
		s.server.Staged = []ring.Model{s.staging}
		s.staging = ""
	}
}

// breakIncomplete makes an open head broken after it has run for simBreakTimeout
// without one of its members.
func (sim *simulation) breakIncomplete(s *simServer) {
	if s.server.Membership.State != ring.MemberOpen || sim.isComplete(s) {
		s.incompleteFor = 0
		return
	}
	if s.incompleteFor += simTick; s.incompleteFor >= simBreakTimeout {
		s.server.Membership.State = ring.MemberBroken
	}
}

// updateEntry refreshes the server's registry entry while the server reaches the
// store and removes it after three missed heartbeats.
func (sim *simulation) updateEntry(s *simServer) {
	if s.alive && sim.now.After(s.disconnectedUntil) {
		s.entry, s.listed, s.refreshedAt = s.server, true, sim.now
		s.entry.Orders = 0 // Entries do not name it.
		return
	}
	sim.expireEntry(s)
}

// expireEntry removes the server's registry entry after three missed heartbeats.
func (sim *simulation) expireEntry(s *simServer) {
	if sim.now.Sub(s.refreshedAt) > 3*simHeartbeat {
		s.listed = false
	}
}

// view returns the state of the servers and replicas as the controller would see it.
// An open replica is active if its head is reachable and all its members are alive and
// in it, and otherwise stalled.
func (sim *simulation) view() View {
	v := View{Service: sim.service, HasTraffic: sim.hasTraffic, Stalled: map[ring.Epoch]time.Duration{}, Active: map[ring.Epoch]bool{}, Pinned: map[ring.Epoch]bool{}, Slow: map[ring.Epoch]float64{}, Limited: map[ring.Epoch]bool{}, LimitedServers: sim.limited, Evacuated: sim.evacuated}
	for _, id := range sim.serverIDs() {
		s := sim.servers[id]
		if s.listed {
			v.Servers = append(v.Servers, s.entry)
		}
		if sim.hasTraffic && !s.isEnded() && s.server.Membership.State == ring.MemberOpen {
			v.Pinned[s.server.Membership.Epoch] = sim.pinsRequests
			v.Limited[s.server.Membership.Epoch] = sim.limited[id]
			for _, id := range s.members {
				if m := sim.servers[id]; m != nil && m.server.Slowdown > 1 {
					v.Slow[s.server.Membership.Epoch] = m.server.Slowdown
				}
			}
			if sim.isComplete(s) && sim.isReachable(s) {
				v.Active[s.server.Membership.Epoch] = true
			} else {
				v.Stalled[s.server.Membership.Epoch] = sim.stalledFor
			}
		}
	}
	return v
}

// isComplete reports whether all members of a head's replica are alive and in it.
func (sim *simulation) isComplete(head *simServer) bool {
	for _, id := range head.members {
		m := sim.servers[id]
		if m == nil || !m.alive || m.server.Membership.Epoch != head.server.Membership.Epoch {
			return false
		}
	}
	return true
}

// performActions performs the composer's orders and inspections, passes the responses
// back to it, and performs the actions that follow.
func (sim *simulation) performActions(c *Composer, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendOrder:
			before := sim.servers[a.ID].server.Orders
			outcome := sim.deliverOrder(a.ID, a.Order)
			hasBegun := outcome == OutcomeDone && a.Order.Kind != ring.OrderLeave && sim.servers[a.ID].server.Orders > before
			sim.performActions(c, c.Step(OrderEnded{ID: a.ID, Order: a.Order, Observation: a.Observation, Outcome: outcome, HasBegun: hasBegun}, sim.now))
		case Inspect:
			s := sim.servers[a.ID]
			reached := sim.isReachable(s)
			e := Inspected{ID: a.ID, Answered: reached, Refused: s.isEnded()}
			if reached {
				e.Server, e.Leaving = s.report(), a.WithHealth && !s.stopsAt.IsZero()
			}
			sim.performActions(c, c.Step(e, sim.now))
		}
	}
}

// isReachable reports whether the server runs and responds to the controller.
func (sim *simulation) isReachable(s *simServer) bool {
	return s.alive && sim.now.After(s.silentUntil) && sim.now.After(s.pausedUntil)
}

// deliverOrder executes an order at a server, or later without a response if the
// order is chosen to be delayed.
func (sim *simulation) deliverOrder(id ring.VM, o ring.ReplicaOrder) Outcome {
	if sim.evacuated[sim.servers[id].server.Zone] {
		sim.sentIn++
	}
	s := sim.servers[id]
	if s.alive && !sim.now.After(s.pausedUntil) {
		sim.delayed = append(sim.delayed, delayedOrder{s.pausedUntil.Add(simTick), id, o})
		return OutcomeUnknown
	}
	if !sim.isReachable(s) {
		return OutcomeUnknown
	}
	if sim.random.Float64() < sim.delayedShare {
		sim.delayed = append(sim.delayed, delayedOrder{sim.now.Add(time.Duration(2+sim.random.IntN(10)) * time.Second), id, o})
		return OutcomeUnknown
	}
	return sim.executeOrder(id, o)
}

// executeOrder changes a server's state as the order requires and returns the
// outcome that the server responds.
func (sim *simulation) executeOrder(id ring.VM, o ring.ReplicaOrder) Outcome {
	s := sim.servers[id]
	if !s.alive {
		return OutcomeUnknown
	}
	if o.HasExpected && o.Expected != s.server.Orders {
		return OutcomeRefused
	}
	membership := &s.server.Membership
	if o.Kind == ring.OrderStage {
		s.server.Orders++
		s.staging, s.stagingLoad = o.Model, sim.loadTime(o.Model)
		sim.loadStarts = append(sim.loadStarts, sim.now)
		return OutcomeDone
	}
	if o.Kind == ring.OrderJoin {
		return sim.joinReplica(s, o)
	}
	if membership.Epoch != o.Epoch {
		return OutcomeRefused
	}
	switch o.Kind {
	case ring.OrderOpen:
		if membership.State == ring.MemberOpen {
			return OutcomeDone
		}
		if membership.State != ring.MemberReady {
			return OutcomeRefused
		}
		s.server.Orders++
		sim.checkComplete(s)
		s.openAt = sim.now.Add(simOpenTime)
	case ring.OrderClose, ring.OrderCut:
		if membership.State == ring.MemberOpen {
			s.server.Orders++
			membership.State = ring.MemberReady
		}
	case ring.OrderLeave:
		s.server.Orders++
		*membership, s.openAt = ring.Membership{}, time.Time{}
	}
	return OutcomeDone
}

// loadTime returns how long a load of the model from the weight store takes: a tenth
// of the declared time before there are requests.
func (sim *simulation) loadTime(m ring.Model) time.Duration {
	if !sim.hasTraffic {
		return sim.modelByName(m).LoadTime / 10
	}
	return sim.modelByName(m).LoadTime
}

// joinReplica executes an order to join a replica and starts the load of the model
// that it requires.
func (sim *simulation) joinReplica(s *simServer, o ring.ReplicaOrder) Outcome {
	if o.Epoch < s.maxEpoch {
		return OutcomeFenced
	}
	if s.server.Membership.Epoch == o.Epoch {
		return OutcomeDone
	}
	sim.checkNotInUse(s)
	s.server.Orders++
	s.maxEpoch = o.Epoch
	joinTime := time.Duration(0)
	s.joinLoad = 0
	switch {
	case s.loaded == o.Model:
		joinTime = 200 * time.Millisecond
	case s.server.HasStaged(o.Model):
		joinTime = sim.modelByName(o.Model).StagedLoadTime
	default:
		s.joinLoad = sim.loadTime(o.Model)
		sim.loadStarts = append(sim.loadStarts, sim.now)
	}
	rank := 0
	for i, m := range o.Members {
		if m == s.server.ID {
			rank = i
		}
	}
	s.server.Membership = ring.Membership{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: ring.MemberJoining}
	s.server.Model, s.joining, s.members, s.readyAt, s.openAt = "", o.Model, o.Members, sim.now.Add(joinTime), time.Time{}
	return OutcomeDone
}

// checkNotInUse records a violation if a server joins another replica while the
// head of its current one is open or closing.
func (sim *simulation) checkNotInUse(s *simServer) {
	for _, h := range sim.servers {
		if h == s || !h.alive || h.server.Membership.Epoch != s.server.Membership.Epoch || h.server.Membership.Epoch == 0 || h.server.Membership.Rank != 0 {
			continue
		}
		if h.server.Membership.State == ring.MemberOpen || h.server.Membership.State == ring.MemberClosing {
			sim.violations = append(sim.violations, fmt.Sprintf("%s joined another replica while head %s of epoch %d is open or closing", s.server.ID, h.server.ID, h.server.Membership.Epoch))
		}
	}
}

// checkComplete records a violation if a head is ordered to open although its replica
// lacks members or not all of them have been ready under its epoch.
func (sim *simulation) checkComplete(head *simServer) {
	if len(head.members) != sim.modelByName(head.server.Model).Size {
		sim.violations = append(sim.violations, fmt.Sprintf("head %s opened with %d members", head.server.ID, len(head.members)))
	}
	for _, id := range head.members {
		if m := sim.servers[id]; m.alive && !m.wasReady[head.server.Membership.Epoch] {
			sim.violations = append(sim.violations, fmt.Sprintf("head %s opened, but %s was never ready under epoch %d", head.server.ID, id, head.server.Membership.Epoch))
		}
	}
}

// run runs the servers and the composer for the given simulated time.
func (sim *simulation) run(c *Composer, duration time.Duration) {
	for end := sim.now.Add(duration); sim.now.Before(end); {
		sim.advanceTick()
		sim.performActions(c, c.Step(ViewUpdated{View: sim.view()}, sim.now))
	}
}

// countOpen counts the open and complete replicas of a model.
func (sim *simulation) countOpen(m ring.Model) int {
	n := 0
	for _, s := range sim.servers {
		if s.alive && s.server.Membership.State == ring.MemberOpen && s.server.Model == m && sim.isComplete(s) {
			n++
		}
	}
	return n
}

// killServer ends a server's process without notice; its VM refuses connections, and its
// registry entry expires later.
func (sim *simulation) killServer(id ring.VM) { sim.servers[id].alive = false }

// loseVM stops a server's VM without notice: nothing there answers or refuses.
func (sim *simulation) loseVM(id ring.VM) {
	sim.servers[id].alive, sim.servers[id].isVMLost = false, true
}

// isEnded reports whether the VM refuses connections since the process has ended.
func (s *simServer) isEnded() bool { return !s.alive && !s.isVMLost }

// restartServer starts a new process of a server, which keeps only the staged models. A
// replica that the old process was ready in has lost a member that was ready.
func (sim *simulation) restartServer(id ring.VM) {
	old := sim.servers[id]
	sim.addServer(id, old.server.Domain)
	sim.servers[id].server.Staged = old.server.Staged
	sim.servers[id].wasReady = old.wasReady
}

// openHead returns the head of an open replica of a model in a domain, or nil.
func (sim *simulation) openHead(m ring.Model, d ring.Domain) *simServer {
	for _, id := range sim.serverIDs() {
		s := sim.servers[id]
		if s.alive && s.server.Membership.State == ring.MemberOpen && s.server.Model == m && s.server.Domain == d {
			return s
		}
	}
	return nil
}
