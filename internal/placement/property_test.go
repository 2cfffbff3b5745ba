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

// confirmation is a member that was ready under an epoch.
type confirmation struct {
	vm          ring.VM
	incarnation string
	epoch       ring.Epoch
}

// pendingAction is an action with the term in which it was decided.
type pendingAction struct {
	term   int
	action Action
}

// simulation is a store with its guards, VMs, and two controllers of which the one
// that began last has the term. Their actions wait until they are drawn, so
// they may come late, also after another term began.
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
	w := &simulation{
		t: t, now: time.Unix(1_800_000_000, 0), document: newDocument(deployment.Objective{Downtime: 1, Stranded: 1}, 8, 3, 2, 2),
		records: map[ring.Group]StoredRecord{}, owners: map[ring.VM]ring.Group{}, membersByEpoch: map[ring.Epoch]string{},
		statuses: map[ring.VM]ring.Status{}, down: map[ring.VM]bool{}, confirmed: map[confirmation]bool{},
	}
	c, err := deployment.New(w.document)
	if err != nil {
		t.Fatal(err)
	}
	for _, vm := range w.document.VMs {
		w.startServer(vm.Name)
	}
	w.configuration = c
	w.startTerm(1)
	w.startTerm(0)
	return w
}

// startTerm gives the term to a controller, which starts with nothing but what
// the store holds.
func (w *simulation) startTerm(i int) {
	w.currentTerm++
	w.controllerTerms[i] = w.currentTerm
	w.controllers[i] = New(DefaultOptions())
	w.controllers[i].SetConfiguration(w.configuration)
	w.loadState(i)
}

func (w *simulation) startServer(vm ring.VM) {
	w.startCount++
	w.down[vm] = false
	w.statuses[vm] = ring.Status{VM: vm, Incarnation: fmt.Sprint(w.startCount), Phase: ring.BackendEmpty}
}

func (w *simulation) loadState(i int) {
	e := StateLoaded{MaxEpoch: w.maxEpoch}
	for _, d := range w.document.Groups {
		if r, ok := w.records[d.Name]; ok {
			e.Records = append(e.Records, r)
		}
	}
	for _, vm := range w.document.VMs {
		if g, ok := w.owners[vm.Name]; ok {
			e.Owners = append(e.Owners, Owner{vm.Name, g})
		}
	}
	w.enqueue(i, w.controllers[i].Step(e, w.now))
}

func (w *simulation) enqueue(i int, actions []Action) {
	for _, a := range actions {
		w.pending[i] = append(w.pending[i], pendingAction{w.controllerTerms[i], a})
	}
}

// executeNext does the first waiting action of a controller.
func (w *simulation) executeNext(i int, answerLost bool) {
	if len(w.pending[i]) == 0 {
		return
	}
	first := w.pending[i][0]
	w.pending[i] = w.pending[i][1:]
	switch a := first.action.(type) {
	case Commit:
		accepted := w.commit(first.term, a)
		if first.term != w.controllerTerms[i] {
			return // Its controller has begun anew and hears nothing of it.
		}
		w.enqueue(i, w.controllers[i].Step(CommitEnded{Commit: a, Accepted: accepted && !answerLost, Revision: w.revision}, w.now))
	case SendOrder:
		w.deliverOrder(a)
	case ReloadState:
		w.loadState(i)
	}
}

// commit applies a transaction if its guards hold: the term, the record and
// the owner keys.
func (w *simulation) commit(term int, a Commit) bool {
	if term != w.currentTerm || w.records[a.Record.Group].Modified != a.Guard {
		return false
	}
	for _, vm := range a.Take {
		if _, owned := w.owners[vm]; owned {
			return false
		}
	}
	w.revision++
	for _, vm := range a.Take {
		w.owners[vm] = a.Record.Group
	}
	for _, vm := range a.Release {
		delete(w.owners, vm)
	}
	if a.Delete {
		delete(w.records, a.Record.Group)
		return true
	}
	w.maxEpoch = max(w.maxEpoch, a.Record.Epoch)
	w.records[a.Record.Group] = StoredRecord{Record: a.Record, Modified: w.revision}
	w.checkRecord(a.Record)
	return true
}

