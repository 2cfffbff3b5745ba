package routing_test

import (
	"fmt"

	"eelgrassring.dev/internal/routing"
)

// Requests with the same key go to the same group until its request load reaches the
// bound.
func ExampleAffinity_Pick() {
	names := []string{"a", "b", "c"}
	candidates := make([]routing.Candidate, len(names))
	for i, name := range names {
		candidates[i] = routing.Candidate{Hash: routing.Hash(name), Capacity: 8}
	}
	key := routing.Hash("prefix")
	first := routing.Affinity{}.Pick(key, candidates, nil)
	again := routing.Affinity{}.Pick(key, candidates, nil)
	candidates[first].Load = 8
	other := routing.Affinity{}.Pick(key, candidates, nil)
	fmt.Println(first == again, first != other)
	// Output: true true
}
