package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// harness drives a controller: it answers commits at once and reports all VMs
// that are alive.
type harness struct {
	t          *testing.T
	controller *Controller
	now        time.Time
	alive      map[ring.VM]bool
	status     map[ring.VM]ring.Status
	revision   ring.Revision
	records    map[ring.Group]Record
	// ignoresOrders is a VM that takes no orders.
	ignoresOrders ring.VM
	orders        map[ring.VM]int

	recovered []Recovered
}

func newHarness(t *testing.T, d deployment.Document) *harness {
	t.Helper()
	c, err := deployment.New(d)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, controller: New(DefaultOptions()), now: time.Unix(1_800_000_000, 0), alive: map[ring.VM]bool{}, status: map[ring.VM]ring.Status{}, records: map[ring.Group]Record{}, orders: map[ring.VM]int{}}
	for _, vm := range d.VMs {
		b.alive[vm.Name] = true
		b.status[vm.Name] = ring.Status{VM: vm.Name, Incarnation: "1", Phase: ring.BackendEmpty}
	}
	b.controller.SetConfiguration(c)
	b.controller.Step(StateLoaded{}, b.now)
	return b
}

// runFor lets time pass in steps of 100 ms.
func (b *harness) runFor(span time.Duration) {
	for end := b.now.Add(span); b.now.Before(end); b.now = b.now.Add(100 * time.Millisecond) {
		for vm, s := range b.status {
			if b.alive[vm] {
				b.controller.Step(Reported{Status: s, RequestedAt: b.now}, b.now)
			}
		}
		b.execute(b.controller.Step(Tick{}, b.now))
	}
}

func (b *harness) execute(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Commit:
			b.revision++
			if a.Delete {
				delete(b.records, a.Record.Group)
			} else {
				b.records[a.Record.Group] = a.Record
			}
			b.execute(b.controller.Step(CommitEnded{Commit: a, Accepted: true, Revision: b.revision}, b.now))
		case Recovered:
			b.recovered = append(b.recovered, a)
		case SendOrder:
			b.orders[a.VM]++
			if b.alive[a.VM] && b.ignoresOrders != a.VM {
				s := b.status[a.VM]
				s.Epoch, s.Group, s.Spec, s.Phase = a.Order.Epoch, a.Order.Group, a.Order.Spec, ring.BackendReady
				b.status[a.VM] = s
			}
		}
	}
}

func (b *harness) readyGroups() map[ring.Group]bool {
	out := map[ring.Group]bool{}
	for g, r := range b.records {
		if r.Phase == PhaseReady {
			out[g] = true
		}
	}
	return out
}

func newDocument(objective deployment.Objective, vms int, sizes ...int) deployment.Document {
	d := deployment.Document{Name: "d", Objective: objective, Models: []deployment.Model{{Name: "m", Versions: []string{"1"}}}}
	for i := range vms {
		d.VMs = append(d.VMs, deployment.VM{Name: ring.VM(fmt.Sprintf("vm%d", i)), Address: fmt.Sprintf("127.0.0.%d:1", i+1), Zone: "a", Domain: "d", Accelerators: 4, Fencing: "checked"})
	}
	for i, size := range sizes {
		d.Groups = append(d.Groups, deployment.Group{Name: ring.Group(fmt.Sprintf("g%d", i)), Model: "m", Version: "1", Size: size, Slots: 1})
	}
	return d
}

