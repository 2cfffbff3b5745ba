package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

var (
	testRates = ring.EngineRates{Step: 6450 * time.Microsecond, PerSequence: 120 * time.Microsecond, ReadPerSecond: 56100, Stride: 5}
	testModel = ring.ReplicaModel{Name: "m", Pace: 1}
)

func TestFewerRequestsKeepLongPromptsInTime(t *testing.T) {
	is := is.New(t)
	mix := RequestProfile{Prefill: 35 * time.Millisecond, ContextTokens: 1600, Passes: 20}
	n := MaxConcurrency(testRates, testModel, mix, 360*time.Millisecond)
	// A pass may take (360-95)/2.5 = 106 ms: 32 ms for its five steps, and 0.6 ms
	// and 35/20 ms a request.
	is.Equal(n, 31)
	longer := mix
	longer.Prefill *= 2
	is.True(MaxConcurrency(testRates, testModel, longer, 360*time.Millisecond) < n)
	slower := testModel
	slower.Pace = 1.5
	is.True(MaxConcurrency(testRates, slower, mix, 360*time.Millisecond) < n)
	is.Equal(MaxConcurrency(testRates, testModel, mix, 100*time.Millisecond), 1) // never none
	is.True(MaxConcurrency(ring.EngineRates{}, testModel, RequestProfile{}, time.Second) > 1<<30)
}
