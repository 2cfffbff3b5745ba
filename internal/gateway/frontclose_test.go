package gateway

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

// The header of a response that has neither a length nor chunks and ends with its
// connection.
func unframedHeader(r receivedRequest, contentType string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", r.header.Get("T-Id"), contentType)
}

// writePieces writes the events from after last to 4 without chunks.
func writePieces(c net.Conn, last int64) {
	for id := last + 1; id <= 4; id++ {
		fmt.Fprintf(c, "id: %d\ndata: piece\n\n", id)
	}
}

// callForUnframedStream calls for a stream without a length, of which first writes the body of
// the first attempt and each later one writes the rest. It checks that the caller gets the
// whole stream, in the given number of attempts.
func (h *frontHarness) callForUnframedStream(is *is.I, attempts int, first func(server string, c net.Conn)) {
	is.Helper()
	h.handle = func(server string, n int, r receivedRequest, c net.Conn) {
		fmt.Fprint(c, unframedHeader(r, "text/event-stream"))
		if n == 1 {
			first(server, c)
			return
		}
		last, _ := numericEventID(r.header.Get("Last-Event-Id"))
		writePieces(c, last)
	}
	w, isBroken := h.call("POST", "/draft/x", "body")
	is.True(!isBroken)
	is.Equal(w.Code, 200)
	is.Equal(strings.Count(w.Body.String(), "data: piece\n\n"), 4)
	is.Equal(len(h.requests()), attempts)
}

// TestStreamThatEndsWithItsConnection guards against streams without a length that are taken
// for complete although their server ended, and against whole ones that are sent again.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	for _, test := range []struct {
		name     string
		attempts int
		// first writes the body of the first attempt.
		first func(h *frontHarness, server string, c net.Conn)
	}{
		{"whole", 1, func(_ *frontHarness, _ string, c net.Conn) { writePieces(c, 0) }},
		{"ends inside an event", 2, func(_ *frontHarness, _ string, c net.Conn) { fmt.Fprint(c, "id: 1\ndata: piece\n\nid: 2\nda") }},
		{"ends after the last line of an event", 2, func(_ *frontHarness, _ string, c net.Conn) {
			fmt.Fprint(c, "id: 1\ndata: piece\n\nid: 2\ndata: piece\n")
		}},
		{"ends with its server between two events", 2, func(h *frontHarness, server string, c net.Conn) {
			fmt.Fprint(c, "id: 1\ndata: piece\n\n")
			h.end(server)
		}},
		{"ends with its server before the first event", 2, func(h *frontHarness, server string, _ net.Conn) { h.end(server) }},
		{"ends before the first event", 2, func(*frontHarness, string, net.Conn) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
				h.callForUnframedStream(is, test.attempts, func(server string, c net.Conn) { test.first(h, server, c) })
			})
		})
	}
}

// TestResumedStreamMayBeEmpty guards against taking the rest of a stream for broken because the
// caller has all its events.
func TestResumedStreamMayBeEmpty(t *testing.T) {
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		h.handle = func(_ string, _ int, r receivedRequest, c net.Conn) {
			fmt.Fprint(c, unframedHeader(r, "text/event-stream"))
		}
		w, isBroken := h.call("POST", "/draft/x", "body", "Last-Event-Id", "4")
		is.True(!isBroken)
		is.Equal(w.Code, 200)
		is.Equal(len(h.requests()), 1)
	})
}

// TestBodyThatEndsWithItsServer guards against a body without a length that is taken for
// complete although its server ended while it sent it.
func TestBodyThatEndsWithItsServer(t *testing.T) {
	for _, test := range []struct {
		name, method, target string
		doesEnd              bool
		status, attempts     int
	}{
		{"idempotent", "GET", "/read/1", true, 200, 2},
		{"non-idempotent", "POST", "/write/1", true, 502, 1},
		{"whole", "POST", "/write/1", false, 200, 1},
		{"of a model", "POST", "/draft/1", true, 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
				h.handle = func(server string, n int, r receivedRequest, c net.Conn) {
					fmt.Fprint(c, unframedHeader(r, "text/plain"))
					if n == 1 && test.doesEnd {
						fmt.Fprint(c, "ha")
						h.end(server)
						return
					}
					fmt.Fprint(c, "half and half")
				}
				w, _ := h.call(test.method, test.target, "")
				is.Equal(w.Code, test.status)
				is.Equal(len(h.requests()), test.attempts)
				if test.status == 200 {
					is.Equal(w.Body.String(), "half and half")
				}
			})
		})
	}
}

