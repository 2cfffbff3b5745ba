package gateway

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/head/headtest"
)

// resetCase is an upload to a Front whose first server sends a part of an unframed response and
// resets the connection, with what its caller gets.
type resetCase struct {
	name, target string
	// part is what the first server sends of the body, and body the whole one.
	part, body string
	status     int
	attempts   int
	// isBroken is set if the caller has got part when the response breaks off.
	isBroken bool
}

var resetCases = []resetCase{
	{"plain, not repeatable", "/write/1", cutBody[:9], cutBody, 502, 1, false},
	{"plain, repeatable", "/read/1", cutBody[:9], cutBody, 200, 2, false},
	{"stream, not repeatable", "/single/1", streamText(1), cutStream, 200, 1, true},
	{"stream, not repeatable, without an event", "/single/1", "", cutStream, 502, 1, false},
	{"stream, repeatable", "/draft/1", streamText(1), cutStream, 200, 2, false},
	{"stream, repeatable, without an event", "/draft/1", "", cutStream, 200, 2, false},
	{"whole response of a replica", "/single/1", cutBody[:9], cutBody, 502, 1, false},
	{"whole response of a replica, repeatable", "/draft/1", cutBody[:9], cutBody, 200, 2, false},
}

// header returns the header lines of the case's responses.
func (c resetCase) header() string {
	return malformedCase{body: c.body}.header()
}

// check checks what the caller of a request got.
func (c resetCase) check(t *testing.T, h *frontHarness, upload string, attempts func() int) {
	t.Helper()
	w, isBroken := h.call("POST", c.target, upload)
	want := c.body
	if c.isBroken {
		want = c.part
	}
	if isBroken != c.isBroken || w.Code != c.status || (c.status == 200) != (w.Body.String() == want) {
		t.Errorf("got %d, %q, broken %v", w.Code, w.Body, isBroken)
	}
	if c.status == 502 && w.Header().Get("T-Retry") != "" {
		t.Errorf("the caller is told to return: %v", w.Header())
	}
	if got := attempts(); got != c.attempts {
		t.Errorf("%d attempts", got)
	}
}

// slowDialer returns a dialer that makes those connections of another slow that isSlow reports, by
// their number, from 1 on, and their address.
func slowDialer(dial Dialer, slow headtest.SlowConn, isSlow func(n int, address string) bool) Dialer {
	var count atomic.Int64
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil || !isSlow(int(count.Add(1)), address) {
			return conn, err
		}
		out := slow
		out.Conn = conn
		return &out, nil
	}
}

// isNth returns a function for slowDialer that reports the n-th connection.
func isNth(n int) func(int, string) bool {
	return func(m int, _ string) bool { return m == n }
}

// TestResetUploadGetsNoPartOfAResponse guards against a part of an unframed response that is
// forwarded as complete. Its server resets the connection while the upload is written: the write
// takes the error, after or before the end of the response is read. The server lives.
func TestResetUploadGetsNoPartOfAResponse(t *testing.T) {
	for _, c := range resetCases {
		for _, size := range []int{1, maxInlineBody, maxInlineBody + 1, 1 << 20} {
			for _, delay := range []time.Duration{0, 10 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", c.name, size, delay), func(t *testing.T) {
					withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
						h.front.config.Dial = slowDialer(h.dial, headtest.SlowConn{Delay: delay, Err: headtest.ErrReset, Upload: size}, isNth(1))
						h.handle = func(_ string, n int, _ receivedRequest, s net.Conn) {
							if n == 1 {
								fmt.Fprint(s, headtest.Unframed(200, c.header()+notices, c.part))
								return
							}
							fmt.Fprint(s, headtest.Sound(200, c.header(), c.body))
						}
						c.check(t, h, strings.Repeat("x", size), func() int { return len(h.requests()) })
						first := h.requests()[0].server
						is.Equal(string(h.node.announced[0]), first) // The head was whole: its notices count.
						time.Sleep(time.Second)                      // The write ends.
					})
				})
			}
		}
	}
}

