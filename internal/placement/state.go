package placement

import (
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

type vmState struct {
	status ring.Status
	// lastSeen is when status was requested.
	lastSeen      time.Time
	platformState ring.VMState
	owner         ring.Group
	// orderEpoch is the epoch of the last order, which may be repeated from
	// orderRetryAt on.
	orderEpoch   ring.Epoch
	orderRetryAt time.Time
}

type groupState struct {
	record   Record
	modified ring.Revision
	// isCommitting is set until the outcome of a commit is known.
	isCommitting bool
	// drainingSince is when this controller first saw the group draining.
	drainingSince time.Time
	// incompleteSince is when the group was first seen without enough VMs.
	incompleteSince time.Time
	// recovery times the recovery in progress, if any.
	recovery recovery
}

func (c *Controller) memberAddresses(r Record) []string {
	out := make([]string, len(r.Members))
	for i, m := range r.Members {
		if vm, ok := c.configuration.VM(m.VM); ok {
			out[i] = vm.Address
		}
	}
	return out
}

// matchesDeclaration reports whether the record matches the declaration.
func (c *Controller) matchesDeclaration(d deployment.Group, r Record) bool {
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

// isComplete reports whether all members are alive with the incarnations that the
// record names.
func (c *Controller) isComplete(r Record, now time.Time) bool {
	for _, m := range r.Members {
		if !c.isAlive(m.VM, now) || c.vmStateFor(m.VM).status.Incarnation != m.Incarnation {
			return false
		}
	}
	return len(r.Members) > 0
}

// isConfirmed reports whether all members report ready for the record's epoch,
// group and spec.
func (c *Controller) isConfirmed(r Record) bool {
	for _, m := range r.Members {
		s := c.vmStateFor(m.VM).status
		if s.Epoch != r.Epoch || s.Group != r.Group || s.Phase != ring.BackendReady || !s.Spec.Equal(r.Spec) {
			return false
		}
	}
	return true
}

func (c *Controller) hasLeavingMember(r Record) bool {
	for _, m := range r.Members {
		if c.isLeaving(m.VM) {
			return true
		}
	}
	return false
}

func (c *Controller) isAlive(vm ring.VM, now time.Time) bool {
	v, ok := c.vms[vm]
	return ok && !v.lastSeen.IsZero() && now.Sub(v.lastSeen) <= c.options.DeadAfter
}

func (c *Controller) isLeaving(vm ring.VM) bool {
	v := c.vmStateFor(vm)
	return v.platformState == ring.VMLeaving || v.status.Leaving
}

func memberVMs(members []Member) []ring.VM {
	out := make([]ring.VM, len(members))
	for i, m := range members {
		out[i] = m.VM
	}
	return out
}
