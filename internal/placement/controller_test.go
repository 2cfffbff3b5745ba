package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// harness drives a controller. It accepts every commit at once and reports the
// status of all VMs that are alive.
type harness struct {
	t          *testing.T
	controller *Controller
	now        time.Time
	alive      map[ring.VM]bool
	status     map[ring.VM]ring.Status
	revision   ring.Revision
	records    map[ring.Group]Record
	// ignoresOrders is the VM that does not execute its orders, if any.
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
	h := &harness{t: t, controller: New(DefaultOptions()), now: time.Unix(1_800_000_000, 0), alive: map[ring.VM]bool{}, status: map[ring.VM]ring.Status{}, records: map[ring.Group]Record{}, orders: map[ring.VM]int{}}
	for _, vm := range d.VMs {
		h.alive[vm.Name] = true
		h.status[vm.Name] = ring.Status{VM: vm.Name, Incarnation: "1", Phase: ring.BackendEmpty}
	}
	h.controller.SetConfiguration(c)
	h.controller.Step(StateLoaded{}, h.now)
	return h
}

// runFor advances the time in steps of 100 ms, with status reports and a Tick at
// each step.
func (h *harness) runFor(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
		for vm, s := range h.status {
			if h.alive[vm] {
				h.controller.Step(Reported{Status: s, RequestedAt: h.now}, h.now)
			}
		}
		h.executeActions(h.controller.Step(Tick{}, h.now))
	}
}

func (h *harness) executeActions(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Commit:
			h.revision++
			if a.Delete {
				delete(h.records, a.Record.Group)
			} else {
				h.records[a.Record.Group] = a.Record
			}
			h.executeActions(h.controller.Step(CommitEnded{Commit: a, Accepted: true, Revision: h.revision}, h.now))
		case Recovered:
			h.recovered = append(h.recovered, a)
		case SendOrder:
			h.orders[a.VM]++
			if h.alive[a.VM] && h.ignoresOrders != a.VM {
				s := h.status[a.VM]
				s.Epoch, s.Group, s.Spec, s.Phase = a.Order.Epoch, a.Order.Group, a.Order.Spec, ring.BackendReady
				h.status[a.VM] = s
			}
		}
	}
}

func (h *harness) readyGroups() map[ring.Group]bool {
	out := map[ring.Group]bool{}
	for g, r := range h.records {
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

// A small and a large group each miss one VM when a spare appears. By stranded
// accelerators the large group gets it. By downtime alone both gain the same, so
// the first by name gets it.
func TestSparesAreAssignedByObjective(t *testing.T) {
	tests := []struct {
		name      string
		objective deployment.Objective
		first     ring.Group
	}{
		{"minimize stranded accelerators", deployment.Objective{Stranded: 1}, "g1"},
		{"minimize downtime", deployment.Objective{Downtime: 1}, "g0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDocument(test.objective, 6, 2, 4)
			h := newHarness(t, d)
			h.runFor(2 * time.Second)
			is.Equal(len(h.readyGroups()), 2)
			lost := []ring.VM{h.records["g0"].Members[1].VM, h.records["g1"].Members[1].VM}
			h.alive[lost[0]], h.alive[lost[1]] = false, false
			h.runFor(2 * time.Second)
			is.Equal(len(h.readyGroups()), 0)
			back := h.status[lost[0]]
			back.Incarnation = "2"
			h.freeVM(lost[0], "g0")
			h.status[lost[0]], h.alive[lost[0]] = back, true
			h.runFor(time.Second)
			is.True(h.readyGroups()[test.first])
		})
	}
}

// freeVM makes the VM a spare: in the controller's record of the group, a VM that
// does not exist takes its place.
func (h *harness) freeVM(vm ring.VM, g ring.Group) {
	state := h.controller.groups[g]
	var kept []Member
	for _, m := range state.record.Members {
		if m.VM == vm {
			m.VM = "gone"
		}
		kept = append(kept, m)
	}
	state.record.Members = kept
	h.controller.vmStateFor(vm).owner = ""
}

func TestTwoIncompleteGroupsAreMerged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, newDocument(deployment.Objective{Downtime: 1}, 6, 3, 3))
	h.runFor(2 * time.Second)
	is.Equal(len(h.readyGroups()), 2)
	h.alive[h.records["g0"].Members[0].VM] = false
	h.alive[h.records["g1"].Members[0].VM] = false
	h.runFor(3 * time.Second)
	is.Equal(len(h.readyGroups()), 0) // both groups still wait for their lost VMs
	h.runFor(6 * time.Second)
	is.Equal(len(h.readyGroups()), 1) // one is completed with the VMs of both
	is.Equal(h.controller.Measure(h.now), Measurement{DownGroups: 1, StrandedAccelerators: 4})
}

func TestReadyOnlyAfterAllConfirmed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, newDocument(deployment.Objective{Downtime: 1}, 2, 2))
	h.ignoresOrders = "vm1"
	h.runFor(10 * time.Second)
	is.Equal(h.records["g0"].Phase, PhaseForming)
	is.True(h.orders["vm1"] > 1) // the order is repeated
	h.ignoresOrders = ""
	h.runFor(3 * time.Second)
	is.Equal(h.records["g0"].Phase, PhaseReady)
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
	h := newHarness(t, newDocument(deployment.Objective{Downtime: 1}, 4, 3))
	h.runFor(2 * time.Second)
	is.Equal(h.recovered, nil) // the first forming does not count as a recovery
	h.alive[h.records["g0"].Members[1].VM] = false
	h.runFor(3 * time.Second)
	is.Equal(len(h.recovered), 1)
	r := h.recovered[0]
	is.Equal(r.Group, ring.Group("g0"))
	is.True(r.Detect > time.Second && r.Detect <= 1500*time.Millisecond)
	is.True(r.Load > 0)
	is.True(r.Total() <= 3*time.Second)
}

// A report that is delayed by a slow write must not make a dead member count as
// alive. Its age is counted from the request, not from its arrival.
func TestLateReportDoesNotKeepMemberAlive(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, newDocument(deployment.Objective{Downtime: 1}, 3, 2))
	h.runFor(2 * time.Second)
	lost := h.records["g0"].Members[1].VM
	late := Reported{Status: h.status[lost], RequestedAt: h.now}
	h.alive[lost] = false
	for range 30 {
		h.runFor(100 * time.Millisecond)
		h.controller.Step(late, h.now)
	}
	is.True(!h.records["g0"].HasMember(lost))
}
