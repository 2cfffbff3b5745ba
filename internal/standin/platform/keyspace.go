// Package platform implements in memory the platform services that tests and
// the demonstration need: the key-value service, the list of VMs and the
// weight store, from which backend servers load models.
//
// A keyspace is the state of the key-value service; a fault is one of its
// failure modes.
//
// Invariants: every call that writes has its own revision; a lease that
// expires deletes all its keys at one revision.
package platform

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	ring "eelgrassring.dev"
)

// maxLogLength bounds the changes kept for watches that start at a past
// revision.
const maxLogLength = 200_000

var (
	// errCompacted ends a watch whose start revision is no longer in the log.
	errCompacted    = errors.New("revision is compacted")
	errDuplicateKey = errors.New("duplicate key given in txn request")
)

// lease is a lease that expires at its deadline unless it is renewed. It owns
// the keys that were written with it.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	keys     map[string]bool
}

// loggedChange is one change of a key with the revision at which it was made.
type loggedChange struct {
	revision ring.Revision
	change   ring.Change
}

// Keyspace is an in-memory key-value store with leases and watches. It
// implements ring.Store without any fault.
type Keyspace struct {
	// pausedAt is when lease expiry was paused; zero if it is not paused.
	pausedAt time.Time

	mu        sync.Mutex
	revision  ring.Revision
	entries   map[string]ring.Entry
	leases    map[ring.Lease]*lease
	lastLease ring.Lease
	era       ring.Era
	log       []loggedChange
	// changed is closed and replaced at each write, which wakes the watches.
	changed chan struct{}
	// compacted is the newest revision that was dropped from the log.
	compacted ring.Revision
}

// NewKeyspace returns an empty keyspace at revision 1 of era 1.
func NewKeyspace() *Keyspace {
	return &Keyspace{
		era:       1,
		revision:  ring.RevisionAt(1, 1),
		entries:   map[string]ring.Entry{},
		leases:    map[ring.Lease]*lease{},
		lastLease: ring.Lease{Number: 1000, Era: 1},
		changed:   make(chan struct{}),
	}
}

// Get implements ring.Store.
func (k *Keyspace) Get(_ context.Context, key string) (ring.Entry, bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	e, ok := k.entries[key]
	return e, ok, nil
}

// List implements ring.Store.
func (k *Keyspace) List(_ context.Context, prefix string) ([]ring.Entry, ring.Revision, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	var out []ring.Entry
	for key, e := range k.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, k.revision, nil
}

// Commit implements ring.Store.
func (k *Keyspace) Commit(ctx context.Context, txn ring.Txn) (ring.TxnResult, error) {
	results, err := k.CommitEach(ctx, []ring.Txn{txn})
	if err != nil {
		return ring.TxnResult{}, err
	}
	return results[0], nil
}

// CommitEach implements ring.Store. As in the etcd API, all writes of one call
// share one revision, and a key may be written only once.
func (k *Keyspace) CommitEach(_ context.Context, txns []ring.Txn) ([]ring.TxnResult, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	if err := k.validate(txns); err != nil {
		return nil, err
	}
	next := k.revision + 1
	out := make([]ring.TxnResult, len(txns))
	for i, t := range txns {
		out[i].Succeeded = k.guardsHold(t.Guards)
	}
	for i, t := range txns {
		if out[i].Succeeded && len(t.Writes) > 0 {
			k.revision = next
			k.writeAll(t.Writes)
		}
	}
	for i := range out {
		out[i].Revision = k.revision
	}
	k.notifyWatches()
	return out, nil
}

// validate rejects a call that writes a key twice or names an unknown lease.
func (k *Keyspace) validate(txns []ring.Txn) error {
	written := map[string]bool{}
	for _, t := range txns {
		for _, w := range t.Writes {
			if written[w.Key] {
				return errDuplicateKey
			}
			written[w.Key] = true
			if _, known := k.leases[w.Lease]; !w.Lease.IsZero() && !known {
				return ring.ErrLeaseLost
			}
		}
	}
	return nil
}

// guardsHold reports whether the current entries satisfy all guards (conditions
// on a key's create or modification revision); mu is held.
func (k *Keyspace) guardsHold(guards []ring.Guard) bool {
	for _, g := range guards {
		e := k.entries[g.Key]
		if g.CheckCreated && e.Created != g.Created {
			return false
		}
		if g.CheckModified && e.Modified != g.Modified {
			return false
		}
	}
	return true
}

// writeAll applies the writes of a transaction at the current revision; mu is
// held.
func (k *Keyspace) writeAll(writes []ring.Write) {
	for _, w := range writes {
		k.write(w)
	}
}

