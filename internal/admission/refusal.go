package admission

import "time"

const (
	// minRetryDelay is the least retry delay of a refused request, and retryRange how much
	// longer it may be for callers with little time left.
	minRetryDelay = 700 * time.Millisecond
	retryRange    = 700 * time.Millisecond
	// minRetryFraction and maxRetryFraction are the parts of the time that the caller has
	// left between which the delay is, so that those who return come apart and have time
	// left for a response.
	minRetryFraction = 1.0 / 6
	maxRetryFraction = 1.0 / 3
)

// RetryDelay returns after which time a refused caller with an amount of time left should
// return. chance is a random number from 0 to 1.
func RetryDelay(left time.Duration, chance float64) time.Duration {
	least := max(minRetryDelay, time.Duration(minRetryFraction*float64(left)))
	most := max(least+retryRange, time.Duration(maxRetryFraction*float64(left)))
	return least + time.Duration(chance*float64(most-least))
}

// IsReturn reports whether a request appears to be the repeat of a refused one, from the
// timeout and the latency target of its route and the time that its caller has left: it
// misses more than the target, and at least what every refused caller waits. Less may be
// missing because callers differ in how long they wait.
func IsReturn(timeout, target, left time.Duration) bool {
	return left > 0 && timeout-left > max(target, time.Duration(minRetryFraction*float64(timeout)))
}
