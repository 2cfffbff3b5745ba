// Package mirror watches the keys below a prefix of the store and reports their
// changes.
//
// Terms:
//
//   - Sync: a full listing of the prefix; it finds changes that the watch did
//     not report.
//   - Outage: a time of at least MinOutage from the begin of a call to the store that had no
//     answer to the next answer, of this mirror or another one with the same Contact.
//   - Cut: the end of a waiting watch by the end of its connection. The store may do so at any
//     time. A cut proves neither that the store does not answer nor since when; the listing that
//     follows it does.
//   - Grace period: the time after an outage in which a deleted key may return,
//     because its lease expired while its owner could not renew it.
//   - Restore: the store continues from an older copy, in a new era. Its owners write
//     the lost keys and changes again within the grace period.
//
// Invariants: changes of a key are reported in the order of their revisions, of which
// those of a later era are larger; a key that disappears around an outage or a restore
// is reported as deleted, and one that a restore set back as changed, only if its
// owner has not written it again by the end of the grace period.
//
// Locks: no function of Config is called while mu is held. The loops of Run report one
// after the other, by the turn, which nothing else waits for.
package mirror

import (
	"context"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
)

// Config configures a Mirror of the keys of Store below Prefix. BatchInterval
// returns the minimum time between two reads from the watch; changes within that
// time arrive in one batch.
type Config struct {
	Store         ring.Store
	Prefix        string
	BatchInterval func() time.Duration
	// ResyncInterval is the interval of the periodic syncs.
	ResyncInterval time.Duration
	// NextResync returns the time to the next periodic sync. If it is nil, that time
	// is ResyncInterval.
	NextResync func() time.Duration
	// HasPeerFeed reports whether a peer sends all changes to this node, so that the
	// mirror need not watch the store. If it is nil, no peer does.
	HasPeerFeed func() bool
	// RetryInterval is the delay after a failed call.
	RetryInterval time.Duration
	// GracePeriod is the time for which deletions are held back after an outage
	// of at least MinOutage. RestoreGrace is the time for which deletions and changes
	// to older values are held back after a restore.
	GracePeriod  time.Duration
	MinOutage    time.Duration
	RestoreGrace time.Duration
	// Contact is shared by the mirrors of a node; nil means one of its own.
	Contact *Contact
	// ReportsAtOnce is the key whose deletion is never held back, if it is not empty.
	ReportsAtOnce string
	// OnChange is called for each change, OnConnectionChange when calls to the store
	// begin to fail or succeed again. Both are called from several goroutines; calls
	// of OnChange never overlap.
	OnChange           func(ring.Change)
	OnConnectionChange func(up bool, err error)
	// OnSync is called after each sync (full listing) with the time at which the sync
	// started, the entries that it found and the revision as of which they are all. All
	// changes before that time have been reported, except those held back.
	OnSync func(start clock.Instant, listed []ring.Entry, revision ring.Revision)
	// IsFresh reports whether the next periodic sync can be skipped because peers
	// have sent what it would find. If it is nil, no sync is skipped.
	IsFresh func() bool
}

// Mirror watches the keys below one prefix of the store and reports their changes
// to Config.OnChange.
type Mirror struct {
	config Config
	// turn holds an element while a loop decides what to report and reports it.
	turn chan struct{}

	mu sync.Mutex
	// revisions holds the last revision of each key that was reported or learned.
	revisions map[string]ring.Revision
	// pendingDeletions holds deletions, and setbacks the older values of keys that a
	// restore set back, until the end of the grace period.
	pendingDeletions map[string]ring.Change
	setbacks         map[string]ring.Change
	// restoreGraceEnd is the end of the grace period of the last restore.
	restoreGraceEnd time.Time
	// era is that of the newest listing.
	era ring.Era
	// isStoreUp is set if the last call to the store, other than a cut watch, succeeded.
	isStoreUp bool
	// isWatching is set while a watch runs.
	isWatching bool
	// failures counts consecutive failed calls.
	failures int
	// isRefreshPending is set if the next sync must report all keys, including
	// unchanged ones.
	isRefreshPending bool
	syncRequested    chan struct{}
}

