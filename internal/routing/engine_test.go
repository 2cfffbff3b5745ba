package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

// testRates and testModel describe the engine in these tests. The rates do not set
// PerMillionPairs and PerContext.
var (
	testRates = ring.EngineRates{Step: 6450 * time.Microsecond, PerSequence: 120 * time.Microsecond, ReadPerSecond: 56100, StepsPerPass: 5}
	testModel = ring.ReplicaModel{Name: "m", TimeFactor: 1}
)

func TestMaxConcurrencyFallsWithPrefillTimeAndTimeFactor(t *testing.T) {
	is := is.New(t)
	profile := RequestProfile{Prefill: 35 * time.Millisecond, ContextTokens: 1600, Passes: 20}
	n := MaxConcurrency(testRates, testModel, profile, 360*time.Millisecond)
	// A pass may take (360-95)/2.5 = 106 ms: 32 ms for its five decode steps, and
	// for each request 0.6 ms of decoding and 35/20 ms of prefill.
	is.Equal(n, 31)
	longPrompts := profile
	longPrompts.Prefill *= 2
	is.True(MaxConcurrency(testRates, testModel, longPrompts, 360*time.Millisecond) < n)
	slowModel := testModel
	slowModel.TimeFactor = 1.5
	is.True(MaxConcurrency(testRates, slowModel, profile, 360*time.Millisecond) < n)
	is.Equal(MaxConcurrency(testRates, testModel, profile, 100*time.Millisecond), 1) // at least one
	is.True(MaxConcurrency(ring.EngineRates{}, testModel, RequestProfile{}, time.Second) > 1<<30)
}
