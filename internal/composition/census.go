package composition

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
)

// inventoryInterval is how often the composer reports what each domain has.
const inventoryInterval = 2 * time.Second

// reportInventory reports, by domain, the replicas of each model and the spares.
func (c *Composer) reportInventory(now time.Time) {
	if now.Before(c.inventoryAt.Add(inventoryInterval)) {
		return
	}
	c.inventoryAt = now
	free := c.freeServers(now)
	rows := map[ring.Domain]*DomainCount{}
	row := func(d ring.Domain) *DomainCount {
		if rows[d] == nil {
			rows[d] = &DomainCount{Domain: d, Open: map[ring.Model]int{}, Forming: map[ring.Model]int{}, Spares: map[ring.Model]int{}}
		}
		return rows[d]
	}
	for _, r := range c.replicas {
		d := row(c.server(r.head().id).entry.Domain)
		if r.phase == phaseOpen {
			d.Open[r.model.Name]++
		} else {
			d.Forming[r.model.Name]++
		}
	}
	for domain, servers := range free {
		for _, s := range servers {
			if s.Place.State == ring.MemberReady {
				row(domain).Spares[s.Model]++
			} else {
				row(domain).Loading++
			}
		}
	}
	var out Inventory
	for _, d := range rows {
		out.Counts = append(out.Counts, *d)
	}
	sort.Slice(out.Counts, func(i, j int) bool { return out.Counts[i].Domain < out.Counts[j].Domain })
	c.actions = append(c.actions, out)
}
