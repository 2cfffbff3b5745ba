package agent

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/digest"
)

const (
	// mismatchGrace is how long a registry checksum from the root of the tree of nodes
	// must differ from a node's own before the node requests the bucket. Before that, the
	// change may be on its way. requestInterval is the minimum time between two requests
	// for the same bucket.
	mismatchGrace   = 150 * time.Millisecond
	requestInterval = 300 * time.Millisecond
	// mismatchLimit is the number of consecutive summaries whose checksum over the
	// nodes' names must differ before a node lists the nodes again.
	mismatchLimit = 2
)

// isNeededByAllNodes reports whether the controller, as the root of the tree of nodes,
// sends the server's registry entry to every node. It does for heads that are open,
// closing or broken, for servers that are about to stop, and for servers without a
// domain, which belong to services without models.
func isNeededByAllNodes(s ring.Server) bool {
	isHead := s.Membership.Rank == 0 && !s.Membership.IsStandby() &&
		(s.Membership.State == ring.MemberOpen || s.Membership.State == ring.MemberClosing || s.Membership.State == ring.MemberBroken)
	isPlain := s.Domain == ""
	return isHead || isPlain || s.Leaving
}

// queueRegistryChange queues a change of a server's registry entry, to be sent from the
// root of the tree of nodes down to the other nodes. A change is also sent if the other
// nodes needed the entry only as it was before, so that they learn that it has changed.
// If this node is not the root, it does nothing.
func (a *Agent) queueRegistryChange(before, after ring.Server, revision ring.Revision, deleted bool) {
	if !a.isController.Load() || !a.usesTree() || !(deleted || isNeededByAllNodes(after) || isNeededByAllNodes(before)) {
		return
	}
	e := entryFromServer(after, revision)
	e.Deleted = deleted
	a.mu.Lock()
	a.tree.pendingEntries = append(a.tree.pendingEntries, e)
	a.mu.Unlock()
	a.SendDigestSoon()
}

// entryFromServer converts a server's registry entry to the form sent in messages.
func entryFromServer(s ring.Server, revision ring.Revision) digest.Entry {
	e := digest.Entry{
		ID: string(s.ID), Revision: int64(revision), Incarnation: s.Incarnation, Service: string(s.Service), Address: s.Address,
		Zone: string(s.Zone), Domain: string(s.Domain), Slots: s.Slots, Leaving: s.Leaving, Model: string(s.Model),
		Group: string(s.Membership.Group), Epoch: uint64(s.Membership.Epoch), Rank: s.Membership.Rank, State: string(s.Membership.State),
	}
	for _, m := range s.Staged {
		e.Staged = append(e.Staged, string(m))
	}
	return e
}

// serverFromEntry converts an entry from a message to a server; it reverses
// entryFromServer.
func serverFromEntry(e digest.Entry) ring.Server {
	s := ring.Server{
		ID: ring.VM(e.ID), Incarnation: e.Incarnation, Service: ring.Service(e.Service), Address: e.Address, Zone: ring.Zone(e.Zone),
		Domain: ring.Domain(e.Domain), Slots: e.Slots, Leaving: e.Leaving, Model: ring.Model(e.Model),
		Membership: ring.Membership{Group: ring.Group(e.Group), Epoch: ring.Epoch(e.Epoch), Rank: e.Rank, State: ring.MemberState(e.State)},
	}
	for _, m := range e.Staged {
		s.Staged = append(s.Staged, ring.Model(m))
	}
	return s
}

// serverKey returns the store's key of a server's registry entry.
func (a *Agent) serverKey(id ring.VM) string {
	return a.config.Directory.ServerPrefix() + string(id)
}

// forwardEntries sends registry entries to this node's regular children in the tree of
// nodes and returns the number of bytes sent.
func (a *Agent) forwardEntries(entries []digest.Entry) int {
	if len(entries) == 0 {
		return 0
	}
	a.mu.Lock()
	children := a.regularChildren()
	a.mu.Unlock()
	sent := 0
	for _, address := range children {
		sent += a.sendEntries(address, entries)
	}
	return sent
}

// sendEntries sends registry entries to one node, as many in a datagram as fit, and returns
// the number of bytes sent.
func (a *Agent) sendEntries(address string, entries []digest.Entry) int {
	sent := a.sendColdNotices(address, a.coldNoticesOf(entries))
	for len(entries) > 0 {
		n, size := 1, entryBytes(entries[0])
		for n < min(len(entries), entriesPerDatagram) && size+entryBytes(entries[n]) <= maxEntriesBytes {
			size += entryBytes(entries[n])
			n++
		}
		sent += a.send(address, digest.Message{Entries: entries[:n]})
		entries = entries[n:]
	}
	return sent
}

