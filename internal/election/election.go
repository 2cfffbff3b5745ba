// Package election elects one node at a time as the leader: the node that has
// written a given key of the store, which the store deletes when the node's lease
// ends.
//
// Terms:
//
//   - Term: the time for which one node holds the key. Its number is the revision
//     that wrote the key, so a later term has a larger number, also after a restore of
//     the store, which begins a new era.
//   - Margin: the last part of the lease's TTL, in which the node no longer acts as
//     the leader, because clocks drift.
//
// Invariants: a node acts as the leader only while its lease certainly holds. The
// TTL counts from before the last successful renewal was sent, and includes time for
// which the VM was suspended. A term ends when the node learns, by any response of the
// store or from a peer, that the store was restored.
package election

import (
	"context"
	"errors"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
)

// Config configures an Elector. All functions are required.
type Config struct {
	Store ring.Store
	// Key is the key of the store for which the nodes compete. Name identifies this
	// node and is written as the key's value.
	Key  string
	Name string
	// LeaseTTL is the TTL of the leader's lease, Margin the last part of the TTL, in
	// which the node no longer acts as the leader, and RenewInterval the time between
	// renewals of the lease.
	LeaseTTL      time.Duration
	Margin        time.Duration
	RenewInterval time.Duration
	// MayCampaign reports whether this node may try to write the key. It must return
	// false if a holder of the key is known or the node is stopping.
	MayCampaign func() bool
	// CampaignDelay returns how long this node waits before it tries to write the key,
	// so that not all nodes write at once when the key becomes free.
	CampaignDelay func() time.Duration
	// Lead does the work of the leader until its context is cancelled. The term ends
	// when Lead returns.
	Lead func(ctx context.Context, t *Term)
	// OnError is called with a description of the operation for each failed operation
	// on the store.
	OnError func(operation string, err error)
}

// leaseCheckInterval is how often a leader checks whether it still holds its lease.
const leaseCheckInterval = 100 * time.Millisecond

// Elector makes one node campaign for the key and lead while it holds the key.
type Elector struct {
	config Config
	// startedAt is when the elector was made.
	startedAt time.Time
	// unrevoked holds this node's leases that could not be revoked. The key may be
	// bound to one of them, and then no node can win it until that lease ends. A
	// store that was down may not have counted the outage against the leases' TTL.
	unrevoked []ring.Lease
}

// New returns an elector that does nothing until Run is called.
func New(c Config) *Elector {
	return &Elector{config: c, startedAt: time.Now()}
}

// Term is the time for which this node holds the key as the leader.
type Term struct {
	number ring.Revision
	lease  ring.Lease
	// era returns the newest era of the store that this node knows.
	era func() ring.StoreEra
	// exclusiveFrom is when no node can lead in an earlier term any more.
	exclusiveFrom time.Time
	// validFor is how long the lease certainly holds after renewedAt, which is just
	// before its last successful renewal was sent.
	validFor time.Duration

	mu        sync.Mutex
	renewedAt clock.Instant
	ended     bool
}

// Number returns the revision of the store that wrote the key; later terms have
// larger numbers.
func (t *Term) Number() ring.Revision { return t.number }

// ExclusiveFrom returns the time from which no other node can still believe that it
// leads in an earlier term. A restore of the store ends the leases without the
// knowledge of their holders, so this may be after the term began. The node of the term
// may have started after the restore, and then it does not know of it.
func (t *Term) ExclusiveFrom() time.Time { return t.exclusiveFrom }

// HoldsLease reports whether the term's lease certainly holds now, so that the node
// may act as the leader.
func (t *Term) HoldsLease() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && t.renewedAt.Age() < t.validFor && t.era().Number <= t.number.Era()
}

// recordRenewal extends the term after a successful renewal of the lease. renewedAt
// is a time before that renewal was sent.
func (t *Term) recordRenewal(renewedAt clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewedAt = renewedAt
}

// markEnded makes HoldsLease return false from now on.
func (t *Term) markEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

