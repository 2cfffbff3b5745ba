package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
)

const (
	// retention is the TTL of a lease to which claims are bound. A claim is kept for
	// 24 to 25 hours after its last write; an idempotency key that is used again later
	// counts as new.
	retention = 25 * time.Hour
	// leaseReuseTime is how long new claims are written with the same lease, so
	// that the store has to grant and keep only few leases.
	leaseReuseTime = time.Hour
	// settleAttempts is how often the ledger tries to record the outcome of a claim,
	// and settleRetryDelay the delay between these attempts.
	settleAttempts   = 5
	settleRetryDelay = 200 * time.Millisecond
	// releaseTimeout is how long a writer tries to remove its claim if it dispatched
	// no request under it.
	releaseTimeout = 30 * time.Second
)

// Config configures a Ledger. The writer names of its claims begin with Node, which
// must be unique among all nodes and their process starts.
type Config struct {
	Store ring.Store
	Node  string
	Batch BatchConfig
}

// Ledger writes claims of idempotency keys to the store, so that each non-idempotent
// request is dispatched at most once, and records the outcomes. It is safe for
// concurrent use.
type Ledger struct {
	store           ring.Store
	node            string
	batcher         *Batcher
	lastClaimNumber atomic.Int64

	// leaseToken guards lease and leaseUntil. It is a channel with one token rather
	// than a mutex, because it is held during a request to the store. New claims are
	// written with lease until leaseUntil.
	leaseToken chan struct{}
	lease      ring.Lease
	leaseUntil time.Time
}

// NewLedger returns a ledger. It writes no claims until Run is called.
func NewLedger(c Config) *Ledger {
	l := &Ledger{store: c.Store, node: c.Node, batcher: NewBatcher(c.Store, c.Batch), leaseToken: make(chan struct{}, 1)}
	l.leaseToken <- struct{}{}
	return l
}

// Run sends the queued writes of claims to the store until ctx ends.
func (l *Ledger) Run(ctx context.Context) { l.batcher.Run(ctx) }

// Claim is a claim, the stored record of a non-idempotent request, that this node
// wrote. The node may dispatch the request once.
type Claim struct {
	ledger   *Ledger
	key      string
	record   Record
	modified ring.Revision
}

// Claim tries to write a claim, the stored record of a non-idempotent request, for a
// request that must end by runUntil. It returns exactly one of three results: a
// Claim, with which the caller may dispatch the request; a Record of an existing
// claim and the verdict on it; or a Failure. In the last two cases the caller must
// not dispatch the request.
func (l *Ledger) Claim(ctx context.Context, id Identity, fingerprint string, runUntil time.Time) (*Claim, Verdict, *Record, *ring.Failure) {
	now := time.Now()
	lease, err := l.currentLease(ctx, now)
	if err != nil {
		return nil, 0, nil, unavailableFailure(now)
	}
	record := Record{
		Writer:      fmt.Sprintf("%s/%d", l.node, l.lastClaimNumber.Add(1)),
		Fingerprint: fingerprint,
		State:       StateClaimed,
		RunUntil:    runUntil,
	}
	claim := &Claim{ledger: l, key: id.StoreKey(), record: record}
	result, err := l.batcher.Commit(ctx, claim.txn(ring.Absent(claim.key), lease), claimPriority)
	switch {
	case err == nil && result.Succeeded:
		claim.modified = result.Revision
		return claim, VerdictRun, nil, nil
	case errors.Is(err, ErrBusy):
		return nil, 0, nil, ring.FailRetryAt(ring.CodeClaimRate, now.Add(time.Second), "this node's limit on claims is reached")
	case err != nil && !errors.Is(err, ring.ErrOutcomeUnknown):
		l.discardLease(lease)
		return nil, 0, nil, unavailableFailure(now)
	}
	return l.readBackClaim(ctx, claim, err != nil, lease)
}

// readBackClaim reads and evaluates the stored claim after the write of claim was
// refused or had an unknown outcome. It returns the same values as Ledger.Claim.
func (l *Ledger) readBackClaim(ctx context.Context, claim *Claim, outcomeUnknown bool, lease ring.Lease) (*Claim, Verdict, *Record, *ring.Failure) {
	stored, ok, err := l.store.Get(ctx, claim.key)
	now := time.Now()
	if err != nil || !ok {
		if !outcomeUnknown {
			l.discardLease(lease) // If the key is absent, the write was refused because of its lease.
		}
		go claim.Release()
		return nil, 0, nil, unavailableFailure(now)
	}
	var record Record
	if err := json.Unmarshal(stored.Value, &record); err != nil {
		return nil, 0, nil, unavailableFailure(now)
	}
	verdict := Evaluate(record, claim.record.Writer, claim.record.Fingerprint, now)
	if verdict == VerdictRun {
		claim.modified = stored.Modified
		return claim, VerdictRun, nil, nil
	}
	return nil, verdict, &record, nil
}

