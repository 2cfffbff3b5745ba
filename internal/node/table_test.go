package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/routing"
)

var start = time.Unix(1_800_000_000, 0)

// newServingTable serves the given number of one-VM groups at the time start.
func newServingTable(t *testing.T, groups int) *Table {
	t.Helper()
	d := deployment.Document{Name: "d", Objective: deployment.Objective{Downtime: 1}, Models: []deployment.Model{{Name: "m", Versions: []string{"1"}}}}
	table := NewTable(TableConfig{MaxReportAge: MaxReportAge})
	for i := range groups {
		vm, group := ring.VM(fmt.Sprint("vm", i)), ring.Group(fmt.Sprint("g", i))
		d.VMs = append(d.VMs, deployment.VM{Name: vm, Address: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: "a", Domain: "d", Accelerators: 1, Fencing: "checked"})
		d.Groups = append(d.Groups, deployment.Group{Name: group, Model: "m", Version: "1", Size: 1, Slots: 16})
		table.PutRecord(placement.StoredRecord{Modified: 5, Record: placement.Record{
			Group: group, Epoch: 3, Phase: placement.PhaseReady, Spec: ring.Spec{Model: "m", Version: "1"}, Slots: 16,
			Members: []placement.Member{{VM: vm, Incarnation: "i"}},
		}})
		table.PutReport(vm, Report{RequestedAt: start, Status: ring.Status{VM: vm, Incarnation: "i", Group: group, Epoch: 3, Phase: ring.BackendReady}})
	}
	c, err := deployment.New(d)
	if err != nil {
		t.Fatal(err)
	}
	table.ActivateConfiguration(2, nil, c, start)
	return table
}

func TestExclusionReasons(t *testing.T) {
	change := func(do func(*ring.Status)) func(*Table) {
		return func(table *Table) {
			s := ring.Status{VM: "vm0", Incarnation: "i", Group: "g0", Epoch: 3, Phase: ring.BackendReady}
			do(&s)
			table.PutReport("vm0", Report{RequestedAt: start, Status: s})
		}
	}
	tests := []struct {
		name string
		do   func(*Table)
		at   time.Time
		want Reason
	}{
		{"whole", func(*Table) {}, start, ReasonNone},
		{"old evidence", func(*Table) {}, start.Add(MaxReportAge + 1), ReasonStale},
		{"restarted", change(func(s *ring.Status) { s.Incarnation = "j" }), start, ReasonRestarted},
		{"another epoch", change(func(s *ring.Status) { s.Epoch = 4 }), start, ReasonMismatch},
		{"loading", change(func(s *ring.Status) { s.Phase = ring.BackendLoading }), start, ReasonMismatch},
		{"leaving by its report", change(func(s *ring.Status) { s.Leaving = true }), start, ReasonLeaving},
		{"leaving by the list", func(table *Table) {
			table.UpdateVMList([]ring.ListedVM{{VM: "vm0", State: ring.VMLeaving}})
		}, start, ReasonLeaving},
		{"leaving by a peer", func(table *Table) {
			table.UpdatePeer(Peer{Name: "n2", HeardAt: start, Leaving: []ring.VM{"vm0"}})
		}, start, ReasonLeaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := newServingTable(t, 1)
			test.do(table)
			is.Equal(table.Group("g0", test.at).Reason, test.want)
		})
	}
}

func TestTableRejectsOlderState(t *testing.T) {
	is := is.New(t)
	table := newServingTable(t, 1)
	is.True(!table.ActivateConfiguration(2, nil, nil, start))
	is.True(!table.ActivateConfiguration(1, nil, nil, start))
	old := placement.StoredRecord{Modified: 4, Record: placement.Record{Group: "g0", Epoch: 2}}
	table.PutRecord(old)
	is.Equal(table.Group("g0", start).Record.Record.Epoch, ring.Epoch(3))
	table.DeleteRecord("g0", 4) // an older deletion
	is.Equal(len(table.Records()), 1)
	table.DeleteRecord("g0", 6)
	table.PutRecord(old) // a late change of a deleted record
	is.Equal(len(table.Records()), 0)
}

func TestSlowGroupGetsLessCapacity(t *testing.T) {
	is := is.New(t)
	table := newServingTable(t, 3)
	for range 100 {
		table.ObserveGap("g0", 60*time.Millisecond)
		table.ObserveGap("g1", 20*time.Millisecond)
		table.ObserveGap("g2", 20*time.Millisecond)
	}
	table.UpdateSlowness()
	is.Equal(table.Group("g1", start).Slowness, 1.0)
	slow := table.Group("g0", start).Slowness
	is.True(slow > 2.9 && slow < 3.1)
	c, r := table.Candidates(deployment.Target{Model: "m"}, nil, start, nil, nil)
	is.Equal(r[0].Group, ring.Group("g0"))
	is.True(c[0].Capacity < c[1].Capacity/2.5)
}

func TestNewGroupCapacityRampsUp(t *testing.T) {
	is := is.New(t)
	s := routing.GroupState{Slots: 16, Slowness: 1, ReadyAt: start}
	is.Equal(routing.Capacity(s, start), 4.0)
	is.Equal(routing.Capacity(s, start.Add(2500*time.Millisecond)), 10.0)
	is.Equal(routing.Capacity(s, start.Add(time.Minute)), 16.0)
	s.Slots = 1
	is.Equal(routing.Capacity(s, start), 1.0) // at least one
}
