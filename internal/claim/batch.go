package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	ring "eelgrassring.dev"
)

// ErrBusy marks a claim that was refused before anything was written, because
// the node's share of the store's writes is used up.
var ErrBusy = errors.New("no write left in this node's share")

// priority says which writes go first.
type priority int

// A settlement goes before a new claim: a request that ran must be recorded,
// and a new one can still be refused.
const (
	settlePriority priority = iota
	claimPriority
)

// BatchConfig configures a Batcher. Rate is the node's share of the store's
// calls for claims, per second; Size is how many transactions one call holds;
// Wait is the longest time that a claim waits for its call.
type BatchConfig struct {
	Rate      float64
	MaxTxns   int
	MaxWait   time.Duration
	QueueSize int
}

// DefaultBatchConfig returns the values used in production: 40 calls a second
// and node leave room for leases at seven nodes.
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

// Batcher joins independent transactions into few calls of the store.
type Batcher struct {
	store       ring.Store
	config      BatchConfig
	limiter     *rate.Limiter
	settlements chan *pendingTxn
	claims      chan *pendingTxn
	// deferred is a transaction that had to wait for the next call, because
	// the call before already wrote its key.
	deferred *pendingTxn
}

// NewBatcher returns a batcher; Run does the work.
func NewBatcher(s ring.Store, c BatchConfig) *Batcher {
	return &Batcher{
		store:       s,
		config:      c,
		limiter:     rate.NewLimiter(rate.Limit(c.Rate), max(1, int(c.Rate/4))),
		settlements: make(chan *pendingTxn, c.QueueSize),
		claims:      make(chan *pendingTxn, c.QueueSize),
	}
}

// Commit adds a transaction to the next call and waits for its result. A
// claim that would wait too long fails with ErrBusy and was not written.
func (b *Batcher) Commit(ctx context.Context, txn ring.Txn, o priority) (ring.TxnResult, error) {
	p := &pendingTxn{txn: txn, done: make(chan batchResult, 1)}
	queue := b.settlements
	if o == claimPriority {
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
		// The transaction may already be on its way.
		return ring.TxnResult{}, fmt.Errorf("%w: %w", ring.ErrOutcomeUnknown, ctx.Err())
	}
}

// Run sends calls until the context ends, one at a time, so that a batch
// grows while the call before it is on its way.
func (b *Batcher) Run(ctx context.Context) {
	for {
		first := b.nextTxn(ctx)
		if first == nil {
			return
		}
		if b.limiter.Wait(ctx) != nil {
			return
		}
		b.send(ctx, b.fillBatch(first))
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

// fillBatch fills a call. The store refuses a call that writes a key twice, so a
// second transaction on a key is carried to the next call.
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

// key returns the one key that the transaction writes.
func (p *pendingTxn) key() string { return p.txn.Writes[0].Key }

func tryReceive(queue chan *pendingTxn) *pendingTxn {
	select {
	case p := <-queue:
		return p
	default:
		return nil
	}
}

func (b *Batcher) send(ctx context.Context, batch []*pendingTxn) {
	now := time.Now()
	live := batch[:0]
	var txns []ring.Txn
	for _, p := range batch {
		if !p.deadline.IsZero() && now.After(p.deadline) {
			p.done <- batchResult{err: ErrBusy}
			continue
		}
		live = append(live, p)
		txns = append(txns, p.txn)
	}
	if len(live) == 0 {
		return
	}
	results, err := b.store.CommitEach(ctx, txns)
	for i, p := range live {
		if err != nil {
			p.done <- batchResult{err: err}
			continue
		}
		p.done <- batchResult{result: results[i]}
	}
}
