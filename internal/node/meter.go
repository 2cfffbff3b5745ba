package node

import (
	"log/slog"
	"sync"
	"time"

	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/placement"
)

// Totals holds the integrals of the two objectives, group downtime and stranded
// accelerators, since the process started; see placement.Measurement.
type Totals struct {
	// GroupDowntime is the sum of the time in which each group was not serving.
	GroupDowntime time.Duration
	// StrandedTime is the sum of the time in which each accelerator was stranded.
	StrandedTime time.Duration
	// Current is the last measurement.
	Current placement.Measurement
	// Recoveries counts the recoveries of groups; RecoveryTimes sums the
	// durations of each of their parts.
	Recoveries    int
	RecoveryTimes placement.Recovered
}

// Meter integrates the objectives over the time in which the node is the
// controller.
type Meter struct {
	mu         sync.Mutex
	totals     Totals
	observedAt time.Time
}

// maxSampleInterval is the longest interval between two measurements that is
// integrated; a longer one means that another node was the controller.
const maxSampleInterval = time.Second

// addMeasurement integrates the last measurement over the time since it was taken and
// replaces it by the current one.
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

// Totals returns the integrals so far.
func (m *Meter) Totals() Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.totals
}

// addRecovery adds the durations of the parts of one recovery.
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
