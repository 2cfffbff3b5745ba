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

// Above treeFrom nodes, digests travel by a tree and not from each node to each:
// the cost of a node then does not grow with their number. A node reports to its
// parent what it and all below it know; the root sends the sum back down. The
// controller is the root, and passes on what changes in the registry, so that
// the others need not watch it.
const (
	treeFrom = 13
	// treeFanout is how many children a node has.
	treeFanout = 4
	// treeInterval is the least time between two reports.
	treeInterval = 230 * time.Millisecond
	// treeSilence is the time after which a child or a parent counts as lost.
	// A node without a parent reports to the parent's parent.
	treeSilence = 2500 * time.Millisecond
	// followSilence is the time without a summary after which a node watches the
	// store by itself.
	followSilence = 1500 * time.Millisecond
	// rootSilence is the time without a summary before which the root counts as
	// in office.
	rootSilence = 700 * time.Millisecond
	// candidates is how many nodes watch for a vacancy while there is no root,
	// and vacancySpan after what time all do.
	candidates  = 8
	vacancySpan = 2500 * time.Millisecond
	// poolAge is how long a summary's sum of retries counts.
	poolAge = time.Second
	// childSilence is the time after which a child no longer counts.
	childSilence = 1300 * time.Millisecond
	// treeBytesPerSecond is what reports and summaries of a node may cost, and
	// otherBytesPerSecond what those may to nodes that are not below it in the
	// order, as while the tree changes; otherBurst is how many of these bytes may
	// go at once.
	treeBytesPerSecond  = 2300
	otherBytesPerSecond = 400
	otherBurst          = 3000
	// newsBytesPerSecond is what news between them may cost, and newsBurst how many
	// of these bytes may go at once.
	newsBytesPerSecond = 450
	newsBurst          = 3000
	// newsInterval is the least time between two messages of news.
	newsInterval = 100 * time.Millisecond
	// listingInterval is the least time between two listings of the nodes'
	// state because the root knows other nodes.
	listingInterval = 1500 * time.Millisecond
	// entriesAtOnce is how many registry changes fit into one datagram.
	entriesAtOnce = 6
)

// treePeer is the name under which the fleet knows the sum of all other nodes.
const treePeer = "tree"

// tree is a node's state in the tree. It is guarded by Agent.mu.
type tree struct {
	children map[string]child
	// sequence is the last summary that was taken, of the root's term.
	term     int64
	sequence uint64
	heard    time.Time
	nodes    int
	// reported are the own loads that the last summary may hold.
	reported map[ring.Epoch]int
	// lift is how many parents are passed over because they are silent.
	lift     int
	liftedAt time.Time
	entries  []digest.Entry
	// sums are the root's checksums over the registry, differ how many
	// summaries in a row brought another one than this node's.
	sums   [digest.Buckets]uint16
	differ [digest.Buckets]int
	// strange is how many summaries in a row came from a root that knows other
	// nodes.
	strange int
	// parent is the address that was last reported to.
	parent string
	// turn is which child comes first.
	turn int
}

type child struct {
	address string
	heard   time.Time
	report  digest.Report
}

// isTree reports whether digests travel by the tree.
func (a *Agent) isTree() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isLarge()
}

// isLarge reports whether there are too many nodes for messages of each to each;
// mu is held.
func (a *Agent) isLarge() bool { return len(a.peers)+1 >= treeFrom }

// isFollowed reports whether the registry's changes come from the root, so that
// this node need not watch it.
func (a *Agent) isFollowed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.control.Load() && a.isLarge() && time.Since(a.tree.heard) < followSilence
}

// isStateFollowed reports whether this node need not watch the nodes' state: the
// root passes on what matters, or it is not this node's turn to become root.
func (a *Agent) isStateFollowed() bool {
	if a.isFollowed() {
		return true
	}
	isLate := a.turn() >= candidates*campaignStep
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.control.Load() && a.isLarge() && isLate && time.Since(a.tree.heard) < vacancySpan
}

