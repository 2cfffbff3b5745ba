package composition

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	ring "eelgrassring.dev"
)

// simulation is a set of backend servers that obey orders as the platform says, with
// a registry that lags and faults from a seed. It checks what must always hold.
type simulation struct {
	now     time.Time
	random  *rand.Rand
	servers map[ring.VM]*simServer
	service ring.RoutedService
	delayed []delayedOrder
	// delayedShare is the share of orders that get no answer and are carried out
	// seconds later.
	delayedShare float64
	hasTraffic   bool
	violations   []string
	loadStarts   []time.Time
}

type delayedOrder struct {
	at    time.Time
	id    ring.VM
	order ring.ReplicaOrder
}

// simServer is one server. Entry is what the registry shows.
type simServer struct {
	server            ring.Server
	alive             bool
	disconnectedUntil time.Time
	listed            bool
	refreshedAt       time.Time
	readyAt           time.Time
	openAt            time.Time
	maxEpoch          ring.Epoch
	loaded            ring.Model
	staging           ring.Model
	stagedAt          time.Time
	// wasReady holds the replicas in which the server has been ready.
	wasReady map[ring.Epoch]bool
	// endsAt is when a leaving server ends.
	endsAt  time.Time
	entry   ring.Server
	members []ring.VM
}

const (
	simTick         = 50 * time.Millisecond
	simHeartbeat    = 1200 * time.Millisecond
	simOpenTime     = 300 * time.Millisecond
	simBreakTimeout = 6 * time.Second
)

