package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/fake"
)

// maxRunning samples how many requests of a workspace run on all nodes together
// until stop closes, and then sends the highest sample on the returned channel.
func maxRunning(s *fake.System, w ring.Workspace, stop <-chan struct{}) <-chan int {
	out := make(chan int, 1)
	go func() {
		highest := 0
		for {
			select {
			case <-stop:
				out <- highest
				return
			case <-time.After(5 * time.Millisecond):
			}
			running := 0
			for _, name := range s.NodeNames() {
				running += s.Node(name).Gateway.Scheduler().Demand()[w].Running
			}
			highest = max(highest, running)
		}
	}()
	return out
}

// sendFlood sends n requests of workspace a through the given nodes at the same
// time, and returns the results and how many ran at a time at most.
func sendFlood(s *fake.System, n int, nodes ...string) ([]fake.Result, int) {
	stop := make(chan struct{})
	highest := maxRunning(s, "a", stop)
	done := make(chan fake.Result, n)
	for i := range n {
		go func() { done <- s.Do(fake.Chat(nodes[i%len(nodes)], keyA, fmt.Sprint("f", i), 20)) }()
	}
	var out []fake.Result
	for range n {
		out = append(out, <-done)
	}
	close(stop)
	return out, <-highest
}

// The limit of a workspace applies to all nodes together; it may be exceeded by
// one request per node.
func TestWorkspaceLimitHoldsAcrossNodes(t *testing.T) {
	tests := []struct {
		name        string
		nodes       []string
		injectFault func(s *fake.System)
		// minRunning is how many requests must run at a time, so that the limit
		// can be used.
		minRunning int
	}{
		{"traffic at all nodes", []string{"n1", "n2", "n3"}, func(*fake.System) {}, 8},
		{"traffic at one node gets most of the limit", []string{"n1"}, func(*fake.System) {}, 8},
		{"one node disconnected from its peers", []string{"n1", "n2", "n3"}, func(s *fake.System) {
			for _, other := range []string{"n1", "n2"} {
				s.Net.BlockLink("n3", other, true)
				s.Net.BlockLink(other, "n3", true)
			}
			time.Sleep(2 * time.Second)
		}, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDocument(1, 2, 1, 3)
			d.Groups[0].Slots = 100
			for i := range d.Workspaces {
				d.Workspaces[i].Limit = 12
			}
			runSystem(t, newOptions(d, 3), func(is *is.I, s *fake.System) {
				time.Sleep(6 * time.Second) // until the group may use all its slots
				test.injectFault(s)
				results, highest := sendFlood(s, 120, test.nodes...)
				t.Logf("at most %d requests ran at a time, limit 12", highest)
				is.True(highest <= 12+3)
				is.True(highest >= test.minRunning)
				for _, r := range results {
					_, complete := r.Text()
					_, failed := r.Failure()
					is.True(complete || failed)
				}
			})
		})
	}
}

// A flood of one workspace does not delay a request of another one.
func TestFloodDoesNotDelayAnotherWorkspace(t *testing.T) {
	d := newDocument(1, 2, 1, 3)
	d.Groups[0].Slots = 100
	for i := range d.Workspaces {
		d.Workspaces[i].Limit = 12
	}
	runSystem(t, newOptions(d, 3), func(is *is.I, s *fake.System) {
		time.Sleep(6 * time.Second)
		go sendFlood(s, 200, "n1", "n2", "n3")
		time.Sleep(100 * time.Millisecond)
		r := s.Do(fake.Chat("n1", keyB, "quick", 5))
		assertResponse(is, r, "quick", 5)
		is.True(r.Took < 200*time.Millisecond)
	})
}
