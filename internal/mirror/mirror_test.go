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

// fixture is a mirror of a keyspace whose changes it notes.
type fixture struct {
	keys   *platform.Keyspace
	store  *fake.Store
	mirror *Mirror

	mu        sync.Mutex
	revisions map[string]ring.Revision
	syncs     int
}

func withMirror(t *testing.T, do func(is *is.I, b *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		keys := platform.NewKeyspace()
		b := &fixture{keys: keys, store: fake.NewStore(keys), revisions: map[string]ring.Revision{}}
		b.mirror = New(Config{
			Store: b.store, Prefix: "s/", BatchInterval: func() time.Duration { return 100 * time.Millisecond },
			ResyncInterval: 4 * time.Second, RetryInterval: 200 * time.Millisecond, GracePeriod: 2 * time.Second, MinOutage: time.Second,
			OnChange: b.recordChange, OnSync: func(clock.Instant) { b.syncs++ },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { b.mirror.Run(ctx) })
		do(is.New(t), b)
		cancel()
		wait.Wait()
	})
}

func (b *fixture) recordChange(c ring.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Deleted {
		delete(b.revisions, c.Entry.Key)
		return
	}
	b.revisions[c.Entry.Key] = c.Entry.Modified
}

func (b *fixture) has(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revisions[key] != 0
}

func (b *fixture) put(key string, remove bool) {
	_, err := b.keys.Commit(context.Background(), ring.Txn{Writes: []ring.Write{{Key: key, Value: []byte("v"), Delete: remove}}})
	if err != nil {
		panic(err)
	}
}

func TestChangeIsReportedWithinBatchInterval(t *testing.T) {
	withMirror(t, func(is *is.I, b *fixture) {
		time.Sleep(time.Second)
		b.put("s/a", false)
		b.put("other/a", false)
		time.Sleep(150 * time.Millisecond)
		is.True(b.has("s/a"))
		is.True(!b.has("other/a"))
		b.put("s/a", true)
		time.Sleep(150 * time.Millisecond)
		is.True(!b.has("s/a"))
	})
}

func TestSyncFindsChangesMissedBySilentWatch(t *testing.T) {
	withMirror(t, func(is *is.I, b *fixture) {
		b.put("s/old", false)
		time.Sleep(time.Second)
		b.store.SetFault(platform.FaultSilentWatch)
		b.put("s/new", false)
		b.put("s/old", true)
		time.Sleep(5 * time.Second)
		is.True(b.has("s/new"))
		is.True(!b.has("s/old"))
	})
}

func TestGracePeriodAfterOutage(t *testing.T) {
	withMirror(t, func(is *is.I, b *fixture) {
		b.put("s/back", false)
		b.put("s/gone", false)
		time.Sleep(time.Second)
		b.store.SetFault(platform.FaultDown)
		time.Sleep(4 * time.Second)
		b.put("s/back", true)
		b.put("s/gone", true)
		b.store.SetFault(platform.FaultNone)
		time.Sleep(time.Second)
		is.True(b.has("s/back")) // the grace holds it
		is.True(b.has("s/gone"))
		b.put("s/back", false)
		time.Sleep(2 * time.Second)
		is.True(b.has("s/back"))
		is.True(!b.has("s/gone")) // one that is not back by then is gone
	})
}

func TestDeletionWithoutOutageIsReportedAtOnce(t *testing.T) {
	withMirror(t, func(is *is.I, b *fixture) {
		b.put("s/a", false)
		time.Sleep(time.Second)
		b.put("s/a", true)
		time.Sleep(200 * time.Millisecond)
		is.True(!b.has("s/a"))
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
	m.applyChange(ring.Change{Entry: entry(4), Deleted: true}, now) // deleted before it was written again
	is.Equal(n, 1)
	is.Equal(m.revisions["s/a"], ring.Revision(5))
}

func TestCallsBackOffWhileStoreIsDown(t *testing.T) {
	withMirror(t, func(is *is.I, b *fixture) {
		time.Sleep(time.Second)
		b.store.SetFault(platform.FaultDown)
		before := b.store.Calls()
		time.Sleep(8 * time.Second)
		after := b.store.Calls()
		calls := after.Reads + after.Watches - before.Reads - before.Watches
		is.True(calls <= 12)
		b.store.SetFault(platform.FaultNone)
		b.put("s/a", false)
		time.Sleep(2 * time.Second)
		is.True(b.has("s/a"))
	})
}
