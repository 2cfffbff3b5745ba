// Package experiment simulates request routing and admission in virtual time:
// arrivals drawn from a seed, nodes that learn each other's state with a
// delay, and simulated groups. The same seed gives the same figures.
//
// Terms:
//
//   - Scenario: the deployment and the traffic of one experiment.
//   - Policy: a way to choose a group; see package routing.
//   - Oracle: a policy with one node that knows the true state of all groups
//     and caches. It cannot be implemented; the other policies are compared
//     with it.
//
// Invariant: every request ends once, answered or refused.
package experiment

import (
	"fmt"
	"time"

	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/strictjson"
)

// Scenario is one experiment, read from a file of JSON with comments.
type Scenario struct {
	Name  string `json:"name"`
	Nodes int    `json:"nodes"`
	// Groups are spread round-robin over the availability zones.
	Groups int `json:"groups"`
	Zones  int `json:"zones"`
	// Slots is how many requests a group runs at a time.
	Slots int `json:"slots"`
	// Load is the request load: the share of all slots that the traffic occupies
	// on average.
	Load     float64             `json:"load"`
	Duration deployment.Duration `json:"span"`
	Seed     uint64              `json:"seed"`
	// OutputTokens is the mean length of a response; lengths are lognormal.
	OutputTokens int `json:"tokens"`
	// PrefillTime applies to a prompt whose prefix is not cached, and
	// CachedPrefillTime to one whose prefix is. A group prefills one prompt at a
	// time.
	PrefillTime       deployment.Duration `json:"prefill"`
	CachedPrefillTime deployment.Duration `json:"cached"`
	// TokenGap is the time between tokens of an idle group; in a full group it
	// is half as long again.
	TokenGap deployment.Duration `json:"gap"`
	// Prefixes is how many prefixes each workspace uses, in a Zipf distribution,
	// and CacheSize is how many a group caches.
	Prefixes  int `json:"prefixes"`
	CacheSize int `json:"cache"`
	// HeartbeatInterval is how often a node reports its requests to the others.
	HeartbeatInterval deployment.Duration `json:"heartbeat"`
	// MaxWait is how long a request may wait in a node's queue.
	MaxWait    deployment.Duration `json:"patience"`
	Workspaces []Workspace         `json:"workspaces"`
	Faults     []Fault             `json:"faults,omitempty"`
}

// Workspace holds the limits and the traffic of one workspace.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the workspace's share of starts when requests are queued; Limit is
	// its maximum of running requests on all nodes together.
	Weight int `json:"weight"`
	Limit  int `json:"limit"`
	// Share is its share of the traffic, relative to the other workspaces'.
	Share float64 `json:"share"`
	// FloodFactor multiplies its traffic in the middle third of the run.
	FloodFactor float64 `json:"flood,omitempty"`
}

// Fault is a failure that is injected at a given time.
type Fault struct {
	// Kind is "zone": all groups and nodes of an availability zone fail; or
	// "slow": one group takes Factor times as long.
	Kind   string              `json:"kind"`
	At     deployment.Duration `json:"at"`
	Zone   int                 `json:"zone,omitempty"`
	Group  int                 `json:"group,omitempty"`
	Factor float64             `json:"factor,omitempty"`
}

// Parse reads and validates a scenario in JSON with comments.
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
		return s, fmt.Errorf("a scenario needs at least one workspace and a load above 0")
	}
	return s, nil
}

// meanServiceTime returns the mean time that a request with a cached prefix holds
// its slot.
func (s Scenario) meanServiceTime() time.Duration {
	gap := time.Duration(float64(s.TokenGap) * (1 + fullGroupSlowdown*s.Load))
	return time.Duration(s.CachedPrefillTime) + time.Duration(s.OutputTokens)*gap
}

// arrivalRate returns the arrivals per second that produce the scenario's Load.
func (s Scenario) arrivalRate() float64 {
	return s.Load * float64(s.Groups*s.Slots) / s.meanServiceTime().Seconds()
}

// fullGroupSlowdown is the relative increase of the time between tokens in a
// full group.
const fullGroupSlowdown = 0.5
