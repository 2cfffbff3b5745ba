package placement

import (
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

type vmState struct {
	status ring.Status
	heard  time.Time
	listed ring.VMState
	owner  ring.Group
	// ordered is the epoch of the last order and orderAgain when it may be
	// repeated.
	ordered    ring.Epoch
	orderAgain time.Time
}

type groupState struct {
	record   Record
	modified ring.Revision
	// pending is set while a commit is in flight.
	pending bool
	// drainFrom is when this controller first saw the group draining.
	drainFrom time.Time
	// brokenFrom is when the group was first seen without enough VMs.
	brokenFrom time.Time
	// trail follows the recovery that is under way.
	trail trail
}

func (c *Controller) addresses(r Record) []string {
	out := make([]string, len(r.Members))
	for i, m := range r.Members {
		if vm, ok := c.configuration.VM(m.VM); ok {
			out[i] = vm.Address
		}
	}
	return out
}

// isCurrent reports whether the record matches the declaration.
func (c *Controller) isCurrent(d deployment.Group, r Record) bool {
	if len(r.Members) != d.Size || r.Slots != d.Slots || !r.Spec.Equal(c.configuration.Spec(d)) {
		return false
	}
	for _, m := range r.Members {
		vm, declared := c.configuration.VM(m.VM)
		if !declared || (d.Domain != "" && vm.Domain != d.Domain) {
			return false
		}
	}
	return true
}

// isWhole reports whether all members are alive in their places.
func (c *Controller) isWhole(r Record, now time.Time) bool {
	for _, m := range r.Members {
		if !c.isAlive(m.VM, now) || c.vm(m.VM).status.Incarnation != m.Incarnation {
			return false
		}
	}
	return len(r.Members) > 0
}

// isConfirmed reports whether all members are ready under the record's epoch.
func (c *Controller) isConfirmed(r Record) bool {
	for _, m := range r.Members {
		s := c.vm(m.VM).status
		if s.Epoch != r.Epoch || s.Group != r.Group || s.Phase != ring.BackendReady || !s.Spec.Equal(r.Spec) {
			return false
		}
	}
	return true
}

func (c *Controller) anyLeaving(r Record) bool {
	for _, m := range r.Members {
		if c.isLeaving(m.VM) {
			return true
		}
	}
	return false
}

func (c *Controller) isAlive(vm ring.VM, now time.Time) bool {
	v, ok := c.vms[vm]
	return ok && !v.heard.IsZero() && now.Sub(v.heard) <= c.options.DeadAfter
}

func (c *Controller) isLeaving(vm ring.VM) bool {
	v := c.vm(vm)
	return v.listed == ring.VMLeaving || v.status.Leaving
}

func vmsOf(members []Member) []ring.VM {
	out := make([]ring.VM, len(members))
	for i, m := range members {
		out[i] = m.VM
	}
	return out
}
