package placement

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// formGroup returns the commit that assigns a complete set of members to the group
// under a new epoch. Members that are alive and not leaving keep their ranks, because
// their weights are loaded already. If there are too few VMs, the commit marks the
// group broken.
func (c *Controller) formGroup(d deployment.Group, g *groupState, now time.Time) []Action {
	members := c.findMembers(d, g.record, now)
	if members == nil {
		return c.reconcileIncomplete(d, g, now)
	}
	g.incompleteSince = time.Time{}
	g.drainingSince = time.Time{}
	c.maxEpoch++
	next := Record{
		Group: d.Name, Epoch: c.maxEpoch, Phase: PhaseForming,
		Spec: c.configuration.Spec(d), Slots: d.Slots, Members: members,
	}
	take, release := diffMembers(g.record.Members, members)
	c.markOwned(take, d.Name)
	return c.commitRecord(g, Commit{Record: next, Take: take, Release: release})
}

// findMembers returns a complete set of members for the declared group d with the
// record r, or nil if no fabric domain has enough available VMs.
func (c *Controller) findMembers(d deployment.Group, r Record, now time.Time) []Member {
	if members := c.completeMembers(d, r, now); members != nil {
		return members
	}
	return c.chooseNewMembers(d, r, now)
}

// markOwned sets the group as the owner of the VMs in the controller's copy before
// the commit has ended. No other group can then take the VMs in the same call of
// reconcileAllGroups. After a refused commit the owners are read from the store
// again.
func (c *Controller) markOwned(vms []ring.VM, group ring.Group) {
	for _, vm := range vms {
		c.vmStateFor(vm).owner = group
	}
}

// completeMembers returns the usable members of the record at their ranks, and fills
// the other ranks with spares (VMs without a group) of the same fabric domain. It
// returns nil if there are too few spares or no member is usable.
func (c *Controller) completeMembers(d deployment.Group, r Record, now time.Time) []Member {
	if len(r.Members) != d.Size {
		return nil
	}
	var domain ring.Domain
	kept := 0
	out := make([]Member, d.Size)
	for i, m := range r.Members {
		vm, declared := c.configuration.VM(m.VM)
		if !declared || !c.isUsable(m.VM, now) || (d.Domain != "" && vm.Domain != d.Domain) {
			continue
		}
		domain = vm.Domain
		kept++
		out[i] = c.newMember(m.VM)
	}
	spares := c.spareVMs(domain, now)
	if kept == 0 || kept+len(spares) < d.Size {
		return nil
	}
	for i := range out {
		if out[i].VM == "" {
			out[i] = c.newMember(spares[0])
			spares = spares[1:]
		}
	}
	return out
}

// chooseNewMembers returns a complete set of members from one fabric domain. Spares
// and the group's usable members are available. Of the domains with enough available
// VMs, it chooses the one with the fewest, to strand as few VMs as possible. It
// returns nil if no domain has enough.
func (c *Controller) chooseNewMembers(d deployment.Group, r Record, now time.Time) []Member {
	var best []ring.VM
	for _, domain := range c.candidateDomains(d) {
		available := c.spareVMs(domain, now)
		for _, m := range r.Members {
			vm, declared := c.configuration.VM(m.VM)
			if declared && vm.Domain == domain && c.isUsable(m.VM, now) {
				available = append(available, m.VM)
			}
		}
		if len(available) >= d.Size && (best == nil || len(available) < len(best)) {
			best = available
		}
	}
	if best == nil {
		return nil
	}
	best = c.sortByZoneSize(best)
	out := make([]Member, d.Size)
	for i := range out {
		out[i] = c.newMember(best[i])
	}
	return out
}

// reconcileIncomplete returns the commit that marks a group broken because it cannot
// be completed now. After ReleaseAfter, if the group's VMs would complete a group of
// higher priority, the commit releases them.
func (c *Controller) reconcileIncomplete(d deployment.Group, g *groupState, now time.Time) []Action {
	if g.incompleteSince.IsZero() {
		g.incompleteSince = now
	}
	if len(g.record.Members) == 0 {
		return nil
	}
	if g.record.Phase != PhaseBroken {
		next := g.record
		next.Phase = PhaseBroken
		return c.commitRecord(g, Commit{Record: next})
	}
	if now.Before(g.incompleteSince.Add(c.options.ReleaseAfter)) || !c.completesHigherPriorityGroup(d, g, now) {
		return nil
	}
	return c.commitRecord(g, Commit{Record: g.record, Delete: true, Release: memberVMs(g.record.Members)})
}

// completesHigherPriorityGroup reports whether the usable VMs of the broken group g
// would complete a broken group of higher priority. d is the declaration of g.
func (c *Controller) completesHigherPriorityGroup(d deployment.Group, g *groupState, now time.Time) bool {
	for _, other := range c.groupsByPriority(now) {
		if other.Name == d.Name {
			return false
		}
		o, ok := c.groups[other.Name]
		if !ok || o.isCommitting || o.record.Phase != PhaseBroken || o.incompleteSince.IsZero() {
			continue
		}
		otherDomain, otherUsable := c.countUsableMembers(o.record, now)
		domain, usable := c.countUsableMembers(g.record, now)
		if otherDomain == domain && otherUsable+usable+len(c.spareVMs(otherDomain, now)) >= other.Size {
			return true
		}
	}
	return false
}

