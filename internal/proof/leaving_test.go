package proof

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/standin/platform"
)

// leavingBound is the target: a group gets no new requests 3 s after the VM of a
// member began to leave.
const leavingBound = 3 * time.Second

// itoa formats a result code for an assertion.
func itoa(n int) string { return strconv.Itoa(n) }

// Nodes must learn from the VM list or from the server's own status that a VM
// leaves, send no new requests to its group and finish the running ones.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	tests := []struct {
		name string
		// byList and byReport say whether the VM is marked as leaving in the
		// platform's list of VMs and in its server's own status.
		byList, byReport bool
		injectFault      func(s *fake.System)
	}{
		{"by the VM list", true, false, func(*fake.System) {}},
		{"by its own report", false, true, func(*fake.System) {}},
		{"while the store is down", false, true, func(s *fake.System) {
			for _, name := range s.NodeNames() {
				s.Node(name).Store.SetFault(platform.FaultDown)
			}
		}},
		{"while one node is disconnected from the store", true, false, func(s *fake.System) { s.Node("n2").Store.SetFault(platform.FaultSilent) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runSystem(t, newOptions(newDocument(2, 3, 1, 8), 3), func(is *is.I, s *fake.System) {
				longStreams := make(chan fake.Result, 6)
				for i := range 6 {
					go func() { longStreams <- s.Do(fake.Chat(fmt.Sprintf("n%d", i%3+1), keyA, fmt.Sprint("long", i), 800)) }()
				}
				time.Sleep(500 * time.Millisecond)
				test.injectFault(s)
				s.StartLeaving(members(s, "g1")[1].VM, test.byList, test.byReport)
				results := sendTraffic(s, 6*time.Second)
				is.Equal(fake.CheckLeaving(s.History, s.Keyspace, leavingBound), nil)
				is.Equal(checkResponses(results), nil)
				for range 6 {
					r := <-longStreams
					_, complete := r.Text()
					is.True(complete) // running streams are not broken
				}
			})
		})
	}
}

// When neither the VM list nor the server reports that the VM leaves, the
// checker must find new requests at it.
func TestCheckerDetectsRequestsAtLeavingServer(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 3, 1, 8), 3), func(is *is.I, s *fake.System) {
		s.StartLeaving(members(s, "g1")[1].VM, false, false)
		s.StartLeaving(members(s, "g2")[1].VM, false, false)
		sendTraffic(s, 6*time.Second)
		is.True(len(fake.CheckLeaving(s.History, s.Keyspace, leavingBound)) > 0)
	})
}

// A group with a leaving VM must stop serving, and serve again with a spare in
// place of that VM.
func TestLeavingVMIsReplacedBySpareAfterItsStreams(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 3, 1, 5), 2), func(is *is.I, s *fake.System) {
		leaving := members(s, "g1")[1].VM
		s.StartLeaving(leaving, true, false)
		is.NoErr(s.AwaitServingGroups(0, 3*time.Second))
		is.NoErr(s.AwaitServingGroups(1, 20*time.Second))
		for _, m := range members(s, "g1") {
			is.True(m.VM != leaving)
		}
	})
}

// replaceNodes replaces n1, n2 and n3 one after the other while they have
// streams: it starts a new node and stops the old one with stop. It returns the
// number of broken streams and all results.
func replaceNodes(s *fake.System, stop func(name string)) (broken int, results []fake.Result) {
	done := make(chan fake.Result, 1000)
	sent := 0
	for i, name := range []string{"n1", "n2", "n3"} {
		for j := range 6 {
			sent++
			go func() { done <- s.Do(fake.Chat(name, keyA, fmt.Sprint(i, j), 400)) }()
		}
		time.Sleep(300 * time.Millisecond)
		s.StartNode(fmt.Sprintf("n%d", i+4))
		time.Sleep(2 * time.Second)
		stop(name)
	}
	for range sent {
		r := <-done
		results = append(results, r)
		if _, complete := r.Text(); !complete {
			broken++
		}
	}
	return broken, results
}

// A node that is drained must finish its streams before it stops.
func TestGracefulShutdownBreaksNoStream(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 3, 1, 8), 3), func(is *is.I, s *fake.System) {
		broken, _ := replaceNodes(s, func(name string) { s.DrainNode(name, time.Second) })
		is.Equal(broken, 0)
		is.NoErr(s.AwaitServingGroups(2, 20*time.Second)) // the new nodes serve all groups
		assertResponse(is, s.Do(fake.Chat("n6", keyA, "after", 5)), "after", 5)
	})
}

// A draining node must record the response of a non-idempotent request before
// it stops, so that another node can replay the response.
func TestDrainingNodeRecordsItsOutcomes(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 2, 1, 3), 2), func(is *is.I, s *fake.System) {
		c := fake.SignOff("n1", keyA, "S")
		c.Body = `{"sample":"S","hold":2000}`
		first := make(chan fake.Result, 1)
		go func() { first <- s.Do(c) }()
		time.Sleep(500 * time.Millisecond)
		s.DrainNode("n1", time.Second)
		is.Equal((<-first).Status, 201)
		c.Node = "n2"
		r := s.Do(c)
		is.Equal(r.Header.Get("Eelgrass-Replayed"), "true")
		is.Equal(runCount(s, "S"), 1)
	})
}

// When the nodes are killed instead, the checker must find broken streams.
func TestCheckerDetectsBrokenStreams(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 3, 1, 8), 3), func(is *is.I, s *fake.System) {
		broken, _ := replaceNodes(s, s.KillNode)
		is.True(broken > 0)
	})
}

// A group that the configuration no longer declares must be removed, and its
// VMs must become members of other groups.
func TestUndeclaredGroupIsRemoved(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 3, 1, 8), 2), func(is *is.I, s *fake.System) {
		d := newDocument(2, 3, 1, 8)
		d.Groups = d.Groups[:1]
		s.Apply(1, d)
		time.Sleep(10 * time.Second)
		is.Equal(s.ServingGroups("n1"), 1)
		is.Equal(len(s.Node("n1").Node.Table().Records()), 1)
		d.Groups = []deployment.Group{d.Groups[0], {Name: "g9", Model: "m", Version: "2", Size: 4, Slots: 8}}
		s.Apply(2, d)
		time.Sleep(10 * time.Second)
		is.Equal(len(members(s, "g9")), 4) // the released VMs serve again
	})
}
