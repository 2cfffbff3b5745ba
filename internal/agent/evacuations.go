package agent

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/echo"
	"eelgrassring.dev/internal/evacuation"
	"eelgrassring.dev/internal/event"
)

// evacuations holds which availability zones are evacuated, as this node knows it.
type evacuations struct {
	mu  sync.Mutex
	set evacuation.Set
	// readAt is the latest moment as of which the set is known to be complete.
	readAt clock.Instant
	// invalid holds the keys that were logged since they, or their values, cannot be read.
	invalid map[string]bool
}

const (
	// maxInvalidEvacuations bounds the invalid keys that are remembered, and so logged once.
	maxInvalidEvacuations = 100
	// maxZonesBytes bounds the changes of zones in a message, and zoneOverhead is what a change
	// takes besides the zone's name, in bytes.
	maxZonesBytes = 240
	zoneOverhead  = 14
	// maxReplicasBesideZones is the largest number of replicas in a summary that also carries the
	// state of the zones, so that both fit into a datagram. Partial summaries name none.
	maxReplicasBesideZones = 160
)

// hasEvacuations reports whether zones can be evacuated in this deployment.
func (a *Agent) hasEvacuations() bool { return a.config.Evacuation > 0 }

// routingPrefix returns the prefix of the keys that the routing mirror follows: where zones can
// be evacuated, what the keys of both have in common, so that no further call to the store is
// needed.
func (a *Agent) routingPrefix() string {
	key := a.config.Directory.RoutingKey()
	if !a.hasEvacuations() {
		return key
	}
	other, n := a.config.Directory.EvacuationPrefix(), 0
	for n < min(len(key), len(other)) && key[n] == other[n] {
		n++
	}
	return key[:n]
}

// isRestoring reports whether the store was restored from a copy so shortly ago that the lost
// keys may not have been written again.
func (a *Agent) isRestoring() bool {
	return !a.config.Store.Era().IsSettled(a.config.Timing.RestoreGrace, time.Now())
}

// readEvacuation returns the change of a zone that a key of the store means, or false if it
// means none. It logs a key or value that cannot be read, once until it can be.
func (a *Agent) readEvacuation(c ring.Change) (evacuation.Change, bool) {
	key := c.Entry.Key
	if !a.hasEvacuations() || !strings.HasPrefix(key, a.config.Directory.EvacuationPrefix()) {
		return evacuation.Change{}, false
	}
	value := c.Entry.Value
	if c.Deleted {
		value = []byte("{}")
	}
	zone, err := a.config.Directory.ReadEvacuation(key, value)
	a.logInvalidEvacuation(key, err)
	return evacuation.Change{Zone: zone, Revision: c.Entry.Modified, IsEnd: c.Deleted}, zone != ""
}

// logInvalidEvacuation logs that a key or its value cannot be read, once until it can; err is
// nil then.
func (a *Agent) logInvalidEvacuation(key string, err error) {
	a.evacuations.mu.Lock()
	wasInvalid := a.evacuations.invalid[key] || len(a.evacuations.invalid) >= maxInvalidEvacuations
	if err == nil {
		delete(a.evacuations.invalid, key)
	} else if !wasInvalid {
		if a.evacuations.invalid == nil {
			a.evacuations.invalid = map[string]bool{}
		}
		a.evacuations.invalid[key] = true
	}
	a.evacuations.mu.Unlock()
	if err != nil && !wasInvalid {
		text := err.Error()
		a.log.Write(event.EvacuationInvalid, slog.String("error", text[:min(len(text), maxErrorText)]))
	}
}

// applyEvacuationChange applies a change that the store's watch or a listing reports.
func (a *Agent) applyEvacuationChange(c ring.Change) {
	change, ok := a.readEvacuation(c)
	if !ok {
		return
	}
	isRestoring := a.isRestoring()
	hasChanged := a.updateEvacuations(fromStore, func(s *evacuation.Set) []evacuation.Change {
		if s.Apply(change, isRestoring) {
			return []evacuation.Change{change}
		}
		return nil
	})
	if hasChanged {
		a.sendEvacuationsSoon()
	}
}

// recordEvacuationsRead applies a listing of the store, which began at readStart.
func (a *Agent) recordEvacuationsRead(readStart clock.Instant, listed []ring.Entry, revision ring.Revision) {
	if !a.hasEvacuations() {
		return
	}
	var zones []evacuation.Change
	for _, e := range listed {
		if change, ok := a.readEvacuation(ring.Change{Entry: e}); ok {
			zones = append(zones, change)
		}
	}
	isRestoring := a.isRestoring()
	hasChanged := a.updateEvacuations(fromStore, func(s *evacuation.Set) []evacuation.Change {
		return s.ApplyListing(zones, revision, isRestoring)
	})
	if hasChanged {
		a.sendEvacuationsSoon()
	}
	if !isRestoring {
		a.recordEvacuationsComplete(readStart)
	}
}