// New returns a mirror; Run starts it.
func New(c Config) *Mirror {
	if c.Contact == nil {
		c.Contact = &Contact{}
	}
	return &Mirror{config: c, turn: make(chan struct{}, 1), revisions: map[string]ring.Revision{}, pendingDeletions: map[string]ring.Change{}, setbacks: map[string]ring.Change{}, isStoreUp: true, syncRequested: make(chan struct{}, 1)}
}

// Run watches the prefix and reports changes until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { m.resyncLoop(ctx) })
	wait.Go(func() {
		clock.Every(ctx, m.config.RetryInterval, func(context.Context) { m.endGracePeriod(time.Now()) })
	})
	m.watchLoop(ctx)
	wait.Wait()
}

// IsStoreUp reports whether the last call to the store, other than a cut watch, succeeded.
func (m *Mirror) IsStoreUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isStoreUp
}

// IsWatching reports whether a watch of the prefix runs, so that changes are reported
// when they happen.
func (m *Mirror) IsWatching() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isWatching
}

// setWatching records whether a watch runs.
func (m *Mirror) setWatching(isWatching bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isWatching = isWatching
}

// Refresh requests a sync (full listing) that reports all keys, including unchanged
// ones. It is for a receiver that may have dropped earlier changes.
func (m *Mirror) Refresh() {
	m.mu.Lock()
	m.isRefreshPending = true
	m.mu.Unlock()
	m.RequestSync()
}

// Learn records that the receiver of the changes got a key's value of the revision from
// a peer. The mirror then reports only later values, and the deletion of the key. Learn
// must be called before the receiver uses the value.
func (m *Mirror) Learn(key string, revision ring.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revisions[key] >= revision {
		return
	}
	m.revisions[key] = revision
	delete(m.pendingDeletions, key)
	delete(m.setbacks, key)
}

// Forget records that the receiver of the changes dropped a key that the store may hold.
// The next sync reports the key again if it exists.
func (m *Mirror) Forget(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.revisions, key)
	delete(m.pendingDeletions, key)
	delete(m.setbacks, key)
}

// RequestSync requests a sync, a full listing of the prefix, and returns without
// waiting for it.
func (m *Mirror) RequestSync() {
	select {
	case m.syncRequested <- struct{}{}:
	default:
	}
}

// resyncLoop runs the periodic and the requested syncs (full listings of the prefix)
// until the context ends.
func (m *Mirror) resyncLoop(ctx context.Context) {
	next := m.config.NextResync
	if next == nil {
		next = func() time.Duration { return m.config.ResyncInterval }
	}
	timer := time.NewTimer(next())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			if m.config.IsFresh == nil || !m.config.IsFresh() {
				m.sync(ctx)
			}
		case <-m.syncRequested:
			m.sync(ctx)
		}
		timer.Reset(max(next(), m.retryDelay()))
	}
}

// watchLoop restarts the watch of the store whenever it ends. While a peer sends all
// changes, it starts no watch.
func (m *Mirror) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.hasPeerFeed() {
			m.syncAndWatch(ctx)
		}
		clock.Sleep(ctx, m.retryDelay())
	}
}

// maxBackoffFactor limits the delay after consecutive failed calls, as a multiple
// of RetryInterval.
const maxBackoffFactor = 8

// retryDelay returns the delay before the next call. It doubles with each
// consecutive failure, because failed calls load the store too.
func (m *Mirror) retryDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	factor := time.Duration(1)
	for i := 1; i < m.failures && factor < maxBackoffFactor; i++ {
		factor *= 2
	}
	return m.config.RetryInterval * factor
}

