package placement

import (
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// vmState is what the controller knows about one VM.
type vmState struct {
	// status is the last status that the VM's backend server reported.
	status ring.Status
	// lastSeen is when status was requested.
	lastSeen time.Time
	// platformState is the VM's state in the platform's list, or empty if unlisted.
	platformState ring.VMState
	// owner is the group that owns the VM according to the store or a pending commit.
	owner ring.Group
	// orderEpoch is the epoch of the last order sent to the VM. The order may be
	// repeated from orderRetryAt on.
	orderEpoch   ring.Epoch
	orderRetryAt time.Time
}

// groupState is what the controller knows about one group.
type groupState struct {
	record Record
	// modified is the stored revision of the record, or 0 if it is not stored.
	modified ring.Revision
	// isCommitting is set while a commit of the group's record is pending.
	isCommitting bool
	// drainingSince is when this controller first saw the group draining.
	drainingSince time.Time
	// incompleteSince is when this controller first found too few VMs for the group.
	incompleteSince time.Time
	// recovery holds the times of the recovery in progress, if any.
	recovery recovery
}

// memberAddresses returns the addresses of the record's members by rank. An address
// is empty if the VM is no longer declared.
func (c *Controller) memberAddresses(r Record) []string {
	out := make([]string, len(r.Members))
	for i, m := range r.Members {
		if vm, ok := c.configuration.VM(m.VM); ok {
			out[i] = vm.Address
		}
	}
	return out
}

// matchesDeclaration reports whether the record has the size, slots, model and fabric
// domain that d declares, and whether all its members are declared VMs.
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

// isComplete reports whether the record has members and all of them are alive with
// the incarnations that the record names.
func (c *Controller) isComplete(r Record, now time.Time) bool {
	for _, m := range r.Members {
		if !c.isAlive(m.VM, now) || c.vmStateFor(m.VM).status.Incarnation != m.Incarnation {
			return false
		}
	}
	return len(r.Members) > 0
}

// isConfirmed reports whether the last status of every member says that it is ready
// with the record's epoch, group and spec.
func (c *Controller) isConfirmed(r Record) bool {
	for _, m := range r.Members {
		s := c.vmStateFor(m.VM).status
		if s.Epoch != r.Epoch || s.Group != r.Group || s.Phase != ring.BackendReady || !s.Spec.Equal(r.Spec) {
			return false
		}
	}
	return true
}

// hasLeavingMember reports whether a member of the record will stop soon.
func (c *Controller) hasLeavingMember(r Record) bool {
	for _, m := range r.Members {
		if c.isLeaving(m.VM) {
			return true
		}
	}
	return false
}

// isAlive reports whether the VM's backend server has reported within DeadAfter.
func (c *Controller) isAlive(vm ring.VM, now time.Time) bool {
	v, ok := c.vms[vm]
	return ok && !v.lastSeen.IsZero() && now.Sub(v.lastSeen) <= c.options.DeadAfter
}

// isLeaving reports whether the platform or the VM's backend server says that the VM
// will stop soon.
func (c *Controller) isLeaving(vm ring.VM) bool {
	v := c.vmStateFor(vm)
	return v.platformState == ring.VMLeaving || v.status.Leaving
}

// memberVMs returns the VMs of the members, in the members' order.
func memberVMs(members []Member) []ring.VM {
	out := make([]ring.VM, len(members))
	for i, m := range members {
		out[i] = m.VM
	}
	return out
}
