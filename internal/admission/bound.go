package admission

import (
	"math"
	"time"

	"eelgrassring.dev/internal/fleet"
)

const (
	// DirectNodes is the largest number of nodes that tell one another their loads
	// directly, and announce long prompts. With more, loads are totals of the last summary.
	DirectNodes = 12
	// snapshotInterval is the least time between two snapshots. The totals change with each
	// digest of a peer, or with each summary.
	snapshotInterval = 200 * time.Millisecond
	// staleAfter is the age of a snapshot from which a new one is taken although the totals
	// are the same.
	staleAfter = 2500 * time.Millisecond
	// freeUtilization is the used part of the capacity below which a node has no bound: a
	// burst cannot use up the rest before the next summary.
	freeUtilization = 0.5
	// directFreeUtilization is the same with up to DirectNodes nodes, which know newer loads.
	directFreeUtilization = 0.8
	// extraFraction is the part of a node's requests that may exceed its bound while the
	// capacity is not used up: a node has more requests than usual by chance, and not all
	// nodes have at the same time. maxExtra is how many may at once. restFactor is by how
	// much a node may use more than its share of the unused capacity, for the same reason.
	extraFraction = 0.25
	maxExtra      = 2
	restFactor    = 2.0
	// partTime is the time constant of a node's part of all requests. equalPart is the
	// fraction of the capacity that is divided equally whatever the nodes' parts are.
	partTime  = 10 * time.Second
	equalPart = 0.3
	// yieldFactor is the part of its requests that a node above its share keeps from one
	// snapshot to the next while the capacity is used up, so that nodes below theirs find room.
	yieldFactor = 0.9
	// usedUp is the used part from which the capacity counts as used up with up to
	// DirectNodes nodes.
	usedUp = 0.95
	// fullUtilization is the used part from which less urgent requests give way, with more
	// than DirectNodes nodes. With fewer it is directFreeUtilization.
	fullUtilization = 0.9
)

// bound holds the snapshots from which a node's bound is derived.
type bound struct {
	// others is the number of requests of the other nodes at the last snapshot, and own and
	// previous those of this node at the last and at the one before. The totals of a
	// snapshot were counted about when the one before was taken.
	others        float64
	own, previous float64
	at            time.Time
	// part is this node's part of all requests, from 0 to 1, smoothed over times without
	// pressure. It is 0 before the first snapshot.
	part float64
	// extra is how many requests may exceed the bound.
	extra float64
}

const (
	// probeStep is the part of its share by which a node raises its bound with each first
	// event in time while it does not know the loads of the others, up to maxProbe more than
	// the share. A late one reduces this by probeBackoff.
	probeStep    = 0.1
	probeBackoff = 0.5
	maxProbe     = 1.5
)

// probe raises the bound of a node that does not know the loads of the others, while its
// requests are served in time: nodes whose requests count in the shares may be lost.
type probe struct {
	isOn bool
	// extra is the excess over the share as a part of it.
	extra float64
}

// set turns the probe on or off.
func (p *probe) set(isOn bool) {
	if p.isOn != isOn {
		*p = probe{isOn: isOn}
	}
}

// observe adjusts the bound to whether a first event came in time.
func (p *probe) observe(isInTime bool) {
	switch {
	case !p.isOn:
	case isInTime:
		p.extra = min(p.extra+probeStep, maxProbe)
	default:
		p.extra *= probeBackoff
	}
}

// load is a node's view of a model's load.
type load struct {
	own, others, capacity, share, max float64
	// isSurge is set if more requests come to this node than chance lets expect, so likely
	// to the others too.
	isSurge bool
	// isFull is set if the capacity is used up, or may be before the next totals show it.
	isFull bool
}

// room returns how many more requests the node may have. rank, from 0 to 1, decides whether
// a part of a request counts as one.
func (l load) room(rank float64) float64 { return math.Floor(l.max + rank - l.own) }

// utilization returns the used part of the capacity.
func (l load) utilization() float64 { return (l.own + l.others) / max(l.capacity, 1) }

// takeExtra takes one of the requests that may exceed the bound, or returns false.
func (b *bound) takeExtra(l load) bool {
	if b.extra < 1 || l.isSurge || l.utilization() >= 1 {
		return false
	}
	b.extra--
	return true
}

// coldRequestTime is how long a request at a cold replica is taken to run: with its rate, that
// tells how many run there at once.
const coldRequestTime = time.Second

// capacityOf returns how many requests a replica may run at once.
func capacityOf(c fleet.Candidate, limit Limit) float64 {
	capacity := float64(max(limit.MaxLoad, 1))
	if c.ColdPerSecond > 0 {
		capacity = min(capacity, c.ColdPerSecond*coldRequestTime.Seconds())
	}
	return capacity
}

// loadOf takes a snapshot if one is due, and returns the load with the node's bound.
func (m *model) loadOf(v View, now time.Time) load {
	out := load{}
	for _, c := range v.Candidates {
		out.own += float64(c.Own)
		out.others += float64(c.Load - c.Own)
		out.capacity += capacityOf(c, v.Limit)
	}
	out.isSurge = m.demand.isSurge(now)
	out.capacity = max(out.capacity*m.correction, 1)
	nodes := float64(max(v.Nodes, 1))
	b := &m.bound
	if age := now.Sub(b.at); age >= snapshotInterval && (out.others != b.others || age >= staleAfter) {
		if total := out.own + out.others; b.part == 0 {
			b.part = 1 / nodes
		} else if !m.isPressed(now) && total >= nodes {
			weight := min(age.Seconds()/partTime.Seconds(), 1)
			b.part += weight * (out.own/total - b.part)
		}
		b.previous, b.own, b.others, b.at = b.own, out.own, out.others, now
	}
	out.share = out.capacity / nodes
	if v.Nodes > DirectNodes && b.part > 0 {
		out.share = out.capacity * (equalPart/nodes + (1-equalPart)*b.part)
	}
	out.max = out.limit(b.previous, nodes)
	m.probe.set(v.Nodes > 1 && !v.KnowsLoads)
	if m.probe.isOn {
		out.max = out.share * (1 + m.probe.extra)
	}
	full := fullUtilization
	if v.Nodes <= DirectNodes {
		full = directFreeUtilization
	}
	out.isFull = out.isSurge || !v.KnowsLoads || out.utilization() >= full
	return out
}

// limit returns how many requests the node may have, given those that it had when the
// totals were counted.
func (l load) limit(previous, nodes float64) float64 {
	used := (previous + l.others) / l.capacity
	switch {
	case nodes <= 1 || used <= freeUtilization:
		return math.Inf(1)
	case nodes <= DirectNodes && used <= directFreeUtilization:
		return math.Inf(1)
	case nodes <= DirectNodes && used >= usedUp:
		return max(l.share, previous*yieldFactor)
	case used >= 1:
		return max(l.share, previous/used)
	}
	factor := restFactor
	if l.isSurge || nodes <= DirectNodes {
		factor = 1
	}
	return max(l.share, previous+factor*l.capacity*(1-used)*max(1/nodes, l.share/l.capacity))
}
