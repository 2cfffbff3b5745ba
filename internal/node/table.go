// Package node runs the loops of one node: it watches the store, probes the backend
// servers, exchanges heartbeats with its peers, keeps its membership and, while it
// holds the controller's lease, runs placement.
//
// Terms:
//
//   - Report: the status that a backend server last returned to this node, with
//     the time at which the node requested it.
//   - Table: the node's view of the system, shared by all its goroutines.
//   - Home node: the node that counts the used slots of a group; see package
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
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/suspect"
)

// MaxReportAge is the maximum age, in production, of a backend server's report. A
// group with an older report gets no requests.
const MaxReportAge = 1500 * time.Millisecond

// peerTimeout is the time without a heartbeat after which a peer counts as lost.
const peerTimeout = 1500 * time.Millisecond

// Report is the status that a backend server last returned.
type Report struct {
	Status ring.Status
	// RequestedAt is when the status was requested; the status is not older.
	RequestedAt time.Time
}

// Peer is the state that another node last sent in a heartbeat. A peer known only by
// its membership key has a zero HeardAt.
type Peer struct {
	Name          string
	Address       string
	CallerAddress string
	Zone          ring.Zone
	Incarnation   string
	ConfigNumber  int64
	Draining      bool
	// HeardAt is when this node received the heartbeat.
	HeardAt time.Time
	Demand  map[ring.Workspace]PeerDemand
	// Outstanding is the number of the peer's requests that have not ended, by group.
	Outstanding map[ring.Group]int
	// Leaving lists the VMs that the peer knows to be leaving.
	Leaving []ring.VM
	// Limits are rate limits of backend servers that the peer knows.
	Limits []quota.Observation
	// Strikes and Sound are what the peer has found lately of requests and the ends of
	// servers, and Refusals those that it refuses.
	Strikes  []suspect.Strike
	Sound    []suspect.Digest
	Refusals []suspect.Refusal
	// Configuration is used to encode a heartbeat: it gives the order of the counts
	// in Demand and Outstanding. It is set only in a node's own heartbeat and is not
	// sent.
	Configuration *deployment.Configuration
}

// PeerDemand is the number of a workspace's running and queued requests at a peer.
type PeerDemand struct {
	Running int
	Queued  int
}

// Table holds the node's view of the configuration, groups, VMs and peers. It is safe
// for concurrent use.
type Table struct {
	mu            sync.RWMutex
	configuration *deployment.Configuration
	configNumber  int64
	document      []byte
	activeSince   time.Time
	records       map[ring.Group]placement.StoredRecord
	// deletedAt is the revision of the last deletion of each group's record.
	deletedAt map[ring.Group]ring.Revision
	reports   map[ring.VM]Report
	// listedLeaving holds the VMs that the platform lists as leaving.
	listedLeaving map[ring.VM]bool
	// peers maps the names of other nodes to their last known states; memberNodes
	// holds the names of all nodes that have a membership key in the store.
	peers       map[string]Peer
	memberNodes map[string]bool
	// outstanding counts this node's requests that have not ended.
	outstanding  map[ring.Group]int
	gaps         map[ring.Group]*gapStats
	changed      chan struct{}
	maxReportAge time.Duration
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

// Changed returns a channel that is closed at the next change of the table after
// which a request that waits for a group may be able to start.
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

// ActivateConfiguration makes c, parsed from document, the active configuration and
// returns true. It returns false and changes nothing if the active configuration's
// number is the same or larger.
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

// Document returns the encoded active configuration and its number, or nil and 0 if
// there is none.
func (t *Table) Document() ([]byte, int64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.document, t.configNumber
}

// PutRecord stores a group's record. It does nothing if it already knows the same or
// a newer revision, or a later deletion.
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

// DeleteRecord removes a group's record, which was deleted from the store at the
// revision. It does nothing if a newer record is known.
func (t *Table) DeleteRecord(g ring.Group, revision ring.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.records[g]; ok && old.Modified > revision {
		return
	}
	t.deletedAt[g] = max(t.deletedAt[g], revision)
	delete(t.records, g)
}

// RetainRecords removes the records of all groups that are not in listed. listed
// holds the groups whose records were in the store at the revision; records with a
// newer revision stay.
func (t *Table) RetainRecords(listed map[ring.Group]bool, revision ring.Revision) {
	t.mu.RLock()
	var deleted []ring.Group
	for g := range t.records {
		if !listed[g] {
			deleted = append(deleted, g)
		}
	}
	t.mu.RUnlock()
	for _, g := range deleted {
		t.DeleteRecord(g, revision)
	}
}

// Records returns the known group records in no particular order.
func (t *Table) Records() []placement.StoredRecord {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]placement.StoredRecord, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	return out
}

// PutReport stores a report of the VM's backend server. It does nothing if it already
// has a report that was requested later.
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

// UpdateVMList replaces the set of VMs that the platform lists as leaving by those
// in vms.
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
// their own reports. VMs that only a peer reports as leaving are not included.
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