// hasPeerFeed reports whether a peer sends all changes, by Config.HasPeerFeed. It
// returns false if that is nil.
func (m *Mirror) hasPeerFeed() bool { return m.config.HasPeerFeed != nil && m.config.HasPeerFeed() }

// syncAndWatch lists the prefix and then watches it, until the watch fails or a peer
// sends the changes.
func (m *Mirror) syncAndWatch(ctx context.Context) {
	revision, ok := m.sync(ctx)
	if !ok {
		return
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.setWatching(true)
	defer m.setWatching(false)
	_ = m.config.Store.Watch(watchCtx, m.config.Prefix, revision+1, func(c ring.Changes) {
		m.applyChanges(c, time.Now())
		clock.Sleep(ctx, m.config.BatchInterval())
		if m.hasPeerFeed() {
			cancel()
		}
	})
	if watchCtx.Err() == nil {
		m.recordCut(time.Now())
	}
}

// sync lists the prefix once and reports the differences from the keys known so far.
// It returns the revision of the listing, or false if the call to the store failed.
func (m *Mirror) sync(ctx context.Context) (ring.Revision, bool) {
	start := clock.NewInstant()
	began := time.Now()
	entries, revision, err := m.config.Store.List(ctx, m.config.Prefix)
	now := time.Now()
	m.recordCallResult(err, began, now)
	if err != nil {
		return 0, false
	}
	m.takeTurn()
	defer m.endTurn()
	m.report(m.applyListing(entries, revision, m.config.Store.Era().ChangedAt, now))
	if m.config.OnSync != nil {
		m.config.OnSync(start, entries, revision)
	}
	return revision, true
}

// takeTurn waits until no other loop reports, and endTurn lets the next one do so.
func (m *Mirror) takeTurn() { m.turn <- struct{}{} }

func (m *Mirror) endTurn() { <-m.turn }

// report calls OnChange for each change. The caller has the turn and does not hold mu.
func (m *Mirror) report(changes []ring.Change) {
	for _, c := range changes {
		m.config.OnChange(c)
	}
}

// applyListing returns the differences of a listing from the keys known so far. restoredAt
// is when the client of the store learned of the last restore.
func (m *Mirror) applyListing(entries []ring.Entry, revision ring.Revision, restoredAt, now time.Time) []ring.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteEra(revision.Era(), restoredAt)
	var out []ring.Change
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		if m.isRefreshPending && m.revisions[e.Key] == e.Modified {
			out = append(out, ring.Change{Entry: e})
			continue
		}
		if !m.holdSetback(ring.Change{Entry: e}, now) {
			out = m.applyChange(out, ring.Change{Entry: e}, now)
		}
	}
	m.isRefreshPending = false
	for key, modified := range m.revisions {
		// A key written after the listing's revision exists, though it is not listed.
		if !listed[key] && modified <= revision {
			out = m.applyChange(out, ring.Change{Entry: ring.Entry{Key: key, Modified: revision}, Deleted: true}, now)
		}
	}
	return out
}

// noteEra starts the grace period of a restore if a listing is of a later era than the
// one before. The period counts from when the client of the store learned of the
// restore, which may have been before this listing. mu is held.
func (m *Mirror) noteEra(e ring.Era, restoredAt time.Time) {
	if m.era != 0 && e > m.era {
		if end := restoredAt.Add(m.config.RestoreGrace); end.After(m.restoreGraceEnd) {
			m.restoreGraceEnd = end
		}
	}
	m.era = max(m.era, e)
}

// holdSetback holds back a listed value that may be older than the last reported one:
// it has a smaller number, in a later era. A value that was written again since the
// restore is not held if an earlier listing of the era had an older one, or if the
// watch reports it. holdSetback reports whether it held the value. mu is held.
func (m *Mirror) holdSetback(c ring.Change, now time.Time) bool {
	known, modified := m.revisions[c.Entry.Key], c.Entry.Modified
	if !now.Before(m.graceEnd()) || known.Era() >= modified.Era() || known.Number() <= modified.Number() {
		return false
	}
	if held, isHeld := m.setbacks[c.Entry.Key]; isHeld && held.Entry.Modified < modified {
		return false
	}
	delete(m.pendingDeletions, c.Entry.Key)
	m.setbacks[c.Entry.Key] = c
	return true
}

