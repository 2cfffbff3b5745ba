package composition

import (
	"maps"
	"slices"
	"time"

	ring "eelgrassring.dev"
)

// Config configures a Composer. Term is the number of the controller's term, from
// which replica epochs are derived; each later term has a larger number.
type Config struct {
	Options Options
	Term    ring.Revision
}

// epochsPerTerm is the number of replica epochs that one term of the controller can
// use. revisionsPerEra is added to the term's number for each restore of the store.
// After a restore the store gives out numbers again, but from a copy that is at most
// seconds old, so the later term has the larger sum. The sums also leave the epochs
// small enough for exact representation by every JSON decoder.
const (
	epochsPerTerm   = 1 << 20
	revisionsPerEra = 1 << 24
)

// firstEpoch returns the epoch before those of a term.
func firstEpoch(term ring.Revision) ring.Epoch {
	return ring.Epoch(int64(term.Era())*revisionsPerEra+term.Number()) * epochsPerTerm
}

// MaxEpoch returns the largest epoch that anyone can know at a revision of the store: the last
// one of a term that began just then.
func MaxEpoch(r ring.Revision) ring.Epoch { return firstEpoch(r) + epochsPerTerm }

// Composer decides which servers of one service form which replicas, and which orders
// the servers get. The zero value is not usable; call New.
type Composer struct {
	options Options
	// termEpoch is the epoch before those of this term.
	termEpoch ring.Epoch
	// isFirst is set as long as no entry has named a replica of an earlier controller.
	isFirst bool
	// epoch is the largest epoch that this composer has used or seen.
	epoch ring.Epoch
	view  View
	// viewNumber counts the views. listed holds the listed servers in the order of the
	// view, and byDomain by fabric domain, of which domains is the sorted list.
	viewNumber int
	listed     []*serverState
	byDomain   map[ring.Domain][]*serverState
	domains    []ring.Domain
	// listedChangedAt is when the set of listed servers last changed.
	listedChangedAt time.Time
	// replicas holds the replicas from their forming or adoption to their end.
	replicas map[ring.Epoch]*replica
	// replicaCounts counts the replicas by domain and model, and inUseCounts those that
	// serve, or will, by model.
	replicaCounts map[domainModel]int
	inUseCounts   map[ring.Model]int
	// ended holds the replicas that ended or never opened; registry entries of
	// their members may still name them.
	ended map[ring.Epoch]replicaEnd
	// incomplete holds the replicas of earlier controllers that have a member without
	// a registry entry. It maps each to the time when this was first seen.
	incomplete map[ring.Epoch]time.Time
	servers    map[ring.VM]*serverState
	// hadEvacuated is set if zones were evacuated in the last view.
	hadEvacuated bool
	// missingSince is the time since when a domain has had no replica of a model.
	// weightLoadBucket limits the loads from the weight store. limitReleases holds the last
	// releases of replicas because their heads were limited.
	missingSince     map[domainModel]time.Time
	weightLoadBucket weightLoadLimiter
	limitReleases    map[ring.Model]limitRelease
	// inventoryAt is when the last inventory was reported.
	inventoryAt time.Time
	// actions are the actions that the current call of Step will return.
	actions []Action
}

// New returns a composer for one service and one term of the controller. It knows no
// server until the first ViewUpdated.
func New(c Config) *Composer {
	return &Composer{
		options: c.Options, isFirst: true, termEpoch: firstEpoch(c.Term), epoch: firstEpoch(c.Term),
		replicas: map[ring.Epoch]*replica{}, replicaCounts: map[domainModel]int{}, inUseCounts: map[ring.Model]int{}, ended: map[ring.Epoch]replicaEnd{}, incomplete: map[ring.Epoch]time.Time{}, missingSince: map[domainModel]time.Time{}, servers: map[ring.VM]*serverState{}, limitReleases: map[ring.Model]limitRelease{},
	}
}

// Step applies one event, which happened at time now, and returns the actions for
// the caller to perform.
func (c *Composer) Step(e Event, now time.Time) []Action {
	c.actions = nil
	switch e := e.(type) {
	case ViewUpdated:
		c.updateView(e.View, now)
		c.reconcile(now)
	case Inspected:
		c.recordInspection(e, now)
	case OrderEnded:
		c.recordOrderEnd(e, now)
	}
	return c.actions
}

// server returns the composer's state of a server, and creates it at the first call.
func (c *Composer) server(id ring.VM) *serverState {
	s, ok := c.servers[id]
	if !ok {
		s = &serverState{entry: &ring.Server{}}
		c.servers[id] = s
	}
	return s
}

