package fleet

import (
	"maps"
	"slices"
	"time"

	ring "eelgrassring.dev"
)

// SetEvacuated replaces the evacuated zones, whose servers get no new requests.
func (f *Fleet) SetEvacuated(zones []ring.Zone) {
	evacuated := make(map[ring.Zone]bool, len(zones))
	for _, zone := range zones {
		evacuated[zone] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = evacuated
	f.markReplicasStale()
}

// Evacuated returns the evacuated zones. The caller must not change the result.
func (f *Fleet) Evacuated() map[ring.Zone]bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.evacuated
}

// IsEvacuated reports whether the server is in an evacuated zone.
func (f *Fleet) IsEvacuated(s ring.Server) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.evacuated[s.Zone]
}

// HasZone reports whether a server is registered in the zone.
func (f *Fleet) HasZone(zone ring.Zone) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, s := range f.servers {
		if s.Zone == zone {
			return true
		}
	}
	return false
}

// IsWhollyEvacuated reports whether a service has servers, and all that are not about to stop
// are in evacuated zones. It cannot serve requests until a zone is taken back.
func (f *Fleet) IsWhollyEvacuated(service ring.Service) bool {
	evacuated := f.Evacuated()
	if len(evacuated) == 0 {
		return false
	}
	isAny := false
	for _, s := range f.Servers(service) {
		if s.Leaving {
			continue
		}
		if !evacuated[s.Zone] {
			return false
		}
		isAny = true
	}
	return isAny
}

// EvacuatedZone says how far the evacuation of a zone is, for operators.
type EvacuatedZone struct {
	Zone ring.Zone
	// Servers are those registered in the zone.
	Servers int
	// Replicas are those with a member in the zone that have not ended, and Busy those of them
	// with requests of any node; Requests is their sum.
	Replicas, Busy, Requests int
}

// EvacuatedZones returns how far the evacuation of each evacuated zone is, sorted by zone.
func (f *Fleet) EvacuatedZones(now time.Time) []EvacuatedZone {
	zones := slices.Sorted(maps.Keys(f.Evacuated()))
	if len(zones) == 0 {
		return nil
	}
	out := make([]EvacuatedZone, len(zones))
	f.rLockReplicas()
	defer f.mu.RUnlock()
	for i, zone := range zones {
		out[i].Zone = zone
		isMember := map[ring.Epoch]bool{}
		for _, s := range f.servers {
			if s.Zone == zone {
				out[i].Servers++
				isMember[s.Membership.Epoch] = true
			}
		}
		for _, r := range f.replicas {
			if membership := r.Head.Membership; !isMember[r.Epoch] || membership.IsStandby() {
				continue
			}
			load := f.candidateFor(r, now).Load
			out[i].Replicas++
			out[i].Requests += load
			if load > 0 {
				out[i].Busy++
			}
		}
	}
	return out
}
