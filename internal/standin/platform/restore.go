package platform

import (
	"time"

	ring "eelgrassring.dev"
)

// Copy is the state of a keyspace at one time, from which it can be restored.
type Copy struct {
	revision  ring.Revision
	lastLease ring.Lease
	entries   []ring.Entry
}

// Copy returns the present state. Keys under a lease are left out: a lease does not
// outlive a restore.
func (k *Keyspace) Copy() Copy {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	out := Copy{revision: k.revision, lastLease: k.lastLease}
	for _, e := range k.entries {
		if e.Lease.IsZero() {
			out.entries = append(out.entries, e)
		}
	}
	return out
}

// Restore replaces the state by an earlier copy and begins the next era. Revisions and
// leases are given out again from the copy on, and no watch can continue.
func (k *Keyspace) Restore(c Copy) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.era++
	k.revision, k.lastLease = ring.RevisionAt(k.era, c.revision.Number()), ring.Lease{Number: c.lastLease.Number, Era: k.era}
	k.entries, k.leases, k.log, k.compacted = map[string]ring.Entry{}, map[ring.Lease]*lease{}, nil, k.revision
	for _, e := range c.entries {
		e.Created, e.Modified = ring.RevisionAt(k.era, e.Created.Number()), ring.RevisionAt(k.era, e.Modified.Number())
		k.entries[e.Key] = e
	}
	k.notifyWatches()
}

// Era implements ring.Store. The first era is 1.
func (k *Keyspace) Era() ring.StoreEra {
	k.mu.Lock()
	defer k.mu.Unlock()
	return ring.StoreEra{Number: k.era}
}

// ObserveEra implements ring.Store. It does nothing: the keyspace knows its era.
func (k *Keyspace) ObserveEra(ring.Era) {}

// SettleEra implements ring.Store. It does nothing.
func (k *Keyspace) SettleEra(ring.Era) bool { return false }
