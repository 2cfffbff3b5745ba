package proof

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/fake"
)

// pauseAndResumeController pauses the controller's store calls, so that its
// decision to assign the spare to g1 is not written, lets another controller
// assign the spare to g2, and resumes the calls. Only store calls are paused, so
// that the old controller still inspects servers until it has decided.
func pauseAndResumeController(is *is.I, s *fake.System) {
	is.Helper()
	old := s.Controller()
	first := members(s, "g1")[1].VM
	s.Node(old).Store.PauseCalls(true)
	s.CrashEngine(first)
	time.Sleep(1500 * time.Millisecond)
	s.StartEngine(first)
	time.Sleep(10 * time.Millisecond)
	s.CrashEngine(members(s, "g2")[1].VM)
	time.Sleep(12 * time.Second)
	s.Node(old).Store.PauseCalls(false)
	time.Sleep(5 * time.Second)
}

// The outdated decision of a paused controller must fail when its store calls
// resume, so that the spare stays in one group.
func TestNoVMInTwoGroupsWhenOldControllerResumes(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 3, 1, 7), 3), func(is *is.I, s *fake.System) {
		pauseAndResumeController(is, s)
		is.Equal(fake.CheckExclusive(s.Keyspace), nil)
		is.Equal(fake.CheckEpochs(s.Keyspace), nil)
		is.NoErr(s.AwaitServingGroups(2, 20*time.Second))
		assertResponse(is, s.Do(fake.Chat("n1", keyA, "after", 5)), "after", 5)
	})
}

// When the store ignores the guards of transactions, the checkers must find the
// violations.
func TestCheckerDetectsVMInTwoGroups(t *testing.T) {
	o := newOptions(newDocument(2, 3, 1, 7), 0)
	runUnreadySystem(t, o, func(is *is.I, s *fake.System) {
		s.IgnoreGuards()
		for _, name := range []string{"n1", "n2", "n3"} {
			s.StartNode(name)
			time.Sleep(2 * time.Second) // so that n1 becomes the controller
		}
		is.NoErr(s.AwaitServingGroups(2, 20*time.Second))
		pauseAndResumeController(is, s)
		shared, reused := fake.CheckExclusive(s.Keyspace), fake.CheckEpochs(s.Keyspace)
		t.Logf("%d times a VM was in two groups, %d epochs were used for two sets of members", len(shared), len(reused))
		is.True(len(shared) > 0)
		is.True(len(reused) > 0)
	})
}

// A backend server that ignores epochs executes a stale order of an old
// controller. Its group must detect this, stop serving and be formed again.
func TestStaleOrderToServerThatIgnoresEpochs(t *testing.T) {
	d := newDocument(2, 3, 1, 7)
	for i := range d.VMs {
		d.VMs[i].Fencing = "ignored"
	}
	runSystem(t, newOptions(d, 3), func(is *is.I, s *fake.System) {
		target := members(s, "g2")[1].VM
		before := s.Node("n1").Node.Table().Group("g2", time.Now()).Record.Record.Epoch
		s.SendOrder(target, fake.StaleOrder("g1", 1))
		results := sendTraffic(s, 6*time.Second)
		is.Equal(checkResponses(results), nil)
		is.NoErr(s.AwaitServingGroups(2, 20*time.Second))
		after := s.Node("n1").Node.Table().Group("g2", time.Now()).Record.Record.Epoch
		is.True(after > before) // the group was formed again
	})
}

// Of two applies with the same base the second must be rejected, and a member
// that fails at the same time must still be replaced.
func TestConcurrentAppliesDuringFailure(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 3, 2, 5), 3), func(is *is.I, s *fake.System) {
		first, second := newDocument(2, 3, 2, 5), newDocument(2, 3, 2, 5)
		first.Groups[0].Domain = "d2"
		second.Groups[1].Domain = "d2"
		second.Groups[1].Slots = 4
		a, err := s.TryApply(fake.NewStore(s.Keyspace), 1, first, "a")
		is.NoErr(err)
		b, err := s.TryApply(fake.NewStore(s.Keyspace), 1, second, "b")
		is.NoErr(err)
		is.Equal(string(a.Outcome), "accepted")
		is.Equal(string(b.Outcome), "conflict")
		is.Equal(b.Number, int64(2))
		is.True(len(b.Changes) > 0) // the rejected apply returns the changes of the accepted one
		s.CrashEngine(members(s, "g2")[0].VM)
		time.Sleep(10 * time.Second)
		is.Equal(fake.CheckExclusive(s.Keyspace), nil)
		is.NoErr(s.AwaitServingGroups(2, 20*time.Second))
	})
}
