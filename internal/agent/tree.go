package agent

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/retry"
)

// Above minTreeNodes nodes, digests travel by a tree and not from each node to each:
// the cost of a node then does not grow with their number. A node reports to its
// parent what it and all below it know; the root sends the sum back down. The
// controller is the root, and passes on what changes in the registry, so that
// the others need not watch it.
const (
	minTreeNodes = 13
	// treeFanout is how many children a node has.
	treeFanout = 4
	// treeInterval is the least time between two reports.
	treeInterval = 230 * time.Millisecond
	// parentTimeout is the time after which a child or a parent counts as lost.
	// A node without a parent reports to the parent's parent.
	parentTimeout = 2500 * time.Millisecond
	// followTimeout is the time without a summary after which a node watches the
	// store by itself.
	followTimeout = 1500 * time.Millisecond
	// rootTimeout is the time without a summary before which the root counts as
	// in office.
	rootTimeout = 700 * time.Millisecond
	// maxCampaigners is how many nodes watch for a vacancy while there is no root,
	// and vacancyTimeout after what time all do.
	maxCampaigners = 8
	vacancyTimeout = 2500 * time.Millisecond
	// retryPoolTTL is how long a summary's sum of retries counts.
	retryPoolTTL = time.Second
	// childTimeout is the time after which a child no longer counts.
	childTimeout = 1300 * time.Millisecond
	// treeBytesPerSecond is what reports and summaries of a node may cost, and
	// extraChildBytesPerSecond what those may to nodes that are not below it in the
	// order, as while the tree changes; extraChildBurst is how many of these bytes may
	// go at once.
	treeBytesPerSecond       = 2300
	extraChildBytesPerSecond = 400
	extraChildBurst          = 3000
	// urgentBytesPerSecond is what news between them may cost, and urgentBurst how many
	// of these bytes may go at once.
	urgentBytesPerSecond = 450
	urgentBurst          = 3000
	// urgentInterval is the least time between two messages of news.
	urgentInterval = 100 * time.Millisecond
	// stateListInterval is the least time between two listings of the nodes'
	// state because the root knows other nodes.
	stateListInterval = 1500 * time.Millisecond
	// entriesPerDatagram is how many registry changes fit into one datagram.
	entriesPerDatagram = 6
)

// treePeer is the name under which the fleet knows the sum of all other nodes.
const treePeer = "tree"

// tree is a node's state in the tree. It is guarded by Agent.mu.
type tree struct {
	children map[string]child
	// sequence is the last summary that was taken, of the root's term.
	term      int64
	sequence  uint64
	summaryAt time.Time
	nodeCount int
	// reportedLoads are the own loads that the last summary may hold.
	reportedLoads map[ring.Epoch]int
	// skippedParents is how many parents are passed over because they are silent.
	skippedParents  int
	parentSkippedAt time.Time
	pendingEntries  []digest.Entry
	// rootChecksums are the root's checksums over the registry, differ how many
	// summaries in a row brought another one than this node's.
	rootChecksums      [digest.BucketCount]uint16
	checksumMismatches [digest.BucketCount]int
	// nodesMismatches is how many summaries in a row came from a root that knows other
	// nodes.
	nodesMismatches int
	// lastParent is the address that was last reported to.
	lastParent string
	// rotation is which child comes first.
	rotation int
}

type child struct {
	address string
	heardAt time.Time
	report  digest.Report
}

// usesTree reports whether digests travel by the tree.
func (a *Agent) usesTree() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usesTreeLocked()
}

// usesTreeLocked reports whether there are too many nodes for messages of each to each;
// mu is held.
func (a *Agent) usesTreeLocked() bool { return len(a.peers)+1 >= minTreeNodes }

// rootSendsChanges reports whether the registry's changes come from the root, so that
// this node need not watch it.
func (a *Agent) rootSendsChanges() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.isController.Load() && a.usesTreeLocked() && time.Since(a.tree.summaryAt) < followTimeout
}

// canSkipStateWatch reports whether this node need not watch the nodes' state: the
// root passes on what matters, or it is not this node's turn to become root.
func (a *Agent) canSkipStateWatch() bool {
	if a.rootSendsChanges() {
		return true
	}
	isLate := a.campaignDelay() >= maxCampaigners*campaignStep
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.isController.Load() && a.usesTreeLocked() && isLate && time.Since(a.tree.summaryAt) < vacancyTimeout
}

// treeOrder returns all nodes, the root first; mu is held.
func (a *Agent) treeOrder() []string {
	names := make([]string, 0, len(a.peers)+1)
	for name := range a.peers {
		if name != a.controller {
			names = append(names, name)
		}
	}
	if a.config.Name != a.controller {
		names = append(names, a.config.Name)
	}
	sort.Strings(names)
	if a.controller != "" {
		names = append([]string{a.controller}, names...)
	}
	return names
}

// treePosition returns all nodes in order, and which of them this one is; mu is held.
func (a *Agent) treePosition() ([]string, int) {
	names := a.treeOrder()
	for i, name := range names {
		if name == a.config.Name {
			return names, i
		}
	}
	return names, 0
}

// addressOf returns the address of a node in the order, or "" for this one; mu
// is held.
func (a *Agent) addressOf(name string) string {
	if p := a.peers[name]; p != nil {
		return p.address
	}
	return ""
}

