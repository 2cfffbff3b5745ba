package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	ring "eelgrassring.dev"
)

// ErrBusy reports that a transaction was not written because the node has reached
// its limit on store requests for claims.
var ErrBusy = errors.New("limit on store requests for claims reached")

// priority is the order in which queued transactions are sent.
type priority int

// Settlements are sent before new claims, because a request that ran must be
// recorded while a new request can still be refused.
const (
	settlePriority priority = iota
	claimPriority
)

// BatchConfig configures a Batcher.
type BatchConfig struct {
	// Rate is the number of requests for claims per second that the node may send
	// to the store.
	Rate float64
	// MaxTxns is the largest number of transactions in one request.
	MaxTxns int
	// MaxWait is the longest time that a claim waits to be sent.
	MaxWait time.Duration
	// QueueSize is the number of transactions that may wait per priority.
	QueueSize int
}

// DefaultBatchConfig returns the values used in production. With seven nodes, 40
// requests per second and node leave the store enough capacity for leases.
func DefaultBatchConfig() BatchConfig {
	return BatchConfig{Rate: 40, MaxTxns: 32, MaxWait: 500 * time.Millisecond, QueueSize: 1024}
}

type pendingTxn struct {
	txn      ring.Txn
	deadline time.Time
	done     chan batchResult
}

type batchResult struct {
	result ring.TxnResult
	err    error
}

// Batcher combines independent transactions into few requests to the store.
type Batcher struct {
	store       ring.Store
	config      BatchConfig
	limiter     *rate.Limiter
	settlements chan *pendingTxn
	claims      chan *pendingTxn
	// deferred is a transaction that is sent first in the next request, because
	// the last one already wrote its key.
	deferred *pendingTxn
}

// NewBatcher returns a batcher. It sends nothing until Run is called.
func NewBatcher(s ring.Store, c BatchConfig) *Batcher {
	return &Batcher{
		store:       s,
		config:      c,
		limiter:     rate.NewLimiter(rate.Limit(c.Rate), max(1, int(c.Rate/4))),
		settlements: make(chan *pendingTxn, c.QueueSize),
		claims:      make(chan *pendingTxn, c.QueueSize),
	}
}

// Commit queues a transaction and waits for its result. It returns ErrBusy, without
// writing anything, if the queue is full or a claim has waited longer than MaxWait.
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

// Run sends requests until the context ends, one at a time, so that transactions
// collect into a batch while a request is in flight.
func (b *Batcher) Run(ctx context.Context) {
	for {
		first := b.nextTxn(ctx)
		if first == nil {
			return
		}
		if b.limiter.Wait(ctx) != nil {
			return
		}
		b.sendBatch(ctx, b.fillBatch(first))
	}
}

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

// fillBatch adds queued transactions to first. The store refuses a request that
// writes a key twice, so a second transaction on a key is deferred to the next
// request.
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

func tryReceive(queue chan *pendingTxn) *pendingTxn {
	select {
	case p := <-queue:
		return p
	default:
		return nil
	}
}

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
