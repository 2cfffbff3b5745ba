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

var startTime = time.Unix(1_800_000_000, 0)

// newServingTable returns a table in which the given number of groups, each of one
// VM, serve at the time start.
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
		table.PutReport(vm, Report{RequestedAt: startTime, Status: ring.Status{VM: vm, Incarnation: "i", Group: group, Epoch: 3, Phase: ring.BackendReady}})
	}
	c, err := deployment.New(d)
	if err != nil {
		t.Fatal(err)
	}
	table.ActivateConfiguration(2, nil, c, startTime)
	return table
}

func TestExclusionReasons(t *testing.T) {
	withStatus := func(change func(*ring.Status)) func(*Table) {
		return func(table *Table) {
			s := ring.Status{VM: "vm0", Incarnation: "i", Group: "g0", Epoch: 3, Phase: ring.BackendReady}
			change(&s)
			table.PutReport("vm0", Report{RequestedAt: startTime, Status: s})
		}
	}
	tests := []struct {
		name   string
		change func(*Table)
		at     time.Time
		want   Reason
	}{
		{"whole", func(*Table) {}, startTime, ReasonNone},
		{"old report", func(*Table) {}, startTime.Add(MaxReportAge + 1), ReasonStale},
		{"restarted", withStatus(func(s *ring.Status) { s.Incarnation = "j" }), startTime, ReasonRestarted},
		{"another epoch", withStatus(func(s *ring.Status) { s.Epoch = 4 }), startTime, ReasonMismatch},
		{"loading", withStatus(func(s *ring.Status) { s.Phase = ring.BackendLoading }), startTime, ReasonMismatch},
		{"leaving according to its report", withStatus(func(s *ring.Status) { s.Leaving = true }), startTime, ReasonLeaving},
		{"leaving according to the VM list", func(table *Table) {
			table.UpdateVMList([]ring.ListedVM{{VM: "vm0", State: ring.VMLeaving}})
		}, startTime, ReasonLeaving},
		{"leaving according to a peer", func(table *Table) {
			table.UpdatePeer(Peer{Name: "n2", HeardAt: startTime, Leaving: []ring.VM{"vm0"}})
		}, startTime, ReasonLeaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := newServingTable(t, 1)
			test.change(table)
			is.Equal(table.Group("g0", test.at).Reason, test.want)
		})
	}
}

func TestTableRejectsOlderState(t *testing.T) {
	is := is.New(t)
	table := newServingTable(t, 1)
	is.True(!table.ActivateConfiguration(2, nil, nil, startTime))
	is.True(!table.ActivateConfiguration(1, nil, nil, startTime))
	old := placement.StoredRecord{Modified: 4, Record: placement.Record{Group: "g0", Epoch: 2}}
	table.PutRecord(old)
	is.Equal(table.Group("g0", startTime).Record.Record.Epoch, ring.Epoch(3))
	table.DeleteRecord("g0", 4) // an older deletion
	is.Equal(len(table.Records()), 1)
	table.DeleteRecord("g0", 6)
	table.PutRecord(old) // a delayed change of a deleted record
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
	is.Equal(table.Group("g1", startTime).Slowness, 1.0)
	slow := table.Group("g0", startTime).Slowness
	is.True(slow > 2.9 && slow < 3.1)
	c, r := table.Candidates(deployment.Target{Model: "m"}, nil, startTime, nil, nil)
	is.Equal(r[0].Group, ring.Group("g0"))
	is.True(c[0].Capacity < c[1].Capacity/2.5)
}

func TestNewGroupCapacityRampsUp(t *testing.T) {
	is := is.New(t)
	s := routing.GroupState{Slots: 16, Slowness: 1, ReadyAt: startTime}
	is.Equal(routing.Capacity(s, startTime), 4.0)
	is.Equal(routing.Capacity(s, startTime.Add(2500*time.Millisecond)), 10.0)
	is.Equal(routing.Capacity(s, startTime.Add(time.Minute)), 16.0)
	s.Slots = 1
	is.Equal(routing.Capacity(s, startTime), 1.0) // the minimum
}
