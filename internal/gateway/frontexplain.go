package gateway

import (
	"fmt"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/node"
)

// Explain tells what would become of a call to a host and path now; the model is
// the one that it names, if any. Keys are not asked for.
func (f *Front) Explain(host, path string, m ring.Model) Explanation {
	table := f.config.Node.Routing()
	if table == nil {
		return refusal(ring.CodeNoConfiguration, "no configuration is in force yet")
	}
	found, ok := table.Find(host, path)
	if !ok {
		return refusal(ring.CodeNotFound, "no route for this host and path")
	}
	if !found.Public && table.RequiresKey() && !f.config.Node.MayAcceptAPIKeys() {
		return refusal(ring.CodeUnconfirmed, "this node cannot confirm its configuration, so no key can be told valid")
	}
	out := Explanation{Outcome: "served", Reason: fmt.Sprintf("route %s of configuration %d", found.Name, table.Number())}
	for _, p := range found.Portions {
		service, ok := table.Service(p.Service)
		switch {
		case !ok:
			return refusal(ring.CodeNoGroup, fmt.Sprintf("route %s leads to no service", found.Name))
		case len(service.Models) > 0:
			f.explainReplicas(&out, service, m)
		default:
			f.explainServers(&out, service)
		}
	}
	return out
}

func (f *Front) explainReplicas(out *Explanation, service ring.RoutedService, m ring.Model) {
	takes := false
	for _, s := range f.config.Fleet.ReplicaStatuses(time.Now()) {
		r := s.Replica
		if r.Head.Service != service.Name {
			continue
		}
		serves := r.Model == m
		takes = takes || (serves && s.Reason == fleet.ReasonNone && s.Load < service.Slots)
		out.Groups = append(out.Groups, GroupReason{
			Group: r.Group, Serves: serves, Reason: node.Reason(s.Reason), VM: r.Head.ID, Load: float64(s.Load), Slots: service.Slots,
		})
	}
	if !takes {
		out.Outcome, out.Code = "refused", int(ring.CodeNoGroup)
		out.Reason = fmt.Sprintf("no replica of service %s has a place for model %q", service.Name, m)
	}
}

func (f *Front) explainServers(out *Explanation, service ring.RoutedService) {
	takes := false
	for _, s := range f.config.Fleet.Servers(service.Name) {
		reason := fleet.ReasonNone
		if s.Leaving {
			reason = fleet.ReasonLeaving
		}
		takes = takes || !s.Leaving
		out.Groups = append(out.Groups, GroupReason{Serves: true, Reason: node.Reason(reason), VM: s.ID, Slots: s.Slots})
	}
	if !takes {
		out.Outcome, out.Code = "refused", int(ring.CodeUnreachable)
		out.Reason = fmt.Sprintf("service %s has no server to use", service.Name)
	}
}
