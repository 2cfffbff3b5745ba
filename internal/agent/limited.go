package agent

import (
	"maps"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/quota"
)

// minLimitedLoad is the fraction of the mean load of a model's unlimited replicas below which
// a limited one counts as held back by its limit.
const minLimitedLoad = 0.75

// limitedReplicas returns the replicas that get fewer requests than the others of their model
// because of their heads' limits, and the servers that are limited or cold. A replica with a cold
// head is not among the former: its head is warm before another one could take its place.
func (a *Agent) limitedReplicas(now time.Time) (map[ring.Epoch]bool, map[ring.VM]bool) {
	if a.quota.IsUnused() {
		return nil, nil
	}
	servers, cold := map[ring.VM]bool{}, map[ring.VM]bool{}
	a.fleet.Each(func(s ring.Server, _ ring.Revision) {
		key := quota.KeyOf(s.ID, s.Incarnation)
		if _, isLimited := a.quota.Gate().Registry().Limit(key, now); isLimited {
			servers[s.ID] = true
		}
		if a.cold.ColdPerSecond(s, now) > 0 {
			cold[s.ID] = true
		}
	})

	type modelLoad struct{ total, replicas int }
	unlimited := map[ring.Model]modelLoad{} // summed over the model's unlimited replicas
	states := a.fleet.Loads(now)
	for _, s := range states {
		if !servers[s.Replica.Head.ID] && s.Replica.AcceptsRequests() {
			l := unlimited[s.Replica.Model]
			unlimited[s.Replica.Model] = modelLoad{l.total + s.Load, l.replicas + 1}
		}
	}
	limited := map[ring.Epoch]bool{}
	for _, s := range states {
		if !servers[s.Replica.Head.ID] {
			continue
		}
		others := unlimited[s.Replica.Model]
		isHeldBack := float64(s.Load*others.replicas) < minLimitedLoad*float64(others.total)
		if others.replicas == 0 || isHeldBack {
			limited[s.Replica.Epoch] = true
		}
	}
	maps.Copy(cold, servers)
	return limited, cold
}
