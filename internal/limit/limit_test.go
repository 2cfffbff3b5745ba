package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/property"
)

func TestMain(m *testing.M) { property.Main(m, property.Config{}) }

func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "nodes")
		limit := rapid.IntRange(1, 500).Draw(t, "limit")
		demands := make([]Demand, n)
		for i := range demands {
			demands[i] = Demand{Running: rapid.IntRange(0, 50).Draw(t, "running"), Queued: rapid.IntRange(0, 50).Draw(t, "queued")}
		}
		sum := 0
		for i := range demands {
			v := View{Limit: limit, Own: demands[i], Nodes: n, Confirmed: true}
			for j := range demands {
				if j != i {
					v.Peers = append(v.Peers, demands[j])
				}
			}
			sum += Share(v)
		}
		if sum > limit+n {
			t.Fatalf("shares add up to %d with limit %d and %d nodes", sum, limit, n)
		}
	})
}

func TestNodeWithoutPeersIsLimitedToItsEvenPart(t *testing.T) {
	is := is.New(t)
	is.Equal(Share(View{Limit: 60, Own: Demand{Running: 1, Queued: 99}, Nodes: 6}), 10)
}

func TestUnconfirmedNodeIsLimitedToItsEvenPart(t *testing.T) {
	is := is.New(t)
	v := View{Limit: 60, Own: Demand{Queued: 99}, Peers: []Demand{{}, {}}, Nodes: 3}
	is.Equal(Share(v), 20)
	v.Confirmed = true
	is.Equal(Share(v), 50)
}

// addRequests queues n requests with consecutive IDs that begin at from.
func addRequests(q *Queue, w ring.Workspace, weight, n int, p deployment.Priority, from uint64, now time.Time) {
	for i := range n {
		q.Add(w, weight, QueuedRequest{ID: from + uint64(i), Priority: p, Deadline: now.Add(time.Hour)}, now)
	}
}

func anyWorkspace(ring.Workspace) bool { return true }

func TestQueueServesByWeight(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	q := NewQueue(1000)
	addRequests(q, "large", 3, 200, deployment.PriorityNormal, 1000, now)
	addRequests(q, "small", 1, 200, deployment.PriorityNormal, 2000, now)
	large := 0
	for range 80 {
		r, ok := q.Next(anyWorkspace, func(QueuedRequest) bool { return true }, now)
		is.True(ok)
		if r.ID < 2000 {
			large++
		}
	}
	is.Equal(large, 60) // the weights are 3 and 1, so 3/4 of the starts
}

func TestQueueServesHighPriorityFirstWithinAWorkspace(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	q := NewQueue(10)
	addRequests(q, "w", 1, 2, deployment.PriorityLow, 1, now)
	addRequests(q, "w", 1, 1, deployment.PriorityHigh, 9, now)
	r, _ := q.Next(anyWorkspace, func(QueuedRequest) bool { return true }, now)
	is.Equal(r.ID, uint64(9))
}

func TestQueueRefusesLateAndExcessRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	q := NewQueue(2)
	q.RecordStart(now)
	addRequests(q, "w", 1, 1, deployment.PriorityNormal, 1, now)
	late := q.Add("w", 1, QueuedRequest{ID: 2, Deadline: now.Add(time.Millisecond)}, now)
	is.Equal(late.Code, ring.CodeDeadline)
	is.True(late.RetryAt.After(now)) // the failure says when to retry
	addRequests(q, "w", 1, 1, deployment.PriorityNormal, 3, now)
	full := q.Add("w", 1, QueuedRequest{ID: 4, Deadline: now.Add(time.Hour)}, now)
	is.Equal(full.Code, ring.CodeOverloaded)
	is.True(full.RetryAt.After(now))
}

func TestQueueRemovesExpiredRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	q := NewQueue(10)
	q.Add("w", 1, QueuedRequest{ID: 1, Deadline: now.Add(time.Second)}, now)
	q.Add("w", 1, QueuedRequest{ID: 2, Deadline: now.Add(time.Hour)}, now)
	expired := q.RemoveExpired(now.Add(2 * time.Second))
	is.Equal(len(expired), 1)
	is.Equal(q.Len(), 1)
	is.True(q.Remove(2))
	is.True(!q.Remove(2))
}
