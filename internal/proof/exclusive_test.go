package proof

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/fake"
)

// resumeOldController freezes the controller between its decision to give the
// spare to g1 and the write, lets another controller give the spare to g2,
// and thaws the old one. Its probes go on until it has decided.
func resumeOldController(is *is.I, s *fake.System) {
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

func TestNoVMInTwoGroupsWhenOldControllerResumes(t *testing.T) {
	runSystem(t, options(document(2, 3, 1, 7), 3), func(is *is.I, s *fake.System) {
		resumeOldController(is, s)
		is.Equal(fake.CheckExclusive(s.Keyspace), nil)
		is.Equal(fake.CheckEpochs(s.Keyspace), nil)
		is.NoErr(s.AwaitServingGroups(2, 20*time.Second))
		assertResponse(is, s.Do(fake.Chat("n1", keyA, "after", 5)), "after", 5)
	})
}

// Without the guards of transactions the same failure must be caught.
func TestCheckerDetectsVMInTwoGroups(t *testing.T) {
	o := options(document(2, 3, 1, 7), 0)
	runUnreadySystem(t, o, func(is *is.I, s *fake.System) {
		s.IgnoreGuards()
		for _, name := range []string{"n1", "n2", "n3"} {
			s.StartNode(name)
			time.Sleep(2 * time.Second) // The first alone becomes the controller.
		}
		is.NoErr(s.AwaitServingGroups(2, 20*time.Second))
		resumeOldController(is, s)
		doubled, reused := fake.CheckExclusive(s.Keyspace), fake.CheckEpochs(s.Keyspace)
		t.Logf("%d moments with a VM in two groups, %d epochs for two sets", len(doubled), len(reused))
		is.True(len(doubled) > 0)
		is.True(len(reused) > 0)
	})
}

// A backend server that ignores epochs obeys the late order of an old
// controller: its group must notice, stop and load again.
func TestStaleOrderToServerThatIgnoresEpochs(t *testing.T) {
	d := document(2, 3, 1, 7)
	for i := range d.VMs {
		d.VMs[i].Fencing = "ignored"
	}
	runSystem(t, options(d, 3), func(is *is.I, s *fake.System) {
		stray := members(s, "g2")[1].VM
		before := s.Node("n1").Node.Table().Group("g2", time.Now()).Record.Record.Epoch
		s.SendOrder(stray, fake.StaleOrder("g1", 1))
		results := sendTraffic(s, 6*time.Second)
		is.Equal(checkResponses(results), nil)
		is.NoErr(s.AwaitServingGroups(2, 20*time.Second))
		after := s.Node("n1").Node.Table().Group("g2", time.Now()).Record.Record.Epoch
		is.True(after > before) // the group was formed again
	})
}

func TestConcurrentAppliesDuringFailure(t *testing.T) {
	runSystem(t, options(document(2, 3, 2, 5), 3), func(is *is.I, s *fake.System) {
		first, second := document(2, 3, 2, 5), document(2, 3, 2, 5)
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
		is.True(len(b.Changes) > 0) // the loser sees what the winner changed
		s.CrashEngine(members(s, "g2")[0].VM)
		time.Sleep(10 * time.Second)
		is.Equal(fake.CheckExclusive(s.Keyspace), nil)
		is.NoErr(s.AwaitServingGroups(2, 20*time.Second))
	})
}
