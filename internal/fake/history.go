package fake

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/standin/platform"
)

// The entries of a history.
type (
	// SentRequest is a request that reached a backend server. It may arrive long
	// after it was dispatched, because the server may be paused.
	SentRequest struct {
		DispatchedAt time.Time
		ArrivedAt    time.Time
		From, To     string
		Epoch        ring.Epoch
		RequestID    string
	}
	// PresenceChange records that the backend server of a VM started or resumed
	// (Present), or that it crashed or was paused (not Present).
	PresenceChange struct {
		At      time.Time
		VM      ring.VM
		Present bool
	}
	// LeavingStarted records that a VM was marked as leaving: the platform is about
	// to remove it.
	LeavingStarted struct {
		At time.Time
		VM ring.VM
	}
	// ConfigurationAccepted records that a configuration was accepted.
	ConfigurationAccepted struct {
		At     time.Time
		Number int64
	}
)

// History holds the entries that a System recorded during a test, in order of
// time. After the test's traffic the Check functions search the history for
// violations of the system's invariants.
type History struct {
	mu      sync.Mutex
	entries []any
}

// add appends an entry, which has one of the types above.
func (h *History) add(e any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = append(h.entries, e)
}

// entriesOf returns the entries of one type.
func entriesOf[T any](h *History) []T {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []T
	for _, e := range h.entries {
		if entry, ok := e.(T); ok {
			out = append(out, entry)
		}
	}
	return out
}

// Requests returns how many requests to model groups reached backend servers.
// Only these requests carry an epoch and are recorded.
func (h *History) Requests() int { return len(entriesOf[SentRequest](h)) }

// LastSent returns the latest request that reached a backend server, or a zero
// value.
func (h *History) LastSent() SentRequest {
	all := entriesOf[SentRequest](h)
	if len(all) == 0 {
		return SentRequest{}
	}
	return all[len(all)-1]
}

// MaxDeliveryTime returns the longest time between the dispatch and the arrival
// of a request.
func (h *History) MaxDeliveryTime() time.Duration {
	longest := time.Duration(0)
	for _, sent := range entriesOf[SentRequest](h) {
		longest = max(longest, sent.ArrivedAt.Sub(sent.DispatchedAt))
	}
	return longest
}

// storedRecords returns all group records that were ever written to the
// keyspace, by epoch (the number of the assignment). A group record is the list
// of VMs assigned to a group.
func storedRecords(keys *platform.Keyspace) map[ring.Epoch]placement.Record {
	out := map[ring.Epoch]placement.Record{}
	for _, batch := range keys.Log() {
		for _, c := range batch.Changes {
			if r, ok := decodeRecord(c); ok {
				out[r.Epoch] = r
			}
		}
	}
	return out
}

// decodeRecord returns the group record that a change stored; it reports false for
// deletions and for other keys.
func decodeRecord(c ring.Change) (placement.Record, bool) {
	var r placement.Record
	if c.Deleted || !strings.HasPrefix(c.Entry.Key, catalog.GroupPrefix) {
		return r, false
	}
	return r, json.Unmarshal(c.Entry.Value, &r) == nil
}

// CheckComplete describes each request that was dispatched to a group after one
// of its members had been absent for longer than the bound. It returns nil if
// there is none.
func CheckComplete(h *History, keys *platform.Keyspace, bound time.Duration) []string {
	var out []string
	stored := storedRecords(keys)
	presences := entriesOf[PresenceChange](h)
	for _, sent := range entriesOf[SentRequest](h) {
		for _, m := range stored[sent.Epoch].Members {
			if since, ok := absentSince(presences, m.VM, sent.DispatchedAt); ok && sent.DispatchedAt.Sub(since) > bound {
				out = append(out, fmt.Sprintf("%s sent request %s to epoch %d %s after %s became absent", sent.From, sent.RequestID, sent.Epoch, sent.DispatchedAt.Sub(since), m.VM))
			}
		}
	}
	return out
}

// absentSince returns when a VM became absent, and whether it was still absent
// at the given time.
func absentSince(presences []PresenceChange, vm ring.VM, at time.Time) (time.Time, bool) {
	var last PresenceChange
	for _, p := range presences {
		if p.VM == vm && !p.At.After(at) {
			last = p
		}
	}
	return last.At, !last.At.IsZero() && !last.Present
}

// CheckExclusive describes each revision of the keyspace at which the records of
// two groups held the same VM. It returns nil if there is none.
func CheckExclusive(keys *platform.Keyspace) []string {
	var out []string
	current := map[string]placement.Record{}
	for _, batch := range keys.Log() {
		for _, c := range batch.Changes {
			if !strings.HasPrefix(c.Entry.Key, catalog.GroupPrefix) {
				continue
			}
			if r, ok := decodeRecord(c); ok {
				current[c.Entry.Key] = r
			} else {
				delete(current, c.Entry.Key)
			}
		}
		out = append(out, sharedVMs(current, batch.Revision)...)
	}
	return out
}

// sharedVMs describes the VMs that belong to more than one of the current group
// records, which are those at the given revision.
func sharedVMs(current map[string]placement.Record, at ring.Revision) []string {
	var out []string
	owner := map[ring.VM]ring.Group{}
	for _, r := range current {
		for _, m := range r.Members {
			if other, owned := owner[m.VM]; owned && other != r.Group {
				out = append(out, fmt.Sprintf("%s is in %s and %s at revision %d", m.VM, other, r.Group, at))
			}
			owner[m.VM] = r.Group
		}
	}
	return out
}

// CheckLeaving describes each request that was dispatched to a group longer than
// the bound after one of its members began to leave. It returns nil if there is
// none.
func CheckLeaving(h *History, keys *platform.Keyspace, bound time.Duration) []string {
	var out []string
	stored := storedRecords(keys)
	for _, l := range entriesOf[LeavingStarted](h) {
		for _, sent := range entriesOf[SentRequest](h) {
			if stored[sent.Epoch].HasMember(l.VM) && sent.DispatchedAt.Sub(l.At) > bound {
				out = append(out, fmt.Sprintf("%s sent request %s to epoch %d %s after %s began to leave", sent.From, sent.RequestID, sent.Epoch, sent.DispatchedAt.Sub(l.At), l.VM))
			}
		}
	}
	return out
}

// CheckEpochs describes each epoch (number of an assignment) that was written
// with two different groups or two different sets of members. It returns nil if
// there is none.
func CheckEpochs(keys *platform.Keyspace) []string {
	var out []string
	members := map[ring.Epoch]string{}
	for _, batch := range keys.Log() {
		for _, c := range batch.Changes {
			r, ok := decodeRecord(c)
			if !ok {
				continue
			}
			text := fmt.Sprint(r.Group, r.Members)
			if old, known := members[r.Epoch]; known && old != text {
				out = append(out, fmt.Sprintf("epoch %d was stored with %s and with %s", r.Epoch, old, text))
			}
			members[r.Epoch] = text
		}
	}
	return out
}
