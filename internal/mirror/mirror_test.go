package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/standin/platform"
)

// fixture is a mirror of a keyspace with a record of the reported changes.
type fixture struct {
	keys   *platform.Keyspace
	store  *fake.Store
	mirror *Mirror

	mu        sync.Mutex
	revisions map[string]ring.Revision
	syncs     int
}

// withMirror runs test against a running mirror, on a synthetic clock.
func withMirror(t *testing.T, test func(is *is.I, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		keys := platform.NewKeyspace()
		f := &fixture{keys: keys, store: fake.NewStore(keys), revisions: map[string]ring.Revision{}}
		f.mirror = New(Config{
			Store: f.store, Prefix: "s/", BatchInterval: func() time.Duration { return 100 * time.Millisecond },
			ResyncInterval: 4 * time.Second, RetryInterval: 200 * time.Millisecond, GracePeriod: 2 * time.Second, MinOutage: time.Second,
			OnChange: f.recordChange, OnSync: func(clock.Instant) { f.syncs++ },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { f.mirror.Run(ctx) })
		test(is.New(t), f)
		cancel()
		wait.Wait()
	})
}

func (f *fixture) recordChange(c ring.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Deleted {
		delete(f.revisions, c.Entry.Key)
		return
	}
	f.revisions[c.Entry.Key] = c.Entry.Modified
}

func (f *fixture) hasKey(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revisions[key] != 0
}

// put writes a key, or deletes it if remove is set.
func (f *fixture) put(key string, remove bool) {
	_, err := f.keys.Commit(context.Background(), ring.Txn{Writes: []ring.Write{{Key: key, Value: []byte("v"), Delete: remove}}})
	if err != nil {
		panic(err)
	}
}

func TestChangeIsReportedWithinBatchInterval(t *testing.T) {
	withMirror(t, func(is *is.I, f *fixture) {
		time.Sleep(time.Second)
		f.put("s/a", false)
		f.put("other/a", false)
		time.Sleep(150 * time.Millisecond)
		is.True(f.hasKey("s/a"))
		is.True(!f.hasKey("other/a"))
		f.put("s/a", true)
		time.Sleep(150 * time.Millisecond)
		is.True(!f.hasKey("s/a"))
	})
}

// A watch that stays open without reporting changes is not noticed as a failure;
// the periodic sync must find the changes.
func TestSyncFindsChangesMissedBySilentWatch(t *testing.T) {
	withMirror(t, func(is *is.I, f *fixture) {
		f.put("s/old", false)
		time.Sleep(time.Second)
		f.store.SetFault(platform.FaultSilentWatch)
		f.put("s/new", false)
		f.put("s/old", true)
		time.Sleep(5 * time.Second)
		is.True(f.hasKey("s/new"))
		is.True(!f.hasKey("s/old"))
	})
}

// A lease can expire during an outage, because its owner cannot renew it. The
// key must not be reported as deleted if the owner writes it again soon after.
func TestGracePeriodAfterOutage(t *testing.T) {
	withMirror(t, func(is *is.I, f *fixture) {
		f.put("s/back", false)
		f.put("s/gone", false)
		time.Sleep(time.Second)
		f.store.SetFault(platform.FaultDown)
		time.Sleep(4 * time.Second)
		f.put("s/back", true)
		f.put("s/gone", true)
		f.store.SetFault(platform.FaultNone)
		time.Sleep(time.Second)
		is.True(f.hasKey("s/back")) // its deletion is held until the grace period ends
		is.True(f.hasKey("s/gone"))
		f.put("s/back", false)
		time.Sleep(2 * time.Second)
		is.True(f.hasKey("s/back"))
		is.True(!f.hasKey("s/gone")) // deleted, as it did not return
	})
}

func TestDeletionWithoutOutageIsReportedAtOnce(t *testing.T) {
	withMirror(t, func(is *is.I, f *fixture) {
		f.put("s/a", false)
		time.Sleep(time.Second)
		f.put("s/a", true)
		time.Sleep(200 * time.Millisecond)
		is.True(!f.hasKey("s/a"))
	})
}

func TestOlderChangeIsIgnored(t *testing.T) {
	is := is.New(t)
	n := 0
	m := New(Config{OnChange: func(ring.Change) { n++ }})
	now := time.Now()
	entry := func(at ring.Revision) ring.Entry { return ring.Entry{Key: "s/a", Modified: at} }
	m.applyChange(ring.Change{Entry: entry(5)}, now)
	m.applyChange(ring.Change{Entry: entry(4)}, now)                // a stale read
	m.applyChange(ring.Change{Entry: entry(4), Deleted: true}, now) // a deletion before the last write
	is.Equal(n, 1)
	is.Equal(m.revisions["s/a"], ring.Revision(5))
}

func TestCallsBackOffWhileStoreIsDown(t *testing.T) {
	withMirror(t, func(is *is.I, f *fixture) {
		time.Sleep(time.Second)
		f.store.SetFault(platform.FaultDown)
		before := f.store.Calls()
		time.Sleep(8 * time.Second)
		after := f.store.Calls()
		calls := after.Reads + after.Watches - before.Reads - before.Watches
		is.True(calls <= 12)
		f.store.SetFault(platform.FaultNone)
		f.put("s/a", false)
		time.Sleep(2 * time.Second)
		is.True(f.hasKey("s/a"))
	})
}
