package composition

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	ring "eelgrassring.dev"
)

// seedCount is the number of seeds that randomized tests play. The default keeps a run
// short; more are played by hand.
var seedCount = flag.Uint64("seeds", 100, "seeds per randomized test")

// silence makes a server unreachable for a time, in which its process continues. Its
// registry entry returns later than the server itself, by lag.
func (sim *simulation) silence(id ring.VM, duration, lag time.Duration) {
	s := sim.servers[id]
	s.silentUntil = sim.now.Add(duration)
	s.disconnectedUntil = s.silentUntil.Add(lag)
}

// newLargeDomainSimulation returns a simulation with 35 servers in each domain, in
// replicas of 16 and 4, with requests, and the composer that formed the replicas.
func newLargeDomainSimulation(t *testing.T, seed uint64, domains int) (*simulation, *Composer) {
	t.Helper()
	sim := newSimulation(seed, domains, 35)
	sim.service.Models[0].Size, sim.service.Models[1].Size = 16, 4
	c := New(Config{Options: DefaultOptions(), Term: 7})
	sim.run(c, 6*time.Second)
	sim.hasTraffic = true
	sim.run(c, time.Second)
	if sim.countOpen("large") == 0 || sim.countOpen("small") == 0 {
		t.Fatal("no replica of some model is open")
	}
	return sim, c
}

// TestMembersStayInUseAfterTheirDomainWasSilent guards against giving the members of
// an open replica to another one after their whole domain was unreachable. The
// controller considers the head dead in that time, and perhaps another node becomes
// the controller; the head continues and is open when the domain returns, but the
// entries of its members may return before its own.
func TestMembersStayInUseAfterTheirDomainWasSilent(t *testing.T) {
	checkSeeds(t, *seedCount, simulateSilentDomain)
}

// checkSeeds plays a simulation for each seed, several at a time, and fails the test
// for seeds that violate an invariant.
func checkSeeds(t *testing.T, seeds uint64, play func(t *testing.T, seed uint64) *simulation) {
	t.Helper()
	var wait sync.WaitGroup
	next, failed := atomic.Uint64{}, atomic.Int64{}
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for seed := next.Add(1) - 1; seed < seeds; seed = next.Add(1) - 1 {
				if sim := play(t, seed); len(sim.violations) > 0 && failed.Add(1) <= 3 {
					t.Errorf("seed %d: %v", seed, sim.violations[0])
				}
			}
		})
	}
	wait.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d seeds violate an invariant", n, seeds)
	}
}

// simulateSilentDomain plays 30 s in which one of two domains is silent for 5 to 12 s,
// some orders are late, and the controller may be replaced at any time before the
// domain returns. Every fifth seed has large domains.
func simulateSilentDomain(t *testing.T, seed uint64) *simulation {
	t.Helper()
	var sim *simulation
	var c *Composer
	if seed%5 == 0 {
		sim, c = newLargeDomainSimulation(t, seed, 2)
	} else {
		sim, c = newOpenSimulation(t, 2)
	}
	sim.random = newSimulation(seed+1, 0, 0).random
	sim.delayedShare = 0.05
	sim.pinsRequests = seed%2 == 1
	silence := time.Duration(5000+sim.random.IntN(7000)) * time.Millisecond
	for _, id := range sim.serverIDs() {
		if sim.servers[id].server.Domain == "d0" {
			sim.silence(id, silence, time.Duration(sim.random.IntN(2000))*time.Millisecond)
		}
	}
	term := ring.Revision(8)
	for range 60 {
		if sim.random.IntN(20) == 0 {
			c = New(Config{Options: DefaultOptions(), Term: term})
			term++
		}
		if sim.random.IntN(10) == 0 { // Losses make the controller look for other members.
			id := ring.VM(fmt.Sprintf("v%d-%02d", sim.random.IntN(2), sim.random.IntN(11)))
			sim.killServer(id)
		}
		sim.run(c, 500*time.Millisecond)
	}
	return sim
}

// TestReplicasContinueAfterTheirDomainWasSilent guards against ending the requests of
// replicas that were only out of sight, with the same controller and with a new one.
func TestReplicasContinueAfterTheirDomainWasSilent(t *testing.T) {
	for _, changesController := range []bool{false, true} {
		sim, c := newOpenSimulation(t, 2)
		before := map[ring.Model]ring.Epoch{}
		for _, m := range sim.service.Models {
			before[m.Name] = sim.openHead(m.Name, "d0").server.Membership.Epoch
		}
		for _, id := range sim.serverIDs() {
			if sim.servers[id].server.Domain == "d0" {
				sim.silence(id, 8*time.Second, time.Duration(sim.random.IntN(1500))*time.Millisecond)
			}
		}
		sim.run(c, 2*time.Second)
		if changesController {
			c = New(Config{Options: DefaultOptions(), Term: 8})
		}
		sim.run(c, 12*time.Second)
		for m, epoch := range before {
			if head := sim.openHead(m, "d0"); head == nil || head.server.Membership.Epoch != epoch {
				t.Errorf("new controller %v: the replica of the %s model did not continue", changesController, m)
			}
		}
		checkNoViolations(t, sim)
	}
}

