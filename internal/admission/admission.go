// Package admission decides at one node which requests are sent to the replicas of a model
// now, which wait and which are refused, so that all nodes together send no more than the
// replicas serve within the latency targets.
//
// Terms:
//
//   - Capacity of a model: how many requests its replicas may run at once so that requests
//     meet their latency target.
//   - Share of a node: an equal part of the capacity, which the node may always use.
//   - Bound of a node: how many requests it may have at the replicas now. It is at least
//     its share, and more while the capacity is not used up; see bound.
//   - Assigned slots: the slots that make up a node's share; those of all nodes cover each
//     replica exactly; see assignedSlots.
//   - Pressure: a request in time has recently found no room at this node.
//   - Excess: what a workspace sends beyond one and a half times its usual rate.
//
// Invariants:
//
//   - While all nodes know the same replicas and number of nodes, the shares of all nodes
//     add up to the capacity.
//   - A node below its share is not blocked by what others send.
//   - Late requests are sent only in what those in time leave, in the order of their arrival.
//     They wait for it while they may expect to get it, and are refused at once otherwise.
//   - Less urgent requests are refused for others only while the capacity is used up, a surge
//     comes, or the loads of the other nodes are not known.
//   - Requests that continue a stream, or follow the failure of a server, do not wait for
//     room within the bound, but count towards it.
//
// All decisions depend only on calls of the methods, their times and the seed.
package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/fleet"
)

// Request describes a request for a replica.
type Request struct {
	Model     ring.Model
	Workspace ring.Workspace
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// StartBy is until when the request may wait: to meet its latency target or, if it is
	// late, to leave time for the response; see LateWait.
	StartBy time.Time
	// IsLate is set if the request can no longer meet its latency target.
	IsLate bool
	// IsContinued is set if the request was sent before: a server has failed it, or its
	// caller has a part of the stream.
	IsContinued bool
}

// Limit limits the replicas that may be selected for a request: those with fewer than
// MaxLoad requests and at most MaxPrefill of pending prefill.
type Limit struct {
	MaxLoad    int
	MaxPrefill time.Duration
	// FixedPart is the part of an engine's pass with MaxLoad requests, from 0 to 1, that is the
	// same with fewer.
	FixedPart float64
	// RequestTime is how long the average request takes at a replica, or 0 if it is not known.
	RequestTime time.Duration
}

// View is what a node knows when it decides on a request.
type View struct {
	// Candidates are the replicas of the model that may get the request, in an order on
	// which all nodes agree.
	Candidates []fleet.Candidate
	Limit      Limit
	// Nodes is the number of nodes, and Index this node's place among them, from 0.
	Nodes, Index int
	// KnowsLoads is set if the loads include those of other nodes.
	KnowsLoads bool
}

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	// Wait: there is no room yet.
	Wait Verdict = iota
	// Send: the request may be sent to a replica.
	Send
	// Refuse: the request will not be sent.
	Refuse
)

// Reason says why a request waits or is refused.
type Reason string

// The reasons.
const (
	// ReasonBound: this node has as many requests at the replicas as it may have now.
	ReasonBound Reason = "bound"
	// ReasonReplicas: no replica has room for the request.
	ReasonReplicas Reason = "replicas"
	// ReasonOrder: a request that waits at this node goes first.
	ReasonOrder Reason = "order"
	// ReasonUrgency: more urgent requests, or workspaces within their usual rate, need the room.
	ReasonUrgency Reason = "urgency"
	// ReasonLate: the request is late, and those in time need the room.
	ReasonLate Reason = "late"
)

// Text returns the reason as a sentence without its full stop.
func (r Reason) Text() string {
	switch r {
	case ReasonBound:
		return "this node has as many requests at the replicas as it may have now"
	case ReasonOrder:
		return "more urgent requests wait at this node"
	case ReasonUrgency:
		return "more urgent requests, or other workspaces, need the room"
	case ReasonLate:
		return "the request can no longer be in time, and others need the room"
	default:
		return "no replica has room"
	}
}

// Decision is the verdict on a request, and its reason if it is not sent.
type Decision struct {
	Verdict Verdict
	Reason  Reason
}

// Found returns the decision on an admitted request for which a replica was found or not.
func Found(ok bool) Decision {
	if ok {
		return Decision{Verdict: Send}
	}
	return Decision{Verdict: Wait, Reason: ReasonReplicas}
}

// Ticket is a request from its arrival until it is sent or given up.
type Ticket struct {
	request Request
	// rank is a random number from 0 to 1, and order the place of the request's class.
	rank  float64
	order int
	// sequence is the order of arrival.
	sequence uint64
	// waitedAt is when the request was last told to wait for room within the bound.
	waitedAt time.Time
	// isHopeless is set if more late requests wait than will be sent in time for it.
	isHopeless bool
}

// Config configures a Controller.
type Config struct {
	// Seed determines the random choices.
	Seed uint64
}

// Controller admits the requests of one node. It is safe for concurrent use.
type Controller struct {
	mu       sync.Mutex
	random   *rand.Rand
	models   map[ring.Model]*model
	sequence uint64
}

// NewController returns a Controller.
func NewController(c Config) *Controller {
	return &Controller{random: rand.New(rand.NewPCG(c.Seed, 0)), models: map[ring.Model]*model{}}
}

