package experiment

import (
	"math"
	"sort"
	"time"
)

// lengthSigma is the sigma parameter of the lognormal response lengths.
const lengthSigma = 0.6

// lognormalMu returns the mu parameter of a lognormal distribution with the
// given mean and lengthSigma.
func lognormalMu(mean int) float64 {
	return math.Log(float64(mean)) - lengthSigma*lengthSigma/2
}

func pow(base, exponent float64) float64 { return math.Pow(base, exponent) }

// sortByID sorts requests by arrival, so that the order of a map does not
// change the results.
func sortByID(rs []*request) {
	sort.Slice(rs, func(i, j int) bool { return rs[i].id < rs[j].id })
}

// Result holds the figures of one run. Times are in seconds.
type Result struct {
	Scenario string `json:"shape"`
	Policy   Policy `json:"policy"`
	// Requests is the sum of Answered and Refused. Attempts is the mean per
	// request.
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Attempts float64 `json:"tries"`
	// ReserveRequests and SlotUpdates are the messages to home nodes per request.
	ReserveRequests float64 `json:"asks"`
	SlotUpdates     float64 `json:"notes"`
	// FirstTokenMean and FirstTokenP95 are of the time to the first token,
	// TokenGapP95 is of the time between tokens, and PrefixHits is the share of
	// prompts with a cached prefix.
	FirstTokenMean float64 `json:"mean"`
	FirstTokenP95  float64 `json:"p95"`
	TokenGapP95    float64 `json:"gap"`
	PrefixHits     float64 `json:"hits"`
	// WorkspaceP95 holds the P95 time to the first token of each workspace.
	WorkspaceP95 []float64 `json:"workspaces"`
}

// collector collects the measurements of one run.
type collector struct {
	requests, answered, refused, attempts int
	reserveRequests, slotUpdates          int
	prefixHits, prefills                  int
	firstTokenTimes                       []time.Duration
	tokenGaps                             []time.Duration
	workspaceFirstTokens                  [][]time.Duration
	hasFirstToken                         map[uint64]bool
}

// newCollector returns an empty collector for the given number of workspaces.
func newCollector(workspaces int) *collector {
	return &collector{workspaceFirstTokens: make([][]time.Duration, workspaces), hasFirstToken: map[uint64]bool{}}
}

// recordArrival counts a new request.
func (c *collector) recordArrival(*request) { c.requests++ }

// recordPrefill counts a prefill; hit is whether the prefix was cached.
func (c *collector) recordPrefill(hit bool) {
	c.prefills++
	if hit {
		c.prefixHits++
	}
}

// recordFirstToken records the time to the first token. A replay after a
// failure does not count again because the caller already has its first token.
func (c *collector) recordFirstToken(r *request, d time.Duration) {
	if c.hasFirstToken[r.id] {
		return
	}
	c.hasFirstToken[r.id] = true
	c.firstTokenTimes = append(c.firstTokenTimes, d)
	c.workspaceFirstTokens[r.workspace] = append(c.workspaceFirstTokens[r.workspace], d)
}

// recordTokenGap records the time between tokens of one attempt.
func (c *collector) recordTokenGap(d time.Duration) { c.tokenGaps = append(c.tokenGaps, d) }

// recordOutcome counts the end of a request, which was answered or refused.
func (c *collector) recordOutcome(answered bool) {
	if answered {
		c.answered++
		return
	}
	c.refused++
}

// summarize returns the figures of the run.
func (c *collector) summarize(scenario Scenario, policy Policy) Result {
	out := Result{
		Scenario: scenario.Name, Policy: policy, Requests: c.requests, Answered: c.answered, Refused: c.refused,
		Attempts:        float64(c.attempts) / float64(max(1, c.requests)),
		ReserveRequests: float64(c.reserveRequests) / float64(max(1, c.requests)),
		SlotUpdates:     float64(c.slotUpdates) / float64(max(1, c.requests)),
		FirstTokenMean:  mean(c.firstTokenTimes), FirstTokenP95: quantile(c.firstTokenTimes, 0.95), TokenGapP95: quantile(c.tokenGaps, 0.95),
		PrefixHits: float64(c.prefixHits) / float64(max(1, c.prefills)),
	}
	for _, w := range c.workspaceFirstTokens {
		out.WorkspaceP95 = append(out.WorkspaceP95, quantile(w, 0.95))
	}
	return out
}

// mean returns the mean in seconds, or 0 without values.
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

// quantile returns the q-quantile in seconds, or 0 without values.
func quantile(ds []time.Duration, q float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), ds...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(at, 0)].Seconds()
}
