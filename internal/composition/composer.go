package composition

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
)

// Options are the time limits of the decisions.
type Options struct {
	// OrderRetry is when an unanswered order is sent again.
	OrderRetry time.Duration
	// JoinSlack is how long a join may take beyond the time that its load
	// takes before the replica is given up.
	JoinSlack time.Duration
	// CloseTimeout is how long a head may finish its requests when a member
	// leaves.
	CloseTimeout time.Duration
	// StallTimeout is how long a replica may stand still though all its members
	// answer.
	StallTimeout time.Duration
	// StallInspectTime is how long its members are asked before that: the word that it
	// stands still may come late. Two questions fit into it.
	StallInspectTime time.Duration
	// InspectInterval is the pause between two questions to the same server, Misses
	// how many unanswered ones make it dead.
	InspectInterval time.Duration
	// ReinspectInterval is the pause between two questions to a listed server that was
	// found dead or slow.
	ReinspectInterval time.Duration
	// SlowPace is the pace from which a server counts as slow.
	SlowPace  float64
	MaxMisses int
	// SettleTime is how long the set of servers must be the same before the first
	// replicas are formed.
	SettleTime time.Duration
	// EntryGrace is how long an entry that lapsed may take to come back, Stall how
	// long a head that lost a member may go on.
	EntryGrace   time.Duration
	BreakTimeout time.Duration
	// ReserveTime is how long the members of a lost replica wait for one that comes in
	// the place of the missing.
	ReserveTime time.Duration
	// MinSpares is how many spares a domain keeps before it forms a second
	// replica of a model.
	MinSpares int
}

// DefaultOptions returns the limits used in production.
func DefaultOptions() Options {
	return Options{
		OrderRetry:        500 * time.Millisecond,
		JoinSlack:         3 * time.Second,
		CloseTimeout:      1500 * time.Millisecond,
		StallTimeout:      2 * time.Second,
		StallInspectTime:  700 * time.Millisecond,
		InspectInterval:   250 * time.Millisecond,
		ReinspectInterval: time.Second,
		SlowPace:          2,
		MaxMisses:         2,
		SettleTime:        400 * time.Millisecond,
		EntryGrace:        2500 * time.Millisecond,
		BreakTimeout:      6500 * time.Millisecond,
		ReserveTime:       15 * time.Second,
		MinSpares:         1,
	}
}

// Config configures a Composer. Term numbers the controller's term.
type Config struct {
	Options Options
	Term    ring.Revision
}

// epochsPerTerm is how many epochs one term can use.
const epochsPerTerm = 1 << 20

// Composer is the decision core. The zero value is not usable; call New.
type Composer struct {
	options Options
	epoch   ring.Epoch
	view    View
	listed  map[ring.VM]ring.Server
	// listedAt is when the set of listed servers last changed.
	listedAt time.Time
	replicas map[ring.Epoch]*replica
	// dropped are replicas that this composer knows to be given up; entries of
	// their members may still name them.
	dropped map[ring.Epoch]bool
	// incomplete are replicas of another controller with members that are not
	// listed, by when they were first seen so.
	incomplete map[ring.Epoch]time.Time
	servers    map[ring.VM]*serverState
	// missingSince tells since when domains lack a replica of a model.
	missingSince map[domainModel]time.Time
	loads        loadLimiter
	// inventoryAt is when the last census was taken.
	inventoryAt time.Time
	actions     []Action
}

// New returns a composer for one term of the controller.
func New(c Config) *Composer {
	return &Composer{
		options: c.Options, epoch: ring.Epoch(c.Term) * epochsPerTerm,
		listed: map[ring.VM]ring.Server{}, replicas: map[ring.Epoch]*replica{}, dropped: map[ring.Epoch]bool{}, incomplete: map[ring.Epoch]time.Time{}, missingSince: map[domainModel]time.Time{}, servers: map[ring.VM]*serverState{},
	}
}

