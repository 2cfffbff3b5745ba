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

// VMList is the platform's list of VMs with their states. It also limits the
// rate at which the platform's weight store starts weight loads.
type VMList struct {
	mu     sync.Mutex
	states map[ring.VM]ring.VMState
	// loadRate is how many weight loads may start per second.
	loadRate float64
	// nextLoad is the earliest start of the next weight load.
	nextLoad time.Time
}

// NewVMList returns an empty list with a weight store that starts rate weight
// loads per second.
func NewVMList(rate float64) *VMList {
	return &VMList{states: map[ring.VM]ring.VMState{}, loadRate: rate}
}

// SetState sets the state of a VM; an empty state removes it from the list.
func (l *VMList) SetState(vm ring.VM, state ring.VMState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == "" {
		delete(l.states, vm)
		return
	}
	l.states[vm] = state
}

// All returns the VMs with their states, ordered by name.
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

// ReserveLoad reserves a weight load that is requested at the time now, and
// returns the earliest time at which it may start.
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

// Handler serves the list of VMs and the weight store, and lets tests set
// faults of the key-value service and read its call counts.
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
		l.SetState(ring.VM(mux.Vars(r)["vm"]), state)
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

// LoadReservation is the weight store's response to a request to load weights:
// how long the load must wait.
type LoadReservation struct {
	WaitMilliseconds int64 `json:"wait"`
}

// CallCounts counts the calls to the key-value service since its start.
type CallCounts struct {
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Renewals int64 `json:"renews"`
	Watches  int64 `json:"watches"`
}

// writeJSON responds with a value as JSON.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
