package composition

import (
	"fmt"
	"testing"
	"time"

	ring "eelgrassring.dev"
)

// largeDomains and largeDomainSize are the size of a deployment of hundreds of nodes.
const (
	largeDomains    = 25
	largeDomainSize = 35
)

// newLargeSimulation returns a simulation with the given number of domains of 35
// servers, for models of 16 and 4 servers.
func newLargeSimulation(seed uint64, domains int) *simulation {
	sim := newSimulation(seed, domains, largeDomainSize)
	sim.service.Slots, sim.service.LoadsPerSecond, sim.service.LoadsAtOnce = 13, 73, 109
	sim.service.Models[0].Size, sim.service.Models[0].Share = 16, 0.5
	sim.service.Models[1].Size, sim.service.Models[1].Share = 4, 0.5
	return sim
}

// killServers kills n servers, chosen by the seed, of those that run.
func (sim *simulation) killServers(n int) {
	ids := sim.serverIDs()
	sim.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if n > 0 && sim.servers[id].alive {
			sim.killServer(id)
			n--
		}
	}
}

// BenchmarkStep measures one decision about 175, 875 and 3,115 servers, while the replicas
// of 7 in 100 lost servers are repaired.
func BenchmarkStep(b *testing.B) {
	for _, domains := range []int{5, largeDomains, 89} {
		lost := domains * largeDomainSize * 7 / 100
		b.Run(fmt.Sprint("servers=", domains*largeDomainSize), func(b *testing.B) {
			sim := newLargeSimulation(1, domains)
			c := New(Config{Options: DefaultOptions(), Term: 7})
			sim.run(c, 8*time.Second)
			sim.hasTraffic = true
			sim.run(c, time.Second)
			sim.killServers(lost)
			sim.run(c, time.Second)
			v := sim.view()
			for b.Loop() {
				c.Step(ViewUpdated{View: v}, sim.now)
			}
		})
	}
}

// BenchmarkFirstReplicas measures the decisions from the first view of 875 servers until
// all replicas are forming.
func BenchmarkFirstReplicas(b *testing.B) {
	for b.Loop() {
		sim := newLargeSimulation(1, largeDomains)
		c := New(Config{Options: DefaultOptions(), Term: 7})
		sim.advanceTick()
		c.Step(ViewUpdated{View: sim.view()}, sim.now)
		sim.now = sim.now.Add(c.options.SettleTime)
		c.Step(ViewUpdated{View: sim.view()}, sim.now)
		if len(c.replicas) < largeDomains {
			b.Fatalf("%d replicas are forming", len(c.replicas))
		}
	}
}

// newOpenLargeSimulation returns a large simulation with requests in which all replicas
// are open, and its composer.
func newOpenLargeSimulation(t *testing.T, seed uint64, domains int) (*simulation, *Composer) {
	t.Helper()
	sim := newLargeSimulation(seed, domains)
	c := New(Config{Options: DefaultOptions(), Term: 7})
	sim.run(c, 8*time.Second)
	sim.hasTraffic = true
	sim.run(c, 20*time.Second) // All hosts stage the model that is not loaded.
	if sim.countOpen("large") != domains || sim.countOpen("small") != 4*domains {
		t.Fatalf("%d large and %d small replicas are open, want %d and %d", sim.countOpen("large"), sim.countOpen("small"), domains, 4*domains)
	}
	return sim, c
}

// killMembers kills n members of the open replica of a model in a domain, not its head.
func (sim *simulation) killMembers(n int, m ring.Model, d ring.Domain) {
	for _, id := range sim.openHead(m, d).members[1 : 1+n] {
		sim.killServer(id)
	}
}

// TestLargeReplicaIsCompletedByTheServersOfASmallOne guards against fifteen servers that
// wait for a sixteenth, which loads its model for 16 s, while small replicas of the same
// domain hold it: the calls of the large model find the fewest replicas on heavy days.
func TestLargeReplicaIsCompletedByTheServersOfASmallOne(t *testing.T) {
	for _, changesController := range []bool{false, true} {
		sim, c := newOpenLargeSimulation(t, 1, 3)
		if changesController {
			c = New(Config{Options: DefaultOptions(), Term: 8})
			sim.run(c, 4*time.Second)
		}
		sim.killMembers(4, "large", "d1") // The domain has three spares.
		sim.run(c, 8*time.Second)
		if large, small := sim.countOpen("large"), sim.countOpen("small"); large != 3 || small != 11 {
			t.Errorf("new controller %v: %d large and %d small replicas are open, want 3 and 11", changesController, large, small)
		}
		checkNoViolations(t, sim)
	}
}

// TestServersTooFewForALargeReplicaFormSmallOnes guards against servers that are kept for
// a large replica which the live servers of their domain cannot form.
func TestServersTooFewForALargeReplicaFormSmallOnes(t *testing.T) {
	sim, c := newOpenLargeSimulation(t, 1, 3)
	sim.killMembers(15, "large", "d1")
	for range 2 {
		sim.killMembers(3, "small", "d1")
		sim.run(c, 6*time.Second)
	}
	_, live := sim.stranded()
	if small, want := sim.countOpen("small"), 8+(live-70)/4; small != want {
		t.Errorf("%d small replicas are open, want %d of %d live servers", small, want, live)
	}
	checkNoViolations(t, sim)
}

// TestFewServersAreStrandedInALargeFleetWithLosses checks the load pattern of a fleet of
// large domains that loses one or two servers of a replica every 2.8 s and gets empty
// ones instead, while one order in twenty is late and the controller changes twice.
func TestFewServersAreStrandedInALargeFleetWithLosses(t *testing.T) {
	const domains = 5
	stranded, live, open := 0, 0, map[ring.Model]int{}
	seconds := 0
	for seed := range uint64(3) {
		sim, c := newOpenLargeSimulation(t, seed, domains)
		sim.delayedShare = 0.05
		for second := range 34 {
			if second%14 == 2 {
				for i := range 7 {
					d := ring.Domain(fmt.Sprintf("d%d", i%domains))
					sim.killRandomMember(d)
					sim.addServer(ring.VM(fmt.Sprintf("w%02d-%d", second, i)), d)
				}
			}
			if second == 4 || second == 20 {
				c = New(Config{Options: DefaultOptions(), Term: ring.Revision(8 + second)})
			}
			sim.run(c, time.Second)
			s, l := sim.stranded()
			stranded, live, seconds = stranded+s, live+l, seconds+1
			open["large"] += sim.countOpen("large")
			open["small"] += sim.countOpen("small")
		}
		checkNoViolations(t, sim)
	}
	share := float64(stranded) / float64(live)
	t.Logf("%.3f of the live servers are stranded; open large %.3f, small %.3f of those that fit", share, float64(open["large"])/float64(domains*seconds), float64(open["small"])/float64(4*domains*seconds))
	if share > maxStrandedShare {
		t.Errorf("%.3f of the live servers are stranded, want at most %.2f", share, maxStrandedShare)
	}
}

// killRandomMember kills a member of a random open replica of the domain.
func (sim *simulation) killRandomMember(d ring.Domain) {
	var heads []*simServer
	for _, id := range sim.serverIDs() {
		s := sim.servers[id]
		if s.alive && s.server.Domain == d && s.server.Membership.State == ring.MemberOpen && sim.isComplete(s) {
			heads = append(heads, s)
		}
	}
	if len(heads) > 0 {
		members := heads[sim.random.IntN(len(heads))].members
		sim.killServer(members[sim.random.IntN(len(members))])
	}
}
