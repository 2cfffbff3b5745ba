package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsThatEndWithTheirReplicaArePinned guards against LOST: the controller does not learn
// that a stream may not continue at another replica, or has no attempt left, and takes its
// replica apart when the head is silent for a moment.
func TestRequestsThatEndWithTheirReplicaArePinned(t *testing.T) {
	for _, c := range []struct {
		target string
		pinned []bool // at each attempt
	}{
		{"/single/1", []bool{true}},
		{"/draft/1", []bool{false, true}},
	} {
		withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
			attempt := 0
			h.handle = func(_ string, _ int, _ receivedRequest, conn net.Conn) {
				is.Equal(len(h.fleet.PinnedReplicas(time.Now())) == 1, c.pinned[attempt])
				attempt++
				if attempt < len(c.pinned) {
					_ = conn.Close()
					return
				}
				answer(conn, true, 0)
			}
			w, broken := h.call("POST", c.target, "x")
			is.True(!broken && w.Code == 200)
			is.Equal(attempt, len(c.pinned))
			is.Equal(len(h.fleet.PinnedReplicas(time.Now())), 0)
		})
	}
}
