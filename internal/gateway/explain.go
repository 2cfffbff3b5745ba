package gateway

import (
	"fmt"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/limit"
	"eelgrassring.dev/internal/node"
)

// Explanation describes whether a request would start now, and why.
type Explanation struct {
	Outcome string        `json:"outcome"`
	Code    int           `json:"code,omitempty"`
	Reason  string        `json:"reason"`
	Running int           `json:"running"`
	Share   int           `json:"share"`
	Limit   int           `json:"limit"`
	Groups  []GroupReason `json:"groups"`
}

// GroupReason describes why a group could or could not serve the request.
type GroupReason struct {
	Group  ring.Group  `json:"group"`
	Serves bool        `json:"serves"`
	Reason node.Reason `json:"reason,omitempty"`
	VM     ring.VM     `json:"vm,omitempty"`
	Load   float64     `json:"load"`
	Slots  int         `json:"slots"`
}

// Explain predicts the outcome of a request to a model if it arrived now.
func (s *Server) Explain(w ring.Workspace, a ring.Application, model string) Explanation {
	c, _ := s.table.Configuration()
	if c == nil {
		return refusedExplanation(ring.CodeNoConfiguration, "no configuration is active yet")
	}
	caller, ok := findCaller(c, w, a)
	if !ok {
		return refusedExplanation(ring.CodeBadKey, fmt.Sprintf("no application %s in workspace %s", a, w))
	}
	target, ok := c.ResolveTarget(model)
	if !ok {
		return refusedExplanation(ring.CodeUnknownModel, fmt.Sprintf("no model %q", model))
	}
	if !caller.Application.MayUse(target.Model) {
		return refusedExplanation(ring.CodeNotAllowed, fmt.Sprintf("application %s may not use model %q", a, target.Model))
	}
	return s.explainTarget(c, caller, target, time.Now())
}

func refusedExplanation(code ring.Code, reason string) Explanation {
	return Explanation{Outcome: "refused", Code: int(code), Reason: reason}
}

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
