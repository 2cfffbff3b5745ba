// Package election gives one node at a time the right to act, by a key of the
// store that is bound to a lease.
//
// Terms:
//
//   - Term: one holding of the key, numbered by the revision that wrote it; a
//     later term has a larger number.
//   - Margin: what is taken off the lease for the drift between clocks.
//
// Invariants: a term may act only while its lease certainly holds, counted
// from before the last renewal was sent; time in which the machine was
// suspended counts.
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
	Key   string
	Name  string
	// LeaseTTL is the lease, Margin what is taken off it, Renew how often it is
	// renewed.
	LeaseTTL      time.Duration
	Margin        time.Duration
	RenewInterval time.Duration
	// MayCampaign reports whether this node may try: nobody is known to hold the
	// key, and the node is not stopping.
	MayCampaign func() bool
	// CampaignDelay is how long this node waits before it tries, so that a vacancy does
	// not bring a write of every node at once.
	CampaignDelay func() time.Duration
	// Lead acts for the term until its context ends.
	Lead func(ctx context.Context, t *Term)
	// OnError hears of calls that failed.
	OnError func(doing string, err error)
}

// Elector holds elections.
type Elector struct {
	config Config
	// unrevoked are leases that could not be ended. A store that was down may have
	// stopped their time, and nobody else wins while they hold the key.
	unrevoked []ring.Lease
}

// New returns an elector; Run starts it.
func New(c Config) *Elector {
	return &Elector{config: c}
}

// Term is one holding of the key.
type Term struct {
	number   ring.Revision
	lease    ring.Lease
	validFor time.Duration

	mu        sync.Mutex
	renewedAt clock.Mark
	ended     bool
}

// Number orders the terms.
func (t *Term) Number() ring.Revision { return t.number }

// MayAct reports whether the lease certainly holds now.
func (t *Term) MayAct() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && t.renewedAt.Age() < t.validFor
}

func (t *Term) extend(renewed clock.Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewedAt = renewed
}

func (t *Term) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

// Run tries to win the key, and governs while it is held, until the context
// ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if len(e.unrevoked) > 0 {
			e.revokeRemaining(ctx)
			clock.Sleep(ctx, e.config.RenewInterval/2)
			continue
		}
		if t := e.campaign(ctx); t != nil {
			e.lead(ctx, t)
		}
		clock.Sleep(ctx, e.config.RenewInterval/2)
	}
}

// revokeRemaining tries again to end the leases that are left.
func (e *Elector) revokeRemaining(ctx context.Context) {
	left := e.unrevoked
	e.unrevoked = nil
	for _, lease := range left {
		e.revoke(ctx, lease)
	}
}

func (e *Elector) campaign(ctx context.Context) *Term {
	if !e.config.MayCampaign() {
		return nil
	}
	clock.Sleep(ctx, e.config.CampaignDelay())
	if ctx.Err() != nil || !e.config.MayCampaign() {
		return nil
	}
	begin := clock.NewMark()
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
	// An ambiguous win is given up: its lease ends the key.
	e.revoke(ctx, lease)
	return nil
}

func (e *Elector) revoke(ctx context.Context, lease ring.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.config.LeaseTTL)
	defer cancel()
	err := e.config.Store.Revoke(ctx, lease)
	if err == nil || errors.Is(err, ring.ErrLeaseLost) {
		return
	}
	e.config.OnError("end the controller's lease", err)
	e.unrevoked = append(e.unrevoked, lease)
}

// lead governs and renews the lease until the term ends.
func (e *Elector) lead(ctx context.Context, t *Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() {
		defer cancel()
		e.config.Lead(ctx, t)
	})
	lost := false
	for ctx.Err() == nil && t.MayAct() && !lost {
		clock.Sleep(ctx, e.config.RenewInterval)
		begin := clock.NewMark()
		err := e.config.Store.Renew(ctx, t.lease)
		switch {
		case err == nil:
			t.extend(begin)
		case errors.Is(err, ring.ErrLeaseLost):
			lost = true
		case ctx.Err() == nil:
			e.config.OnError("renew the controller's lease", err)
		}
	}
	t.end()
	cancel()
	wait.Wait()
	e.revoke(ctx, t.lease)
}
