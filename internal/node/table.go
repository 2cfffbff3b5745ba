// Package node runs the loops of one node: it watches the store, probes the backend
// servers, exchanges heartbeats with its peers, keeps its membership and, while it
// holds the controller's lease, runs placement.
//
// Terms:
//
//   - Report: the status that a backend server last returned to this node, with
//     the time of the request.
//   - Table: the node's view of the system, shared by all its goroutines.
//   - Home node: the node that keeps the reservations of a group; see package
//     reservation.
//
// Invariants:
//
//   - The configuration number in the table never decreases; nor does the
//     revision of a group's record.
//   - A group serves only while the report of every member is younger than
//     MaxReportAge and matches the record.
//
// Lock order: the gateway's scheduler may call the table while it holds its
// own lock; Table.mu is never held while another lock is taken.
package node

import (
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/placement"
)

// MaxReportAge is the maximum age of a report in production.
const MaxReportAge = 1500 * time.Millisecond

// peerTimeout is the time without a heartbeat after which a peer counts as lost.
const peerTimeout = 1500 * time.Millisecond

// Report is the status that a backend server last returned.
type Report struct {
	Status ring.Status
	// RequestedAt is when the status was requested; the status is not older.
	RequestedAt time.Time
}

// Peer is the state that another node last sent.
type Peer struct {
	Name          string
	Address       string
	CallerAddress string
	Zone          ring.Zone
	Incarnation   string
	ConfigNumber  int64
	Draining      bool
	HeardAt       time.Time
	Demand        map[ring.Workspace]PeerDemand
	Outstanding   map[ring.Group]int
	Leaving       []ring.VM
	// Configuration gives the order in which a heartbeat encodes the counts. It is
	// set only in a node's own heartbeat and is not sent.
	Configuration *deployment.Configuration
}

// PeerDemand is a workspace's demand at a peer.
type PeerDemand struct {
	Running int
	Queued  int
}

// Table holds the node's view of the system. It is safe for concurrent use.
type Table struct {
	mu            sync.RWMutex
	configuration *deployment.Configuration
	configNumber  int64
	document      []byte
	activeSince   time.Time
	records       map[ring.Group]placement.StoredRecord
	deletedAt     map[ring.Group]ring.Revision
	reports       map[ring.VM]Report
	listedLeaving map[ring.VM]bool
	peers         map[string]Peer
	memberNodes   map[string]bool
	outstanding   map[ring.Group]int
	gaps          map[ring.Group]*gapStats
	changed       chan struct{}
	maxReportAge  time.Duration
}

// TableConfig configures a Table. MaxReportAge is the maximum age of a member's
// report for its group to get requests.
type TableConfig struct {
	MaxReportAge time.Duration
}

// NewTable returns an empty table.
func NewTable(c TableConfig) *Table {
	return &Table{
		maxReportAge:  c.MaxReportAge,
		records:       map[ring.Group]placement.StoredRecord{},
		deletedAt:     map[ring.Group]ring.Revision{},
		reports:       map[ring.VM]Report{},
		listedLeaving: map[ring.VM]bool{},
		peers:         map[string]Peer{},
		memberNodes:   map[string]bool{},
		outstanding:   map[ring.Group]int{},
		gaps:          map[ring.Group]*gapStats{},
		changed:       make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change that may let a
// waiting request start.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

// notifyWaiters closes the channel that Changed returned; mu is held.
func (t *Table) notifyWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// ActivateConfiguration activates a configuration unless the same or a newer one
// is active. It reports whether it did.
func (t *Table) ActivateConfiguration(number int64, document []byte, c *deployment.Configuration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number <= t.configNumber {
		return false
	}
	t.configNumber = number
	t.document = document
	t.configuration = c
	t.activeSince = now
	t.notifyWaiters()
	return true
}

// Configuration returns the active configuration and its number, or nil and 0 if
// there is none.
func (t *Table) Configuration() (*deployment.Configuration, int64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.configuration, t.configNumber
}

// Document returns the text of the active configuration and its number.
func (t *Table) Document() ([]byte, int64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.document, t.configNumber
}

// PutRecord stores a group's record unless the same or a newer revision is known.
func (t *Table) PutRecord(r placement.StoredRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := r.Record.Group
	if old, ok := t.records[name]; ok && old.Modified >= r.Modified {
		return
	}
	if t.deletedAt[name] >= r.Modified {
		return
	}
	t.records[name] = r
	t.notifyWaiters()
}

// DeleteRecord removes a group's record that was deleted at the revision.
func (t *Table) DeleteRecord(g ring.Group, at ring.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.records[g]; ok && old.Modified > at {
		return
	}
	t.deletedAt[g] = max(t.deletedAt[g], at)
	delete(t.records, g)
}

// RetainRecords removes the records of groups that a full listing at the revision
// did not contain.
func (t *Table) RetainRecords(listed map[ring.Group]bool, at ring.Revision) {
	t.mu.RLock()
	var deleted []ring.Group
	for g := range t.records {
		if !listed[g] {
			deleted = append(deleted, g)
		}
	}
	t.mu.RUnlock()
	for _, g := range deleted {
		t.DeleteRecord(g, at)
	}
}

// Records returns all records.
func (t *Table) Records() []placement.StoredRecord {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]placement.StoredRecord, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	return out
}

// PutReport stores the report of a backend server unless it was requested before
// the known one.
func (t *Table) PutReport(vm ring.VM, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.reports[vm]
	if old.RequestedAt.After(r.RequestedAt) {
		return
	}
	t.reports[vm] = r
	if old.Status.Phase != r.Status.Phase || old.Status.Epoch != r.Status.Epoch || r.RequestedAt.Sub(old.RequestedAt) > MaxReportAge {
		t.notifyWaiters()
	}
}

// UpdateVMList replaces the VMs that the platform lists as leaving.
func (t *Table) UpdateVMList(vms []ring.ListedVM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedLeaving = map[ring.VM]bool{}
	for _, v := range vms {
		if v.State == ring.VMLeaving {
			t.listedLeaving[v.VM] = true
		}
	}
}

// LeavingVMs returns the VMs that are leaving according to the platform's list or
// their own reports; those known only from peers are not included.
func (t *Table) LeavingVMs() []ring.VM {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []ring.VM
	for vm := range t.listedLeaving {
		out = append(out, vm)
	}
	for vm, r := range t.reports {
		if r.Status.Leaving && !t.listedLeaving[vm] {
			out = append(out, vm)
		}
	}
	return out
}
