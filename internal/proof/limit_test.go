package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/fake"
)

// maxRunning samples how many requests of a workspace run over all nodes.
func maxRunning(s *fake.System, w ring.Workspace, stop <-chan struct{}) <-chan int {
	out := make(chan int, 1)
	go func() {
		most := 0
		for {
			select {
			case <-stop:
				out <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
			running := 0
			for _, name := range s.NodeNames() {
				running += s.Node(name).Gateway.Scheduler().Demand()[w].Running
			}
			most = max(most, running)
		}
	}()
	return out
}

// sendFlood sends n requests of workspace a through the given nodes at one moment
// and returns the results with the most that ran at a time.
func sendFlood(s *fake.System, n int, nodes ...string) ([]fake.Result, int) {
	stop := make(chan struct{})
	most := maxRunning(s, "a", stop)
	done := make(chan fake.Result, n)
	for i := range n {
		go func() { done <- s.Do(fake.Chat(nodes[i%len(nodes)], keyA, fmt.Sprint("f", i), 20)) }()
	}
	var out []fake.Result
	for range n {
		out = append(out, <-done)
	}
	close(stop)
	return out, <-most
}

// The limit of a workspace is for all nodes; the stated error is one request
// a node.
func TestWorkspaceLimitHoldsAcrossNodes(t *testing.T) {
	tests := []struct {
		name  string
		nodes []string
		hurt  func(s *fake.System)
		// least is what must run at a time for the limit to be of use.
		least int
	}{
		{"traffic at all nodes", []string{"n1", "n2", "n3"}, func(*fake.System) {}, 8},
		{"traffic at one node gets nearly all of it", []string{"n1"}, func(*fake.System) {}, 8},
		{"a node loses its peers", []string{"n1", "n2", "n3"}, func(s *fake.System) {
			for _, other := range []string{"n1", "n2"} {
				s.Net.BlockLink("n3", other, true)
				s.Net.BlockLink(other, "n3", true)
			}
			time.Sleep(2 * time.Second)
		}, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := document(1, 2, 1, 3)
			d.Groups[0].Slots = 100
			for i := range d.Workspaces {
				d.Workspaces[i].Limit = 12
			}
			runSystem(t, options(d, 3), func(is *is.I, s *fake.System) {
				time.Sleep(6 * time.Second) // the group has its full slots
				test.hurt(s)
				results, most := sendFlood(s, 120, test.nodes...)
				t.Logf("at most %d ran at a time, limit 12", most)
				is.True(most <= 12+3)
				is.True(most >= test.least)
				for _, r := range results {
					_, whole := r.Text()
					_, failed := r.Failure()
					is.True(whole || failed)
				}
			})
		})
	}
}

// While one workspace floods, a request of the other starts at once.
func TestFloodDoesNotDelayAnotherWorkspace(t *testing.T) {
	d := document(1, 2, 1, 3)
	d.Groups[0].Slots = 100
	for i := range d.Workspaces {
		d.Workspaces[i].Limit = 12
	}
	runSystem(t, options(d, 3), func(is *is.I, s *fake.System) {
		time.Sleep(6 * time.Second)
		go sendFlood(s, 200, "n1", "n2", "n3")
		time.Sleep(100 * time.Millisecond)
		r := s.Do(fake.Chat("n1", keyB, "quick", 5))
		assertResponse(is, r, "quick", 5)
		is.True(r.Took < 200*time.Millisecond)
	})
}
