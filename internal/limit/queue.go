package limit

import (
	"math"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// QueuedRequest is a request in the queue. ID is the caller's handle for it.
type QueuedRequest struct {
	ID       uint64
	Priority deployment.Priority
	// Deadline is when the request is given up if it has not started.
	Deadline time.Time
}

const priorityLevels = 3

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

type workspaceQueue struct {
	name   ring.Workspace
	weight float64
	// virtualFinish is the virtual time up to which the workspace has been served.
	virtualFinish float64
	byPriority    [priorityLevels][]QueuedRequest
	length        int
}

func (q *workspaceQueue) head() (QueuedRequest, bool) {
	for i := range q.byPriority {
		if len(q.byPriority[i]) > 0 {
			return q.byPriority[i][0], true
		}
	}
	return QueuedRequest{}, false
}

func (q *workspaceQueue) pop() {
	for i := range q.byPriority {
		if len(q.byPriority[i]) > 0 {
			q.byPriority[i] = q.byPriority[i][1:]
			q.length--
			return
		}
	}
}

// Queue orders the waiting requests of one node: between workspaces by start
// time fair queueing with their weights, within a workspace by priority and
// then by arrival. It is not safe for concurrent use.
type Queue struct {
	workspaces  []*workspaceQueue
	virtualTime float64
	length      int
	limit       int
	// startRate is the smoothed number of starts per second, from which waits are
	// estimated.
	startRate float64
	lastStart time.Time
}

// NewQueue returns a queue that holds up to limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit}
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return q.length }

// LenOf returns how many requests of the workspace wait.
func (q *Queue) LenOf(w ring.Workspace) int {
	for _, one := range q.workspaces {
		if one.name == w {
			return one.length
		}
	}
	return 0
}

func (q *Queue) workspace(w ring.Workspace, weight int) *workspaceQueue {
	for _, one := range q.workspaces {
		if one.name == w {
			one.weight = float64(max(weight, 1))
			return one
		}
	}
	one := &workspaceQueue{name: w, weight: float64(max(weight, 1))}
	q.workspaces = append(q.workspaces, one)
	return one
}

// Add queues a request, or refuses it at once when the queue is full or when
// it would not start before its deadline.
func (q *Queue) Add(w ring.Workspace, weight int, r QueuedRequest, now time.Time) *ring.Failure {
	one := q.workspace(w, weight)
	wait := q.estimateWait(one)
	if q.length >= q.limit {
		return ring.FailUntil(ring.CodeOverloaded, now.Add(max(wait, time.Second)), "the queue is full")
	}
	if now.Add(wait).After(r.Deadline) {
		return ring.FailUntil(ring.CodeDeadline, now.Add(wait), "the request would wait about %s, past its deadline", wait.Round(time.Millisecond))
	}
	i := priorityLevel(r.Priority)
	one.byPriority[i] = append(one.byPriority[i], r)
	if one.length == 0 {
		one.virtualFinish = max(one.virtualFinish, q.virtualTime)
	}
	one.length++
	q.length++
	return nil
}

// estimateWait returns how long a new request of the workspace would wait: its
// own queue at the workspace's fair part of the rate of starts.
func (q *Queue) estimateWait(one *workspaceQueue) time.Duration {
	if q.startRate == 0 || one.length == 0 {
		return 0
	}
	weights := one.weight
	for _, other := range q.workspaces {
		if other != one && other.length > 0 {
			weights += other.weight
		}
	}
	seconds := float64(one.length) / (q.startRate * one.weight / weights)
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// Next returns the request that starts next among the workspaces that may
// run, and takes it out. may says whether a workspace may start a request,
// and start whether this one finds a group now; a workspace for which start
// fails is passed over in this call.
func (q *Queue) Next(may func(ring.Workspace) bool, start func(QueuedRequest) bool, now time.Time) (QueuedRequest, bool) {
	skipped := map[ring.Workspace]bool{}
	for {
		one := q.nextWorkspace(may, skipped)
		if one == nil {
			return QueuedRequest{}, false
		}
		r, _ := one.head()
		if !start(r) {
			skipped[one.name] = true
			continue
		}
		one.pop()
		q.length--
		q.recordServed(one, now)
		return r, true
	}
}

func (q *Queue) nextWorkspace(may func(ring.Workspace) bool, skipped map[ring.Workspace]bool) *workspaceQueue {
	var best *workspaceQueue
	for _, one := range q.workspaces {
		if one.length == 0 || skipped[one.name] || !may(one.name) {
			continue
		}
		if best == nil || one.virtualFinish < best.virtualFinish {
			best = one
		}
	}
	return best
}

func (q *Queue) recordServed(one *workspaceQueue, now time.Time) {
	q.virtualTime = max(q.virtualTime, one.virtualFinish)
	one.virtualFinish += 1 / one.weight
	q.RecordStart(now)
}

// rateTimeConstant is the time over which the rate of starts is smoothed.
const rateTimeConstant = 2 * time.Second

// RecordStart counts a start, of a queued request or of one that never waited.
func (q *Queue) RecordStart(now time.Time) {
	if q.lastStart.IsZero() {
		q.lastStart = now
		q.startRate = 1
		return
	}
	gap := now.Sub(q.lastStart).Seconds()
	q.lastStart = now
	keep := math.Exp(-gap / rateTimeConstant.Seconds())
	q.startRate = q.startRate*keep + 1/rateTimeConstant.Seconds()
}

// Remove takes a request out that its caller gave up.
func (q *Queue) Remove(id uint64) bool {
	for _, one := range q.workspaces {
		for i := range one.byPriority {
			for j, r := range one.byPriority[i] {
				if r.ID == id {
					one.byPriority[i] = append(one.byPriority[i][:j:j], one.byPriority[i][j+1:]...)
					one.length--
					q.length--
					return true
				}
			}
		}
	}
	return false
}

// RemoveExpired takes out and returns the requests whose deadline has passed.
func (q *Queue) RemoveExpired(now time.Time) []QueuedRequest {
	var out []QueuedRequest
	for _, one := range q.workspaces {
		for i := range one.byPriority {
			kept := one.byPriority[i][:0]
			for _, r := range one.byPriority[i] {
				if now.After(r.Deadline) {
					out = append(out, r)
					one.length--
					q.length--
					continue
				}
				kept = append(kept, r)
			}
			one.byPriority[i] = kept
		}
	}
	return out
}
