package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/route"
)

const (
	// limitWindow, limitExcess and limitSlack are those of the users' rule: a server gets in
	// any limitWindow at most limitExcess times what its limit allows, plus limitSlack requests,
	// from limitContact after it first named the limit.
	limitWindow  = 4 * time.Second
	limitExcess  = 1.5
	limitSlack   = 5
	limitContact = 3 * time.Second
)

// limitDay is a time in which some servers name a limit of requests a second.
type limitDay struct {
	seed   uint64
	target string
	// limited are the servers that name the limit perSecond from begin on, until they stop
	// doing so at end.
	limited    []string
	perSecond  float64
	begin, end time.Duration
	// demand is the number of requests a second at all nodes together.
	demand int
	lasts  time.Duration
}

// limitOutcome is what servers and callers saw of a limitDay.
type limitOutcome struct {
	mu sync.Mutex
	// arrivals are the times since the begin of the day at which each server got requests.
	arrivals       map[string][]time.Duration
	served, failed int
	// heldLongest is the longest time after which a request was refused.
	heldLongest time.Duration
}

// play plays the day with three nodes.
func (d limitDay) play(t *testing.T) *limitOutcome {
	out := &limitOutcome{arrivals: map[string][]time.Duration{}}
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		random := rand.New(rand.NewPCG(d.seed, 34))
		routes := testRoutes("k")
		routes.Services[1].Slots = 16
		h.node.set(route.NewTable(routes), true)
		for i := 3; i <= 4; i++ {
			h.putPartServer(fmt.Sprint("e", i), "1", i)
		}
		begin := time.Now()
		h.handle = func(server string, _ int, r receivedRequest, c net.Conn) {
			out.mu.Lock()
			out.arrivals[server] = append(out.arrivals[server], time.Since(begin))
			out.mu.Unlock()
			header := ""
			for _, limited := range d.limited {
				if limited == server && time.Since(begin) >= d.begin && time.Since(begin) < d.end {
					header = fmt.Sprintf("T-Limit: %g\r\n", d.perSecond)
				}
			}
			time.Sleep(60 * time.Millisecond)
			respond(c, 200, r.header.Get("T-Id"), "done", header)
		}
		nodes := h.addPartNodes(3)
		var calls sync.WaitGroup
		for i := range int(float64(d.demand) * d.lasts.Seconds()) {
			node, delay := nodes[random.IntN(len(nodes))], time.Duration(random.Int64N(int64(d.lasts)))
			calls.Go(func() {
				time.Sleep(delay)
				sent := time.Now()
				w, isBroken := h.callNodeAt(node, d.target, "x", "T-Id", fmt.Sprint("id", i))
				out.mu.Lock()
				defer out.mu.Unlock()
				if w.Code == 200 && !isBroken {
					out.served++
					return
				}
				out.failed++
				out.heldLongest = max(out.heldLongest, time.Since(sent))
			})
		}
		calls.Wait()
	})
	return out
}

// mostIn returns the largest number of requests that a server got in a window, of those
// between two times.
func (o *limitOutcome) mostIn(server string, from, to time.Duration) int {
	var counted []time.Duration
	most := 0
	for _, at := range o.arrivals[server] {
		if at < from || at >= to {
			continue
		}
		counted = append(counted, at)
		for at-counted[0] > limitWindow {
			counted = counted[1:]
		}
		most = max(most, len(counted))
	}
	return most
}

// TestServersWithALimitGetNoMoreFromAllNodes guards against servers that get many times the
// requests that their limit allows, because no node reads it or each obeys it alone.
func TestServersWithALimitGetNoMoreFromAllNodes(t *testing.T) {
	for seed, d := range []limitDay{
		{target: "/draft/x", limited: []string{"e1", "e3"}, perSecond: 4, demand: 80},
		{target: "/read/x", limited: []string{"a", "b"}, perSecond: 3, demand: 60},
		{target: "/write/x", limited: []string{"a"}, perSecond: 6, demand: 60},
		{target: "/write/x", limited: []string{"a", "b", "c"}, perSecond: 5, demand: 60},
	} {
		d.seed, d.begin, d.end, d.lasts = uint64(seed), 2*time.Second, time.Hour, 14*time.Second
		out := d.play(t)
		for _, server := range d.limited {
			most, allowed := out.mostIn(server, d.begin+limitContact, d.lasts), limitExcess*d.perSecond*limitWindow.Seconds()+limitSlack
			if float64(most) > allowed {
				t.Errorf("%s: server %s got %d requests in %s, allowed are %.0f", d.target, server, most, limitWindow, allowed)
			}
		}
	}
}
