package agent

import (
	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/digest"
)

// pass queues a change of the registry for the nodes below, when it matters to
// them: heads, plain servers, and whoever leaves.
func (a *Agent) pass(id ring.VM, s ring.Server, at ring.Revision, gone bool) {
	isHead := s.Place.Rank == 0 && !s.Place.IsStandby() && (s.Place.State == ring.MemberOpen || s.Place.State == ring.MemberClosing || s.Place.State == ring.MemberBroken)
	isPlain := s.Domain == ""
	if !a.control.Load() || !a.isTree() || !(gone || isHead || isPlain || s.Leaving) {
		return
	}
	e := digest.Entry{
		ID: string(id), Revision: int64(at), Gone: gone, Incarnation: s.Incarnation, Service: string(s.Service), Address: s.Address,
		Zone: string(s.Zone), Domain: string(s.Domain), Slots: s.Slots, Leaving: s.Leaving, Model: string(s.Model),
		Group: string(s.Place.Group), Epoch: uint64(s.Place.Epoch), Rank: s.Place.Rank, State: string(s.Place.State),
	}
	for _, m := range s.Staged {
		e.Staged = append(e.Staged, string(m))
	}
	a.mu.Lock()
	a.tree.entries = append(a.tree.entries, e)
	a.mu.Unlock()
	a.TellSoon()
}

// spreadEntries sends changes of the registry to the children.
func (a *Agent) spreadEntries(entries []digest.Entry) int {
	own, _ := a.below()
	spent := 0
	for len(entries) > 0 {
		n := min(len(entries), entriesAtOnce)
		for _, address := range own {
			spent += a.post(address, digest.Message{Entries: entries[:n]})
		}
		entries = entries[n:]
	}
	return spent
}

// hearEntries takes changes of the registry and passes on those that are news.
func (a *Agent) hearEntries(entries []digest.Entry) {
	var news []digest.Entry
	for _, e := range entries {
		if e.Gone {
			if a.fleet.Remove(ring.VM(e.ID), ring.Revision(e.Revision)) {
				news = append(news, e)
			}
			continue
		}
		s := ring.Server{
			ID: ring.VM(e.ID), Incarnation: e.Incarnation, Service: ring.Service(e.Service), Address: e.Address, Zone: ring.Zone(e.Zone),
			Domain: ring.Domain(e.Domain), Slots: e.Slots, Leaving: e.Leaving, Model: ring.Model(e.Model),
			Place: ring.Place{Group: ring.Group(e.Group), Epoch: ring.Epoch(e.Epoch), Rank: e.Rank, State: ring.MemberState(e.State)},
		}
		for _, m := range e.Staged {
			s.Staged = append(s.Staged, ring.Model(m))
		}
		if a.fleet.Put(s, ring.Revision(e.Revision)) {
			news = append(news, e)
		}
	}
	a.spreadEntries(news)
}
