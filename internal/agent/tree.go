package agent

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/retry"
)

// With minTreeNodes or more nodes, state is exchanged along a tree instead of between
// every two nodes, so that the cost for a node does not grow with the number of nodes.
// Each node sends its parent a report with the aggregated state of its subtree, and the
// root sends a summary of all state back down. The root is the controller. It also
// sends the changes of the registry, so that the other nodes need not watch the store.
const (
	minTreeNodes = 13
	// treeFanout is the number of children of a node.
	treeFanout = 4
	// treeInterval is the minimum time between two reports or summaries.
	treeInterval = 230 * time.Millisecond
	// heartbeatInterval is the longest time between two summaries of the root, full or
	// partial.
	heartbeatInterval = 400 * time.Millisecond
	// parentTimeout is the time without a summary after which a node considers its
	// parent lost and reports to the parent's parent. State from a summary expires
	// after the same time.
	parentTimeout = 2500 * time.Millisecond
	// followTimeout is the time without a summary after which a node watches the
	// configuration in the store itself. It is also the registry age from which the node
	// watches the registry. Both count towards the 3 s after which no request may reach
	// a server that leaves.
	followTimeout = 1500 * time.Millisecond
	// rootTimeout is how long after its last summary the root still counts as the
	// controller.
	rootTimeout = 700 * time.Millisecond
	// maxCampaigners is the number of nodes that watch the state prefix for the
	// deletion of the controller's key when no summaries arrive. After vacancyTimeout
	// without a summary all nodes watch it.
	maxCampaigners = 8
	vacancyTimeout = 2500 * time.Millisecond
	// retryPoolTTL is how long the counts of requests and retries in a summary are
	// valid.
	retryPoolTTL = time.Second
	// childTimeout is the time without a report after which a child is left out of
	// the aggregated state.
	childTimeout = 1300 * time.Millisecond
	// treeBytesPerSecond bounds the regular reports and summaries of a node.
	// extraChildBytesPerSecond and extraChildBurst bound the summaries to extra
	// children. These report to this node although it is not their parent by the tree
	// order, as happens while the tree changes.
	treeBytesPerSecond       = 2300
	extraChildBytesPerSecond = 400
	extraChildBurst          = 3000
	// urgentBytesPerSecond and urgentBurst bound the urgent updates, which are reports
	// and partial summaries sent before the regular interval has passed.
	urgentBytesPerSecond = 450
	urgentBurst          = 3000
	// urgentInterval is the minimum time between two urgent updates.
	urgentInterval = 100 * time.Millisecond
	// stateListInterval is the minimum time between two listings of the state prefix
	// that a node starts because the root knows a different set of nodes.
	stateListInterval = 1500 * time.Millisecond
	// entriesPerDatagram is the largest number of registry entries in one datagram,
	// maxEntriesBytes their size, and entryOverhead what an entry takes besides its names.
	entriesPerDatagram = 6
	maxEntriesBytes    = 1300
	entryOverhead      = 80
)

// treePeer is the peer name under which the fleet stores the requests at each replica,
// summed over all other nodes, and the stalled replicas. A node takes both from the
// root's summaries, the root from its children's reports.
const treePeer = "tree"

// tree holds what a node knows of the tree along which nodes exchange state: its
// children's reports, the last summary and the parent in use. It is guarded by
// Agent.mu.
type tree struct {
	children map[string]child
	// term and sequence identify the last summary that this node applied, or sent as
	// the root; summaryAt is the summary's time and nodeCount its number of nodes.
	term      int64
	sequence  uint64
	summaryAt time.Time
	nodeCount int
	// reportedLoads are this node's requests at each replica in its last report, which
	// the sums in summaries may include.
	reportedLoads map[ring.Epoch]int
	// skippedParents is the number of ancestors that are skipped because no summary
	// has come from them, and parentSkippedAt when this number last increased.
	skippedParents  int
	parentSkippedAt time.Time
	// pendingEntries are registry changes that the root has not sent yet.
	pendingEntries []digest.Entry
	// rootChecksums are the root's registry checksums by bucket. requestAt is when this
	// node requests a bucket if the checksum still differs from its own; it is zero
	// while they agree.
	rootChecksums digest.BucketChecksums
	requestAt     [digest.BucketCount]time.Time
	// keptRequests are the requests for buckets that this node lacks itself.
	keptRequests []bucketRequest
	// checkedTerm is the term of the last summary with checksums.
	checkedTerm int64
	// registryConfirmedAt is the latest moment up to which this node, by the root's
	// checksums, knows all changes of the registry that it needs.
	registryConfirmedAt clock.Instant
	// listedRevision is the newest revision of the bucket listings that this node has
	// applied. The fleet does not keep the revisions of what they removed.
	listedRevision ring.Revision
	// nodesMismatches counts the consecutive summaries from a root that knows a
	// different set of nodes.
	nodesMismatches int
	// lastParent is the address to which the last report was sent.
	lastParent string
	// rotation selects which extra child is the first to get the next summary.
	rotation int
}

