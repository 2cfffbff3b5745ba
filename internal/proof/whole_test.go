package proof

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/standin/platform"
)

// maxReportDelay is how old the knowledge of a dispatch may be: the allowed age
// of evidence, and the way of the message.
const maxReportDelay = node.MaxReportAge + 50*time.Millisecond

// sendTraffic sends short streams through all nodes for a while.
func sendTraffic(s *fake.System, span time.Duration) []fake.Result {
	var out []fake.Result
	end := time.Now().Add(span)
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

// checkResponses finds answers that are neither whole and right nor one
// numbered failure.
func checkResponses(results []fake.Result) []string {
	var out []string
	for _, r := range results {
		text, whole := r.Text()
		_, failed := r.Failure()
		switch {
		case whole && text != fake.Expected("traffic", 5):
			out = append(out, "wrong answer: "+r.Body)
		case !whole && !failed:
			out = append(out, "neither whole nor a failure: "+r.Body)
		}
	}
	return out
}

func countComplete(results []fake.Result) int {
	n := 0
	for _, r := range results {
		if _, whole := r.Text(); whole {
			n++
		}
	}
	return n
}

func TestNoIncompleteGroupServes(t *testing.T) {
	tests := []struct {
		name string
		hurt func(s *fake.System)
	}{
		{"member crashes", func(s *fake.System) { s.CrashEngine(members(s, "g1")[1].VM) }},
		{"head crashes", func(s *fake.System) { s.CrashEngine(members(s, "g1")[0].VM) }},
		{"member pauses and wakes with its old belief", func(s *fake.System) {
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
		{"member crashes while one node is cut from the store and its peers", func(s *fake.System) {
			s.Node("n2").Store.SetFault(platform.FaultSilent)
			s.Net.BlockLink("n2", "n1", true)
			s.Net.BlockLink("n1", "n2", true)
			s.CrashEngine(members(s, "g1")[1].VM)
		}},
		{"a whole fabric domain goes dark", func(s *fake.System) {
			for _, vm := range document(2, 3, 2, 5).VMs[:5] {
				s.CrashEngine(vm.Name)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runSystem(t, options(document(2, 3, 2, 5), 3), func(is *is.I, s *fake.System) {
				go test.hurt(s)
				results := sendTraffic(s, 8*time.Second)
				is.Equal(fake.CheckComplete(s.History, s.Keyspace, maxReportDelay), nil)
				is.Equal(fake.CheckExclusive(s.Keyspace), nil)
				is.Equal(fake.CheckEpochs(s.Keyspace), nil)
				is.Equal(checkResponses(results), nil)
				is.True(countComplete(results) > len(results)/2) // the other group goes on
			})
		})
	}
}

// With evidence of any age allowed, the same failure must be caught.
func TestCheckerDetectsIncompleteGroup(t *testing.T) {
	o := options(document(2, 3, 2, 5), 3)
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

func TestIncompleteGroupIsRepairedFromSpare(t *testing.T) {
	runSystem(t, options(document(2, 3, 1, 8), 3), func(is *is.I, s *fake.System) {
		old := members(s, "g1")
		s.CrashEngine(old[1].VM)
		begin := time.Now()
		var spareOrdered, serving time.Duration
		for serving == 0 && time.Since(begin) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
			now := members(s, "g1")
			if spareOrdered == 0 && now[1].VM != old[1].VM {
				if e, _ := s.Node("n1").Node.Table().VM(now[1].VM, time.Now()); e.Status.Group == "g1" {
					spareOrdered = time.Since(begin)
				}
			}
			if spareOrdered > 0 && s.ServingGroups("n1") == 2 {
				serving = time.Since(begin)
			}
		}
		t.Logf("loading order seen after %s, serving after %s", spareOrdered, serving)
		is.True(spareOrdered > 0)
		is.True(spareOrdered <= 3*time.Second) // the stated target
		now := members(s, "g1")
		is.Equal(now[0], old[0]) // survivors keep their places
		is.Equal(now[2], old[2])
	})
}

// A request that was dispatched to a whole group may reach its head late: the
// head was paused, and another member died meanwhile. The caller must still
// get exactly its own answer, and the dispatch was in time.
func TestRequestThatArrivesLateAtAnIncompleteGroup(t *testing.T) {
	runSystem(t, options(document(2, 3, 1, 8), 2), func(is *is.I, s *fake.System) {
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
		is.True(s.History.MaxDeliveryTime() > 3*time.Second) // the case was met
		is.Equal(fake.CheckComplete(s.History, s.Keyspace, maxReportDelay), nil)
	})
}
