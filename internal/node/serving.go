package node

import (
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/routing"
)

// isLeaving reports whether this node or a live peer knows that the VM is
// leaving; mu is held.
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

// Reason is why a group gets no requests; it is empty if the group gets them.
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

// exclusionReason returns why the group gets no requests, or ReasonNone, and the
// member at fault if there is one; mu is held.
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

// Route is a group that a request may go to.
type Route struct {
	Group   ring.Group
	Epoch   ring.Epoch
	Address string
	Slots   int
}

// GroupState is the state of a group in this node's view. VM is the member that
// causes Reason, if there is one.
type GroupState struct {
	Record            placement.StoredRecord
	Reason            Reason
	VM                ring.VM
	Outstanding       int
	EstimatedRequests float64
	Slowness          float64
}

// Group returns the state of a group.
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

// IsServing reports whether the route's group still has the same epoch and gets
// requests.
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

// IsLost reports whether the route's group is known not to finish its requests:
// its record was removed, is broken or has a later epoch, or a member reported a
// restart or a later epoch. A missing report does not count, because this node
// itself may be disconnected or have been paused; nor does a drain, in which
// requests finish.
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

// estimateRequests estimates the requests at a group: this node's own and those that live
// peers last reported; mu is held.
func (t *Table) estimateRequests(g ring.Group, now time.Time) float64 {
	load := float64(t.outstanding[g])
	for _, p := range t.peers {
		if now.Sub(p.HeardAt) <= peerTimeout {
			load += float64(p.Outstanding[g])
		}
	}
	return load
}

// Candidates returns the groups that can serve the target now, except those
// already tried. It reuses the slices c and r, which grow only when there are more
// groups than before.
func (t *Table) Candidates(target deployment.Target, tried map[ring.Group]bool, now time.Time, c []routing.Candidate, r []Route) ([]routing.Candidate, []Route) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c, r = c[:0], r[:0]
	if t.configuration == nil {
		return c, r
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
		c = append(c, routing.Candidate{
			Hash: routing.Hash(string(d.Name)), Load: t.estimateRequests(d.Name, now),
			Capacity: routing.Capacity(routing.GroupState{
				Slots: stored.Record.Slots, Slowness: t.slownessOf(d.Name), ReadyAt: stored.Record.ReadyAt,
			}, now),
		})
		r = append(r, Route{Group: d.Name, Epoch: stored.Record.Epoch, Address: head.Address, Slots: stored.Record.Slots})
	}
	return c, r
}

// BeginRequest counts a request at a group; EndRequest removes it.
func (t *Table) BeginRequest(g ring.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding[g]++
}

// EndRequest removes a request from its group and notifies waiting requests.
func (t *Table) EndRequest(g ring.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding[g]--
	t.notifyWaiters()
}

// Outstanding returns the numbers of this node's requests by group.
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

// VMReport returns the last report of a VM and whether it is known to be leaving.
func (t *Table) VMReport(vm ring.VM, now time.Time) (Report, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.reports[vm], t.isLeaving(vm, now)
}
