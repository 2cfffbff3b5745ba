package agent

import (
	"maps"
	"slices"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/digest"
)

// maxPinned bounds the replicas that one message names as those with pinned requests.
const maxPinned = 16

// newPinned returns what a message says of the replicas with pinned requests: nothing if there
// are too many, so that all count as such.
func newPinned(epochs []ring.Epoch) *digest.Pinned {
	if len(epochs) > maxPinned {
		return nil
	}
	out := &digest.Pinned{}
	for _, e := range epochs {
		out.Replicas = append(out.Replicas, uint64(e))
	}
	return out
}

// pinnedInTree returns the replicas at which this node, or one below it in the tree of nodes, has
// requests that end with the replica, or may have: those of a child that names none.
func (a *Agent) pinnedInTree(now time.Time) []ring.Epoch {
	out := map[ring.Epoch]bool{}
	for _, e := range a.fleet.LocalPinned(now) {
		out[e] = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.tree.children {
		if c.pinned != nil {
			for _, e := range c.pinned.Replicas {
				out[ring.Epoch(e)] = true
			}
			continue
		}
		for _, s := range c.report.Replicas {
			if s.Load > 0 {
				out[ring.Epoch(s.Epoch)] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(out))
}
