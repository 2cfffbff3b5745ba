package inspection

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/route"
)

// The sections of the values of a routing configuration.
const (
	kindRoute     = "routes"
	kindService   = "services"
	kindWorkspace = "workspaces"
	kindLimits    = "limits"
)

// RoutingChanges returns what the second routing configuration changes for callers of the first:
// by route, service and workspace. Routes are matched by host and prefix.
func RoutingChanges(before, after *ring.Routing) []Change {
	c := routingChanges{before: route.NewTable(before), after: route.NewTable(after), formerHolders: holdersOf(before), holders: holdersOf(after)}
	for _, i := range itemsOf(deployment.Compare(routingValues(before), routingValues(after))) {
		switch i.kind {
		case kindRoute:
			c.addRoute(i)
		case kindService:
			c.addService(i)
		case kindWorkspace:
			c.addWorkspace(i)
		default:
			c.addLimits(i)
		}
	}
	return c.changes
}

// routingChanges collects the changes between two configurations.
type routingChanges struct {
	before, after *route.Table
	// formerHolders and holders map the hashes of the keys to their workspaces before and after
	// the change.
	formerHolders, holders map[string]ring.Workspace
	changes                []Change
}

// holdersOf returns the workspace of each key that is accepted, by the key's hash. The last one that
// declares a key holds it.
func holdersOf(r *ring.Routing) map[string]ring.Workspace {
	out := map[string]ring.Workspace{}
	for _, h := range r.KeyHolders {
		for _, key := range h.Keys {
			if key != "" && h.Workspace != "" {
				out[deployment.HashKey(key)] = h.Workspace
			}
		}
	}
	return out
}

// add records what an item's difference means for callers.
func (c *routingChanges) add(what, format string, args ...any) {
	c.changes = append(c.changes, Change{what, fmt.Sprintf(format, args...)})
}

// routingValues returns the values of a routing configuration that are in force, by path. It holds
// keys by their hashes.
func routingValues(r *ring.Routing) map[string]string {
	out := map[string]string{}
	put := func(kind, name, field string, value any) {
		out["/"+kind+"/"+escape(name)+"/"+field] = fmt.Sprint(value)
	}
	for _, x := range slices.Backward(r.Routes) { // The first of several with one host and prefix is used.
		for field, value := range map[string]any{
			nameField: fmt.Sprintf("%q", x.Name), "kind": x.Kind, "timeout": x.Timeout, "target": x.LatencyTarget, "gap": x.EventGapTarget, "attempts": x.MaxAttempts,
			"priority": x.Priority, "public": x.Public, "resumable": x.Resumable, "models": x.HasReplicas, "split": splitText(x),
		} {
			put(kindRoute, routeKey(x), field, value)
		}
	}
	for _, s := range r.Services {
		prefix := "/" + kindService + "/" + escape(string(s.Name)) + "/"
		maps.DeleteFunc(out, func(path, _ string) bool { return strings.HasPrefix(path, prefix) }) // The last of several is used.
		for field, value := range map[string]any{
			nameField: fmt.Sprintf("%q", s.Name), "connections": s.MaxConnections, "health": fmt.Sprintf("%q", s.HealthPath), "replicas": s.HasReplicas(), "slots": s.Slots,
			"loads": fmt.Sprintf("%g a second, %d at once", s.LoadsPerSecond, s.LoadsAtOnce), "cold": s.ColdStart, "rate": s.ColdPerSecond, "rates": fmt.Sprintf("%+v", s.Rates),
		} {
			put(kindService, string(s.Name), field, value)
		}
		for _, m := range s.Models {
			put(kindService, string(s.Name), "models/"+escape(string(m.Name)), fmt.Sprintf("%d servers, share %g, time factor %g, load %v, staged %v", m.Size, m.Share, m.TimeFactor, m.LoadTime, m.StagedLoadTime))
		}
	}
	for _, h := range r.KeyHolders {
		put(kindWorkspace, string(h.Workspace), nameField, fmt.Sprintf("%q", h.Workspace))
		if h.HasPriority {
			put(kindWorkspace, string(h.Workspace), "priority", h.Priority)
		}
	}
	for hash, workspace := range holdersOf(r) {
		put(kindWorkspace, string(workspace), "keys/"+hash, "held")
	}
	out["/limits/head"], out["/limits/body"] = fmt.Sprint(r.Limits.MaxHeaderBytes), fmt.Sprint(r.Limits.MaxBodyBytes)
	out["/limits/headers"], out["/limits/idle"] = r.Limits.HeaderTimeout.String(), r.Limits.IdleTimeout.String()
	out["/limits/keys"] = fmt.Sprint(r.RequiresKey || len(r.KeyHolders) > 0)
	return out
}

