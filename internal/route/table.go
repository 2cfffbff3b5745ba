// Package route looks up the declared route of a call and the workspace of its
// bearer key.
//
// Terms:
//
//   - Route: a declared mapping from a host and a path prefix to services.
//   - Holder: a workspace and its bearer keys.
//
// Invariants: a table never changes after it is built; among the routes of a host, the
// one with the longest matching path prefix wins; the service of a call depends only on
// the route and the call's ID, so that all nodes pick the same one.
package route

import (
	"net"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	ring "eelgrassring.dev"
)

// Table holds the routes, services and keys of one configuration. It is
// immutable.
type Table struct {
	number int64
	limits ring.CallerLimits
	// hosts holds the routes of each host, those with the longest prefixes first.
	hosts    map[string][]ring.Route
	services map[ring.Service]ring.RoutedService
	// holders holds the workspace that each key belongs to.
	holders     map[string]ring.KeyHolder
	requiresKey bool
	// routes is the number of routes of all hosts.
	routes int
}

// NewTable builds the table from the routing part of a configuration.
func NewTable(r *ring.Routing) *Table {
	t := &Table{
		number: r.Number, limits: r.Limits, routes: len(r.Routes), requiresKey: r.RequiresKey || len(r.KeyHolders) > 0,
		hosts:    map[string][]ring.Route{},
		services: make(map[ring.Service]ring.RoutedService, len(r.Services)),
		holders:  map[string]ring.KeyHolder{},
	}
	for _, route := range r.Routes {
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, s := range r.Services {
		s.IsRanked = isRanked(r.Routes, s.Name)
		t.services[s.Name] = s
	}
	for _, h := range r.KeyHolders {
		if h.Workspace == "" {
			continue // Its calls could not be told from those of public routes.
		}
		for _, key := range h.Keys {
			if key != "" {
				t.holders[key] = h
			}
		}
	}
	return t
}

// isRanked reports whether the routes to a service whose calls name a model differ in priority.
func isRanked(routes []ring.Route, service ring.Service) bool {
	first, isAny := 0, false
	for _, r := range routes {
		if !r.HasReplicas || !sendsTo(r, service) {
			continue
		}
		if isAny && r.Priority != first {
			return true
		}
		first, isAny = r.Priority, true
	}
	return false
}

// sendsTo reports whether the route sends calls to the service.
func sendsTo(r ring.Route, service ring.Service) bool {
	return slices.ContainsFunc(r.TrafficSplit, func(w ring.WeightedService) bool { return w.Service == service && w.Weight > 0 })
}

// Number returns the number of the configuration.
func (t *Table) Number() int64 { return t.number }

// Limits returns the limits on the requests of callers.
func (t *Table) Limits() ring.CallerLimits { return t.limits }

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// RequiresKey reports whether calls to routes that are not public need a key. They
// do if key holders are declared, even if no holder or no key is left.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// Find returns the host's route whose prefix is the longest that the path starts
// with, or false if there is none. The host may have a port.
func (t *Table) Find(host, path string) (ring.Route, bool) {
	routes, ok := t.hosts[host]
	if !ok {
		if hostname, _, err := net.SplitHostPort(host); err == nil {
			routes = t.hosts[hostname]
		}
	}
	for _, r := range routes {
		if len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix {
			return r, true
		}
	}
	return ring.Route{}, false
}

// Holder returns the workspace that holds the key, or false if the key is unknown. If
// several hold it, the one that was declared last does.
func (t *Table) Holder(key string) (ring.KeyHolder, bool) {
	h, ok := t.holders[key]
	return h, ok
}

// Service returns the service with the name, or false if it is not configured.
func (t *Table) Service(name ring.Service) (ring.RoutedService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the services whose backend servers are discovered, sorted by
// name.
func (t *Table) Services() []ring.RoutedService {
	var out []ring.RoutedService
	for _, s := range t.services {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// PickService returns the service to which the route sends a call, or "" if none of the
// route's services has a positive weight. It chooses by a hash of the call's ID, so
// that each service gets calls in proportion to its weight and all nodes choose alike.
func PickService(route ring.Route, callID string) ring.Service {
	total := 0
	for _, p := range route.TrafficSplit {
		total += max(p.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := int(xxhash.Sum64String(callID) % uint64(total))
	for _, p := range route.TrafficSplit {
		at -= max(p.Weight, 0)
		if at < 0 {
			return p.Service
		}
	}
	return ""
}
