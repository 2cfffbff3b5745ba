package gateway

import (
	"fmt"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/admission"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/node"
)

// Explain predicts what would happen to a request for a host and path if it arrived
// now. The model is the one that the request names, or "". Explain checks no API key.
func (f *Front) Explain(host, path string, model ring.Model) Explanation {
	table := f.config.Node.Routing()
	if table == nil {
		return refusedExplanation(ring.CodeNoConfiguration, "no configuration is active yet")
	}
	found, ok := table.Find(host, path)
	if !ok {
		return refusedExplanation(ring.CodeNotFound, "no route for this host and path")
	}
	if !found.Public && table.RequiresKey() && !f.config.Node.MayAcceptAPIKeys(table.Number()) {
		return refusedExplanation(ring.CodeUnconfirmed, "this node cannot confirm that its configuration is current, so it accepts no API key")
	}
	out := Explanation{Outcome: "served", Reason: fmt.Sprintf("route %s of configuration %d", found.Name, table.Number())}
	for _, portion := range found.TrafficSplit {
		service, ok := table.Service(portion.Service)
		switch {
		case !ok:
			return refusedExplanation(ring.CodeNoGroup, fmt.Sprintf("route %s has no configured service", found.Name))
		case service.HasReplicas():
			f.explainReplicas(&out, found, service, model)
		default:
			f.explainServers(&out, service)
		}
	}
	return out
}

// explainReplicas adds the replicas of a service to the explanation, and changes its
// outcome if none of them has a free slot for the model, or if the admission would let the
// request wait or refuse it.
func (f *Front) explainReplicas(out *Explanation, found ring.Route, service ring.RoutedService, m ring.Model) {
	available := false
	for _, s := range f.config.Fleet.ReplicaStatuses(time.Now()) {
		r := s.Replica
		if r.Head.Service != service.Name {
			continue
		}
		serves := r.Model == m
		available = available || (serves && s.Reason == fleet.ReasonNone && s.Load < service.Slots)
		out.Groups = append(out.Groups, GroupReason{
			Group: r.Group, Serves: serves, Reason: node.Reason(s.Reason), VM: r.Head.ID, Load: float64(s.Load), Slots: service.Slots,
		})
	}
	if !available {
		out.Outcome, out.Code = "refused", int(ring.CodeNoGroup)
		out.Reason = fmt.Sprintf("no replica of service %s has a free slot for model %q", service.Name, m)
		return
	}
	now := time.Now()
	req := &frontRequest{route: found, service: service, header: ring.CallHeader{Model: m}, receivedAt: now, deadline: now.Add(found.Timeout)}
	switch decision := f.selector.preview(req, now); decision.Verdict {
	case admission.Wait:
		out.Outcome, out.Reason = "waits", decision.Reason.Text()
	case admission.Refuse:
		out.Outcome, out.Code, out.Reason = "refused", int(ring.CodeOverloaded), decision.Reason.Text()
	}
}

// explainServers adds the servers of a service without models to the explanation, and
// changes its outcome to a refusal if all of them are leaving.
func (f *Front) explainServers(out *Explanation, service ring.RoutedService) {
	available := false
	for _, s := range f.config.Fleet.Servers(service.Name) {
		reason := fleet.ReasonNone
		switch {
		case s.Leaving:
			reason = fleet.ReasonLeaving
		case f.config.Fleet.IsEvacuated(s):
			reason = fleet.ReasonEvacuated
		}
		available = available || reason == fleet.ReasonNone
		out.Groups = append(out.Groups, GroupReason{Serves: true, Reason: node.Reason(reason), VM: s.ID, Slots: s.Slots})
	}
	if !available {
		out.Outcome, out.Code = "refused", int(ring.CodeUnreachable)
		out.Reason = fmt.Sprintf("service %s has no available server", service.Name)
	}
}
