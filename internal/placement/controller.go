package placement

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// Options are the time limits of the decisions.
type Options struct {
	// DeadAfter is the silence after which a member counts as dead.
	DeadAfter time.Duration
	// DrainLimit is how long a draining group may finish its requests.
	DrainLimit time.Duration
	// DrainMinimum is how long a group drains at least, so that all nodes
	// have heard of it before it is taken apart.
	DrainMinimum time.Duration
	// OrderRetry is when an unanswered or unconfirmed order is sent again.
	OrderRetry time.Duration
	// BreakAfter is how long an incomplete group waits for its lost VMs before
	// its healthy members may complete another group.
	BreakAfter time.Duration
}

// DefaultOptions returns the limits used in production.
func DefaultOptions() Options {
	return Options{
		DeadAfter:    1300 * time.Millisecond,
		DrainLimit:   2 * time.Minute,
		DrainMinimum: 2 * time.Second,
		OrderRetry:   2 * time.Second,
		BreakAfter:   5 * time.Second,
	}
}

// Controller is the decision core. The zero value is not usable; call New.
type Controller struct {
	options       Options
	configuration *deployment.Configuration
	loaded        bool
	reloading     bool
	maxEpoch      ring.Epoch
	groups        map[ring.Group]*groupState
	vms           map[ring.VM]*vmState
}

// New returns a controller that decides nothing until it has a Configured and
// a Loaded event.
func New(o Options) *Controller {
	return &Controller{options: o, groups: map[ring.Group]*groupState{}, vms: map[ring.VM]*vmState{}}
}

// Step takes one event and returns the actions that follow from it.
func (c *Controller) Step(e Event, now time.Time) []Action {
	switch e := e.(type) {
	case Configured:
		c.configuration = e.Configuration
	case Loaded:
		c.load(e)
	case Reported:
		c.report(e)
		return nil
	case Listed:
		c.list(e.VMs)
	case CommitDone:
		return c.commitDone(e, now)
	case OrderDone:
		c.orderDone(e, now)
		return nil
	}
	return c.decide(now)
}

func (c *Controller) vm(name ring.VM) *vmState {
	v, ok := c.vms[name]
	if !ok {
		v = &vmState{}
		c.vms[name] = v
	}
	return v
}

func (c *Controller) load(e Loaded) {
	c.loaded = true
	c.reloading = false
	c.maxEpoch = max(c.maxEpoch, e.MaxEpoch)
	old := c.groups
	c.groups = map[ring.Group]*groupState{}
	for _, r := range e.Records {
		g := &groupState{record: r.Record, modified: r.Modified}
		if before, ok := old[r.Record.Group]; ok {
			g.drainFrom, g.brokenFrom, g.trail = before.drainFrom, before.brokenFrom, before.trail
		}
		c.groups[r.Record.Group] = g
		c.maxEpoch = max(c.maxEpoch, r.Record.Epoch)
	}
	for _, v := range c.vms {
		v.owner = ""
	}
	for _, o := range e.Owners {
		c.vm(o.VM).owner = o.Group
	}
}

func (c *Controller) report(e Reported) {
	v := c.vm(e.Status.VM)
	if v.heard.After(e.Asked) {
		return
	}
	v.status = e.Status
	v.heard = e.Asked
}

func (c *Controller) list(vms []ring.ListedVM) {
	for _, v := range c.vms {
		v.listed = ""
	}
	for _, l := range vms {
		c.vm(l.VM).listed = l.State
	}
}

func (c *Controller) orderDone(e OrderDone, now time.Time) {
	v := c.vm(e.VM)
	if v.ordered == e.Epoch && !e.Accepted {
		v.orderAgain = now.Add(c.options.OrderRetry / 4)
	}
}

func (c *Controller) commitDone(e CommitDone, now time.Time) []Action {
	g, ok := c.groups[e.Commit.Record.Group]
	if !ok {
		return nil
	}
	g.pending = false
	if !e.Accepted {
		return c.reload()
	}
	for _, vm := range e.Commit.Take {
		c.vm(vm).owner = e.Commit.Record.Group
	}
	for _, vm := range e.Commit.Release {
		c.vm(vm).owner = ""
	}
	if e.Commit.Delete {
		delete(c.groups, e.Commit.Record.Group)
		return c.decide(now)
	}
	g.record = e.Commit.Record
	g.modified = e.Revision
	out := c.follow(g, now)
	return append(out, c.decide(now)...)
}

// follow notes the part of a recovery that a stored record ends.
func (c *Controller) follow(g *groupState, now time.Time) []Action {
	switch g.record.Phase {
	case PhaseForming:
		g.trail.decided = now
	case PhaseReady:
		if r, ok := g.trail.done(g.record.Group, now); ok {
			return []Action{r}
		}
	}
	return nil
}

func (c *Controller) reload() []Action {
	c.reloading = true
	return []Action{Reload{}}
}

