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
	// retention is how long a claim is kept after it was written. A key that
	// is used again after it counts as new.
	retention = 25 * time.Hour
	// leaseReuseTime is how long one lease takes new claims; many claims share it,
	// so that leases cost the store nothing.
	leaseReuseTime = time.Hour
	// settleAttempts and settleRetryDelay bound the writes of an answer's record.
	settleAttempts   = 5
	settleRetryDelay = 200 * time.Millisecond
	// releaseTimeout bounds how long a writer tries to remove a claim that it
	// never dispatched.
	releaseTimeout = 30 * time.Second
)

// Config configures a Ledger. Node names the writer over all nodes and starts.
type Config struct {
	Store ring.Store
	Node  string
	Batch BatchConfig
}

// Ledger writes and settles claims. It may be used by several goroutines.
type Ledger struct {
	store           ring.Store
	node            string
	batcher         *Batcher
	lastClaimNumber atomic.Int64

	// leaseToken holds one token; its holder may use the fields below and the store,
	// which a mutex must not be held over.
	leaseToken chan struct{}
	lease      ring.Lease
	leaseUntil time.Time
}

// NewLedger returns a ledger; Run must be running for claims to be written.
func NewLedger(c Config) *Ledger {
	l := &Ledger{store: c.Store, node: c.Node, batcher: NewBatcher(c.Store, c.Batch), leaseToken: make(chan struct{}, 1)}
	l.leaseToken <- struct{}{}
	return l
}

// Run writes batches until the context ends.
func (l *Ledger) Run(ctx context.Context) { l.batcher.Run(ctx) }

// Claim is a claim that this node wrote and may dispatch under.
type Claim struct {
	ledger   *Ledger
	key      string
	record   Record
	modified ring.Revision
}

// Claim tries to claim the request. It returns a Held to dispatch under, or
// the stored record with its verdict, or a failure: the request was not run
// and will not be run by this call.
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
	held := &Claim{ledger: l, key: id.StoreKey(), record: record}
	result, err := l.batcher.Commit(ctx, held.txn(ring.Absent(held.key), lease), claimPriority)
	switch {
	case err == nil && result.Succeeded:
		held.modified = result.Revision
		return held, VerdictRun, nil, nil
	case errors.Is(err, ErrBusy):
		return nil, 0, nil, ring.FailRetryAt(ring.CodeClaimRate, now.Add(time.Second), "the store's share for claims is used up")
	case err != nil && !errors.Is(err, ring.ErrOutcomeUnknown):
		l.discardLease(lease)
		return nil, 0, nil, unavailableFailure(now)
	}
	return l.readBack(ctx, held, err != nil, lease)
}

// readBack looks at the stored claim after a write that was refused or whose
// outcome is unknown.
func (l *Ledger) readBack(ctx context.Context, held *Claim, ambiguous bool, lease ring.Lease) (*Claim, Verdict, *Record, *ring.Failure) {
	stored, ok, err := l.store.Get(ctx, held.key)
	now := time.Now()
	if err != nil || !ok {
		if !ambiguous {
			l.discardLease(lease) // The guard or the lease failed; the key says it was not the guard.
		}
		go held.Release()
		return nil, 0, nil, unavailableFailure(now)
	}
	var record Record
	if err := json.Unmarshal(stored.Value, &record); err != nil {
		return nil, 0, nil, unavailableFailure(now)
	}
	verdict := Evaluate(record, held.record.Writer, held.record.Fingerprint, now)
	if verdict == VerdictRun {
		held.modified = stored.Modified
		return held, VerdictRun, nil, nil
	}
	return nil, verdict, &record, nil
}

func unavailableFailure(now time.Time) *ring.Failure {
	return ring.FailRetryAt(ring.CodeClaimUnavailable, now.Add(2*time.Second), "the request could not be claimed; it was not run")
}

func (l *Ledger) currentLease(ctx context.Context, now time.Time) (ring.Lease, error) {
	<-l.leaseToken
	defer func() { l.leaseToken <- struct{}{} }()
	if l.lease != 0 && now.Before(l.leaseUntil) {
		return l.lease, nil
	}
	lease, err := l.store.Grant(ctx, retention)
	if err != nil {
		return 0, err
	}
	l.lease = lease
	l.leaseUntil = now.Add(leaseReuseTime)
	return lease, nil
}

func (l *Ledger) discardLease(lease ring.Lease) {
	<-l.leaseToken
	defer func() { l.leaseToken <- struct{}{} }()
	if l.lease == lease {
		l.lease = 0
	}
}

func (h *Claim) txn(guard ring.Guard, lease ring.Lease) ring.Txn {
	value, err := json.Marshal(h.record)
	if err != nil {
		panic(err) // A Record holds nothing that JSON cannot write.
	}
	return ring.Txn{
		Guards: []ring.Guard{guard},
		Writes: []ring.Write{{Key: h.key, Value: value, Lease: lease}},
	}
}

// Complete records the answer. It returns an error when the record could not be
// written; the answer is still the caller's.
func (h *Claim) Complete(ctx context.Context, a Response) error {
	a.BodyStored = len(a.Body) <= MaxBody
	if !a.BodyStored {
		a.Body = nil
	}
	h.record.State = StateDone
	h.record.Response = &a
	return h.settle(ctx)
}

// MarkUnknown records that the request may have run.
func (h *Claim) MarkUnknown(ctx context.Context) error {
	h.record.State = StateUnknown
	return h.settle(ctx)
}

func (h *Claim) settle(ctx context.Context) error {
	var last error
	for range settleAttempts {
		lease, err := h.ledger.currentLease(ctx, time.Now())
		if err == nil {
			var result ring.TxnResult
			result, err = h.ledger.batcher.Commit(ctx, h.txn(ring.Unchanged(h.key, h.modified), lease), settlePriority)
			if err == nil && result.Succeeded {
				return nil
			}
			if err == nil && h.isSettled(ctx) {
				return nil
			}
			if err == nil {
				h.ledger.discardLease(lease)
				err = errors.New("the claim changed or its lease is gone")
			}
		}
		last = err
		if !clock.Sleep(ctx, settleRetryDelay) {
			break
		}
	}
	return fmt.Errorf("settle claim: %w", last)
}

// isSettled reports whether an earlier write of this settlement, whose answer
// was lost, took effect.
func (h *Claim) isSettled(ctx context.Context) bool {
	stored, ok, err := h.ledger.store.Get(ctx, h.key)
	if err != nil || !ok {
		return false
	}
	var record Record
	if json.Unmarshal(stored.Value, &record) != nil {
		return false
	}
	return record.Writer == h.record.Writer && record.State == h.record.State
}

// Release removes a claim under which nothing was and nothing will be
// dispatched. It tries for a while, because the claim's write may still take
// effect late.
func (h *Claim) Release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if h.tryRemove(ctx) {
			return
		}
		clock.Sleep(ctx, time.Second)
	}
}

func (h *Claim) tryRemove(ctx context.Context) bool {
	guard := ring.Unchanged(h.key, h.modified)
	if h.modified == 0 {
		stored, ok, err := h.ledger.store.Get(ctx, h.key)
		if err != nil || !ok {
			return false
		}
		var record Record
		if json.Unmarshal(stored.Value, &record) != nil || record.Writer != h.record.Writer {
			return true
		}
		guard = ring.Unchanged(h.key, stored.Modified)
	}
	txn := ring.Txn{Guards: []ring.Guard{guard}, Writes: []ring.Write{{Key: h.key, Delete: true}}}
	_, err := h.ledger.batcher.Commit(ctx, txn, settlePriority)
	return err == nil
}
