// Package intake bounds what a process holds for its clients, whatever they send: connections,
// heads, bodies and answers that are not read.
//
// Terms:
//
//   - Budget: the bytes that a process may hold for clients, in parts for connections, heads with
//     short bodies, long bodies, and answers. One part does not use up another.
//   - Listener: limits the connections of a net.Listener. All listeners of a process share the budget.
//   - Stage: what a connection waits for: idle, for the rest of a head or of a body, for memory
//     (awaiting), for the handler (working), for its client to read (writing), or for the client's
//     close (lingering).
//   - Given up: closed in favor of another, or because the client has stalled. Until the goroutine
//     that serves it has ended, the connection is leaving.
//   - Overdue: how long a client has sent, or read, less than leastRate asks for.
//
// Invariants:
//
//   - The parts are never exceeded by what is charged. A head is charged as it arrives, a body by
//     its length before it is read; memory for a body is allocated as its bytes arrive.
//   - A request whose body is complete is never given up in favor of another: only clients that
//     the process waits for are. What is given up before its body was complete has not run.
//   - The connection that is given up is the one that is overdue longest, counted by what it holds.
package intake

import "time"

// Stage is what a connection waits for.
type Stage uint8

// The stages.
const (
	Idle Stage = iota
	Head
	Body
	Awaiting
	Working
	Writing
	Lingering
)

const (
	// leastRate is the rate, in bytes a second, below which a client becomes overdue.
	leastRate = 64 << 10
	// stallGrace is how long a client must be overdue before its body is given up for a
	// body that waits.
	stallGrace = 100 * time.Millisecond
	// freshGrace is how long a client must be overdue before it is closed for a new connection,
	// also one whose connection has just been opened.
	freshGrace = 20 * time.Millisecond
	// longWrite is the least size of a write of an answer that takes a part of the budget for
	// answers; an event of a stream is shorter.
	longWrite = 56 << 10
)

// progress is what the rules know of a connection. Times are those since the listener was opened.
type progress struct {
	stage Stage
	// due is until when the client has sent enough: its bytes, at leastRate, move it up to the
	// present.
	due time.Duration
	// held is how many bytes are charged for the request, and long of them for a long body.
	held, long int
	// writing is how many bytes the write that waits has.
	writing int
}

// enter begins a stage.
func (p *progress) enter(s Stage, now time.Duration) { p.stage, p.due = s, now }

// advance records that n bytes have moved.
func (p *progress) advance(n int, now time.Duration) {
	p.due = min(p.due+time.Duration(n)*time.Second/leastRate, now)
}

// overdue returns for how long the client has been overdue.
func (p *progress) overdue(now time.Duration) time.Duration {
	if p.stage == Working {
		return 0
	}
	return now - p.due
}

// need is what is missing.
type need uint8

const (
	// needConnection is a place for a new connection, needHead memory for heads and short
	// bodies, needBody memory for long bodies, and needAnswer memory for answers.
	needConnection need = iota
	needHead
	needBody
	needAnswer
)

// mayGiveUp reports whether the connection may be given up for another that needs something.
func (p *progress) mayGiveUp(n need, now time.Duration) bool {
	switch n {
	case needConnection:
		grace := freshGrace
		if p.stage == Awaiting {
			grace = stallGrace
		}
		return p.stage == Lingering || (p.stage != Working && p.overdue(now) >= grace)
	case needHead:
		return p.held > 0 && (p.stage == Head || p.stage == Body || (p.stage == Awaiting && p.overdue(now) >= stallGrace))
	case needBody:
		return p.stage == Body && p.long > 0 && p.overdue(now) >= stallGrace
	default:
		return p.stage == Writing && p.writing >= longWrite && p.overdue(now) >= stallGrace
	}
}

// awaitsClient reports whether the client must send the next bytes.
func (p *progress) awaitsClient() bool {
	return p.stage == Idle || p.stage == Head || p.stage == Body
}

// rank orders the connections that may be given up: those that linger have their answer, those
// that are idle hold no request; between the others the time decides, times the bytes that the
// connection holds.
func (p *progress) rank(now time.Duration) (class int, overdue float64) {
	overdue = p.overdue(now).Seconds() * float64(connectionCost+p.held+p.long)
	switch p.stage {
	case Lingering:
		return 2, overdue
	case Idle:
		return 0, overdue
	default:
		return 1, overdue
	}
}

// goesBefore reports whether the connection is given up rather than another.
func (p *progress) goesBefore(q *progress, now time.Duration) bool {
	class, overdue := p.rank(now)
	otherClass, otherOverdue := q.rank(now)
	if class != otherClass {
		return class > otherClass
	}
	return overdue > otherOverdue
}

// choose returns which of n connections, as at returns them, is given up for another that needs
// something, or -1. asker is one that is never chosen, or -1.
func choose(n int, at func(i int) *progress, what need, asker int, now time.Duration) int {
	best := -1
	for i := range n {
		p := at(i)
		if i != asker && p.mayGiveUp(what, now) && (best < 0 || p.goesBefore(at(best), now)) {
			best = i
		}
	}
	return best
}
