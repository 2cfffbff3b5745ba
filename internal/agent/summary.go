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
	// ownReadDelay is how long a node tries to read an announced configuration from
	// the store, which answers in milliseconds, before it asks a peer.
	ownReadDelay = 300 * time.Millisecond
	// configReadInterval is the minimum time between two reads of announced
	// configurations from the store by a node of the tree, where every node reads each
	// of them. It counts towards the 3 s within which a configuration becomes active.
	configReadInterval = 600 * time.Millisecond
	// fetchConfigTimeout bounds one fetch of a configuration from a peer. Over a slow link, to
	// which other nodes' fetches add, a large one takes most of a second.
	fetchConfigTimeout = 1500 * time.Millisecond
)

// buildReport returns the report that this node sends to its parent in the tree of
// nodes: its own state aggregated with the last reports of its children. It drops the
// children that have timed out.
func (a *Agent) buildReport(now time.Time) digest.Report {
	own := a.buildDigest(now)
	statuses := map[uint64]*digest.ReplicaStatus{}
	statusOf := func(e uint64) *digest.ReplicaStatus {
		if statuses[e] == nil {
			statuses[e] = &digest.ReplicaStatus{Epoch: e}
		}
		return statuses[e]
	}
	for e, n := range own.Loads {
		s := statusOf(e)
		s.Load = n
		_, isStalled := own.StalledMillis[e]
		s.Active = !isStalled
	}
	for e, ms := range own.StalledMillis {
		s := statusOf(e)
		s.StalledMillis = max(s.StalledMillis, ms)
	}
	out := digest.Report{Name: a.config.Name, Nodes: 1, ConfigNumber: own.ConfigNumber, Era: own.Era}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ownRetryUsage != nil {
		usage := a.ownRetryUsage(now)
		out.Requests, out.Retries = usage.Requests, usage.Retries
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
		out.Era = max(out.Era, c.report.Era)
		out.Requests += c.report.Requests
		out.Retries += c.report.Retries
		for _, s := range c.report.Replicas {
			total := statusOf(s.Epoch)
			total.Load += s.Load
			total.Active = total.Active || s.Active
			total.StalledMillis = max(total.StalledMillis, s.StalledMillis)
		}
		out.ConfigNumber = max(out.ConfigNumber, c.report.ConfigNumber)
	}
	for _, s := range statuses {
		out.Replicas = append(out.Replicas, *s)
	}
	sort.Slice(out.Replicas, func(i, j int) bool { return out.Replicas[i].Epoch < out.Replicas[j].Epoch })
	return out
}

// applyReport stores the report of a child in the tree of nodes. If the report shows a
// newly stalled replica, it requests that this node's own report is sent before the
// regular interval has passed. pinned is that of the message.
func (a *Agent) applyReport(from string, r *digest.Report, pinned *digest.Pinned) {
	now := time.Now()
	a.config.Store.ObserveEra(ring.Era(r.Era))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tree.children == nil {
		a.tree.children = map[string]child{}
	}
	if r.Nodes == 0 {
		delete(a.tree.children, r.Name) // It reports to another node now.
		return
	}
	hasStall := hasNewStall(a.tree.children[r.Name].report.Replicas, r.Replicas)
	a.tree.children[r.Name] = child{address: from, heardAt: now, report: *r, pinned: pinned}
	if hasStall {
		a.SendDigestSoon()
	}
	if p := a.peers[r.Name]; p != nil {
		p.heardAt = now
	}
}

// hasNewStall reports whether any replica is stalled in the current report but not in
// the previous one. The controller should learn of a new stall without delay.
func hasNewStall(previous, current digest.ReplicaStatuses) bool {
	wasStalled := map[uint64]bool{}
	for _, s := range previous {
		wasStalled[s.Epoch] = s.StalledMillis > 0
	}
	for _, s := range current {
		if s.StalledMillis > 0 && !wasStalled[s.Epoch] {
			return true
		}
	}
	return false
}

