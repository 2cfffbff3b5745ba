// Package limit enforces a workspace's limit of running requests across all
// nodes, and orders the requests that wait at one node. It does no I/O: Share is
// a pure function of the demand that the nodes reported to each other.
//
// Terms:
//
//   - Demand: a workspace's running and queued requests at one node.
//   - Share: how many requests of the workspace the node may run.
//   - Floor: the share of a node without demand, so that its first request
//     need not wait until the nodes have exchanged their demand.
//   - Even part: the limit divided by the number of nodes.
//
// Invariants: when all nodes know the same demand, their shares add up to at
// most the limit plus one request per node; a node without live peers stays
// within its even part; a node exceeds its even part only after every live peer
// has reported since its own demand began, so that bursts that begin at all nodes
// at once do not each take the whole limit.
package limit

import "math"

// floorFraction is the fraction of the limit that is divided evenly into floors.
const floorFraction = 0.25

// Demand is the number of running and queued requests that one node has for a
// workspace.
type Demand struct {
	Running int
	Queued  int
}

// total returns the running and queued requests together.
func (d Demand) total() int { return d.Running + d.Queued }

// View is what one node knows about a workspace's limit and the demand for it.
type View struct {
	// Limit is how many requests of the workspace may run on all nodes together.
	Limit int
	// Own is the demand at this node.
	Own Demand
	// Peers holds the demand that each live peer last reported.
	Peers []Demand
	// Nodes is the number of nodes that should be running, this one included.
	Nodes int
	// Confirmed is set when every live peer has reported since this node's demand
	// began.
	Confirmed bool
}

// Share returns how many requests of the workspace the node may run.
func Share(v View) int {
	nodes := max(v.Nodes, len(v.Peers)+1, 1)
	even := max(1, v.Limit/nodes)
	if len(v.Peers) == 0 && nodes > 1 {
		return even
	}
	share := shareByDemand(v, nodes)
	if !v.Confirmed {
		return min(share, even)
	}
	return share
}

// shareByDemand returns the node's floor plus its part of the rest of the limit in
// proportion to its demand.
func shareByDemand(v View, nodes int) int {
	demand := v.Own.total()
	for _, p := range v.Peers {
		demand += p.total()
	}
	floor := float64(v.Limit) * floorFraction / float64(nodes)
	if demand == 0 {
		return max(1, int(floor))
	}
	remaining := float64(v.Limit) * (1 - floorFraction)
	// Nodes that do not report may run up to their even part, so that part is
	// withheld.
	missing := nodes - 1 - len(v.Peers)
	remaining -= float64(missing) * remaining / float64(nodes)
	return max(1, int(math.Round(floor+remaining*float64(v.Own.total())/float64(demand))))
}

// Admits reports whether the node may start another request of the workspace. It may if
// the node runs fewer requests than its share and all nodes together run fewer than the
// limit.
func Admits(v View) bool {
	if v.Own.Running >= Share(v) {
		return false
	}
	running := v.Own.Running
	for _, p := range v.Peers {
		running += p.Running
	}
	return running < v.Limit
}
