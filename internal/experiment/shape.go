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

// Scenario is one experiment, as its file in JSON with comments declares it.
type Scenario struct {
	Name  string `json:"name"`
	Nodes int    `json:"nodes"`
	// Groups are spread over the zones in turn.
	Groups int `json:"groups"`
	Zones  int `json:"zones"`
	Slots  int `json:"slots"`
	// Load is the part of all slots that the traffic fills on average.
	Load     float64             `json:"load"`
	Duration deployment.Duration `json:"span"`
	Seed     uint64              `json:"seed"`
	// OutputTokens is the mean length of an answer; lengths are lognormal.
	OutputTokens int `json:"tokens"`
	// PrefillTime is the time for a prompt whose prefix is not cached, Cached for
	// one whose prefix is. A group prefills one prompt at a time.
	PrefillTime       deployment.Duration `json:"prefill"`
	CachedPrefillTime deployment.Duration `json:"cached"`
	// TokenGap is the time between tokens of an idle group; a full one takes half
	// as long again.
	TokenGap deployment.Duration `json:"gap"`
	// Prefixes is how many prefixes each workspace uses, drawn by rank, and
	// Cache how many a group holds.
	Prefixes  int `json:"prefixes"`
	CacheSize int `json:"cache"`
	// HeartbeatInterval is how often a node tells the others what it has.
	HeartbeatInterval deployment.Duration `json:"heartbeat"`
	MaxWait           deployment.Duration `json:"patience"`
	Workspaces        []Workspace         `json:"workspaces"`
	Faults            []Fault             `json:"faults,omitempty"`
}

// Workspace is one customer's part of the traffic.
type Workspace struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	Limit  int    `json:"limit"`
	// Share is its part of the traffic, relative to the others'.
	Share float64 `json:"share"`
	// FloodFactor multiplies its traffic in the middle third of the span.
	FloodFactor float64 `json:"flood,omitempty"`
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
func Parse(text []byte) (Scenario, error) {
	var s Scenario
	parsed, err := strictjson.Parse(text)
	if err != nil {
		return s, err
	}
	if err := parsed.Decode(&s); err != nil {
		return s, err
	}
	for path, n := range map[string]int{"/nodes": s.Nodes, "/groups": s.Groups, "/slots": s.Slots, "/tokens": s.OutputTokens, "/zones": s.Zones} {
		if n <= 0 {
			return s, strictjson.Faults{{Path: path, Position: parsed.PositionOf(path), Message: "must be at least 1"}}
		}
	}
	if len(s.Workspaces) == 0 || s.Load <= 0 {
		return s, fmt.Errorf("a shape needs workspaces and a load above 0")
	}
	return s, nil
}

// meanServiceTime is the mean time that a request holds its slot.
func (s Scenario) meanServiceTime() time.Duration {
	gap := time.Duration(float64(s.TokenGap) * (1 + fullGroupSlowdown*s.Load))
	return time.Duration(s.CachedPrefillTime) + time.Duration(s.OutputTokens)*gap
}

// arrivalRate returns the arrivals per second that give the load.
func (s Scenario) arrivalRate() float64 {
	return s.Load * float64(s.Groups*s.Slots) / s.meanServiceTime().Seconds()
}

// fullGroupSlowdown is how much longer the time between tokens is in a full group.
const fullGroupSlowdown = 0.5