func newSimulation(seed uint64, domains, size int) *simulation {
	w := &simulation{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), servers: map[ring.VM]*simServer{},
		service: ring.RoutedService{
			Name: "engine", Slots: 26, LoadsPerSecond: 5.5, LoadsAtOnce: 8,
			Models: []ring.ReplicaModel{
				{Name: "large", Size: 6, Share: 0.67, Pace: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
				{Name: "small", Size: 3, Share: 0.33, Pace: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
			},
		},
	}
	for d := range domains {
		for i := range size {
			w.add(ring.VM(fmt.Sprintf("v%d-%02d", d, i)), ring.Domain(fmt.Sprintf("d%d", d)))
		}
	}
	return w
}

func (w *simulation) add(id ring.VM, domain ring.Domain) {
	s := ring.Server{ID: id, Incarnation: fmt.Sprint(w.now.UnixMilli()), Service: "engine", Address: string(id), Domain: domain, Slots: 26}
	w.servers[id] = &simServer{server: s, alive: true, listed: true, refreshedAt: w.now, entry: s, wasReady: map[ring.Epoch]bool{}}
}

func (w *simulation) ids() []ring.VM {
	out := make([]ring.VM, 0, len(w.servers))
	for id := range w.servers {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (w *simulation) model(name ring.Model) ring.ReplicaModel {
	for _, m := range w.service.Models {
		if m.Name == name {
			return m
		}
	}
	return ring.ReplicaModel{}
}

// tick lets a tick pass: joins end, heads open, the registry follows.
func (w *simulation) tick() {
	w.now = w.now.Add(simTick)
	for _, id := range w.ids() {
		s := w.servers[id]
		if !s.endsAt.IsZero() && w.now.After(s.endsAt) {
			s.alive = false
		}
		w.completeTransitions(s)
		w.updateEntry(s)
	}
	kept := w.delayed[:0]
	for _, l := range w.delayed {
		if w.now.Before(l.at) {
			kept = append(kept, l)
			continue
		}
		w.execute(l.id, l.order)
	}
	w.delayed = kept
}

func (w *simulation) completeTransitions(s *simServer) {
	p := &s.server.Place
	if p.State == ring.MemberJoining && w.now.After(s.readyAt) {
		p.State = ring.MemberReady
		s.wasReady[p.Epoch] = true
		s.loaded = s.server.Model
	}
	if p.State == ring.MemberReady && !s.openAt.IsZero() && w.now.After(s.openAt) {
		p.State = ring.MemberOpen
		s.openAt = time.Time{}
	}
	if s.staging != "" && w.now.After(s.stagedAt) {
		s.server.Staged = []ring.Model{s.staging}
		s.staging = ""
	}
}

// updateEntry brings the registry's entry up to date: at once while the server
// reaches the store, and away after three heartbeats of silence.
func (w *simulation) updateEntry(s *simServer) {
	if s.alive && w.now.After(s.disconnectedUntil) {
		s.entry, s.listed, s.refreshedAt = s.server, true, w.now
		return
	}
	if w.now.Sub(s.refreshedAt) > 3*simHeartbeat {
		s.listed = false
	}
}

func (w *simulation) view() View {
	v := View{Service: w.service, HasTraffic: w.hasTraffic, Stalled: map[ring.Epoch]time.Duration{}, Active: map[ring.Epoch]bool{}, Slow: map[ring.Epoch]float64{}}
	for _, id := range w.ids() {
		s := w.servers[id]
		if s.listed {
			v.Servers = append(v.Servers, s.entry)
		}
		if w.hasTraffic && s.alive && s.server.Place.State == ring.MemberOpen {
			for _, id := range s.members {
				if m := w.servers[id]; m != nil && m.server.Pace > 1 {
					v.Slow[s.server.Place.Epoch] = m.server.Pace
				}
			}
			if w.isComplete(s) {
				v.Active[s.server.Place.Epoch] = true
			} else {
				v.Stalled[s.server.Place.Epoch] = time.Second
			}
		}
	}
	return v
}

// isComplete reports whether all members of an open head's replica are there.
func (w *simulation) isComplete(head *simServer) bool {
	for _, id := range head.members {
		m := w.servers[id]
		if m == nil || !m.alive || m.server.Place.Epoch != head.server.Place.Epoch {
			return false
		}
	}
	return true
}

// perform carries the composer's actions out and feeds the answers back.
func (w *simulation) perform(c *Composer, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendOrder:
			w.perform(c, c.Step(OrderEnded{ID: a.ID, Order: a.Order, Outcome: w.deliver(a.ID, a.Order)}, w.now))
		case Inspect:
			s := w.servers[a.ID]
			reached := s.alive
			e := Inspected{ID: a.ID, Answered: reached}
			if reached {
				e.Server, e.Leaving = s.server, a.WithHealth && !s.endsAt.IsZero()
			}
			w.perform(c, c.Step(e, w.now))
		}
	}
}

func (w *simulation) deliver(id ring.VM, o ring.ReplicaOrder) Outcome {
	s := w.servers[id]
	if !s.alive {
		return OutcomeUnknown
	}
	if w.random.Float64() < w.delayedShare {
		w.delayed = append(w.delayed, delayedOrder{w.now.Add(time.Duration(2+w.random.IntN(10)) * time.Second), id, o})
		return OutcomeUnknown
	}
	return w.execute(id, o)
}

func (w *simulation) execute(id ring.VM, o ring.ReplicaOrder) Outcome {
	s := w.servers[id]
	if !s.alive {
		return OutcomeUnknown
	}
	p := &s.server.Place
	if o.Kind == ring.OrderStage {
		s.staging, s.stagedAt = o.Model, w.now.Add(w.loadTime(o.Model))
		w.loadStarts = append(w.loadStarts, w.now)
		return OutcomeDone
	}
	if o.Kind == ring.OrderJoin {
		return w.join(s, o)
	}
	if p.Epoch != o.Epoch {
		return OutcomeRefused
	}
	switch o.Kind {
	case ring.OrderOpen:
		if p.State == ring.MemberOpen {
			return OutcomeDone
		}
		if p.State != ring.MemberReady {
			return OutcomeRefused
		}
		w.checkComplete(s)
		s.openAt = w.now.Add(simOpenTime)
	case ring.OrderClose, ring.OrderCut:
		if p.State == ring.MemberOpen {
			p.State = ring.MemberReady
		}
	case ring.OrderLeave:
		*p, s.openAt = ring.Place{}, time.Time{}
	}
	return OutcomeDone
}

func (w *simulation) loadTime(m ring.Model) time.Duration {
	if !w.hasTraffic {
		return w.model(m).Load / 10
	}
	return w.model(m).Load
}

func (w *simulation) join(s *simServer, o ring.ReplicaOrder) Outcome {
	if o.Epoch < s.maxEpoch {
		return OutcomeFenced
	}
	if s.server.Place.Epoch == o.Epoch {
		return OutcomeDone
	}
	w.checkNotInUse(s)
	s.maxEpoch = o.Epoch
	span := w.loadTime(o.Model)
	switch {
	case s.loaded == o.Model:
		span = 200 * time.Millisecond
	case s.server.HasStaged(o.Model):
		span = w.model(o.Model).Warm
	default:
		s.server.Staged = []ring.Model{o.Model}
		w.loadStarts = append(w.loadStarts, w.now)
	}
	rank := 0
	for i, m := range o.Members {
		if m == s.server.ID {
			rank = i
		}
	}
	s.server.Place = ring.Place{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: ring.MemberJoining}
	s.server.Model, s.members, s.readyAt, s.openAt = o.Model, o.Members, w.now.Add(span), time.Time{}
	return OutcomeDone
}

// checkNotInUse finds a member that is taken while its head serves, or stands still
// and is not yet broken.
func (w *simulation) checkNotInUse(s *simServer) {
	for _, h := range w.servers {
		if h == s || !h.alive || h.server.Place.Epoch != s.server.Place.Epoch || h.server.Place.Epoch == 0 || h.server.Place.Rank != 0 {
			continue
		}
		if h.server.Place.State == ring.MemberOpen || h.server.Place.State == ring.MemberClosing {
			w.violations = append(w.violations, fmt.Sprintf("%s taken while head %s of epoch %d is open", s.server.ID, h.server.ID, h.server.Place.Epoch))
		}
	}
}

// checkComplete finds a head that is opened without all members ready.
func (w *simulation) checkComplete(head *simServer) {
	if len(head.members) != w.model(head.server.Model).Size {
		w.violations = append(w.violations, fmt.Sprintf("head %s opened with %d members", head.server.ID, len(head.members)))
	}
	for _, id := range head.members {
		if m := w.servers[id]; m.alive && !m.wasReady[head.server.Place.Epoch] {
			w.violations = append(w.violations, fmt.Sprintf("head %s opened, but %s was never ready under epoch %d", head.server.ID, id, head.server.Place.Epoch))
		}
	}
}

// run lets the composer work for a span.
func (w *simulation) run(c *Composer, span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.tick()
		w.perform(c, c.Step(ViewUpdated{View: w.view()}, w.now))
	}
}

// countOpen counts the working open replicas of a model.
func (w *simulation) countOpen(m ring.Model) int {
	n := 0
	for _, s := range w.servers {
		if s.alive && s.server.Place.State == ring.MemberOpen && s.server.Model == m && w.isComplete(s) {
			n++
		}
	}
	return n
}

func (w *simulation) kill(id ring.VM) { w.servers[id].alive = false }

// restart starts a server anew under its identity: it knows nothing but what
// lies on its host.
func (w *simulation) restart(id ring.VM) {
	old := w.servers[id]
	w.add(id, old.server.Domain)
	w.servers[id].server.Staged = old.server.Staged
}

// openHead returns the open head of a model in a domain, and its members.
func (w *simulation) openHead(m ring.Model, d ring.Domain) *simServer {
	for _, id := range w.ids() {
		s := w.servers[id]
		if s.alive && s.server.Place.State == ring.MemberOpen && s.server.Model == m && s.server.Domain == d {
			return s
		}
	}
	return nil
}
