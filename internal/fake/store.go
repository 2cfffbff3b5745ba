package fake

import (
	"context"
	"errors"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/era"
	"eelgrassring.dev/internal/standin/platform"
)

// storeTimeout is how long a call waits if the store does not respond.
const storeTimeout = 2 * time.Second

// errStoreDown is returned by calls that fail because of an active fault or
// DelayWrites.
var errStoreDown = errors.New("store is down")

// Store is the client that one process uses for the shared keyspace (the
// simulated key-value store), with its own faults. It implements ring.Store.
type Store struct {
	keys *platform.Keyspace
	eras era.Tracker

	mu         sync.Mutex
	fault      platform.Fault
	writeDelay time.Duration
	// paused is closed when calls continue; it is nil unless calls are paused.
	paused       chan struct{}
	ignoreGuards bool
	calls        StoreCalls
}

// StoreCalls counts the calls of the process to the store.
type StoreCalls struct {
	Reads, Writes, Renewals, Watches int
}

// NewStore returns a client of the keyspace with no active fault.
func NewStore(k *platform.Keyspace) *Store { return &Store{keys: k} }

// SetFault makes the client's next calls fail as the fault says;
// platform.FaultNone ends the fault.
func (s *Store) SetFault(f platform.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DelayWrites makes transactions fail with an unknown outcome at once and take
// effect after the delay.
func (s *Store) DelayWrites(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeDelay = d
}

// PauseCalls holds back all calls, as if the process were paused right before
// each of them. With pause false it lets them continue.
func (s *Store) PauseCalls(pause bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pause {
		s.paused = make(chan struct{})
		return
	}
	close(s.paused)
	s.paused = nil
}

// IgnoreGuards makes every transaction succeed without a check of its guards
// (conditions), so that tests can show that the invariants depend on them.
func (s *Store) IgnoreGuards() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoreGuards = true
}

// effectiveTxns returns the transactions, without their guards if those are
// ignored.
func (s *Store) effectiveTxns(txns []ring.Txn) []ring.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ignoreGuards {
		return txns
	}
	out := make([]ring.Txn, len(txns))
	for i, t := range txns {
		out[i].Writes = t.Writes
	}
	return out
}

// Calls returns how many calls of each kind the process has made.
func (s *Store) Calls() StoreCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// startCall counts a call, waits while calls are paused, and applies the faults
// that fail a call before it takes effect. It returns the active fault and the
// delay of writes.
func (s *Store) startCall(ctx context.Context, write bool, count func(*StoreCalls)) (platform.Fault, time.Duration, error) {
	s.mu.Lock()
	count(&s.calls)
	fault, delay, paused := s.fault, s.writeDelay, s.paused
	s.mu.Unlock()
	if paused != nil {
		<-paused // A paused process does not see its deadline pass.
	}
	time.Sleep(2 * linkDelay)
	switch {
	case fault == platform.FaultDown:
		if write {
			return fault, 0, errors.Join(ring.ErrOutcomeUnknown, errStoreDown)
		}
		return fault, 0, errStoreDown
	case fault == platform.FaultSilent:
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		<-ctx.Done()
		return fault, 0, errors.Join(ring.ErrOutcomeUnknown, ctx.Err())
	case fault == platform.FaultWriteLost && write:
		return fault, 0, errors.Join(ring.ErrOutcomeUnknown, errStoreDown)
	}
	return fault, delay, nil
}

// observeEra records the era that a response named.
func (s *Store) observeEra() { s.eras.Observe(s.keys.Era().Number, time.Now()) }

// Era implements ring.Store.
func (s *Store) Era() ring.StoreEra { return s.eras.State() }

// ObserveEra implements ring.Store.
func (s *Store) ObserveEra(e ring.Era) { s.eras.Observe(e, time.Now()) }

// SettleEra implements ring.Store.
func (s *Store) SettleEra(e ring.Era) bool { return s.eras.Settle(e) }

// Get implements ring.Store.
func (s *Store) Get(ctx context.Context, key string) (ring.Entry, bool, error) {
	if _, _, err := s.startCall(ctx, false, func(c *StoreCalls) { c.Reads++ }); err != nil {
		return ring.Entry{}, false, err
	}
	defer s.observeEra()
	return s.keys.Get(ctx, key)
}

// List implements ring.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]ring.Entry, ring.Revision, error) {
	if _, _, err := s.startCall(ctx, false, func(c *StoreCalls) { c.Reads++ }); err != nil {
		return nil, 0, err
	}
	defer s.observeEra()
	return s.keys.List(ctx, prefix)
}

// Commit implements ring.Store.
func (s *Store) Commit(ctx context.Context, txn ring.Txn) (ring.TxnResult, error) {
	results, err := s.CommitEach(ctx, []ring.Txn{txn})
	if err != nil {
		return ring.TxnResult{}, err
	}
	return results[0], nil
}

// CommitEach implements ring.Store.
func (s *Store) CommitEach(ctx context.Context, txns []ring.Txn) ([]ring.TxnResult, error) {
	fault, delay, err := s.startCall(ctx, true, func(c *StoreCalls) { c.Writes++ })
	if err != nil {
		return nil, err
	}
	txns = s.effectiveTxns(txns)
	if delay > 0 {
		go func() {
			time.Sleep(delay)
			_, _ = s.keys.CommitEach(context.Background(), txns)
		}()
		return nil, errors.Join(ring.ErrOutcomeUnknown, errStoreDown)
	}
	results, err := s.keys.CommitEach(ctx, txns)
	switch {
	case err != nil:
	case fault == platform.FaultResponseLost:
		return nil, errors.Join(ring.ErrOutcomeUnknown, errStoreDown)
	default:
		s.observeEra()
	}
	return results, err
}

// Grant implements ring.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (ring.Lease, error) {
	if _, _, err := s.startCall(ctx, true, func(c *StoreCalls) { c.Writes++ }); err != nil {
		return ring.Lease{}, err
	}
	defer s.observeEra()
	return s.keys.Grant(ctx, ttl)
}

// Renew implements ring.Store.
func (s *Store) Renew(ctx context.Context, lease ring.Lease) error {
	if _, _, err := s.startCall(ctx, false, func(c *StoreCalls) { c.Renewals++ }); err != nil {
		return err
	}
	defer s.observeEra()
	return s.keys.Renew(ctx, lease)
}

// Revoke implements ring.Store.
func (s *Store) Revoke(ctx context.Context, lease ring.Lease) error {
	if _, _, err := s.startCall(ctx, true, func(c *StoreCalls) { c.Writes++ }); err != nil {
		return err
	}
	defer s.observeEra()
	return s.keys.Revoke(ctx, lease)
}

// Watch implements ring.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from ring.Revision, sink func(ring.Changes)) error {
	if _, _, err := s.startCall(ctx, false, func(c *StoreCalls) { c.Watches++ }); err != nil {
		return err
	}
	defer s.observeEra() // A watch also ends when the store is restored.
	return s.keys.Watch(ctx, prefix, from, func(c ring.Changes) {
		s.mu.Lock()
		fault := s.fault
		s.mu.Unlock()
		if fault == platform.FaultNone || fault == platform.FaultResponseLost {
			sink(c)
		}
	})
}