// write stores or deletes one key, moves the key to its new lease and logs the
// change; mu is held.
func (k *Keyspace) write(w ring.Write) {
	old, existed := k.entries[w.Key]
	if l := k.leases[old.Lease]; existed && l != nil {
		delete(l.keys, w.Key)
	}
	if w.Delete {
		if !existed {
			return
		}
		delete(k.entries, w.Key)
		k.appendLog(ring.Change{Entry: ring.Entry{Key: w.Key, Modified: k.revision}, Deleted: true})
		return
	}
	e := ring.Entry{Key: w.Key, Value: append([]byte(nil), w.Value...), Created: k.revision, Modified: k.revision, Lease: w.Lease}
	if existed {
		e.Created = old.Created
	}
	k.entries[w.Key] = e
	if l := k.leases[w.Lease]; l != nil {
		l.keys[w.Key] = true
	}
	k.appendLog(ring.Change{Entry: e})
}

// appendLog adds a change to the log that watches read, and drops the older
// half of a log that is too long.
func (k *Keyspace) appendLog(c ring.Change) {
	k.log = append(k.log, loggedChange{k.revision, c})
	if len(k.log) > maxLogLength {
		k.compacted = k.log[maxLogLength/2].revision
		k.log = append([]loggedChange(nil), k.log[maxLogLength/2+1:]...)
	}
}

// notifyWatches wakes all watches, which then read the log of changes; mu is
// held.
func (k *Keyspace) notifyWatches() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// expireLeases ends leases that are past their deadline; mu is held.
func (k *Keyspace) expireLeases(now time.Time) {
	if !k.pausedAt.IsZero() {
		return
	}
	for id, l := range k.leases {
		if now.After(l.deadline) {
			k.endLease(id, l)
		}
	}
}

// endLease removes a lease and deletes its keys at one revision; mu is held.
func (k *Keyspace) endLease(id ring.Lease, l *lease) {
	delete(k.leases, id)
	if len(l.keys) == 0 {
		return
	}
	k.revision++
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		delete(k.entries, key)
		k.appendLog(ring.Change{Entry: ring.Entry{Key: key, Modified: k.revision}, Deleted: true})
	}
	k.notifyWatches()
}

// PauseLeases stops the expiry of all leases, as may happen during an outage of
// the store.
func (k *Keyspace) PauseLeases() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pausedAt = time.Now()
}

// ResumeLeases resumes lease expiry and extends each lease by the pause.
func (k *Keyspace) ResumeLeases() {
	k.mu.Lock()
	defer k.mu.Unlock()
	pause := time.Since(k.pausedAt)
	k.pausedAt = time.Time{}
	for _, l := range k.leases {
		l.deadline = l.deadline.Add(pause)
	}
}

// ExpireLeases ends leases that are past their deadline. The server calls it at
// intervals, so that watches see the deletions even if there are no other calls.
func (k *Keyspace) ExpireLeases() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
}

// Grant implements ring.Store.
func (k *Keyspace) Grant(_ context.Context, ttl time.Duration) (ring.Lease, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastLease.Number++
	k.leases[k.lastLease] = &lease{ttl: ttl, deadline: time.Now().Add(ttl), keys: map[string]bool{}}
	return k.lastLease, nil
}

// Renew implements ring.Store.
func (k *Keyspace) Renew(_ context.Context, id ring.Lease) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	l, ok := k.leases[id]
	if !ok {
		return ring.ErrLeaseLost
	}
	l.deadline = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements ring.Store.
func (k *Keyspace) Revoke(_ context.Context, id ring.Lease) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l, ok := k.leases[id]; ok {
		k.endLease(id, l)
	}
	return nil
}

// Watch implements ring.Store.
func (k *Keyspace) Watch(ctx context.Context, prefix string, from ring.Revision, sink func(ring.Changes)) error {
	for {
		batch, next, changed, err := k.changesSince(prefix, from)
		if err != nil {
			return err
		}
		from = next
		if len(batch.Changes) > 0 {
			sink(batch)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// changesSince returns the logged changes of keys with the prefix at and after
// a revision, the revision to continue from, and a channel that closes at the
// next change.
func (k *Keyspace) changesSince(prefix string, from ring.Revision) (ring.Changes, ring.Revision, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if from <= k.compacted {
		return ring.Changes{}, 0, nil, errCompacted
	}
	first := sort.Search(len(k.log), func(i int) bool { return k.log[i].revision >= from })
	out := ring.Changes{Revision: k.revision}
	for _, l := range k.log[first:] {
		if strings.HasPrefix(l.change.Entry.Key, prefix) {
			out.Changes = append(out.Changes, l.change)
		}
	}
	return out, k.revision + 1, k.changed, nil
}

// Log returns all logged changes, grouped by revision. The oldest are missing
// if more than maxLogLength were made.
func (k *Keyspace) Log() []ring.Changes {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []ring.Changes
	for _, l := range k.log {
		if len(out) == 0 || out[len(out)-1].Revision != l.revision {
			out = append(out, ring.Changes{Revision: l.revision})
		}
		last := &out[len(out)-1]
		last.Changes = append(last.Changes, l.change)
	}
	return out
}