// serverState is what the composer remembers of a server.
type serverState struct {
	incarnation string
	// entry is the server's entry as it was last listed.
	entry        ring.Server
	misses       int
	inspectedAt  time.Time
	isInspecting bool
	dead         bool
	// slow is set while the server says that it is slower than it should be.
	slow bool
	// leaving is set when the server said that it is about to end.
	leaving bool
	// orders are those that wait for their effect.
	orderEpoch ring.Epoch
	orderKind  ring.OrderKind
	orderedAt  time.Time
	// inUseUntil is until when a head that is not listed may count on the
	// server.
	inUseUntil time.Time
	// loaded is the model of the server's last replica: joining one of it again
	// takes a moment.
	loaded ring.Model
	// loading is the model whose load was ordered and not yet seen done.
	loading   ring.Model
	loadUntil time.Time
}

// Step takes one event and returns the actions that follow from it.
func (c *Composer) Step(e Event, now time.Time) []Action {
	c.actions = nil
	switch e := e.(type) {
	case ViewUpdated:
		c.updateView(e.View, now)
		c.reconcile(now)
	case Inspected:
		c.recordInspection(e)
	case OrderEnded:
		c.recordOrderEnd(e, now)
	}
	return c.actions
}

func (c *Composer) server(id ring.VM) *serverState {
	s, ok := c.servers[id]
	if !ok {
		s = &serverState{}
		c.servers[id] = s
	}
	return s
}

func (c *Composer) updateView(v View, now time.Time) {
	c.view = v
	before := c.listed
	c.listed = make(map[ring.VM]ring.Server, len(v.Servers))
	if len(before) != len(v.Servers) {
		c.listedAt = now
	}
	for _, s := range v.Servers {
		if _, known := before[s.ID]; !known {
			c.listedAt = now
			c.server(s.ID).dead = false // A listed server is alive until it fails to answer.
		}
		c.listed[s.ID] = s
		state := c.server(s.ID)
		if state.incarnation != s.Incarnation {
			*state = serverState{incarnation: s.Incarnation}
		}
		state.entry = s
		if isReady := s.Place.State == ring.MemberReady || s.Place.State == ring.MemberOpen; isReady && s.Model != "" {
			state.loaded = s.Model
		}
		if now.After(state.loadUntil) || s.HasStaged(state.loading) {
			state.loading = ""
		}
		c.epoch = max(c.epoch, s.Place.Epoch)
	}
}

func (c *Composer) recordInspection(e Inspected) {
	s := c.server(e.ID)
	s.isInspecting = false
	if e.Answered {
		s.misses, s.dead, s.leaving = 0, false, e.Leaving
		s.slow = e.Server.Pace >= c.options.SlowPace
		if e.Server.Incarnation != "" && e.Server.Incarnation != s.incarnation {
			// The process at the address is another one.
			s.dead = true
		}
		return
	}
	s.misses++
	if c.isActiveHead(e.ID) {
		// It ended listening, or only this node cannot reach it; it still serves.
		return
	}
	if e.Refused || s.misses >= c.options.MaxMisses || c.isStalled(e.ID) {
		if !s.dead {
			c.logDecision(Decision{What: "server found dead", VM: e.ID})
		}
		s.dead = true
	}
}

func (c *Composer) recordOrderEnd(e OrderEnded, now time.Time) {
	s := c.server(e.ID)
	if s.orderEpoch != e.Order.Epoch || s.orderKind != e.Order.Kind {
		return
	}
	r, known := c.replicas[e.Order.Epoch]
	switch {
	case e.Outcome == OutcomeDone:
		if known && e.Order.Kind == ring.OrderLeave {
			r.isReleased = true
		}
	case e.Outcome == OutcomeUnknown:
		c.inspect(e.ID, now)
	case known && e.Order.Kind == ring.OrderJoin:
		// The member will not come: it has seen a larger epoch, or does not fit.
		r.isJoinRefused = true
	}
}

