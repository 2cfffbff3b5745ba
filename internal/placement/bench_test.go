package placement

import (
	"fmt"
	"testing"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// BenchmarkTick measures one reconciliation of all groups that needs no action.
func BenchmarkTick(b *testing.B) {
	for _, groups := range []int{16, 194, 775} {
		b.Run(fmt.Sprint(groups, " groups"), func(b *testing.B) {
			c, now := newSteadyController(b, groups)
			for range b.N {
				if len(c.Step(Tick{}, now)) > 0 {
					b.Fatal("Tick returned actions in the steady state")
				}
			}
		})
	}
}

// newSteadyController returns a controller with the given number of ready groups of
// four VMs each, and the time of the VMs' last reports.
func newSteadyController(b *testing.B, groups int) (*Controller, time.Time) {
	b.Helper()
	now := time.Unix(1_800_000_000, 0)
	c := New(DefaultOptions())
	d := deployment.Document{Name: "d", Objective: deployment.Objective{Downtime: 1}, Models: []deployment.Model{{Name: "m", Versions: []string{"1"}}}}
	var loaded StateLoaded
	for g := range groups {
		name := ring.Group(fmt.Sprintf("g%03d", g))
		d.Groups = append(d.Groups, deployment.Group{Name: name, Model: "m", Version: "1", Size: 4, Slots: 16})
		record := Record{Group: name, Epoch: ring.Epoch(g + 1), Phase: PhaseReady, Spec: ring.Spec{Model: "m", Version: "1"}, Slots: 16}
		for i := range 4 {
			n := g*4 + i
			vm := ring.VM(fmt.Sprintf("vm%04d", n))
			d.VMs = append(d.VMs, deployment.VM{Name: vm, Address: fmt.Sprintf("127.%d.%d.1:1", 1+n/250, n%250), Zone: "a", Domain: "d", Accelerators: 4, Fencing: "checked"})
			record.Members = append(record.Members, Member{VM: vm, Incarnation: "i"})
			loaded.Owners = append(loaded.Owners, Owner{VM: vm, Group: name})
			c.Step(Reported{Status: ring.Status{VM: vm, Incarnation: "i", Group: name, Epoch: record.Epoch, Phase: ring.BackendReady, Spec: record.Spec}, RequestedAt: now}, now)
		}
		loaded.Records = append(loaded.Records, StoredRecord{Record: record, Modified: 1})
	}
	configuration, err := deployment.New(d)
	if err != nil {
		b.Fatal(err)
	}
	c.SetConfiguration(configuration)
	c.Step(loaded, now)
	return c, now
}
