package gateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

// countRequests returns how many requests each server has received since the first
// skip requests.
func (h *frontHarness) countRequests(skip int) map[string]int {
	out := map[string]int{}
	for _, r := range h.requests()[skip:] {
		out[r.server]++
	}
	return out
}

// TestServerThatAnnouncesItsStopGetsNoFurtherRequests guards against requests to a
// server that said in a response that it is about to stop, while its registry entry
// does not say so yet, or never will.
func TestServerThatAnnouncesItsStopGetsNoFurtherRequests(t *testing.T) {
	for _, target := range []string{"/read/x", "/write/x", "/draft/x"} {
		withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
			leaving := ""
			h.handle = func(server string, n int, _ receivedRequest, c net.Conn) {
				if n == 1 {
					leaving = server
				}
				if server == leaving {
					respond(c, 200, "id1", "done", "T-Leaving: 1\r\n")
					return
				}
				respond(c, 200, "id1", "done")
			}
			for range 20 {
				w, _ := h.call("POST", target, "x")
				is.Equal(w.Code, 200)
			}
			is.Equal(h.countRequests(1)[leaving], 0)
			is.Equal(h.node.announced, []ring.VM{ring.VM(leaving)}) // the peers and the controller are told
		})
	}
}

// TestNoticeOfAFormerIncarnationIsIgnored checks that a server that was started again
// gets requests although its former process had announced its stop and asked for a pause.
func TestNoticeOfAFormerIncarnationIsIgnored(t *testing.T) {
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		h.handle = func(_ string, n int, _ receivedRequest, c net.Conn) {
			if n <= 3 {
				respond(c, 503, "id1", "", "T-NotRun: 1\r\n", "T-Leaving: 1\r\n", "T-Pause: 1h\r\n")
				return
			}
			respond(c, 200, "id1", "done")
		}
		for range 3 {
			h.call("POST", "/read/x", "x")
		}
		for i, id := range []string{"a", "b", "c"} {
			h.fleet.Put(ring.Server{ID: ring.VM(id), Incarnation: "2", Service: "app", Address: id, Slots: 6}, ring.Revision(i+100))
		}
		w, _ := h.call("POST", "/read/x", "x")
		is.Equal(w.Code, 200)
	})
}

// TestPausedServerGetsNoRequests checks that no request, retry or resumed stream goes
// to a server that turned one away and asked for a pause, until the pause ends.
func TestPausedServerGetsNoRequests(t *testing.T) {
	const pause = 4 * time.Second
	for _, target := range []string{"/read/x", "/write/x", "/draft/x"} {
		withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
			paused := ""
			h.handle = func(server string, n int, _ receivedRequest, c net.Conn) {
				if n == 1 {
					paused = server
					respond(c, 503, "id1", "", "T-NotRun: 1\r\n", fmt.Sprintf("T-Pause: %s\r\n", pause))
					return
				}
				respond(c, 200, "id1", "done")
			}
			begin := time.Now()
			for time.Since(begin) < pause-100*time.Millisecond {
				w, _ := h.call("POST", target, "x")
				is.Equal(w.Code, 200) // another server serves it
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(h.countRequests(1)[paused], 0)
			time.Sleep(20 * time.Second) // The refusal no longer weighs against the server.
			before := len(h.requests())
			for range 20 {
				h.call("POST", target, "x")
			}
			is.True(h.countRequests(before)[paused] > 0)
		})
	}
}

// TestCallersAreToldWhenThePausesEnd checks that a request is refused at once, with the
// time of the first end of a pause, if all servers asked for one.
func TestCallersAreToldWhenThePausesEnd(t *testing.T) {
	for _, target := range []string{"/read/x", "/write/x", "/draft/x"} {
		withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
			h.handle = func(_ string, n int, _ receivedRequest, c net.Conn) {
				respond(c, 503, "id1", "", "T-NotRun: 1\r\n", fmt.Sprintf("T-Pause: %ds\r\n", 10+n))
			}
			begin := time.Now()
			for range 3 {
				h.call("POST", target, "x")
			}
			reached := len(h.requests())
			asked := time.Now()
			w, _ := h.call("POST", target, "x")
			is.Equal(w.Code, 503)
			is.True(time.Since(asked) < 10*time.Millisecond)
			is.Equal(len(h.requests()), reached) // no server was asked
			wait, err := time.ParseDuration(w.Header().Get("T-Retry"))
			is.NoErr(err)
			end := begin.Add(11 * time.Second)
			is.True(!time.Now().Add(wait).Before(end))
			is.True(time.Now().Add(wait).Before(end.Add(time.Second)))
		})
	}
}
