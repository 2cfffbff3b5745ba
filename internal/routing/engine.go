package routing

import (
	"math"
	"time"

	ring "eelgrassring.dev"
)

// prefillSlack is the factor by which a prefill takes longer than the engine's
// rate implies, because it runs in chunks between the decode steps of other
// requests.
const prefillSlack = 1.25

// PrefillTime returns how long the engine takes to prefill a prompt of the given
// number of tokens, or 0 if its rate is not known.
func PrefillTime(rates ring.EngineRates, model ring.ReplicaModel, promptTokens int) time.Duration {
	if rates.ReadPerSecond <= 0 {
		return 0
	}
	tokens := float64(promptTokens)
	seconds := tokens / rates.ReadPerSecond
	pairs := tokens * tokens / 2 / 1e6 * rates.PerMillionPairs.Seconds()
	return time.Duration((seconds*prefillSlack + pairs) * timeFactorOf(model) * float64(time.Second))
}

const (
	// firstEventBase is the part of the time to first event that does not depend
	// on the duration of an engine pass. firstEventPasses is the number of passes
	// added to it, the prefill included: 2.2 to 3.2 were measured on streams with 4 to
	// 44 requests at the replica.
	firstEventBase   = 95 * time.Millisecond
	firstEventPasses = 2.5
)

// RequestProfile describes how much engine work a request of a model needs, on
// average or for a single request.
type RequestProfile struct {
	// Prefill is how long the prefill of the prompt takes.
	Prefill time.Duration
	// ContextTokens is the number of tokens in the context.
	ContextTokens float64
	// Passes is the number of engine passes that generate the response.
	Passes float64
}

// MaxConcurrency returns how many requests a replica may have at once so that the time
// to first event stays within maxFirstEvent; it is at least one. The estimate assumes
// that an engine pass runs one decode step for every request and prefills the prompts
// that arrived during one pass. As many requests arrive as finish in a pass: the number
// of requests divided by the passes per response.
func MaxConcurrency(rates ring.EngineRates, model ring.ReplicaModel, profile RequestProfile, maxFirstEvent time.Duration) int {
	steps := float64(max(rates.StepsPerPass, 1)) * timeFactorOf(model)
	fixed := steps * rates.Step.Seconds()
	perRequest := steps*(rates.PerSequence.Seconds()+profile.ContextTokens/1000*rates.PerContext.Seconds()) + profile.Prefill.Seconds()/max(profile.Passes, 1)
	if perRequest <= 0 {
		return math.MaxInt
	}
	pass := (maxFirstEvent - firstEventBase).Seconds() / firstEventPasses
	return max(int((pass-fixed)/perRequest), 1)
}

// PassTime returns how long an engine pass takes at a replica with the given number of requests
// like the average one, of which as many are prefilled as finish, or 0 if the engine's rates are
// not known.
func PassTime(rates ring.EngineRates, model ring.ReplicaModel, average RequestProfile, requests int) time.Duration {
	if rates.Step <= 0 {
		return 0
	}
	steps := float64(max(rates.StepsPerPass, 1)) * timeFactorOf(model)
	perRequest := steps*(rates.PerSequence.Seconds()+average.ContextTokens/1000*rates.PerContext.Seconds()) + average.Prefill.Seconds()/max(average.Passes, 1)
	return time.Duration((steps*rates.Step.Seconds() + float64(max(requests, 0))*perRequest) * float64(time.Second))
}

// ResponseTime returns how long a request takes from the beginning of its prefill at a
// replica that has the given number of requests, the others like the average one, or 0 if
// the engine's rates or the length of the response are not known. In each pass, as many of
// the others are prefilled as finish.
func ResponseTime(rates ring.EngineRates, model ring.ReplicaModel, request, average RequestProfile, requests int) time.Duration {
	if rates.Step <= 0 || request.Passes <= 0 {
		return 0
	}
	return request.Prefill + time.Duration(request.Passes*float64(PassTime(rates, model, average, max(requests, 1))))
}

// timeFactorOf returns the model's TimeFactor, which multiplies all engine times, or
// 1 if none is set.
func timeFactorOf(m ring.ReplicaModel) float64 {
	if m.TimeFactor <= 0 {
		return 1
	}
	return m.TimeFactor
}
