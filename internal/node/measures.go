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
	// Down is group downtime: the sum over groups of the time not serving.
	Down time.Duration
	// Stranded is accelerator time: the sum over idle accelerators.
	Stranded time.Duration
	// Now is the last measure.
	Now placement.Measure
	// Recoveries counts recoveries, and Parts sums their parts.
	Recoveries int
	Parts      placement.Recovered
}

// Measures integrates the objectives while the node is the controller.
type Measures struct {
	mu     sync.Mutex
	totals Totals
	last   time.Time
}

// observeGap is the longest time that one measure stands for; a longer gap
// means that another node was the controller.
const observeGap = time.Second

func (m *Measures) observe(now placement.Measure, at time.Time, log *event.Log) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if span := at.Sub(m.last); span < observeGap {
		m.totals.Down += span * time.Duration(m.totals.Now.Down)
		m.totals.Stranded += span * time.Duration(m.totals.Now.Stranded)
	}
	if now != m.totals.Now {
		log.Write(event.CapacityChanged, slog.Int("down", now.Down), slog.Int("stranded", now.Stranded))
	}
	m.totals.Now = now
	m.last = at
}

// Totals returns the integrals so far.
func (m *Measures) Totals() Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.totals
}

// recovered adds the parts of one recovery.
func (m *Measures) recovered(r placement.Recovered) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totals.Recoveries++
	p := &m.totals.Parts
	p.Detect += r.Detect
	p.Decide += r.Decide
	p.Order += r.Order
	p.Load += r.Load
	p.Ready += r.Ready
}
