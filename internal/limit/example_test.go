package limit_test

import (
	"fmt"

	"eelgrassring.dev/internal/limit"
)

// A node's share of a workspace's limit is proportional to its part of the demand.
func ExampleShare() {
	v := limit.View{Limit: 60, Own: limit.Demand{Running: 10, Queued: 20}, Peers: []limit.Demand{{Running: 10}, {}}, Nodes: 3, Confirmed: true}
	fmt.Println(limit.Share(v))
	v.Peers = nil // no peer has reported
	fmt.Println(limit.Share(v))
	// Output:
	// 39
	// 20
}
