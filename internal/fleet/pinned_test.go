package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

// TestPinnedReplicas guards against LOST: a replica at which requests may not continue elsewhere
// does not count as pinned, so that it is taken apart when its head is silent for a moment.
func TestPinnedReplicas(t *testing.T) {
	const validity = 1500 * time.Millisecond
	is := is.New(t)
	f, r := newFleetWithReplica()
	f.BeginRequest(r, 0, at(0))
	is.Equal(f.PinnedReplicas(at(100))[3], false)
	is.Equal(len(f.LocalPinned(at(100))), 0)
	f.Pin(r.Group)
	is.Equal(f.PinnedReplicas(at(100))[3], true)
	is.Equal(f.LocalPinned(at(100)), []ring.Epoch{3}) // It has had no event.
	f.ObserveEvent(r.Group, true, at(200))
	is.Equal(f.PinnedReplicas(at(300))[3], true)
	is.Equal(len(f.LocalPinned(at(300))), 0) // It is active.
	is.Equal(f.LocalPinned(at(1000)), []ring.Epoch{3})
	f.Unpin(r.Group)
	is.Equal(f.PinnedReplicas(at(1000))[3], false)
	is.Equal(len(f.LocalPinned(at(1000))), 0)

	stalled := map[ring.Epoch]time.Duration{3: time.Second}
	f.UpdatePeer("p", map[ring.Epoch]int{3: 2}, stalled, at(1000).Add(validity))
	is.Equal(f.PinnedReplicas(at(1000))[3], true) // The peer names none, as one of an earlier version.
	f.UpdatePeerPinned("p", nil)
	is.Equal(f.PinnedReplicas(at(1000))[3], false)
	f.UpdatePeerPinned("p", []ring.Epoch{3})
	is.Equal(f.PinnedReplicas(at(1000))[3], true)
	is.Equal(f.PinnedReplicas(at(1000).Add(validity + time.Second))[3], true) // This node may have stood still.
	is.Equal(f.PinnedReplicas(at(1000).Add(validity + silentPeerTime))[3], false)
	f.UpdatePeer("p", map[ring.Epoch]int{3: 2}, stalled, at(1000).Add(validity))
	is.Equal(f.PinnedReplicas(at(1000))[3], true)
}

// TestReplicaThatStallsAtAPeerIsNotPinned guards against waiting for a silent server because one
// node has had no event of it yet.
func TestReplicaThatStallsAtAPeerIsNotPinned(t *testing.T) {
	is := is.New(t)
	f, r := newFleetWithReplica()
	f.BeginRequest(r, 0, at(0))
	f.UpdatePeer("p", map[ring.Epoch]int{3: 2}, map[ring.Epoch]time.Duration{3: time.Second}, at(1500))
	f.UpdatePeerPinned("p", nil)
	is.Equal(len(f.LocalPinned(at(50))), 0)
	is.Equal(f.PinnedReplicas(at(50))[3], false)
}
