package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/standin/platform"
)

// cutStore is a store whose watches are cut after the time that lasts returns.
type cutStore struct {
	*fake.Store
	lasts func() time.Duration
}

func (s *cutStore) Watch(ctx context.Context, prefix string, from ring.Revision, sink func(ring.Changes)) error {
	ctx, cancel := context.WithTimeoutCause(ctx, s.lasts(), errors.New("cut"))
	defer cancel()
	return s.Store.Watch(ctx, prefix, from, sink)
}

// newCutFixture returns a fixture whose watches are cut, and its configuration.
func newCutFixture(lasts func() time.Duration) (*fixture, Config) {
	keys := platform.NewKeyspace()
	f := &fixture{keys: keys, store: fake.NewStore(keys), revisions: map[string]ring.Revision{}}
	return f, Config{
		Store: &cutStore{f.store, lasts}, Prefix: "s/", BatchInterval: func() time.Duration { return 100 * time.Millisecond },
		ResyncInterval: 4 * time.Second, RetryInterval: 200 * time.Millisecond, GracePeriod: 2200 * time.Millisecond, MinOutage: 800 * time.Millisecond,
		OnChange: f.recordChange,
	}
}

// TestCutWatchHoldsBackNoDeletion guards against DRAIN: each cut of a waiting watch counts as an
// outage, since no call has succeeded for a while, and the removal of a server is held back.
func TestCutWatchHoldsBackNoDeletion(t *testing.T) {
	for _, most := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(most), 1))
			f, config := newCutFixture(func() time.Duration { return 300*time.Millisecond + time.Duration(random.Int64N(int64(most))) })
			var changes []bool
			config.OnConnectionChange = func(up bool, _ error) { changes = append(changes, up) }
			f.mirror = New(config)
			ctx, cancel := context.WithCancel(t.Context())
			var wait sync.WaitGroup
			wait.Go(func() { f.mirror.Run(ctx) })
			for i := range 30 {
				f.put("s/a", false)
				time.Sleep(700*time.Millisecond + time.Duration(i)*130*time.Millisecond)
				f.put("s/a", true)
				time.Sleep(700 * time.Millisecond)
				if f.hasKey("s/a") {
					t.Errorf("watches of up to %s: removal %d is not reported after 700 ms", most, i)
				}
			}
			if len(changes) > 0 {
				t.Errorf("watches of up to %s: the store is said to be down or up %d times", most, len(changes))
			}
			cancel()
			wait.Wait()
		})
	}
}

// TestOutageWhileAWatchWaits guards against SHORT: an outage begins and ends while a watch waits,
// so that only other calls of the node notice it, and the entries of servers that could not renew
// them are taken for removed.
func TestOutageWhileAWatchWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, config := newCutFixture(func() time.Duration { return 7 * time.Second })
		contact := &Contact{}
		config.ResyncInterval, config.Contact = time.Minute, contact
		f.mirror = New(config)
		other := config
		other.Prefix, other.ResyncInterval, other.OnChange = "other/", 500*time.Millisecond, func(ring.Change) {}
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { f.mirror.Run(ctx) })
		wait.Go(func() { New(other).Run(ctx) })
		f.put("s/a", false)
		time.Sleep(3 * time.Second)
		f.store.SetFault(platform.FaultSilent)
		time.Sleep(3500 * time.Millisecond)
		f.put("s/a", true) // It lapses.
		time.Sleep(200 * time.Millisecond)
		f.store.SetFault(platform.FaultNone)
		for range 15 { // The watch is cut meanwhile.
			time.Sleep(100 * time.Millisecond)
			if !f.hasKey("s/a") {
				t.Fatal("the entry counts as removed although its owner could not renew it")
			}
		}
		f.put("s/a", false)
		time.Sleep(3 * time.Second)
		if !f.hasKey("s/a") {
			t.Error("the entry is missing although its owner has written it again")
		}
		f.put("s/a", true)
		time.Sleep(500 * time.Millisecond)
		if f.hasKey("s/a") {
			t.Error("a later removal is held back")
		}
		cancel()
		wait.Wait()
	})
}
