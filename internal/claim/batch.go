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

// order says which writes go first.
type order int

// A settlement goes before a new claim: a request that ran must be recorded,
// and a new one can still be refused.
const (
	settleOrder order = iota
	claimOrder
)

// BatchConfig configures a Batcher. Rate is the node's share of the store's
// calls for claims, per second; Size is how many transactions one call holds;
// Wait is the longest time that a claim waits for its call.
type BatchConfig struct {
	Rate  float64
	Size  int
	Wait  time.Duration
	Queue int
}

// DefaultBatchConfig returns the values used in production: 40 calls a second
// and node leave room for leases at seven nodes.
func DefaultBatchConfig() BatchConfig {
	return BatchConfig{Rate: 40, Size: 32, Wait: 500 * time.Millisecond, Queue: 1024}
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
	store   ring.Store
	config  BatchConfig
	limiter *rate.Limiter
	settles chan *pendingTxn
	claims  chan *pendingTxn
	// carried is a transaction that had to wait for the next call, because
	// the call before already wrote its key.
	carried *pendingTxn
}

// NewBatcher returns a batcher; Run does the work.
func NewBatcher(s ring.Store, c BatchConfig) *Batcher {
	return &Batcher{
		store:   s,
		config:  c,
		limiter: rate.NewLimiter(rate.Limit(c.Rate), max(1, int(c.Rate/4))),
		settles: make(chan *pendingTxn, c.Queue),
		claims:  make(chan *pendingTxn, c.Queue),
	}
}

// Commit adds a transaction to the next call and waits for its result. A
// claim that would wait too long fails with ErrBusy and was not written.
func (b *Batcher) Commit(ctx context.Context, txn ring.Txn, o order) (ring.TxnResult, error) {
	p := &pendingTxn{txn: txn, done: make(chan batchResult, 1)}
	queue := b.settles
	if o == claimOrder {
		queue = b.claims
		p.deadline = time.Now().Add(b.config.Wait)
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
		first := b.next(ctx)
		if first == nil {
			return
		}
		if b.limiter.Wait(ctx) != nil {
			return
		}
		b.send(ctx, b.gather(first))
	}
}

func (b *Batcher) next(ctx context.Context) *pendingTxn {
	if p := b.carried; p != nil {
		b.carried = nil
		return p
	}
	select {
	case p := <-b.settles:
		return p
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case p := <-b.settles:
		return p
	case p := <-b.claims:
		return p
	}
}

// gather fills a call. The store refuses a call that writes a key twice, so a
// second transaction on a key is carried to the next call.
func (b *Batcher) gather(first *pendingTxn) []*pendingTxn {
	batch := []*pendingTxn{first}
	keys := map[string]bool{first.key(): true}
	for _, queue := range []chan *pendingTxn{b.settles, b.claims} {
		for len(batch) < b.config.Size && b.carried == nil {
			p := poll(queue)
			if p == nil {
				break
			}
			if keys[p.key()] {
				b.carried = p
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

func poll(queue chan *pendingTxn) *pendingTxn {
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
