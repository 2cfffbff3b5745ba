package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/routing"
)

const (
	// orderTimeout bounds one order. Takeover is longer, so that no order of
	// a former controller is still on its way when a new one begins.
	orderTimeout = 800 * time.Millisecond
	// leaseMargin is taken off the controller's lease for the clocks.
	leaseMargin = 300 * time.Millisecond
)

// campaignInterval is the time between the tries of two nodes for a vacancy.
const campaignInterval = 150 * time.Millisecond

// mayCampaign reports whether this node may try for the controller's lease: as
// far as it knows from the state that it watches, nobody holds it.
func (n *Node) mayCampaign() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.draining && n.storeUp && n.stateListed && !n.hasController
}

func (n *Node) recordController(taken bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hasController = taken
	n.stateListed = true
}

// campaignRank returns how many live nodes try for the controller's lease before this
// one. All nodes order themselves alike by hashing.
func (n *Node) campaignRank() int {
	own := routing.Hash(catalog.ControllerKey + n.config.Name)
	before := 0
	for peer := range n.table.liveAddresses(time.Now()) {
		if routing.Hash(catalog.ControllerKey+peer) < own {
			before++
		}
	}
	return before
}

// term is one holding of the controller's lease.
type term struct {
	lease ring.Lease
	// created is the revision at which the controller's key was created; every
	// write of the term requires it.
	created ring.Revision
	// validUntil is the local time up to which the lease certainly holds.
	validUntil time.Time
}

// runController tries to win the controller's lease and, while it holds it,
// drives placement.
func (n *Node) runController(ctx context.Context) {
	for ctx.Err() == nil {
		t, ok := n.campaign(ctx)
		if !ok {
			clock.Sleep(ctx, n.config.Timing.ControllerTTL/6)
			continue
		}
		n.setController(true)
		n.log.Write(event.ControllerLeaseAcquired, slog.Int64("term", int64(t.created)))
		n.lead(ctx, t)
		n.setController(false)
		n.log.Write(event.ControllerLeaseLost, slog.Int64("term", int64(t.created)))
	}
}

func (n *Node) setController(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isController = on
}

func (n *Node) campaign(ctx context.Context) (*term, bool) {
	if !n.mayCampaign() {
		return nil, false
	}
	// Nodes try one after the other, so that a vacancy does not bring a write
	// of every node at once.
	clock.Sleep(ctx, time.Duration(n.campaignRank())*campaignInterval)
	if !n.mayCampaign() {
		return nil, false
	}
	span := n.config.Timing.ControllerTTL
	begin := time.Now()
	lease, err := n.config.Store.Grant(ctx, span)
	if err != nil {
		return nil, false
	}
	txn := ring.Txn{
		Guards: []ring.Guard{ring.Absent(catalog.ControllerKey)},
		Writes: []ring.Write{{Key: catalog.ControllerKey, Value: []byte(n.config.Name + "/" + n.config.Incarnation), Lease: lease}},
	}
	result, err := n.config.Store.Commit(ctx, txn)
	if err != nil || !result.Succeeded {
		_ = n.config.Store.Revoke(ctx, lease) // An ambiguous win is given up; the lease ends it.
		return nil, false
	}
	return &term{lease: lease, created: result.Revision, validUntil: begin.Add(span - leaseMargin)}, true
}

// lead drives the placement core until the term ends.
func (n *Node) lead(ctx context.Context, t *term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewed := make(chan time.Time, 1)
	go n.renewLease(ctx, t.lease, renewed)
	g := &controllerTerm{node: n, term: t, core: placement.New(n.config.Placement), takeoverEnd: time.Now().Add(n.config.Timing.TakeoverDelay)}
	g.start(ctx)
	ticker := time.NewTicker(n.config.Timing.DecisionInterval)
	defer ticker.Stop()
	for {
		if !time.Now().Before(t.validUntil) || n.IsDraining() {
			n.resign(ctx, t)
			return
		}
		select {
		case <-ctx.Done():
			n.resign(ctx, t)
			return
		case until := <-renewed:
			t.validUntil = until
		case e := <-n.events:
			g.step(ctx, e)
		case <-ticker.C:
			g.step(ctx, placement.Tick{})
		}
	}
}

// renewLease keeps the lease and tells until when it certainly holds, counted from
// before the renewal was sent.
func (n *Node) renewLease(ctx context.Context, lease ring.Lease, renewed chan<- time.Time) {
	clock.Every(ctx, n.config.Timing.ControllerTTL/4, func(ctx context.Context) {
		begin := time.Now()
		if n.config.Store.Renew(ctx, lease) != nil {
			return
		}
		select {
		case renewed <- begin.Add(n.config.Timing.ControllerTTL - leaseMargin):
		default:
		}
	})
}

func (n *Node) resign(ctx context.Context, t *term) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = n.config.Store.Revoke(ctx, t.lease)
}

// controllerTerm performs the actions of the placement core in their order.
type controllerTerm struct {
	node        *Node
	term        *term
	core        *placement.Controller
	takeoverEnd time.Time
}

func (g *controllerTerm) start(ctx context.Context) {
	g.reload(ctx)
	if c, _ := g.node.table.Configuration(); c != nil {
		g.step(ctx, placement.Configured{Configuration: c})
	}
}

func (g *controllerTerm) step(ctx context.Context, e placement.Event) {
	if time.Now().Before(g.takeoverEnd) {
		g.observe(e)
		return
	}
	if _, tick := e.(placement.Tick); tick {
		g.node.meter.observe(g.core.Measure(time.Now()), time.Now(), g.node.log)
	}
	g.perform(ctx, g.core.Step(e, time.Now()))
}