// reconcile looks at every replica, then at the servers that are free.
func (c *Composer) reconcile(now time.Time) {
	if len(c.view.Service.Models) == 0 {
		return
	}
	c.adopt(now)
	c.reinspect(now)
	for _, r := range c.replicasByEpoch() {
		c.advance(r, now)
	}
	if !c.view.HasTraffic && now.Before(c.listedAt.Add(c.options.SettleTime)) {
		return // More servers may come; a plan for few leaves the rest stranded.
	}
	c.updateMissing(now)
	c.formReplicas(now)
	c.assignStandbys(now)
	c.reportInventory(now)
}

// reinspect asks listed servers that were found dead or slow again: they may
// only have been cut off, or have recovered.
func (c *Composer) reinspect(now time.Time) {
	for _, s := range c.view.Servers {
		state := c.server(s.ID)
		if (state.dead || state.slow) && now.After(state.inspectedAt.Add(c.options.ReinspectInterval)) {
			c.inspect(s.ID, now)
		}
	}
}

// replicasByEpoch returns the replicas by epoch.
func (c *Composer) replicasByEpoch() []*replica {
	out := make([]*replica, 0, len(c.replicas))
	for _, r := range c.replicas {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].epoch < out[j].epoch })
	return out
}

func (c *Composer) logDecision(n Decision) { c.actions = append(c.actions, n) }

// send sends an order unless the same one was sent lately.
func (c *Composer) send(id ring.VM, o ring.ReplicaOrder, now time.Time) {
	s := c.server(id)
	if s.orderEpoch == o.Epoch && s.orderKind == o.Kind && now.Before(s.orderedAt.Add(c.options.OrderRetry)) {
		return
	}
	s.orderEpoch, s.orderKind, s.orderedAt = o.Epoch, o.Kind, now
	c.actions = append(c.actions, SendOrder{ID: id, Address: s.entry.Address, Order: o})
}

// inspect asks a server for its report unless it was asked lately.
func (c *Composer) inspect(id ring.VM, now time.Time) {
	s := c.server(id)
	if s.entry.Address == "" || s.isInspecting || now.Before(s.inspectedAt.Add(c.options.InspectInterval)) {
		return
	}
	s.isInspecting = true
	s.inspectedAt = now
	c.actions = append(c.actions, Inspect{ID: id, Address: s.entry.Address, IsHead: c.isHead(id), WithHealth: !c.isListed(id)})
}

// IsAbandoned reports whether the replica was given up, so that it gets no more
// requests, though its head's entry may still say that it is open.
func (c *Composer) IsAbandoned(e ring.Epoch) bool {
	if r, known := c.replicas[e]; known {
		return r.phase == phaseReleasing
	}
	return c.dropped[e]
}

func (c *Composer) isListed(id ring.VM) bool {
	_, listed := c.listed[id]
	return listed
}

// isActiveHead reports whether the server heads a replica whose streams go on.
func (c *Composer) isActiveHead(id ring.VM) bool {
	r := c.replicaOf(id)
	return r != nil && r.head().id == id && c.view.Active[r.epoch]
}

// isStalled reports whether the server is a member of a replica that stands
// still: with that one unanswered question is enough.
func (c *Composer) isStalled(id ring.VM) bool {
	r := c.replicaOf(id)
	return r != nil && c.view.Stalled[r.epoch] > 0
}

// isHead reports whether the server is the head of a replica that may be open.
func (c *Composer) isHead(id ring.VM) bool {
	r := c.replicaOf(id)
	return r != nil && r.head().id == id && r.phase != phaseForming
}

// replicaOf returns the replica that names the server, or nil; there is at most
// one, for only free servers are taken.
func (c *Composer) replicaOf(id ring.VM) *replica {
	for _, r := range c.replicas {
		if r.hasMember(id) {
			return r
		}
	}
	return nil
}

func (c *Composer) model(name ring.Model) (ring.ReplicaModel, bool) {
	for _, m := range c.view.Service.Models {
		if m.Name == name {
			return m, true
		}
	}
	return ring.ReplicaModel{}, false
}