// TestMemberJoinsAnotherReplicaOnlyAfterItConfirmedThatItLeft guards against an order
// to join that overtakes the order to leave, as both are sent at the same time. The
// head of the replica does not respond, and may be open.
func TestMemberJoinsAnotherReplicaOnlyAfterItConfirmedThatItLeft(t *testing.T) {
	sim, c := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	former := map[ring.VM]bool{}
	for _, id := range head.members[1:] {
		former[id] = true
	}
	sim.silence(head.server.ID, time.Hour, 0)
	confirmed := map[ring.VM]bool{}
	joined := 0
	for end := sim.now.Add(8 * time.Second); sim.now.Before(end); {
		sim.advanceTick()
		actions := c.Step(ViewUpdated{View: sim.view()}, sim.now)
		for _, a := range actions {
			o, isOrder := a.(SendOrder)
			if !isOrder || !former[o.ID] || o.Order.Kind != ring.OrderJoin {
				continue
			}
			joined++
			if !confirmed[o.ID] {
				t.Fatalf("%s was ordered to join another replica before it left", o.ID)
			}
		}
		sim.performActions(c, actions)
		for id := range former {
			confirmed[id] = sim.servers[id].server.Membership.Epoch != head.server.Membership.Epoch
		}
	}
	if joined == 0 {
		t.Error("no former member was ordered to join another replica")
	}
	checkNoViolations(t, sim)
}

// TestSoundSilentMemberKeepsItsReplica guards against LOST: a sound server is silent for a
// second or so, its replica is taken apart, and the requests there end that may not be repeated
// or resumed. The silences cover the head, another member, heads of two replicas, two
// silences in a row, and a controller that stands still meanwhile or is replaced.
func TestSoundSilentMemberKeepsItsReplica(t *testing.T) {
	for _, silence := range []time.Duration{600 * time.Millisecond, time.Second, 1300 * time.Millisecond, 1800 * time.Millisecond} {
		for _, form := range []string{"head", "member", "two heads", "twice", "controller", "new controller"} {
			sim, c := newOpenSimulation(t, 1)
			sim.pinsRequests, sim.stalledFor = true, 3*time.Second
			large, small := sim.openHead("large", "d0"), sim.openHead("small", "d0")
			epochs := [2]ring.Epoch{large.server.Membership.Epoch, small.server.Membership.Epoch}
			silent := []ring.VM{large.server.ID}
			switch form {
			case "member":
				silent = large.members[2:3]
			case "two heads":
				silent = append(silent, small.server.ID)
			}
			times := 1
			if form == "twice" {
				times = 2
			}
			for range times {
				for _, id := range silent {
					sim.pause(id, silence)
				}
				sim.run(c, silence/2)
				switch form {
				case "controller":
					for end := sim.now.Add(silence * 2 / 3); sim.now.Before(end); {
						sim.advanceTick()
					}
				case "new controller":
					c = New(Config{Options: DefaultOptions(), Term: 8})
				}
				sim.run(c, silence/2+300*time.Millisecond)
			}
			sim.run(c, 4*time.Second)
			if now := [2]ring.Epoch{large.server.Membership.Epoch, small.server.Membership.Epoch}; now != epochs || !sim.isComplete(large) || !sim.isComplete(small) {
				t.Errorf("%s, silent for %s: replicas %v became %v, complete %v and %v", form, silence, epochs, now, sim.isComplete(large), sim.isComplete(small))
			}
			checkNoViolations(t, sim)
		}
	}
}

// TestSilencesWithAGapAreNotOne guards against taking two short silences of a member, between
// which nobody inspected it, for a long one.
func TestSilencesWithAGapAreNotOne(t *testing.T) {
	sim, c := newOpenSimulation(t, 1)
	sim.pinsRequests = true
	id := sim.openHead("large", "d0").members[1]
	c.Step(ViewUpdated{View: sim.view()}, sim.now)
	for _, after := range []time.Duration{0, 3 * time.Second, 3250 * time.Millisecond} {
		at := sim.now.Add(after)
		c.addNextInspection(id, at)
		c.Step(Inspected{ID: id}, at.Add(250*time.Millisecond))
	}
	if c.server(id).dead {
		t.Error("the member is considered dead after it was silent twice for a moment")
	}
}

// TestLostVMIsReplacedAfterTheSilenceTimeout guards against waiting for a lost VM for much
// longer than a sound server may be silent, or at all if all requests may continue elsewhere. The repair itself takes as long as that of a
// process that has ended (TestMemberIsReplacedSoonAfterAChangeOfTheController).
func TestLostVMIsReplacedAfterTheSilenceTimeout(t *testing.T) {
	const repairTime = 1300 * time.Millisecond
	for rank := range 2 {
		for _, pinsRequests := range []bool{false, true} {
			sim, c := newOpenSimulation(t, 1)
			sim.pinsRequests = pinsRequests
			sim.loseVM(sim.openHead("large", "d0").members[rank])
			took := runUntil(t, sim, c, 10*time.Second, func() bool { return sim.countOpen("large") == 1 })
			limit := repairTime
			if pinsRequests {
				limit += DefaultOptions().SilenceTimeout
			}
			if took > limit {
				t.Errorf("rank %d, pinned %v: the repair took %s, want at most %s", rank, pinsRequests, took, limit)
			}
			checkNoViolations(t, sim)
		}
	}
}
