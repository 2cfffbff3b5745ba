package inspection

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

const (
	// lowestPriority is the largest priority that backend servers tell apart.
	lowestPriority = 9
	// maxShareSum is the largest sum of the models' shares that may be due to rounding.
	maxShareSum = 1.01
)

// Routing returns the findings in a routing configuration. minHead is the size of the smallest
// head of a call that all routes allow, in bytes.
func Routing(r *ring.Routing, minHead int) []Finding {
	i := &inspector{}
	i.checkRoutes(r)
	i.checkServices(r)
	i.checkKeyHolders(r)
	i.checkCallerLimits(r.Limits, minHead)
	return i.findings
}

// Outdated returns a finding if nodes that use the first configuration ignore the second one:
// they only take over a larger number.
func Outdated(before, after *ring.Routing) []Finding {
	i := &inspector{}
	if before.Number > 0 && after.Number <= before.Number {
		i.addWarning("/Number", "nodes that use version %d ignore version %d: it is not larger", before.Number, after.Number)
	}
	return i.findings
}

// checkRoutes checks which calls the routes match, and where they send them.
func (i *inspector) checkRoutes(r *ring.Routing) {
	type match struct{ host, prefix string }
	first, names := map[match]int{}, map[string]int{}
	for n, route := range slices.Backward(r.Routes) {
		first[match{route.Host, route.Prefix}] = n
	}
	for n, route := range r.Routes {
		path := fmt.Sprintf("/Routes/%d", n)
		if other, isDuplicate := names[route.Name]; isDuplicate {
			i.addWarning(path+"/Name", "route %d has the name %q too: metrics and logs do not tell them apart", other, route.Name)
		} else {
			names[route.Name] = n
		}
		root, hasRoot := first[match{route.Host, "/"}]
		if other := first[match{route.Host, route.Prefix}]; other != n {
			i.addError(path+"/Prefix", "no call reaches this route: route %q has the same host and prefix", r.Routes[other].Name)
		} else if route.Prefix == "" && hasRoot {
			i.addError(path+"/Prefix", "no call reaches this route: the prefix \"/\" of route %q matches all paths", r.Routes[root].Name)
		}
		i.checkMatch(route, path)
		i.checkSplit(r, route, path)
		i.checkRouteLimits(route, path)
	}
}

// checkMatch checks that calls can match the route.
func (i *inspector) checkMatch(route ring.Route, path string) {
	if route.Host == "" {
		i.addError(path+"/Host", "only calls that name no host match an empty host")
	}
	switch {
	case route.Prefix == "":
		i.addWarning(path+"/Prefix", "an empty prefix matches all paths; \"/\" says so")
	case !strings.HasPrefix(route.Prefix, "/"):
		i.addError(path+"/Prefix", "no path begins with %q: a path begins with a slash", route.Prefix)
	case strings.ContainsAny(route.Prefix, "? #"):
		i.addError(path+"/Prefix", "clients send no '?', '#' or space in a path, but %q has one", route.Prefix)
	case !strings.HasSuffix(route.Prefix, "/"):
		i.addWarning(path+"/Prefix", "%q also matches longer names, such as %q", route.Prefix, route.Prefix+"x")
	}
}

// checkSplit checks the services that share the route's calls.
func (i *inspector) checkSplit(r *ring.Routing, route ring.Route, path string) {
	total := 0
	seen := map[ring.Service]bool{}
	for n, s := range route.TrafficSplit {
		splitPath := fmt.Sprintf("%s/TrafficSplit/%d", path, n)
		getsCalls := sendsTo(route, s.Service)
		switch {
		case hasService(r, s.Service):
		case getsCalls:
			i.addError(splitPath+"/Service", "service %q is not configured: its calls fail", s.Service)
		default:
			i.addError(splitPath+"/Service", "service %q is not configured: its calls would fail", s.Service)
		}
		if seen[s.Service] {
			i.addWarning(splitPath+"/Service", "service %q is named twice; its weights add up", s.Service)
		}
		seen[s.Service] = true
		switch {
		case s.Weight < 0:
			i.addError(splitPath+"/Weight", "must not be negative")
		case s.Weight == 0 && getsCalls:
			i.addWarning(splitPath+"/Weight", "has no effect: service %q has another weight in this route", s.Service)
		case s.Weight == 0:
			i.addWarning(splitPath+"/Weight", "service %q gets no calls of this route: its weight is 0", s.Service)
		}
		if s.Weight > math.MaxInt-total {
			i.addError(splitPath+"/Weight", "is too large: the weights cannot be added up")
			return
		}
		total += max(s.Weight, 0)
	}
	switch {
	case len(route.TrafficSplit) == 0:
		i.addError(path+"/TrafficSplit", "all calls fail: the route names no service")
	case total == 0:
		i.addError(path+"/TrafficSplit", "all calls fail: no service has a weight above 0")
	}
}

