package gateway

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/head/headtest"
)

// malformedCase is a request to a Front whose first server sends a malformed response, with what
// its caller gets: the whole response of another server, a failure, or, for a stream that the
// malformed response should have continued, a broken one.
type malformedCase struct {
	target, body string
	status       int
	attempts     int
	isContinued  bool
}

var malformedCases = []malformedCase{
	{"/write/1", cutBody, 502, 1, false},
	{"/read/1", cutBody, 200, 2, false},
	{"/single/1", cutStream, 502, 1, false},
	{"/draft/1", cutStream, 200, 2, false},
	{"/draft/1", cutBody, 200, 2, false},
	{"/draft/1", cutStream, 0, 2, true},
}

// header returns the header lines of the case's sound responses.
func (c malformedCase) header() string {
	const header = "T-Id: id1\r\nT-Seal: s\r\n"
	if c.body == cutStream {
		return header + "Content-Type: text/event-stream\r\n"
	}
	return header
}

// notices are header lines that would have effects on later requests.
const notices = "T-Leaving: 1\r\nT-Pause: 5s\r\nT-Limit: 0\r\n"

// TestMalformedHeadIsNoResponse guards against a response that is forwarded although its head is
// malformed: the server and net/http may see other fields in it than the caller, such as its
// length. Nothing in it counts, so that a request that may not be repeated may have run, although
// the response says that it has not.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for _, c := range malformedCases {
		for _, status := range []int{200, 404, 503} {
			header := c.header() + notices
			if status == 503 {
				header += "T-NotRun: 1\r\n"
			}
			t.Run(fmt.Sprintf("%s %.7q %d, continued %v", c.target, c.body, status, c.isContinued), func(t *testing.T) {
				for _, malformed := range headtest.MalformedHeads(status, header, c.body) {
					t.Run(malformed.Name, func(t *testing.T) { c.test(t, malformed.Text) })
				}
			})
		}
	}
}

// test plays the case with a malformed response.
func (c malformedCase) test(t *testing.T, malformed string) {
	t.Helper()
	withFrontHarness(t, func(t *testing.T, _ *is.I, h *frontHarness) {
		h.handle = func(_ string, n int, _ receivedRequest, s net.Conn) {
			switch {
			case c.isContinued && n == 1:
				writeStream(s, 1, 1, "s")
			case c.isContinued || n == 1:
				fmt.Fprint(s, malformed)
			default:
				fmt.Fprint(s, headtest.Sound(200, c.header(), c.body))
			}
		}
		w, isBroken := h.call("POST", c.target, "x")
		switch {
		case c.isContinued && (!isBroken || w.Body.String() != streamText(1)):
			t.Errorf("the stream does not end as a broken one: broken %v, %q", isBroken, w.Body)
		case c.isContinued:
		case isBroken || w.Code != c.status || (c.status == 200) != (w.Body.String() == c.body):
			t.Errorf("got %d, %q, broken %v", w.Code, w.Body, isBroken)
		case c.status == 502 && w.Header().Get("T-Retry") != "":
			t.Errorf("the caller is told to return: %v", w.Header())
		}
		for name := range w.Header() {
			if strings.HasPrefix(name, "X") {
				t.Errorf("field %q of the malformed response was forwarded", name)
			}
		}
		if got := len(h.requests()); got != c.attempts {
			t.Errorf("%d attempts", got)
		}
		h.checkNoNotice(t)
	})
}

// checkNoNotice checks that no server counts as about to stop, as paused or as limited.
func (h *frontHarness) checkNoNotice(t *testing.T) {
	t.Helper()
	if len(h.node.announced) > 0 {
		t.Errorf("%v count as leaving", h.node.announced)
	}
	for _, r := range h.requests() {
		server := ring.Server{ID: ring.VM(r.server)}
		if h.front.permits.IsDenied(keyOf(server), 0, time.Now()) {
			t.Errorf("%s counts as limited", r.server)
		}
		if h.fleet.IsPaused(server, time.Now()) {
			t.Errorf("%s counts as paused", r.server)
		}
	}
}

