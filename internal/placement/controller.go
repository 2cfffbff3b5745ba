package placement

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// Options are the time limits of a Controller.
type Options struct {
	// DeadAfter is how long a VM may go without a status report before it
	// counts as dead.
	DeadAfter time.Duration
	// DrainTimeout is how long a draining group, which gets no new requests, may take
	// to finish its requests.
	DrainTimeout time.Duration
	// MinDrainTime is the shortest time that a group drains, so that all nodes
	// learn of the draining before the group's VMs are released.
	MinDrainTime time.Duration
	// OrderRetry is the time after which an order is sent to a backend server again
	// if the server has not confirmed it.
	OrderRetry time.Duration
	// ReleaseAfter is how long a group without a full set of live members waits for
	// its lost VMs. Afterwards its usable members (alive and not about to leave) may
	// complete another group.
	ReleaseAfter time.Duration
}

// DefaultOptions returns the limits used in production.
func DefaultOptions() Options {
	return Options{
		DeadAfter:    1300 * time.Millisecond,
		DrainTimeout: 2 * time.Minute,
		MinDrainTime: 2 * time.Second,
		OrderRetry:   2 * time.Second,
		ReleaseAfter: 5 * time.Second,
	}
}

// Controller assigns VMs to the declared groups. It holds copies of the stored group
// records and of the VMs' last reports. The zero value is not usable; call New.
type Controller struct {
	options       Options
	configuration *deployment.Configuration
	// stateLoaded is set after the stored state was first received; reloading is set
	// while the controller waits to receive it again.
	stateLoaded bool
	reloading   bool
	// maxEpoch is the largest epoch, the number of an assignment, used so far.
	maxEpoch ring.Epoch
	groups   map[ring.Group]*groupState
	vms      map[ring.VM]*vmState
}

// New returns a controller that takes no decision before it has received a
// Configured and a StateLoaded event.
func New(o Options) *Controller {
	return &Controller{options: o, groups: map[ring.Group]*groupState{}, vms: map[ring.VM]*vmState{}}
}

// Step applies one event and returns the resulting actions, which the caller must
// perform. The events Reported and OrderEnded cause no actions.
func (c *Controller) Step(e Event, now time.Time) []Action {
	switch e := e.(type) {
	case Configured:
		c.configuration = e.Configuration
	case StateLoaded:
		c.applyStoredState(e)
	case Reported:
		c.updateVMStatus(e)
		return nil
	case VMsListed:
		c.updateVMList(e.VMs)
	case CommitEnded:
		return c.recordCommitEnd(e, now)
	case OrderEnded:
		c.recordOrderEnd(e, now)
		return nil
	}
	return c.reconcileAllGroups(now)
}

// vmStateFor returns the controller's state of the VM. For an unknown VM it adds an
// empty state.
func (c *Controller) vmStateFor(name ring.VM) *vmState {
	v, ok := c.vms[name]
	if !ok {
		v = &vmState{}
		c.vms[name] = v
	}
	return v
}

// applyStoredState replaces the controller's records and owners by those read from
// the store. Known groups keep their timers.
func (c *Controller) applyStoredState(e StateLoaded) {
	c.stateLoaded = true
	c.reloading = false
	c.maxEpoch = max(c.maxEpoch, e.MaxEpoch)
	old := c.groups
	c.groups = map[ring.Group]*groupState{}
	for _, r := range e.Records {
		g := &groupState{record: r.Record, modified: r.Modified}
		if before, ok := old[r.Record.Group]; ok {
			g.drainingSince, g.incompleteSince, g.recovery = before.drainingSince, before.incompleteSince, before.recovery
		}
		c.groups[r.Record.Group] = g
		c.maxEpoch = max(c.maxEpoch, r.Record.Epoch)
	}
	for _, v := range c.vms {
		v.owner = ""
	}
	for _, o := range e.Owners {
		c.vmStateFor(o.VM).owner = o.Group
	}
}

// updateVMStatus stores the status of a backend server. It does nothing if it already
// has a status that was requested later.
func (c *Controller) updateVMStatus(e Reported) {
	v := c.vmStateFor(e.Status.VM)
	if v.lastSeen.After(e.RequestedAt) {
		return
	}
	v.status = e.Status
	v.lastSeen = e.RequestedAt
}

// updateVMList replaces the platform's states of all VMs by those in vms. A VM that
// is missing from vms has no platform state afterwards.
func (c *Controller) updateVMList(vms []ring.ListedVM) {
	for _, v := range c.vms {
		v.platformState = ""
	}
	for _, l := range vms {
		c.vmStateFor(l.VM).platformState = l.State
	}
}