// updateView replaces the view of the service's servers and replicas, and updates the
// serverState of each listed server.
func (c *Composer) updateView(v View, now time.Time) {
	hasChanged := !isSameSlice(c.view.Servers, v.Servers) || !maps.Equal(c.view.Evacuated, v.Evacuated)
	c.view = v
	c.endSilenceOfActive()
	if !hasChanged {
		return
	}
	c.viewNumber++
	if len(c.listed) != len(v.Servers) {
		c.listedChangedAt = now
	}
	c.listed, c.byDomain = c.listed[:0], map[ring.Domain][]*serverState{}
	for i := range v.Servers {
		s := &v.Servers[i]
		state := c.server(s.ID)
		if state.listedIn != c.viewNumber-1 {
			c.listedChangedAt = now
			state.dead = false // A newly listed server counts as alive until it fails to answer.
		}
		if state.incarnation != s.Incarnation {
			// Orders to the earlier process may be executed by this one.
			next := state.observations + 1
			*state = serverState{incarnation: s.Incarnation, entry: s, unsettled: state.unsettled, replicas: state.replicas, observations: next, firstObservation: next}
		}
		state.listedIn = c.viewNumber
		c.listed = append(c.listed, state)
		c.byDomain[s.Domain] = append(c.byDomain[s.Domain], state)
		if s.Membership.Group != "" && s.Membership.Epoch <= c.termEpoch {
			c.isFirst = false
		}
		state.recordJoin(s.Membership.Group, s.Membership.Epoch)
		state.entry, state.evacuated = s, v.Evacuated[s.Zone]
		if isReady := s.Membership.State == ring.MemberReady || s.Membership.State == ring.MemberOpen; isReady && s.Model != "" {
			state.loadedModel = s.Model
		}
		if now.After(state.loadingUntil) || s.HasStaged(state.loadingModel) {
			state.loadingModel = ""
		}
		c.epoch = max(c.epoch, s.Membership.Epoch)
	}
	c.domains = slices.Sorted(maps.Keys(c.byDomain))
}

// isSameSlice reports whether two slices have the same elements in memory. Servers of a
// view never change.
func isSameSlice(a, b []ring.Server) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// recordInspection updates a server's state by the result of an inspection, and
// decides whether the server counts as dead. The head of an active replica does not
// count as dead when an inspection is unanswered.
func (c *Composer) recordInspection(e Inspected, now time.Time) {
	s := c.server(e.ID)
	s.isInspecting = false
	if e.Inconclusive {
		return
	}
	if e.Answered {
		s.misses, s.dead, s.leaving = 0, false, e.Leaving
		if e.Server.Address != "" {
			s.slow = e.Server.Slowdown >= c.options.MinSlowdown
		}
		if e.Server.Incarnation != "" && e.Server.Incarnation != s.incarnation {
			// Another process now listens at the address.
			s.dead = true
			return
		}
		if e.Server.Address != "" { // Otherwise only a peer got the report.
			s.recordReport(e.Server)
		}
		return
	}
	s.recordMiss(c.options.ReinspectInterval, now)
	if c.isActiveHead(e.ID) {
		// The head still serves: it closed its listener, or only this node cannot reach it.
		return
	}
	if e.Refused || c.isSilentTooLong(s, now) {
		if !s.dead {
			c.addDecision(Decision{What: "server considered dead", VM: e.ID, Took: now.Sub(s.silentSince)})
		}
		s.dead = true
	}
}

// recordOrderEnd records the outcome of a server's last order: that a member has left
// its replica or will not join it. If the outcome is unknown, it adds an inspection
// of the server.
func (c *Composer) recordOrderEnd(e OrderEnded, now time.Time) {
	s := c.server(e.ID)
	if s.isOfEarlierProcess(e) {
		return // This process may still execute the order.
	}
	if e.Outcome != OutcomeUnknown && s.unsettled[e.Order.Epoch] > 0 && isStarting(e.Order.Kind) {
		s.unsettled[e.Order.Epoch]--
	}
	if e.Outcome == OutcomeNotSent {
		s.recordNotSent(e.Order)
		return
	}
	if e.Order.Kind == ring.OrderJoin && e.Outcome == OutcomeDone {
		s.recordJoin(e.Order.Group, e.Order.Epoch)
	}
	if e.Outcome == OutcomeDone {
		s.recordDone(e)
	}
	if e.Order.HasExpected && e.Outcome == OutcomeRefused {
		// The server has accepted another order since it was last seen. Its report may lag
		// behind that order, so only the first refusal is followed up at once.
		s.forgetSeen()
		s.seenOrders = 0
		if now.After(s.refusedAt.Add(c.options.OrderRetry)) {
			s.inspectedAt, s.lastOrderAt = time.Time{}, time.Time{}
		}
		s.refusedAt = now
		c.addInspection(e.ID, now)
		return
	}
	if s.lastOrderEpoch != e.Order.Epoch || s.lastOrderKind != e.Order.Kind {
		return
	}
	r, known := c.replicas[e.Order.Epoch]
	switch {
	case e.Outcome == OutcomeDone:
		if e.Order.Kind == ring.OrderLeave {
			c.recordLeft(e.ID, e.Order.Epoch, now)
		}
		if known && e.Order.Kind == ring.OrderLeave {
			r.isReleased = true
			if r.isAdopted && !s.hasSeen {
				c.addNextInspection(e.ID, now)
			}
		}
	case e.Outcome == OutcomeUnknown:
		c.addInspection(e.ID, now)
	case e.Order.Kind == ring.OrderLeave:
		c.recordLeft(e.ID, e.Order.Epoch, now) // The server refuses because it is not in the replica.
	case known && e.Order.Kind == ring.OrderJoin:
		// The member will not join: it has seen a larger epoch or refuses the order.
		r.isJoinRefused = true
	}
}

