package placement

import (
	"time"

	ring "eelgrassring.dev"
)

// Measurement is the state of the two objectives at one moment.
type Measurement struct {
	// DownGroups is the number of declared groups that are not ready and whole.
	DownGroups int
	// StrandedAccelerators is the number of healthy accelerators in incomplete groups or
	// in no group while some group is down.
	StrandedAccelerators int
}

// Measure counts down groups and stranded accelerators.
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