// recordOrderEnd handles an order that was not accepted: the order may be sent again
// after a quarter of OrderRetry.
func (c *Controller) recordOrderEnd(e OrderEnded, now time.Time) {
	v := c.vmStateFor(e.VM)
	if v.orderEpoch == e.Epoch && !e.Accepted {
		v.orderRetryAt = now.Add(c.options.OrderRetry / 4)
	}
}

// recordCommitEnd applies an accepted commit to the controller's copies of the stored
// state and reconciles all groups. If the commit was not accepted, it returns the
// action that requests the stored state.
func (c *Controller) recordCommitEnd(e CommitEnded, now time.Time) []Action {
	g, ok := c.groups[e.Commit.Record.Group]
	if !ok {
		return nil
	}
	g.isCommitting = false
	if !e.Accepted {
		return c.requestStateReload()
	}
	for _, vm := range e.Commit.Take {
		c.vmStateFor(vm).owner = e.Commit.Record.Group
	}
	for _, vm := range e.Commit.Release {
		c.vmStateFor(vm).owner = ""
	}
	if e.Commit.Delete {
		delete(c.groups, e.Commit.Record.Group)
		return c.reconcileAllGroups(now)
	}
	g.record = e.Commit.Record
	g.modified = e.Revision
	out := c.updateRecovery(g, now)
	return append(out, c.reconcileAllGroups(now)...)
}

// updateRecovery records the end of a part of a group's recovery after the group's
// record was stored. It returns a Recovered action if that was the last part, else
// nil.
func (c *Controller) updateRecovery(g *groupState, now time.Time) []Action {
	switch g.record.Phase {
	case PhaseForming:
		g.recovery.decidedAt = now
	case PhaseReady:
		if r, ok := g.recovery.finish(g.record.Group, now); ok {
			return []Action{r}
		}
	}
	return nil
}

// requestStateReload returns the action that requests the stored state. Until the
// state arrives, no group is reconciled.
func (c *Controller) requestStateReload() []Action {
	c.reloading = true
	return []Action{ReloadState{}}
}

// reconcileAllGroups checks every group once and returns the actions that bring the
// groups closer to their declarations: undeclared groups first, then the declared
// groups by priority.
func (c *Controller) reconcileAllGroups(now time.Time) []Action {
	if !c.stateLoaded || c.reloading || c.configuration == nil {
		return nil
	}
	var out []Action
	for _, name := range c.undeclaredGroups() {
		out = append(out, c.releaseUndeclaredGroup(c.groups[name], now)...)
	}
	for _, g := range c.groupsByPriority(now) {
		out = append(out, c.reconcileGroup(g, now)...)
	}
	return out
}

