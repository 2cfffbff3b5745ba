package fleet

import (
	"time"

	ring "eelgrassring.dev"
)

// silentPeerTime is for how long after its end the last report of a peer still shows where
// requests may be pinned.
const silentPeerTime = 5 * time.Second

// Pin records that one of this node's requests at a replica may not continue at another one:
// it ends with the replica. Unpin ends this.
func (f *Fleet) Pin(g ring.Group) { f.addPinned(g, 1) }

// Unpin ends the effect of one call of Pin.
func (f *Fleet) Unpin(g ring.Group) { f.addPinned(g, -1) }

func (f *Fleet) addPinned(g ring.Group, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.streams[g]; ok {
		s.pinned += n
	}
}

// LocalPinned returns the replicas at which this node has pinned requests, except those that are
// active here: no silence there counts.
func (f *Fleet) LocalPinned(now time.Time) []ring.Epoch {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []ring.Epoch
	for _, s := range f.streams {
		if s.pinned > 0 && !s.isActive(now) {
			out = append(out, s.epoch)
		}
	}
	return out
}

// UpdatePeerPinned stores the LocalPinned of a peer with its last report. UpdatePeer resets it:
// then all requests of the report count as pinned.
func (f *Fleet) UpdatePeerPinned(peer string, pinned []ring.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[peer]
	p.pinned, p.namesPinned = pinned, true
	f.peers[peer] = p
}

// PinnedReplicas returns the replicas at which this node or a peer may have a pinned request.
// The last report of a peer counts for silentPeerTime longer than otherwise, since this node
// may have stood still.
func (f *Fleet) PinnedReplicas(now time.Time) map[ring.Epoch]bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := map[ring.Epoch]bool{}
	for _, s := range f.streams {
		if s.pinned > 0 {
			out[s.epoch] = true
		}
	}
	for _, p := range f.peers {
		if !now.Before(p.validUntil.Add(silentPeerTime)) {
			continue
		}
		for _, e := range p.pinned {
			out[e] = true
		}
		if p.namesPinned {
			continue
		}
		for e, n := range p.loads {
			if n > 0 {
				out[e] = true
			}
		}
	}
	return out
}
