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
	// orderTimeout bounds the sending of one order to a backend server.
	// Timing.TakeoverDelay is longer, so that no order of a former controller is
	// still in flight when a new controller sends its first.
	orderTimeout = 800 * time.Millisecond
	// leaseMargin is subtracted from the TTL of the controller's lease when this node
	// computes the lease's expiry, because clocks drift.
	leaseMargin = 300 * time.Millisecond
)

// campaignInterval is the time between two nodes' attempts to acquire the
// controller's lease when it is free. Nodes try one after another.
const campaignInterval = 150 * time.Millisecond

// mayCampaign reports whether this node may try to acquire the controller's
// lease: it is not draining, it reaches the store, and the store held no
// controller's key when it was last read.
func (n *Node) mayCampaign() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.draining && n.storeUp && n.stateListed && !n.hasController
}

// recordControllerExists records whether the store held a controller's key when this
// node last read it.
func (n *Node) recordControllerExists(exists bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hasController = exists
	n.stateListed = true
}

// campaignRank returns how many live nodes try to acquire the controller's lease
// before this node. All nodes compute the same order from the hashes of their names.
func (n *Node) campaignRank() int {
	ownHash := routing.Hash(catalog.ControllerKey + n.config.Name)
	rank := 0
	for peer := range n.table.liveAddresses(time.Now()) {
		if routing.Hash(catalog.ControllerKey+peer) < ownHash {
			rank++
		}
	}
	return rank
}

// leaseTerm is one period in which this node holds the controller's lease.
type leaseTerm struct {
	lease ring.Lease
	// createdRevision is the store's revision at which the controller's key was
	// created. Every write of the term is guarded by this revision.
	createdRevision ring.Revision
	// validUntil is the local time up to which the lease certainly holds.
	validUntil time.Time
}

// runController campaigns for the controller's lease and runs the placement
// controller while this node holds it.
func (n *Node) runController(ctx context.Context) {
	for ctx.Err() == nil {
		t, ok := n.campaign(ctx)
		if !ok {
			clock.Sleep(ctx, n.config.Timing.ControllerTTL/6)
			continue
		}
		n.setIsController(true)
		n.log.Write(event.ControllerLeaseAcquired, slog.Int64("term", int64(t.createdRevision)))
		n.runTerm(ctx, t)
		n.setIsController(false)
		n.log.Write(event.ControllerLeaseLost, slog.Int64("term", int64(t.createdRevision)))
	}
}

// setIsController records whether this node holds the controller's lease.
func (n *Node) setIsController(isController bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isController = isController
}

// campaign tries once to acquire the controller's lease and returns the new term. It
// returns nil and false if this node may not try, or if the lease was not acquired or
// the outcome is unknown.
func (n *Node) campaign(ctx context.Context) (*leaseTerm, bool) {
	if !n.mayCampaign() {
		return nil, false
	}
	// Nodes try one after another, so that not all of them write at once when
	// the lease becomes free.
	clock.Sleep(ctx, time.Duration(n.campaignRank())*campaignInterval)
	if !n.mayCampaign() {
		return nil, false
	}
	ttl := n.config.Timing.ControllerTTL
	sentAt := time.Now()
	lease, err := n.config.Store.Grant(ctx, ttl)
	if err != nil {
		return nil, false
	}
	txn := ring.Txn{
		Guards: []ring.Guard{ring.Absent(catalog.ControllerKey)},
		Writes: []ring.Write{{Key: catalog.ControllerKey, Value: []byte(n.config.Name + "/" + n.config.Incarnation), Lease: lease}},
	}
	result, err := n.config.Store.Commit(ctx, txn)
	if err != nil || !result.Succeeded {
		_ = n.config.Store.Revoke(ctx, lease) // An unknown outcome counts as lost; the key ends with the lease.
		return nil, false
	}
	return &leaseTerm{lease: lease, createdRevision: result.Revision, validUntil: sentAt.Add(ttl - leaseMargin)}, true
}