// undeclaredGroups returns the groups that have a record but no declaration.
func (c *Controller) undeclaredGroups() []ring.Group {
	var out []ring.Group
	for name := range c.groups {
		if _, declared := c.configuration.Group(name); !declared {
			out = append(out, name)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// releaseUndeclaredGroup returns the commit that drains a ready group without a
// declaration. If the group has drained or was not serving, the commit deletes its
// record and releases its VMs. It returns nil while the group drains or a commit is
// pending.
func (c *Controller) releaseUndeclaredGroup(g *groupState, now time.Time) []Action {
	if g.isCommitting || g.modified == 0 {
		return nil
	}
	if g.record.Phase == PhaseReady {
		return c.drainGroup(g, now)
	}
	if g.record.Phase == PhaseDraining && !c.isDrained(g, now) {
		return nil
	}
	return c.commitRecord(g, Commit{Record: g.record, Delete: true, Release: memberVMs(g.record.Members)})
}

// reconcileGroup returns the actions that a declared group needs in its present
// phase. There are none while a commit is pending, while the group may drain, or
// while it serves as declared.
func (c *Controller) reconcileGroup(d deployment.Group, now time.Time) []Action {
	g, ok := c.groups[d.Name]
	if !ok {
		g = &groupState{record: Record{Group: d.Name}}
		c.groups[d.Name] = g
	}
	if g.isCommitting {
		return nil
	}
	switch g.record.Phase {
	case PhaseForming:
		return c.reconcileForming(d, g, now)
	case PhaseReady:
		return c.reconcileReady(d, g, now)
	case PhaseDraining:
		if !c.isDrained(g, now) && c.isComplete(g.record, now) {
			return nil
		}
	}
	return c.formGroup(d, g, now)
}

// reconcileForming returns the actions for a group whose members are loading its
// model. It marks the group ready when all members have confirmed, and sends missing
// orders before that. If a member was lost or is leaving, or the declaration changed,
// it assigns members again.
func (c *Controller) reconcileForming(d deployment.Group, g *groupState, now time.Time) []Action {
	if !c.matchesDeclaration(d, g.record) || !c.isComplete(g.record, now) || c.hasLeavingMember(g.record) {
		return c.formGroup(d, g, now)
	}
	if !c.isConfirmed(g.record) {
		out := c.sendOrders(g.record, now)
		if len(out) > 0 {
			g.recovery.orderedAt = now
		}
		return out
	}
	g.recovery.weightsLoadedAt = now
	next := g.record
	next.Phase = PhaseReady
	next.ReadyAt = now
	return c.commitRecord(g, Commit{Record: next})
}

// reconcileReady returns the actions for a ready group. If a member was lost or no
// longer confirms the group's epoch, it assigns members again. If a member is
// leaving, or the declaration changed and can be satisfied, it drains the group.
func (c *Controller) reconcileReady(d deployment.Group, g *groupState, now time.Time) []Action {
	if !c.isComplete(g.record, now) {
		g.recovery.start(c.oldestReportTime(g.record, now), now)
		return c.formGroup(d, g, now)
	}
	if c.isConfirmed(g.record) {
		// If no available set of VMs satisfies the new declaration, the group
		// keeps serving with its present members.
		isOutdated := !c.matchesDeclaration(d, g.record) && c.findMembers(d, g.record, now) != nil
		if isOutdated || c.hasLeavingMember(g.record) {
			return c.drainGroup(g, now)
		}
		return nil
	}
	// A member is alive but no longer confirms this epoch, for example after an
	// order of a previous controller. The group must load its model again under a
	// new epoch.
	return c.formGroup(d, g, now)
}

// drainGroup returns the commit that marks the group as draining. A draining group
// gets no new requests and has at most DrainTimeout to finish its requests.
func (c *Controller) drainGroup(g *groupState, now time.Time) []Action {
	next := g.record
	next.Phase = PhaseDraining
	next.DrainUntil = now.Add(c.options.DrainTimeout)
	g.drainingSince = now
	return c.commitRecord(g, Commit{Record: next})
}

// isDrained reports whether a draining group has no requests left or has reached its
// deadline. Reported request counts may be out of date. Before the deadline, only a
// report that was requested after MinDrainTime counts.
func (c *Controller) isDrained(g *groupState, now time.Time) bool {
	if g.drainingSince.IsZero() {
		g.drainingSince = now
	}
	if !g.record.DrainUntil.IsZero() && now.After(g.record.DrainUntil) {
		return true
	}
	if now.Before(g.drainingSince.Add(c.options.MinDrainTime)) || len(g.record.Members) == 0 {
		return false
	}
	head := c.vmStateFor(g.record.Members[0].VM)
	isRecent := head.lastSeen.After(g.drainingSince.Add(c.options.MinDrainTime))
	return isRecent && head.status.Running == 0 && head.status.Waiting == 0
}

// sendOrders returns the orders to load the group's model. It leaves out the members
// that have reported the record's epoch or were sent an order recently.
func (c *Controller) sendOrders(r Record, now time.Time) []Action {
	var out []Action
	addresses := c.memberAddresses(r)
	for rank, m := range r.Members {
		v := c.vmStateFor(m.VM)
		if v.status.Epoch == r.Epoch && v.status.Phase != ring.BackendEmpty {
			continue
		}
		if v.orderEpoch == r.Epoch && now.Before(v.orderRetryAt) {
			continue
		}
		v.orderEpoch = r.Epoch
		v.orderRetryAt = now.Add(c.options.OrderRetry)
		out = append(out, SendOrder{VM: m.VM, Address: addresses[rank], Order: ring.Order{
			Epoch: r.Epoch, Group: r.Group, Rank: rank, Members: addresses, Spec: r.Spec, Slots: r.Slots,
		}})
	}
	return out
}

// commitRecord returns the commit a as an action and adds the guard that the stored
// revision of the group's record is unchanged. The group is not reconciled again
// until the commit has ended.
func (c *Controller) commitRecord(g *groupState, a Commit) []Action {
	a.Guard = g.modified
	g.isCommitting = true
	return []Action{a}
}

// SetConfiguration sets the active configuration. Unlike a Configured event, it does
// not reconcile the groups.
func (c *Controller) SetConfiguration(configuration *deployment.Configuration) {
	c.configuration = configuration
}
