package node

import (
	"log/slog"
	"sync"
	"time"

	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/placement"
)

// Totals are the integrals of the two objectives since the process began.
type Totals struct {
	// GroupDowntime is group downtime: the sum over groups of the time not serving.
	GroupDowntime time.Duration
	// StrandedTime is accelerator time: the sum over idle accelerators.
	StrandedTime time.Duration
	// Current is the last measure.
	Current placement.Measurement
	// Recoveries counts recoveries, and Parts sums their parts.
	Recoveries    int
	RecoveryTimes placement.Recovered
}

// Meter integrates the objectives while the node is the controller.
type Meter struct {
	mu         sync.Mutex
	totals     Totals
	observedAt time.Time
}

// maxSampleInterval is the longest time that one measure stands for; a longer gap
// means that another node was the controller.
const maxSampleInterval = time.Second

func (m *Meter) observe(now placement.Measurement, at time.Time, log *event.Log) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if span := at.Sub(m.observedAt); span < maxSampleInterval {
		m.totals.GroupDowntime += span * time.Duration(m.totals.Current.DownGroups)
		m.totals.StrandedTime += span * time.Duration(m.totals.Current.StrandedAccelerators)
	}
	if now != m.totals.Current {
		log.Write(event.CapacityChanged, slog.Int("down", now.DownGroups), slog.Int("stranded", now.StrandedAccelerators))
	}
	m.totals.Current = now
	m.observedAt = at
}

// Totals returns the integrals so far.
func (m *Meter) Totals() Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.totals
}

// addRecovery adds the parts of one recovery.
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
