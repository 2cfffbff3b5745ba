package limit

import (
	"math"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// QueuedRequest is a request that waits in a Queue for permission to start.
type QueuedRequest struct {
	// ID is chosen by the caller of Add and passed to Remove.
	ID       uint64
	Priority deployment.Priority
	// Deadline is when the request expires if it has not started.
	Deadline time.Time
}

// priorityLevels is the number of levels that priorityLevel returns.
const priorityLevels = 3

// priorityLevel returns the index of a priority in byPriority; 0 is served first.
func priorityLevel(p deployment.Priority) int {
	switch p {
	case deployment.PriorityHigh:
		return 0
	case deployment.PriorityNormal:
		return 1
	default:
		return 2
	}
}

// workspaceQueue holds the queued requests of one workspace.
type workspaceQueue struct {
	name   ring.Workspace
	weight float64
	// virtualFinish is the virtual time up to which the workspace has been served.
	virtualFinish float64
	byPriority    [priorityLevels][]QueuedRequest
	length        int
}

// head returns the request that starts next, by priority and then by arrival. It
// returns false if the workspace has no queued request.
func (q *workspaceQueue) head() (QueuedRequest, bool) {
	for i := range q.byPriority {
		if len(q.byPriority[i]) > 0 {
			return q.byPriority[i][0], true
		}
	}
	return QueuedRequest{}, false
}

// pop removes the request that head returns.
func (q *workspaceQueue) pop() {
	for i := range q.byPriority {
		if len(q.byPriority[i]) > 0 {
			q.byPriority[i] = q.byPriority[i][1:]
			q.length--
			return
		}
	}
}

// Queue orders the waiting requests of one node: across workspaces by weighted
// start-time fair queueing, within a workspace by priority and then by arrival.
// It is not safe for concurrent use.
type Queue struct {
	workspaces []*workspaceQueue
	// virtualTime is the virtual start time of the last request that was started.
	virtualTime float64
	length      int
	limit       int
	// startRate is the smoothed number of request starts per second, from which
	// waiting times are estimated.
	startRate float64
	lastStart time.Time
}

// NewQueue returns an empty queue that holds up to limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.length }

// LenOf returns the number of queued requests of a workspace.
func (q *Queue) LenOf(w ring.Workspace) int {
	for _, wq := range q.workspaces {
		if wq.name == w {
			return wq.length
		}
	}
	return 0
}

// queueFor returns the queue of a workspace with its weight updated, and adds
// the queue if there is none.
func (q *Queue) queueFor(w ring.Workspace, weight int) *workspaceQueue {
	for _, wq := range q.workspaces {
		if wq.name == w {
			wq.weight = float64(max(weight, 1))
			return wq
		}
	}
	wq := &workspaceQueue{name: w, weight: float64(max(weight, 1))}
	q.workspaces = append(q.workspaces, wq)
	return wq
}

// Add queues a request of the workspace and returns nil. If the queue is full or the
// estimated wait ends after the request's deadline, it queues nothing and returns a
// failure with a time to retry at.
func (q *Queue) Add(w ring.Workspace, weight int, r QueuedRequest, now time.Time) *ring.Failure {
	wq := q.queueFor(w, weight)
	wait := q.estimateWait(wq)
	if q.length >= q.limit {
		return ring.FailRetryAt(ring.CodeOverloaded, now.Add(max(wait, time.Second)), "the queue is full")
	}
	if now.Add(wait).After(r.Deadline) {
		return ring.FailRetryAt(ring.CodeDeadline, now.Add(wait), "the request would wait about %s, past its deadline", wait.Round(time.Millisecond))
	}
	i := priorityLevel(r.Priority)
	wq.byPriority[i] = append(wq.byPriority[i], r)
	if wq.length == 0 {
		wq.virtualFinish = max(wq.virtualFinish, q.virtualTime)
	}
	wq.length++
	q.length++
	return nil
}

// estimateWait returns how long a new request of the workspace would wait: the
// length of the workspace's queue divided by its fair share of the start rate.
func (q *Queue) estimateWait(wq *workspaceQueue) time.Duration {
	if q.startRate == 0 || wq.length == 0 {
		return 0
	}
	weights := wq.weight
	for _, other := range q.workspaces {
		if other != wq && other.length > 0 {
			weights += other.weight
		}
	}
	seconds := float64(wq.length) / (q.startRate * wq.weight / weights)
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// Next starts the first queued request that can start, removes it from the queue and
// returns it. It returns false if none can start. The function mayStart reports whether
// a workspace may start a request. The function tryStart starts a request if a group
// can take it now; if it returns false, the request stays queued and its workspace is
// skipped for the rest of this call.
func (q *Queue) Next(mayStart func(ring.Workspace) bool, tryStart func(QueuedRequest) bool, now time.Time) (QueuedRequest, bool) {
	skipped := map[ring.Workspace]bool{}
	for {
		wq := q.nextWorkspace(mayStart, skipped)
		if wq == nil {
			return QueuedRequest{}, false
		}
		r, _ := wq.head()
		if !tryStart(r) {
			skipped[wq.name] = true
			continue
		}
		wq.pop()
		q.length--
		q.recordServed(wq, now)
		return r, true
	}
}

// nextWorkspace returns the queue with the earliest virtual finish time among
// the workspaces that may start a request, or nil.
func (q *Queue) nextWorkspace(mayStart func(ring.Workspace) bool, skipped map[ring.Workspace]bool) *workspaceQueue {
	var best *workspaceQueue
	for _, wq := range q.workspaces {
		if wq.length == 0 || skipped[wq.name] || !mayStart(wq.name) {
			continue
		}
		if best == nil || wq.virtualFinish < best.virtualFinish {
			best = wq
		}
	}
	return best
}

// recordServed advances the queue's virtual time, and that of the workspace, after a
// request of the workspace has started.
func (q *Queue) recordServed(wq *workspaceQueue, now time.Time) {
	q.virtualTime = max(q.virtualTime, wq.virtualFinish)
	wq.virtualFinish += 1 / wq.weight
	q.RecordStart(now)
}

// rateTimeConstant is the time constant of the smoothed start rate.
const rateTimeConstant = 2 * time.Second

// RecordStart counts the start of a request in the start rate, whether or not the
// request was queued before.
func (q *Queue) RecordStart(now time.Time) {
	if q.lastStart.IsZero() {
		q.lastStart = now
		q.startRate = 1
		return
	}
	gap := now.Sub(q.lastStart).Seconds()
	q.lastStart = now
	decay := math.Exp(-gap / rateTimeConstant.Seconds())
	q.startRate = q.startRate*decay + 1/rateTimeConstant.Seconds()
}

// Remove removes the request with the given ID after its caller has cancelled it. It
// reports whether the request was still queued.
func (q *Queue) Remove(id uint64) bool {
	for _, wq := range q.workspaces {
		for i := range wq.byPriority {
			for j, r := range wq.byPriority[i] {
				if r.ID == id {
					wq.byPriority[i] = append(wq.byPriority[i][:j:j], wq.byPriority[i][j+1:]...)
					wq.length--
					q.length--
					return true
				}
			}
		}
	}
	return false
}

// RemoveExpired removes the requests whose deadline has passed from the queue and
// returns them.
func (q *Queue) RemoveExpired(now time.Time) []QueuedRequest {
	var expired []QueuedRequest
	for _, wq := range q.workspaces {
		for i := range wq.byPriority {
			remaining := wq.byPriority[i][:0]
			for _, r := range wq.byPriority[i] {
				if now.After(r.Deadline) {
					expired = append(expired, r)
					wq.length--
					q.length--
					continue
				}
				remaining = append(remaining, r)
			}
			wq.byPriority[i] = remaining
		}
	}
	return expired
}
