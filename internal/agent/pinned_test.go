package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPinnedRequestsReachTheController guards against LOST: the controller takes a replica apart
// whose head is silent for a moment, though a node has requests there that may not continue
// elsewhere, and against waiting for the head although no node has any. Above minTreeNodes the
// nodes report through others.
func TestPinnedRequestsReachTheController(t *testing.T) {
	for _, nodes := range []int{3, 30} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			tc.startRequests(2)
			time.Sleep(3 * time.Second) // No replica has any event.
			controller := tc.agents[tc.root()]
			is.Equal(len(controller.fleet.StalledReplicas(time.Now())), 2)
			is.Equal(len(controller.fleet.PinnedReplicas(time.Now())), 0)
			for i, a := range tc.agents {
				if a == controller {
					continue
				}
				r := a.fleet.Replicas()[0]
				a.fleet.Pin(r.Group)
				time.Sleep(2 * time.Second)
				if pinned := controller.fleet.PinnedReplicas(time.Now()); !pinned[r.Epoch] || len(pinned) != 1 {
					t.Errorf("%d nodes: node %d has a pinned request at replica %d, the controller knows %v", nodes, i, r.Epoch, pinned)
				}
				a.fleet.Unpin(r.Group)
				time.Sleep(2 * time.Second)
				is.Equal(len(controller.fleet.PinnedReplicas(time.Now())), 0)
				if i > 8 {
					break
				}
			}
		})
	}
}