// TestResetDoesNotEndAContinuedStream guards against a stream that ends as if complete because the
// attempt that continues it has no further event when its connection is reset. Without the reset
// that says that the caller has all.
func TestResetDoesNotEndAContinuedStream(t *testing.T) {
	for _, isReset := range []bool{true, false} {
		t.Run(fmt.Sprint(isReset), func(t *testing.T) {
			withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
				defer time.Sleep(time.Second) // The write ends.
				if isReset {                  // The second connection asks whether the first server has ended.
					h.front.config.Dial = slowDialer(h.dial, headtest.SlowConn{Delay: 10 * time.Millisecond, Err: headtest.ErrReset}, isNth(3))
				}
				h.handle = func(_ string, n int, _ receivedRequest, s net.Conn) {
					if n == 1 {
						writeStream(s, 1, 2, "s")
						return
					}
					fmt.Fprint(s, headtest.Unframed(200, resetCases[2].header(), ""))
				}
				w, isBroken := h.call("POST", "/draft/1", "x")
				is.Equal(w.Body.String(), streamText(2))
				is.Equal(isBroken, isReset)
				is.Equal(len(h.requests()), 2)
			})
		})
	}
}

// TestPartOfAResponseLosesARace guards against one of two attempts that wins with a part of an
// unframed response, or that ends the other attempt with it.
func TestPartOfAResponseLosesARace(t *testing.T) {
	for _, c := range []resetCase{resetCases[1], resetCases[5]} {
		for _, delay := range []time.Duration{0, 10 * time.Millisecond} {
			for _, isFirst := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, first %v", c.name, delay, isFirst), func(t *testing.T) {
					withHedges(t, func(t *testing.T, is *is.I, h *hedgeHarness) {
						defer time.Sleep(time.Second) // The write ends.
						reset := 2
						sendPart := func(after time.Duration) func(string, net.Conn, bool) {
							return func(_ string, s net.Conn, _ bool) {
								time.Sleep(after)
								fmt.Fprint(s, headtest.Unframed(200, c.header(), c.part))
							}
						}
						h.first, h.second = answerAfter(100*time.Millisecond), sendPart(time.Millisecond)
						if isFirst {
							h.first, h.second = sendPart(40*time.Millisecond), answerAfter(60*time.Millisecond)
							reset = 1
						}
						h.front.config.Dial = slowDialer(h.dial, headtest.SlowConn{Delay: delay, Err: headtest.ErrReset}, isNth(reset))
						w, isBroken := h.call("POST", c.target, "x")
						is.True(!isBroken)
						is.Equal(w.Code, 200)
						sent := h.sent(is, 2)
						sound := sent[0]
						if isFirst {
							sound = sent[1]
						}
						is.Equal(w.Body.String(), wholeAnswer(sound.server, isStreamTarget(c.target)))
					})
				})
			}
		}
	}
}

// TestServerThatResetsIsAvoided guards against sending requests to a server that resets each at once,
// and that so appears the least loaded.
func TestServerThatResetsIsAvoided(t *testing.T) {
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		upload := strings.Repeat("x", maxInlineBody) // Health checks are shorter, and not reset.
		isFailing := func(_ int, address string) bool { return address == "a" }
		h.front.config.Dial = slowDialer(h.dial, headtest.SlowConn{Err: headtest.ErrReset, Upload: len(upload)}, isFailing)
		h.handle = func(server string, _ int, _ receivedRequest, s net.Conn) {
			if server == "a" {
				fmt.Fprint(s, headtest.Unframed(200, resetCases[0].header(), resetCases[0].part))
				return
			}
			time.Sleep(20 * time.Millisecond)
			respond(s, 200, "id1", cutBody)
		}
		failed := 0
		for range 100 {
			if w, _ := h.call("POST", "/write/1", upload); w.Code != 200 {
				failed++
			}
		}
		is.True(failed > 0)
		is.True(failed <= 10)
	})
}

