package echo_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/echo"
)

func Example() {
	own := echo.NewClock(1000)
	stamp := own.Stamp(2 * time.Second) // sent to the peer, which handles it at its moment 70 s
	lag := echo.Lag(69*time.Second, 70*time.Second)
	// However late the answer is, the fact was true at 1 s or later.
	moment, ok := own.Moment(stamp, lag, 9*time.Second)
	fmt.Println(moment, ok)
	// Output: 1s true
}

func TestStampsOfAnotherStartAreRejected(t *testing.T) {
	is := is.New(t)
	before, now := echo.NewClock(rand.Uint64()), echo.NewClock(rand.Uint64())
	_, ok := now.Moment(before.Stamp(time.Second), 0, time.Hour)
	is.True(!ok)
	_, ok = now.Moment(0, 0, time.Hour)
	is.True(!ok)
	_, ok = now.Moment(now.Stamp(2*time.Second), 0, time.Second) // a stamp that was not made yet
	is.True(!ok)
	_, ok = now.Moment(now.Stamp(time.Second), -time.Minute, 2*time.Second) // a fact in the future
	is.True(!ok)
}

func TestClockWrapsAround(t *testing.T) {
	is := is.New(t)
	c := echo.NewClock(1<<64 - 500)
	moment, ok := c.Moment(c.Stamp(2*time.Second), 100*time.Millisecond, 3*time.Second)
	is.True(ok)
	is.Equal(moment, 1900*time.Millisecond)
}

func TestLagIsRoundedUp(t *testing.T) {
	is := is.New(t)
	is.Equal(echo.Lag(0, 1500*time.Microsecond), 2*time.Millisecond)
	is.Equal(echo.Lag(1500*time.Microsecond, 0), -time.Millisecond)
	is.Equal(echo.Lag(0, 3*time.Millisecond), 3*time.Millisecond)
}

func TestShortestArrivalIsKept(t *testing.T) {
	is := is.New(t)
	var peers echo.Peers
	clock := echo.NewClock(1 << 40)
	record := func(sentAt, at time.Duration) {
		peers.Record("p", echo.Arrival{Stamp: clock.Stamp(sentAt), At: at})
	}
	lastAt := func(now time.Duration) time.Duration {
		a, _ := peers.Last("p", now)
		return a.At
	}
	record(0, 100*time.Second)
	record(time.Second, 105*time.Second) // took 4 s longer
	is.Equal(lastAt(105*time.Second), 100*time.Second)
	record(2*time.Second, 102*time.Second) // as fast as the first
	is.Equal(lastAt(105*time.Second), 102*time.Second)
	_, ok := peers.Last("other", 105*time.Second)
	is.True(!ok)
	for at := 106 * time.Second; at < 130*time.Second; at += time.Second { // each a bit slower
		record(at-100*time.Second-(at-100*time.Second)/100, at)
		_, ok := peers.Last("p", at+3*time.Second)
		is.True(ok) // there is one at all times while stamps arrive
	}
	_, ok = peers.Last("p", 150*time.Second)
	is.True(!ok)
	clock = echo.NewClock(9) // the peer has started again
	record(time.Second, 130*time.Second)
	is.Equal(lastAt(130*time.Second), 130*time.Second)
}

func TestStampIsDueOnceASecond(t *testing.T) {
	is := is.New(t)
	var peers echo.Peers
	due := map[string]int{}
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		for _, address := range []string{"p", "q"} {
			if peers.IsStampDue(address, now) {
				due[address]++
			}
		}
	}
	is.Equal(due, map[string]int{"p": 10, "q": 10})
}

// TestFactIsNeverDatedLater checks the invariant of the package: chains of up to five nodes
// pass on when a fact was true, over messages that are lost, take up to 6 s, overtake each
// other, and wait in processes that stand still. No node may date the fact later than it was.
func TestFactIsNeverDatedLater(t *testing.T) {
	for seed := range uint64(300) {
		playChain(t, rand.New(rand.NewPCG(seed, 11)), seed)
	}
}

// chainNode is a node of playChain. Its clock has started at startedAt. fact is when the fact
// was last known to be true, by its clock.
type chainNode struct {
	startedAt time.Duration
	clock     echo.Clock
	peers     echo.Peers
	fact      time.Duration
	known     bool
	// standsUntil is when the process runs again.
	standsUntil time.Duration
}

// message is on its way to a node and arrives at a time.
type message struct {
	from, to  int
	arrivesAt time.Duration
	stamp     echo.Stamp
	returned  echo.Stamp
	lag       time.Duration
	hasLag    bool
}

// playChain plays 60 s. The fact is true at each read of node 0, which ends at 30 s.
func playChain(t *testing.T, random *rand.Rand, seed uint64) {
	nodes := make([]*chainNode, 2+random.IntN(4))
	for i := range nodes {
		nodes[i] = &chainNode{startedAt: -time.Duration(random.IntN(1e6)) * time.Millisecond, clock: echo.NewClock(random.Uint64())}
	}
	var inFlight []message
	lastRead := time.Duration(0)
	dated := 0
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		if now < 30*time.Second && nodes[0].standsUntil <= now {
			lastRead = now
			nodes[0].fact, nodes[0].known = now-nodes[0].startedAt, true
		}
		for i, n := range nodes {
			if random.IntN(200) == 0 {
				n.standsUntil = now + time.Duration(random.IntN(6000))*time.Millisecond
			}
			if n.standsUntil > now || random.IntN(4) > 0 {
				continue
			}
			for _, to := range []int{i - 1, i + 1} {
				if to < 0 || to >= len(nodes) || random.IntN(5) == 0 {
					continue
				}
				m := message{from: i, to: to, arrivesAt: now + time.Millisecond, stamp: n.clock.Stamp(now - n.startedAt)}
				if random.IntN(10) == 0 {
					m.arrivesAt = now + time.Duration(random.IntN(6000))*time.Millisecond
				}
				if a, ok := n.peers.Last(fmt.Sprint(to), now-n.startedAt); ok {
					m.returned, m.hasLag, m.lag = a.Stamp, n.known, echo.Lag(n.fact, a.At)
				}
				inFlight = append(inFlight, m)
			}
		}
		var later []message
		for _, m := range inFlight {
			n := nodes[m.to]
			if m.arrivesAt > now || n.standsUntil > now {
				later = append(later, m)
				continue
			}
			own := now - n.startedAt
			n.peers.Record(fmt.Sprint(m.from), echo.Arrival{Stamp: m.stamp, At: own})
			moment, ok := n.clock.Moment(m.returned, m.lag, own)
			if !m.hasLag || !ok || (n.known && moment <= n.fact) {
				continue
			}
			n.fact, n.known = moment, true
			dated++
			if at := moment + n.startedAt; at > lastRead {
				t.Fatalf("seed %d: node %d dates the fact at %s; it was last true at %s", seed, m.to, at, lastRead)
			}
		}
		inFlight = later
	}
	if dated == 0 {
		t.Errorf("seed %d: no node learned of the fact", seed)
	}
}