// TestUnframedResponseNeedsALivingServer guards against a part of a response without a length
// that is forwarded as a success because its server ends or leaves: a process that ends may
// accept a connection after it has closed that of the response. A sound server that is silent
// for a while keeps its response.
func TestUnframedResponseNeedsALivingServer(t *testing.T) {
	for _, test := range []struct {
		name string
		// health is called for the n-th health check of a server that has not ended.
		health func(h *frontHarness, server string, n int, c net.Conn)
		// isLeaving is set if the server announces that it leaves.
		isLeaving bool
		isWhole   bool
		took      time.Duration
	}{
		{"it answers", nil, false, true, 0},
		{"it leaves and answers", nil, true, true, 0},
		{"it is full", func(_ *frontHarness, _ string, _ int, c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		}, false, true, 0},
		{"it ends", func(h *frontHarness, server string, _ int, _ net.Conn) { h.end(server) }, false, false, livenessPause},
		{"it leaves and ends", func(h *frontHarness, server string, _ int, _ net.Conn) { h.end(server) }, true, false, livenessPause},
		{"it ends slowly", func(h *frontHarness, server string, n int, _ net.Conn) {
			if n == 5 {
				h.end(server)
			}
		}, false, false, 5 * livenessPause},
		{"it is silent and goes on", func(_ *frontHarness, _ string, n int, c net.Conn) {
			if n < 3 {
				time.Sleep(2 * livenessTimeout)
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}, false, true, 2 * (livenessTimeout + livenessPause)},
		{"a check is reset", func(_ *frontHarness, _ string, n int, c net.Conn) {
			if n > 1 {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}, false, true, livenessPause},
		{"it stays silent", func(*frontHarness, string, int, net.Conn) { time.Sleep(2 * livenessTimeout) }, false, false, 1980 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
				var checks atomic.Int64
				h.health = func(server string, c net.Conn) {
					n := int(checks.Add(1))
					if test.health != nil {
						test.health(h, server, n, c)
						return
					}
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				h.handle = func(server string, _ int, r receivedRequest, c net.Conn) {
					if test.isLeaving {
						h.fleet.Put(ring.Server{ID: ring.VM(server), Service: "app", Address: server, Slots: 6, Leaving: true}, 1000)
					}
					fmt.Fprint(c, unframedHeader(r, "text/plain")+"half and half")
				}
				begin := time.Now()
				w, _ := h.call("POST", "/write/1", "")
				is.Equal(w.Code == 200, test.isWhole)
				is.Equal(w.Code == 502 || w.Code == 504, !test.isWhole)
				is.Equal(time.Since(begin), test.took)
				is.Equal(len(h.requests()), 1)
			})
		})
	}
}

// TestUnframedStreamNeedsALivingServer is the same for streams, which another server goes on
// with.
func TestUnframedStreamNeedsALivingServer(t *testing.T) {
	for _, isLeaving := range []bool{false, true} {
		withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
			h.health = func(server string, c net.Conn) {
				if len(h.requests()) == 1 {
					h.end(server)
					return
				}
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			h.callForUnframedStream(is, 2, func(server string, c net.Conn) {
				h.fleet.Put(ring.Server{
					ID: ring.VM(server), Service: "engine", Address: server, Slots: 4, Model: "m", Leaving: isLeaving,
					Membership: ring.Membership{Group: ring.Group("g" + server), Epoch: 1, State: ring.MemberOpen},
				}, 1000)
				fmt.Fprint(c, "id: 1\ndata: piece\n\n")
			})
		})
	}
}
