package intake

import "sync"

// connectionCost is what an open connection takes: its buffers, its goroutine and its records.
const connectionCost = 16 << 10

// defaultBudget is the budget of a process without a memory limit, in bytes.
const defaultBudget = 512 << 20

// The budget is 11/24 of the memory limit: 3/24 for connections, 2/24 for heads and short bodies,
// 4/24 for long bodies and 2/24 for answers. The rest is for the process itself and for what
// the Go runtime has not collected.
const (
	limitParts      = 24
	connectionParts = 3
	headParts       = 2
	bodyParts       = 4
	answerParts     = 2
	budgetParts     = connectionParts + headParts + bodyParts + answerParts
)

// Limits are the limits of a process. All have a default that is derived from the others.
type Limits struct {
	// Memory is the memory limit of the process in bytes, or 0.
	Memory int64
	// Budget is what the process may hold for clients in bytes, or 0 for a part of Memory.
	Budget int64
	// Descriptors is the limit of descriptors of the process.
	Descriptors int
	// Connections is the limit of callers' connections, or 0 for one that leaves enough
	// descriptors and memory.
	Connections int
	// PerAddress is the limit of connections of one remote address, or 0.
	PerAddress int
	// PerWorkspace is the limit of connections with a request of one workspace, or 0.
	PerWorkspace int
	// Fields is the limit of header fields of a request.
	Fields int
}

// part returns a part of the budget in bytes.
func (l Limits) part(parts int64) int64 {
	budget := l.Budget
	if budget == 0 && l.Memory > 0 {
		budget = l.Memory * budgetParts / limitParts
	}
	if budget == 0 {
		budget = defaultBudget
	}
	return budget * parts / budgetParts
}

// BodyBytes and AnswerBytes return the parts of the budget for long bodies and for answers.
func (l Limits) BodyBytes() int { return int(l.part(bodyParts)) }

// AnswerBytes returns the part for answers.
func (l Limits) AnswerBytes() int { return int(l.part(answerParts)) }

// maxConnections returns the limit of callers' connections: half of the descriptors are left for
// servers, peers and the store.
func (l Limits) maxConnections() int {
	if l.Connections > 0 {
		return l.Connections
	}
	return max(1, min(l.Descriptors/2, int(l.part(connectionParts)/connectionCost)))
}

// bytesLeft counts the bytes of a part of the budget that are not charged.
type bytesLeft struct {
	mu   sync.Mutex
	free int64
}

// take charges n bytes, and returns false if they are not free.
func (b *bytesLeft) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free < int64(n) {
		return false
	}
	b.free -= int64(n)
	return true
}

// give returns n charged bytes.
func (b *bytesLeft) give(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += int64(n)
}
