package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(1_000_000, 0)

// TestLaterObservationsHold guards against delayed messages that bring back a limit that has
// ended or changed.
func TestLaterObservationsHold(t *testing.T) {
	is := is.New(t)
	var r Registry
	k := KeyOf("s", "1")
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }
	is.True(!r.Observe(Observation{Server: k, At: at(0)})) // Most servers never name a limit.
	is.True(r.IsEmpty())
	is.True(r.Observe(Observation{Server: k, IsLimited: true, PerSecond: 4, At: at(1)}))
	is.True(!r.Observe(Observation{Server: k, IsLimited: true, PerSecond: 2, At: at(3)}))
	is.True(!r.Observe(Observation{Server: k, IsLimited: true, PerSecond: 9, At: at(2)}))
	o, isLimited := r.Limit(k, at(3))
	is.True(isLimited)
	is.Equal(o.PerSecond, 2.0)
	is.True(r.Observe(Observation{Server: k, At: at(5)}))
	is.True(!r.Observe(Observation{Server: k, IsLimited: true, PerSecond: 4, At: at(4)}))
	_, isLimited = r.Limit(k, at(5))
	is.True(!isLimited)
}

// TestLimitOfAFormerIncarnationDoesNotHold guards against a server that was started again
// and gets few requests because its former process wanted few.
func TestLimitOfAFormerIncarnationDoesNotHold(t *testing.T) {
	is := is.New(t)
	g := NewGate()
	g.Registry().Observe(Observation{Server: KeyOf("s", "1"), IsLimited: true, At: begin})
	is.True(!g.IsOpen(KeyOf("s", "1"), begin))
	is.True(g.IsOpen(KeyOf("s", "2"), begin))
}

// TestLimitOfAServerThatIsGoneIsForgotten guards against memory that is never given back.
func TestLimitOfAServerThatIsGoneIsForgotten(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Observe(Observation{Server: 1, IsLimited: true, PerSecond: 1, At: begin})
	_, isLimited := r.Limit(1, begin.Add(retention+time.Second))
	is.True(!isLimited)
	is.Equal(len(r.All(begin.Add(retention+time.Second))), 0)
	for i := range 2 * maxObservations {
		r.Observe(Observation{Server: Key(i + 1), IsLimited: true, PerSecond: 1, At: begin})
	}
	is.Equal(len(r.All(begin)), maxObservations)
}

// TestPermitsComeAtTheLimit checks the times of permits: the first after an interval, the
// others one interval apart, and sooner after a rise of the limit.
func TestPermitsComeAtTheLimit(t *testing.T) {
	is := is.New(t)
	g, v := NewGate(), Alone{}.QuotaView(begin)
	observe := func(perSecond float64, at time.Time) {
		g.Registry().Observe(Observation{Server: 1, IsLimited: true, PerSecond: perSecond, At: at})
	}
	observe(4, begin)
	is.Equal(g.Decide(1, 0, v, begin), Decision{Action: ActionDeny, At: begin.Add(250 * time.Millisecond)})
	is.Equal(g.Decide(1, 300*time.Millisecond, v, begin), Decision{At: begin.Add(250 * time.Millisecond)})
	is.Equal(g.Decide(1, 600*time.Millisecond, v, begin), Decision{At: begin.Add(500 * time.Millisecond)})
	is.Equal(g.Decide(1, 300*time.Millisecond, v, begin), Decision{Action: ActionDeny, At: begin.Add(450 * time.Millisecond)})
	observe(0, begin.Add(time.Millisecond)) // Permits go on at MinPerSecond.
	later := begin.Add(time.Second)
	is.Equal(g.Decide(1, 0, v, later).Action, ActionSend)
	is.Equal(g.Decide(1, time.Second, v, later).Action, ActionDeny)
	observe(10, later)
	is.Equal(g.Decide(1, 10*time.Second, v, later).At, later.Add(maxQueue+100*time.Millisecond).Add(-maxQueue))
}

// TestShareOfMembersOutOfTouch checks that parts of the members that are out of touch
// together give no more than a limit.
func TestShareOfMembersOutOfTouch(t *testing.T) {
	is := is.New(t)
	is.Equal(Share(6, 6), 1.0)
	is.Equal(Share(2, 6)+Share(4, 6), 1.0)
	is.Equal(Share(1, 0), 0.0) // A node that has not listed the members gives nothing.
	is.Equal(Share(7, 6), 1.0)
}
