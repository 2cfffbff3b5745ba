// Package echo lets a node learn from a peer when something was true, as a moment of the
// node's own clock, however long messages take and processes stand still in between.
//
// An age in a message proves nothing: the message may wait for seconds, in the network or
// in the socket of a process that stands still, before it is handled. So each node puts a
// stamp of its own clock into its messages, and a peer returns the last stamp that it has
// handled, together with the lag of what it knows: the time from the moment at which this
// was true to the moment at which the peer handled the stamp, both by the peer's clock.
//
// Terms:
//
//   - Moment: a time since the start of a node, by its own clock.
//   - Stamp: a moment in the form sent in messages. It has a meaning only for the start of
//     the node that made it.
//   - Lag: the time from a fact to the handling of a stamp; negative if the fact is later.
//
// Invariant: a stamp is made before it is handled, so the stamp less the lag is not later
// than the fact. A message that is late makes the result earlier, never later. This holds
// if the clocks of nodes count standstills and, for maxAge, run at the same rate; what they
// differ by then belongs to the margins of those who use the result.
package echo

import (
	"maps"
	"time"
)

const (
	// maxAge is how long a stamp is returned to the node that made it. Clocks that differ by
	// 200 millionths drift apart by 2 ms in this time.
	maxAge = 10 * time.Second
	// replaceAge is the age from which a stamp is replaced by any later one, so that there is
	// another long before maxAge.
	replaceAge = maxAge / 2
	// stampInterval is the time between two stamps for the same peer. A stamp serves for
	// replaceAge, and some are lost.
	stampInterval = time.Second
)

// Stamp is a moment of the node that made it. The zero value means none.
type Stamp uint64

// Clock makes and reads the stamps of one start of a node.
type Clock struct {
	// origin is the stamp of moment 0. Being random, it tells the stamps of this start from
	// those of earlier ones.
	origin uint64
}

// NewClock returns a clock. origin must be a random number.
func NewClock(origin uint64) Clock { return Clock{origin: origin} }

// Stamp returns the stamp of a moment, rounded down to milliseconds.
func (c Clock) Stamp(moment time.Duration) Stamp {
	return Stamp(c.origin + uint64(moment.Milliseconds()))
}

// Moment returns the latest moment at which a fact is known to have been true: the one of
// the stamp that a peer returned, less the lag. It returns false if the stamp is not of this
// start of the node, or if the result is after now.
func (c Clock) Moment(s Stamp, lag, now time.Duration) (time.Duration, bool) {
	millis := uint64(s) - c.origin
	if s == 0 || millis > uint64(now.Milliseconds()) {
		return 0, false
	}
	moment := time.Duration(millis)*time.Millisecond - lag
	return moment, moment <= now
}

// Lag returns the time from a fact to the handling of a stamp, rounded up to milliseconds.
func Lag(fact, handledAt time.Duration) time.Duration {
	lag := (handledAt - fact).Truncate(time.Millisecond)
	if lag < handledAt-fact {
		lag += time.Millisecond
	}
	return lag
}

// Arrival is a stamp of a peer and the moment at which this node handled it.
type Arrival struct {
	Stamp Stamp
	At    time.Duration
}

// delayMillis returns the time from the stamp to its handling plus an unknown constant, which
// is the same for all stamps of one start of the peer.
func (a Arrival) delayMillis() int64 {
	return int64(uint64(a.At.Milliseconds()) - uint64(a.Stamp))
}

// Peers holds, by address, the stamp of each peer that this node returns, and when each peer
// gets the next stamp of this node. The zero value is ready to use.
type Peers struct {
	arrivals map[string]Arrival
	stampAt  map[string]time.Duration
}

// IsStampDue reports whether the message to a peer that is sent now should have a stamp. If
// so, the next one is due after stampInterval.
func (p *Peers) IsStampDue(address string, now time.Duration) bool {
	if p.stampAt == nil {
		p.stampAt = map[string]time.Duration{}
	}
	at, ok := p.stampAt[address]
	if now < at {
		return false
	}
	if !ok {
		maps.DeleteFunc(p.stampAt, func(_ string, at time.Duration) bool { return now-at > maxAge })
	}
	p.stampAt[address] = now + stampInterval
	return true
}

// Record records the arrival of a stamp. It keeps the one that took the shortest time, which
// proves the most, for replaceAge at least.
func (p *Peers) Record(address string, a Arrival) {
	if p.arrivals == nil {
		p.arrivals = map[string]Arrival{}
	}
	kept, ok := p.arrivals[address]
	if !ok {
		maps.DeleteFunc(p.arrivals, func(_ string, old Arrival) bool { return a.At-old.At > maxAge })
	}
	longer := a.delayMillis() - kept.delayMillis()
	isOtherStart := longer > maxAge.Milliseconds()
	if !ok || a.At-kept.At > replaceAge || isOtherStart || longer <= 0 {
		p.arrivals[address] = a
	}
}

// Last returns the arrival whose stamp is to be returned to a peer. It returns false if there
// is none.
func (p *Peers) Last(address string, now time.Duration) (Arrival, bool) {
	a, ok := p.arrivals[address]
	return a, ok && now-a.At <= maxAge
}
