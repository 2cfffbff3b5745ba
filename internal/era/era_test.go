package era

import (
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

func TestTrackerKeepsTheNewestEra(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	var tracker Tracker
	is.True(tracker.Observe(3, start))
	is.Equal(tracker.State(), ring.StoreEra{Number: 3, ChangedAt: start}) // It may have begun just before.
	is.True(tracker.Observe(5, start.Add(time.Second)))
	is.True(!tracker.Observe(4, start.Add(2*time.Second))) // a late response
	is.Equal(tracker.State(), ring.StoreEra{Number: 5, ChangedAt: start.Add(time.Second)})
}

// TestOnlyTheNewestEraSettles guards against taking what was said of an earlier era, as by a key
// of a copy, for the present one.
func TestOnlyTheNewestEraSettles(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	var tracker Tracker
	is.True(!tracker.Settle(0))
	is.True(tracker.Observe(3, start))
	is.True(!tracker.Settle(2))
	is.True(!tracker.Settle(4))
	is.Equal(tracker.State().ChangedAt, start)
	is.True(tracker.Settle(3))
	is.True(!tracker.Settle(3)) // It is no news.
	is.Equal(tracker.State(), ring.StoreEra{Number: 3})
	is.True(tracker.Observe(4, start.Add(time.Second)))
	is.Equal(tracker.State().ChangedAt, start.Add(time.Second))
}

func TestRevisionsOfALaterEraAreLarger(t *testing.T) {
	is := is.New(t)
	before, after := ring.RevisionAt(1, 5000), ring.RevisionAt(2, 4990)
	is.True(after > before)
	is.Equal(after.Era(), ring.Era(2))
	is.Equal(after.Number(), int64(4990))
	is.Equal(ring.RevisionAt(0, 7), ring.Revision(7)) // a store without eras
}