// TestOddHeadIsAResponse guards against refusing a head that is unlike that of most servers but
// follows the grammar: it is forwarded with its status and body.
func TestOddHeadIsAResponse(t *testing.T) {
	for _, c := range malformedCases {
		for _, status := range []int{200, 201, 404, 599, 600, 700, 999} {
			if c.isContinued || (status != 200 && c.target != "/write/1") {
				continue
			}
			t.Run(fmt.Sprintf("%s %.7q %d", c.target, c.body, status), func(t *testing.T) {
				for _, odd := range headtest.Odd(status, c.header(), c.body) {
					t.Run(odd.Name, func(t *testing.T) {
						withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
							h.handle = func(_ string, _ int, _ receivedRequest, s net.Conn) { fmt.Fprint(s, odd.Text) }
							w, isBroken := h.call("POST", c.target, "x")
							is.True(!isBroken)
							is.Equal(w.Code, status)
							is.Equal(w.Body.String(), c.body)
							is.Equal(w.Header().Get("T-Seal"), "s")
							is.Equal(len(h.requests()), 1)
						})
					})
				}
			})
		}
	}
}

// TestMalformedTrailerBreaksTheResponse guards against taking a response for complete whose
// trailer is malformed.
func TestMalformedTrailerBreaksTheResponse(t *testing.T) {
	for _, c := range malformedCases {
		if c.body == cutStream {
			continue // Its events are forwarded before the trailer is read.
		}
		t.Run(c.target, func(t *testing.T) {
			for _, malformed := range headtest.MalformedTrailers(200, c.header(), c.body) {
				t.Run(malformed.Name, func(t *testing.T) { c.test(t, malformed.Text) })
			}
		})
	}
	for _, target := range []string{"/single/1", "/draft/1"} {
		for _, malformed := range headtest.MalformedTrailers(200, malformedCases[2].header(), streamText(1)) {
			t.Run(target+" "+malformed.Name, func(t *testing.T) {
				withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
					h.handle = func(_ string, _ int, _ receivedRequest, s net.Conn) { fmt.Fprint(s, malformed.Text) }
					w, isBroken := h.call("POST", target, "x")
					is.True(isBroken)
					is.Equal(w.Body.String(), streamText(1))
				})
			})
		}
	}
}

// TestMalformedHeadLosesARace guards against a malformed response of one of two attempts that
// goes to the caller, or that ends the other attempt.
func TestMalformedHeadLosesARace(t *testing.T) {
	for _, c := range []malformedCase{malformedCases[1], malformedCases[3]} {
		for _, malformed := range headtest.MalformedHeads(200, c.header()+notices, c.body) {
			send := func(after time.Duration) func(string, net.Conn, bool) {
				return func(_ string, s net.Conn, _ bool) {
					time.Sleep(after)
					fmt.Fprint(s, malformed.Text)
				}
			}
			for _, isFirst := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s %s, first %v", c.target, malformed.Name, isFirst), func(t *testing.T) {
					withHedges(t, func(t *testing.T, is *is.I, h *hedgeHarness) {
						h.first, h.second = answerAfter(100*time.Millisecond), send(time.Millisecond)
						if isFirst {
							h.first, h.second = send(40*time.Millisecond), answerAfter(60*time.Millisecond)
						}
						w, isBroken := h.call("POST", c.target, "x")
						is.True(!isBroken)
						is.Equal(w.Code, 200)
						sent := h.sent(is, 2)
						sound := sent[0]
						if isFirst {
							sound = sent[1]
						}
						is.Equal(w.Body.String(), wholeAnswer(sound.server, isStreamTarget(c.target)))
						h.checkNoNotice(t)
					})
				})
			}
		}
	}
}

// TestMalformedHealthAnswerShowsNoLivingServer guards against a response without a length that
// counts as complete because something answers at its server's address.
func TestMalformedHealthAnswerShowsNoLivingServer(t *testing.T) {
	for _, malformed := range headtest.MalformedHeads(200, "", cutBody) {
		t.Run(malformed.Name, func(t *testing.T) {
			withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
				h.health = func(_ string, s net.Conn) { fmt.Fprint(s, malformed.Text) }
				h.handle = func(_ string, _ int, r receivedRequest, s net.Conn) {
					fmt.Fprint(s, "HTTP/1.1 200 OK\r\nT-Id: id1\r\nT-Seal: s\r\n\r\nhalf")
				}
				w, isBroken := h.call("POST", "/write/1", "x")
				is.True(!isBroken)
				is.Equal(w.Code, http.StatusBadGateway)
				is.Equal(len(h.requests()), 1)
			})
		})
	}
}