// model is the state of one model at this node.
type model struct {
	bound   bound
	demand  demand
	waiting []*Ticket
	late    lateQueue
	// pressedAt is when a request in time last found no room.
	pressedAt time.Time
	// correction is the fraction of the configured capacity that meets the latency target,
	// by the measured times to the first event.
	correction float64
	probe      probe
}

// modelOf returns the state of a model; mu is held.
func (c *Controller) modelOf(name ring.Model) *model {
	m, ok := c.models[name]
	if !ok {
		m = &model{correction: 1}
		c.models[name] = m
	}
	return m
}

// pressureTime is how long after a request in time has found no room the model counts as
// under pressure. It spans a few requests of a node in a large system.
const pressureTime = 500 * time.Millisecond

// orderTime is how long after a request in time has found no room the less urgent ones give
// way. While they do, the others find room more often.
const orderTime = 2 * time.Second

// isPressed reports whether the model is under pressure.
func (m *model) isPressed(now time.Time) bool {
	return !m.pressedAt.IsZero() && now.Sub(m.pressedAt) < pressureTime
}

// Arrive counts a request and returns its ticket. The caller must close it.
func (c *Controller) Arrive(r Request, now time.Time) *Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.modelOf(r.Model)
	c.sequence++
	t := &Ticket{request: r, rank: c.random.Float64(), sequence: c.sequence}
	t.order = orderOf(r.Priority, !r.IsLate && !r.IsContinued && m.demand.isExcess(r.Workspace, c.random.Float64(), now))
	switch {
	case r.IsContinued:
	case r.IsLate:
		t.isHopeless = !m.late.push(t, m.lateRate(now), now)
	default:
		m.demand.arrive(t.order, now)
		m.waiting = append(m.waiting, t)
	}
	return t
}

// Close ends a ticket. wasSent is set if the request was sent.
func (c *Controller) Close(t *Ticket, wasSent bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.modelOf(t.request.Model)
	m.late.remove(t, wasSent, now)
	for i, w := range m.waiting {
		if w == t {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			if wasSent {
				m.demand.sent.add(now)
			}
			return
		}
	}
}

// Decide decides on a request now, and returns the replica if it is sent. The caller must
// count the request there before the next decision.
func (c *Controller) Decide(t *Ticket, v View, now time.Time) (fleet.Candidate, Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.modelOf(t.request.Model)
	load := m.loadOf(v, now)
	if decision := m.admit(t, load, v, now); decision.Verdict != Send {
		return fleet.Candidate{}, decision
	}
	chosen, ok := c.choose(t, load, v)
	if !ok && !t.request.IsLate && !t.request.IsContinued && len(v.Candidates) > 0 {
		m.pressedAt = now
	}
	return chosen, Found(ok)
}

// Preview returns what Decide would decide on a request if it arrived now. It counts nothing.
func (c *Controller) Preview(r Request, v View, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := model{correction: 1}
	if current, ok := c.models[r.Model]; ok {
		m = *current
	}
	load := m.loadOf(v, now)
	t := &Ticket{request: r, rank: medianRank, order: orderOf(r.Priority, false)}
	if decision := m.admit(t, load, v, now); decision.Verdict != Send {
		return decision
	}
	_, ok := c.choose(t, load, v)
	return Found(ok)
}

// medianRank is the rank of a request of which nothing is known.
const medianRank = 0.5

// Waiting returns how many requests of a model wait at this node.
func (c *Controller) Waiting(name ring.Model) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.modelOf(name).waiting)
}

// Admit is Decide for a caller that selects the replica itself.
func (c *Controller) Admit(t *Ticket, v View, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.modelOf(t.request.Model)
	return m.admit(t, m.loadOf(v, now), v, now)
}

// Choose selects one of the view's replicas for an admitted request, or returns false if
// none has room.
func (c *Controller) Choose(t *Ticket, v View) (fleet.Candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.choose(t, load{}, v)
}

// admit decides whether a request may be sent if a replica has room for it.
func (m *model) admit(t *Ticket, load load, v View, now time.Time) Decision {
	if t.request.IsContinued || len(v.Candidates) == 0 {
		return Decision{Verdict: Send}
	}
	if t.request.IsLate {
		return m.admitLate(t, load, now)
	}
	if load.isFull && now.Sub(m.pressedAt) < orderTime && t.rank >= m.demand.chance(t.order) {
		return Decision{Refuse, ReasonUrgency}
	}
	isFirst := m.isFirst(t, now)
	if load.room(t.rank) < 1 && !(isFirst && m.bound.takeExtra(load)) {
		m.pressedAt, t.waitedAt = now, now
		return Decision{Wait, ReasonBound}
	}
	if !isFirst {
		return Decision{Wait, ReasonOrder}
	}
	m.bound.extra = min(m.bound.extra+extraFraction, maxExtra)
	return Decision{Verdict: Send}
}

const (
	// correctionStep is by how much a late first event lowers the correction, and
	// correctionRecovery by how much one in time raises it again. They balance where a
	// tenth is late.
	correctionStep     = 0.018
	correctionRecovery = 0.002
	minCorrection      = 0.7
)

// ObserveFirstEvent adjusts the capacity to whether the first event of a request that was
// sent in time came in time.
func (c *Controller) ObserveFirstEvent(name ring.Model, isInTime bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.modelOf(name)
	m.probe.observe(isInTime)
	if isInTime {
		m.correction = min(m.correction+correctionRecovery, 1)
	} else {
		m.correction = max(m.correction-correctionStep, minCorrection)
	}
}
