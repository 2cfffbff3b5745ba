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

// step is an action with the term in which it was decided.
type step struct {
	term   int
	action Action
}

// world is a store with its guards, VMs, and two controllers of which the one
// that began last has the term. Their actions wait until they are drawn, so
// they may come late, also after another term began.
type world struct {
	t             *rapid.T
	now           time.Time
	document      deployment.Document
	configuration *deployment.Configuration
	cores         [2]*Controller
	waiting       [2][]step
	terms         [2]int
	term          int
	revision      ring.Revision
	records       map[ring.Group]StoredRecord
	owners        map[ring.VM]ring.Group
	epoch         ring.Epoch
	sets          map[ring.Epoch]string
	vms           map[ring.VM]ring.Status
	down          map[ring.VM]bool
	confirmed     map[confirmation]bool
	starts        int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_800_000_000, 0), document: declared(deployment.Objective{Downtime: 1, Stranded: 1}, 8, 3, 2, 2),
		records: map[ring.Group]StoredRecord{}, owners: map[ring.VM]ring.Group{}, sets: map[ring.Epoch]string{},
		vms: map[ring.VM]ring.Status{}, down: map[ring.VM]bool{}, confirmed: map[confirmation]bool{},
	}
	c, err := deployment.New(w.document)
	if err != nil {
		t.Fatal(err)
	}
	for _, vm := range w.document.VMs {
		w.start(vm.Name)
	}
	w.configuration = c
	w.begin(1)
	w.begin(0)
	return w
}

// begin gives the term to a controller, which starts with nothing but what
// the store holds.
func (w *world) begin(i int) {
	w.term++
	w.terms[i] = w.term
	w.cores[i] = New(DefaultOptions())
	w.cores[i].SetConfiguration(w.configuration)
	w.load(i)
}

func (w *world) start(vm ring.VM) {
	w.starts++
	w.down[vm] = false
	w.vms[vm] = ring.Status{VM: vm, Incarnation: fmt.Sprint(w.starts), Phase: ring.BackendEmpty}
}

func (w *world) load(i int) {
	e := Loaded{MaxEpoch: w.epoch}
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
	w.queue(i, w.cores[i].Step(e, w.now))
}

func (w *world) queue(i int, actions []Action) {
	for _, a := range actions {
		w.waiting[i] = append(w.waiting[i], step{w.terms[i], a})
	}
}

// perform does the first waiting action of a controller.
func (w *world) perform(i int, answerLost bool) {
	if len(w.waiting[i]) == 0 {
		return
	}
	first := w.waiting[i][0]
	w.waiting[i] = w.waiting[i][1:]
	switch a := first.action.(type) {
	case Commit:
		accepted := w.commit(first.term, a)
		if first.term != w.terms[i] {
			return // Its controller has begun anew and hears nothing of it.
		}
		w.queue(i, w.cores[i].Step(CommitDone{Commit: a, Accepted: accepted && !answerLost, Revision: w.revision}, w.now))
	case Send:
		w.obey(a)
	case Reload:
		w.load(i)
	}
}

// commit applies a transaction if its guards hold: the term, the record and
// the owner keys.
func (w *world) commit(term int, a Commit) bool {
	if term != w.term || w.records[a.Record.Group].Modified != a.Guard {
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
	w.epoch = max(w.epoch, a.Record.Epoch)
	w.records[a.Record.Group] = StoredRecord{Record: a.Record, Modified: w.revision}
	w.checkRecord(a.Record)
	return true
}

func (w *world) checkRecord(r Record) {
	set := fmt.Sprint(r.Group, r.Members)
	if old, known := w.sets[r.Epoch]; known && old != set {
		w.t.Fatalf("epoch %d stands for %s and %s", r.Epoch, old, set)
	}
	w.sets[r.Epoch] = set
	if r.Phase != PhaseReady {
		return
	}
	for _, m := range r.Members {
		if !w.confirmed[confirmation{m.VM, m.Incarnation, r.Epoch}] {
			w.t.Fatalf("%s is ready without %s", r.Group, m.VM)
		}
	}
}

// obey lets a VM load at once; every second one refuses old epochs.
func (w *world) obey(a Send) {
	s := w.vms[a.VM]
	isChecked := len(a.VM)%2 == 0
	if w.down[a.VM] || (isChecked && a.Order.Epoch < s.Epoch) {
		return
	}
	s.Epoch, s.Group, s.Spec, s.Phase = a.Order.Epoch, a.Order.Group, a.Order.Spec, ring.BackendReady
	w.vms[a.VM] = s
	w.confirmed[confirmation{a.VM, s.Incarnation, s.Epoch}] = true
}

func (w *world) check() {
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
		w := newWorld(t)
		core := rapid.IntRange(0, 1)
		vm := rapid.IntRange(0, len(w.document.VMs)-1)
		name := func(t *rapid.T) ring.VM { return w.document.VMs[vm.Draw(t, "vm")].Name }
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
				i := core.Draw(t, "core")
				w.queue(i, w.cores[i].Step(Tick{}, w.now))
			},
			"report": func(t *rapid.T) {
				i := core.Draw(t, "core")
				for _, d := range w.document.VMs {
					if !w.down[d.Name] {
						w.cores[i].Step(Reported{Status: w.vms[d.Name], Asked: w.now}, w.now)
					}
				}
			},
			"perform": func(t *rapid.T) {
				i := core.Draw(t, "core")
				for range rapid.IntRange(1, 12).Draw(t, "actions") {
					w.perform(i, false)
				}
			},
			"lose an answer": func(t *rapid.T) { w.perform(core.Draw(t, "core"), true) },
			"crash":          func(t *rapid.T) { w.down[name(t)] = true },
			"restart":        func(t *rapid.T) { w.start(name(t)) },
			"list": func(t *rapid.T) {
				i := core.Draw(t, "core")
				w.queue(i, w.cores[i].Step(Listed{VMs: []ring.ListedVM{{VM: name(t), State: ring.VMLeaving}}}, w.now))
			},
			"change the term": func(t *rapid.T) { w.begin(core.Draw(t, "core")) },
			"":                func(*rapid.T) { w.check() },
		})
	})
}
