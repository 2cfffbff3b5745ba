package agent

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/digest"
)

// mismatchLimit is the number of consecutive summaries with a different checksum
// after which a node requests what it misses. A single mismatch may only mean
// that a change has not arrived yet.
const mismatchLimit = 2

// isNeededByAllNodes reports whether every node has to know a server: heads that
// are open, closing or broken, servers without a domain, which belong to plain
// services (those without replicas), and servers that are leaving.
func isNeededByAllNodes(s ring.Server) bool {
	isHead := s.Membership.Rank == 0 && !s.Membership.IsStandby() &&
		(s.Membership.State == ring.MemberOpen || s.Membership.State == ring.MemberClosing || s.Membership.State == ring.MemberBroken)
	isPlain := s.Domain == ""
	return isHead || isPlain || s.Leaving
}

// queueRegistryChange queues a registry change for distribution down the tree if this node
// is the root. A change is also sent if only the server's previous state was
// needed by all nodes, so that they learn that it has changed.
func (a *Agent) queueRegistryChange(before, s ring.Server, revision ring.Revision, deleted bool) {
	if !a.isController.Load() || !a.usesTree() || !(deleted || isNeededByAllNodes(s) || isNeededByAllNodes(before)) {
		return
	}
	e := entryFromServer(s, revision)
	e.Deleted = deleted
	a.mu.Lock()
	a.tree.pendingEntries = append(a.tree.pendingEntries, e)
	a.mu.Unlock()
	a.SendDigestSoon()
}

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

// forwardEntries sends registry changes to the regular children and returns the
// number of bytes sent.
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

func (a *Agent) sendEntries(address string, entries []digest.Entry) int {
	sent := 0
	for len(entries) > 0 {
		n := min(len(entries), entriesPerDatagram)
		sent += a.send(address, digest.Message{Entries: entries[:n]})
		entries = entries[n:]
	}
	return sent
}

// applyEntries applies registry changes and forwards those that this node did not
// know yet.
func (a *Agent) applyEntries(entries []digest.Entry) {
	var applied []digest.Entry
	for _, e := range entries {
		isNew := false
		if e.Deleted {
			isNew = a.fleet.Remove(ring.VM(e.ID), ring.Revision(e.Revision))
		} else {
			isNew = a.fleet.Put(serverFromEntry(e), ring.Revision(e.Revision))
		}
		if isNew {
			applied = append(applied, e)
		}
	}
	a.forwardEntries(applied)
}

func bucketOf(id ring.VM) int { return int(xxhash.Sum64String(string(id)) % digest.BucketCount) }

// registryChecksums returns a checksum for each bucket over the entries that all
// nodes need. Revisions are left out because heartbeats change them.
func (a *Agent) registryChecksums() [digest.BucketCount]uint16 {
	var out [digest.BucketCount]uint16
	a.fleet.Each(func(s ring.Server, _ ring.Revision) {
		if isNeededByAllNodes(s) {
			text := fmt.Sprint(s.ID, "|", s.Incarnation, "|", s.Leaving, "|", s.Membership.Group, "|", s.Membership.Epoch, "|", s.Membership.Rank, "|", s.Membership.State)
			out[bucketOf(s.ID)] ^= uint16(xxhash.Sum64String(text))
		}
	})
	return out
}

// checkRegistryChecksums compares this node's registry checksums with those of
// the root, and requests the buckets that keep differing from the sender of the
// summary, because a datagram with entries may have been lost.
func (a *Agent) checkRegistryChecksums(from string, sums [digest.BucketCount]uint16) {
	own := a.registryChecksums()
	var buckets []int
	a.mu.Lock()
	a.tree.rootChecksums = sums
	for i := range sums {
		if own[i] == sums[i] {
			a.tree.checksumMismatches[i] = 0
			continue
		}
		a.tree.checksumMismatches[i]++
		if a.tree.checksumMismatches[i] >= mismatchLimit {
			a.tree.checksumMismatches[i] = 0
			buckets = append(buckets, i)
		}
	}
	a.mu.Unlock()
	if len(buckets) > 0 {
		a.send(from, digest.Message{EntriesRequest: &digest.EntriesRequest{Buckets: buckets}})
	}
}

// answerEntriesRequest answers a request for entries. It skips the buckets in which this
// node's entries differ from the root's too.
func (a *Agent) answerEntriesRequest(to string, r *digest.EntriesRequest) {
	own := a.registryChecksums()
	isRoot := a.isController.Load()
	a.mu.Lock()
	root := a.tree.rootChecksums
	a.mu.Unlock()
	if isRoot && !a.hasFullRegistry.Load() {
		return
	}
	for _, bucket := range r.Buckets {
		if bucket < 0 || bucket >= digest.BucketCount || (!isRoot && own[bucket] != root[bucket]) {
			continue
		}
		var entries []digest.Entry
		newest := ring.Revision(0)
		a.fleet.Each(func(s ring.Server, revision ring.Revision) {
			newest = max(newest, revision)
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
}

// applyBucketListing drops the entries of a bucket that the listing lacks, except
// those newer than the sender's newest revision. They are forgotten rather than
// marked as deleted, so that the same revision can be added again: the sender's
// view may be wrong, as only a controller lists the whole registry.
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
		a.fleet.Forget(id)
	}
}
