package eelgrassring

import (
	"context"
	"errors"
	"time"
)

// ErrOutcomeUnknown marks a write that may or may not have taken effect. The
// writer must read the key to find out.
var ErrOutcomeUnknown = errors.New("outcome of the write is unknown")

// ErrLeaseLost marks a renewal of a lease that no longer exists in the store.
var ErrLeaseLost = errors.New("lease no longer exists")

// ErrRestored marks a call whose result cannot be used because the store was restored
// from an older copy: the response is from before the restore, or the call used a
// lease or revision from before it.
var ErrRestored = errors.New("store was restored from a copy")

// StoreEra is the newest era of the store that a client knows. ChangedAt is when the
// client learned of it, also if it is the first one: the restore may have been just before.
// It is zero if the era is settled, or if the client knows none.
type StoreEra struct {
	Number    Era
	ChangedAt time.Time
}

// IsSettled reports whether the era is settled: by what others say, or as it has been known for
// the time in which owners write again what a restore lost.
func (e StoreEra) IsSettled(rewriteTime time.Duration, now time.Time) bool {
	return e.ChangedAt.IsZero() || now.Sub(e.ChangedAt) >= rewriteTime
}

// Lease identifies a lease in the store; the zero value is no lease. It holds the era in
// which the store granted it, because the store may give out its own numbers, which may
// be of any size, again after a restore.
type Lease struct {
	Number int64
	Era    Era
}

// IsZero reports whether l is no lease.
func (l Lease) IsZero() bool { return l == Lease{} }

// Entry is a key of the store with its value. Created is the revision at which
// the key was last created, Modified that of its last write. Lease is the lease
// with which the key expires, if any.
type Entry struct {
	Key      string
	Value    []byte
	Created  Revision
	Modified Revision
	Lease    Lease
}

// Guard is a condition of a transaction on the state of one key.
type Guard struct {
	Key string
	// Created must equal the revision that created the key; 0 requires that
	// the key does not exist. It is checked when CheckCreated is set.
	Created      Revision
	CheckCreated bool
	// Modified must equal the revision of the last write; 0 requires that the
	// key does not exist. It is checked when CheckModified is set.
	Modified      Revision
	CheckModified bool
}

// Absent returns a guard that requires that key does not exist.
func Absent(key string) Guard {
	return Guard{Key: key, CheckCreated: true}
}

// Unchanged returns a guard that requires that key was last written at revision; 0
// requires that key does not exist.
func Unchanged(key string, revision Revision) Guard {
	return Guard{Key: key, Modified: revision, CheckModified: true}
}

// CreatedAt returns a guard that requires that key was created at revision.
func CreatedAt(key string, revision Revision) Guard {
	return Guard{Key: key, Created: revision, CheckCreated: true}
}

// Write is one change within a transaction: it sets a key, or deletes it if Delete
// is set. The key expires with Lease, if it is set.
type Write struct {
	Key    string
	Value  []byte
	Lease  Lease
	Delete bool
}

// Txn is a transaction: all writes take effect if all guards hold, otherwise none.
type Txn struct {
	Guards []Guard
	Writes []Write
}

// TxnResult tells whether the guards held, so that the writes took effect, and at
// which revision.
type TxnResult struct {
	Succeeded bool
	Revision  Revision
}

// Change is one observed change of a key.
type Change struct {
	Entry   Entry
	Deleted bool
}

// Changes is a batch of changes up to and including Revision.
type Changes struct {
	Revision Revision
	Changes  []Change
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads a key and reports whether the key exists.
	Get(ctx context.Context, key string) (Entry, bool, error)
	// List reads all keys with the prefix. A watch from the revision after the
	// returned one misses no change.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Commit runs a transaction. It returns an error that wraps ErrOutcomeUnknown
	// when the writes may have taken effect.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// CommitEach runs independent transactions, in one call if the service allows
	// it. Its errors are those of Commit.
	CommitEach(ctx context.Context, txns []Txn) ([]TxnResult, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease by its TTL. It returns an error that wraps ErrLeaseLost
	// if the lease no longer exists.
	Renew(ctx context.Context, lease Lease) error
	// Revoke ends a lease and deletes the keys that were written with it.
	Revoke(ctx context.Context, lease Lease) error
	// Watch calls sink with batches of changes, beginning with those at the
	// revision from. It returns an error when the context ends or the stream
	// fails.
	Watch(ctx context.Context, prefix string, from Revision, sink func(Changes)) error
	// Era returns the newest era that a response or ObserveEra has named.
	Era() StoreEra
	// ObserveEra tells the client of an era that a peer knows. Responses of earlier
	// eras are errors from then on.
	ObserveEra(e Era)
	// SettleEra tells the client that an era is settled; see StoreEra. It reports whether
	// that is the newest known era and was not settled before.
	SettleEra(e Era) bool
}
