package gateway

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/endless"
)

const (
	// closeDelay is the time after a request within which its connection must be closed.
	closeDelay = 50 * time.Millisecond
	// readAhead is the number of bytes that may be read beyond a bound, because readers
	// read ahead.
	readAhead = 16 << 10
	// maxTestBody bounds a response body in these tests; chunkOverhead is the number of
	// bytes on the wire for each byte of a body in the smallest chunks.
	maxTestBody   = 64 << 10
	chunkOverhead = 6
)

// endlessCall is the outcome of a request whose first server sends bytes without end.
type endlessCall struct {
	status   int
	body     string
	broken   bool
	requests int
	took     time.Duration
}

// callEndless makes a request to a Front. The first server that it reaches sends the
// response, further ones respond as next does. It checks that the connections are
// closed, that at most maxBytes are read from the first server and that another request
// is served meanwhile.
func callEndless(t *testing.T, response endless.Response, slow bool, target string, maxBytes int, next func(c net.Conn)) (out endlessCall) {
	t.Helper()
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		h.front.bodies = newBodyMemory(maxTestBody, 4*maxTestBody)
		s := &endless.Server{Response: response, Slow: slow}
		h.handle = func(_ string, n int, r receivedRequest, c net.Conn) {
			switch {
			case strings.Contains(r.requestLine, "/read/other"):
				respond(c, 200, "id1", "other")
			case n == 1:
				s.Send(c)
			default:
				next(c)
			}
		}
		done := make(chan time.Duration)
		begin := time.Now()
		go func() {
			w, broken := h.call("POST", target, "x")
			out = endlessCall{status: w.Code, body: w.Body.String(), broken: broken, took: time.Since(begin)}
			done <- out.took
		}()
		time.Sleep(time.Millisecond)
		other, _ := h.call("POST", "/read/other", "y")
		is.Equal(other.Body.String(), "other") // nothing else is held up
		is.True(time.Since(begin) < 10*time.Millisecond)
		<-done
		end := time.Now()
		h.conns.Wait()
		is.True(time.Since(end) <= closeDelay)
		if s.Sent() > maxBytes+readAhead {
			t.Errorf("%d bytes were read, the bound is %d", s.Sent(), maxBytes)
		}
		for _, r := range h.requests() {
			if !strings.Contains(r.requestLine, "/read/other") {
				out.requests++
			}
		}
		for _, server := range h.front.servers.servers {
			is.Equal(server.inFlight, 0) // no slot is kept
		}
		is.Equal(h.front.bodies.free, 4*maxTestBody) // no memory is kept
	})
	return out
}

// eachPace runs a test for each response, sent fast and slowly.
func eachPace(t *testing.T, responses []endless.Response, test func(t *testing.T, is *is.I, r endless.Response, slow bool)) {
	t.Helper()
	for _, r := range responses {
		t.Run(r.Name+" fast", func(t *testing.T) { test(t, is.New(t), r, false) })
		t.Run(r.Name+" slow", func(t *testing.T) { test(t, is.New(t), r, true) })
	}
}

// wholeResponses returns endless responses that are not streams.
func wholeResponses(status string) []endless.Response {
	return append(endless.Heads(), endless.Bodies(status, "T-Id: id1\r\nT-Seal: s\r\n")...)
}

// TestEndlessResponseToNonIdempotentRequest guards against holding an endless head or
// body in memory until the request's deadline, against running the request again, and
// against reporting it as not run or as answered.
func TestEndlessResponseToNonIdempotentRequest(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Error"} {
		eachPace(t, wholeResponses(status), func(t *testing.T, is *is.I, r endless.Response, slow bool) {
			got := callEndless(t, r, slow, "/write/x", maxResponseHead+chunkOverhead*maxTestBody, nil)
			is.True(got.status == 502 || got.status == 504)
			is.Equal(got.requests, 1)
			is.True(got.took <= 2*time.Second)
			is.True(slow || got.took < 100*time.Millisecond)
			is.True(!strings.Contains(got.body, "xxx"))
		})
	}
}

