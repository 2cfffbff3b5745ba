package platform

import (
	"sync"
	"sync/atomic"
)

// Fault is a declared misbehaviour of the key-value service.
type Fault string

// The faults. FaultDown refuses calls, FaultSilent never answers,
// FaultResponseLost applies writes and loses the answers, FaultWriteLost drops writes
// and their answers, FaultSilentWatch keeps watches open without changes.
const (
	FaultNone         Fault = ""
	FaultDown         Fault = "down"
	FaultSilent       Fault = "silent"
	FaultResponseLost Fault = "ambiguous"
	FaultWriteLost    Fault = "lost"
	FaultSilentWatch  Fault = "deafwatch"
)

// Faults holds the fault in force. It may be changed while calls are running.
type Faults struct {
	mu     sync.Mutex
	active Fault
	calls  Calls
}

// Calls counts what the service was asked.
type Calls struct {
	Reads    atomic.Int64
	Writes   atomic.Int64
	Renewals atomic.Int64
	Watches  atomic.Int64
}

// Set puts a fault in force.
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
