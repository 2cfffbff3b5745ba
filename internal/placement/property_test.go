package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/property"
)

func TestMain(m *testing.M) { property.Main(m, property.Config{Checks: 1000, Steps: 200}) }

// confirmation identifies a member that was ready for an epoch.
type confirmation struct {
	vm          ring.VM
	incarnation string
	epoch       ring.Epoch
}

// pendingAction is an action and the term in which the controller returned it.
type pendingAction struct {
	term   int
	action Action
}

// simulation consists of a store that checks guards, VMs, and two controllers, of
// which the one started last has the current term. An action stays pending until
// the test draws its execution, which may be after another term began.
type simulation struct {
	t               *rapid.T
	now             time.Time
	document        deployment.Document
	configuration   *deployment.Configuration
	controllers     [2]*Controller
	pending         [2][]pendingAction
	controllerTerms [2]int
	currentTerm     int
	revision        ring.Revision
	records         map[ring.Group]StoredRecord
	owners          map[ring.VM]ring.Group
	maxEpoch        ring.Epoch
	membersByEpoch  map[ring.Epoch]string
	statuses        map[ring.VM]ring.Status
	down            map[ring.VM]bool
	confirmed       map[confirmation]bool
	startCount      int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1_800_000_000, 0), document: newDocument(deployment.Objective{Downtime: 1, Stranded: 1}, 8, 3, 2, 2),
		records: map[ring.Group]StoredRecord{}, owners: map[ring.VM]ring.Group{}, membersByEpoch: map[ring.Epoch]string{},
		statuses: map[ring.VM]ring.Status{}, down: map[ring.VM]bool{}, confirmed: map[confirmation]bool{},
	}
	c, err := deployment.New(sim.document)
	if err != nil {
		t.Fatal(err)
	}
	for _, vm := range sim.document.VMs {
		sim.startServer(vm.Name)
	}
	sim.configuration = c
	sim.startTerm(1)
	sim.startTerm(0)
	return sim
}

// startTerm starts a new term with a new controller, which knows only what is in
// the store.
func (sim *simulation) startTerm(i int) {
	sim.currentTerm++
	sim.controllerTerms[i] = sim.currentTerm
	sim.controllers[i] = New(DefaultOptions())
	sim.controllers[i].SetConfiguration(sim.configuration)
	sim.passStoredState(i)
}

func (sim *simulation) startServer(vm ring.VM) {
	sim.startCount++
	sim.down[vm] = false
	sim.statuses[vm] = ring.Status{VM: vm, Incarnation: fmt.Sprint(sim.startCount), Phase: ring.BackendEmpty}
}

func (sim *simulation) passStoredState(i int) {
	e := StateLoaded{MaxEpoch: sim.maxEpoch}
	for _, d := range sim.document.Groups {
		if r, ok := sim.records[d.Name]; ok {
			e.Records = append(e.Records, r)
		}
	}
	for _, vm := range sim.document.VMs {
		if g, ok := sim.owners[vm.Name]; ok {
			e.Owners = append(e.Owners, Owner{vm.Name, g})
		}
	}
	sim.enqueueActions(i, sim.controllers[i].Step(e, sim.now))
}

func (sim *simulation) enqueueActions(i int, actions []Action) {
	for _, a := range actions {
		sim.pending[i] = append(sim.pending[i], pendingAction{sim.controllerTerms[i], a})
	}
}

// executeNext executes the first pending action of a controller. If answerLost is
// set, an accepted commit is reported as not accepted.
func (sim *simulation) executeNext(i int, answerLost bool) {
	if len(sim.pending[i]) == 0 {
		return
	}
	first := sim.pending[i][0]
	sim.pending[i] = sim.pending[i][1:]
	switch a := first.action.(type) {
	case Commit:
		accepted := sim.commitRecord(first.term, a)
		if first.term != sim.controllerTerms[i] {
			return // The controller was restarted; the outcome is not reported to it.
		}
		sim.enqueueActions(i, sim.controllers[i].Step(CommitEnded{Commit: a, Accepted: accepted && !answerLost, Revision: sim.revision}, sim.now))
	case SendOrder:
		sim.deliverOrder(a)
	case ReloadState:
		sim.passStoredState(i)
	}
}