// splitText returns the services to which a route sends calls: "service a", or "a 90 %, b 10 %".
func splitText(r ring.Route) string {
	weights, total := map[ring.Service]int{}, 0
	for _, s := range r.TrafficSplit {
		if s.Weight > 0 {
			weights[s.Service] += s.Weight
			total += s.Weight
		}
	}
	names := slices.Sorted(maps.Keys(weights))
	switch len(names) {
	case 0:
		return "no service"
	case 1:
		return "service " + string(names[0])
	}
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %.4g %%", name, 100*float64(weights[name])/float64(total)))
	}
	return "services " + strings.Join(parts, ", ")
}

// destination returns where a table sends the calls to a host and prefix.
func destination(t *route.Table, key string) string {
	at := strings.IndexByte(key, '/')
	if at < 0 {
		at = len(key)
	}
	found, ok := t.Find(key[:at], key[at:])
	if !ok {
		return "get status 404"
	}
	if routeKey(found) == key {
		return "go to " + splitText(found)
	}
	return fmt.Sprintf("go to %s by route %s", splitText(found), routeKey(found))
}

// addRoute records what the differences of a route mean.
func (c *routingChanges) addRoute(i item) {
	what := "route " + i.name
	switch i.state {
	case itemAdded:
		c.add(what, "requests to %s now %s; before, they %s", i.name, destination(c.after, i.name), past(destination(c.before, i.name)))
		return
	case itemRemoved:
		c.add(what, "requests to %s now %s", i.name, destination(c.after, i.name))
		return
	}
	for _, d := range i.differences {
		c.add(what, "%s", c.routeEffect(i.name, d))
	}
}

// past returns a destination in the past tense.
func past(destination string) string {
	return strings.NewReplacer("go to", "went to", "get status", "got status").Replace(destination)
}

// routeEffect returns what a difference of a route with the host and prefix means.
func (c *routingChanges) routeEffect(key string, d difference) string {
	change, falls := movement(d.before, d.after)
	switch d.field[0] {
	case nameField:
		return "the name " + change + ": callers notice nothing"
	case "split":
		return fmt.Sprintf("requests to %s go to %s instead of %s", key, d.after, d.before)
	case "timeout":
		return timeoutEffect(d.before, d.after)
	case "kind":
		return "kind " + change + kindEffects[ring.CallKind(d.after)]
	case "attempts":
		if falls {
			return "number of attempts " + change + ": a request fails after fewer servers have refused it or failed"
		}
		return "number of attempts " + change + ": a request may be sent to more servers before it fails"
	case "priority":
		if falls {
			return "priority " + change + ": its requests are more urgent than before"
		}
		return "priority " + change + ": its requests give way to more others"
	case "public":
		return c.publicEffect(d.after == "true")
	case "resumable":
		if d.after == "true" {
			return "broken streams are continued at another server"
		}
		return "broken streams end: they are not continued at another server any more"
	case "models":
		if d.after == "true" {
			return "its requests count as those that carry a prompt for a model"
		}
		return "its requests no longer count as those that carry a prompt for a model"
	case "target":
		return "latency target " + change
	case "gap":
		return "target for the time between events " + change
	}
	return genericEffect(d)
}

// publicEffect returns what it means that a route is public now, or no longer. A configuration
// without workspaces needs no key, but refuses calls that carry one.
func (c *routingChanges) publicEffect(isPublic bool) string {
	switch {
	case isPublic && c.before.RequiresKey():
		return "calls need no key any more"
	case isPublic:
		return "calls with a key are not refused any more"
	case c.after.RequiresKey():
		return "calls need a key: those without one get status 401"
	}
	return "calls with a key get status 401: nobody holds one"
}

// kindEffects is what a new kind of a route means for its calls.
var kindEffects = map[ring.CallKind]string{
	ring.CallIdempotent:    ": calls may run more than once",
	ring.CallNonIdempotent: ": calls run at most once and are not repeated after a failure",
	ring.CallStream:        ": responses are streams of events",
}