// applySummary stores the state of all nodes from a summary, which the root of the tree
// of nodes has sent, and forwards the summary to this node's children. It ignores
// summaries that are repeated, out of order or of an earlier term. registryAt is the instant
// up to which the summary's checksums cover the registry, or zero if that is not known.
func (a *Agent) applySummary(from string, s *digest.Summary, registryAt clock.Instant) {
	now := time.Now()
	a.config.Store.ObserveEra(ring.Era(s.Era))
	a.mu.Lock()
	if from == a.regularParent() {
		a.tree.skippedParents = 0
	}
	if a.tree.hasSeen(s) || a.isController.Load() {
		a.mu.Unlock()
		return
	}
	a.tree.term, a.tree.sequence, a.tree.summaryAt, a.tree.nodeCount = s.Term, s.Sequence, now, s.Nodes
	a.controller = s.Root // This is earlier than the next listing of the state prefix.
	a.mu.Unlock()
	a.forwardSummary(*s, registryAt)
	if !s.IsPartial {
		a.applyReplicaStatuses(s.Replicas, now)
		a.retryPool.Update(retry.Usage{Requests: s.Requests, Retries: s.Retries}, now.Add(retryPoolTTL))
		a.checkNodesChecksum(s.NodesChecksum)
	}
	a.applyAbandoned(s.Abandoned, now)
	a.applyConfigNumber(from, s.ConfigNumber)
	if s.HasRegistry {
		a.checkRegistryChecksums(from, s, registryAt)
	}
}

// hasSeen reports whether a summary is repeated, out of order or of an earlier term.
func (t *tree) hasSeen(s *digest.Summary) bool {
	return s.Term < t.term || (s.Term == t.term && s.Sequence <= t.sequence)
}

// isForwarded reports whether this node sends a message on to its children: a summary that it has
// not seen.
func (a *Agent) isForwarded(m digest.Message) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return m.Summary != nil && !a.tree.hasSeen(m.Summary) && !a.isController.Load()
}

// applyReplicaStatuses stores in the fleet the other nodes' requests at each replica
// and the replicas that have stalled there. It subtracts this node's own requests,
// which the sums in statuses may include.
func (a *Agent) applyReplicaStatuses(statuses digest.ReplicaStatuses, now time.Time) {
	loads, stalled := map[ring.Epoch]int{}, map[ring.Epoch]time.Duration{}
	a.mu.Lock()
	for _, s := range statuses {
		e := ring.Epoch(s.Epoch)
		if others := s.Load - a.tree.reportedLoads[e]; others > 0 {
			loads[e] = others
		}
		if !s.Active {
			stalled[e] = time.Duration(s.StalledMillis) * time.Millisecond
		}
	}
	a.mu.Unlock()
	a.fleet.UpdatePeer(treePeer, loads, stalled, now.Add(parentTimeout))
}

// fetchConfigLater fetches and activates the configuration of the peer at an address after a
// delay, or at once if the store does not answer this node. It does nothing if a fetch is
// already pending, or if this node has read a configuration with at least that number from
// the store by then.
func (a *Agent) fetchConfigLater(from string, number int64) {
	if a.config.ConfigFetcher == nil || !a.isFetchingConfig.CompareAndSwap(false, true) {
		return
	}
	delay := ownReadDelay
	if a.usesTree() {
		delay += configReadInterval // The rate limit may have postponed this node's own read.
	}
	if !a.routingMirror.IsStoreUp() {
		delay = 0
	}
	time.AfterFunc(delay, func() {
		defer a.isFetchingConfig.Store(false)
		own := a.configNumber()
		if own >= number {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), fetchConfigTimeout)
		defer cancel()
		fetched, text, err := a.config.ConfigFetcher.FetchConfig(ctx, from, own)
		if err != nil {
			a.log.Write(event.ConfigurationFetchFailed, slog.String("peer", from), slog.Int64("number", number), slog.Any("error", err))
			return
		}
		if fetched > own {
			a.activateRouting(text, from)
		}
	})
}
