// Package election elects one node at a time as the leader: the node that has
// written a key of the store, which is bound to a lease.
//
// Terms:
//
//   - Term: the time for which one node holds the key. Its number is the revision
//     that wrote the key, so a later term has a larger number.
//   - Margin: the part of the lease's TTL that is not used, because clocks drift.
//
// Invariants: a term may act only while its lease certainly holds. The TTL counts
// from before the last successful renewal was sent, and includes time for which
// the VM was suspended.
package election

import (
	"context"
	"errors"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
)

// Config configures an Elector.
type Config struct {
	Store ring.Store
	// Key is the key to hold. Name identifies this node and is written as its value.
	Key  string
	Name string
	// LeaseTTL is the TTL of the lease, Margin the last part of it in which the term
	// no longer acts, and RenewInterval the time between renewals.
	LeaseTTL      time.Duration
	Margin        time.Duration
	RenewInterval time.Duration
	// MayCampaign reports whether this node may try to write the key: no holder of
	// the key is known, and the node is not stopping.
	MayCampaign func() bool
	// CampaignDelay returns how long this node waits before it tries, so that not
	// all nodes write at once when the key becomes free.
	CampaignDelay func() time.Duration
	// Lead does the work of the leader until its context is cancelled.
	Lead func(ctx context.Context, t *Term)
	// OnError is called with each failed operation on the store.
	OnError func(operation string, err error)
}

// Elector runs one node's part in the election.
type Elector struct {
	config Config
	// unrevoked holds the leases that could not be revoked. A store that was down
	// may not have counted the outage against their TTL, and no node can win while
	// one of them holds the key.
	unrevoked []ring.Lease
}

// New returns an elector that does nothing until Run is called.
func New(c Config) *Elector {
	return &Elector{config: c}
}

// Term is the time for which one node holds the key.
type Term struct {
	number   ring.Revision
	lease    ring.Lease
	validFor time.Duration

	mu        sync.Mutex
	renewedAt clock.Instant
	ended     bool
}

// Number returns the revision that wrote the key; later terms have larger numbers.
func (t *Term) Number() ring.Revision { return t.number }

// HoldsLease reports whether the lease certainly holds now.
func (t *Term) HoldsLease() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && t.renewedAt.Age() < t.validFor
}

func (t *Term) recordRenewal(renewedAt clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewedAt = renewedAt
}

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

// retryRevocations tries again to revoke the leases in unrevoked.
func (e *Elector) retryRevocations(ctx context.Context) {
	unrevoked := e.unrevoked
	e.unrevoked = nil
	for _, lease := range unrevoked {
		e.revoke(ctx, lease)
	}
}

// campaign tries to write the key. It returns the new term, or nil if the node may
// not campaign or has not certainly won.
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
		return &Term{number: result.Revision, lease: lease, validFor: e.config.LeaseTTL - e.config.Margin, renewedAt: begin}
	}
	if err != nil {
		e.config.OnError("write the controller's key", err)
	}
	// The write may have succeeded although its response was lost. Revoking the lease
	// deletes the key in that case.
	e.revoke(ctx, lease)
	return nil
}

// revoke revokes the lease, or keeps it in unrevoked if the store fails.
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