// updateEvacuations changes the set and makes the fleet follow. It logs the changes. from names
// their source for the log. It reports whether there were any.
func (a *Agent) updateEvacuations(from string, update func(*evacuation.Set) []evacuation.Change) (hasChanged bool) {
	e := &a.evacuations
	e.mu.Lock()
	changes := update(&e.set)
	for _, c := range changes {
		if c.IsEnd {
			a.cold.TakeBack(c.Zone, time.Now()) // Before its servers get requests again.
		}
	}
	if len(changes) > 0 {
		a.fleet.SetEvacuated(e.set.Zones())
	}
	e.mu.Unlock()
	for _, c := range changes {
		kind := event.EvacuationBegan
		if c.IsEnd {
			kind = event.EvacuationEnded
		}
		a.log.Write(kind, slog.String("zone", string(c.Zone)), slog.Int64("revision", int64(c.Revision)), slog.String("from", from))
		if !c.IsEnd && a.IsController() && !a.fleet.HasZone(c.Zone) {
			a.log.Write(event.EvacuationUnknownZone, slog.String("zone", string(c.Zone)))
		}
	}
	return len(changes) > 0
}

// sendEvacuationsSoon sends the state of the zones along the tree of nodes. Without a tree each
// node watches the store.
func (a *Agent) sendEvacuationsSoon() {
	if a.usesTree() {
		a.SendDigestSoon()
	}
}

// recordEvacuationsComplete records a moment as of which all changes are known. It comes after
// them.
func (a *Agent) recordEvacuationsComplete(at clock.Instant) {
	a.evacuations.mu.Lock()
	defer a.evacuations.mu.Unlock()
	a.evacuations.readAt = laterInstant(a.evacuations.readAt, at)
}

// areEvacuationsFresh reports whether the state of the zones was complete less than maxAge ago,
// so that this node need not read it from the store.
func (a *Agent) areEvacuationsFresh(maxAge time.Duration) bool {
	if !a.hasEvacuations() {
		return true
	}
	a.evacuations.mu.Lock()
	defer a.evacuations.mu.Unlock()
	return !a.evacuations.readAt.IsZero() && a.evacuations.readAt.Age() < maxAge
}

// evacuationsFor returns what this node knows of the zones, for a message to a peer whose last
// stamp arrived with arrival; hasArrival is unset if there was none.
func (a *Agent) evacuationsFor(arrival echo.Arrival, hasArrival bool) *digest.Evacuations {
	if !a.hasEvacuations() {
		return nil
	}
	a.evacuations.mu.Lock()
	state, isComplete := a.evacuations.set.State()
	readAt := a.evacuations.readAt
	a.evacuations.mu.Unlock()
	out, size := &digest.Evacuations{}, 0
	for _, c := range state.Changes {
		if size += len(c.Zone) + zoneOverhead; size > maxZonesBytes {
			isComplete = false // The receiver reads the store itself.
			break
		}
		out.Changes = append(out.Changes, digest.EvacuationChange{Zone: string(c.Zone), Revision: int64(c.Revision), IsEnd: c.IsEnd})
	}
	if !isComplete {
		return out
	}
	out.ListedAt = int64(state.ListedAt)
	if hasArrival {
		out.LagMillis = a.lagMillis(readAt, arrival)
	}
	return out
}

// applyEvacuations applies what a peer knows of the zones. returned is the stamp of this node
// that came with it. isForwarded is set if the message goes on to this node's children with the
// new state, so that no other need be sent.
func (a *Agent) applyEvacuations(from string, m *digest.Evacuations, returned uint64, isForwarded bool) {
	if !a.hasEvacuations() {
		return
	}
	state := evacuation.State{ListedAt: ring.Revision(m.ListedAt)}
	for _, c := range m.Changes {
		state.Changes = append(state.Changes, evacuation.Change{Zone: ring.Zone(c.Zone), Revision: ring.Revision(c.Revision), IsEnd: c.IsEnd})
	}
	known := a.config.Store.Era().Number
	isRestoring := a.isRestoring() || (known != 0 && state.ListedAt.Era() > known)
	if isRestoring { // The sender may have started since, and know of no restore.
		state.ListedAt = 0
		state.Changes = slices.DeleteFunc(state.Changes, func(c evacuation.Change) bool { return c.IsEnd })
	}
	hasChanged := a.updateEvacuations(from, func(s *evacuation.Set) []evacuation.Change { return s.ApplyState(state) })
	if hasChanged && !isForwarded {
		a.sendEvacuationsSoon()
	}
	if isRestoring {
		return
	}
	if readAt := a.instantFromLag(returned, m.LagMillis, a.moment()); !readAt.IsZero() {
		a.recordEvacuationsComplete(readAt)
	}
}