func (w *simulation) checkRecord(r Record) {
	set := fmt.Sprint(r.Group, r.Members)
	if old, known := w.membersByEpoch[r.Epoch]; known && old != set {
		w.t.Fatalf("epoch %d stands for %s and %s", r.Epoch, old, set)
	}
	w.membersByEpoch[r.Epoch] = set
	if r.Phase != PhaseReady {
		return
	}
	for _, m := range r.Members {
		if !w.confirmed[confirmation{m.VM, m.Incarnation, r.Epoch}] {
			w.t.Fatalf("%s is ready without %s", r.Group, m.VM)
		}
	}
}

// deliverOrder lets a VM load at once; every second one refuses old epochs.
func (w *simulation) deliverOrder(a SendOrder) {
	s := w.statuses[a.VM]
	isChecked := len(a.VM)%2 == 0
	if w.down[a.VM] || (isChecked && a.Order.Epoch < s.Epoch) {
		return
	}
	s.Epoch, s.Group, s.Spec, s.Phase = a.Order.Epoch, a.Order.Group, a.Order.Spec, ring.BackendReady
	w.statuses[a.VM] = s
	w.confirmed[confirmation{a.VM, s.Incarnation, s.Epoch}] = true
}

func (w *simulation) checkOwners() {
	owner := map[ring.VM]ring.Group{}
	for _, r := range w.records {
		for _, m := range r.Record.Members {
			if other, twice := owner[m.VM]; twice {
				w.t.Fatalf("%s is in %s and %s", m.VM, other, r.Record.Group)
			}
			owner[m.VM] = r.Record.Group
			if w.owners[m.VM] != r.Record.Group {
				w.t.Fatalf("%s is in %s and owned by %q", m.VM, r.Record.Group, w.owners[m.VM])
			}
		}
	}
	if len(owner) != len(w.owners) {
		w.t.Fatalf("%d VMs in records, %d owned", len(owner), len(w.owners))
	}
}

// Whatever comes in whatever order, the records in the store keep the
// invariants: late and lost answers, two controllers, crashes and restarts.
func TestRecordsKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		core := rapid.IntRange(0, 1)
		vm := rapid.IntRange(0, len(w.document.VMs)-1)
		name := func(t *rapid.T) ring.VM { return w.document.VMs[vm.Draw(t, "vm")].Name }
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
				i := core.Draw(t, "core")
				w.enqueue(i, w.controllers[i].Step(Tick{}, w.now))
			},
			"report": func(t *rapid.T) {
				i := core.Draw(t, "core")
				for _, d := range w.document.VMs {
					if !w.down[d.Name] {
						w.controllers[i].Step(Reported{Status: w.statuses[d.Name], RequestedAt: w.now}, w.now)
					}
				}
			},
			"perform": func(t *rapid.T) {
				i := core.Draw(t, "core")
				for range rapid.IntRange(1, 12).Draw(t, "actions") {
					w.executeNext(i, false)
				}
			},
			"lose an answer": func(t *rapid.T) { w.executeNext(core.Draw(t, "core"), true) },
			"crash":          func(t *rapid.T) { w.down[name(t)] = true },
			"restart":        func(t *rapid.T) { w.startServer(name(t)) },
			"list": func(t *rapid.T) {
				i := core.Draw(t, "core")
				w.enqueue(i, w.controllers[i].Step(VMsListed{VMs: []ring.ListedVM{{VM: name(t), State: ring.VMLeaving}}}, w.now))
			},
			"change the term": func(t *rapid.T) { w.startTerm(core.Draw(t, "core")) },
			"":                func(*rapid.T) { w.checkOwners() },
		})
	})
}