// runTerm runs the placement controller until the lease expires, the node drains or
// ctx is cancelled. It then revokes the lease.
func (n *Node) runTerm(ctx context.Context, t *leaseTerm) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewed := make(chan time.Time, 1)
	go n.renewLease(ctx, t.lease, renewed)
	c := &controllerTerm{node: n, term: t, controller: placement.New(n.config.Placement), takeoverEnd: time.Now().Add(n.config.Timing.TakeoverDelay)}
	c.startController(ctx)
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
		case validUntil := <-renewed:
			t.validUntil = validUntil
		case e := <-n.events:
			c.stepController(ctx, e)
		case <-ticker.C:
			c.stepController(ctx, placement.Tick{})
		}
	}
}

// renewLease renews the controller's lease at intervals. After each successful
// renewal it sends the time until which the lease certainly holds to the channel
// renewed, or drops this time if the channel's buffer is full. The time is counted
// from before the renewal was sent.
func (n *Node) renewLease(ctx context.Context, lease ring.Lease, renewed chan<- time.Time) {
	clock.Every(ctx, n.config.Timing.ControllerTTL/4, func(ctx context.Context) {
		sentAt := time.Now()
		if n.config.Store.Renew(ctx, lease) != nil {
			return
		}
		select {
		case renewed <- sentAt.Add(n.config.Timing.ControllerTTL - leaseMargin):
		default:
		}
	})
}

// resign revokes the controller's lease, even if ctx is cancelled.
func (n *Node) resign(ctx context.Context, t *leaseTerm) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = n.config.Store.Revoke(ctx, t.lease)
}

// controllerTerm runs the placement controller while this node holds the controller's
// lease. It passes events to the placement controller and performs the actions that
// it returns, in order.
type controllerTerm struct {
	node       *Node
	term       *leaseTerm
	controller *placement.Controller
	// takeoverEnd is when Timing.TakeoverDelay has passed. Actions are performed only
	// after it.
	takeoverEnd time.Time
}

// startController passes the stored state and the active configuration to the
// placement controller.
func (c *controllerTerm) startController(ctx context.Context) {
	c.reloadState(ctx)
	if configuration, _ := c.node.table.Configuration(); configuration != nil {
		c.stepController(ctx, placement.Configured{Configuration: configuration})
	}
}

// stepController passes an event to the placement controller and performs the
// resulting actions. During the takeover delay it calls observeEvent instead.
func (c *controllerTerm) stepController(ctx context.Context, e placement.Event) {
	if time.Now().Before(c.takeoverEnd) {
		c.observeEvent(e)
		return
	}
	if _, tick := e.(placement.Tick); tick {
		c.node.meter.addMeasurement(c.controller.Measure(time.Now()), time.Now(), c.node.log)
	}
	c.performActions(ctx, c.controller.Step(e, time.Now()))
}

// observeEvent passes a server's report or a configuration to the placement
// controller without performing actions, and drops other events. It passes no
// Tick, so that no decision is pending after the takeover delay.
func (c *controllerTerm) observeEvent(e placement.Event) {
	switch e := e.(type) {
	case placement.Reported:
		c.controller.Step(e, time.Now())
	case placement.Configured:
		c.controller.SetConfiguration(e.Configuration)
	}
}

// performActions performs the actions in order until the term's lease expires.
func (c *controllerTerm) performActions(ctx context.Context, actions []placement.Action) {
	for _, a := range actions {
		// The process may have been paused until the lease expired; a node that is no
		// longer the controller must change no group.
		if !time.Now().Before(c.term.validUntil) {
			return
		}
		switch a := a.(type) {
		case placement.Commit:
			c.commitRecord(ctx, a)
		case placement.SendOrder:
			go c.sendOrder(ctx, a, c.term.validUntil)
		case placement.ReloadState:
			c.reloadState(ctx)
		case placement.Recovered:
			c.node.meter.addRecovery(a)
			c.node.log.Write(event.GroupRecovered, slog.String("group", string(a.Group)), slog.Duration("detect", a.Detect),
				slog.Duration("decide", a.Decide), slog.Duration("order", a.Order), slog.Duration("load", a.Load), slog.Duration("ready", a.Ready))
		}
	}
}

