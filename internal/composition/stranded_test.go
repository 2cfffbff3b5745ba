package composition

import (
	"fmt"
	"testing"
	"time"

	ring "eelgrassring.dev"
)

// maxStrandedShare is the target for the share of live servers that may be stranded
// on the heaviest days.
const maxStrandedShare = 0.2

// stranded counts the live servers that hold a model and are in no open replica, in
// domains without an open replica of some model, and all live servers.
func (sim *simulation) stranded() (stranded, live int) {
	missing := map[ring.Domain]bool{}
	open := map[ring.Epoch]bool{}
	for _, s := range sim.servers {
		for _, m := range sim.service.Models {
			if head := sim.openHead(m.Name, s.server.Domain); head == nil || !sim.isComplete(head) {
				missing[s.server.Domain] = true
			} else {
				open[head.server.Membership.Epoch] = true
			}
		}
	}
	for _, s := range sim.servers {
		if !s.alive || !s.stopsAt.IsZero() {
			continue
		}
		live++
		if s.loaded != "" && missing[s.server.Domain] && !open[s.server.Membership.Epoch] {
			stranded++
		}
	}
	return stranded, live
}

// TestFewServersAreStrandedInAReleaseWithLosses checks the load pattern of a release
// that replaces 44 of 100 servers one after the other, while two servers are lost and
// two empty ones are added every three seconds, and one order in twenty is late. If
// replicas wait for a member that loads its model, or lost members can be replaced
// only by servers with the same model, most of the live servers soon serve nobody.
func TestFewServersAreStrandedInAReleaseWithLosses(t *testing.T) {
	const seeds = 10
	stranded, live := 0, 0
	for seed := range uint64(seeds) {
		s, l := simulateRelease(t, seed)
		stranded += s
		live += l
	}
	share := float64(stranded) / float64(live)
	t.Logf("%.3f of the live servers are stranded", share)
	if share > maxStrandedShare {
		t.Errorf("%.3f of the live servers are stranded, want at most %.2f", share, maxStrandedShare)
	}
}

// simulateRelease plays 24 s of the release and returns the sums of the stranded and
// of the live servers, each counted once a second.
func simulateRelease(t *testing.T, seed uint64) (stranded, live int) {
	t.Helper()
	sim := newSmallReplicaSimulation(seed, 6)
	c := New(Config{Options: DefaultOptions(), Term: 7})
	sim.run(c, 8*time.Second)
	sim.hasTraffic = true
	sim.run(c, time.Second)
	sim.delayedShare = 0.05
	before := sim.serverIDs()
	sim.random.Shuffle(len(before), func(i, j int) { before[i], before[j] = before[j], before[i] })
	added := 0
	add := func(d ring.Domain) {
		added++
		sim.addServer(ring.VM(fmt.Sprintf("w%03d", added)), d)
	}
	for tick := range 24 {
		if id := before[tick]; sim.servers[id].alive { // 24 of 54 servers
			add(sim.servers[id].server.Domain)
			sim.servers[id].server.Leaving, sim.servers[id].stopsAt = true, sim.now.Add(4*time.Second)
		}
		if tick%3 == 0 {
			for i := range 2 {
				sim.killServer(before[24+tick/3*2+i])
				add(sim.servers[before[24+tick/3*2+i]].server.Domain)
			}
		}
		sim.run(c, time.Second)
		s, l := sim.stranded()
		stranded += s
		live += l
	}
	checkNoViolations(t, sim)
	return stranded, live
}

// TestLoadsRunAtFullSpeed checks that the composer does not start more loads at a time
// than run at full speed: each would take longer, and all replicas would wait.
func TestLoadsRunAtFullSpeed(t *testing.T) {
	sim, c := newOpenSimulation(t, 6)
	for _, id := range sim.serverIDs() {
		sim.restartServer(id)
		sim.servers[id].server.Staged = nil
	}
	for range 400 {
		sim.run(c, simTick)
		loads := 0
		for _, s := range sim.servers {
			if s.joinLoad > 0 || s.stagingLoad > 0 {
				loads++
			}
		}
		if loads > sim.service.LoadsAtOnce {
			t.Fatalf("%d loads run at a time; %d run at full speed", loads, sim.service.LoadsAtOnce)
		}
	}
}

