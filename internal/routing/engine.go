package routing

import (
	"math"
	"time"

	ring "eelgrassring.dev"
)

// prefillSlack is how much longer the reading of a prompt takes than the engine's
// rate says, because it goes on in pieces between the steps of others.
const prefillSlack = 1.25

// PrefillTime returns how long an engine reads a prompt of so many tokens.
func PrefillTime(r ring.EngineRates, m ring.ReplicaModel, prompt int) time.Duration {
	if r.ReadPerSecond <= 0 {
		return 0
	}
	tokens := float64(prompt)
	seconds := tokens / r.ReadPerSecond
	pairs := tokens * tokens / 2 / 1e6 * r.PairsPerMillion.Seconds()
	return time.Duration((seconds*prefillSlack + pairs) * paceOf(m) * float64(time.Second))
}

const (
	// firstEventBase is the part of the time to a first event that does not depend on
	// the engine's passes, and firstEventPasses how many passes it takes beside, the
	// reading of the prompt included. Measured on streams at loads of 4 to 44:
	// 2.2 to 3.2 passes.
	firstEventBase   = 95 * time.Millisecond
	firstEventPasses = 2.5
)

// RequestProfile is what the requests of a model are like on average: how long their
// prompts are read, how many tokens they hold, and how many passes their answers
// take.
type RequestProfile struct {
	Prefill       time.Duration
	ContextTokens float64
	Passes        float64
}

// MaxConcurrency returns how many requests a replica may have at once for first events to
// come within the span; at least one. A pass does its steps for all requests
// and reads the prompts of those that came during one pass, which are as many as
// end in it: requests divided by the passes of an answer.
func MaxConcurrency(r ring.EngineRates, m ring.ReplicaModel, mix RequestProfile, span time.Duration) int {
	steps := float64(max(r.Stride, 1)) * paceOf(m)
	empty := steps * r.Step.Seconds()
	each := steps*(r.PerSequence.Seconds()+mix.ContextTokens/1000*r.PerContext.Seconds()) + mix.Prefill.Seconds()/max(mix.Passes, 1)
	if each <= 0 {
		return math.MaxInt
	}
	pass := (span - firstEventBase).Seconds() / firstEventPasses
	return max(int((pass-empty)/each), 1)
}

func paceOf(m ring.ReplicaModel) float64 {
	if m.Pace <= 0 {
		return 1
	}
	return m.Pace
}