// TestEndlessResponseToIdempotentRequest guards against the same, and against waiting
// for the end of a response while another server could respond.
func TestEndlessResponseToIdempotentRequest(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Error"} {
		eachPace(t, wholeResponses(status), func(t *testing.T, is *is.I, r endless.Response, slow bool) {
			got := callEndless(t, r, slow, "/read/x", maxResponseHead+chunkOverhead*maxTestBody, func(c net.Conn) { respond(c, 200, "id1", "done") })
			is.Equal(got.status, 200)
			is.Equal(got.body, "done")
			is.Equal(got.requests, 2)
			is.True(got.took <= 300*time.Millisecond)
		})
	}
}

// TestEndlessBodyOfRefusal guards against waiting for the end of a refusal's body, which
// is not used: the request was not run, and another server gets it at once.
func TestEndlessBodyOfRefusal(t *testing.T) {
	responses := endless.Bodies("503 Full", "T-Id: id1\r\nT-NotRun: 1\r\n")
	for _, target := range []string{"/read/x", "/write/x"} {
		eachPace(t, responses, func(t *testing.T, is *is.I, r endless.Response, slow bool) {
			got := callEndless(t, r, slow, target, maxResponseHead, func(c net.Conn) { respond(c, 200, "id1", "done") })
			is.Equal(got.status, 200)
			is.Equal(got.requests, 2)
			is.True(got.took < 100*time.Millisecond)
		})
	}
	for _, target := range []string{"/draft/1", "/single/1"} {
		eachPace(t, responses, func(t *testing.T, is *is.I, r endless.Response, slow bool) {
			got := callEndless(t, r, slow, target, maxResponseHead, func(c net.Conn) { writeStream(c, 1, 2, "s"); endStream(c) })
			is.Equal(got.body, streamText(2))
			is.True(got.took < 300*time.Millisecond)
		})
	}
}

// TestBytesBeyondAResponseAreDropped guards against forwarding bytes that follow a
// complete response, and against reading on for their end.
func TestBytesBeyondAResponseAreDropped(t *testing.T) {
	for _, target := range []string{"/read/x", "/write/x", "/single/1"} {
		eachPace(t, endless.Beyond("200 OK", "T-Id: id1\r\nT-Seal: s\r\n", "done"), func(t *testing.T, is *is.I, r endless.Response, slow bool) {
			got := callEndless(t, r, slow, target, maxResponseHead, nil)
			is.Equal(got.status, 200)
			is.Equal(got.body, "done")
			is.Equal(got.requests, 1)
			is.True(got.took < 100*time.Millisecond)
		})
	}
}

// streamHead is the head of a stream without a length.
const streamHead = "HTTP/1.1 200 OK\r\nT-Id: id1\r\nT-Seal: s\r\nT-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"

// endlessEvents returns streams that end in an endless event after the first two.
func endlessEvents() []endless.Response {
	start := streamHead + streamText(2)
	return []endless.Response{
		{Name: "line of an event", Start: start + "id: 3\ndata: ", Unit: "x"},
		{Name: "lines of an event", Start: start + "id: 3\n", Unit: "data: x\n"},
		{Name: "comment lines", Start: start, Unit: ":\n"},
		{Name: "comment line", Start: start, Unit: ":"},
		{Name: "IDs", Start: start, Unit: "id: 3\n"},
		{Name: "comments", Start: start, Unit: ":\n\n"},
		{Name: "empty lines", Start: start, Unit: "\n"},
	}
}

// TestEndlessEventOfResumableStream guards against holding an event without end in
// memory, against forwarding any of it, and against waiting for its end while the stream
// could be resumed.
func TestEndlessEventOfResumableStream(t *testing.T) {
	next := func(c net.Conn) { writeStream(c, 3, 4, "t"); endStream(c) }
	eachPace(t, endlessEvents(), func(t *testing.T, is *is.I, r endless.Response, slow bool) {
		got := callEndless(t, r, slow, "/draft/1", maxResponseHead+maxEventBytes, next)
		is.True(!got.broken)
		is.Equal(got.body, streamText(4))
		is.Equal(got.requests, 2)
		is.True(got.took < 2*time.Second)
	})
}

// TestEndlessEventOfSingleStream guards against the same in a stream that cannot be
// resumed: it is broken off, and neither run again nor reported as complete.
func TestEndlessEventOfSingleStream(t *testing.T) {
	eachPace(t, endlessEvents(), func(t *testing.T, is *is.I, r endless.Response, slow bool) {
		got := callEndless(t, r, slow, "/single/1", maxResponseHead+maxEventBytes, nil)
		is.True(got.broken)
		is.Equal(got.body, streamText(2))
		is.Equal(got.requests, 1)
		is.True(got.took <= 8*time.Second)
		is.True(slow || got.took < 100*time.Millisecond)
	})
}

