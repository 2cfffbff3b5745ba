// Package placement decides which VMs form which group. It does no I/O:
// Controller.Step takes one event and the current time and returns actions; it
// starts no goroutine and uses no clock, socket or log.
//
// Terms:
//
//   - Record: the stored assignment of VMs to one group.
//   - Spare: a usable VM that no group owns.
//   - Usable VM: a VM that is alive and not about to leave.
//   - Incomplete group: a declared group without a full set of live members.
//   - Owner: the group that a VM's key in the store names.
//
// Invariants:
//
//   - A record becomes ready only after every member has confirmed the record's
//     epoch with the incarnation that the record names.
//   - Every new set of members has a larger epoch than all before it.
//   - A VM is taken only by a transaction that requires its owner key to be
//     absent, so two controllers cannot both take it.
package placement

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	ring "eelgrassring.dev"
)

// Phase is a stage in the life of a group's assignment, stored in its record.
type Phase string

// The phases. A forming group loads its model; a ready group may serve; a draining
// group finishes its requests; a broken group waits for VMs.
const (
	PhaseForming  Phase = "forming"
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
	PhaseBroken   Phase = "broken"
)

// Member is a VM in a group; its index in the record is its rank. Incarnation
// identifies the process start of the backend server to which the rank was assigned.
// A restarted server has lost its rank.
type Member struct {
	VM          ring.VM `json:"vm"`
	Incarnation string  `json:"incarnation"`
}

// Record is the stored assignment of VMs to one group. Epoch is the number of this
// assignment, Spec the model that the group serves, and Slots how many requests the
// group runs at once.
type Record struct {
	Group   ring.Group `json:"group"`
	Epoch   ring.Epoch `json:"epoch"`
	Phase   Phase      `json:"phase"`
	Spec    ring.Spec  `json:"spec"`
	Slots   int        `json:"slots"`
	Members []Member   `json:"members"`
	// ReadyAt is when the record became ready. From then on nodes gradually send
	// more requests to a new group.
	ReadyAt time.Time `json:"ready,omitzero"`
	// DrainUntil is when a draining group's VMs may be released even if the group
	// still has requests.
	DrainUntil time.Time `json:"drain,omitzero"`
}

// MaxEpoch bounds the epochs of records, so that the next one can be larger.
const MaxEpoch ring.Epoch = 1 << 60

// DecodeRecord decodes the stored record of a group. It returns an error that names each
// field with a value that no controller can have written.
func DecodeRecord(group ring.Group, value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("decode the record of group %s: %w", group, err)
	}
	var errs []error
	if r.Group != group {
		errs = append(errs, fmt.Errorf("the record of group %s names another group", group))
	}
	if r.Epoch > MaxEpoch {
		errs = append(errs, fmt.Errorf("the record of group %s has epoch %d", group, r.Epoch))
	}
	if r.Slots < 0 || r.Slots > ring.MaxServerSlots {
		errs = append(errs, fmt.Errorf("the record of group %s has %d slots", group, r.Slots))
	}
	return r, errors.Join(errs...)
}

// HasMember reports whether the VM is a member in the record.
func (r Record) HasMember(vm ring.VM) bool {
	for _, m := range r.Members {
		if m.VM == vm {
			return true
		}
	}
	return false
}

// StoredRecord is a group's record with the store's revision of its last write.
type StoredRecord struct {
	Record   Record
	Modified ring.Revision
}
