// Package limit holds a workspace to its limit of running requests over all
// nodes. It is a pure core: Share is a function of what the nodes told each
// other.
//
// Terms:
//
//   - Demand: a workspace's running and queued requests at one node.
//
//   - Share: how many of them the node may run.
//
//   - Floor: the share that a node has without any demand, so that a first
//     request need not wait for an exchange.
//
//   - Even part: the limit divided by the number of nodes.
//
// Invariants: with equal knowledge the shares of all nodes add up to at most
// the limit plus one request a node; a node that hears no peer keeps to its
// even part; a node goes beyond its even part only after it has heard every
// live peer since its own demand began, so that bursts that begin everywhere
// at once do not each take the whole limit.
package limit

import "math"

// floorFraction is the part of the limit that is split evenly as floors.
const floorFraction = 0.25

// Demand is what one node asks for a workspace.
type Demand struct {
	// Running and Queued count requests.
	Running int
	Queued  int
}

func (d Demand) total() int { return d.Running + d.Queued }

// View is what one node knows when it decides. Peers holds the demand that
// each live peer last told; Known is the number of nodes, itself with them,
// that should be there.
type View struct {
	Limit     int
	Own       Demand
	Peers     []Demand
	Nodes     int
	Confirmed bool
}

// Share returns how many requests the node may run.
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

// shareByDemand splits the limit into floors and parts by demand.
func shareByDemand(v View, nodes int) int {
	all := v.Own.total()
	for _, p := range v.Peers {
		all += p.total()
	}
	floor := float64(v.Limit) * floorFraction / float64(nodes)
	if all == 0 {
		return max(1, int(floor))
	}
	rest := float64(v.Limit) * (1 - floorFraction)
	// Silent nodes may still run their even part; it is not given away.
	missing := nodes - 1 - len(v.Peers)
	rest -= float64(missing) * rest / float64(nodes)
	return max(1, int(math.Round(floor+rest*float64(v.Own.total())/float64(all))))
}

// Admits reports whether the node may start one more request of the
// workspace.
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
