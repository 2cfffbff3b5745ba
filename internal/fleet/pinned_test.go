package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

// TestPinnedReplicas guards against LOST: a replica at which requests may not continue elsewhere
// counts as movable, so that it is taken apart when its head is silent for a moment.
func TestPinnedReplicas(t *testing.T) {
	const validity = 1500 * time.Millisecond
	is := is.New(t)
	f, r := newFleetWithReplica()
	f.BeginRequest(r, 0, at(0))
	is.Equal(f.PinnedReplicas(at(100))[3], false)
	is.Equal(len(f.MovableReplicas(at(100))), 0) // It has not stalled.
	is.Equal(f.MovableReplicas(at(1000)), []ring.Epoch{3})
	f.Pin(r.Group)
	is.Equal(f.PinnedReplicas(at(1000))[3], true)
	is.Equal(len(f.MovableReplicas(at(1000))), 0)
	f.Unpin(r.Group)
	is.Equal(f.PinnedReplicas(at(1000))[3], false)

	stalled := map[ring.Epoch]time.Duration{3: time.Second}
	f.UpdatePeer("p", map[ring.Epoch]int{3: 2}, stalled, at(1000).Add(validity))
	is.Equal(f.PinnedReplicas(at(1000))[3], true) // The peer does not say that they are movable.
	f.UpdatePeerMovable("p", []ring.Epoch{3})
	is.Equal(f.PinnedReplicas(at(1000))[3], false)
	f.UpdatePeer("p", map[ring.Epoch]int{3: 2}, stalled, at(1000).Add(validity))
	is.Equal(f.PinnedReplicas(at(1000).Add(validity + time.Second))[3], true) // This node may have stood still.
	is.Equal(f.PinnedReplicas(at(1000).Add(validity + silentPeerTime))[3], false)
}

// TestMovableReplicaThatStallsAtAPeer guards against waiting for a silent server because one node
// has had no event of it yet.
func TestMovableReplicaThatStallsAtAPeer(t *testing.T) {
	is := is.New(t)
	f, r := newFleetWithReplica()
	f.BeginRequest(r, 0, at(0))
	is.Equal(len(f.MovableReplicas(at(50))), 0)
	f.UpdatePeer("p", map[ring.Epoch]int{3: 2}, map[ring.Epoch]time.Duration{3: time.Second}, at(1500))
	is.Equal(f.MovableReplicas(at(50)), []ring.Epoch{3})
}