// checkRouteLimits checks the times of a route against each other and against its kind.
func (i *inspector) checkRouteLimits(route ring.Route, path string) {
	for _, f := range []struct {
		name  string
		value time.Duration
	}{{"Timeout", route.Timeout}, {"LatencyTarget", route.LatencyTarget}, {"EventGapTarget", route.EventGapTarget}} {
		switch {
		case f.value < 0:
			i.addError(path+"/"+f.name, "is negative or too large to be used")
		case f.name != "Timeout" && route.Timeout > 0 && f.value > route.Timeout:
			i.addWarning(path+"/"+f.name, "a target of %v cannot be met: the route's timeout is %v", f.value, route.Timeout)
		}
	}
	if route.Kind != ring.CallStream && route.EventGapTarget > 0 {
		i.addWarning(path+"/EventGapTarget", "has no effect: only streams have events")
	}
	if route.Kind != ring.CallStream && route.Resumable {
		i.addWarning(path+"/Resumable", "has no effect: only streams can be resumed")
	}
	switch {
	case route.Priority < 0:
		i.addError(path+"/Priority", "must not be negative")
	case route.Priority > lowestPriority:
		i.addWarning(path+"/Priority", "counts as %d at the backend servers", lowestPriority)
	}
}

// hasService reports whether the configuration has a service with the name.
func hasService(r *ring.Routing, name ring.Service) bool {
	return slices.ContainsFunc(r.Services, func(s ring.RoutedService) bool { return s.Name == name })
}

// isReached reports whether a route sends calls to the service.
func isReached(r *ring.Routing, name ring.Service) bool {
	return slices.ContainsFunc(r.Routes, func(route ring.Route) bool { return sendsTo(route, name) })
}

// sendsTo reports whether the route sends calls to the service.
func sendsTo(route ring.Route, name ring.Service) bool {
	return slices.ContainsFunc(route.TrafficSplit, func(s ring.WeightedService) bool { return s.Service == name && s.Weight > 0 })
}

// checkServices checks the services, their models and their limits.
func (i *inspector) checkServices(r *ring.Routing) {
	last := map[ring.Service]int{}
	for n, s := range r.Services {
		last[s.Name] = n
	}
	for n, s := range r.Services {
		path := fmt.Sprintf("/Services/%d", n)
		switch {
		case s.Name == "":
			i.addError(path+"/Name", "must not be empty")
		case last[s.Name] != n:
			i.addError(path+"/Name", "is not used: service %q is configured again after it", s.Name)
		case !isReached(r, s.Name):
			i.addWarning(path+"/Name", "no route sends calls to service %q", s.Name)
		}
		i.checkColdStart(s, path)
		if s.HasReplicas() {
			i.checkReplicas(s, path)
		}
	}
}

// checkColdStart checks the limits of servers that have just started.
func (i *inspector) checkColdStart(s ring.RoutedService, path string) {
	switch {
	case s.ColdStart < 0:
		i.addError(path+"/ColdStart", "is not a time that can be used")
	case s.ColdPerSecond < 0:
		i.addError(path+"/ColdPerSecond", "is not a rate that can be used")
	case s.ColdStart > 0 && s.ColdPerSecond == 0:
		i.addError(path+"/ColdPerSecond", "must be above 0: servers are cold for %v", s.ColdStart)
	}
	if most := maxRate(s); most > 0 && s.ColdPerSecond > most {
		i.addWarning(path+"/ColdPerSecond", "limits nothing: with %d slots a replica serves less than %.4g requests a second", s.Slots, most)
	}
}

// maxRate returns how many requests a second a replica would serve if each took one pass of the
// engine, or 0 if that is not known.
func maxRate(s ring.RoutedService) float64 {
	pass := time.Duration(max(s.Rates.StepsPerPass, 1)) * s.Rates.Step
	most := 0.0
	for _, m := range s.Models {
		if factor := m.TimeFactor * pass.Seconds(); factor > 0 {
			most = max(most, float64(s.Slots)/factor)
		}
	}
	return most
}

