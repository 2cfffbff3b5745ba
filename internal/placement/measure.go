package placement

import (
	"time"

	ring "eelgrassring.dev"
)

// Measurement holds the two counts, taken at one moment, that the deployment's
// objective weighs.
type Measurement struct {
	// DownGroups is the number of declared groups that are not both ready and
	// complete (all members alive).
	DownGroups int
	// StrandedAccelerators is the number of accelerators of usable VMs
	// outside the groups that are ready and complete. It is 0 while no group
	// is down.
	StrandedAccelerators int
}

// Measure returns the present Measurement, which is zero without a configuration.
func (c *Controller) Measure(now time.Time) Measurement {
	var out Measurement
	if c.configuration == nil {
		return out
	}
	working := map[ring.VM]bool{}
	for _, d := range c.configuration.Groups() {
		g, ok := c.groups[d.Name]
		if !ok || g.record.Phase != PhaseReady || !c.isComplete(g.record, now) {
			out.DownGroups++
			continue
		}
		for _, m := range g.record.Members {
			working[m.VM] = true
		}
	}
	if out.DownGroups == 0 {
		return out
	}
	for _, vm := range c.configuration.VMs() {
		if c.isUsable(vm.Name, now) && !working[vm.Name] {
			out.StrandedAccelerators += vm.Accelerators
		}
	}
	return out
}
