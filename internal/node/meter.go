package node

import (
	"log/slog"
	"sync"
	"time"

	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/placement"
)

// Totals holds the accumulated group downtime and stranded accelerator time since
// the process started, and the recoveries of groups; see placement.Measurement.
type Totals struct {
	// GroupDowntime is the sum of the time in which each group was not serving.
	GroupDowntime time.Duration
	// StrandedTime is the sum of the time in which each accelerator was stranded.
	StrandedTime time.Duration
	// Current is the last measurement of the down groups and stranded accelerators.
	Current placement.Measurement
	// Recoveries counts the recoveries of groups; RecoveryTimes sums the
	// durations of each of their parts.
	Recoveries    int
	RecoveryTimes placement.Recovered
}

// Meter accumulates group downtime and stranded accelerator time while this node is
// the controller. It is safe for concurrent use.
type Meter struct {
	mu         sync.Mutex
	totals     Totals
	observedAt time.Time
}

// maxSampleInterval is the longest interval between two measurements that is
// integrated; a longer one means that another node was the controller.
const maxSampleInterval = time.Second

// addMeasurement adds the previous measurement, multiplied by the time since it was
// taken, to the totals, unless that is maxSampleInterval or more. It stores the
// current measurement and logs a change.
func (m *Meter) addMeasurement(current placement.Measurement, at time.Time, log *event.Log) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if interval := at.Sub(m.observedAt); interval < maxSampleInterval {
		m.totals.GroupDowntime += interval * time.Duration(m.totals.Current.DownGroups)
		m.totals.StrandedTime += interval * time.Duration(m.totals.Current.StrandedAccelerators)
	}
	if current != m.totals.Current {
		log.Write(event.CapacityChanged, slog.Int("down", current.DownGroups), slog.Int("stranded", current.StrandedAccelerators))
	}
	m.totals.Current = current
	m.observedAt = at
}

// Totals returns a copy of the totals so far.
func (m *Meter) Totals() Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.totals
}

// addRecovery adds one group's recovery and the durations of its parts to the totals.
func (m *Meter) addRecovery(r placement.Recovered) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totals.Recoveries++
	p := &m.totals.RecoveryTimes
	p.Detect += r.Detect
	p.Decide += r.Decide
	p.Order += r.Order
	p.Load += r.Load
	p.Ready += r.Ready
}