// applyChanges reports a batch of changes from the watch.
func (m *Mirror) applyChanges(c ring.Changes, now time.Time) {
	m.recordCallResult(nil, now, now)
	m.takeTurn()
	defer m.endTurn()
	m.report(m.applyAll(c.Changes, now))
}

// applyAll returns the changes to report of a batch.
func (m *Mirror) applyAll(changes []ring.Change, now time.Time) []ring.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []ring.Change
	for _, change := range changes {
		out = m.applyChange(out, change, now)
	}
	return out
}

// applyChange appends a change to those to report, unless a newer change of the key is
// known. A deletion during the grace period is held back until the period ends. mu is
// held.
func (m *Mirror) applyChange(out []ring.Change, c ring.Change, now time.Time) []ring.Change {
	key := c.Entry.Key
	delete(m.setbacks, key)
	if !c.Deleted {
		delete(m.pendingDeletions, key)
		if m.revisions[key] >= c.Entry.Modified {
			return out
		}
		m.revisions[key] = c.Entry.Modified
		return append(out, c)
	}
	if _, known := m.revisions[key]; !known || m.revisions[key] > c.Entry.Modified {
		return out
	}
	if now.Before(m.graceEnd()) && key != m.config.ReportsAtOnce {
		m.pendingDeletions[key] = c
		return out
	}
	delete(m.revisions, key)
	return append(out, c)
}

// endGracePeriod reports the held-back deletions and setbacks if the grace period has
// ended. While the store is down it reports none.
func (m *Mirror) endGracePeriod(now time.Time) {
	m.takeTurn()
	defer m.endTurn()
	m.report(m.takeHeldBack(now))
}

// takeHeldBack returns the changes that were held back, if the grace period has ended and
// the store is up.
func (m *Mirror) takeHeldBack(now time.Time) []ring.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.graceEnd()) || !m.isStoreUp {
		return nil
	}
	var out []ring.Change
	for key, c := range m.pendingDeletions {
		delete(m.pendingDeletions, key)
		if m.revisions[key] <= c.Entry.Modified {
			delete(m.revisions, key)
			out = append(out, c)
		}
	}
	for _, c := range m.setbacks {
		out = m.applyChange(out, c, now)
	}
	return out
}

// graceEnd returns the end of the last grace period, after an outage or a restore. mu is held.
func (m *Mirror) graceEnd() time.Time {
	if end := m.config.Contact.outageEnd(); !end.IsZero() {
		return clock.Later(m.restoreGraceEnd, end.Add(m.config.GracePeriod))
	}
	return m.restoreGraceEnd
}

// recordCut records that a watch has ended by itself. Only the next call tells whether the store
// answers.
func (m *Mirror) recordCut(now time.Time) {
	m.config.Contact.recordFailure(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures++
}

// recordCallResult records the result of a call to the store that began at a time; a nil
// err means success. At the end of an outage the grace period starts.
func (m *Mirror) recordCallResult(err error, began, now time.Time) {
	if err == nil {
		m.config.Contact.recordAnswer(m.config.MinOutage, now)
	} else {
		m.config.Contact.recordFailure(began)
	}
	m.mu.Lock()
	wasUp := m.isStoreUp
	m.isStoreUp = err == nil
	m.failures++
	if err == nil {
		m.failures = 0
	}
	m.mu.Unlock()
	if wasUp != (err == nil) && m.config.OnConnectionChange != nil {
		m.config.OnConnectionChange(err == nil, err)
	}
}
