package placement

import (
	"time"

	ring "eelgrassring.dev"
)

// Measure is the state of the two objectives at one moment.
type Measure struct {
	// Down is the number of declared groups that are not ready and whole.
	Down int
	// Stranded is the number of healthy accelerators in incomplete groups or
	// in no group while some group is down.
	Stranded int
}

// Measure counts down groups and stranded accelerators.
func (c *Controller) Measure(now time.Time) Measure {
	var out Measure
	if c.configuration == nil {
		return out
	}
	working := map[ring.VM]bool{}
	for _, d := range c.configuration.Groups() {
		g, ok := c.groups[d.Name]
		if !ok || g.record.Phase != PhaseReady || !c.isWhole(g.record, now) {
			out.Down++
			continue
		}
		for _, m := range g.record.Members {
			working[m.VM] = true
		}
	}
	if out.Down == 0 {
		return out
	}
	for _, vm := range c.configuration.VMs() {
		if c.isUsable(vm.Name, now) && !working[vm.Name] {
			out.Stranded += vm.Accelerators
		}
	}
	return out
}
