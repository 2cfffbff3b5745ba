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
		d := count(c.server(r.head().id).entry.Domain)
		if r.phase == phaseOpen {
			d.Open[r.model.Name]++
		} else {
			d.Forming[r.model.Name]++
		}
	}
	for domain, servers := range free {
		for _, s := range servers {
			if s.Membership.State == ring.MemberReady {
				count(domain).Spares[s.Model]++
			} else {
				count(domain).Loading++
			}
		}
	}
	c.countStranded(counts)
	var out Inventory
	for _, d := range counts {
		out.Counts = append(out.Counts, *d)
	}
	sort.Slice(out.Counts, func(i, j int) bool { return out.Counts[i].Domain < out.Counts[j].Domain })
	c.actions = append(c.actions, out)
}

// countStranded sets DomainCount.Stranded of the given domains.
func (c *Composer) countStranded(counts map[ring.Domain]*DomainCount) {
	isServing := map[ring.VM]bool{}
	for _, r := range c.replicas {
		for _, m := range r.members {
			isServing[m.id] = r.phase == phaseOpen
		}
	}
	for _, s := range c.view.Servers {
		d := counts[s.Domain]
		if d == nil || isServing[s.ID] || s.Leaving || c.server(s.ID).dead || c.holdsNothing(s) {
			continue
		}
		for _, m := range c.view.Service.Models {
			if d.Open[m.Name] == 0 {
				d.Stranded++
				break
			}
		}
	}
}
