package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/standin/platform"
)

// countingStore counts the CommitEach calls to a simulated store and their
// transactions, and delays each call by 3 ms.
type countingStore struct {
	*platform.Keyspace
	calls int
	txns  int
}

func (s *countingStore) CommitEach(ctx context.Context, txns []ring.Txn) ([]ring.TxnResult, error) {
	s.calls++
	s.txns += len(txns)
	time.Sleep(3 * time.Millisecond)
	return s.Keyspace.CommitEach(ctx, txns)
}

// claimConcurrently claims n different keys at once. It returns how many were claimed
// and how many were refused because of the limit on claims.
func claimConcurrently(l *Ledger, n int) (claimed, refused int) {
	type outcome struct {
		claim   *Claim
		failure *ring.Failure
	}
	results := make(chan outcome, n)
	for i := range n {
		go func() {
			id := Identity{Workspace: "w", Key: fmt.Sprint("key-", i)}
			claim, _, _, failure := l.Claim(context.Background(), id, "f", time.Now().Add(time.Minute))
			results <- outcome{claim, failure}
		}()
	}
	for range n {
		r := <-results
		switch {
		case r.claim != nil:
			claimed++
		case r.failure.Code == ring.CodeClaimRate:
			refused++
		}
	}
	return claimed, refused
}

// In a burst above the node's rate of store requests, as many requests as fit are
// claimed in full batches. The remaining requests are refused within MaxWait with a
// failure that says they were not run.
func TestClaimsAboveTheRateAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingStore{Keyspace: platform.NewKeyspace()}
		l := NewLedger(Config{Store: store, Node: "n1", Batch: DefaultBatchConfig()})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go l.Run(ctx)
		begin := time.Now()
		claimed, refused := claimConcurrently(l, 3000)
		is.Equal(claimed+refused, 3000) // every request was either claimed or refused
		is.True(refused > 0)
		is.True(claimed >= 20*32) // half a second of full batches at 40 calls per second
		is.True(time.Since(begin) < time.Second)
		is.True(store.calls <= 31) // the limiter's burst and half a second at 40 calls per second
		is.Equal(store.txns, claimed)
	})
}

// The outcome of a claimed request must be recorded without waiting for the new claims
// that are queued.
func TestSettlementsGoBeforeQueuedClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingStore{Keyspace: platform.NewKeyspace()}
		config := DefaultBatchConfig()
		config.Rate, config.MaxTxns = 2, 1 // two calls per second with one write each
		l := NewLedger(Config{Store: store, Node: "n1", Batch: config})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go l.Run(ctx)
		claim, _, _, failure := l.Claim(ctx, Identity{"w", "first"}, "f", time.Now().Add(time.Minute))
		is.True(failure == nil)
		go claimConcurrently(l, 50)
		time.Sleep(100 * time.Millisecond)
		begin := time.Now()
		is.NoErr(claim.Complete(ctx, Response{Status: 201}))
		is.True(time.Since(begin) < 1500*time.Millisecond) // not delayed by the 50 queued claims
		time.Sleep(time.Minute)
	})
}

func TestEvaluate(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name   string
		stored Record
		want   Verdict
	}{
		{"own claim", Record{Writer: "me", Fingerprint: "f", State: StateClaimed, RunUntil: now.Add(1)}, VerdictRun},
		{"another writer's claim, before RunUntil", Record{Writer: "you", Fingerprint: "f", State: StateClaimed, RunUntil: now.Add(1)}, VerdictInProgress},
		{"another writer's claim, at RunUntil", Record{Writer: "you", Fingerprint: "f", State: StateClaimed, RunUntil: now}, VerdictOutcomeUnknown},
		{"done", Record{Fingerprint: "f", State: StateDone, Response: &Response{Status: 201, BodyStored: true}}, VerdictReplay},
		{"done, response too large", Record{Fingerprint: "f", State: StateDone, Response: &Response{Status: 201}}, VerdictNotStored},
		{"done, no response", Record{Fingerprint: "f", State: StateDone}, VerdictOutcomeUnknown},
		{"done, no status", Record{Fingerprint: "f", State: StateDone, Response: &Response{BodyStored: true}}, VerdictOutcomeUnknown},
		{"done, response too large, no status", Record{Fingerprint: "f", State: StateDone, Response: &Response{}}, VerdictOutcomeUnknown},
		{"done, informational status", Record{Fingerprint: "f", State: StateDone, Response: &Response{Status: 103, BodyStored: true}}, VerdictOutcomeUnknown},
		{"done, malformed type", Record{Fingerprint: "f", State: StateDone, Response: &Response{Status: 201, ContentType: "a\nb", BodyStored: true}}, VerdictOutcomeUnknown},
		{"done, no response, different request", Record{Fingerprint: "g", State: StateDone}, VerdictKeyReused},
		{"unknown", Record{Writer: "me", Fingerprint: "f", State: StateUnknown}, VerdictOutcomeUnknown},
		{"different request", Record{Writer: "me", Fingerprint: "g", State: StateClaimed}, VerdictKeyReused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Evaluate(test.stored, "me", "f", now), test.want)
		})
	}
}

func TestLargeResponseBodyIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		keys := platform.NewKeyspace()
		l := NewLedger(Config{Store: keys, Node: "n1", Batch: DefaultBatchConfig()})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go l.Run(ctx)
		id := Identity{"w", "k"}
		claim, _, _, _ := l.Claim(ctx, id, "f", time.Now().Add(time.Minute))
		is.NoErr(claim.Complete(ctx, Response{Status: 201, Body: make([]byte, MaxBody+1)}))
		_, verdict, stored, _ := l.Claim(ctx, id, "f", time.Now().Add(time.Minute))
		is.Equal(verdict, VerdictNotStored)
		is.Equal(stored.Response.Status, 201)
		entry, _, err := keys.Get(ctx, id.StoreKey())
		is.NoErr(err)
		is.True(len(entry.Value) < 1000)
	})
}

// TestNodesShareTheRateOfClaims guards against nodes that each use a rate of writes which was
// chosen for a few of them: together many of them write more than the store takes, which then
// refuses leases, too.
func TestNodesShareTheRateOfClaims(t *testing.T) {
	for _, nodes := range []int{1, 7, 30} {
		synctest.Test(t, func(t *testing.T) {
			var wait sync.WaitGroup
			ctx, cancel := context.WithCancel(context.Background())
			stores := make([]*countingStore, nodes)
			for i := range nodes {
				stores[i] = &countingStore{Keyspace: platform.NewKeyspace()}
				batch := DefaultBatchConfig()
				batch.Nodes = func() int { return nodes }
				l := NewLedger(Config{Store: stores[i], Node: fmt.Sprint("n", i), Batch: batch})
				go l.Run(ctx)
				wait.Go(func() { claimConcurrently(l, 3000) }) // It takes half a second.
			}
			wait.Wait()
			cancel()
			calls := 0
			for _, s := range stores {
				calls += s.calls
			}
			// 280 of the store's 400 writes a second, and a quarter of a second's as a burst.
			if bound := 280*3/4 + 280/4 + nodes; calls > bound {
				t.Errorf("%d nodes: %d calls to the store in half a second, want at most %d", nodes, calls, bound)
			}
		})
	}
}
