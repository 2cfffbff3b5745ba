package gateway

import (
	"fmt"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/limit"
	"eelgrassring.dev/internal/node"
)

// Explanation predicts what would happen to a request now, and why.
type Explanation struct {
	Outcome string `json:"outcome"`
	// Code is the code of the failure, or 0 without one.
	Code   int    `json:"code,omitempty"`
	Reason string `json:"reason"`
	// Running, Share and Limit are the workspace's running requests at this node, how
	// many may run there, and how many may run on all nodes.
	Running int           `json:"running"`
	Share   int           `json:"share"`
	Limit   int           `json:"limit"`
	Groups  []GroupReason `json:"groups"`
}

// GroupReason describes why a group, a replica or a single server could or could not
// serve the request.
type GroupReason struct {
	Group ring.Group `json:"group"`
	// Serves is set if the group serves the requested model.
	Serves bool `json:"serves"`
	// Reason is why the group gets no requests, or empty.
	Reason node.Reason `json:"reason,omitempty"`
	// VM is the member that Reason is about, or the server that takes the requests.
	VM ring.VM `json:"vm,omitempty"`
	// Load is the number of requests at the group, and Slots how many it runs at once.
	Load  float64 `json:"load"`
	Slots int     `json:"slots"`
}

// Explain predicts the outcome of a request by an application of a workspace to a model
// if it arrived now.
func (s *Server) Explain(workspace ring.Workspace, application ring.Application, model string) Explanation {
	c, _ := s.table.Configuration()
	if c == nil {
		return refusedExplanation(ring.CodeNoConfiguration, "no configuration is active yet")
	}
	caller, ok := findCaller(c, workspace, application)
	if !ok {
		return refusedExplanation(ring.CodeBadKey, fmt.Sprintf("no application %s in workspace %s", application, workspace))
	}
	target, ok := c.ResolveTarget(model)
	if !ok {
		return refusedExplanation(ring.CodeUnknownModel, fmt.Sprintf("no model %q", model))
	}
	if !caller.Application.MayUse(target.Model) {
		return refusedExplanation(ring.CodeNotAllowed, fmt.Sprintf("application %s may not use model %q", application, target.Model))
	}
	return s.explainTarget(c, caller, target, time.Now())
}

// refusedExplanation returns the explanation of a request that is refused with a code.
func refusedExplanation(code ring.Code, reason string) Explanation {
	return Explanation{Outcome: "refused", Code: int(code), Reason: reason}
}

// findCaller returns the application a of the workspace w, or false if the
// configuration has none.
func findCaller(c *deployment.Configuration, w ring.Workspace, a ring.Application) (deployment.Caller, bool) {
	for _, workspace := range c.Workspaces() {
		if workspace.Name != w {
			continue
		}
		for _, app := range workspace.Applications {
			if app.Name == a {
				return deployment.Caller{Workspace: workspace, Application: app}, true
			}
		}
	}
	return deployment.Caller{}, false
}

// explainTarget predicts the outcome of a permitted request to a model from the
// workspace's limit and the state of the groups.
func (s *Server) explainTarget(c *deployment.Configuration, caller deployment.Caller, target deployment.Target, now time.Time) Explanation {
	s.scheduler.mu.Lock()
	own := limit.Demand{Running: s.scheduler.running[caller.Workspace.Name], Queued: s.scheduler.queue.LenOf(caller.Workspace.Name)}
	since := s.scheduler.demandSince[caller.Workspace.Name]
	s.scheduler.mu.Unlock()
	view := s.table.LimitView(caller.Workspace.Name, caller.Workspace.Limit, own, since, now)
	out := Explanation{Running: own.Running, Share: limit.Share(view), Limit: view.Limit}
	serving, free := 0, 0
	for _, d := range c.Groups() {
		if d.Model != target.Model {
			continue
		}
		g := s.table.Group(d.Name, now)
		group := GroupReason{Group: d.Name, Serves: target.Serves(g.Record.Record.Spec), Reason: g.Reason, VM: g.VM, Load: g.EstimatedRequests, Slots: d.Slots}
		out.Groups = append(out.Groups, group)
		if group.Serves && group.Reason == node.ReasonNone {
			serving++
			if group.Load < float64(d.Slots) {
				free++
			}
		}
	}
	switch {
	case serving == 0:
		out.Outcome, out.Code, out.Reason = "waits or refused", int(ring.CodeNoGroup), "no complete group serves the model now"
	case !limit.Admits(view):
		out.Outcome, out.Reason = "waits", "the workspace has reached its limit, or this node's share of it"
	case free == 0:
		out.Outcome, out.Reason = "waits", "no group has a free slot"
	default:
		out.Outcome, out.Reason = "starts", fmt.Sprintf("%d of %d complete groups have a free slot", free, serving)
	}
	return out
}
