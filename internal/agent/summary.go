package agent

import (
	"context"
	"log/slog"
	"sort"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/retry"
)

const (
	// storeFirst is how long a node tries to read a newer configuration itself;
	// the store answers in milliseconds.
	storeFirst = 300 * time.Millisecond
	// kickInterval is the least time between two reads of newer configurations in
	// a tree, where many nodes read each; it adds to the 3 s until it is in force.
	kickInterval = 600 * time.Millisecond
	// handoverTimeout bounds one question to a peer for its configuration.
	handoverTimeout = 500 * time.Millisecond
)

// report sums what this node and its children know.
func (a *Agent) report(now time.Time) digest.Report {
	own := a.digest(now)
	sum := map[uint64]*digest.Share{}
	at := func(e uint64) *digest.Share {
		if sum[e] == nil {
			sum[e] = &digest.Share{Epoch: e}
		}
		return sum[e]
	}
	for e, n := range own.Loads {
		s := at(e)
		s.Load = n
		_, still := own.Still[e]
		s.Flowing = !still
	}
	for e, ms := range own.Still {
		s := at(e)
		s.Still = max(s.Still, ms)
	}
	out := digest.Report{Name: a.config.Name, Nodes: 1, Number: own.Number, Confirmed: own.Confirmed}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.retries != nil {
		use := a.retries(now)
		out.Asked, out.Spent = use.Requests, use.Retries
	}
	a.tree.reported = make(map[ring.Epoch]int, len(own.Loads))
	for e, n := range own.Loads {
		a.tree.reported[ring.Epoch(e)] = n
	}
	for name, c := range a.tree.children {
		if now.Sub(c.heard) > childSilence {
			delete(a.tree.children, name)
			continue
		}
		out.Nodes += c.report.Nodes
		out.Asked += c.report.Asked
		out.Spent += c.report.Spent
		for _, s := range c.report.Shares {
			mine := at(s.Epoch)
			mine.Load += s.Load
			mine.Flowing = mine.Flowing || s.Flowing
			mine.Still = max(mine.Still, s.Still)
		}
		out.Number, out.Confirmed = newest(out.Number, out.Confirmed, c.report.Number, c.report.Confirmed+now.Sub(c.heard).Milliseconds())
	}
	for _, s := range sum {
		out.Shares = append(out.Shares, *s)
	}
	sort.Slice(out.Shares, func(i, j int) bool { return out.Shares[i].Epoch < out.Shares[j].Epoch })
	return out
}

// newest returns the larger number with the age of its confirmation; of two
// confirmations of the same number the younger counts.
func newest(number, confirmed, other, otherConfirmed int64) (int64, int64) {
	switch {
	case other > number:
		return other, otherConfirmed
	case other == number && otherConfirmed >= 0 && (confirmed < 0 || otherConfirmed < confirmed):
		return number, otherConfirmed
	}
	return number, confirmed
}

// hearReport takes the report of a node below.
func (a *Agent) hearReport(from string, r *digest.Report) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tree.children == nil {
		a.tree.children = map[string]child{}
	}
	if r.Nodes == 0 {
		delete(a.tree.children, r.Name) // It reports to another node now.
		return
	}
	isNews := hasNewStill(a.tree.children[r.Name].report.Shares, r.Shares)
	a.tree.children[r.Name] = child{address: from, heard: now, report: *r}
	if isNews {
		a.TellSoon()
	}
	if p := a.peers[r.Name]; p != nil {
		p.heard = now
	}
}

// hasNewStill reports whether a replica stands still now that did not before: the
// controller should hear of it at once.
func hasNewStill(before, now digest.Shares) bool {
	was := map[uint64]bool{}
	for _, s := range before {
		was[s.Epoch] = s.Still > 0
	}
	for _, s := range now {
		if s.Still > 0 && !was[s.Epoch] {
			return true
		}
	}
	return false
}

// hearSummary takes a summary and passes it on.
func (a *Agent) hearSummary(from string, s *digest.Summary) {
	now := time.Now()
	a.mu.Lock()
	if from == a.ownParent() {
		a.tree.lift = 0
	}
	isOld := s.Term < a.tree.term || (s.Term == a.tree.term && s.Sequence <= a.tree.sequence)
	if isOld || a.control.Load() {
		a.mu.Unlock()
		return
	}
	a.tree.term, a.tree.sequence, a.tree.heard, a.tree.nodes = s.Term, s.Sequence, now, s.Nodes
	a.controller = s.Root // Sooner than by the next listing of the nodes' state.
	a.mu.Unlock()
	a.spread(*s)
	if !s.IsFlash {
		a.takeShares(s.Shares, now)
		a.pool.Update(retry.Usage{Requests: s.Asked, Retries: s.Spent}, now.Add(poolAge))
		a.compareMembers(s.Members)
	}
	a.hearAbandoned(s.Abandoned, now)
	a.hearNumber(from, s.Number, s.Confirmed)
	if s.IsComplete {
		a.compare(from, s.Sums)
	}
}

// takeShares gives the fleet what all other nodes know.
func (a *Agent) takeShares(shares digest.Shares, now time.Time) {
	loads, still := map[ring.Epoch]int{}, map[ring.Epoch]time.Duration{}
	a.mu.Lock()
	for _, s := range shares {
		e := ring.Epoch(s.Epoch)
		if others := s.Load - a.tree.reported[e]; others > 0 {
			loads[e] = others
		}
		if !s.Flowing {
			still[e] = time.Duration(s.Still) * time.Millisecond
		}
	}
	a.mu.Unlock()
	a.fleet.UpdatePeer(treePeer, loads, still, now.Add(treeSilence))
}

// hearNumber takes what others know of the newest configuration; confirmed is
// the age of that knowledge in milliseconds, or negative.
func (a *Agent) hearNumber(from string, number, confirmed int64) {
	own := a.number()
	switch {
	case number > own:
		if !a.isTree() || a.kicks.Allow() {
			a.routingMirror.Kick()
		}
		a.askLater(from, number)
	case own > 0 && number == own && confirmed >= 0:
		a.confirm(clock.NewMark().Before(time.Duration(confirmed)*time.Millisecond + confirmSlack))
	}
}

// askLater asks a peer for the configuration that it has, if this node has not
// read it from the store soon.
func (a *Agent) askLater(from string, number int64) {
	if a.config.Handover == nil || !a.asking.CompareAndSwap(false, true) {
		return
	}
	wait := storeFirst
	if a.isTree() {
		wait += kickInterval // It may not have tried yet.
	}
	time.AfterFunc(wait, func() {
		defer a.asking.Store(false)
		own := a.number()
		if own >= number {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		got, text, err := a.config.Handover.Document(ctx, from, own)
		if err != nil {
			a.log.Write(event.HandoverFailed, slog.String("peer", from), slog.Int64("number", number), slog.Any("error", err))
			return
		}
		if got > own {
			a.useRouting(text, from)
		}
	})
}