// entryBytes returns the size of an entry in a message, in bytes, or a bit more.
func entryBytes(e digest.Entry) int {
	size := entryOverhead + len(e.ID) + len(e.Incarnation) + len(e.Service) + len(e.Address) + len(e.Zone) + len(e.Domain) + len(e.Model) + len(e.Group) + len(e.State)
	for _, m := range e.Staged {
		size += len(m) + 3
	}
	return size
}

// applyEntries stores registry changes that this node received from its parent in the
// tree of nodes. It forwards the changes that it did not know yet to its children.
func (a *Agent) applyEntries(entries []digest.Entry) {
	var applied []digest.Entry
	for _, e := range entries {
		isNew := false
		switch {
		case e.Revision == 0 && e.Leaving:
			isNew = a.fleet.MarkLeaving(ring.VM(e.ID), e.Incarnation, time.Now())
		case e.Deleted:
			isNew = a.fleet.Remove(ring.VM(e.ID), ring.Revision(e.Revision))
		default:
			server := serverFromEntry(e)
			err := checkServer(server, ring.Revision(e.Revision))
			a.logInvalidServer(server.ID, err)
			if err != nil {
				continue
			}
			a.cold.See(server, time.Now())
			a.serversMirror.Learn(a.serverKey(server.ID), ring.Revision(e.Revision))
			isNew = a.fleet.Put(server, ring.Revision(e.Revision))
		}
		if isNew {
			applied = append(applied, e)
		}
	}
	a.forwardEntries(applied)
	if len(applied) > 0 {
		a.answerKeptRequests()
	}
}

// AnnounceLeaving tells the other nodes that a backend server announced that it is
// about to stop. The message has the form of a registry entry without a revision. With
// few nodes it goes to all of them, in the tree of nodes to the root, which forwards it,
// and to this node's children, because this node does not forward what it knows.
func (a *Agent) AnnounceLeaving(s ring.Server) {
	e := entryFromServer(s, 0)
	e.Leaving = true
	addresses := a.peerAddresses()
	if a.usesTree() {
		a.forwardEntries([]digest.Entry{e})
		if a.isController.Load() {
			return
		}
		a.mu.Lock()
		root, known := a.peers[a.controller]
		a.mu.Unlock()
		if !known {
			return
		}
		addresses = []string{root.address}
	}
	for _, address := range addresses {
		a.sendEntries(address, []digest.Entry{e})
	}
}

// bucketOf returns the number of the bucket to which a server's registry entry belongs.
// The registry is divided into buckets by a hash of the server's ID, each with its own
// checksum.
func bucketOf(id ring.VM) int { return int(xxhash.Sum64String(string(id)) % digest.BucketCount) }

// registryChecksums returns a checksum for each bucket of the registry (see bucketOf)
// over the entries that all nodes need. Revisions are left out because heartbeats
// change them.
func (a *Agent) registryChecksums() digest.BucketChecksums {
	var out digest.BucketChecksums
	a.fleet.Each(func(s ring.Server, _ ring.Revision) {
		if isNeededByAllNodes(s) {
			text := fmt.Sprint(s.ID, "|", s.Incarnation, "|", s.Leaving, "|", s.Membership.Group, "|", s.Membership.Epoch, "|", s.Membership.Rank, "|", s.Membership.State)
			out[bucketOf(s.ID)] ^= uint16(xxhash.Sum64String(text))
		}
	})
	return out
}

// checkRegistryChecksums compares this node's registry checksums with those of the
// tree's root from a summary. If all agree, this node knows the registry up to
// registryAt, if that is not zero. If a bucket's checksum differs for longer than mismatchGrace, it
// requests the bucket's entries from the node that sent the summary, because a datagram
// with entries may have been lost. It requests them at once if the root is new, which
// sends no changes of the time without a root.
func (a *Agent) checkRegistryChecksums(from string, s *digest.Summary, registryAt clock.Instant) {
	own := a.registryChecksums()
	now := time.Now()
	a.mu.Lock()
	a.tree.rootChecksums = s.Checksums
	if own == s.Checksums {
		a.tree.registryConfirmedAt = laterInstant(a.tree.registryConfirmedAt, registryAt)
	}
	grace := mismatchGrace
	if s.Term != a.tree.checkedTerm {
		a.tree.checkedTerm, grace = s.Term, 0
	}
	buckets := a.tree.bucketsToRequest(own, now, grace)
	a.mu.Unlock()
	if len(buckets) > 0 {
		a.send(from, digest.Message{EntriesRequest: &digest.EntriesRequest{Buckets: buckets}})
	}
}

// bucketsToRequest returns the buckets to request now, given this node's own checksums:
// those that have differed from the root's for at least grace.
func (t *tree) bucketsToRequest(own digest.BucketChecksums, now time.Time, grace time.Duration) []int {
	var out []int
	for i, sum := range t.rootChecksums {
		if own[i] == sum {
			t.requestAt[i] = time.Time{}
			continue
		}
		if t.requestAt[i].IsZero() {
			t.requestAt[i] = now.Add(grace)
		}
		if !now.Before(t.requestAt[i]) {
			t.requestAt[i] = now.Add(requestInterval)
			out = append(out, i)
		}
	}
	return out
}

