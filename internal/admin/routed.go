package admin

import (
	"maps"
	"net/url"
	"slices"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/agent"
	"eelgrassring.dev/internal/coldstart"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/gateway"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/placement"
)

// Routed implements System for a node whose configuration declares routes and
// whose backend servers are discovered.
type Routed struct {
	name  string
	zone  ring.Zone
	agent *agent.Agent
	fleet *fleet.Fleet
	front *gateway.Front

	// evacuated holds the zones for which the gauges of an evacuation were set.
	mu        sync.Mutex
	evacuated map[ring.Zone]bool
	// coldPlaces counts the cold servers at the last update of the gauges.
	coldMu     sync.Mutex
	coldPlaces map[coldstart.Place]int
}

// NewRouted returns the System of a node from its agent (configuration and peers),
// its fleet (backend servers and replicas) and its gateway for declared routes.
func NewRouted(name string, zone ring.Zone, a *agent.Agent, f *fleet.Fleet, gatewayFront *gateway.Front) *Routed {
	return &Routed{name: name, zone: zone, agent: a, fleet: f, front: gatewayFront, evacuated: map[ring.Zone]bool{}, coldPlaces: map[coldstart.Place]int{}}
}

// Status implements System. For other nodes it reports only name, address,
// liveness and age. A group's phase is the state of its head, and its load the
// number of requests from all nodes.
func (r *Routed) Status(now time.Time) Status {
	number, _ := r.agent.ActiveConfig()
	out := Status{
		Node: r.name, Controller: r.agent.IsController(), Draining: r.agent.IsDraining(), StoreConnected: r.agent.IsStoreUp(), ConfigNumber: number,
		Nodes: []NodeStatus{{Name: r.name, Zone: r.zone, ConfigNumber: number, Draining: r.agent.IsDraining(), Live: true}},
	}
	for _, p := range r.agent.Peers(now) {
		out.Nodes = append(out.Nodes, NodeStatus{Name: p.Name, CallerAddress: p.Address, Live: p.IsLive, Age: deployment.Duration(p.Age.Round(time.Millisecond))})
	}
	for _, s := range r.fleet.ReplicaStatuses(now) {
		status := GroupStatus{
			Name: s.Replica.Group, Phase: placement.Phase(s.Replica.Head.Membership.State), Epoch: s.Replica.Epoch, Members: s.Members,
			Serving: s.Reason == fleet.ReasonNone, Reason: node.Reason(s.Reason), Outstanding: s.Load, Load: float64(s.Load),
		}
		status.Spec.Model = s.Replica.Model
		out.Groups = append(out.Groups, status)
	}
	for _, c := range r.agent.ColdServers().All(now) {
		out.Cold = append(out.Cold, ColdStatus{
			VM: c.VM, Service: c.Service, Zone: c.Zone, For: deployment.Duration(c.Until.Sub(now).Round(time.Millisecond)), PerSecond: c.PerSecond,
		})
	}
	for _, z := range r.fleet.EvacuatedZones(now) {
		out.Evacuations = append(out.Evacuations, EvacuationStatus(z))
	}
	return out
}

// Explain implements System.
func (r *Routed) Explain(query url.Values) gateway.Explanation {
	return r.front.Explain(query.Get("host"), query.Get("path"), ring.Model(query.Get("model")))
}

// UpdateGauges implements System.
func (r *Routed) UpdateGauges(registry *metric.Registry) {
	number, _ := r.agent.ActiveConfig()
	registry.SetGauge("configuration_number", float64(number))
	if age, ok := r.agent.ConfirmedAge(); ok {
		registry.SetGauge("configuration_confirmed_age_seconds", age.Seconds())
	}
	accepting := 0 // replicas that accept requests
	for _, s := range r.fleet.ReplicaStatuses(time.Now()) {
		if s.Reason == fleet.ReasonNone {
			accepting++
		}
	}
	registry.SetGauge("replicas_taking", float64(accepting))
	r.updateColdGauges(registry)
	registry.SetGauge("nodes", float64(r.agent.NodeCount()))
	r.updateEvacuationGauges(registry)
}

// updateEvacuationGauges sets the gauges of the evacuated zones, and to 0 those of the zones that
// were taken back.
func (r *Routed) updateEvacuationGauges(registry *metric.Registry) {
	left := map[ring.Zone]fleet.EvacuatedZone{}
	for _, z := range r.fleet.EvacuatedZones(time.Now()) {
		left[z.Zone] = z
	}
	r.mu.Lock()
	for zone := range left {
		r.evacuated[zone] = true
	}
	zones := slices.Sorted(maps.Keys(r.evacuated))
	r.mu.Unlock()
	for _, zone := range zones {
		z, isEvacuated := left[zone]
		evacuated := 0.0
		if isEvacuated {
			evacuated = 1
		}
		registry.SetGauge("zone_evacuated", evacuated, "zone", string(zone))
		registry.SetGauge("evacuated_replicas_busy", float64(z.Busy), "zone", string(zone))
		registry.SetGauge("evacuated_requests", float64(z.Requests), "zone", string(zone))
	}
}

// updateColdGauges sets the gauges of cold servers by service and zone, also to 0 where there were
// some.
func (r *Routed) updateColdGauges(registry *metric.Registry) {
	all := r.agent.ColdServers().All(time.Now())
	r.coldMu.Lock()
	defer r.coldMu.Unlock()
	for place := range r.coldPlaces {
		r.coldPlaces[place] = 0
	}
	for _, c := range all {
		r.coldPlaces[c.Place]++
	}
	for place, count := range r.coldPlaces {
		registry.SetGauge("cold_servers", float64(count), "service", string(place.Service), "zone", string(place.Zone))
	}
}
