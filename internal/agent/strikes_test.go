package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/suspect"
)

// TestStrikesReachAllNodes guards against nodes that send a request on which servers have
// ended at another node: its caller repeats it at once, at any node.
func TestStrikesReachAllNodes(t *testing.T) {
	for _, nodes := range []int{3, 30, 90} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			sender := tc.agents[nodes-1]
			sender.AnnounceStrike(suspect.Strike{Subject: 7, Server: "s1", Incarnation: "1", IsStrong: true})
			sender.AnnounceStrike(suspect.Strike{Subject: 7, Server: "s2", Incarnation: "1", IsStrong: true})
			time.Sleep(100 * time.Millisecond)
			missing := 0
			for _, a := range tc.agents {
				if a != sender && !a.config.Suspects.Find(7, time.Now()).IsRefused() {
					missing++
				}
			}
			is.Equal(missing, 0)
		})
	}
}

// TestStrikesOfManyRequestsReachAllNodes guards against a rate limit that drops strikes
// when servers end with many requests at once, from which on nodes send requests on that
// the others refuse.
func TestStrikesOfManyRequestsReachAllNodes(t *testing.T) {
	const requests = 48 // as many as a replica runs at a time
	runCluster(t, 90, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		time.Sleep(10 * time.Second)
		for server := range 6 {
			for request := range requests {
				tc.agents[(7*request)%len(tc.agents)].AnnounceStrike(suspect.Strike{
					Subject: suspect.Digest(request), Server: ring.VM(fmt.Sprint("s", server)), Incarnation: "1", IsStrong: true,
				})
			}
			time.Sleep(200 * time.Millisecond)
		}
		missing := 0
		for i, a := range tc.agents {
			for request := range requests {
				// A node records its own strikes where it finds them, not here.
				if known := len(a.config.Suspects.Find(suspect.Digest(request), time.Now()).Servers); known < 6 && (7*request)%len(tc.agents) != i {
					missing++
				}
			}
		}
		is.Equal(missing, 0)
	})
}
