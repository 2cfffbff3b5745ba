package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	ring "eelgrassring.dev"
)

// ErrBusy reports that a transaction was not written because the node has reached its
// limit on store requests for claims, the stored records of non-idempotent requests.
var ErrBusy = errors.New("limit on store requests for claims reached")

// priority is the class of a queued transaction; lower values are sent first.
type priority int

// Settlements, which record the outcome of a claimed request, are sent before new
// claims, because a request that ran must be recorded while a new request can still
// be refused.
const (
	settlePriority priority = iota
	claimPriority
)

// BatchConfig configures a Batcher.
type BatchConfig struct {
	// Rate is how many store requests that write claims the node may send per second, and
	// TotalRate how many all nodes together may.
	Rate      float64
	TotalRate float64
	// Nodes returns the number of nodes; nil means that the node is alone.
	Nodes func() int
	// MaxTxns is the largest number of transactions in one store request.
	MaxTxns int
	// MaxWait is the longest time that the transaction of a new claim waits to be
	// sent.
	MaxWait time.Duration
	// QueueSize is the number of transactions that may wait per priority.
	QueueSize int
}

// DefaultBatchConfig returns the values used in production, with which the store keeps enough
// capacity for leases.
func DefaultBatchConfig() BatchConfig {
	return BatchConfig{Rate: 40, TotalRate: 280, MaxTxns: 32, MaxWait: 500 * time.Millisecond, QueueSize: 1024}
}

// rateOfNode returns how many store requests this node may send per second: an even part of
// TotalRate, at most Rate.
func (c BatchConfig) rateOfNode() float64 {
	if c.Nodes == nil || c.TotalRate == 0 {
		return c.Rate
	}
	return min(c.Rate, c.TotalRate/float64(max(c.Nodes(), 1)))
}

// burstOf returns how many store requests may be sent at once at a rate.
func burstOf(perSecond float64) int { return max(1, int(perSecond/4)) }

// pendingTxn is a queued transaction. done receives its result.
type pendingTxn struct {
	txn ring.Txn
	// deadline is the time after which txn is no longer sent, or zero for none.
	deadline time.Time
	done     chan batchResult
}

// batchResult is the result of one transaction of a batch.
type batchResult struct {
	result ring.TxnResult
	err    error
}

// Batcher combines independent transactions on claims, the stored records of
// non-idempotent requests, into few requests to the store and limits the rate of
// these requests.
type Batcher struct {
	store       ring.Store
	config      BatchConfig
	limiter     *rate.Limiter
	settlements chan *pendingTxn
	claims      chan *pendingTxn
	// deferred is a transaction whose key the last store request already wrote. It is
	// sent first in the next store request.
	deferred *pendingTxn
}

// NewBatcher returns a batcher for the store. It sends nothing until Run is called.
func NewBatcher(s ring.Store, c BatchConfig) *Batcher {
	return &Batcher{
		store:       s,
		config:      c,
		limiter:     rate.NewLimiter(rate.Limit(c.rateOfNode()), burstOf(c.rateOfNode())),
		settlements: make(chan *pendingTxn, c.QueueSize),
		claims:      make(chan *pendingTxn, c.QueueSize),
	}
}

// Commit queues a transaction and waits for its result. It returns ErrBusy, without
// writing anything, if the queue is full or a transaction with claimPriority has
// waited longer than MaxWait. If ctx ends before the result is known, the error wraps
// ring.ErrOutcomeUnknown.
func (b *Batcher) Commit(ctx context.Context, txn ring.Txn, prio priority) (ring.TxnResult, error) {
	p := &pendingTxn{txn: txn, done: make(chan batchResult, 1)}
	queue := b.settlements
	if prio == claimPriority {
		queue = b.claims
		p.deadline = time.Now().Add(b.config.MaxWait)
	}
	select {
	case queue <- p:
	default:
		return ring.TxnResult{}, ErrBusy
	}
	select {
	case r := <-p.done:
		return r.result, r.err
	case <-ctx.Done():
		// The transaction may already have been sent.
		return ring.TxnResult{}, fmt.Errorf("%w: %w", ring.ErrOutcomeUnknown, ctx.Err())
	}
}

// Run sends the queued transactions to the store until ctx ends. It sends one request
// at a time, so that transactions collect into a batch while a request is in flight.
func (b *Batcher) Run(ctx context.Context) {
	for {
		first := b.nextTxn(ctx)
		if first == nil {
			return
		}
		b.limiter.SetLimit(rate.Limit(b.config.rateOfNode()))
		b.limiter.SetBurst(burstOf(b.config.rateOfNode()))
		if b.limiter.Wait(ctx) != nil {
			return
		}
		b.sendBatch(ctx, b.fillBatch(first))
	}
}

// nextTxn waits for the first transaction of a batch. It prefers the deferred
// transaction, then a settlement (the write of an outcome), then a new claim. It
// returns nil if ctx ends.
func (b *Batcher) nextTxn(ctx context.Context) *pendingTxn {
	if p := b.deferred; p != nil {
		b.deferred = nil
		return p
	}
	select {
	case p := <-b.settlements:
		return p
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case p := <-b.settlements:
		return p
	case p := <-b.claims:
		return p
	}
}

// fillBatch returns first and further queued transactions, up to MaxTxns in total.
// The store refuses a request that writes a key twice. A second transaction on a key
// is therefore deferred to the next request and ends the batch.
func (b *Batcher) fillBatch(first *pendingTxn) []*pendingTxn {
	batch := []*pendingTxn{first}
	keys := map[string]bool{first.key(): true}
	for _, queue := range []chan *pendingTxn{b.settlements, b.claims} {
		for len(batch) < b.config.MaxTxns && b.deferred == nil {
			p := tryReceive(queue)
			if p == nil {
				break
			}
			if keys[p.key()] {
				b.deferred = p
				break
			}
			keys[p.key()] = true
			batch = append(batch, p)
		}
	}
	return batch
}

// key returns the only key that the transaction writes.
func (p *pendingTxn) key() string { return p.txn.Writes[0].Key }

// tryReceive returns the next transaction of the queue, or nil if the queue is empty.
func tryReceive(queue chan *pendingTxn) *pendingTxn {
	select {
	case p := <-queue:
		return p
	default:
		return nil
	}
}

// sendBatch commits the transactions in one request to the store and delivers their
// results. A transaction past its deadline gets ErrBusy and is not sent.
func (b *Batcher) sendBatch(ctx context.Context, batch []*pendingTxn) {
	now := time.Now()
	unexpired := batch[:0]
	var txns []ring.Txn
	for _, p := range batch {
		if !p.deadline.IsZero() && now.After(p.deadline) {
			p.done <- batchResult{err: ErrBusy}
			continue
		}
		unexpired = append(unexpired, p)
		txns = append(txns, p.txn)
	}
	if len(unexpired) == 0 {
		return
	}
	results, err := b.store.CommitEach(ctx, txns)
	for i, p := range unexpired {
		if err != nil {
			p.done <- batchResult{err: err}
			continue
		}
		p.done <- batchResult{result: results[i]}
	}
}