// order returns all nodes, the root first; mu is held.
func (a *Agent) order() []string {
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

// place returns all nodes in order, and which of them this one is; mu is held.
func (a *Agent) place() ([]string, int) {
	names := a.order()
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

// parent returns the address of the node to report to, or "" at the root; mu is
// held.
func (a *Agent) parent(now time.Time) string {
	names, own := a.place()
	if own == 0 {
		return ""
	}
	// A silent parent is passed over, one more for each span of silence, until
	// a summary comes from it again.
	if now.Sub(a.tree.heard) > treeSilence && now.Sub(a.tree.liftedAt) > treeSilence {
		a.tree.lift++
		a.tree.liftedAt = now
	}
	for range a.tree.lift + 1 {
		if own == 0 {
			a.tree.lift = 0 // Even the root was tried; begin again below.
			break
		}
		own = (own - 1) / treeFanout
	}
	return a.addressOf(names[own])
}

// ownParent returns the address of the node above in the order; mu is held.
func (a *Agent) ownParent() string {
	names, own := a.place()
	if own == 0 {
		return ""
	}
	return a.addressOf(names[(own-1)/treeFanout])
}

// ownChildren returns the addresses of the nodes below in the order; mu is held.
func (a *Agent) ownChildren() []string {
	names, own := a.place()
	var out []string
	for i := own*treeFanout + 1; i <= own*treeFanout+treeFanout && i < len(names); i++ {
		if address := a.addressOf(names[i]); address != "" {
			out = append(out, address)
		}
	}
	return out
}

// tellTree sends this node's report to its parent, or at the root the summary to
// its children, and returns the bytes that it took. What is news at the root
// between two summaries goes without the rest.
func (a *Agent) tellTree(now time.Time, isNews bool) int {
	report := a.report(now)
	a.mu.Lock()
	parent := a.parent(now)
	isRoot := a.control.Load() // One whose term ended must not speak for the store.
	if isRoot {
		a.tree.sequence++
		a.tree.heard, a.tree.nodes = now, report.Nodes
	}
	term, sequence := a.tree.term, a.tree.sequence
	entries := a.tree.entries
	a.tree.entries = nil
	former := a.tree.parent
	a.tree.parent = parent
	a.mu.Unlock()
	if former != "" && former != parent {
		// Else both parents would count this node for a while.
		a.post(former, digest.Message{Report: &digest.Report{Name: a.config.Name}})
	}
	if !isRoot {
		if parent == "" {
			return 0
		}
		return a.post(parent, digest.Message{Report: &report})
	}
	if isNews {
		flash := digest.Summary{
			Root: a.config.Name, Term: term, Sequence: sequence, Nodes: report.Nodes, Number: report.Number, Confirmed: report.Confirmed,
			IsFlash: true, Abandoned: a.abandonedNow(),
		}
		return a.spread(flash) + a.spreadEntries(entries)
	}
	spent := a.spread(digest.Summary{
		Root: a.config.Name, Term: term, Sequence: sequence, Nodes: report.Nodes, Number: report.Number, Confirmed: report.Confirmed, Shares: report.Shares,
		Sums: a.sums(), IsComplete: a.complete.Load(), Members: a.members(), Abandoned: a.abandonedNow(), Asked: report.Asked, Spent: report.Spent,
	})
	a.takeShares(report.Shares, now)
	a.pool.Update(retry.Usage{Requests: report.Asked, Retries: report.Spent}, now.Add(poolAge))
	return spent + a.spreadEntries(entries)
}

// members returns a checksum over the names of all nodes, as known here.
func (a *Agent) members() uint16 {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := uint16(xxhash.Sum64String(a.config.Name))
	for name := range a.peers {
		sum ^= uint16(xxhash.Sum64String(name))
	}
	return sum
}

// compareMembers lists the nodes' state when the root knows other nodes: with
// another order of nodes, some have no parent that sends to them.
func (a *Agent) compareMembers(members uint16) {
	own := a.members()
	a.mu.Lock()
	a.tree.strange++
	if own == members {
		a.tree.strange = 0
	}
	isStrange := a.tree.strange >= sumsDiffer
	a.mu.Unlock()
	if isStrange && a.listings.Allow() {
		a.stateMirror.Kick()
	}
}

// spread sends a summary to the nodes below and returns its bytes. Those below in
// the order get each one; others, which report here because their parent is
// silent, as long as the bytes for it last.
func (a *Agent) spread(s digest.Summary) int {
	own, others := a.below()
	spent := 0
	for _, address := range own {
		spent += a.post(address, digest.Message{Summary: &s})
	}
	for _, address := range others {
		if a.otherBytes.Tokens() <= 0 {
			break
		}
		n := a.post(address, digest.Message{Summary: &s})
		a.otherBytes.ReserveN(time.Now(), n)
		spent += n
	}
	return spent
}

// below returns the addresses of the nodes below in the order, and of others
// that report here.
func (a *Agent) below() (own, others []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	own = a.ownChildren()
	for _, c := range a.tree.children {
		if !slices.Contains(own, c.address) {
			others = append(others, c.address)
		}
	}
	sort.Strings(others)
	// Each time another one is the first, so that none is always left out.
	a.tree.turn++
	if len(others) > 0 {
		first := a.tree.turn % len(others)
		others = append(others[first:], others[:first]...)
	}
	return own, others
}
