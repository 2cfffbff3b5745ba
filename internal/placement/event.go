package placement

import (
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// Event is what the controller learns.
type Event interface{ event() }

// Configured brings the configuration in force.
type Configured struct{ Configuration *deployment.Configuration }

// StateLoaded brings all records and owners from the store, at the begin of a
// controller's term or after a write with an unknown outcome.
type StateLoaded struct {
	Records  []StoredRecord
	Owners   []Owner
	MaxEpoch ring.Epoch
}

// Owner is the stored owner of a VM.
type Owner struct {
	VM    ring.VM
	Group ring.Group
}

// Reported brings a status that a backend server was asked for at Asked. It
// may reach the controller late, for one behind a slow write.
type Reported struct {
	Status      ring.Status
	RequestedAt time.Time
}

// VMsListed brings the platform's list of VMs.
type VMsListed struct{ VMs []ring.ListedVM }

// CommitEnded tells how a commit ended. Unknown means that the records must be
// loaded again before anything else is decided.
type CommitEnded struct {
	Commit   Commit
	Accepted bool
	Revision ring.Revision
}

// OrderEnded tells that an order was answered or given up.
type OrderEnded struct {
	VM       ring.VM
	Epoch    ring.Epoch
	Accepted bool
}

// Tick lets time pass.
type Tick struct{}

func (Configured) event()  {}
func (StateLoaded) event() {}
func (Reported) event()    {}
func (VMsListed) event()   {}
func (CommitEnded) event() {}
func (OrderEnded) event()  {}
func (Tick) event()        {}

// Action is what the controller wants done.
type Action interface{ action() }

// Commit writes one record in one transaction: the record's key must still be
// at Guard, the keys of the VMs in Take must be absent. When Delete is set the
// record is removed. The process around the controller adds the guard of the
// controller's lease.
type Commit struct {
	Record  Record
	Guard   ring.Revision
	Delete  bool
	Take    []ring.VM
	Release []ring.VM
}

// SendOrder sends an order to a backend server.
type SendOrder struct {
	VM      ring.VM
	Address string
	Order   ring.Order
}

// ReloadState asks for a Loaded event: the stored state is not what it should be.
type ReloadState struct{}

func (Commit) action()      {}
func (SendOrder) action()   {}
func (ReloadState) action() {}