// TestSlowUploadGetsItsResponse guards against taking a complete unframed response for a broken
// one, because its end is read before the write of the upload returns.
func TestSlowUploadGetsItsResponse(t *testing.T) {
	for _, c := range []resetCase{resetCases[0], resetCases[2], resetCases[6]} {
		for _, size := range []int{1, 1 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", c.name, size), func(t *testing.T) {
				withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
					isAny := func(int, string) bool { return true }
					h.front.config.Dial = slowDialer(h.dial, headtest.SlowConn{Delay: 10 * time.Millisecond}, isAny)
					h.handle = func(_ string, _ int, _ receivedRequest, s net.Conn) {
						fmt.Fprint(s, headtest.Unframed(200, c.header(), c.body))
					}
					w, isBroken := h.call("POST", c.target, strings.Repeat("x", size))
					is.True(!isBroken)
					is.Equal(w.Code, 200)
					is.Equal(w.Body.String(), c.body)
					is.Equal(len(h.requests()), 1)
				})
			})
		}
	}
}

// listenEarly starts an EarlyServer, which serves until the listener is closed.
func listenEarly(t *testing.T, s *headtest.EarlyServer) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	return l
}

// withEarlyServer runs a test with a Front whose servers are all an EarlyServer over TCP.
func withEarlyServer(t *testing.T, s *headtest.EarlyServer, test func(h *frontHarness)) {
	t.Helper()
	l := listenEarly(t, s)
	defer l.Close()
	h := newFrontHarness(t)
	h.front.config.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return newDialer().DialContext(ctx, network, l.Addr().String())
	}
	test(h)
}

// eachReset calls test for sizes of an upload and ways in which a server over TCP resets its
// connection.
func eachReset(t *testing.T, test func(t *testing.T, upload string, s *headtest.EarlyServer)) {
	t.Helper()
	for _, size := range []int{100, 12 << 10, 64 << 10, 1 << 20, 4 << 20} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			for _, buffer := range []int{0, 4 << 10} {
				t.Run(fmt.Sprintf("%d bytes, %s, buffer %d", size, pause, buffer), func(t *testing.T) {
					for range 5 {
						test(t, strings.Repeat("x", size), &headtest.EarlyServer{Resets: 1, Pause: pause, ReadBuffer: buffer})
					}
				})
			}
		}
	}
}

// TestResetUploadOverTCP is TestResetUploadGetsNoPartOfAResponse with real connections: it shows
// that a kernel behaves as headtest.SlowConn does.
func TestResetUploadOverTCP(t *testing.T) {
	for _, c := range resetCases {
		t.Run(c.name, func(t *testing.T) {
			eachReset(t, func(t *testing.T, upload string, s *headtest.EarlyServer) {
				s.Part, s.Whole = headtest.Unframed(200, c.header(), c.part), headtest.Sound(200, c.header(), c.body)
				withEarlyServer(t, s, func(h *frontHarness) { c.check(t, h, upload, s.Uploads) })
			})
		})
	}
}

// TestEarlyEndOverTCP guards against taking a response for broken whose server responds early,
// ends its side of the connection and reads the upload to its end.
func TestEarlyEndOverTCP(t *testing.T) {
	for _, c := range []resetCase{resetCases[0], resetCases[1], resetCases[2], resetCases[6]} {
		for _, size := range []int{100, 1 << 20, 4 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", c.name, size), func(t *testing.T) {
				s := &headtest.EarlyServer{Whole: headtest.Unframed(200, c.header(), c.body), EndsEarly: true}
				withEarlyServer(t, s, func(h *frontHarness) {
					w, isBroken := h.call("POST", c.target, strings.Repeat("x", size))
					if isBroken || w.Code != 200 || w.Body.String() != c.body || s.Uploads() != 1 {
						t.Errorf("got %d, %q, broken %v, %d attempts", w.Code, w.Body, isBroken, s.Uploads())
					}
				})
			})
		}
	}
}
