package experiment

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/golden"
	"eelgrassring.dev/internal/routing"
)

// The stated targets.
const (
	firstTokenBound = 0.38  // seconds, for 95 in 100
	gapBound        = 0.028 // seconds, for 95 in 100
	waitBound       = 1.25  // mean time to the first token over the oracle's
	hitBound        = 0.90  // prefix hits over the oracle's
	floodBound      = 1.10  // P95 of the others over that without the flood
	triesBound      = 1.2   // tries per request after the loss of a zone
)

func run(t *testing.T, name string, p Policy) Result {
	t.Helper()
	s, err := ByName(name)
	if err != nil {
		t.Fatal(err)
	}
	return Run(s, p)
}

func TestTargetsAtToday(t *testing.T) {
	for _, name := range []string{"ferrando", "cooperative"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			own, oracle := run(t, name, PolicyAffinity), run(t, name, PolicyOracle)
			t.Logf("p95 %.3f s, gap p95 %.4f s, hits %.2f of the oracle's, %.2f asks and %.2f notes a request",
				own.P95, own.GapP95, own.Hits/oracle.Hits, own.Asks, own.Notes)
			is.True(own.P95 <= firstTokenBound)
			is.True(own.GapP95 <= gapBound)
			is.True(own.Hits >= hitBound*oracle.Hits)
			is.Equal(own.Refused, 0)
			for _, p := range []Policy{PolicyEstimate, PolicyRandom, PolicyRound, PolicyLeast, PolicyTwo} {
				is.True(own.Mean < run(t, name, p).Mean) // better than each baseline
			}
		})
	}
}

func TestMeanWaitFerrando(t *testing.T) {
	is := is.New(t)
	ratio := run(t, "ferrando", PolicyAffinity).Mean / run(t, "ferrando", PolicyOracle).Mean
	t.Logf("mean wait is %.3f times the oracle's", ratio)
	is.True(ratio <= waitBound)
}

func TestMeanWaitCooperative(t *testing.T) {
	is := is.New(t)
	ratio := run(t, "cooperative", PolicyAffinity).Mean / run(t, "cooperative", PolicyOracle).Mean
	t.Logf("mean wait is %.3f times the oracle's", ratio)
	is.True(ratio <= waitBound)
}

// The draw of seed 25 makes the same prefixes collide more often.
func TestMeanWaitCooperativeSeed25(t *testing.T) {
	is := is.New(t)
	s, err := ByName("cooperative")
	is.NoErr(err)
	s.Seed = 25
	ratio := Run(s, PolicyAffinity).Mean / Run(s, PolicyOracle).Mean
	t.Logf("mean wait is %.3f times the oracle's", ratio)
	is.True(ratio <= waitBound)
}

func TestFloodLeavesTheOthersAlone(t *testing.T) {
	is := is.New(t)
	flood, calm := run(t, "flood", PolicyAffinity), run(t, "calm", PolicyAffinity)
	for i := 1; i < len(calm.Workspaces); i++ {
		is.True(flood.Workspaces[i] <= floodBound*calm.Workspaces[i])
	}
	is.True(flood.Refused > 0) // the flood is shed
}

func TestNoRetryStormAfterLossOfZone(t *testing.T) {
	is := is.New(t)
	r := run(t, "zone", PolicyAffinity)
	is.True(r.Tries < triesBound)
	is.Equal(r.Requests, r.Answered+r.Refused) // every request ends once
	is.True(r.P95 <= firstTokenBound)
}

func TestStragglerDoesNotSlowTheRest(t *testing.T) {
	is := is.New(t)
	is.True(run(t, "straggler", PolicyAffinity).P95 <= firstTokenBound)
}

// The figures of all experiments and policies; the same seed gives the same.
func TestLastResults(t *testing.T) {
	shapes, err := Shapes()
	if err != nil {
		t.Fatal(err)
	}
	var out []byte
	for _, s := range shapes {
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

func candidates(n int) []routing.Candidate {
	random := rand.New(rand.NewPCG(1, 1))
	out := make([]routing.Candidate, n)
	for i := range out {
		out[i] = routing.Candidate{Hash: random.Uint64(), Capacity: 16, Load: float64(random.IntN(15))}
	}
	return out
}

func TestDecisionAllocatesNothing(t *testing.T) {
	is := is.New(t)
	c := candidates(775)
	key := uint64(0)
	is.Equal(testing.AllocsPerRun(100, func() {
		key++
		routing.Affinity{}.Pick(key, c, nil)
	}), 0.0)
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{16, 194, 775} {
		c := candidates(n)
		b.Run(itoa(n), func(b *testing.B) {
			for i := range b.N {
				routing.Affinity{}.Pick(uint64(i)*0x9e3779b97f4a7c15, c, nil)
			}
		})
	}
}

func itoa(n int) string {
	text, _ := json.Marshal(n)
	return string(text) + " groups"
}