// addService records what the differences of a service mean.
func (c *routingChanges) addService(i item) {
	what := "service " + i.name
	switch i.state {
	case itemAdded:
		c.add(what, "is new; its routes say who reaches it")
		return
	case itemRemoved:
		c.add(what, "is removed: calls that a route still sends to it fail")
		return
	}
	for _, d := range i.differences {
		change, falls := movement(d.before, d.after)
		switch {
		case d.field[0] == "models" && d.before == "":
			c.add(what, "model %s is new: %s", unescape(d.field[1]), d.after)
		case d.field[0] == "models" && d.after == "":
			c.add(what, "model %s is removed: requests for it fail", unescape(d.field[1]))
		case d.field[0] == "models":
			c.add(what, "model %s %s", unescape(d.field[1]), change)
		case d.field[0] == "replicas":
			c.add(what, "runs models: %s instead of %s; requests under way are refused when they are sent again", d.after, d.before)
		case d.field[0] == "slots" && falls:
			c.add(what, "number of slots %s: a replica serves fewer requests at a time", change)
		case d.field[0] == "slots":
			c.add(what, "number of slots %s: a replica serves more requests at a time", change)
		case (d.field[0] == "cold" || d.field[0] == "rate") && strings.HasPrefix(d.after, "-"):
			c.add(what, "what holds for a cold server cannot be read: nodes keep what they have, or a safe value")
		case d.field[0] == "cold":
			c.add(what, "time for which a server is cold after its start %s", change)
		case d.field[0] == "rate":
			c.add(what, "rate of requests to a cold server %s", change)
		case d.field[0] == "health":
			c.add(what, "path of the health check %s", change)
		default:
			c.add(what, "%s", genericEffect(d))
		}
	}
}

// addWorkspace records what the differences of a workspace mean.
func (c *routingChanges) addWorkspace(i item) {
	what := "workspace " + i.name
	added, removed, moved, gained := 0, 0, map[ring.Workspace]int{}, map[ring.Workspace]int{}
	for _, d := range i.differences {
		if d.field[0] != "keys" {
			continue
		}
		holder, isHeld := c.holders[d.field[1]]
		former, wasHeld := c.formerHolders[d.field[1]]
		switch {
		case d.before == "" && wasHeld:
			gained[former]++
		case d.before == "":
			added++
		case isHeld:
			moved[holder]++
		default:
			removed++
		}
	}
	if removed > 0 {
		c.add(what, "callers lose access with %s: status 401", counted(removed, "key"))
	}
	for _, holder := range slices.Sorted(maps.Keys(moved)) {
		c.add(what, "callers with %s count as those of workspace %s", counted(moved[holder], "key"), holder)
	}
	for _, former := range slices.Sorted(maps.Keys(gained)) {
		c.add(what, "callers with %s of workspace %s count as its own", counted(gained[former], "key"), former)
	}
	if added > 0 {
		c.add(what, "callers get access with %s", counted(added, "key"))
	}
	if i.state != itemKept {
		if added+removed+len(moved)+len(gained) == 0 {
			c.add(what, "has no key: callers notice nothing")
		}
		return
	}
	for _, d := range i.differences {
		if d.field[0] != "priority" {
			continue
		}
		if d.after == "" {
			c.add(what, "the priority of %s is removed: that of routes holds", d.before)
			continue
		}
		change, _ := movement(d.before, d.after)
		c.add(what, "priority %s, which precedes that of routes", change)
	}
}

// addLimits records what the differences of the limits on callers' requests mean.
func (c *routingChanges) addLimits(i item) {
	for _, d := range i.differences {
		change, falls := movement(d.before, d.after)
		effect := map[string]string{"head": "largest head of a request ", "body": "largest body of a request ", "headers": "time for a head ", "idle": "time for which a connection may be idle "}[d.field[0]] + change
		switch {
		case d.field[0] == "keys" && d.after == "true":
			effect = "calls to routes that are not public need a key: those without one get status 401"
		case d.field[0] == "keys":
			effect = "calls need no key any more; those with one get status 401 if their route is not public"
		case d.field[0] == "body" && isUnlimited(d.after):
			effect = "largest body of a request is not limited any more: the nodes' own limit holds"
		case d.field[0] == "body" && isUnlimited(d.before):
			effect = "largest body of a request is limited to " + d.after + ": requests with longer bodies get status 413"
		case d.field[0] == "body" && falls:
			effect += ": requests with longer bodies get status 413"
		case d.field[0] != "body":
			effect += ": callers are to keep to it, but the nodes' own limits hold"
		}
		c.add("limits", "%s", effect)
	}
}

// isUnlimited reports whether a limit limits nothing.
func isUnlimited(limit string) bool {
	value, _ := number(limit)
	return value <= 0
}
