package proof

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/standin/platform"
)

// maxReportDelay bounds the age of the state that a dispatch is based on: the
// maximum age of a report plus the travel time of a message.
const maxReportDelay = node.MaxReportAge + 50*time.Millisecond

// sendTraffic sends short streams through all nodes for the given duration and
// returns their results.
func sendTraffic(s *fake.System, duration time.Duration) []fake.Result {
	var out []fake.Result
	end := time.Now().Add(duration)
	done := make(chan fake.Result, 10_000)
	sent := 0
	for time.Now().Before(end) {
		for _, name := range s.NodeNames() {
			sent++
			go func() { done <- s.Do(fake.Chat(name, keyA, "traffic", 5)) }()
		}
		time.Sleep(50 * time.Millisecond)
	}
	for range sent {
		out = append(out, <-done)
	}
	return out
}

// checkResponses describes each response to sendTraffic that is neither the
// complete expected text nor an error with a result code.
func checkResponses(results []fake.Result) []string {
	var out []string
	for _, r := range results {
		text, complete := r.Text()
		_, failed := r.Failure()
		switch {
		case complete && text != fake.ExpectedText("traffic", 5):
			out = append(out, "wrong response: "+r.Body)
		case !complete && !failed:
			out = append(out, "neither complete nor an error: "+r.Body)
		}
	}
	return out
}

// countComplete returns how many results are complete streams.
func countComplete(results []fake.Result) int {
	n := 0
	for _, r := range results {
		if _, complete := r.Text(); complete {
			n++
		}
	}
	return n
}

// Nodes must stop dispatching to a group within maxReportDelay after one of its
// members fails, while the other groups serve on.
func TestNoIncompleteGroupServes(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(s *fake.System)
	}{
		{"member crashes", func(s *fake.System) { s.CrashEngine(members(s, "g1")[1].VM) }},
		{"head crashes", func(s *fake.System) { s.CrashEngine(members(s, "g1")[0].VM) }},
		{"member pauses and resumes with its old state", func(s *fake.System) {
			vm := members(s, "g1")[1].VM
			s.PauseEngine(vm)
			time.Sleep(4 * time.Second)
			s.ResumeEngine(vm)
		}},
		{"member restarts at once at the same address", func(s *fake.System) {
			vm := members(s, "g1")[1].VM
			s.CrashEngine(vm)
			s.StartEngine(vm)
		}},
		{"member crashes while the store is down", func(s *fake.System) {
			for _, name := range s.NodeNames() {
				s.Node(name).Store.SetFault(platform.FaultDown)
			}
			s.CrashEngine(members(s, "g1")[1].VM)
		}},
		{"member crashes while one node is disconnected from the store and its peers", func(s *fake.System) {
			s.Node("n2").Store.SetFault(platform.FaultSilent)
			s.Net.BlockLink("n2", "n1", true)
			s.Net.BlockLink("n1", "n2", true)
			s.CrashEngine(members(s, "g1")[1].VM)
		}},
		{"all VMs of a fabric domain crash", func(s *fake.System) {
			for _, vm := range newDocument(2, 3, 2, 5).VMs[:5] {
				s.CrashEngine(vm.Name)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runSystem(t, newOptions(newDocument(2, 3, 2, 5), 3), func(is *is.I, s *fake.System) {
				go test.injectFault(s)
				results := sendTraffic(s, 8*time.Second)
				is.Equal(fake.CheckComplete(s.History, s.Keyspace, maxReportDelay), nil)
				is.Equal(fake.CheckExclusive(s.Keyspace), nil)
				is.Equal(fake.CheckEpochs(s.Keyspace), nil)
				is.Equal(checkResponses(results), nil)
				is.True(countComplete(results) > len(results)/2) // the other group still serves
			})
		})
	}
}

// When reports of any age are accepted, nodes still dispatch to the incomplete
// group; the checker must find it.
func TestCheckerDetectsIncompleteGroup(t *testing.T) {
	o := newOptions(newDocument(2, 3, 2, 5), 3)
	o.MaxReportAge = time.Hour
	runSystem(t, o, func(is *is.I, s *fake.System) {
		for _, name := range s.NodeNames() {
			s.Node(name).Store.SetFault(platform.FaultDown)
		}
		s.CrashEngine(members(s, "g1")[1].VM)
		sendTraffic(s, 8*time.Second)
		is.True(len(fake.CheckComplete(s.History, s.Keyspace, maxReportDelay)) > 0)
	})
}

// A spare (a server without a group) must get the order to replace a crashed
// member within 3 s.
func TestIncompleteGroupIsRepairedFromSpare(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 3, 1, 8), 3), func(is *is.I, s *fake.System) {
		old := members(s, "g1")
		s.CrashEngine(old[1].VM)
		start := time.Now()
		var spareOrdered, serving time.Duration
		for serving == 0 && time.Since(start) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
			now := members(s, "g1")
			if spareOrdered == 0 && now[1].VM != old[1].VM {
				if e, _ := s.Node("n1").Node.Table().VMReport(now[1].VM, time.Now()); e.Status.Group == "g1" {
					spareOrdered = time.Since(start)
				}
			}
			if spareOrdered > 0 && s.ServingGroups("n1") == 2 {
				serving = time.Since(start)
			}
		}
		t.Logf("spare received its order after %s, group served after %s", spareOrdered, serving)
		is.True(spareOrdered > 0)
		is.True(spareOrdered <= 3*time.Second)
		now := members(s, "g1")
		is.Equal(now[0], old[0]) // the other members keep their ranks
		is.Equal(now[2], old[2])
	})
}

// A request that was dispatched to a complete group can reach a paused head
// after another member has crashed. The caller must still get its own response,
// and the dispatch must not count as one to an incomplete group.
func TestRequestThatArrivesLateAtAnIncompleteGroup(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 3, 1, 8), 2), func(is *is.I, s *fake.System) {
		head, other := members(s, "g1")[0].VM, members(s, "g1")[1].VM
		for _, name := range s.NodeNames() {
			s.Node(name).Store.SetFault(platform.FaultDown)
		}
		s.PauseEngine(head)
		results := make(chan []fake.Result, 1)
		go func() { results <- sendTraffic(s, 500*time.Millisecond) }()
		time.Sleep(700 * time.Millisecond)
		s.CrashEngine(other)
		time.Sleep(3 * time.Second)
		s.ResumeEngine(head)
		is.Equal(checkResponses(<-results), nil)
		is.True(s.History.MaxDeliveryTime() > 3*time.Second) // a request did arrive late
		is.Equal(fake.CheckComplete(s.History, s.Keyspace, maxReportDelay), nil)
	})
}
