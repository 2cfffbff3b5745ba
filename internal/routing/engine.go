package routing

import (
	"time"

	ring "eelgrassring.dev"
)

// readSlack is how much longer the reading of a prompt takes than the engine's
// rate says, because it goes on in pieces between the steps of others.
const readSlack = 1.25

// ReadTime returns how long an engine reads a prompt of so many tokens.
func ReadTime(r ring.EngineRates, m ring.ReplicaModel, prompt int) time.Duration {
	if r.ReadPerSecond <= 0 {
		return 0
	}
	tokens := float64(prompt)
	seconds := tokens / r.ReadPerSecond
	pairs := tokens * tokens / 2 / 1e6 * r.PairsPerMillion.Seconds()
	return time.Duration((seconds*readSlack + pairs) * pace(m) * float64(time.Second))
}

func pace(m ring.ReplicaModel) float64 {
	if m.Pace <= 0 {
		return 1
	}
	return m.Pace
}
