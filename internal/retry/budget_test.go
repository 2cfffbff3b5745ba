package retry

import (
	"testing"

	"github.com/matryer/is"
)

func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Config{Part: 0.1, Burst: 5})
	taken := 0
	for range 1000 {
		b.Request()
		for range 3 { // every request would like three retries
			if b.Take() {
				taken++
			}
		}
	}
	is.True(taken <= 1000/10+5)
	is.True(taken >= 1000/10)
}