// child is a node that sends its reports to this node, with the last report.
type child struct {
	address string
	heardAt time.Time
	report  digest.Report
	// pinned is as in digest.Message.
	pinned *digest.Pinned
}

// bucketRequest is the request of the node with an address for a bucket of the registry.
// After the deadline that node asks again.
type bucketRequest struct {
	from     string
	bucket   int
	deadline time.Time
}

// usesTree reports whether there are enough nodes to exchange state along the tree
// instead of in digests from each node to every other.
func (a *Agent) usesTree() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usesTreeLocked()
}

// usesTreeLocked is usesTree for callers that hold mu: it reports whether there are
// enough nodes to exchange state along the tree.
func (a *Agent) usesTreeLocked() bool { return len(a.peers)+1 >= minTreeNodes }

// rootSendsChanges reports whether this node receives summaries from the root of the
// tree of nodes, so that it need not watch the configuration in the store.
func (a *Agent) rootSendsChanges() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.isController.Load() && a.usesTreeLocked() && time.Since(a.tree.summaryAt) < followTimeout
}

// rootSendsRegistry reports whether this node receives the registry's changes from the
// root of the tree of nodes, so that it need not watch the registry in the store. That
// summaries arrive is not enough: the root may have lost the store, and changes may have
// been lost or sent to the node's parent by another order of the tree.
func (a *Agent) rootSendsRegistry() bool {
	if !a.rootSendsChanges() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.tree.registryConfirmedAt.IsZero() && a.tree.registryConfirmedAt.Age() < followTimeout
}

// canSkipStateWatch reports whether this node need not watch the state prefix in the
// store. The first maxCampaigners nodes of the campaign order must watch it as soon as
// rootSendsRegistry is false, because a root without the store loses its key. The other
// nodes must after vacancyTimeout without a summary.
func (a *Agent) canSkipStateWatch() bool {
	if a.rootSendsRegistry() {
		return true
	}
	isLateCampaigner := a.campaignDelay() >= maxCampaigners*campaignStep
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.isController.Load() && a.usesTreeLocked() && isLateCampaigner && time.Since(a.tree.summaryAt) < vacancyTimeout
}

// treeOrder returns the names of all nodes in their order in the tree: the root
// first, then the other nodes sorted by name. mu must be held.
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

// treeOrderAndPosition returns the names of all nodes in tree order and this node's
// index among them. mu must be held.
func (a *Agent) treeOrderAndPosition() ([]string, int) {
	names := a.treeOrder()
	for i, name := range names {
		if name == a.config.Name {
			return names, i
		}
	}
	return names, 0
}

// addressOf returns the address of a peer, or "" if it is unknown or this node.
// mu must be held.
func (a *Agent) addressOf(name string) string {
	if p := a.peers[name]; p != nil {
		return p.address
	}
	return ""
}

// currentParent returns the address of the node to which this node sends its reports,
// or "" at the root. It skips ancestors in the tree from which no summary arrives. mu
// must be held.
func (a *Agent) currentParent(now time.Time) string {
	names, index := a.treeOrderAndPosition()
	if index == 0 {
		return ""
	}
	// One more ancestor is skipped for each parentTimeout without a summary, until
	// a summary comes from the regular parent again.
	if now.Sub(a.tree.summaryAt) > parentTimeout && now.Sub(a.tree.parentSkippedAt) > parentTimeout {
		a.tree.skippedParents++
		a.tree.parentSkippedAt = now
	}
	for range a.tree.skippedParents + 1 {
		if index == 0 {
			a.tree.skippedParents = 0 // All ancestors up to the root were tried; start over.
			break
		}
		index = (index - 1) / treeFanout
	}
	return a.addressOf(names[index])
}

// regularParent returns the address of this node's parent in the tree of nodes by the
// tree order, also if no summary arrives from the parent, or "" at the root. mu must be
// held.
func (a *Agent) regularParent() string {
	names, index := a.treeOrderAndPosition()
	if index == 0 {
		return ""
	}
	return a.addressOf(names[(index-1)/treeFanout])
}

// regularChildren returns the addresses of this node's children in the tree of nodes by
// the tree order. mu must be held.
func (a *Agent) regularChildren() []string {
	names, index := a.treeOrderAndPosition()
	var out []string
	for i := index*treeFanout + 1; i <= index*treeFanout+treeFanout && i < len(names); i++ {
		if address := a.addressOf(names[i]); address != "" {
			out = append(out, address)
		}
	}
	return out
}

