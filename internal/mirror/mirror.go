// Package mirror follows the keys below a prefix of the store.
//
// Terms:
//
//   - Sync: a whole listing of the prefix; it finds what a silent watch hid.
//   - Outage: a time in which no call to the store succeeded.
//   - Grace: the time after an outage in which a key that is gone may come
//     back, because its lease ran out while its owner could not renew it.
//
// Invariants: changes of one key are handed on in the order of their
// revisions; a key that disappears around an outage is reported as deleted
// only when the grace is over and it has not come back.
package mirror

import (
	"context"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
)

// Config configures a Mirror. Pause returns the least time between two rounds
// of the watch: changes of that time travel as one call.
type Config struct {
	Store         ring.Store
	Prefix        string
	BatchInterval func() time.Duration
	// ResyncInterval is how often the prefix is listed.
	ResyncInterval time.Duration
	// NextResync returns the time to the next listing; nil means Resync.
	NextResync func() time.Duration
	// HasPeerFeed reports whether another node passes all changes on, so that
	// this one need not watch; nil means never.
	HasPeerFeed func() bool
	// RetryInterval is the pause after a failed call.
	RetryInterval time.Duration
	// GracePeriod is the time after an outage that lasted at least as long as Outage.
	GracePeriod time.Duration
	MinOutage   time.Duration
	// OnChange hears of each change, OnState of the loss and return of the
	// store. They may be called by two goroutines, but not at once.
	OnChange func(ring.Change)
	OnState  func(up bool, err error)
	// OnSync hears of each whole listing, with the moment before it was asked
	// for: no change before that moment is missing.
	OnSync func(begun clock.Instant)
	// IsFresh reports whether a periodic listing can be left out, because others
	// told its result; nil means never.
	IsFresh func() bool
}

// Mirror follows one prefix.
type Mirror struct {
	config Config

	mu        sync.Mutex
	revisions map[string]ring.Revision
	// pendingDeletions holds deletions that wait for the end of the grace.
	pendingDeletions map[string]ring.Change
	lastSuccess      time.Time
	graceEnd         time.Time
	isUp             bool
	// failures counts the calls that failed in a row.
	failures int
	// isRefreshPending is set when the next listing is to be handed on whole.
	isRefreshPending bool
	syncRequested    chan struct{}
}

// New returns a mirror; Run starts it.
func New(c Config) *Mirror {
	return &Mirror{config: c, revisions: map[string]ring.Revision{}, pendingDeletions: map[string]ring.Change{}, isUp: true, syncRequested: make(chan struct{}, 1)}
}

// Run follows the prefix until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { m.resyncLoop(ctx) })
	wait.Go(func() {
		clock.Every(ctx, m.config.RetryInterval, func(context.Context) { m.reportExpiredDeletions(time.Now()) })
	})
	m.watchLoop(ctx)
	wait.Wait()
}

// IsUp reports whether the last call to the store was answered.
func (m *Mirror) IsUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isUp
}

// Refresh asks for a listing now, and for all of it to be handed on, also what
// did not change: the receiver may have dropped some of it.
func (m *Mirror) Refresh() {
	m.mu.Lock()
	m.isRefreshPending = true
	m.mu.Unlock()
	m.RequestSync()
}

// RequestSync asks for a listing now.
func (m *Mirror) RequestSync() {
	select {
	case m.syncRequested <- struct{}{}:
	default:
	}
}

func (m *Mirror) resyncLoop(ctx context.Context) {
	after := m.config.NextResync
	if after == nil {
		after = func() time.Duration { return m.config.ResyncInterval }
	}
	timer := time.NewTimer(after())
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
		timer.Reset(max(after(), m.retryDelay()))
	}
}

func (m *Mirror) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.hasPeerFeed() {
			m.watch(ctx)
		}
		clock.Sleep(ctx, m.retryDelay())
	}
}

// maxBackoffFactor bounds the pause after calls that failed in a row, as a multiple of
// the first.
const maxBackoffFactor = 8

