package experiment

import (
	"math"
	"sort"
	"time"
)

// lengthSigma is the spread of the lengths of answers.
const lengthSigma = 0.6

// logMean returns the location of a lognormal distribution with the mean.
func logMean(mean int) float64 {
	return math.Log(float64(mean)) - lengthSigma*lengthSigma/2
}

func pow(base, exponent float64) float64 { return math.Pow(base, exponent) }

func sortByID(rs []*request) {
	sort.Slice(rs, func(i, j int) bool { return rs[i].id < rs[j].id })
}

// Result holds the figures of one run. Times are in seconds.
type Result struct {
	Shape    string  `json:"shape"`
	Policy   Policy  `json:"policy"`
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Tries    float64 `json:"tries"`
	// Asks and Notes are the messages to homes, per request.
	Asks  float64 `json:"asks"`
	Notes float64 `json:"notes"`
	// Mean and P95 are of the time to the first token, GapP95 of the time
	// between tokens, Hits the part of prompts with a cached prefix.
	Mean   float64 `json:"mean"`
	P95    float64 `json:"p95"`
	GapP95 float64 `json:"gap"`
	Hits   float64 `json:"hits"`
	// Workspaces holds P95 of each workspace.
	Workspaces []float64 `json:"workspaces"`
}

type collector struct {
	requests, answered, refused, tries int
	asks, notes                        int
	hits, prefixes                     int
	firsts                             []time.Duration
	gaps                               []time.Duration
	byWorkspace                        [][]time.Duration
	seen                               map[uint64]bool
}

func newCollector(workspaces int) *collector {
	return &collector{byWorkspace: make([][]time.Duration, workspaces), seen: map[uint64]bool{}}
}

func (c *collector) arrived(*request) { c.requests++ }

func (c *collector) prefix(hit bool) {
	c.prefixes++
	if hit {
		c.hits++
	}
}

// first takes the time to the first token; a replay after a failure does not
// count again, for the caller has its first token.
func (c *collector) first(r *request, d time.Duration) {
	if c.seen[r.id] {
		return
	}
	c.seen[r.id] = true
	c.firsts = append(c.firsts, d)
	c.byWorkspace[r.workspace] = append(c.byWorkspace[r.workspace], d)
}

func (c *collector) gap(d time.Duration) { c.gaps = append(c.gaps, d) }

func (c *collector) ended(answered bool) {
	if answered {
		c.answered++
		return
	}
	c.refused++
}

func (c *collector) result(shape Shape, policy Policy) Result {
	out := Result{
		Shape: shape.Name, Policy: policy, Requests: c.requests, Answered: c.answered, Refused: c.refused,
		Tries: float64(c.tries) / float64(max(1, c.requests)),
		Asks:  float64(c.asks) / float64(max(1, c.requests)),
		Notes: float64(c.notes) / float64(max(1, c.requests)),
		Mean:  mean(c.firsts), P95: quantile(c.firsts, 0.95), GapP95: quantile(c.gaps, 0.95),
		Hits: float64(c.hits) / float64(max(1, c.prefixes)),
	}
	for _, w := range c.byWorkspace {
		out.Workspaces = append(out.Workspaces, quantile(w, 0.95))
	}
	return out
}

func mean(ds []time.Duration) float64 {
	if len(ds) == 0 {
		return 0
	}
	var sum time.Duration
	for _, d := range ds {
		sum += d
	}
	return sum.Seconds() / float64(len(ds))
}

func quantile(ds []time.Duration, q float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), ds...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(at, 0)].Seconds()
}
