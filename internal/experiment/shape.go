// Package experiment measures the decision cores in virtual time: arrivals by
// seed, nodes with late knowledge of each other, and fakes of the groups. The
// same seed gives the same figures.
//
// Terms:
//
//   - Shape: the deployment and the traffic of one experiment.
//   - Policy: a way to choose a group; see package routing.
//   - Oracle: a policy with perfect knowledge of all groups and caches at one
//     place. It cannot be built; it is the limit that others are held against.
//
// Invariant: every request ends once, answered or refused.
package experiment

import (
	"fmt"
	"time"

	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/strictjson"
)

// Shape is one experiment, as its file in JSON with comments declares it.
type Shape struct {
	Name  string `json:"name"`
	Nodes int    `json:"nodes"`
	// Groups are spread over the zones in turn.
	Groups int `json:"groups"`
	Zones  int `json:"zones"`
	Slots  int `json:"slots"`
	// Load is the part of all slots that the traffic fills on average.
	Load float64             `json:"load"`
	Span deployment.Duration `json:"span"`
	Seed uint64              `json:"seed"`
	// Tokens is the mean length of an answer; lengths are lognormal.
	Tokens int `json:"tokens"`
	// Prefill is the time for a prompt whose prefix is not cached, Cached for
	// one whose prefix is. A group prefills one prompt at a time.
	Prefill deployment.Duration `json:"prefill"`
	Cached  deployment.Duration `json:"cached"`
	// Gap is the time between tokens of an idle group; a full one takes half
	// as long again.
	Gap deployment.Duration `json:"gap"`
	// Prefixes is how many prefixes each workspace uses, drawn by rank, and
	// Cache how many a group holds.
	Prefixes int `json:"prefixes"`
	Cache    int `json:"cache"`
	// Heartbeat is how often a node tells the others what it has.
	Heartbeat  deployment.Duration `json:"heartbeat"`
	Patience   deployment.Duration `json:"patience"`
	Workspaces []Workspace         `json:"workspaces"`
	Faults     []Fault             `json:"faults,omitempty"`
}

// Workspace is one customer's part of the traffic.
type Workspace struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	Limit  int    `json:"limit"`
	// Share is its part of the traffic, relative to the others'.
	Share float64 `json:"share"`
	// Flood multiplies its traffic in the middle third of the span.
	Flood float64 `json:"flood,omitempty"`
}

// Fault is a declared failure.
type Fault struct {
	// Kind is "zone": all groups and nodes of a zone end; or "slow": one group
	// takes Factor times as long.
	Kind   string              `json:"kind"`
	At     deployment.Duration `json:"at"`
	Zone   int                 `json:"zone,omitempty"`
	Group  int                 `json:"group,omitempty"`
	Factor float64             `json:"factor,omitempty"`
}

// Parse reads a shape.
func Parse(text []byte) (Shape, error) {
	var s Shape
	parsed, err := strictjson.Parse(text)
	if err != nil {
		return s, err
	}
	if err := parsed.Decode(&s); err != nil {
		return s, err
	}
	for path, n := range map[string]int{"/nodes": s.Nodes, "/groups": s.Groups, "/slots": s.Slots, "/tokens": s.Tokens, "/zones": s.Zones} {
		if n <= 0 {
			return s, strictjson.Faults{{Path: path, Position: parsed.PositionOf(path), Message: "must be at least 1"}}
		}
	}
	if len(s.Workspaces) == 0 || s.Load <= 0 {
		return s, fmt.Errorf("a shape needs workspaces and a load above 0")
	}
	return s, nil
}

// meanService is the mean time that a request holds its slot.
func (s Shape) meanService() time.Duration {
	gap := time.Duration(float64(s.Gap) * (1 + fullSlowdown*s.Load))
	return time.Duration(s.Cached) + time.Duration(s.Tokens)*gap
}

// rate returns the arrivals per second that give the load.
func (s Shape) rate() float64 {
	return s.Load * float64(s.Groups*s.Slots) / s.meanService().Seconds()
}

// fullSlowdown is how much longer the time between tokens is in a full group.
const fullSlowdown = 0.5