// retryDelay is the pause after a call: it doubles while calls fail, for each
// refused call costs the store, too.
func (m *Mirror) retryDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	factor := time.Duration(1)
	for i := 1; i < m.failures && factor < maxBackoffFactor; i++ {
		factor *= 2
	}
	return m.config.RetryInterval * factor
}

func (m *Mirror) hasPeerFeed() bool { return m.config.HasPeerFeed != nil && m.config.HasPeerFeed() }

// watch lists and watches the prefix until the watch fails, or another node
// passes the changes on.
func (m *Mirror) watch(ctx context.Context) {
	revision, ok := m.sync(ctx)
	if !ok {
		return
	}
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	err := m.config.Store.Watch(watching, m.config.Prefix, revision+1, func(c ring.Changes) {
		m.applyChanges(c, time.Now())
		clock.Sleep(ctx, m.config.BatchInterval())
		if m.hasPeerFeed() {
			cancel()
		}
	})
	if watching.Err() == nil {
		m.recordCallResult(err, time.Now())
	}
}

// sync lists the prefix once.
func (m *Mirror) sync(ctx context.Context) (ring.Revision, bool) {
	begun := clock.NewInstant()
	entries, revision, err := m.config.Store.List(ctx, m.config.Prefix)
	now := time.Now()
	m.recordCallResult(err, now)
	if err != nil {
		return 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	shown := make(map[string]bool, len(entries))
	for _, e := range entries {
		shown[e.Key] = true
		if m.isRefreshPending && m.revisions[e.Key] == e.Modified {
			m.config.OnChange(ring.Change{Entry: e})
			continue
		}
		m.applyChange(ring.Change{Entry: e}, now)
	}
	m.isRefreshPending = false
	for key, modified := range m.revisions {
		// A key that was written after the listing began is not missing.
		if !shown[key] && modified <= revision {
			m.applyChange(ring.Change{Entry: ring.Entry{Key: key, Modified: revision}, Deleted: true}, now)
		}
	}
	if m.config.OnSync != nil {
		m.config.OnSync(begun)
	}
	return revision, true
}

func (m *Mirror) applyChanges(c ring.Changes, now time.Time) {
	m.recordCallResult(nil, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, one := range c.Changes {
		m.applyChange(one, now)
	}
}

// applyChange hands a change on unless it is old; mu is held.
func (m *Mirror) applyChange(c ring.Change, now time.Time) {
	key := c.Entry.Key
	if !c.Deleted {
		delete(m.pendingDeletions, key)
		if m.revisions[key] >= c.Entry.Modified {
			return
		}
		m.revisions[key] = c.Entry.Modified
		m.config.OnChange(c)
		return
	}
	if _, has := m.revisions[key]; !has || m.revisions[key] > c.Entry.Modified {
		return
	}
	if now.Before(m.graceEnd) {
		m.pendingDeletions[key] = c
		return
	}
	m.reportDeletion(c)
}

// reportDeletion is called with mu held.
func (m *Mirror) reportDeletion(c ring.Change) {
	delete(m.revisions, c.Entry.Key)
	m.config.OnChange(c)
}

// reportExpiredDeletions reports the deletions whose grace is over.
func (m *Mirror) reportExpiredDeletions(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.graceEnd) || !m.isUp {
		return
	}
	for key, c := range m.pendingDeletions {
		delete(m.pendingDeletions, key)
		if m.revisions[key] <= c.Entry.Modified {
			m.reportDeletion(c)
		}
	}
}

// recordCallResult follows whether the store answers.
func (m *Mirror) recordCallResult(err error, now time.Time) {
	m.mu.Lock()
	was := m.isUp
	m.isUp = err == nil
	m.failures++
	if err == nil {
		m.failures = 0
		if !was && now.Sub(m.lastSuccess) >= m.config.MinOutage {
			m.graceEnd = now.Add(m.config.GracePeriod)
		}
		m.lastSuccess = now
	}
	m.mu.Unlock()
	if was != (err == nil) && m.config.OnState != nil {
		m.config.OnState(err == nil, err)
	}
}
