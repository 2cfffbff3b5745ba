package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	ring "eelgrassring.dev"
)

const (
	// failureHalfLife is the time in which the weight of a server's failure halves.
	failureHalfLife = 3 * time.Second
	// failureWeight scales recent failures in a server's score: one failure weighs
	// as much as this many requests in flight per slot.
	failureWeight = 4.0
	// latencyWeight scales the mean response time in a server's score: one second
	// weighs as much as this many requests in flight.
	latencyWeight = 10.0
	// latencySmoothing is the weight of the newest sample in a server's mean response
	// time.
	latencySmoothing = 0.2
)

// serverStats holds this node's statistics of the servers of services without models.
type serverStats struct {
	mu      sync.Mutex
	servers map[ring.VM]*serverRecord
}

// serverRecord holds the statistics of one incarnation of a server.
type serverRecord struct {
	// incarnation changes at each start of the server's process.
	incarnation string
	// inFlight is the number of this node's requests at the server.
	inFlight int
	// failures is the decayed sum of the failures as of failedAt, the time of the last
	// one.
	failures float64
	failedAt time.Time
	// meanSeconds is the smoothed response time.
	meanSeconds float64
}

func newServerStats() *serverStats { return &serverStats{servers: map[ring.VM]*serverRecord{}} }

// recordOf returns the record of a server. It creates one if the server is new or was
// restarted. The caller must hold mu.
func (r *serverStats) recordOf(s ring.Server) *serverRecord {
	record, ok := r.servers[s.ID]
	if !ok || record.incarnation != s.Incarnation {
		record = &serverRecord{incarnation: s.Incarnation}
		r.servers[s.ID] = record
	}
	return record
}

// score rates a server for selection; lower is better.
func (r *serverRecord) score(s ring.Server, now time.Time) float64 {
	return (float64(r.inFlight)+latencyWeight*r.meanSeconds)/float64(max(s.Slots, 1)) + failureWeight*r.decayedFailures(now)
}

// decayedFailures returns the sum of the server's failures, each weighted by its
// age.
func (r *serverRecord) decayedFailures(now time.Time) float64 {
	return r.failures * math.Exp2(-float64(now.Sub(r.failedAt))/float64(failureHalfLife))
}

// acquire selects the server with the best score among those not tried yet and counts a
// request in flight there. It returns false if there is none.
func (r *serverStats) acquire(servers []ring.Server, tried map[ring.VM]bool, now time.Time) (ring.Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, bestScore := -1, 0.0
	for i, s := range servers {
		if s.Leaving || tried[s.ID] {
			continue
		}
		score := r.recordOf(s).score(s, now) + rand.Float64()/float64(max(s.Slots, 1))
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return ring.Server{}, false
	}
	r.recordOf(servers[best]).inFlight++
	return servers[best], true
}

// release ends a request that acquire counted at a server. The failure is 0 for a
// good response and up to 1 otherwise; only good responses contribute their duration
// to the mean response time.
func (r *serverStats) release(s ring.Server, failure float64, duration time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.recordOf(s)
	record.inFlight = max(record.inFlight-1, 0)
	if failure > 0 {
		record.failures = record.decayedFailures(now) + failure
		record.failedAt = now
		return
	}
	record.meanSeconds += latencySmoothing * (duration.Seconds() - record.meanSeconds)
}

// giveUp ends a request that acquire counted at a server, and that another one has answered
// meanwhile. The server's own time is not known, only that it is longer than duration.
func (r *serverStats) giveUp(s ring.Server, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.recordOf(s)
	record.inFlight = max(record.inFlight-1, 0)
	record.meanSeconds += latencySmoothing * max(duration.Seconds()-record.meanSeconds, 0)
}

// cancel ends a request that acquire counted at a server and that was not sent.
func (r *serverStats) cancel(s ring.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.recordOf(s)
	record.inFlight = max(record.inFlight-1, 0)
}
