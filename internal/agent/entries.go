package agent

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/digest"
)

// mismatchLimit is after how many summaries with another checksum a node asks for
// entries: changes may still be under way.
const mismatchLimit = 2

// isNeededByAllNodes reports whether every node has to know of a server: heads, plain
// servers, and whoever leaves.
func isNeededByAllNodes(s ring.Server) bool {
	isHead := s.Place.Rank == 0 && !s.Place.IsStandby() &&
		(s.Place.State == ring.MemberOpen || s.Place.State == ring.MemberClosing || s.Place.State == ring.MemberBroken)
	isPlain := s.Domain == ""
	return isHead || isPlain || s.Leaving
}

// queueEntry queues a change of the registry for the nodes below. They also have to
// hear that a server no longer matters to them.
func (a *Agent) queueEntry(before, s ring.Server, at ring.Revision, gone bool) {
	if !a.isController.Load() || !a.usesTree() || !(gone || isNeededByAllNodes(s) || isNeededByAllNodes(before)) {
		return
	}
	e := entryFromServer(s, at)
	e.Deleted = gone
	a.mu.Lock()
	a.tree.pendingEntries = append(a.tree.pendingEntries, e)
	a.mu.Unlock()
	a.SendDigestSoon()
}

func entryFromServer(s ring.Server, at ring.Revision) digest.Entry {
	e := digest.Entry{
		ID: string(s.ID), Revision: int64(at), Incarnation: s.Incarnation, Service: string(s.Service), Address: s.Address,
		Zone: string(s.Zone), Domain: string(s.Domain), Slots: s.Slots, Leaving: s.Leaving, Model: string(s.Model),
		Group: string(s.Place.Group), Epoch: uint64(s.Place.Epoch), Rank: s.Place.Rank, State: string(s.Place.State),
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
		Place: ring.Place{Group: ring.Group(e.Group), Epoch: ring.Epoch(e.Epoch), Rank: e.Rank, State: ring.MemberState(e.State)},
	}
	for _, m := range e.Staged {
		s.Staged = append(s.Staged, ring.Model(m))
	}
	return s
}

// forwardEntries sends changes of the registry to the children.
func (a *Agent) forwardEntries(entries []digest.Entry) int {
	if len(entries) == 0 {
		return 0
	}
	a.mu.Lock()
	own := a.regularChildren()
	a.mu.Unlock()
	spent := 0
	for _, address := range own {
		spent += a.sendEntries(address, entries)
	}
	return spent
}

func (a *Agent) sendEntries(address string, entries []digest.Entry) int {
	spent := 0
	for len(entries) > 0 {
		n := min(len(entries), entriesPerDatagram)
		spent += a.send(address, digest.Message{Entries: entries[:n]})
		entries = entries[n:]
	}
	return spent
}

// applyEntries takes changes of the registry and passes on those that are news.
func (a *Agent) applyEntries(entries []digest.Entry) {
	var news []digest.Entry
	for _, e := range entries {
		isNews := false
		if e.Deleted {
			isNews = a.fleet.Remove(ring.VM(e.ID), ring.Revision(e.Revision))
		} else {
			isNews = a.fleet.Put(serverFromEntry(e), ring.Revision(e.Revision))
		}
		if isNews {
			news = append(news, e)
		}
	}
	a.forwardEntries(news)
}

func bucketOf(id ring.VM) int { return int(xxhash.Sum64String(string(id)) % digest.BucketCount) }

// registryChecksums returns the checksums over the entries that matter to all. They leave
// out revisions, which heartbeats change.
func (a *Agent) registryChecksums() [digest.BucketCount]uint16 {
	var out [digest.BucketCount]uint16
	a.fleet.Each(func(s ring.Server, _ ring.Revision) {
		if isNeededByAllNodes(s) {
			text := fmt.Sprint(s.ID, "|", s.Incarnation, "|", s.Leaving, "|", s.Place.Group, "|", s.Place.Epoch, "|", s.Place.Rank, "|", s.Place.State)
			out[bucketOf(s.ID)] ^= uint16(xxhash.Sum64String(text))
		}
	})
	return out
}

// checkRegistryChecksums looks whether this node knows what the root knows, and asks the node
// that sent the summary for what differs. An entry may be lost on its way.
func (a *Agent) checkRegistryChecksums(from string, sums [digest.BucketCount]uint16) {
	own := a.registryChecksums()
	var differ []int
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
			differ = append(differ, i)
		}
	}
	a.mu.Unlock()
	if len(differ) > 0 {
		a.send(from, digest.Message{EntriesRequest: &digest.EntriesRequest{Buckets: differ}})
	}
}

// sendBuckets answers a node that misses entries, unless this one misses them too.
func (a *Agent) sendBuckets(to string, w *digest.EntriesRequest) {
	own := a.registryChecksums()
	isRoot := a.isController.Load()
	a.mu.Lock()
	known := a.tree.rootChecksums
	a.mu.Unlock()
	if isRoot && !a.hasFullRegistry.Load() {
		return
	}
	for _, bucket := range w.Buckets {
		if bucket < 0 || bucket >= digest.BucketCount || (!isRoot && own[bucket] != known[bucket]) {
			continue
		}
		var entries []digest.Entry
		newest := ring.Revision(0)
		a.fleet.Each(func(s ring.Server, at ring.Revision) {
			newest = max(newest, at)
			if bucketOf(s.ID) == bucket && isNeededByAllNodes(s) {
				entries = append(entries, entryFromServer(s, at))
			}
		})
		sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
		roll := digest.BucketListing{Bucket: bucket, Revision: int64(newest)}
		for _, e := range entries {
			roll.IDs = append(roll.IDs, e.ID)
		}
		a.sendEntries(to, entries)
		a.send(to, digest.Message{BucketListing: &roll})
	}
}

// applyBucketListing drops the entries of a bucket that no longer matter to all, but for
// those that are newer than what the sender knows. They are forgotten, not
// deleted: the sender may have been wrong, and only a controller knows all.
func (a *Agent) applyBucketListing(r *digest.BucketListing) {
	if a.isController.Load() {
		return
	}
	listed := make(map[ring.VM]bool, len(r.IDs))
	for _, id := range r.IDs {
		listed[ring.VM(id)] = true
	}
	var dropped []ring.VM
	a.fleet.Each(func(s ring.Server, at ring.Revision) {
		if bucketOf(s.ID) == r.Bucket && isNeededByAllNodes(s) && !listed[s.ID] && at <= ring.Revision(r.Revision) {
			dropped = append(dropped, s.ID)
		}
	})
	for _, id := range dropped {
		a.fleet.Forget(id)
	}
}
