package inspection

import (
	"fmt"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/intake"
	"eelgrassring.dev/internal/settings"
)

// RoutedNode returns the findings in the settings of a node that serves the routing
// configuration. Paths are those of the settings file.
func RoutedNode(s settings.Settings, r *ring.Routing) []Finding {
	i := &inspector{}
	i.checkBodies(s, r.Limits.MaxBodyBytes)
	if r.Limits.MaxHeaderBytes > s.MaxHead {
		i.addWarning("/head", "the configuration allows heads of %d bytes, this node %d", r.Limits.MaxHeaderBytes, s.MaxHead)
	}
	if limit := time.Duration(s.HeadTimeout); r.Limits.HeaderTimeout > limit {
		i.addWarning("/heads", "the configuration allows %v for a head, this node %v", r.Limits.HeaderTimeout, limit)
	}
	longest := ring.Route{}
	for _, route := range r.Routes {
		if route.Timeout > longest.Timeout {
			longest = route
		}
	}
	i.checkDrain(s, fmt.Sprintf("route %q", longest.Name), longest.Timeout)
	return i.findings
}

// DeclaredNode returns the findings in the settings of a node that serves the declared document.
func DeclaredNode(s settings.Settings, d deployment.Document) []Finding {
	i := &inspector{}
	i.checkBodies(s, s.MaxBody)
	longest := deployment.Service{}
	for _, service := range d.Services {
		if service.Timeout > longest.Timeout {
			longest = service
		}
	}
	i.checkDrain(s, fmt.Sprintf("service %q", longest.Name), longest.CallTimeout())
	return i.findings
}

// checkBodies checks that the node's memory for bodies holds the largest body of a request.
func (i *inspector) checkBodies(s settings.Settings, largest int64) {
	path := "/memory"
	if s.BudgetMB > 0 {
		path = "/budget"
	}
	budget := int64(intake.Limits{Memory: s.MemoryLimitMB << 20, Budget: s.BudgetMB << 20}.BodyBytes())
	if largest > budget {
		i.addError(path, "the node has %d bytes for bodies, but one request may have %d", budget, largest)
	}
}

// checkDrain checks that requests may complete while the node drains.
func (i *inspector) checkDrain(s settings.Settings, what string, longest time.Duration) {
	if drain := time.Duration(s.DrainTimeout); longest > drain {
		i.addWarning("/drain", "a node that stops ends requests after %v; %s allows them %v", drain, what, longest)
	}
}

// Registered returns the findings in a routing configuration that follow from how many servers of
// each service are registered and do not leave.
func Registered(r *ring.Routing, servers map[ring.Service]int) []Finding {
	i := &inspector{}
	for n, route := range r.Routes {
		most := 0
		for _, s := range route.TrafficSplit {
			if s.Weight > 0 {
				most = max(most, servers[s.Service])
			}
		}
		if most > 0 && route.MaxAttempts > most {
			i.addWarning(fmt.Sprintf("/Routes/%d/MaxAttempts", n), "%d attempts need as many servers, but %d are registered", route.MaxAttempts, most)
		}
	}
	for n, s := range r.Services {
		path := fmt.Sprintf("/Services/%d", n)
		if servers[s.Name] == 0 && isReached(r, s.Name) {
			i.addWarning(path+"/Name", "no server of service %q is registered", s.Name)
			continue
		}
		for k, m := range s.Models {
			if m.Size > servers[s.Name] {
				i.addWarning(fmt.Sprintf("%s/Models/%d/Size", path, k), "a replica needs %d servers, but %d are registered", m.Size, servers[s.Name])
			}
		}
	}
	return i.findings
}