// reconcile adopts the replicas of earlier controllers, checks every replica against
// the current view, gives the orders of its phase and moves it to the next phase when
// its servers have followed them. Then it forms new replicas from free servers and
// gives the remaining spares (servers without a replica) models to load.
func (c *Composer) reconcile(now time.Time) {
	if len(c.view.Service.Models) == 0 {
		return
	}
	c.adoptReplicas(now)
	c.updateResting(now)
	c.reinspectDeadAndSlow(now)
	for _, r := range c.replicasByEpoch() {
		c.advanceReplica(r, now)
	}
	if !c.view.HasTraffic && now.Before(c.listedChangedAt.Add(c.options.SettleTime)) {
		return // More servers may register; planning for the first few could leave the others without a replica.
	}
	c.orderFormerMembersToLeave(now)
	c.updateMissing(now)
	free := c.formReplicas(now)
	c.tradeReplicas(free, now)
	c.assignStandbys(free, now)
	c.reportInventory(now)
}

// reinspectDeadAndSlow inspects the listed servers that are considered dead or slow
// every ReinspectInterval. They may only have been unreachable, or may have
// recovered.
func (c *Composer) reinspectDeadAndSlow(now time.Time) {
	for _, state := range c.listed {
		if (state.dead || state.slow) && now.After(state.inspectedAt.Add(c.options.ReinspectInterval)) {
			c.addInspection(state.entry.ID, now)
		}
	}
}

// addDecision adds a decision, which the caller of Step logs, to the actions that the
// current call of Step returns.
func (c *Composer) addDecision(d Decision) { c.actions = append(c.actions, d) }

// addOrder adds an order to a server to the actions that the current call of Step
// returns. It does nothing if the same order was the server's last one and was sent
// within OrderRetry. An order to join is refused by a server that an earlier, late order
// has brought back into a replica whose head may be open. An order to leave is refused
// if the state that was seen is outdated, so that it tells the state afterwards.
func (c *Composer) addOrder(id ring.VM, o ring.ReplicaOrder, now time.Time) {
	s := c.server(id)
	if s.lastOrderEpoch == o.Epoch && s.lastOrderKind == o.Kind && now.Before(s.lastOrderAt.Add(c.options.OrderRetry)) {
		return
	}
	leavesSeen := o.Kind == ring.OrderLeave && s.hasSeen && s.seenMembership.Epoch == o.Epoch
	if leavesSeen || (o.Kind == ring.OrderJoin && c.mayRejoin(s)) {
		o.Expected, o.HasExpected = s.seenOrders, true
	}
	if isStarting(o.Kind) {
		if s.unsettled == nil {
			s.unsettled = map[ring.Epoch]int{}
		}
		s.unsettled[o.Epoch]++
	}
	s.lastOrderEpoch, s.lastOrderKind, s.lastOrderAt = o.Epoch, o.Kind, now
	c.actions = append(c.actions, SendOrder{ID: id, Address: s.entry.Address, Order: o, Observation: s.observations})
}

// isStarting reports whether orders of the kind are those that make a server the open
// head of a replica.
func isStarting(k ring.OrderKind) bool { return k == ring.OrderJoin || k == ring.OrderOpen }

// addInspection adds an inspection of a server to the actions that the current call
// of Step returns. It does nothing if an inspection of the server is running or began
// within InspectInterval.
func (c *Composer) addInspection(id ring.VM, now time.Time) {
	s := c.server(id)
	isRunning := s.isInspecting && now.Before(s.inspectedAt.Add(c.options.ReinspectInterval)) // The result may be lost.
	if s.entry.Address == "" || isRunning || now.Before(s.inspectedAt.Add(c.options.InspectInterval)) {
		return
	}
	s.isInspecting = true
	s.inspectedAt = now
	c.actions = append(c.actions, Inspect{ID: id, Address: s.entry.Address, IsHead: c.isHead(id), WithHealth: !c.isListed(id) && !c.view.Evacuated[s.entry.Zone]})
}

// addNextInspection adds an inspection although one may have begun within
// InspectInterval, as an earlier one does not show what has just happened.
func (c *Composer) addNextInspection(id ring.VM, now time.Time) {
	c.server(id).inspectedAt = time.Time{}
	c.addInspection(id, now)
}

// IsAbandoned reports whether the controller no longer uses the replica: it is being
// released or has ended. Nodes must not send requests to it, although its head's
// registry entry may still say that it is open.
func (c *Composer) IsAbandoned(e ring.Epoch) bool {
	if r, known := c.replicas[e]; known {
		return r.phase == phaseReleasing
	}
	_, ended := c.ended[e]
	return ended
}

// modelByName returns the service's declared model with the name, or false if there
// is none.
func (c *Composer) modelByName(name ring.Model) (ring.ReplicaModel, bool) {
	for _, m := range c.view.Service.Models {
		if m.Name == name {
			return m, true
		}
	}
	return ring.ReplicaModel{}, false
}
