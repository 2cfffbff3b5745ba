package placement

import (
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// Event is an input of Controller.Step. The event method only marks the types that
// implement it.
type Event interface{ event() }

// Configured contains a new active configuration, which declares the groups and VMs.
type Configured struct{ Configuration *deployment.Configuration }

// StateLoaded contains all group records and VM owners that were read from the
// store, and the largest epoch. It is sent when a controller's term begins and after
// a commit that was not accepted.
type StateLoaded struct {
	Records  []StoredRecord
	Owners   []Owner
	MaxEpoch ring.Epoch
}

// Owner is the group that owns a VM according to the store.
type Owner struct {
	VM    ring.VM
	Group ring.Group
}

// Reported contains the status of a backend server, requested at RequestedAt. The
// event may reach the controller late, for example after a slow write to the store.
type Reported struct {
	Status      ring.Status
	RequestedAt time.Time
}

// VMsListed contains the platform's list of VMs.
type VMsListed struct{ VMs []ring.ListedVM }

// CommitEnded reports the outcome of a commit. Accepted is false if the commit was
// refused or its outcome is unknown; the controller then requests the stored state
// before it takes further decisions. Revision is the store's revision of an accepted
// commit.
type CommitEnded struct {
	Commit   Commit
	Accepted bool
	Revision ring.Revision
}

// OrderEnded reports the outcome of sending an order to a backend server. Accepted is
// false if the order was refused or its outcome is unknown.
type OrderEnded struct {
	VM       ring.VM
	Epoch    ring.Epoch
	Accepted bool
}

// Tick is sent at intervals and makes the controller check all groups.
type Tick struct{}

func (Configured) event()  {}
func (StateLoaded) event() {}
func (Reported) event()    {}
func (VMsListed) event()   {}
func (CommitEnded) event() {}
func (OrderEnded) event()  {}
func (Tick) event()        {}

// Action is an output of Controller.Step, to be executed by the caller. The action
// method only marks the types that implement it.
type Action interface{ action() }

// Commit writes one group record and the owners of its VMs in one transaction: it
// makes the group the owner of the VMs in Take and removes the owner of those in
// Release. It requires that the record's key is still at revision Guard and that the
// owner keys of the VMs in Take are absent. If Delete is set, the record is removed.
// The caller adds the guard of the controller's lease.
type Commit struct {
	Record  Record
	Guard   ring.Revision
	Delete  bool
	Take    []ring.VM
	Release []ring.VM
}

// SendOrder asks the caller to send an order to the backend server of the VM at the
// address. The order tells the server to load its part of a model.
type SendOrder struct {
	VM      ring.VM
	Address string
	Order   ring.Order
}

// ReloadState asks the caller to read the state from the store and pass it in a
// StateLoaded event, because the controller's copy may be outdated.
type ReloadState struct{}

func (Commit) action()      {}
func (SendOrder) action()   {}
func (ReloadState) action() {}