// decide looks at every group once, in order of need.
func (c *Controller) decide(now time.Time) []Action {
	if !c.loaded || c.reloading || c.configuration == nil {
		return nil
	}
	var out []Action
	for _, name := range c.undeclared() {
		out = append(out, c.retire(c.groups[name], now)...)
	}
	for _, g := range c.byNeed(now) {
		out = append(out, c.decideGroup(g, now)...)
	}
	return out
}

// undeclared returns the groups that have a record but no declaration.
func (c *Controller) undeclared() []ring.Group {
	var out []ring.Group
	for name := range c.groups {
		if _, declared := c.configuration.Group(name); !declared {
			out = append(out, name)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// retire drains an undeclared group and releases its VMs.
func (c *Controller) retire(g *groupState, now time.Time) []Action {
	if g.pending || g.modified == 0 {
		return nil
	}
	if g.record.Phase == PhaseReady {
		return c.drain(g, now)
	}
	if g.record.Phase == PhaseDraining && !c.isDrained(g, now) {
		return nil
	}
	return c.commit(g, Commit{Record: g.record, Delete: true, Release: vmsOf(g.record.Members)})
}

func (c *Controller) decideGroup(d deployment.Group, now time.Time) []Action {
	g, ok := c.groups[d.Name]
	if !ok {
		g = &groupState{record: Record{Group: d.Name}}
		c.groups[d.Name] = g
	}
	if g.pending {
		return nil
	}
	switch g.record.Phase {
	case PhaseForming:
		return c.decideForming(d, g, now)
	case PhaseReady:
		return c.decideReady(d, g, now)
	case PhaseDraining:
		if !c.isDrained(g, now) && c.isWhole(g.record, now) {
			return nil
		}
	}
	return c.form(d, g, now)
}

func (c *Controller) decideForming(d deployment.Group, g *groupState, now time.Time) []Action {
	if !c.isCurrent(d, g.record) || !c.isWhole(g.record, now) || c.anyLeaving(g.record) {
		return c.form(d, g, now)
	}
	if !c.isConfirmed(g.record) {
		out := c.order(g.record, now)
		if len(out) > 0 {
			g.trail.ordered = now
		}
		return out
	}
	g.trail.loaded = now
	next := g.record
	next.Phase = PhaseReady
	next.ReadyAt = now
	return c.commit(g, Commit{Record: next})
}

func (c *Controller) decideReady(d deployment.Group, g *groupState, now time.Time) []Action {
	if !c.isWhole(g.record, now) {
		g.trail.lose(c.lostAt(g.record, now), now)
		return c.form(d, g, now)
	}
	if c.isConfirmed(g.record) {
		// A working group is not taken apart for a declaration that no set of
		// VMs can meet now.
		isOutdated := !c.isCurrent(d, g.record) && c.find(d, g.record, now) != nil
		if isOutdated || c.anyLeaving(g.record) {
			return c.drain(g, now)
		}
		return nil
	}
	// A member runs but lost its place, for one by an order of an old
	// controller: the group has to load again under a new epoch.
	return c.form(d, g, now)
}

// drain stops new work at the group and lets it finish.
func (c *Controller) drain(g *groupState, now time.Time) []Action {
	next := g.record
	next.Phase = PhaseDraining
	next.DrainUntil = now.Add(c.options.DrainLimit)
	g.drainFrom = now
	return c.commit(g, Commit{Record: next})
}

// isDrained reports whether a draining group has no requests left. The load
// report lags, so the group drains for a minimum time first.
func (c *Controller) isDrained(g *groupState, now time.Time) bool {
	if g.drainFrom.IsZero() {
		g.drainFrom = now
	}
	if !g.record.DrainUntil.IsZero() && now.After(g.record.DrainUntil) {
		return true
	}
	if now.Before(g.drainFrom.Add(c.options.DrainMinimum)) || len(g.record.Members) == 0 {
		return false
	}
	head := c.vm(g.record.Members[0].VM)
	fresh := head.heard.After(g.drainFrom.Add(c.options.DrainMinimum))
	return fresh && head.status.Running == 0 && head.status.Waiting == 0
}

// order sends load orders to the members that have not confirmed the epoch.
func (c *Controller) order(r Record, now time.Time) []Action {
	var out []Action
	addresses := c.addresses(r)
	for rank, m := range r.Members {
		v := c.vm(m.VM)
		if v.status.Epoch == r.Epoch && v.status.Phase != ring.BackendEmpty {
			continue
		}
		if v.ordered == r.Epoch && now.Before(v.orderAgain) {
			continue
		}
		v.ordered = r.Epoch
		v.orderAgain = now.Add(c.options.OrderRetry)
		out = append(out, Send{VM: m.VM, Address: addresses[rank], Order: ring.Order{
			Epoch: r.Epoch, Group: r.Group, Rank: rank, Members: addresses, Spec: r.Spec, Slots: r.Slots,
		}})
	}
	return out
}

// commit fills the guard in and marks the group pending.
func (c *Controller) commit(g *groupState, a Commit) []Action {
	a.Guard = g.modified
	g.pending = true
	return []Action{a}
}

// SetConfiguration brings the configuration in force without deciding.
func (c *Controller) SetConfiguration(configuration *deployment.Configuration) {
	c.configuration = configuration
}
