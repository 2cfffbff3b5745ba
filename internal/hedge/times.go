package hedge

import (
	"math"
	"time"
)

const (
	// shortest is the lower bound of the first class of times, and classesPerDoubling how many
	// classes there are between a time and twice that time.
	shortest           = time.Millisecond
	classesPerDoubling = 8
	classes            = 17 * classesPerDoubling
	// halfLife is the time after which a sample counts half.
	halfLife = 15 * time.Second
	// minSamples is the weight of samples below which no quantile is known.
	minSamples = 12
)

// Times is a histogram of recent times. It allocates nothing.
type Times struct {
	weights  [classes]float32
	total    float32
	halvedAt time.Time
}

// classOf returns the class of a time.
func classOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	return min(int(classesPerDoubling*math.Log2(float64(d)/float64(shortest))), classes-1)
}

// Add adds a sample with a weight, at most 1. One that counts less leaves the older ones their
// weight.
func (t *Times) Add(d time.Duration, weight float32, now time.Time) {
	if weight < 1 {
		t.halvedAt = now
	}
	t.halve(now)
	t.weights[classOf(d)] += weight
	t.total += weight
}

// halve lets older samples count less.
func (t *Times) halve(now time.Time) {
	if t.halvedAt.IsZero() {
		t.halvedAt = now
	}
	for ; now.Sub(t.halvedAt) >= halfLife && t.total > 0; t.halvedAt = t.halvedAt.Add(halfLife) {
		for i := range t.weights {
			t.weights[i] /= 2
		}
		t.total /= 2
		if t.total < 0.1 {
			*t = Times{halvedAt: now}
		}
	}
	if t.total == 0 {
		t.halvedAt = now
	}
}

// Quantile returns the upper bound of the class in which a quantile lies, or false if there are
// too few samples.
func (t *Times) Quantile(q float64) (time.Duration, bool) {
	if t.total < minSamples {
		return 0, false
	}
	rest := float32(q) * t.total
	i := 0
	for ; i < classes-1 && rest > t.weights[i]; i++ {
		rest -= t.weights[i]
	}
	return time.Duration(float64(shortest) * math.Exp2(float64(i+1)/classesPerDoubling)), true
}