// Run campaigns for the key and leads while this node holds it, until the context
// is cancelled.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if len(e.unrevoked) > 0 {
			e.retryRevocations(ctx)
			clock.Sleep(ctx, e.config.RenewInterval/2)
			continue
		}
		if t := e.campaign(ctx); t != nil {
			e.lead(ctx, t)
		}
		clock.Sleep(ctx, e.config.RenewInterval/2)
	}
}

// retryRevocations tries again to revoke the leases in unrevoked, and keeps those
// that fail again.
func (e *Elector) retryRevocations(ctx context.Context) {
	unrevoked := e.unrevoked
	e.unrevoked = nil
	for _, lease := range unrevoked {
		e.revoke(ctx, lease)
	}
}

// campaign tries to write the key, bound to a new lease, and returns the new term. It
// returns nil if the node may not campaign, or if the grant of the lease or the write
// failed or has an unknown outcome.
func (e *Elector) campaign(ctx context.Context) *Term {
	if !e.config.MayCampaign() {
		return nil
	}
	clock.Sleep(ctx, e.config.CampaignDelay())
	if ctx.Err() != nil || !e.config.MayCampaign() {
		return nil
	}
	begin := clock.NewInstant()
	lease, err := e.config.Store.Grant(ctx, e.config.LeaseTTL)
	if err != nil {
		e.config.OnError("grant the controller's lease", err)
		return nil
	}
	result, err := e.config.Store.Commit(ctx, ring.Txn{
		Guards: []ring.Guard{ring.Absent(e.config.Key)},
		Writes: []ring.Write{{Key: e.config.Key, Value: []byte(e.config.Name), Lease: lease}},
	})
	if err == nil && result.Succeeded {
		exclusiveFrom := e.startedAt
		if changedAt := e.config.Store.Era().ChangedAt; changedAt.After(exclusiveFrom) {
			exclusiveFrom = changedAt
		}
		return &Term{exclusiveFrom: exclusiveFrom.Add(e.config.LeaseTTL), number: result.Revision, lease: lease, era: e.config.Store.Era, validFor: e.config.LeaseTTL - e.config.Margin, renewedAt: begin}
	}
	if err != nil {
		e.config.OnError("write the controller's key", err)
	}
	// The write may have succeeded although its response was lost. Revoking the lease
	// then deletes the key.
	e.revoke(ctx, lease)
	return nil
}

// revoke revokes a lease, which deletes the key bound to it. If the store fails, the
// lease is added to unrevoked.
func (e *Elector) revoke(ctx context.Context, lease ring.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.config.LeaseTTL)
	defer cancel()
	err := e.config.Store.Revoke(ctx, lease)
	if err == nil || errors.Is(err, ring.ErrLeaseLost) {
		return
	}
	e.config.OnError("revoke the controller's lease", err)
	e.unrevoked = append(e.unrevoked, lease)
}

// lead calls Config.Lead and renews the lease until the term ends, then revokes
// the lease.
func (e *Elector) lead(ctx context.Context, t *Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() {
		defer cancel()
		e.config.Lead(ctx, t)
	})
	wait.Go(func() {
		clock.Every(ctx, leaseCheckInterval, func(context.Context) {
			if !t.HoldsLease() {
				cancel() // A renewal may wait for a response for longer than the lease holds.
			}
		})
	})
	lost := false
	for ctx.Err() == nil && t.HoldsLease() && !lost {
		clock.Sleep(ctx, e.config.RenewInterval)
		begin := clock.NewInstant()
		err := e.config.Store.Renew(ctx, t.lease)
		switch {
		case err == nil:
			t.recordRenewal(begin)
		case errors.Is(err, ring.ErrLeaseLost):
			lost = true
		case ctx.Err() == nil:
			e.config.OnError("renew the controller's lease", err)
		}
	}
	t.markEnded()
	cancel()
	wait.Wait()
	e.revoke(ctx, t.lease)
}