// TestServerWithMalformedHeadsIsAvoided guards against sending requests to a server that answers
// each at once with a malformed head, and that so appears the least loaded.
func TestServerWithMalformedHeadsIsAvoided(t *testing.T) {
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		malformed := headtest.MalformedHeads(200, malformedCases[0].header(), cutBody)
		h.handle = func(server string, n int, _ receivedRequest, s net.Conn) {
			if server == "a" {
				fmt.Fprint(s, malformed[n%len(malformed)].Text)
				return
			}
			time.Sleep(20 * time.Millisecond)
			respond(s, 200, "id1", cutBody)
		}
		failed := 0
		for range 100 {
			if w, _ := h.callWith(context.Background(), "POST", "/write/1", "x"); w.Code != 200 {
				failed++
			}
		}
		is.True(failed > 0)
		is.True(failed <= 10)
	})
}

// TestReplicaWithMalformedHeadsIsAvoided is the same for the head of a replica.
func TestReplicaWithMalformedHeadsIsAvoided(t *testing.T) {
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		malformed := headtest.MalformedHeads(200, malformedCases[2].header(), cutStream)
		atFailing := 0
		h.handle = func(server string, n int, _ receivedRequest, s net.Conn) {
			if server == "e1" {
				atFailing++
				fmt.Fprint(s, malformed[n%len(malformed)].Text)
				return
			}
			fmt.Fprint(s, headtest.Sound(200, malformedCases[2].header(), cutStream))
		}
		for range 100 {
			_, _ = h.call("POST", "/single/1", "x")
			time.Sleep(100 * time.Millisecond)
		}
		is.True(atFailing > 0)
		is.True(atFailing <= 10) // one for each pause, which grow to 1.6 s
	})
}

// countingLog returns a log, and a function that returns its lines of malformed responses.
func countingLog() (*event.Log, func() []string) {
	var out bytes.Buffer
	return event.NewLog(slog.New(slog.NewJSONHandler(&out, nil))), func() []string {
		var lines []string
		for line := range strings.Lines(out.String()) {
			if strings.Contains(line, `"event":511`) {
				lines = append(lines, line)
			}
		}
		return lines
	}
}

// TestMalformedResponseIsTold guards against malformed responses that on-call cannot tell from
// ones that were cut off, and against a log that holds a part of them.
func TestMalformedResponseIsTold(t *testing.T) {
	cut := headtest.Response{Name: "cut off", Text: "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n"}
	malformed := headtest.Malformed(200, malformedCases[0].header(), cutBody)
	for _, r := range append(malformed, cut) {
		want := 1
		if r == cut {
			want = 0
		}
		t.Run(r.Name, func(t *testing.T) {
			withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
				var lines func() []string
				h.front.config.Log, lines = countingLog()
				h.handle = func(_ string, _ int, _ receivedRequest, s net.Conn) { fmt.Fprint(s, r.Text) }
				_, _ = h.call("POST", "/write/1", "x")
				is.Equal(len(lines()), want)
				is.True(!strings.Contains(strings.Join(lines(), ""), cutBody))
				var metrics strings.Builder
				is.NoErr(h.front.config.Metrics.Write(&metrics))
				is.Equal(strings.Contains(metrics.String(), "malformed_answers_total 1\n"), want == 1)
			})
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, _ := newAnsweringServer(r.Text)
				var lines func() []string
				s.config.Log, lines = countingLog()
				dispatch(t, newServiceCall(s))
				is.Equal(len(lines()), want)
				var metrics strings.Builder
				is.NoErr(s.config.Metrics.Write(&metrics))
				is.Equal(strings.Contains(metrics.String(), "malformed_answers_total 1\n"), want == 1)
				time.Sleep(time.Second)
			})
		})
	}
}