// countUsableMembers returns the number of the record's members that are alive and
// not leaving, and their fabric domain.
func (c *Controller) countUsableMembers(r Record, now time.Time) (ring.Domain, int) {
	var domain ring.Domain
	n := 0
	for _, m := range r.Members {
		vm, declared := c.configuration.VM(m.VM)
		if declared && c.isUsable(m.VM, now) {
			domain = vm.Domain
			n++
		}
	}
	return domain, n
}

// isUsable reports whether the VM is alive and not leaving, so that it may be
// assigned to a group.
func (c *Controller) isUsable(vm ring.VM, now time.Time) bool {
	return c.isAlive(vm, now) && !c.isLeaving(vm)
}

// newMember returns a group member for the VM, with the VM's last reported
// incarnation.
func (c *Controller) newMember(vm ring.VM) Member {
	return Member{VM: vm, Incarnation: c.vmStateFor(vm).status.Incarnation}
}

// spareVMs returns the usable VMs of the fabric domain that no group owns, sorted by
// name.
func (c *Controller) spareVMs(domain ring.Domain, now time.Time) []ring.VM {
	var out []ring.VM
	for _, vm := range c.configuration.VMs() {
		if vm.Domain == domain && c.vmStateFor(vm.Name).owner == "" && c.isUsable(vm.Name, now) {
			out = append(out, vm.Name)
		}
	}
	return out
}

// candidateDomains returns the fabric domain that the group declares or, if it
// declares none, all domains sorted by name.
func (c *Controller) candidateDomains(d deployment.Group) []ring.Domain {
	if d.Domain != "" {
		return []ring.Domain{d.Domain}
	}
	seen := map[ring.Domain]bool{}
	var out []ring.Domain
	for _, vm := range c.configuration.VMs() {
		if !seen[vm.Domain] {
			seen[vm.Domain] = true
			out = append(out, vm.Domain)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// sortByZoneSize returns the VMs grouped by availability zone, the zone with the most
// of these VMs first.
func (c *Controller) sortByZoneSize(vms []ring.VM) []ring.VM {
	count := map[ring.Zone]int{}
	zone := func(vm ring.VM) ring.Zone {
		d, _ := c.configuration.VM(vm)
		return d.Zone
	}
	for _, vm := range vms {
		count[zone(vm)]++
	}
	out := append([]ring.VM(nil), vms...)
	sort.Slice(out, func(i, j int) bool {
		a, b := zone(out[i]), zone(out[j])
		if count[a] != count[b] {
			return count[a] > count[b]
		}
		if a != b {
			return a < b
		}
		return out[i] < out[j]
	})
	return out
}

// groupsByPriority returns the declared groups, sorted by higher declared rank, then
// by larger completionGain, then by name.
func (c *Controller) groupsByPriority(now time.Time) []deployment.Group {
	groups := append([]deployment.Group(nil), c.configuration.Groups()...)
	gain := make(map[ring.Group]float64, len(groups))
	for _, d := range groups {
		gain[d.Name] = c.completionGain(d, now)
	}
	sort.SliceStable(groups, func(i, j int) bool {
		if groups[i].Rank != groups[j].Rank {
			return groups[i].Rank > groups[j].Rank
		}
		return gain[groups[i].Name] > gain[groups[j].Name]
	})
	return groups
}

// completionGain returns by how much completing the group improves the configured
// objective, per missing VM. The gain is that one group fewer is down and that the
// accelerators of the group's usable members are no longer stranded.
func (c *Controller) completionGain(d deployment.Group, now time.Time) float64 {
	g, ok := c.groups[d.Name]
	usable := 0
	if ok {
		_, usable = c.countUsableMembers(g.record, now)
	}
	missing := max(d.Size-usable, 1)
	accelerators := 0
	if ok {
		for _, m := range g.record.Members {
			if vm, declared := c.configuration.VM(m.VM); declared && c.isUsable(m.VM, now) {
				accelerators += vm.Accelerators
			}
		}
	}
	o := c.configuration.Objective()
	total := o.Downtime + o.Stranded
	return (o.Downtime/total + o.Stranded/total*float64(accelerators)) / float64(missing)
}

// diffMembers returns the VMs that are only in after (take) and those that are only
// in before (release).
func diffMembers(before, after []Member) (take, release []ring.VM) {
	has := func(members []Member, vm ring.VM) bool {
		return Record{Members: members}.HasMember(vm)
	}
	for _, m := range after {
		if !has(before, m.VM) {
			take = append(take, m.VM)
		}
	}
	for _, m := range before {
		if !has(after, m.VM) {
			release = append(release, m.VM)
		}
	}
	return take, release
}
