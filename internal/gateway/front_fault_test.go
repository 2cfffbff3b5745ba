package gateway

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeSlowly writes one event byte by byte, with a pause after each.
func writeSlowly(c net.Conn, event string, pause time.Duration) {
	for i := range len(event) {
		writeChunk(c, event[i:i+1])
		time.Sleep(pause)
	}
}

// TestStalledStreamThatSendsAByteNowAndThenEnds guards against streams that never end:
// single bytes are no progress, only whole events are.
func TestStalledStreamThatSendsAByteNowAndThenEnds(t *testing.T) {
	for _, target := range []string{"/draft/1", "/single/1"} {
		withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
			h.handle = func(_ string, n int, _ receivedRequest, c net.Conn) {
				if n == 1 {
					writeStream(c, 1, 2, "first")
					writeSlowly(c, fmt.Sprintf("id: 3\ndata: %0200d", 0), 200*time.Millisecond)
					return
				}
				writeStream(c, 3, 4, "second")
				endStream(c)
			}
			begin := time.Now()
			w, broken := h.call("POST", target, "x")
			if target == "/draft/1" {
				is.True(!broken)
				is.Equal(w.Body.String(), streamText(4)) // it went on at the other replica
				is.True(time.Since(begin) < 2*time.Second)
				return
			}
			is.True(broken)
			is.Equal(w.Body.String(), streamText(2)) // no part of an event
			is.True(time.Since(begin) <= 8*time.Second)
		})
	}
}

// TestSlowStreamIsNotCut guards against cutting a stream that is slow but sound: its
// events come later than a stall is assumed, at both replicas.
func TestSlowStreamIsNotCut(t *testing.T) {
	for _, target := range []string{"/draft/1", "/single/1"} {
		withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
			h.handle = func(_ string, _ int, r receivedRequest, c net.Conn) {
				first := 1
				if last := r.header.Get("Last-Event-Id"); last != "" {
					_, _ = fmt.Sscan(last, &first)
					first++
				}
				for id := first; id <= 6; id++ {
					if id == first {
						writeStream(c, id, id, "s")
					} else {
						writeChunk(c, fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id))
					}
					time.Sleep(900 * time.Millisecond)
				}
				endStream(c)
			}
			w, broken := h.call("POST", target, "x")
			is.True(!broken)
			is.Equal(w.Body.String(), streamText(6))
			if target == "/single/1" {
				is.Equal(len(h.requests()), 1)
			}
		})
	}
}

// TestResponseThatTricklesIsAnsweredInTime checks that a response whose bytes come one
// by one does not hold the caller beyond the route's timeout, and that the outcome of a
// request that cannot be repeated is reported as unknown.
func TestResponseThatTricklesIsAnsweredInTime(t *testing.T) {
	for _, target := range []string{"/read/x", "/write/x"} {
		withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
			h.handle = func(_ string, _ int, _ receivedRequest, c net.Conn) {
				fmt.Fprint(c, "HTTP/1.1 200 X\r\nT-Id: id1\r\nT-Seal: s\r\nContent-Length: 1000\r\n\r\n")
				for range 1000 {
					if _, err := c.Write([]byte("x")); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}
			begin := time.Now()
			w, _ := h.call("POST", target, "x")
			is.True(w.Code == 502 || w.Code == 504)
			is.True(time.Since(begin) <= 2*time.Second)
		})
	}
}

// TestSlowServerIsNotLeftForADeadOne guards against giving up an attempt at a sound server,
// which would answer a little later, for servers that are registered and have ended.
func TestSlowServerIsNotLeftForADeadOne(t *testing.T) {
	for _, others := range []string{"refuse", "hang", "live"} {
		t.Run(others, func(t *testing.T) {
			withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
				var first atomic.Pointer[string]
				dial := h.front.config.Dial
				h.front.config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					slow := first.Load()
					switch {
					case slow == nil || address == *slow || others == "live":
						return dial(ctx, network, address)
					case others == "refuse":
						return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
					}
					<-ctx.Done()
					return nil, ctx.Err()
				}
				h.handle = func(server string, n int, _ receivedRequest, c net.Conn) {
					if n == 1 {
						first.Store(&server)
						time.Sleep(time.Second)
					}
					respond(c, 200, "id1", "done by "+server)
				}
				begin := time.Now()
				w, _ := h.call("POST", "/read/1", "x")
				is.Equal(w.Code, 200)
				slow := *first.Load()
				if others != "live" {
					is.Equal(w.Body.String(), "done by "+slow)
					is.Equal(len(h.requests()), 1)
					return
				}
				is.True(w.Body.String() != "done by "+slow)
				is.Equal(time.Since(begin), 270*time.Millisecond) // retryFraction of the target
			})
		})
	}
}
