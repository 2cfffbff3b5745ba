package proof

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/standin/platform"
)

// recordsAddress is the address of the service that signs off samples.
const recordsAddress = "127.1.1.1:80"

// runCount returns how often the service signed off a sample.
func runCount(s *fake.System, sample string) int { return s.Services[recordsAddress].Runs(sample) }

// resultCode returns the result code of an error response, or 0.
func resultCode(r fake.Result) int {
	f, _ := r.Failure()
	return f.Number
}

// checkNotRun checks that the sample was not run if the result says "not run".
func checkNotRun(is *is.I, s *fake.System, r fake.Result, sample string) {
	is.Helper()
	if f, failed := r.Failure(); failed && f.Ran == "no" {
		is.Equal(runCount(s, sample), 0) // the result says "not run"
	}
}

// A node writes a claim on the idempotency key to the store before it
// dispatches a non-idempotent request. No fault may let two requests with the
// same key run.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name string
		test func(is *is.I, s *fake.System)
	}{
		{"same key through two nodes at the same time", func(is *is.I, s *fake.System) {
			results := make(chan fake.Result, 2)
			for _, name := range []string{"n1", "n2"} {
				go func() { results <- s.Do(fake.SignOff(name, keyA, "S")) }()
			}
			a, b := <-results, <-results
			is.Equal(runCount(s, "S"), 1)
			is.True(a.Status == http.StatusCreated || b.Status == http.StatusCreated)
			is.Equal(s.Do(fake.SignOff("n3", keyA, "S")).Body, "{\"sample\":\"S\",\"number\":\"C-S-1\",\"run\":1}\n")
		}},
		{"same key twice through one node at the same time", func(is *is.I, s *fake.System) {
			results := make(chan fake.Result, 2)
			for range 2 {
				go func() { results <- s.Do(fake.SignOff("n1", keyA, "S")) }()
			}
			<-results
			<-results
			is.Equal(runCount(s, "S"), 1)
		}},
		{"claim is written but the store's response is lost", func(is *is.I, s *fake.System) {
			s.Node("n1").Store.SetFault(platform.FaultResponseLost)
			r := s.Do(fake.SignOff("n1", keyA, "S"))
			is.Equal(r.Status, http.StatusCreated) // the node reads the claim back and finds that it is its own
			is.Equal(runCount(s, "S"), 1)
			r = s.Do(fake.SignOff("n2", keyA, "S"))
			is.Equal(r.Status, http.StatusCreated)
			is.Equal(runCount(s, "S"), 1)
		}},
		{"claim is not written and the store's response is lost", func(is *is.I, s *fake.System) {
			s.Node("n1").Store.SetFault(platform.FaultWriteLost)
			r := s.Do(fake.SignOff("n1", keyA, "S"))
			is.Equal(resultCode(r), 2007)
			is.True(r.Header.Get("Retry-After") != "")
			is.Equal(runCount(s, "S"), 0)
			is.Equal(s.Do(fake.SignOff("n2", keyA, "S")).Status, http.StatusCreated)
			is.Equal(runCount(s, "S"), 1)
		}},
		{"claim is written after its node timed out", func(is *is.I, s *fake.System) {
			s.Do(fake.SignOff("n1", keyA, "warm")) // the node acquires its lease
			s.Node("n1").Store.DelayWrites(3 * time.Second)
			r := s.Do(fake.SignOff("n1", keyA, "S"))
			is.Equal(resultCode(r), 2007)
			s.Node("n1").Store.DelayWrites(0)
			time.Sleep(3500 * time.Millisecond)
			second := s.Do(fake.SignOff("n2", keyA, "S"))
			checkNotRun(is, s, second, "S")
			time.Sleep(5 * time.Second)
			third := s.Do(fake.SignOff("n2", keyA, "S"))
			is.Equal(third.Status, http.StatusCreated) // the late claim was removed
			is.Equal(runCount(s, "S"), 1)
		}},
		{"store is down", func(is *is.I, s *fake.System) {
			for _, name := range s.NodeNames() {
				s.Node(name).Store.SetFault(platform.FaultDown)
			}
			r := s.Do(fake.SignOff("n1", keyA, "S"))
			is.Equal(resultCode(r), 2007)
			is.True(r.Header.Get("Retry-After") != "")
			is.True(r.Took < 3*time.Second)
			is.Equal(runCount(s, "S"), 0)
			assertResponse(is, s.Do(fake.Chat("n1", keyA, "x", 5)), "x", 5) // idempotent requests are still served
		}},
		{"service accepts the request and does not respond", func(is *is.I, s *fake.System) {
			c := fake.SignOff("n1", keyA, "S")
			c.Body = `{"sample":"S","hold":60000}`
			r := s.Do(c)
			is.Equal(resultCode(r), 3002)
			f, _ := r.Failure()
			is.Equal(f.Ran, "unknown")
			is.Equal(r.Header.Get("X-Should-Retry"), "false")
			c.Node = "n2"
			is.Equal(resultCode(s.Do(c)), 3002)
			is.Equal(runCount(s, "S"), 1)
		}},
		{"service's response is lost", func(is *is.I, s *fake.System) {
			c := fake.SignOff("n1", keyA, "S")
			c.Body = `{"sample":"S","hold":1000}`
			time.AfterFunc(300*time.Millisecond, func() { s.Net.BlockResponses("n1", recordsAddress, true) })
			is.Equal(resultCode(s.Do(c)), 3002)
			c.Node = "n2"
			is.Equal(resultCode(s.Do(c)), 3002)
			is.Equal(runCount(s, "S"), 1)
		}},
		{"service is unreachable", func(is *is.I, s *fake.System) {
			s.Net.BlockLink("n1", recordsAddress, true)
			r := s.Do(fake.SignOff("n1", keyA, "S"))
			is.Equal(resultCode(r), 2010)
			is.Equal(runCount(s, "S"), 0)
			time.Sleep(time.Second)
			is.Equal(s.Do(fake.SignOff("n2", keyA, "S")).Status, http.StatusCreated)
		}},
		{"node dies after the dispatch", func(is *is.I, s *fake.System) {
			c := fake.SignOff("n1", keyA, "S")
			c.Body = `{"sample":"S","hold":2000}`
			go s.Do(c)
			time.Sleep(500 * time.Millisecond)
			s.KillNode("n1")
			c.Node = "n2"
			is.Equal(resultCode(s.Do(c)), 3001) // the claim is still in progress
			time.Sleep(15 * time.Second)
			is.Equal(resultCode(s.Do(c)), 3002) // the outcome stays unknown
			is.Equal(runCount(s, "S"), 1)
		}},
		{"node pauses for minutes between claim and dispatch", func(is *is.I, s *fake.System) {
			s.Net.PauseSends("n1", true)
			first := make(chan fake.Result, 1)
			go func() { first <- s.Do(fake.SignOff("n1", keyA, "S")) }()
			time.Sleep(time.Second)
			second := s.Do(fake.SignOff("n2", keyA, "S"))
			is.Equal(resultCode(second), 3001)
			time.Sleep(3 * time.Minute)
			third := s.Do(fake.SignOff("n2", keyA, "S"))
			is.Equal(resultCode(third), 3002)
			s.Net.PauseSends("n1", false)
			checkNotRun(is, s, <-first, "S")
			time.Sleep(time.Second)
			is.True(runCount(s, "S") <= 1)
		}},
		{"caller disconnects and retries at another node", func(is *is.I, s *fake.System) {
			c := fake.SignOff("n1", keyA, "S")
			c.Body = `{"sample":"S","hold":1000}`
			s.DoWithTimeout(c, 300*time.Millisecond)
			time.Sleep(2 * time.Second)
			c.Node = "n2"
			r := s.Do(c)
			is.Equal(r.Status, http.StatusCreated)
			is.Equal(r.Header.Get("Eelgrass-Replayed"), "true")
			is.Equal(runCount(s, "S"), 1)
		}},
		{"no key", func(is *is.I, s *fake.System) {
			c := fake.SignOff("n1", keyA, "S")
			c.IdempotencyKey = ""
			is.Equal(resultCode(s.Do(c)), 1007)
			c.Path = "/services/records/./x/..//signoffs" // any spelling of the path needs the key
			is.Equal(resultCode(s.Do(c)), 1007)
			is.Equal(runCount(s, "S"), 0)
		}},
		{"key that another request used", func(is *is.I, s *fake.System) {
			is.Equal(s.Do(fake.SignOff("n1", keyA, "S")).Status, http.StatusCreated)
			c := fake.SignOff("n2", keyA, "T")
			c.IdempotencyKey = "key-S"
			is.Equal(resultCode(s.Do(c)), 1008)
			is.Equal(runCount(s, "T"), 0)
		}},
		{"same key in another workspace", func(is *is.I, s *fake.System) {
			is.Equal(s.Do(fake.SignOff("n1", keyA, "S")).Status, http.StatusCreated)
			is.Equal(s.Do(fake.SignOff("n1", keyB, "S")).Status, http.StatusCreated)
			is.Equal(runCount(s, "S"), 2) // keys are scoped to a workspace
		}},
		{"model request with a key", func(is *is.I, s *fake.System) {
			c := fake.Chat("n1", keyA, "x", 5)
			c.IdempotencyKey = "chat-1"
			assertResponse(is, s.Do(c), "x", 5)
			sent := s.History.Requests()
			c.Node = "n2"
			assertResponse(is, s.Do(c), "x", 5)
			is.Equal(s.History.Requests(), sent) // the second response is the recorded one
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runSystem(t, newOptions(newDocument(1, 2, 1, 3), 3), test.test)
		})
	}
}

// When the store ignores the guards of transactions, both nodes run the same
// request, and the run count must show it.
func TestCheckerDetectsDoubleRun(t *testing.T) {
	runUnreadySystem(t, newOptions(newDocument(1, 2, 1, 3), 0), func(is *is.I, s *fake.System) {
		s.IgnoreGuards()
		s.StartNode("n1")
		s.StartNode("n2")
		is.NoErr(s.AwaitServingGroups(1, 20*time.Second))
		for _, name := range []string{"n1", "n2"} {
			s.Do(fake.SignOff(name, keyA, "S"))
		}
		is.Equal(runCount(s, "S"), 2)
	})
}
