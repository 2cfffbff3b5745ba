package platform

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/gorilla/mux"

	ring "eelgrassring.dev"
)

// VMList is the platform's list of VMs and its weight store.
type VMList struct {
	mu     sync.Mutex
	states map[ring.VM]ring.VMState
	// loadRate is how many loads the weight store begins per second.
	loadRate float64
	nextLoad time.Time
}

// NewVMList returns an empty list and a weight store that admits rate loads a
// second.
func NewVMList(rate float64) *VMList {
	return &VMList{states: map[ring.VM]ring.VMState{}, loadRate: rate}
}

// Set puts a VM into the list in the given state; an empty state removes it.
func (l *VMList) Set(vm ring.VM, state ring.VMState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == "" {
		delete(l.states, vm)
		return
	}
	l.states[vm] = state
}

// All returns the list ordered by name.
func (l *VMList) All() []ring.ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]ring.ListedVM, 0, len(l.states))
	for vm, state := range l.states {
		out = append(out, ring.ListedVM{VM: vm, State: state})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// ReserveLoad returns when a load that asks now may begin.
func (l *VMList) ReserveLoad(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextLoad.Before(now) {
		l.nextLoad = now
	}
	start := l.nextLoad
	l.nextLoad = start.Add(time.Duration(float64(time.Second) / l.loadRate))
	return start
}

// Handler serves the lists, and the faults of the key-value service for tests.
func Handler(l *VMList, f *Faults) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/vms", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, l.All())
	}).Methods(http.MethodGet)
	r.HandleFunc("/vms/{vm}/{state}", func(_ http.ResponseWriter, r *http.Request) {
		state := ring.VMState(mux.Vars(r)["state"])
		if state == "gone" {
			state = ""
		}
		l.Set(ring.VM(mux.Vars(r)["vm"]), state)
	}).Methods(http.MethodPost)
	r.HandleFunc("/weights", func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		wait := l.ReserveLoad(now).Sub(now)
		writeJSON(w, LoadReservation{WaitMilliseconds: wait.Milliseconds()})
	}).Methods(http.MethodPost)
	r.HandleFunc("/fault/{fault}", func(_ http.ResponseWriter, r *http.Request) {
		fault := Fault(mux.Vars(r)["fault"])
		if fault == "none" {
			fault = FaultNone
		}
		f.Set(fault)
	}).Methods(http.MethodPost)
	r.HandleFunc("/calls", func(w http.ResponseWriter, _ *http.Request) {
		c := f.Calls()
		writeJSON(w, CallCounts{c.Reads.Load(), c.Writes.Load(), c.Renewals.Load(), c.Watches.Load()})
	}).Methods(http.MethodGet)
	return r
}

// LoadReservation is the weight store's answer to a load.
type LoadReservation struct {
	WaitMilliseconds int64 `json:"wait"`
}

// CallCounts is what the key-value service was asked since its start.
type CallCounts struct {
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Renewals int64 `json:"renews"`
	Watches  int64 `json:"watches"`
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