// checkReplicas checks the models of a service and the limits of its replicas.
func (i *inspector) checkReplicas(s ring.RoutedService, path string) {
	if len(s.Models) == 0 {
		i.addError(path+"/Models", "all calls fail: the service runs models, but none is configured")
		return
	}
	switch {
	case s.Slots < 1:
		i.addError(path+"/Slots", "must be at least 1, not %d", s.Slots)
	case s.MaxConnections > 0 && s.Slots > s.MaxConnections:
		i.addWarning(path+"/MaxConnections", "%d connections cannot use %d slots", s.MaxConnections, s.Slots)
	}
	switch {
	case s.LoadsPerSecond < 0:
		i.addError(path+"/LoadsPerSecond", "must not be negative")
	case s.LoadsPerSecond == 0:
		i.addWarning(path+"/LoadsPerSecond", "no server may load a model after the first request")
	}
	names, shares := map[ring.Model]bool{}, 0.0
	for n, m := range s.Models {
		modelPath := fmt.Sprintf("%s/Models/%d", path, n)
		if names[m.Name] {
			i.addError(modelPath+"/Name", "model %q is already configured", m.Name)
		}
		names[m.Name] = true
		if m.Size < 1 {
			i.addError(modelPath+"/Size", "must be at least 1, not %d", m.Size)
		}
		if m.Share < 0 {
			i.addError(modelPath+"/Share", "must not be negative")
		}
		if m.TimeFactor < 0 {
			i.addError(modelPath+"/TimeFactor", "must not be negative")
		}
		shares += m.Share
	}
	if shares > maxShareSum {
		i.addWarning(path+"/Models", "the shares of the models add up to %.4g, not 1", shares)
	}
}

// checkKeyHolders checks the workspaces and their keys.
func (i *inspector) checkKeyHolders(r *ring.Routing) {
	holders, names, inForce := map[string]int{}, map[ring.Workspace]int{}, holdersOf(r)
	for n, h := range r.KeyHolders {
		path := fmt.Sprintf("/KeyHolders/%d", n)
		if other, isDuplicate := names[h.Workspace]; isDuplicate {
			i.addWarning(path+"/Workspace", "workspace %q is already declared as number %d", h.Workspace, other)
		} else {
			names[h.Workspace] = n
		}
		if h.Workspace == "" {
			i.addError(path+"/Workspace", "must not be empty: the keys are not accepted")
		}
		switch {
		case len(h.Keys) > 0:
		case slices.ContainsFunc(r.KeyHolders, func(x ring.KeyHolder) bool { return x.Workspace == h.Workspace && len(x.Keys) > 0 }):
			i.addWarning(path+"/Keys", "adds no key: workspace %q has those of its other entries", h.Workspace)
		default:
			i.addWarning(path+"/Keys", "workspace %q has no key: its callers are refused", h.Workspace)
		}
		if h.HasPriority && h.Priority < 0 {
			i.addError(path+"/Priority", "must not be negative")
		}
		for k, key := range h.Keys {
			keyPath := fmt.Sprintf("%s/Keys/%d", path, k)
			other, isDuplicate := holders[key]
			holder := inForce[deployment.HashKey(key)]
			switch {
			case key == "":
				i.addError(keyPath, "an empty key is not accepted")
			case isDuplicate && r.KeyHolders[other].Workspace != h.Workspace:
				i.addError(keyPath, "workspace %q has the same key: callers with it count as those of %q", r.KeyHolders[other].Workspace, holder)
			case isDuplicate:
				i.addWarning(keyPath, "workspace %q has this key twice", h.Workspace)
			}
			holders[key] = n
		}
	}
	needsKey := slices.ContainsFunc(r.Routes, func(route ring.Route) bool { return !route.Public })
	if r.RequiresKey && len(r.KeyHolders) == 0 && needsKey {
		i.addWarning("/KeyHolders", "all calls to routes that are not public are refused: nobody holds a key")
	}
}

// checkCallerLimits checks the limits on the requests of callers.
func (i *inspector) checkCallerLimits(l ring.CallerLimits, minHead int) {
	for _, f := range []struct {
		name  string
		value int64
	}{{"MaxHeaderBytes", int64(l.MaxHeaderBytes)}, {"MaxBodyBytes", l.MaxBodyBytes}, {"HeaderTimeout", int64(l.HeaderTimeout)}, {"IdleTimeout", int64(l.IdleTimeout)}} {
		if f.value < 0 {
			i.addError("/Limits/"+f.name, "is negative or too large to be used")
		}
	}
	if l.MaxHeaderBytes > 0 && l.MaxHeaderBytes < minHead {
		i.addError("/Limits/MaxHeaderBytes", "%d bytes are too few: the headers that a call needs take %d", l.MaxHeaderBytes, minHead)
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		i.addWarning("/Limits/IdleTimeout", "%v are less than the %v that a caller has for a header", l.IdleTimeout, l.HeaderTimeout)
	}
}

// routeKey returns the host and prefix of a route.
func routeKey(r ring.Route) string { return r.Host + r.Prefix }
