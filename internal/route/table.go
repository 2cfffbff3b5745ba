// Package route finds the declared route of a call and the workspace of its
// key.
//
// Terms:
//
//   - Route: a declared way from a host and a path prefix to services.
//   - Portion: a service's weighted part of a route's calls.
//   - Holder: a workspace with its bearer keys.
//
// Invariants: a table never changes once it is built; of the routes of a host
// the one with the longest prefix of the path is found; a call's portion
// depends only on its identity, so that all nodes split alike.
package route

import (
	"net"
	"sort"

	"github.com/cespare/xxhash/v2"

	ring "eelgrassring.dev"
)

// Table answers which route a call takes. It is immutable.
type Table struct {
	number      int64
	limits      ring.CallerLimits
	hosts       map[string][]ring.Route
	services    map[ring.Service]ring.RoutedService
	holders     map[string]ring.KeyHolder
	requiresKey bool
	routes      int
}

// NewTable builds a table.
func NewTable(r *ring.Routing) *Table {
	t := &Table{
		number: r.Number, limits: r.Limits, routes: len(r.Routes), requiresKey: len(r.Holders) > 0,
		hosts:    map[string][]ring.Route{},
		services: make(map[ring.Service]ring.RoutedService, len(r.Services)),
		holders:  map[string]ring.KeyHolder{},
	}
	for _, one := range r.Routes {
		t.hosts[one.Host] = append(t.hosts[one.Host], one)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, s := range r.Services {
		t.services[s.Name] = s
	}
	for _, h := range r.Holders {
		for _, key := range h.Keys {
			t.holders[key] = h
		}
	}
	return t
}

// Number returns the number of the configuration.
func (t *Table) Number() int64 { return t.number }

// Limits returns what callers may send.
func (t *Table) Limits() ring.CallerLimits { return t.limits }

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// RequiresKey reports whether calls need a key unless their route is public.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// Find returns the route of a call. The host may have a port.
func (t *Table) Find(host, path string) (ring.Route, bool) {
	routes, ok := t.hosts[host]
	if !ok {
		if bare, _, err := net.SplitHostPort(host); err == nil {
			routes = t.hosts[bare]
		}
	}
	for _, r := range routes {
		if len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix {
			return r, true
		}
	}
	return ring.Route{}, false
}

// Holder returns the workspace that holds the key.
func (t *Table) Holder(key string) (ring.KeyHolder, bool) {
	h, ok := t.holders[key]
	return h, ok
}

// Service returns a service.
func (t *Table) Service(name ring.Service) (ring.RoutedService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the services that run models, by name.
func (t *Table) Services() []ring.RoutedService {
	var out []ring.RoutedService
	for _, s := range t.services {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// PickService returns the service of a call with the identity: portions have their
// weighted parts of all identities.
func PickService(r ring.Route, id string) ring.Service {
	total := 0
	for _, p := range r.Portions {
		total += max(p.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, p := range r.Portions {
		at -= max(p.Weight, 0)
		if at < 0 {
			return p.Service
		}
	}
	return ""
}
