package composition

import (
	"testing"
	"time"
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
	sim.service.Slots, sim.service.LoadsPerSecond, sim.service.LoadsAtOnce = 13, 73, 91
	sim.service.Models[0].Size, sim.service.Models[0].Share = 16, 0.46
	sim.service.Models[1].Size, sim.service.Models[1].Share = 4, 0.54
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

// BenchmarkStep measures one decision about 875 servers: while all replicas are open,
// and while the replicas of 60 lost servers are repaired.
func BenchmarkStep(b *testing.B) {
	for name, lost := range map[string]int{"open": 0, "repair": 60} {
		b.Run(name, func(b *testing.B) {
			sim := newLargeSimulation(1, largeDomains)
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
