package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	ring "eelgrassring.dev"
)

// evacuatedRetryAfter is the least retry delay that is sent to the callers of a service all of
// whose servers are in evacuated zones. A random delay of up to the same length is added.
const evacuatedRetryAfter = time.Second

// errEvacuated means that the server's zone is evacuated since the server was chosen.
var errEvacuated = errors.New("the server's zone is evacuated")

// evacuatedFailure returns the failure of a request to a service all of whose servers are in
// evacuated zones.
func evacuatedFailure(service ring.Service, now time.Time) *ring.Failure {
	retryAt := now.Add(evacuatedRetryAfter + rand.N(evacuatedRetryAfter))
	return ring.FailRetryAt(ring.CodeNoGroup, retryAt, "the zones of all servers of service %s are evacuated", service)
}
