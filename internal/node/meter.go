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
	// GroupDowntime is the sum, over all groups, of the time in which the group was
	// not serving.
	GroupDowntime time.Duration
	// StrandedTime is the sum, over all accelerators, of the time in which the
	// accelerator was stranded.
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

// maxSampleInterval limits the time between two measurements that is added to the
// totals. After a longer time, another node was the controller in between.
const maxSampleInterval = time.Second

// addMeasurement stores the current measurement and logs a change. It adds the
// previous measurement, multiplied by the time since it was taken, to the totals; if
// that time is maxSampleInterval or more, it adds nothing.
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
