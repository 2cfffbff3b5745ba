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
	// SentRequest is a request that reached a backend server. At is when it was
	// dispatched; it may arrive later, for the server may be paused.
	SentRequest struct {
		DispatchedAt time.Time
		ArrivedAt    time.Time
		From, To     string
		Epoch        ring.Epoch
		RequestID    string
	}
	// Presence is a VM that came or went.
	Presence struct {
		At      time.Time
		VM      ring.VM
		Present bool
	}
	// Leaving is a VM that began to leave.
	Leaving struct {
		At time.Time
		VM ring.VM
	}
	// Accepted is a configuration that was accepted.
	Accepted struct {
		At     time.Time
		Number int64
	}
)

// History is what happened, in order. Checkers read it after a run.
type History struct {
	mu      sync.Mutex
	entries []any
}

func (h *History) add(e any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = append(h.entries, e)
}

func entriesOf[T any](h *History) []T {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []T
	for _, e := range h.entries {
		if one, ok := e.(T); ok {
			out = append(out, one)
		}
	}
	return out
}

// Requests returns how many requests reached backend servers.
func (h *History) Requests() int { return len(entriesOf[SentRequest](h)) }

// LastSent returns the last request that reached a backend server.
func (h *History) LastSent() SentRequest {
	all := entriesOf[SentRequest](h)
	if len(all) == 0 {
		return SentRequest{}
	}
	return all[len(all)-1]
}

// MaxDeliveryTime returns the longest time from a dispatch to its arrival.
func (h *History) MaxDeliveryTime() time.Duration {
	longest := time.Duration(0)
	for _, sent := range entriesOf[SentRequest](h) {
		longest = max(longest, sent.ArrivedAt.Sub(sent.DispatchedAt))
	}
	return longest
}

// storedRecords returns every record that was ever stored, by epoch.
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

func decodeRecord(c ring.Change) (placement.Record, bool) {
	var r placement.Record
	if c.Deleted || !strings.HasPrefix(c.Entry.Key, catalog.GroupPrefix) {
		return r, false
	}
	return r, json.Unmarshal(c.Entry.Value, &r) == nil
}

// CheckComplete finds requests that reached a group while a member was gone for
// longer than the bound.
func CheckComplete(h *History, keys *platform.Keyspace, bound time.Duration) []string {
	var out []string
	stored := storedRecords(keys)
	presences := entriesOf[Presence](h)
	for _, sent := range entriesOf[SentRequest](h) {
		for _, m := range stored[sent.Epoch].Members {
			if gone, ok := absentSince(presences, m.VM, sent.DispatchedAt); ok && sent.DispatchedAt.Sub(gone) > bound {
				out = append(out, fmt.Sprintf("%s sent %s to epoch %d %s after %s was gone", sent.From, sent.RequestID, sent.Epoch, sent.DispatchedAt.Sub(gone), m.VM))
			}
		}
	}
	return out
}

func absentSince(presences []Presence, vm ring.VM, at time.Time) (time.Time, bool) {
	var last Presence
	for _, p := range presences {
		if p.VM == vm && !p.At.After(at) {
			last = p
		}
	}
	return last.At, !last.At.IsZero() && !last.Present
}

// CheckExclusive finds moments at which two stored records name one VM.
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

func sharedVMs(current map[string]placement.Record, at ring.Revision) []string {
	var out []string
	owner := map[ring.VM]ring.Group{}
	for _, r := range current {
		for _, m := range r.Members {
			if other, twice := owner[m.VM]; twice && other != r.Group {
				out = append(out, fmt.Sprintf("%s is in %s and %s at revision %d", m.VM, other, r.Group, at))
			}
			owner[m.VM] = r.Group
		}
	}
	return out
}

// CheckLeaving finds requests that reached a group later than the bound after
// one of its members began to leave.
func CheckLeaving(h *History, keys *platform.Keyspace, bound time.Duration) []string {
	var out []string
	stored := storedRecords(keys)
	for _, l := range entriesOf[Leaving](h) {
		for _, sent := range entriesOf[SentRequest](h) {
			if stored[sent.Epoch].Has(l.VM) && sent.DispatchedAt.Sub(l.At) > bound {
				out = append(out, fmt.Sprintf("%s sent %s to epoch %d %s after %s began to leave", sent.From, sent.RequestID, sent.Epoch, sent.DispatchedAt.Sub(l.At), l.VM))
			}
		}
	}
	return out
}

// CheckEpochs finds records whose epoch did not grow with their members.
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
				out = append(out, fmt.Sprintf("epoch %d stands for %s and %s", r.Epoch, old, text))
			}
			members[r.Epoch] = text
		}
	}
	return out
}