// commitRecord writes one group record to the store and passes the result to the
// placement controller.
func (c *controllerTerm) commitRecord(ctx context.Context, a placement.Commit) {
	result, err := c.node.config.Store.Commit(ctx, c.recordTxn(a))
	accepted := err == nil && result.Succeeded
	kind := event.GroupRecordWritten
	if !accepted {
		kind = event.GroupRecordRejected
	}
	c.node.log.Write(kind, slog.String("group", string(a.Record.Group)), slog.Uint64("epoch", uint64(a.Record.Epoch)),
		slog.String("phase", string(a.Record.Phase)), slog.Bool("delete", a.Delete), slog.Any("error", err))
	if accepted && !a.Delete {
		c.node.table.PutRecord(placement.StoredRecord{Record: a.Record, Modified: result.Revision})
	}
	c.performActions(ctx, c.controller.Step(placement.CommitEnded{Commit: a, Accepted: accepted, Revision: result.Revision}, time.Now()))
}

// recordTxn returns the store transaction for a commit of the placement controller.
// Its guards require that the controller's key and the record's revision are
// unchanged and that no VM to be taken has an owner.
func (c *controllerTerm) recordTxn(a placement.Commit) ring.Txn {
	key := catalog.GroupKey(a.Record.Group)
	txn := ring.Txn{Guards: []ring.Guard{
		ring.CreatedAt(catalog.ControllerKey, c.term.createdRevision),
		ring.Unchanged(key, a.Guard),
	}}
	if a.Delete {
		txn.Writes = append(txn.Writes, ring.Write{Key: key, Delete: true})
	} else {
		value, err := json.Marshal(a.Record)
		if err != nil {
			panic(err) // Every field of a Record can be encoded as JSON.
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

// reloadState reads the stored state, passes it to the placement controller and
// performs the resulting actions. It retries a failed read until the term ends.
// Before a read succeeds, no group is changed.
func (c *controllerTerm) reloadState(ctx context.Context) {
	for ctx.Err() == nil && time.Now().Before(c.term.validUntil) {
		loaded, err := c.readState(ctx)
		if err == nil {
			c.performActions(ctx, c.controller.Step(loaded, time.Now()))
			return
		}
		clock.Sleep(ctx, c.node.config.Timing.DecisionInterval)
	}
}

// readState reads all group records, the owners of VMs and the largest epoch from the
// store. It leaves out records that cannot be decoded.
func (c *controllerTerm) readState(ctx context.Context) (placement.StateLoaded, error) {
	var out placement.StateLoaded
	store := c.node.config.Store
	groups, _, err := store.List(ctx, catalog.GroupPrefix)
	if err != nil {
		return out, err
	}
	for _, e := range groups {
		r, err := placement.DecodeRecord(groupOfKey(e.Key), e.Value)
		if err != nil { // The other groups do not depend on it.
			c.node.log.Write(event.ConfigurationInvalid, slog.String("key", e.Key), slog.Any("error", err))
			continue
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

// sendOrder sends one order to a backend server to load its part of a model. It sends
// nothing if the term has ended. A successful send does not confirm the order; only a
// status with the order's epoch, requested later from the server, does.
func (c *controllerTerm) sendOrder(ctx context.Context, a placement.SendOrder, validUntil time.Time) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !time.Now().Before(validUntil) {
		return
	}
	err := c.node.config.Backends.Send(ctx, a.Address, a.Order)
	kind := event.OrderSent
	switch {
	case errors.Is(err, ring.ErrFenced):
		kind = event.OrderFenced
	case err != nil:
		kind = event.OrderFailed
	}
	c.node.log.Write(kind, slog.String("vm", string(a.VM)), slog.String("group", string(a.Order.Group)),
		slog.Uint64("epoch", uint64(a.Order.Epoch)), slog.Any("error", err))
	c.node.queueEvent(placement.OrderEnded{VM: a.VM, Epoch: a.Order.Epoch, Accepted: err == nil})
}
