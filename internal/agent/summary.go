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
	// ownReadDelay is how long a node tries to read a newer configuration itself;
	// the store answers in milliseconds.
	ownReadDelay = 300 * time.Millisecond
	// configReadInterval is the least time between two reads of newer configurations in
	// a tree, where many nodes read each; it adds to the 3 s until it is in force.
	configReadInterval = 600 * time.Millisecond
	// fetchConfigTimeout bounds one question to a peer for its configuration.
	fetchConfigTimeout = 500 * time.Millisecond
)

// buildReport sums what this node and its children know.
func (a *Agent) buildReport(now time.Time) digest.Report {
	own := a.buildDigest(now)
	sum := map[uint64]*digest.ReplicaStatus{}
	at := func(e uint64) *digest.ReplicaStatus {
		if sum[e] == nil {
			sum[e] = &digest.ReplicaStatus{Epoch: e}
		}
		return sum[e]
	}
	for e, n := range own.Loads {
		s := at(e)
		s.Load = n
		_, still := own.StalledMillis[e]
		s.Active = !still
	}
	for e, ms := range own.StalledMillis {
		s := at(e)
		s.StalledMillis = max(s.StalledMillis, ms)
	}
	out := digest.Report{Name: a.config.Name, Nodes: 1, ConfigNumber: own.ConfigNumber, ConfirmedAgeMillis: own.ConfirmedAgeMillis}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ownRetries != nil {
		use := a.ownRetries(now)
		out.Requests, out.Retries = use.Requests, use.Retries
	}
	a.tree.reportedLoads = make(map[ring.Epoch]int, len(own.Loads))
	for e, n := range own.Loads {
		a.tree.reportedLoads[ring.Epoch(e)] = n
	}
	for name, c := range a.tree.children {
		if now.Sub(c.heardAt) > childTimeout {
			delete(a.tree.children, name)
			continue
		}
		out.Nodes += c.report.Nodes
		out.Requests += c.report.Requests
		out.Retries += c.report.Retries
		for _, s := range c.report.Replicas {
			mine := at(s.Epoch)
			mine.Load += s.Load
			mine.Active = mine.Active || s.Active
			mine.StalledMillis = max(mine.StalledMillis, s.StalledMillis)
		}
		out.ConfigNumber, out.ConfirmedAgeMillis = newerConfig(out.ConfigNumber, out.ConfirmedAgeMillis, c.report.ConfigNumber, c.report.ConfirmedAgeMillis+now.Sub(c.heardAt).Milliseconds())
	}
	for _, s := range sum {
		out.Replicas = append(out.Replicas, *s)
	}
	sort.Slice(out.Replicas, func(i, j int) bool { return out.Replicas[i].Epoch < out.Replicas[j].Epoch })
	return out
}

// newerConfig returns the larger number with the age of its confirmation; of two
// confirmations of the same number the younger counts.
func newerConfig(number, confirmed, other, otherConfirmed int64) (int64, int64) {
	switch {
	case other > number:
		return other, otherConfirmed
	case other == number && otherConfirmed >= 0 && (confirmed < 0 || otherConfirmed < confirmed):
		return number, otherConfirmed
	}
	return number, confirmed
}

// applyReport takes the report of a node below.
func (a *Agent) applyReport(from string, r *digest.Report) {
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
	isNews := hasNewStall(a.tree.children[r.Name].report.Replicas, r.Replicas)
	a.tree.children[r.Name] = child{address: from, heardAt: now, report: *r}
	if isNews {
		a.SendDigestSoon()
	}
	if p := a.peers[r.Name]; p != nil {
		p.heardAt = now
	}
}

// hasNewStall reports whether a replica stands still now that did not before: the
// controller should hear of it at once.
func hasNewStall(before, now digest.ReplicaStatuses) bool {
	was := map[uint64]bool{}
	for _, s := range before {
		was[s.Epoch] = s.StalledMillis > 0
	}
	for _, s := range now {
		if s.StalledMillis > 0 && !was[s.Epoch] {
			return true
		}
	}
	return false
}

// applySummary takes a summary and passes it on.
func (a *Agent) applySummary(from string, s *digest.Summary) {
	now := time.Now()
	a.mu.Lock()
	if from == a.regularParent() {
		a.tree.skippedParents = 0
	}
	isOld := s.Term < a.tree.term || (s.Term == a.tree.term && s.Sequence <= a.tree.sequence)
	if isOld || a.isController.Load() {
		a.mu.Unlock()
		return
	}
	a.tree.term, a.tree.sequence, a.tree.summaryAt, a.tree.nodeCount = s.Term, s.Sequence, now, s.Nodes
	a.controller = s.Root // Sooner than by the next listing of the nodes' state.
	a.mu.Unlock()
	a.forwardSummary(*s)
	if !s.IsPartial {
		a.applyReplicaStatuses(s.Replicas, now)
		a.retryPool.Update(retry.Usage{Requests: s.Requests, Retries: s.Retries}, now.Add(retryPoolTTL))
		a.checkNodesChecksum(s.NodesChecksum)
	}
	a.applyAbandoned(s.Abandoned, now)
	a.applyConfigNumber(from, s.ConfigNumber, s.ConfirmedAgeMillis)
	if s.HasFullRegistry {
		a.checkRegistryChecksums(from, s.Checksums)
	}
}

// applyReplicaStatuses gives the fleet what all other nodes know.
func (a *Agent) applyReplicaStatuses(shares digest.ReplicaStatuses, now time.Time) {
	loads, still := map[ring.Epoch]int{}, map[ring.Epoch]time.Duration{}
	a.mu.Lock()
	for _, s := range shares {
		e := ring.Epoch(s.Epoch)
		if others := s.Load - a.tree.reportedLoads[e]; others > 0 {
			loads[e] = others
		}
		if !s.Active {
			still[e] = time.Duration(s.StalledMillis) * time.Millisecond
		}
	}
	a.mu.Unlock()
	a.fleet.UpdatePeer(treePeer, loads, still, now.Add(parentTimeout))
}

// applyConfigNumber takes what others know of the newest configuration; confirmed is
// the age of that knowledge in milliseconds, or negative.
func (a *Agent) applyConfigNumber(from string, number, confirmed int64) {
	own := a.configNumber()
	switch {
	case number > own:
		if !a.usesTree() || a.configReadLimiter.Allow() {
			a.routingMirror.Kick()
		}
		a.fetchConfigLater(from, number)
	case own > 0 && number == own && confirmed >= 0:
		a.recordConfirmation(clock.NewMark().Before(time.Duration(confirmed)*time.Millisecond + confirmSlack))
	}
}

// fetchConfigLater asks a peer for the configuration that it has, if this node has not
// read it from the store soon.
func (a *Agent) fetchConfigLater(from string, number int64) {
	if a.config.ConfigFetcher == nil || !a.isFetchingConfig.CompareAndSwap(false, true) {
		return
	}
	wait := ownReadDelay
	if a.usesTree() {
		wait += configReadInterval // It may not have tried yet.
	}
	time.AfterFunc(wait, func() {
		defer a.isFetchingConfig.Store(false)
		own := a.configNumber()
		if own >= number {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), fetchConfigTimeout)
		defer cancel()
		got, text, err := a.config.ConfigFetcher.Document(ctx, from, own)
		if err != nil {
			a.log.Write(event.HandoverFailed, slog.String("peer", from), slog.Int64("number", number), slog.Any("error", err))
			return
		}
		if got > own {
			a.activateRouting(text, from)
		}
	})
}
