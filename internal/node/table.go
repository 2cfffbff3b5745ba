// Package node runs the processes around the decision cores of one node: it
// watches the store, probes the backend servers, talks to its peers, holds
// its membership and, while it has the controller's lease, drives placement.
//
// Terms:
//
//   - Evidence: the status that a backend server last gave to this node, with
//     the time at which it was asked.
//   - Table: what the node knows, shared by all its workers.
//
// Invariants:
//
//   - The configuration number in the table never falls; nor does the
//     revision of a group's record.
//   - A group serves only while the evidence for every member is younger than
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

// MaxReportAge is the age of evidence that production allows.
const MaxReportAge = 1500 * time.Millisecond

// peerTimeout is the time without a heartbeat after which a peer counts as
// lost.
const peerTimeout = 1500 * time.Millisecond

// Report is what a backend server last reported.
type Report struct {
	Status ring.Status
	// RequestedAt is when the report was asked for, so the state that it shows is
	// not older.
	RequestedAt time.Time
}

// Peer is what another node last told.
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
	// Configuration is what a node's own heartbeat counts by; it is not sent.
	Configuration *deployment.Configuration
}

// PeerDemand is a peer's demand of one workspace.
type PeerDemand struct {
	Running int
	Queued  int
}

// Table is what the node knows. It may be used by several goroutines.
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
	members       map[string]bool
	outstanding   map[ring.Group]int
	gaps          map[ring.Group]*gapStats
	changed       chan struct{}
	maxReportAge  time.Duration
}

// TableConfig configures a Table. MaxReportAge is how old the evidence for a
// member may be for its group to get a request.
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
		members:       map[string]bool{},
		outstanding:   map[ring.Group]int{},
		gaps:          map[ring.Group]*gapStats{},
		changed:       make(chan struct{}),
	}
}

// Changed returns a channel that closes when something that matters to
// waiting requests changes.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

// notifyWaiters is called with mu held.
func (t *Table) notifyWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// ActivateConfiguration puts a configuration in force unless the table has the same or a
// newer one. It reports whether it did.
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

// Configuration returns what is in force; the number is 0 and the
// configuration nil when nothing is.
func (t *Table) Configuration() (*deployment.Configuration, int64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.configuration, t.configNumber
}

// Document returns the text of the configuration in force with its number.
func (t *Table) Document() ([]byte, int64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.document, t.configNumber
}

// PutRecord takes a group's record unless the table has a newer one.
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

// RetainRecords removes the records that a full listing at the revision did not
// show.
func (t *Table) RetainRecords(shown map[ring.Group]bool, at ring.Revision) {
	t.mu.RLock()
	var lost []ring.Group
	for g := range t.records {
		if !shown[g] {
			lost = append(lost, g)
		}
	}
	t.mu.RUnlock()
	for _, g := range lost {
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

// PutReport takes a backend server's report.
func (t *Table) PutReport(vm ring.VM, e Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.reports[vm]
	if old.RequestedAt.After(e.RequestedAt) {
		return
	}
	t.reports[vm] = e
	if old.Status.Phase != e.Status.Phase || old.Status.Epoch != e.Status.Epoch || e.RequestedAt.Sub(old.RequestedAt) > MaxReportAge {
		t.notifyWaiters()
	}
}

// UpdateVMList takes the platform's list.
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

// Leaving returns the VMs that this node knows to be leaving by itself.
func (t *Table) Leaving() []ring.VM {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []ring.VM
	for vm := range t.listedLeaving {
		out = append(out, vm)
	}
	for vm, e := range t.reports {
		if e.Status.Leaving && !t.listedLeaving[vm] {
			out = append(out, vm)
		}
	}
	return out
}
