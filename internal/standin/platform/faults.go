package platform

import (
	"sync"
	"sync/atomic"
)

// Fault is a failure mode of the key-value service.
type Fault string

// FaultDown fails all calls. FaultSilent never responds. FaultResponseLost
// applies writes but fails their calls. FaultWriteLost fails writes without
// applying them. FaultSilentWatch keeps watches open but delivers no changes.
const (
	FaultNone         Fault = ""
	FaultDown         Fault = "down"
	FaultSilent       Fault = "silent"
	FaultResponseLost Fault = "ambiguous"
	FaultWriteLost    Fault = "lost"
	FaultSilentWatch  Fault = "deafwatch"
)

// Faults holds the active fault and counts calls. The fault may change while
// calls are running.
type Faults struct {
	mu     sync.Mutex
	active Fault
	calls  Calls
}

// Calls counts the calls that the service received.
type Calls struct {
	Reads    atomic.Int64
	Writes   atomic.Int64
	Renewals atomic.Int64
	Watches  atomic.Int64
}

// Set activates a fault, or none with FaultNone.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = fault
}

// Calls returns the counters.
func (f *Faults) Calls() *Calls { return &f.calls }

func (f *Faults) current() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active
}
