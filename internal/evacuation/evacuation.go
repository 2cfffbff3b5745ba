// Package evacuation keeps which availability zones are evacuated, as one node knows it. The
// operator writes a key for a zone whose backend servers shall get no requests, and deletes it
// when the zone is taken back.
//
// Terms:
//
//   - Evacuated: the zone's key exists, whatever its value.
//   - Change: the beginning or the end of a zone's evacuation, with the revision of the store
//     that made it. The end of one that is only known from a listing has the listing's revision.
//   - Listing: all evacuated zones as of a revision.
//
// Invariants:
//
//   - What is known of a zone is never replaced by an older change, whoever reports it.
//   - A zone that a listing lacks is not evacuated as of the listing's revision, so an end that
//     was missed is learned. A listing soon after a restore of the store does not count: its
//     owners write the lost keys again.
//   - Revisions of a later era of the store are larger, so changes are ordered over restores.
package evacuation

import (
	"cmp"
	"slices"

	ring "eelgrassring.dev"
)

// MaxZones bounds the zones of which a Set keeps a change, and MaxZoneLength the length of a
// zone's name, in bytes. The state of all of them fits into a message between nodes.
const (
	MaxZones      = 24
	MaxZoneLength = 40
)

// Change is the beginning of a zone's evacuation, or its end.
type Change struct {
	Zone     ring.Zone
	Revision ring.Revision
	IsEnd    bool
}

// State is what a node knows of all zones. No other zone was evacuated as of ListedAt.
type State struct {
	ListedAt ring.Revision
	// Changes holds the last change of each zone that is evacuated, or whose evacuation ended
	// after ListedAt. They are sorted by zone.
	Changes []Change
}

// Set holds which zones are evacuated. The zero value knows of none. It is not safe for
// concurrent use.
type Set struct {
	changes map[ring.Zone]Change
	// listedAt is the revision of the newest listing that counts.
	listedAt ring.Revision
	// isFull is set once a change was left out for lack of room.
	isFull bool
}

// Apply records a change, and reports whether it begins or ends an evacuation. isRestoring is
// set soon after a restore of the store: a key that is missing then may only have been lost.
func (s *Set) Apply(c Change, isRestoring bool) bool {
	known, isKnown := s.changes[c.Zone]
	if c.IsEnd && isRestoring && known.Revision.Era() < c.Revision.Era() {
		return false // A later listing tells.
	}
	if !isKnown && c.Revision <= s.listedAt {
		return false
	}
	return s.put(c)
}

// put records a change that no listing contradicts. The result is that of Apply.
func (s *Set) put(c Change) bool {
	known, isKnown := s.changes[c.Zone]
	if known.Revision >= c.Revision {
		return false
	}
	wasEvacuated := isKnown && !known.IsEnd
	if !isKnown && (len(s.changes) >= MaxZones || len(c.Zone) > MaxZoneLength) {
		s.isFull = true
		return false
	}
	if s.changes == nil {
		s.changes = map[ring.Zone]Change{}
	}
	s.changes[c.Zone] = c
	return wasEvacuated == c.IsEnd
}

// ApplyListing records all evacuated zones as of a revision, and returns the changes that begin
// or end an evacuation, sorted by zone. isRestoring is as in Apply.
func (s *Set) ApplyListing(zones []Change, revision ring.Revision, isRestoring bool) []Change {
	if isRestoring {
		revision = 0
	}
	return s.ApplyState(State{ListedAt: revision, Changes: zones})
}

// ApplyState records what another node knows, and returns the changes that begin or end an
// evacuation, sorted by zone.
func (s *Set) ApplyState(other State) []Change {
	var out []Change
	if other.ListedAt > s.listedAt {
		out = s.dropUnlisted(other) // Which makes room.
	}
	for _, c := range other.Changes {
		// What a newer listing names was perhaps left out before for lack of room.
		isListed := !c.IsEnd && other.ListedAt == s.listedAt && c.Revision <= s.listedAt
		if (isListed && s.put(c)) || (!isListed && s.Apply(c, false)) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, compareZones)
	return out
}

// dropUnlisted records the revision of a newer listing, and drops the changes that it shows to be
// over. It returns the ends of evacuations.
func (s *Set) dropUnlisted(other State) []Change {
	var out []Change
	isNamed := map[ring.Zone]bool{}
	for _, c := range other.Changes {
		isNamed[c.Zone] = true
	}
	s.isFull, s.listedAt = false, other.ListedAt
	for zone, c := range s.changes {
		switch {
		case c.Revision > other.ListedAt || (!c.IsEnd && isNamed[zone]):
		case c.IsEnd:
			delete(s.changes, zone) // The listing says the same.
		default:
			delete(s.changes, zone)
			out = append(out, Change{Zone: zone, Revision: other.ListedAt, IsEnd: true})
		}
	}
	return out
}

// State returns what is known. It is complete as of its ListedAt; the bool is false if changes
// were left out for lack of room, so that it is not.
func (s *Set) State() (State, bool) {
	out := State{ListedAt: s.listedAt}
	for _, c := range s.changes {
		out.Changes = append(out.Changes, c)
	}
	slices.SortFunc(out.Changes, compareZones)
	return out, !s.isFull
}

// Zones returns the evacuated zones, sorted.
func (s *Set) Zones() []ring.Zone {
	var out []ring.Zone
	for zone, c := range s.changes {
		if !c.IsEnd {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

func compareZones(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) }
