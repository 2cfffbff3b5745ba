package node

import (
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/routing"
)

// isLeaving reports whether the VM will stop soon according to the platform's list,
// the VM's own report or a live peer; mu is held.
func (t *Table) isLeaving(vm ring.VM, now time.Time) bool {
	if t.listedLeaving[vm] || t.reports[vm].Status.Leaving {
		return true
	}
	for _, p := range t.peers {
		if now.Sub(p.HeardAt) > peerTimeout {
			continue
		}
		for _, leaving := range p.Leaving {
			if leaving == vm {
				return true
			}
		}
	}
	return false
}

// Reason is why this node sends no requests to a group; it is empty if the group
// may get requests.
type Reason string

// The reasons why a group gets no requests.
const (
	ReasonNone      Reason = ""
	ReasonNoRecord  Reason = "no record"
	ReasonNotReady  Reason = "not ready"
	ReasonStale     Reason = "no recent report of a member"
	ReasonRestarted Reason = "a member has restarted"
	ReasonMismatch  Reason = "a member does not confirm the epoch"
	ReasonLeaving   Reason = "a member is leaving"
)

// exclusionReason returns why the group of record r gets no requests, and the member
// VM that causes this, if any. It returns ReasonNone if the group may get requests;
// mu is held.
func (t *Table) exclusionReason(r placement.Record, now time.Time) (Reason, ring.VM) {
	if r.Phase != placement.PhaseReady {
		return ReasonNotReady, ""
	}
	for _, m := range r.Members {
		report, ok := t.reports[m.VM]
		switch {
		case !ok || now.Sub(report.RequestedAt) > t.maxReportAge:
			return ReasonStale, m.VM
		case report.Status.Incarnation != m.Incarnation:
			return ReasonRestarted, m.VM
		case report.Status.Epoch != r.Epoch || report.Status.Group != r.Group || report.Status.Phase != ring.BackendReady:
			return ReasonMismatch, m.VM
		case t.isLeaving(m.VM, now):
			return ReasonLeaving, m.VM
		}
	}
	return ReasonNone, ""
}

// Route is a group that a request may go to. Address is that of the group's head, and
// Slots is how many requests the group runs at once.
type Route struct {
	Group   ring.Group
	Epoch   ring.Epoch
	Address string
	Slots   int
	// Head and Incarnation identify the process of the group's head.
	Head        ring.VM
	Incarnation string
}

// GroupState is the state of a group in this node's view. VM is the member that
// causes Reason, if there is one.
type GroupState struct {
	Record placement.StoredRecord
	Reason Reason
	VM     ring.VM
	// Outstanding is the number of this node's requests at the group.
	// EstimatedRequests adds the requests of live peers, as last reported.
	Outstanding       int
	EstimatedRequests float64
	// Slowness is the ratio of the group's event gap to the median of all groups, or
	// 1 if the group is not slow.
	Slowness float64
}

// Group returns the state of a group at the time now. A group without a record has
// only a Reason.
func (t *Table) Group(g ring.Group, now time.Time) GroupState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.records[g]
	if !ok {
		return GroupState{Reason: ReasonNoRecord}
	}
	reason, vm := t.exclusionReason(r.Record, now)
	return GroupState{
		Record: r, Reason: reason, VM: vm,
		Outstanding: t.outstanding[g], EstimatedRequests: t.estimateRequests(g, now), Slowness: t.slownessOf(g),
	}
}

// IsServing reports whether the route's group still has the epoch in the route and
// may get requests.
func (t *Table) IsServing(r Route, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	stored, ok := t.records[r.Group]
	if !ok || stored.Record.Epoch != r.Epoch {
		return false
	}
	reason, _ := t.exclusionReason(stored.Record, now)
	return reason == ReasonNone
}

// IsLost reports whether the route's group is known not to finish its requests. It is
// if the group's record was removed, is broken or has a later epoch, or if a member
// reported a restart or a later epoch. A missing report does not count, because this
// node itself may be disconnected or have been paused. A drain does not count either,
// because requests finish in it.
func (t *Table) IsLost(r Route) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	stored, ok := t.records[r.Group]
	if !ok || stored.Record.Epoch > r.Epoch || stored.Record.Phase == placement.PhaseBroken {
		return true
	}
	for _, m := range stored.Record.Members {
		report, reported := t.reports[m.VM]
		if reported && (report.Status.Incarnation != m.Incarnation || report.Status.Epoch > r.Epoch) {
			return true
		}
	}
	return false
}

// estimateRequests returns the number of this node's requests at a group plus those
// that live peers last reported; mu is held.
func (t *Table) estimateRequests(g ring.Group, now time.Time) float64 {
	total := float64(t.outstanding[g])
	for _, p := range t.peers {
		if now.Sub(p.HeardAt) <= peerTimeout {
			total += float64(p.Outstanding[g])
		}
	}
	return total
}

// Candidates returns the groups that can serve the target model now, except those in
// tried: as candidates for the routing decision and, at the same indexes, as routes.
// It overwrites and returns the slices candidates and routes, to allocate only when
// there are more groups than before.
func (t *Table) Candidates(target deployment.Target, tried map[ring.Group]bool, now time.Time, candidates []routing.Candidate, routes []Route) ([]routing.Candidate, []Route) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	candidates, routes = candidates[:0], routes[:0]
	if t.configuration == nil {
		return candidates, routes
	}
	for _, d := range t.configuration.Groups() {
		stored, ok := t.records[d.Name]
		if !ok || !target.Serves(stored.Record.Spec) || tried[d.Name] {
			continue
		}
		if reason, _ := t.exclusionReason(stored.Record, now); reason != ReasonNone {
			continue
		}
		head, ok := t.configuration.VM(stored.Record.Members[0].VM)
		if !ok {
			continue
		}
		candidates = append(candidates, routing.Candidate{
			Hash: routing.Hash(string(d.Name)), Load: t.estimateRequests(d.Name, now),
			Capacity: routing.Capacity(routing.GroupState{
				Slots: stored.Record.Slots, Slowness: t.slownessOf(d.Name), ReadyAt: stored.Record.ReadyAt,
			}, now),
		})
		routes = append(routes, Route{Group: d.Name, Epoch: stored.Record.Epoch, Address: head.Address, Slots: stored.Record.Slots, Head: head.Name, Incarnation: stored.Record.Members[0].Incarnation})
	}
	return candidates, routes
}

// BeginRequest counts a request of this node at a group until EndRequest is called.
func (t *Table) BeginRequest(g ring.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding[g]++
}

// EndRequest removes one of this node's requests from the count of its group and
// wakes the requests that wait for a group.
func (t *Table) EndRequest(g ring.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding[g]--
	t.notifyWaiters()
}

// Outstanding returns the numbers of this node's requests that have not ended, by
// group.
func (t *Table) Outstanding() map[ring.Group]int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[ring.Group]int, len(t.outstanding))
	for g, n := range t.outstanding {
		if n > 0 {
			out[g] = n
		}
	}
	return out
}

// VMReport returns the last report of the VM's backend server, or a zero Report if
// there is none. It also returns whether the VM is known to be leaving, that is,
// about to stop.
func (t *Table) VMReport(vm ring.VM, now time.Time) (Report, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.reports[vm], t.isLeaving(vm, now)
}