// A large group and a small one lack a VM each when a spare appears: by
// stranded accelerators the large one comes first. By downtime alone both
// gain the same, and the name decides.
func TestSparesAreAssignedByObjective(t *testing.T) {
	tests := []struct {
		name      string
		objective deployment.Objective
		first     ring.Group
	}{
		{"stranded accelerators count", deployment.Objective{Stranded: 1}, "g1"},
		{"downtime counts", deployment.Objective{Downtime: 1}, "g0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDocument(test.objective, 6, 2, 4)
			b := newHarness(t, d)
			b.runFor(2 * time.Second)
			is.Equal(len(b.readyGroups()), 2)
			lost := []ring.VM{b.records["g0"].Members[1].VM, b.records["g1"].Members[1].VM}
			b.alive[lost[0]], b.alive[lost[1]] = false, false
			b.runFor(2 * time.Second)
			is.Equal(len(b.readyGroups()), 0)
			back := b.status[lost[0]]
			back.Incarnation = "2"
			b.freeVM(lost[0], "g0")
			b.status[lost[0]], b.alive[lost[0]] = back, true
			b.runFor(time.Second)
			is.True(b.readyGroups()[test.first])
		})
	}
}

// freeVM makes a VM a spare, as if it had been replaced by a new one.
func (b *harness) freeVM(vm ring.VM, g ring.Group) {
	state := b.controller.groups[g]
	var kept []Member
	for _, m := range state.record.Members {
		if m.VM == vm {
			m.VM = "gone"
		}
		kept = append(kept, m)
	}
	state.record.Members = kept
	b.controller.vm(vm).owner = ""
}

func TestTwoIncompleteGroupsAreMerged(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, newDocument(deployment.Objective{Downtime: 1}, 6, 3, 3))
	b.runFor(2 * time.Second)
	is.Equal(len(b.readyGroups()), 2)
	b.alive[b.records["g0"].Members[0].VM] = false
	b.alive[b.records["g1"].Members[0].VM] = false
	b.runFor(3 * time.Second)
	is.Equal(len(b.readyGroups()), 0) // waits for the lost VMs first
	b.runFor(6 * time.Second)
	is.Equal(len(b.readyGroups()), 1) // then one is made whole from both
	is.Equal(b.controller.Measure(b.now), Measurement{DownGroups: 1, StrandedAccelerators: 4})
}

func TestReadyOnlyAfterAllConfirmed(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, newDocument(deployment.Objective{Downtime: 1}, 2, 2))
	b.ignoresOrders = "vm1"
	b.runFor(10 * time.Second)
	is.Equal(b.records["g0"].Phase, PhaseForming)
	is.True(b.orders["vm1"] > 1) // the order is repeated
	b.ignoresOrders = ""
	b.runFor(3 * time.Second)
	is.Equal(b.records["g0"].Phase, PhaseReady)
}

func TestNothingIsDecidedBeforeTheStateIsLoaded(t *testing.T) {
	is := is.New(t)
	c := New(DefaultOptions())
	configuration, err := deployment.New(newDocument(deployment.Objective{Downtime: 1}, 2, 2))
	is.NoErr(err)
	is.Equal(c.Step(Configured{Configuration: configuration}, time.Unix(1, 0)), nil)
	is.Equal(c.Step(Tick{}, time.Unix(2, 0)), nil)
}

func TestRecoveryReportsTimeOfEachPart(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, newDocument(deployment.Objective{Downtime: 1}, 4, 3))
	b.runFor(2 * time.Second)
	is.Equal(b.recovered, nil) // forming for the first time is no recovery
	b.alive[b.records["g0"].Members[1].VM] = false
	b.runFor(3 * time.Second)
	is.Equal(len(b.recovered), 1)
	r := b.recovered[0]
	is.Equal(r.Group, ring.Group("g0"))
	is.True(r.Detect > time.Second && r.Detect <= 1500*time.Millisecond)
	is.True(r.Load > 0)
	is.True(r.Total() <= 3*time.Second)
}

// Reports that waited behind a slow write do not make a dead member alive.
func TestLateReportDoesNotKeepMemberAlive(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, newDocument(deployment.Objective{Downtime: 1}, 3, 2))
	b.runFor(2 * time.Second)
	lost := b.records["g0"].Members[1].VM
	late := Reported{Status: b.status[lost], RequestedAt: b.now}
	b.alive[lost] = false
	for range 30 {
		b.runFor(100 * time.Millisecond)
		b.controller.Step(late, b.now)
	}
	is.True(!b.records["g0"].Has(lost))
}
