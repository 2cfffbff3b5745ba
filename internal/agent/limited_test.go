package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/quota"
)

// TestOnlyLimitsThatHoldBackRequestsCount guards against replicas that are formed again
// because their heads name a limit that is above what they get.
func TestOnlyLimitsThatHoldBackRequestsCount(t *testing.T) {
	runCluster(t, 1, func(is *is.I, tc *testCluster) {
		a, now := tc.agents[0], time.Now()
		for i, id := range []ring.VM{"h1", "h2", "h3", "h4"} {
			model := ring.Model("m")
			if id == "h4" {
				model = "other"
			}
			a.fleet.Put(ring.Server{ID: id, Incarnation: "1", Service: "engine", Model: model, Membership: ring.Membership{Group: ring.Group(id), Epoch: ring.Epoch(i + 1), State: ring.MemberOpen}}, ring.Revision(i+1))
		}
		limit := func(id ring.VM) {
			a.Quota().Observe(quota.Observation{Server: quota.KeyOf(id, "1"), IsLimited: true, PerSecond: 1, At: time.Now()})
		}
		begin := func(epoch ring.Epoch, requests int) {
			for _, r := range a.fleet.Replicas() {
				for range requests {
					if r.Epoch == epoch {
						a.fleet.BeginRequest(r, 0, now)
					}
				}
			}
		}
		replicas, servers := a.limitedReplicas(now)
		is.Equal(len(replicas)+len(servers), 0)
		limit("h1")
		limit("h2")
		limit("h4")
		begin(1, 9)
		begin(2, 4)
		begin(3, 10)
		replicas, servers = a.limitedReplicas(now)
		is.Equal(servers, map[ring.VM]bool{"h1": true, "h2": true, "h4": true})
		is.Equal(replicas, map[ring.Epoch]bool{2: true, 4: true}) // the only replica of its model has no other to compare with
	})
}
