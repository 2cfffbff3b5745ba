package composition

import (
	"cmp"
	"maps"
	"slices"

	ring "eelgrassring.dev"
)

// replicasByEpoch returns the replicas sorted by epoch.
func (c *Composer) replicasByEpoch() []*replica {
	return slices.SortedFunc(maps.Values(c.replicas), func(a, b *replica) int { return cmp.Compare(a.epoch, b.epoch) })
}

// isListed reports whether the server has a registry entry in the current view.
func (c *Composer) isListed(id ring.VM) bool {
	state, known := c.servers[id]
	return known && c.isInView(state)
}

// isInView reports whether the server has a registry entry in the current view.
func (c *Composer) isInView(s *serverState) bool {
	return c.viewNumber > 0 && s.listedIn == c.viewNumber
}

// entryOf returns the server's registry entry in the current view, or false if it has
// none.
func (c *Composer) entryOf(id ring.VM) (ring.Server, bool) {
	if state, known := c.servers[id]; known && c.isInView(state) {
		return *state.entry, true
	}
	return ring.Server{}, false
}

// replicaOf returns the replica that the server is a member of, or nil. There is at
// most one, as replicas are formed from free servers only.
func (c *Composer) replicaOf(id ring.VM) *replica {
	if state, known := c.servers[id]; known && len(state.replicas) > 0 {
		return state.replicas[0]
	}
	return nil
}

// addReplica begins to track a replica.
func (c *Composer) addReplica(r *replica) {
	c.replicas[r.epoch] = r
	r.domain = c.server(r.head().id).entry.Domain
	c.replicaCounts[domainModel{r.domain, r.model.Name}]++
	if r.isInService() {
		c.inUseCounts[r.model.Name]++
	}
	for _, m := range r.members {
		s := c.server(m.id)
		s.replicas = append(s.replicas, r)
	}
}

// removeReplica ends the tracking of a replica.
func (c *Composer) removeReplica(r *replica) {
	delete(c.replicas, r.epoch)
	c.replicaCounts[domainModel{r.domain, r.model.Name}]--
	if r.isInService() {
		c.inUseCounts[r.model.Name]--
	}
	for _, m := range r.members {
		s := c.server(m.id)
		s.replicas = slices.DeleteFunc(s.replicas, func(other *replica) bool { return other == r })
	}
}

// isActiveHead reports whether the server is the head of an active replica, one whose
// streams had recent events.
func (c *Composer) isActiveHead(id ring.VM) bool {
	r := c.replicaOf(id)
	return r != nil && r.head().id == id && c.view.Active[r.epoch]
}

// isHead reports whether the server is the head of a replica that may be open for
// requests.
func (c *Composer) isHead(id ring.VM) bool {
	r := c.replicaOf(id)
	return r != nil && r.head().id == id && r.phase != phaseForming
}