// unavailableFailure returns the failure of a request that was not run because the
// store could not write its claim. The caller may retry the request after two
// seconds.
func unavailableFailure(now time.Time) *ring.Failure {
	return ring.FailRetryAt(ring.CodeClaimUnavailable, now.Add(2*time.Second), "the request could not be claimed; it was not run")
}

// currentLease returns the lease for new writes of claims. It grants a new lease if
// there is none or the last is older than leaseReuseTime.
func (l *Ledger) currentLease(ctx context.Context, now time.Time) (ring.Lease, error) {
	<-l.leaseToken
	defer func() { l.leaseToken <- struct{}{} }()
	if !l.lease.IsZero() && now.Before(l.leaseUntil) {
		return l.lease, nil
	}
	lease, err := l.store.Grant(ctx, retention)
	if err != nil {
		return ring.Lease{}, err
	}
	l.lease = lease
	l.leaseUntil = now.Add(leaseReuseTime)
	return lease, nil
}

// discardLease forgets lease, which the store may no longer know, if it is the
// current lease. The next call of currentLease then grants a new one.
func (l *Ledger) discardLease(lease ring.Lease) {
	<-l.leaseToken
	defer func() { l.leaseToken <- struct{}{} }()
	if l.lease == lease {
		l.lease = ring.Lease{}
	}
}

// txn returns the transaction that writes the claim's record if the condition guard
// holds. The written key is bound to the lease and is deleted when the lease ends.
func (c *Claim) txn(guard ring.Guard, lease ring.Lease) ring.Txn {
	value, err := json.Marshal(c.record)
	if err != nil {
		panic(err) // A Record holds nothing that JSON cannot write.
	}
	return ring.Txn{
		Guards: []ring.Guard{guard},
		Writes: []ring.Write{{Key: c.key, Value: value, Lease: lease}},
	}
}

// Complete records the response of the claimed request. If it returns an error, the
// response may not have been recorded; the response may still be sent to the caller.
func (c *Claim) Complete(ctx context.Context, r Response) error {
	r.BodyStored = len(r.Body) <= MaxBody
	if !r.BodyStored {
		r.Body = nil
	}
	c.record.State = StateDone
	c.record.Response = &r
	return c.settle(ctx)
}

// MarkUnknown records that the claimed request may have run and its outcome is
// unknown.
func (c *Claim) MarkUnknown(ctx context.Context) error {
	c.record.State = StateUnknown
	return c.settle(ctx)
}

// settle writes the claim's record with its outcome and retries a failed write, up to
// settleAttempts attempts in total. It never overwrites a claim of another writer.
func (c *Claim) settle(ctx context.Context) error {
	var last error
	for range settleAttempts {
		lease, err := c.ledger.currentLease(ctx, time.Now())
		if err == nil {
			var result ring.TxnResult
			result, err = c.ledger.batcher.Commit(ctx, c.txn(ring.Unchanged(c.key, c.modified), lease), settlePriority)
			if err == nil && result.Succeeded {
				return nil
			}
			if err == nil && c.isSettled(ctx) {
				return nil
			}
			if err == nil {
				c.ledger.discardLease(lease)
				err = errors.New("the claim has changed or the lease has expired")
			}
		}
		last = err
		if !clock.Sleep(ctx, settleRetryDelay) {
			break
		}
	}
	return fmt.Errorf("settle claim: %w", last)
}

// isSettled reports whether the store holds this claim with its present outcome. That
// is so if an earlier write took effect although its result was lost.
func (c *Claim) isSettled(ctx context.Context) bool {
	stored, ok, err := c.ledger.store.Get(ctx, c.key)
	if err != nil || !ok {
		return false
	}
	var record Record
	if json.Unmarshal(stored.Value, &record) != nil {
		return false
	}
	return record.Writer == c.record.Writer && record.State == c.record.State
}

// Release removes the claim of a request that was not dispatched and will not be. It
// retries until releaseTimeout, because the write of the claim may still take effect
// late.
func (c *Claim) Release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if c.tryRemove(ctx) {
			return
		}
		clock.Sleep(ctx, time.Second)
	}
}

// tryRemove tries once to remove the claim from the store. It returns true if the
// store accepted the removal or holds another writer's claim. It returns false if the
// caller must try again.
func (c *Claim) tryRemove(ctx context.Context) bool {
	guard := ring.Unchanged(c.key, c.modified)
	if c.modified == 0 {
		stored, ok, err := c.ledger.store.Get(ctx, c.key)
		if err != nil || !ok {
			return false
		}
		var record Record
		if json.Unmarshal(stored.Value, &record) != nil || record.Writer != c.record.Writer {
			return true
		}
		guard = ring.Unchanged(c.key, stored.Modified)
	}
	txn := ring.Txn{Guards: []ring.Guard{guard}, Writes: []ring.Write{{Key: c.key, Delete: true}}}
	_, err := c.ledger.batcher.Commit(ctx, txn, settlePriority)
	return err == nil
}