// TestCommentsBelongToTheNextEvent guards against taking comments and empty lines for
// progress, against losing them, and against reporting a stream as complete that ends
// within a line after them.
func TestCommentsBelongToTheNextEvent(t *testing.T) {
	long := strings.Repeat("x", 2048) // as long as the reader's buffer
	for _, test := range []struct {
		text   string
		events []string
		end    error
	}{
		{":\n\n\nid: 1\n\n", []string{":\n\n\nid: 1\n\n"}, errStreamEnd},
		{"id: 1\n\n:\r\n\r\n", []string{"id: 1\n\n", ":\r\n\r\n"}, errStreamEnd},
		{"id: 1\n\n\n", []string{"id: 1\n\n", "\n"}, errStreamEnd},
		{"id: 1\n\n:", []string{"id: 1\n\n"}, io.ErrUnexpectedEOF},
		{"id: 1\n\n:\n", []string{"id: 1\n\n"}, io.ErrUnexpectedEOF},
		{"id: 1\n\n:\n\nid", []string{"id: 1\n\n"}, io.ErrUnexpectedEOF},
		{"id: 1\n\n:\n\n" + long, []string{"id: 1\n\n"}, io.ErrUnexpectedEOF},
		{":" + long + "\n\nid: 1\n\n", []string{":" + long + "\n\nid: 1\n\n"}, errStreamEnd},
	} {
		is := is.New(t)
		r := newEventReader(strings.NewReader(test.text))
		var events []string
		e, err := r.next()
		for ; err == nil; e, err = r.next() {
			events = append(events, string(e.raw))
		}
		is.Equal(err, test.end)
		is.Equal(events, test.events)
	}
}

// TestEndlessResponseOfReplica guards against the same in a head before the first event
// and in a server error: a request that may be repeated goes to the other replica at once,
// and one that may not runs once and its outcome is unknown.
func TestEndlessResponseOfReplica(t *testing.T) {
	next := func(c net.Conn) { writeStream(c, 1, 2, "s"); endStream(c) }
	eachPace(t, wholeResponses("500 Error"), func(t *testing.T, is *is.I, r endless.Response, slow bool) {
		got := callEndless(t, r, slow, "/draft/1", maxResponseHead+chunkOverhead*maxTestBody, next)
		is.Equal(got.body, streamText(2))
		is.Equal(got.requests, 2)
		is.True(got.took < 2*time.Second)
		got = callEndless(t, r, slow, "/single/1", maxResponseHead+chunkOverhead*maxTestBody, nil)
		is.True(got.status == 502 || got.status == 504)
		is.Equal(got.requests, 1)
		is.True(got.took <= 8*time.Second)
	})
}

// TestLargeBodiesShareTheirMemory guards against ending the node by its memory limit with
// several responses that are each within the bound of one: those that have no memory
// fail, and small ones are read all the same.
func TestLargeBodiesShareTheirMemory(t *testing.T) {
	is := is.New(t)
	m := newBodyMemory(1<<20, 3<<20)
	large := func() (func(), error) {
		body, done, err := m.read(strings.NewReader(strings.Repeat("x", 1<<20)))
		is.True(err != nil || len(body) == 1<<20)
		return done, err
	}
	var held []func()
	for range 2 {
		done, err := large()
		is.NoErr(err)
		held = append(held, done)
	}
	failed, err := large()
	is.True(errors.Is(err, errBodyMemory))
	failed()
	body, done, err := m.read(strings.NewReader(strings.Repeat("x", smallBody)))
	is.NoErr(err)
	is.Equal(len(body), smallBody)
	done()
	for _, release := range held {
		release()
	}
	is.Equal(m.free, 3<<20)
	_, done, err = m.read(strings.NewReader(strings.Repeat("x", 1<<20+1)))
	is.True(err != nil) // longer than a body may be
	done()
	is.Equal(m.free, 3<<20)
	_, _, err = m.read(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	is.True(errors.Is(err, io.ErrUnexpectedEOF)) // a body that was cut off is never returned
}
