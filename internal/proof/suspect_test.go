package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/fake"
)

const (
	deadlyText = "deadly"
	// maxDeadlyEnds is the number of servers that may end under one request.
	maxDeadlyEnds = 3
)

// TestRequestThatEndsItsGroupsIsContained guards against a request under which the heads of
// declared groups end, one after the other: its attempts go to all groups, and its caller
// repeats it at every node.
func TestRequestThatEndsItsGroupsIsContained(t *testing.T) {
	for _, hasKey := range []bool{false, true} {
		t.Run(fmt.Sprint("key ", hasKey), func(t *testing.T) {
			o := newOptions(newDocument(5, 2, 1, 12), 3)
			o.Deadly = deadlyText
			runSystem(t, o, func(is *is.I, s *fake.System) {
				time.Sleep(6 * time.Second)
				codes := map[int]int{}
				for i := range 12 {
					call := fake.Chat(fmt.Sprint("n", i%3+1), keyA, deadlyText, 5)
					if hasKey { // Each repeat has a key of its own, or it would get the first outcome.
						call = withKey(call, i)
					}
					r := s.Do(call)
					failure, _ := r.Failure()
					codes[failure.Number]++
					time.Sleep(200 * time.Millisecond)
				}
				if ends := s.DeadlyEnds(); ends > maxDeadlyEnds {
					t.Errorf("%d servers ended under one request, want at most %d; codes %v", ends, maxDeadlyEnds, codes)
				}
				is.True(codes[int(ring.CodeCrashesServers)] > 0)
				is.NoErr(s.AwaitServingGroups(5, 30*time.Second))
				for i := range 6 { // Other requests are served, of the same caller, too.
					assertResponse(is, s.Do(fake.Chat(fmt.Sprint("n", i%3+1), keyA, fmt.Sprint("sound", i), 5)), fmt.Sprint("sound", i), 5)
				}
			})
		})
	}
}

// TestRequestsBesideACrashAreNotRefused guards against refusing requests whose servers ended for
// another reason.
func TestRequestsBesideACrashAreNotRefused(t *testing.T) {
	o := newOptions(newDocument(4, 2, 1, 12), 3)
	runSystem(t, o, func(is *is.I, s *fake.System) {
		time.Sleep(6 * time.Second)
		results := make(chan fake.Result, 40)
		for i := range cap(results) {
			go func() { results <- s.Do(fake.Chat(fmt.Sprint("n", i%3+1), keyA, fmt.Sprint("p", i), 100)) }()
		}
		time.Sleep(300 * time.Millisecond)
		for _, g := range []ring.Group{"g1", "g2"} {
			s.CrashEngine(members(s, g)[0].VM)
			time.Sleep(200 * time.Millisecond)
		}
		for range cap(results) {
			r := <-results
			failure, _ := r.Failure()
			is.True(failure.Number != int(ring.CodeCrashesServers))
		}
	})
}

// TestResetConnectionsAreNoStrike guards against refusing a request whose connections are reset
// at one group after the other while their heads live on.
func TestResetConnectionsAreNoStrike(t *testing.T) {
	runSystem(t, newOptions(newDocument(4, 2, 1, 12), 1), func(is *is.I, s *fake.System) {
		time.Sleep(6 * time.Second)
		result := make(chan fake.Result, 1)
		go func() { result <- s.Do(fake.Chat("n1", keyA, "long", 300)) }()
		for range 3 {
			time.Sleep(150 * time.Millisecond)
			s.Net.ResetConnections("n1", headAddress(s))
		}
		<-result
		for range 3 {
			r := s.Do(fake.Chat("n1", keyA, "long", 300))
			assertResponse(is, r, "long", 300)
		}
	})
}