// TestLossesInADomainCostNoReplicaThatFits guards against a model without a replica
// although its domain has enough live servers: the members of a lost replica must be
// able to join a replica of any model at once.
func TestLossesInADomainCostNoReplicaThatFits(t *testing.T) {
	sim := newSmallReplicaSimulation(1, 1)
	c := New(Config{Options: DefaultOptions(), Term: 7})
	sim.run(c, 8*time.Second)
	sim.hasTraffic = true
	for live := 8; live >= 3; live-- {
		sim.killOpenMember()
		sim.run(c, 5*time.Second)
		if live < 4 {
			sim.run(c, 10*time.Second) // Servers that changed their model load the other one again.
		}
		want := 1
		if live >= 4+3 {
			want = 2
		}
		if open := sim.countOpen("large") + sim.countOpen("small"); open != want {
			t.Errorf("%d replicas are open with %d live servers, want %d", open, live, want)
		}
	}
	checkNoViolations(t, sim)
}

// killOpenMember kills a member of the open replica of the large model in the domain d0,
// or of the small one if there is none.
func (sim *simulation) killOpenMember() {
	head := sim.openHead("large", "d0")
	if head == nil {
		head = sim.openHead("small", "d0")
	}
	sim.killServer(head.members[1])
}

// newSmallReplicaSimulation returns a simulation with nine servers in each domain, for
// models of four and three servers.
func newSmallReplicaSimulation(seed uint64, domains int) *simulation {
	sim := newSimulation(seed, domains, 9)
	sim.service.LoadsPerSecond, sim.service.LoadsAtOnce = 4.5, 6
	sim.service.Models[0].Size, sim.service.Models[0].Share = 4, 0.57
	sim.service.Models[1].Size, sim.service.Models[1].Share = 3, 0.43
	return sim
}

// TestInventoryCountsStrandedServers checks the number that tells an operator how many
// live servers wait although a model lacks a replica in their domain.
func TestInventoryCountsStrandedServers(t *testing.T) {
	sim := newSmallReplicaSimulation(1, 1)
	c := New(Config{Options: DefaultOptions(), Term: 7})
	sim.run(c, 8*time.Second)
	sim.hasTraffic = true
	sim.run(c, time.Second)
	if got, _ := reportedStranded(sim, c); got != 0 {
		t.Errorf("%d servers are stranded, want none while both models have a replica", got)
	}
	for range 4 { // Five servers are left, too few for a replica of each model.
		sim.killOpenMember()
		sim.run(c, 5*time.Second)
	}
	_, live := sim.stranded()
	serving := 0
	for _, m := range sim.service.Models {
		serving += sim.countOpen(m.Name) * m.Size
	}
	got, waiting := reportedStranded(sim, c)
	if got != live-serving {
		t.Errorf("%d servers are stranded, want %d", got, live-serving)
	}
	if waiting[WaitServers] != got {
		t.Errorf("reasons of %d stranded servers: %v, want all %q", got, waiting, WaitServers)
	}
}

// TestInventoryTellsWhyServersWait checks the reasons that tell an operator whether
// servers wait for their former head, for their replica or for other servers.
func TestInventoryTellsWhyServersWait(t *testing.T) {
	sim := newSmallReplicaSimulation(1, 1)
	c := New(Config{Options: DefaultOptions(), Term: 7})
	sim.run(c, 8*time.Second)
	sim.hasTraffic = true
	sim.run(c, time.Second)
	sim.killServer(sim.openHead("large", "d0").server.ID) // The others cannot leave a head that does not answer.
	seen := map[WaitReason]bool{}
	for range 120 { // The entry of the head expires after 3.6 s.
		c.inventoryAt = time.Time{}
		_, waiting := reportedStranded(sim, c)
		for reason := range waiting {
			seen[reason] = true
		}
	}
	for _, reason := range []WaitReason{WaitLeaving, WaitForming} {
		if !seen[reason] {
			t.Errorf("no server waited for the reason %q; seen: %v", reason, seen)
		}
	}
}

// reportedStranded runs the simulation until the next inventory and returns the number
// of stranded servers in it, and their numbers by reason.
func reportedStranded(sim *simulation, c *Composer) (int, map[WaitReason]int) {
	for {
		sim.advanceTick()
		actions := c.Step(ViewUpdated{View: sim.view()}, sim.now)
		sim.performActions(c, actions)
		for _, a := range actions {
			if inventory, ok := a.(Inventory); ok {
				n, waiting := 0, map[WaitReason]int{}
				for _, d := range inventory.Counts {
					n += d.Stranded
					for reason, count := range d.Waiting {
						waiting[reason] += count
					}
				}
				return n, waiting
			}
		}
	}
}
