package composition

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
)

// censusEvery is how often the composer reports what each domain has.
const censusEvery = 2 * time.Second

// census reports, by domain, the replicas of each model and the spares.
func (c *Composer) census(now time.Time) {
	if now.Before(c.counted.Add(censusEvery)) {
		return
	}
	c.counted = now
	free := c.free(now)
	rows := map[ring.Domain]*Count{}
	row := func(d ring.Domain) *Count {
		if rows[d] == nil {
			rows[d] = &Count{Domain: d, Open: map[ring.Model]int{}, Forming: map[ring.Model]int{}, Spares: map[ring.Model]int{}}
		}
		return rows[d]
	}
	for _, r := range c.replicas {
		d := row(c.server(r.head().id).last.Domain)
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
	var out Census
	for _, d := range rows {
		out.Counts = append(out.Counts, *d)
	}
	sort.Slice(out.Counts, func(i, j int) bool { return out.Counts[i].Domain < out.Counts[j].Domain })
	c.out = append(c.out, out)
}