// observe feeds the core while the takeover wait lasts. Its actions are
// dropped; a Tick is not fed, so no decision is pending after the wait.
func (g *controllerTerm) observe(e placement.Event) {
	switch e := e.(type) {
	case placement.Reported:
		g.core.Step(e, time.Now())
	case placement.Configured:
		g.core.SetConfiguration(e.Configuration)
	}
}

func (g *controllerTerm) perform(ctx context.Context, actions []placement.Action) {
	for _, a := range actions {
		// A pause may have outlasted the lease; an old controller must not act.
		if !time.Now().Before(g.term.validUntil) {
			return
		}
		switch a := a.(type) {
		case placement.Commit:
			g.commit(ctx, a)
		case placement.SendOrder:
			go g.sendOrder(ctx, a, g.term.validUntil)
		case placement.ReloadState:
			g.reload(ctx)
		case placement.Recovered:
			g.node.meter.addRecovery(a)
			g.node.log.Write(event.GroupRecovered, slog.String("group", string(a.Group)), slog.Duration("detect", a.Detect),
				slog.Duration("decide", a.Decide), slog.Duration("order", a.Order), slog.Duration("load", a.Load), slog.Duration("ready", a.Ready))
		}
	}
}

func (g *controllerTerm) commit(ctx context.Context, a placement.Commit) {
	result, err := g.node.config.Store.Commit(ctx, g.txn(a))
	accepted := err == nil && result.Succeeded
	kind := event.GroupRecordWritten
	if !accepted {
		kind = event.GroupRecordRejected
	}
	g.node.log.Write(kind, slog.String("group", string(a.Record.Group)), slog.Uint64("epoch", uint64(a.Record.Epoch)),
		slog.String("phase", string(a.Record.Phase)), slog.Bool("delete", a.Delete), slog.Any("error", err))
	if accepted && !a.Delete {
		g.node.table.PutRecord(placement.StoredRecord{Record: a.Record, Modified: result.Revision})
	}
	g.perform(ctx, g.core.Step(placement.CommitEnded{Commit: a, Accepted: accepted, Revision: result.Revision}, time.Now()))
}

func (g *controllerTerm) txn(a placement.Commit) ring.Txn {
	key := catalog.GroupKey(a.Record.Group)
	txn := ring.Txn{Guards: []ring.Guard{
		ring.CreatedAt(catalog.ControllerKey, g.term.created),
		ring.Unchanged(key, a.Guard),
	}}
	if a.Delete {
		txn.Writes = append(txn.Writes, ring.Write{Key: key, Delete: true})
	} else {
		value, err := json.Marshal(a.Record)
		if err != nil {
			panic(err) // A Record holds nothing that JSON cannot write.
		}
		epoch := strconv.FormatUint(uint64(a.Record.Epoch), 10)
		txn.Writes = append(txn.Writes, ring.Write{Key: key, Value: value}, ring.Write{Key: catalog.EpochKey, Value: []byte(epoch)})
	}
	for _, vm := range a.Take {
		txn.Guards = append(txn.Guards, ring.Absent(catalog.OwnerKey(vm)))
		txn.Writes = append(txn.Writes, ring.Write{Key: catalog.OwnerKey(vm), Value: []byte(a.Record.Group)})
	}
	for _, vm := range a.Release {
		txn.Writes = append(txn.Writes, ring.Write{Key: catalog.OwnerKey(vm), Delete: true})
	}
	return txn
}

// reload reads the stored state; while it fails, nothing is decided.
func (g *controllerTerm) reload(ctx context.Context) {
	for ctx.Err() == nil && time.Now().Before(g.term.validUntil) {
		loaded, err := g.readState(ctx)
		if err == nil {
			g.perform(ctx, g.core.Step(loaded, time.Now()))
			return
		}
		clock.Sleep(ctx, g.node.config.Timing.DecisionInterval)
	}
}

func (g *controllerTerm) readState(ctx context.Context) (placement.StateLoaded, error) {
	var out placement.StateLoaded
	store := g.node.config.Store
	groups, _, err := store.List(ctx, catalog.GroupPrefix)
	if err != nil {
		return out, err
	}
	for _, e := range groups {
		var r placement.Record
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return out, err
		}
		out.Records = append(out.Records, placement.StoredRecord{Record: r, Modified: e.Modified})
	}
	owners, _, err := store.List(ctx, catalog.OwnerPrefix)
	if err != nil {
		return out, err
	}
	for _, e := range owners {
		vm := ring.VM(strings.TrimPrefix(e.Key, catalog.OwnerPrefix))
		out.Owners = append(out.Owners, placement.Owner{VM: vm, Group: ring.Group(e.Value)})
	}
	epoch, ok, err := store.Get(ctx, catalog.EpochKey)
	if err != nil || !ok {
		return out, err
	}
	number, err := strconv.ParseUint(string(epoch.Value), 10, 64)
	out.MaxEpoch = ring.Epoch(number)
	return out, err
}

// sendOrder sends one order. It is given up with the term, and read back by the
// probes: only a status with the order's epoch confirms it.
func (g *controllerTerm) sendOrder(ctx context.Context, a placement.SendOrder, until time.Time) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !time.Now().Before(until) {
		return
	}
	err := g.node.config.Backends.Send(ctx, a.Address, a.Order)
	kind := event.OrderSent
	switch {
	case errors.Is(err, ring.ErrFenced):
		kind = event.OrderFenced
	case err != nil:
		kind = event.OrderFailed
	}
	g.node.log.Write(kind, slog.String("vm", string(a.VM)), slog.String("group", string(a.Order.Group)),
		slog.Uint64("epoch", uint64(a.Order.Epoch)), slog.Any("error", err))
	g.node.queueEvent(placement.OrderEnded{VM: a.VM, Epoch: a.Order.Epoch, Accepted: err == nil})
}