// currentParent returns the address of the node to report to, or "" at the root; mu is
// held.
func (a *Agent) currentParent(now time.Time) string {
	names, own := a.treePosition()
	if own == 0 {
		return ""
	}
	// A silent parent is passed over, one more for each span of silence, until
	// a summary comes from it again.
	if now.Sub(a.tree.summaryAt) > parentTimeout && now.Sub(a.tree.parentSkippedAt) > parentTimeout {
		a.tree.skippedParents++
		a.tree.parentSkippedAt = now
	}
	for range a.tree.skippedParents + 1 {
		if own == 0 {
			a.tree.skippedParents = 0 // Even the root was tried; begin again below.
			break
		}
		own = (own - 1) / treeFanout
	}
	return a.addressOf(names[own])
}

// regularParent returns the address of the node above in the order; mu is held.
func (a *Agent) regularParent() string {
	names, own := a.treePosition()
	if own == 0 {
		return ""
	}
	return a.addressOf(names[(own-1)/treeFanout])
}

// regularChildren returns the addresses of the nodes below in the order; mu is held.
func (a *Agent) regularChildren() []string {
	names, own := a.treePosition()
	var out []string
	for i := own*treeFanout + 1; i <= own*treeFanout+treeFanout && i < len(names); i++ {
		if address := a.addressOf(names[i]); address != "" {
			out = append(out, address)
		}
	}
	return out
}

// sendTreeUpdate sends this node's report to its parent, or at the root the summary to
// its children, and returns the bytes that it took. What is news at the root
// between two summaries goes without the rest.
func (a *Agent) sendTreeUpdate(now time.Time, isNews bool) int {
	report := a.buildReport(now)
	a.mu.Lock()
	parent := a.currentParent(now)
	isRoot := a.isController.Load() // One whose term ended must not speak for the store.
	if isRoot {
		a.tree.sequence++
		a.tree.summaryAt, a.tree.nodeCount = now, report.Nodes
	}
	term, sequence := a.tree.term, a.tree.sequence
	entries := a.tree.pendingEntries
	a.tree.pendingEntries = nil
	former := a.tree.lastParent
	a.tree.lastParent = parent
	a.mu.Unlock()
	if former != "" && former != parent {
		// Else both parents would count this node for a while.
		a.send(former, digest.Message{Report: &digest.Report{Name: a.config.Name}})
	}
	if !isRoot {
		if parent == "" {
			return 0
		}
		return a.send(parent, digest.Message{Report: &report})
	}
	if isNews {
		flash := digest.Summary{
			Root: a.config.Name, Term: term, Sequence: sequence, Nodes: report.Nodes, ConfigNumber: report.ConfigNumber, ConfirmedAgeMillis: report.ConfirmedAgeMillis,
			IsPartial: true, Abandoned: a.abandonedEpochs(),
		}
		return a.forwardSummary(flash) + a.forwardEntries(entries)
	}
	spent := a.forwardSummary(digest.Summary{
		Root: a.config.Name, Term: term, Sequence: sequence, Nodes: report.Nodes, ConfigNumber: report.ConfigNumber, ConfirmedAgeMillis: report.ConfirmedAgeMillis, Replicas: report.Replicas,
		Checksums: a.registryChecksums(), HasFullRegistry: a.hasFullRegistry.Load(), NodesChecksum: a.nodesChecksum(), Abandoned: a.abandonedEpochs(), Requests: report.Requests, Retries: report.Retries,
	})
	a.applyReplicaStatuses(report.Replicas, now)
	a.retryPool.Update(retry.Usage{Requests: report.Requests, Retries: report.Retries}, now.Add(retryPoolTTL))
	return spent + a.forwardEntries(entries)
}

// nodesChecksum returns a checksum over the names of all nodes, as known here.
func (a *Agent) nodesChecksum() uint16 {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := uint16(xxhash.Sum64String(a.config.Name))
	for name := range a.peers {
		sum ^= uint16(xxhash.Sum64String(name))
	}
	return sum
}

// checkNodesChecksum lists the nodes' state when the root knows other nodes: with
// another order of nodes, some have no parent that sends to them.
func (a *Agent) checkNodesChecksum(members uint16) {
	own := a.nodesChecksum()
	a.mu.Lock()
	a.tree.nodesMismatches++
	if own == members {
		a.tree.nodesMismatches = 0
	}
	isStrange := a.tree.nodesMismatches >= mismatchLimit
	a.mu.Unlock()
	if isStrange && a.stateListLimiter.Allow() {
		a.stateMirror.Kick()
	}
}

// forwardSummary sends a summary to the nodes below and returns its bytes. Those below in
// the order get each one; others, which report here because their parent is
// silent, as long as the bytes for it last.
func (a *Agent) forwardSummary(s digest.Summary) int {
	own, others := a.childAddresses()
	spent := 0
	for _, address := range own {
		spent += a.send(address, digest.Message{Summary: &s})
	}
	for _, address := range others {
		if a.extraChildLimiter.Tokens() <= 0 {
			break
		}
		n := a.send(address, digest.Message{Summary: &s})
		a.extraChildLimiter.ReserveN(time.Now(), n)
		spent += n
	}
	return spent
}

// childAddresses returns the addresses of the nodes below in the order, and of others
// that report here.
func (a *Agent) childAddresses() (own, others []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	own = a.regularChildren()
	for _, c := range a.tree.children {
		if !slices.Contains(own, c.address) {
			others = append(others, c.address)
		}
	}
	sort.Strings(others)
	// Each time another one is the first, so that none is always left out.
	a.tree.rotation++
	if len(others) > 0 {
		first := a.tree.rotation % len(others)
		others = append(others[first:], others[:first]...)
	}
	return own, others
}
