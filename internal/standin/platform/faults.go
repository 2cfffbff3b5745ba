package platform

import (
	"sync"
	"sync/atomic"
)

// Fault is a failure mode of the simulated key-value service. Its value is its
// name in the path of the control interface, where FaultNone is named none.
type Fault string

// FaultNone means that calls succeed. FaultDown fails all calls. FaultSilent
// never responds. FaultResponseLost applies writes but fails their calls.
// FaultWriteLost fails writes without applying them. FaultSilentWatch keeps
// watches open but delivers no changes.
const (
	FaultNone         Fault = ""
	FaultDown         Fault = "down"
	FaultSilent       Fault = "silent"
	FaultResponseLost Fault = "ambiguous"
	FaultWriteLost    Fault = "lost"
	FaultSilentWatch  Fault = "deafwatch"
)

// Faults holds the active fault of one key-value service and counts the calls
// that the service received. The fault may change while calls are running.
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

// Set makes later calls fail as the fault says; FaultNone ends the fault.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = fault
}

// Calls returns the counters.
func (f *Faults) Calls() *Calls { return &f.calls }

// activeFault returns the fault that was set last.
func (f *Faults) activeFault() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active
}
