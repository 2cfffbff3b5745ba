package experiment

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/golden"
	"eelgrassring.dev/internal/routing"
)

// The targets of the design for PolicyAffinity.
const (
	firstTokenBound = 0.38  // seconds, P95
	tokenGapBound   = 0.028 // seconds, P95
	meanRatioBound  = 1.25  // mean time to the first token relative to the oracle's
	hitRatioBound   = 0.90  // prefix hits relative to the oracle's
	floodRatioBound = 1.10  // other workspaces' P95 relative to that without the flood
	attemptsBound   = 1.2   // attempts per request after an availability zone failed
)

// runNamed runs the embedded scenario with the given name under a policy.
func runNamed(t *testing.T, name string, p Policy) Result {
	t.Helper()
	s, err := ByName(name)
	if err != nil {
		t.Fatal(err)
	}
	return Run(s, p)
}

// TestLatencyAndHitTargets checks the latency and cache hit targets at 80%
// load, and that PolicyAffinity is faster than all policies but the oracle.
func TestLatencyAndHitTargets(t *testing.T) {
	for _, name := range []string{"ferrando", "cooperative"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			affinity, oracle := runNamed(t, name, PolicyAffinity), runNamed(t, name, PolicyOracle)
			t.Logf("first token P95 %.3f s, token gap P95 %.4f s, hits %.2f of the oracle's, %.2f reserve requests and %.2f slot updates per request",
				affinity.FirstTokenP95, affinity.TokenGapP95, affinity.PrefixHits/oracle.PrefixHits, affinity.ReserveRequests, affinity.SlotUpdates)
			is.True(affinity.FirstTokenP95 <= firstTokenBound)
			is.True(affinity.TokenGapP95 <= tokenGapBound)
			is.True(affinity.PrefixHits >= hitRatioBound*oracle.PrefixHits)
			is.Equal(affinity.Refused, 0)
			for _, p := range []Policy{PolicyAffinityUnreserved, PolicyRandom, PolicyRoundRobin, PolicyLeastOutstanding, PolicyPowerOfTwo} {
				is.True(affinity.FirstTokenMean < runNamed(t, name, p).FirstTokenMean) // better than each baseline
			}
		})
	}
}

// PolicyAffinity must not exceed the oracle's mean time to the first token by
// more than meanRatioBound allows, in the ferrando scenario.
func TestMeanFirstTokenFerrando(t *testing.T) {
	is := is.New(t)
	ratio := runNamed(t, "ferrando", PolicyAffinity).FirstTokenMean / runNamed(t, "ferrando", PolicyOracle).FirstTokenMean
	t.Logf("mean time to the first token is %.3f times the oracle's", ratio)
	is.True(ratio <= meanRatioBound)
}

// The same bound as in TestMeanFirstTokenFerrando, for the cooperative
// scenario.
func TestMeanFirstTokenCooperative(t *testing.T) {
	is := is.New(t)
	ratio := runNamed(t, "cooperative", PolicyAffinity).FirstTokenMean / runNamed(t, "cooperative", PolicyOracle).FirstTokenMean
	t.Logf("mean time to the first token is %.3f times the oracle's", ratio)
	is.True(ratio <= meanRatioBound)
}

// With seed 25, requests with the same prefixes collide at their groups more
// often.
func TestMeanFirstTokenCooperativeSeed25(t *testing.T) {
	is := is.New(t)
	s, err := ByName("cooperative")
	is.NoErr(err)
	s.Seed = 25
	ratio := Run(s, PolicyAffinity).FirstTokenMean / Run(s, PolicyOracle).FirstTokenMean
	t.Logf("mean time to the first token is %.3f times the oracle's", ratio)
	is.True(ratio <= meanRatioBound)
}

// A workspace that sends far more requests than usual must not raise the
// latency of the other workspaces, compared with the scenario without the
// flood.
func TestFloodDoesNotSlowOtherWorkspaces(t *testing.T) {
	is := is.New(t)
	flood, calm := runNamed(t, "flood", PolicyAffinity), runNamed(t, "calm", PolicyAffinity)
	for i := 1; i < len(calm.WorkspaceP95); i++ {
		is.True(flood.WorkspaceP95[i] <= floodRatioBound*calm.WorkspaceP95[i])
	}
	is.True(flood.Refused > 0) // requests of the flood are shed
}

// When an availability zone fails, the retry budget must keep the number of
// attempts per request low.
func TestNoRetryStormAfterZoneFailure(t *testing.T) {
	is := is.New(t)
	r := runNamed(t, "zone", PolicyAffinity)
	is.True(r.Attempts < attemptsBound)
	is.Equal(r.Requests, r.Answered+r.Refused) // every request ends exactly once
	is.True(r.FirstTokenP95 <= firstTokenBound)
}

// One slow group must not raise the P95 time to the first token of all requests
// above its target.
func TestSlowGroupKeepsFirstTokenTarget(t *testing.T) {
	is := is.New(t)
	is.True(runNamed(t, "straggler", PolicyAffinity).FirstTokenP95 <= firstTokenBound)
}

// Compares the figures of all scenarios and policies with the golden file; the
// same seed gives the same figures.
func TestGoldenResults(t *testing.T) {
	scenarios, err := Scenarios()
	if err != nil {
		t.Fatal(err)
	}
	var out []byte
	for _, s := range scenarios {
		for _, p := range Policies() {
			line, err := json.Marshal(Run(s, p))
			if err != nil {
				t.Fatal(err)
			}
			out = append(append(out, line...), '\n')
		}
	}
	golden.Check(t, "results.json", out)
}

// candidates returns n candidate groups with random hashes and request loads.
func candidates(n int) []routing.Candidate {
	random := rand.New(rand.NewPCG(1, 1))
	out := make([]routing.Candidate, n)
	for i := range out {
		out[i] = routing.Candidate{Hash: random.Uint64(), Capacity: 16, Load: float64(random.IntN(15))}
	}
	return out
}

// Each request picks a group, so a pick must not allocate memory, even with 775
// groups.
func TestPickDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	c := candidates(775)
	key := uint64(0)
	is.Equal(testing.AllocsPerRun(100, func() {
		key++
		routing.Affinity{}.Pick(key, c, nil)
	}), 0.0)
}

// BenchmarkPick measures one pick of PolicyAffinity by the number of groups.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 194, 775} {
		c := candidates(n)
		b.Run(benchmarkName(n), func(b *testing.B) {
			for i := range b.N {
				routing.Affinity{}.Pick(uint64(i)*0x9e3779b97f4a7c15, c, nil)
			}
		})
	}
}

// benchmarkName returns the name of the benchmark with n groups.
func benchmarkName(n int) string {
	text, _ := json.Marshal(n)
	return string(text) + " groups"
}