// sendTreeUpdate sends a report to the parent in the tree of nodes or, at the root, a
// summary to the children. It returns the number of bytes sent. If isPartial is set,
// the root's summary has only the small fields; see digest.Summary.
func (a *Agent) sendTreeUpdate(now time.Time, isPartial bool) int {
	report := a.buildReport(now)
	a.mu.Lock()
	parent := a.currentParent(now)
	isRoot := a.isController.Load() // A node whose term has ended must not send summaries.
	if isRoot {
		a.tree.sequence++
		a.tree.summaryAt, a.tree.nodeCount = now, report.Nodes
	}
	term, sequence := a.tree.term, a.tree.sequence
	entries := a.tree.pendingEntries
	a.tree.pendingEntries = nil
	previous := a.tree.lastParent
	a.tree.lastParent = parent
	a.mu.Unlock()
	if previous != "" && previous != parent {
		// An empty report makes the previous parent drop this node. Otherwise both
		// parents would count it until childTimeout.
		a.send(previous, digest.Message{Report: &digest.Report{Name: a.config.Name}})
	}
	if !isRoot {
		if parent == "" {
			return 0
		}
		sent := a.send(parent, digest.Message{Report: &report, Pinned: newPinned(a.pinnedInTree(now))}) + a.repeatLimits(a.allChildAddresses(), now) + a.repeatCold(a.allChildAddresses(), now)
		return sent + a.repeatRefusals(append(a.allChildAddresses(), parent), now)
	}
	sent := a.forwardEntries(entries) // Before the summary, whose checksums include them.
	summary := digest.Summary{
		Root: a.config.Name, Term: term, Sequence: sequence, Nodes: report.Nodes, ConfigNumber: report.ConfigNumber,
		HasRegistry: a.hasFullRegistry.Load(), IsPartial: isPartial, Abandoned: a.abandonedForMessage(), Era: report.Era,
	}
	var registryAt clock.Instant
	if summary.HasRegistry {
		registryAt = a.registryReadInstant() // Before the checksums, which cover all changes up to then.
		summary.Checksums = a.registryChecksums()
	}
	if isPartial {
		return sent + a.forwardSummary(summary, registryAt)
	}
	summary.Replicas, summary.NodesChecksum, summary.Requests, summary.Retries = report.Replicas, a.nodesChecksum(), report.Requests, report.Retries
	a.applyReplicaStatuses(report.Replicas, now)
	a.fleet.UpdatePeerPinned(treePeer, a.pinnedInTree(now))
	a.retryPool.Update(retry.Usage{Requests: report.Requests, Retries: report.Retries}, now.Add(retryPoolTTL))
	return sent + a.forwardSummary(summary, registryAt) + a.repeatRefusals(a.allChildAddresses(), now) + a.repeatLimits(a.allChildAddresses(), now) + a.repeatCold(a.allChildAddresses(), now)
}

// nodesChecksum returns a checksum over the names of all nodes that this node
// knows, itself included.
func (a *Agent) nodesChecksum() uint16 {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := uint16(xxhash.Sum64String(a.config.Name))
	for name := range a.peers {
		sum ^= uint16(xxhash.Sum64String(name))
	}
	return sum
}

// checkNodesChecksum compares the root's checksum over the nodes' names with this
// node's. After mismatchLimit mismatches it lists the state prefix again. If nodes
// disagree on the tree order, a node may be left without a parent that sends to it.
func (a *Agent) checkNodesChecksum(rootSum uint16) {
	own := a.nodesChecksum()
	a.mu.Lock()
	a.tree.nodesMismatches++
	if own == rootSum {
		a.tree.nodesMismatches = 0
	}
	isDifferent := a.tree.nodesMismatches >= mismatchLimit
	a.mu.Unlock()
	if isDifferent && a.stateListLimiter.Allow() {
		a.stateMirror.RequestSync()
	}
}

// forwardSummary sends a summary to this node's children in the tree of nodes and
// returns the number of bytes sent. Regular children get every summary. Extra children
// report to this node because their parent is silent; they get the summary as far as
// the rate limit allows. registryAt is as in applySummary.
func (a *Agent) forwardSummary(s digest.Summary, registryAt clock.Instant) int {
	regular, extra := a.childAddresses()
	sent := 0
	for _, address := range regular {
		sent += a.sendSummary(address, &s, registryAt)
	}
	for _, address := range extra {
		if a.extraChildLimiter.Tokens() <= 0 {
			break
		}
		n := a.sendSummary(address, &s, registryAt)
		a.extraChildLimiter.ReserveN(time.Now(), n)
		sent += n
	}
	return sent
}

// childAddresses returns the addresses of the regular children, which are below this
// node in the tree order, and of the extra children, which are other nodes that report
// to this node.
func (a *Agent) childAddresses() (regular, extra []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	regular, extra = a.children()
	// Rotate, so that the rate limit does not always leave out the same child.
	a.tree.rotation++
	if len(extra) > 0 {
		first := a.tree.rotation % len(extra)
		extra = append(extra[first:], extra[:first]...)
	}
	return regular, extra
}

// allChildAddresses returns the addresses of all children. Unlike childAddresses, it does not
// move the rotation on.
func (a *Agent) allChildAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	regular, extra := a.children()
	return slices.Concat(regular, extra)
}

// children returns the addresses of the regular and of the extra children, the latter sorted.
// The caller must hold mu.
func (a *Agent) children() (regular, extra []string) {
	regular = a.regularChildren()
	for _, c := range a.tree.children {
		if !slices.Contains(regular, c.address) {
			extra = append(extra, c.address)
		}
	}
	sort.Strings(extra)
	return regular, extra
}