// commitRecord applies a transaction if its guards hold: the current term, the record's
// revision and absent owner keys.
func (sim *simulation) commitRecord(term int, a Commit) bool {
	if term != sim.currentTerm || sim.records[a.Record.Group].Modified != a.Guard {
		return false
	}
	for _, vm := range a.Take {
		if _, owned := sim.owners[vm]; owned {
			return false
		}
	}
	sim.revision++
	for _, vm := range a.Take {
		sim.owners[vm] = a.Record.Group
	}
	for _, vm := range a.Release {
		delete(sim.owners, vm)
	}
	if a.Delete {
		delete(sim.records, a.Record.Group)
		return true
	}
	sim.maxEpoch = max(sim.maxEpoch, a.Record.Epoch)
	sim.records[a.Record.Group] = StoredRecord{Record: a.Record, Modified: sim.revision}
	sim.checkRecordInvariants(a.Record)
	return true
}

func (sim *simulation) checkRecordInvariants(r Record) {
	set := fmt.Sprint(r.Group, r.Members)
	if old, known := sim.membersByEpoch[r.Epoch]; known && old != set {
		sim.t.Fatalf("epoch %d was used for %s and %s", r.Epoch, old, set)
	}
	sim.membersByEpoch[r.Epoch] = set
	if r.Phase != PhaseReady {
		return
	}
	for _, m := range r.Members {
		if !sim.confirmed[confirmation{m.VM, m.Incarnation, r.Epoch}] {
			sim.t.Fatalf("%s is ready, but %s has not confirmed its epoch", r.Group, m.VM)
		}
	}
}

// deliverOrder makes the VM ready at once. A VM whose name has an even length
// refuses an order with an older epoch.
func (sim *simulation) deliverOrder(a SendOrder) {
	s := sim.statuses[a.VM]
	checksEpoch := len(a.VM)%2 == 0
	if sim.down[a.VM] || (checksEpoch && a.Order.Epoch < s.Epoch) {
		return
	}
	s.Epoch, s.Group, s.Spec, s.Phase = a.Order.Epoch, a.Order.Group, a.Order.Spec, ring.BackendReady
	sim.statuses[a.VM] = s
	sim.confirmed[confirmation{a.VM, s.Incarnation, s.Epoch}] = true
}

func (sim *simulation) checkOwners() {
	owner := map[ring.VM]ring.Group{}
	for _, r := range sim.records {
		for _, m := range r.Record.Members {
			if other, twice := owner[m.VM]; twice {
				sim.t.Fatalf("%s is a member of %s and %s", m.VM, other, r.Record.Group)
			}
			owner[m.VM] = r.Record.Group
			if sim.owners[m.VM] != r.Record.Group {
				sim.t.Fatalf("%s is a member of %s but owned by %q", m.VM, r.Record.Group, sim.owners[m.VM])
			}
		}
	}
	if len(owner) != len(sim.owners) {
		sim.t.Fatalf("%d VMs are members of groups, %d have an owner", len(owner), len(sim.owners))
	}
}

// Checks that the stored records keep the package's invariants with late and lost
// answers, two controllers, and crashes and restarts of servers in any order.
func TestRecordsKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		controller := rapid.IntRange(0, 1)
		vmIndex := rapid.IntRange(0, len(sim.document.VMs)-1)
		drawVM := func(t *rapid.T) ring.VM { return sim.document.VMs[vmIndex.Draw(t, "vm")].Name }
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
				i := controller.Draw(t, "core")
				sim.enqueueActions(i, sim.controllers[i].Step(Tick{}, sim.now))
			},
			"report": func(t *rapid.T) {
				i := controller.Draw(t, "core")
				for _, d := range sim.document.VMs {
					if !sim.down[d.Name] {
						sim.controllers[i].Step(Reported{Status: sim.statuses[d.Name], RequestedAt: sim.now}, sim.now)
					}
				}
			},
			"perform": func(t *rapid.T) {
				i := controller.Draw(t, "core")
				for range rapid.IntRange(1, 12).Draw(t, "actions") {
					sim.executeNext(i, false)
				}
			},
			"lose an answer": func(t *rapid.T) { sim.executeNext(controller.Draw(t, "core"), true) },
			"crash":          func(t *rapid.T) { sim.down[drawVM(t)] = true },
			"restart":        func(t *rapid.T) { sim.startServer(drawVM(t)) },
			"list": func(t *rapid.T) {
				i := controller.Draw(t, "core")
				sim.enqueueActions(i, sim.controllers[i].Step(VMsListed{VMs: []ring.ListedVM{{VM: drawVM(t), State: ring.VMLeaving}}}, sim.now))
			},
			"change the term": func(t *rapid.T) { sim.startTerm(controller.Draw(t, "core")) },
			"":                func(*rapid.T) { sim.checkOwners() },
		})
	})
}
