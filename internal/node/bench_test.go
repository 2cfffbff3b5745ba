package node

import (
	"fmt"
	"testing"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/routing"
)

// groupCounts are the numbers of groups in the benchmark: the present size, a
// middle one, and the size that the system is designed for.
var groupCounts = []int{16, 194, 775}

// newLargeTable returns a table with the given numbers of live peers and of ready
// groups of four VMs each. Reports and heartbeats are dated an hour ahead, so that
// they do not expire.
func newLargeTable(b *testing.B, groups, peers int) *Table {
	b.Helper()
	t := NewTable(TableConfig{MaxReportAge: MaxReportAge})
	now := time.Now()
	d := deployment.Document{Name: "d", Objective: deployment.Objective{Downtime: 1}, Models: []deployment.Model{{Name: "m", Versions: []string{"1"}}}}
	for g := range groups {
		name := ring.Group(fmt.Sprintf("group-%03d", g))
		d.Groups = append(d.Groups, deployment.Group{Name: name, Model: "m", Version: "1", Size: 4, Slots: 16})
		record := placement.Record{Group: name, Epoch: ring.Epoch(g + 1), Phase: placement.PhaseReady, Spec: ring.Spec{Model: "m", Version: "1"}, Slots: 16}
		for i := range 4 {
			n := g*4 + i
			vm := ring.VM(fmt.Sprintf("vm-%04d", n))
			d.VMs = append(d.VMs, deployment.VM{Name: vm, Address: fmt.Sprintf("127.%d.%d.1:1", 1+n/250, n%250), Zone: "a", Domain: "d", Accelerators: 4, Fencing: "checked"})
			record.Members = append(record.Members, placement.Member{VM: vm, Incarnation: "i"})
			t.PutReport(vm, Report{RequestedAt: now.Add(time.Hour), Status: ring.Status{VM: vm, Incarnation: "i", Group: name, Epoch: record.Epoch, Phase: ring.BackendReady, Spec: record.Spec}})
		}
		t.PutRecord(placement.StoredRecord{Record: record, Modified: 1})
	}
	c, err := deployment.New(d)
	if err != nil {
		b.Fatal(err)
	}
	t.ActivateConfiguration(1, nil, c, now)
	for p := range peers {
		t.UpdatePeer(Peer{Name: fmt.Sprint("n", p), HeardAt: now.Add(time.Hour), Outstanding: map[ring.Group]int{"group-001": 1}})
	}
	return t
}

// BenchmarkCandidates measures the search for groups that may get a request, before
// each routing decision. It checks every group, the reports of its members and its
// number of requests.
func BenchmarkCandidates(b *testing.B) {
	for _, groups := range groupCounts {
		b.Run(fmt.Sprint(groups, " groups"), func(b *testing.B) {
			t := newLargeTable(b, groups, 6)
			now := time.Now()
			var c []routing.Candidate
			var r []Route
			for range b.N {
				c, r = t.Candidates(deployment.Target{Model: "m"}, nil, now, c, r)
			}
			if len(c) != groups {
				b.Fatalf("%d candidates", len(c))
			}
		})
	}
}
