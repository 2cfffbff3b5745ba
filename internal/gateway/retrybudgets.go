package gateway

import (
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/retry"
)

// retryBudgets holds the retry budget of each service, which limits how many of its
// requests are retried.
type retryBudgets struct {
	config retry.Config
	node   FrontNode
	// pool holds the counts of requests and retries of all nodes for sharedService, the
	// only service with models. It is not used if there are several such services.
	pool          *retry.Pool
	mu            sync.Mutex
	sharedService ring.Service
	// isOnlyService is set while no other service with models has had retries.
	isOnlyService bool
	byName        map[ring.Service]*retry.Budget
}

// newRetryBudgets returns an empty set of budgets; the budget of a service is created
// at its first use. newRetryBudgets registers sharedUsage as the source of the node's
// retry usage, which is sent to the peers.
func newRetryBudgets(c retry.Config, n FrontNode) *retryBudgets {
	b := &retryBudgets{config: c, node: n, byName: map[ring.Service]*retry.Budget{}}
	b.pool = n.ShareRetryUsage(b.sharedUsage)
	return b
}

// budgetOf returns the retry budget of a service, and creates it if there is none.
func (b *retryBudgets) budgetOf(s ring.Service) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byName[s]
	if !ok {
		budget = retry.NewBudget(b.config)
		b.byName[s] = budget
	}
	return budget
}

// sharedUsage returns this node's counts of requests and retries of sharedService,
// which are sent to the peers.
func (b *retryBudgets) sharedUsage(now time.Time) retry.Usage {
	b.mu.Lock()
	shared := b.byName[b.sharedService]
	b.mu.Unlock()
	if shared == nil {
		return retry.Usage{}
	}
	return shared.Usage(now)
}

// take reports whether the service's retry budget allows another retry now. If so, it
// counts the retry.
func (b *retryBudgets) take(s ring.RoutedService) bool {
	return b.budgetOf(s.Name).Take(time.Now(), b.node.NodeCount(), b.poolFor(s))
}

// allows reports whether take would return true now.
func (b *retryBudgets) allows(s ring.RoutedService) bool {
	return b.budgetOf(s.Name).Allows(time.Now(), b.node.NodeCount(), b.poolFor(s))
}

// poolFor returns the pool if the service is the only one with models that has had
// retries so far, otherwise nil.
func (b *retryBudgets) poolFor(s ring.RoutedService) *retry.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !s.HasReplicas():
		return nil
	case b.sharedService == "":
		b.sharedService, b.isOnlyService = s.Name, true
	case b.sharedService != s.Name:
		b.isOnlyService = false
	}
	if !b.isOnlyService {
		return nil
	}
	return b.pool
}