// answerEntriesRequest sends a node the registry entries of the buckets that it
// requested (see bucketOf). A bucket whose checksum at this node differs from the root's too
// is sent when it agrees. The root sends nothing until it has listed the whole registry in
// its term.
func (a *Agent) answerEntriesRequest(to string, r *digest.EntriesRequest) {
	if a.isController.Load() && !a.hasFullRegistry.Load() {
		return
	}
	deadline := time.Now().Add(requestInterval)
	var requests []bucketRequest
	for _, bucket := range r.Buckets {
		if bucket >= 0 && bucket < digest.BucketCount {
			requests = append(requests, bucketRequest{to, bucket, deadline})
		}
	}
	a.answerRequests(requests)
}

// answerKeptRequests answers the kept requests after registry entries were applied.
func (a *Agent) answerKeptRequests() {
	a.mu.Lock()
	kept := a.tree.keptRequests
	a.tree.keptRequests = nil
	a.mu.Unlock()
	if kept = dropExpired(kept); len(kept) > 0 {
		a.answerRequests(kept)
	}
}

// answerRequests sends the entries of the requested buckets whose checksums agree with the
// root's. It keeps the other requests.
func (a *Agent) answerRequests(requests []bucketRequest) {
	own := a.registryChecksums()
	isRoot := a.isController.Load()
	newest := a.fleet.NewestRevision()
	a.mu.Lock()
	root, listed := a.tree.rootChecksums, a.tree.listedRevision
	a.mu.Unlock()
	newest = max(newest, listed)
	var missing []bucketRequest
	for _, r := range requests {
		if !isRoot && own[r.bucket] != root[r.bucket] {
			missing = append(missing, r)
			continue
		}
		a.sendBucket(r.from, r.bucket, newest)
	}
	a.keepRequests(missing)
}

// keepRequests keeps requests for buckets that this node lacks itself, except those of its
// regular children, which get what this node applies anyway.
func (a *Agent) keepRequests(requests []bucketRequest) {
	if len(requests) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	children := a.regularChildren()
	a.tree.keptRequests = dropExpired(a.tree.keptRequests)
	for _, r := range requests {
		if !slices.Contains(children, r.from) {
			a.tree.keptRequests = append(a.tree.keptRequests, r)
		}
	}
}

// dropExpired returns the requests whose deadline has not passed. It reuses the slice.
func dropExpired(requests []bucketRequest) []bucketRequest {
	now := time.Now()
	return slices.DeleteFunc(requests, func(r bucketRequest) bool { return !now.Before(r.deadline) })
}

// sendBucket sends a node the registry entries of a bucket, and the listing of their
// servers, which counts up to the newest revision.
func (a *Agent) sendBucket(to string, bucket int, newest ring.Revision) {
	var entries []digest.Entry
	a.fleet.Each(func(s ring.Server, revision ring.Revision) {
		if bucketOf(s.ID) == bucket && isNeededByAllNodes(s) {
			entries = append(entries, entryFromServer(s, revision))
		}
	})
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	listing := digest.BucketListing{Bucket: bucket, Revision: int64(newest)}
	for _, e := range entries {
		listing.IDs = append(listing.IDs, e.ID)
	}
	a.sendEntries(to, entries)
	a.send(to, digest.Message{BucketListing: &listing})
}

// applyBucketListing removes a bucket's registry entries that the sender's listing
// lacks, except those newer than the sender's newest revision. If it removed any, it
// forwards the listing to this node's children. It does nothing at the controller. The removal is not recorded as a deletion, so that the same revision can
// be added again: the sender's view may be wrong, because only a controller lists the
// whole registry.
func (a *Agent) applyBucketListing(l *digest.BucketListing) {
	if a.isController.Load() {
		return
	}
	listed := make(map[ring.VM]bool, len(l.IDs))
	for _, id := range l.IDs {
		listed[ring.VM(id)] = true
	}
	var dropped []ring.VM
	a.fleet.Each(func(s ring.Server, revision ring.Revision) {
		if bucketOf(s.ID) == l.Bucket && isNeededByAllNodes(s) && !listed[s.ID] && revision <= ring.Revision(l.Revision) {
			dropped = append(dropped, s.ID)
		}
	})
	for _, id := range dropped {
		a.serversMirror.Forget(a.serverKey(id))
		a.fleet.Forget(id)
	}
	a.mu.Lock()
	a.tree.listedRevision = max(a.tree.listedRevision, ring.Revision(l.Revision))
	children := a.regularChildren()
	a.mu.Unlock()
	if len(dropped) == 0 {
		return
	}
	for _, address := range children {
		a.send(address, digest.Message{BucketListing: l})
	}
	a.answerKeptRequests()
}
