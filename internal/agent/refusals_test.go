package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/suspect"
)

// refusedPart is a part that the node of refusePart refuses.
var refusedPart = suspect.NewPartDigest("service", "part")

// refusePart makes a node decide that it refuses requests with refusedPart, and tell the
// others.
func refusePart(is *is.I, a *Agent) {
	known := a.config.Suspects
	for i := range 3 {
		known.Add(suspect.Strike{Subject: refusedPart, Server: ring.VM(fmt.Sprint("s", i)), Incarnation: "1", IsStrong: true}, time.Now())
		time.Sleep(100 * time.Millisecond)
	}
	known.Decide(time.Now())
	time.Sleep(time.Millisecond)
	known.Acquit([]suspect.Digest{1}, true, time.Now()) // Other requests are served.
	time.Sleep(suspect.SettleTime)
	refusals, _ := known.Decide(time.Now())
	is.Equal(len(refusals), 1)
	a.AnnounceRefusals()
}

// nodesThatSend counts the nodes that do not refuse a request with refusedPart.
func (tc *testCluster) nodesThatSend() int {
	count := 0
	for _, a := range tc.agents {
		if a.config.Suspects.Judge([]suspect.Digest{9, refusedPart}, time.Now()).Refusal == nil {
			count++
		}
	}
	return count
}

// TestRefusalsReachAllNodes guards against nodes that send requests on which another node
// refuses: a part of their prompts ends servers, and they come at any node.
func TestRefusalsReachAllNodes(t *testing.T) {
	for _, nodes := range []int{3, 30, 90} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			refusePart(is, tc.agents[nodes-1])
			time.Sleep(100 * time.Millisecond)
			is.Equal(tc.nodesThatSend(), 0)
		})
	}
}

// TestRefusalsAreRepeated guards against nodes that miss a refusal because its datagram is lost,
// and do not hear of it again.
func TestRefusalsAreRepeated(t *testing.T) {
	for _, nodes := range []int{3, 90} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			tc.network.setDrops(func(_ string, m digest.Message) bool { return len(m.Refusals) > 0 })
			refusePart(is, tc.agents[nodes-1])
			time.Sleep(300 * time.Millisecond)
			is.Equal(tc.nodesThatSend(), nodes-1)
			tc.network.setDrops(nil)
			time.Sleep(3 * time.Second)
			is.Equal(tc.nodesThatSend(), 0)
		})
	}
}

// TestNodeThatStartsLearnsRefusals guards against a node that has just started and sends, once it
// is in touch, what all others refuse.
func TestNodeThatStartsLearnsRefusals(t *testing.T) {
	for _, nodes := range []int{3, 30} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			refusePart(is, tc.agents[0])
			time.Sleep(time.Second)
			tc.startNode("late")
			time.Sleep(3 * time.Second)
			is.Equal(tc.nodesThatSend(), 0)
		})
	}
}

// TestSoundPartIsAcquittedEverywhere guards against a refusal that stands, or comes back from other
// nodes, although a response with the part was complete.
func TestSoundPartIsAcquittedEverywhere(t *testing.T) {
	for _, isLossy := range []bool{false, true} {
		for _, nodes := range []int{3, 90} {
			runCluster(t, nodes, func(is *is.I, tc *testCluster) {
				tc.writeConfig(1)
				time.Sleep(10 * time.Second)
				refusePart(is, tc.agents[nodes-1])
				time.Sleep(time.Second)
				is.Equal(tc.nodesThatSend(), 0)
				lossyUntil := time.Now().Add(100 * time.Millisecond)
				tc.network.setDrops(func(_ string, m digest.Message) bool {
					return isLossy && m.Sound != nil && time.Now().Before(lossyUntil)
				})
				sound := tc.agents[1].config.Suspects.Acquit([]suspect.Digest{refusedPart}, true, time.Now())
				is.Equal(len(sound), 1)
				tc.agents[1].AnnounceSound(sound, true)
				time.Sleep(6 * time.Second)
				is.Equal(tc.nodesThatSend(), nodes)
			})
		}
	}
}

// TestNoRefusalCostsNothing guards against messages about suspects on a quiet day.
func TestNoRefusalCostsNothing(t *testing.T) {
	runCluster(t, 3, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		time.Sleep(5 * time.Second)
		messages := 0
		tc.network.setDrops(func(_ string, m digest.Message) bool {
			if m.Sound != nil || m.Strikes != nil || len(m.Refusals) > 0 {
				messages++
			}
			return false
		})
		for _, a := range tc.agents {
			a.config.Suspects.Acquit([]suspect.Digest{1, refusedPart}, true, time.Now())
		}
		time.Sleep(10 * time.Second)
		is.Equal(messages, 0)
	})
}

// TestRepeatedRefusalsDoNotRotateChildren guards against leaving out the same extra child of two at
// each summary: the rotation must move on by one each time.
func TestRepeatedRefusalsDoNotRotateChildren(t *testing.T) {
	for _, isRefusing := range []bool{false, true} {
		runCluster(t, 30, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			root := tc.agents[tc.controllerIndex()]
			if isRefusing {
				refusePart(is, root)
			}
			time.Sleep(time.Second)
			root.mu.Lock()
			before := root.tree.rotation
			root.mu.Unlock()
			root.sendTreeUpdate(time.Now(), false)
			root.mu.Lock()
			defer root.mu.Unlock()
			is.Equal(root.tree.rotation, before+1)
		})
	}
}
