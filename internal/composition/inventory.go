package composition

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
)

// inventoryInterval is how often the composer reports the number of replicas and
// spares of each domain.
const inventoryInterval = 2 * time.Second

// reportInventory counts the replicas and spares of each domain by model and adds the
// counts, as an Inventory, to the actions that the current call of Step returns. It
// does nothing if the last Inventory is less than inventoryInterval old.
func (c *Composer) reportInventory(now time.Time) {
	if now.Before(c.inventoryAt.Add(inventoryInterval)) {
		return
	}
	c.inventoryAt = now
	free := c.freeServers(now)
	counts := map[ring.Domain]*DomainCount{}
	count := func(d ring.Domain) *DomainCount {
		if counts[d] == nil {
			counts[d] = &DomainCount{Domain: d, Open: map[ring.Model]int{}, Forming: map[ring.Model]int{}, Spares: map[ring.Model]int{}}
		}
		return counts[d]
	}
	for _, r := range c.replicas {
		d := count(r.domain)
		if r.phase == phaseOpen {
			d.Open[r.model.Name]++
		} else {
			d.Forming[r.model.Name]++
		}
	}
	for domain, servers := range free {
		for _, s := range servers {
			if s.entry.Membership.State == ring.MemberReady {
				count(domain).Spares[s.entry.Model]++
			} else {
				count(domain).Loading++
			}
		}
	}
	c.countStranded(counts, now)
	var out Inventory
	for _, d := range counts {
		out.Counts = append(out.Counts, *d)
	}
	sort.Slice(out.Counts, func(i, j int) bool { return out.Counts[i].Domain < out.Counts[j].Domain })
	c.actions = append(c.actions, out)
}

// countStranded sets DomainCount.Stranded and DomainCount.Waiting of the given domains.
func (c *Composer) countStranded(counts map[ring.Domain]*DomainCount, now time.Time) {
	inTransition := c.domainsInTransition(now)
	for _, s := range c.listed {
		d, r := counts[s.entry.Domain], c.replicaOf(s.entry.ID)
		isServing := r != nil && r.phase == phaseOpen
		if d == nil || isServing || !s.mayServe() || s.dead || s.holdsNothing() {
			continue
		}
		for _, m := range c.view.Service.Models {
			if d.Open[m.Name] == 0 {
				d.Stranded++
				if d.Waiting == nil {
					d.Waiting = map[WaitReason]int{}
				}
				d.Waiting[c.waitReason(s, r, inTransition[s.entry.Domain], now)]++
				break
			}
		}
	}
}

// waitReason returns why a server, which is in replica r or in none, is in no open
// replica.
func (c *Composer) waitReason(s *serverState, r *replica, inTransition bool, now time.Time) WaitReason {
	switch {
	case r != nil && r.phase == phaseReleasing:
		return WaitReleasing
	case r != nil:
		return WaitForming
	case c.mustLeaveFirst(s):
		return WaitLeaving
	case s.isInUse(now):
		return WaitUnlisted
	case inTransition:
		return WaitDomain
	}
	return WaitServers
}
