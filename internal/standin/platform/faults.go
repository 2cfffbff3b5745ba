package platform

import (
	"sync"
	"sync/atomic"
)

// Fault is a declared misbehaviour of the key-value service.
type Fault string

// The faults. FaultDown refuses calls, FaultSilent never answers,
// FaultAmbiguous applies writes and loses the answers, FaultLost drops writes
// and their answers, FaultDeafWatch keeps watches open without changes.
const (
	FaultNone      Fault = ""
	FaultDown      Fault = "down"
	FaultSilent    Fault = "silent"
	FaultAmbiguous Fault = "ambiguous"
	FaultLost      Fault = "lost"
	FaultDeafWatch Fault = "deafwatch"
)

// Faults holds the fault in force. It may be changed while calls are running.
type Faults struct {
	mu    sync.Mutex
	fault Fault
	calls Calls
}

// Calls counts what the service was asked.
type Calls struct {
	Reads   atomic.Int64
	Writes  atomic.Int64
	Renews  atomic.Int64
	Watches atomic.Int64
}

// Set puts a fault in force.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Calls returns the counters.
func (f *Faults) Calls() *Calls { return &f.calls }

func (f *Faults) current() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}
