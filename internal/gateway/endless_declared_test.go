package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/claim"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/endless"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/retry"
)

const (
	testFirstTimeout = 2 * time.Second
	testStallTimeout = time.Second
)

// newEndlessServer returns a Server whose connections all reach s.
func newEndlessServer(s *endless.Server) *Server {
	return newDialingServer(s.Dial)
}

// newDialingServer returns a Server that opens its connections by dial.
func newDialingServer(dial Dialer) *Server {
	transport := newTransport(testFirstTimeout)
	transport.Dial = dial
	table := node.NewTable(node.TableConfig{})
	return &Server{
		config: Config{FirstTimeout: testFirstTimeout, StallTimeout: testStallTimeout, Log: event.NewLog(slog.New(slog.DiscardHandler)), Metrics: metric.New()},
		table:  table, budget: retry.NewBudget(retry.DefaultConfig()), sweeper: newSweeper(table), bodies: newBodyMemory(maxTestBody, 4*maxTestBody),
		transport: transport, permits: quota.NewClient(quota.Alone{}),
	}
}

// newServiceCall returns a call to a service of two servers.
func newServiceCall(s *Server) *serviceCall {
	return &serviceCall{
		server: s, call: &call{id: "id1", body: []byte("x")}, method: http.MethodPost, path: "/x", header: http.Header{}, releaseBody: func() {},
		service: deployment.Service{Name: "app", Servers: []string{"s:1", "s:2"}, Timeout: deployment.Duration(testFirstTimeout)},
	}
}

// withEndlessServer runs a test in virtual time for each response, sent fast and slowly.
// It checks that at most maxBytes are read, that the connections are closed and that no
// memory is kept.
func withEndlessServer(t *testing.T, responses []endless.Response, maxBytes int, test func(is *is.I, s *Server, backend *endless.Server)) {
	t.Helper()
	eachPace(t, responses, func(t *testing.T, _ *is.I, r endless.Response, slow bool) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			backend := &endless.Server{Response: r, Slow: slow}
			s := newEndlessServer(backend)
			test(is, s, backend)
			is.True(backend.IsClosedWithin(closeDelay))
			is.Equal(s.bodies.free, 4*maxTestBody)
			if backend.Sent() > maxBytes+readAhead {
				t.Errorf("%d bytes were read, the bound is %d", backend.Sent(), maxBytes)
			}
		})
	})
}

// TestEndlessResponseToServiceCall guards against holding an endless head or body in
// memory, against running a call that may not be repeated again, and against reporting
// it as not run or as answered.
func TestEndlessResponseToServiceCall(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Error"} {
		responses := append(endless.Heads(), endless.Bodies(status, "")...)
		withEndlessServer(t, responses, maxResponseHead+chunkOverhead*maxTestBody, func(is *is.I, s *Server, backend *endless.Server) {
			p := newServiceCall(s)
			begin := time.Now()
			resp, _, err := p.sendAndRead(context.Background(), "s:1")
			is.True(resp == nil && err != nil)
			is.Equal(err.stage, stageSent)
			is.True(time.Since(begin) <= testFirstTimeout)
			is.Equal(len(backend.Requests()), 1)
		})
	}
}

// TestEndlessChunkOfCompletion guards against holding a chunk without end in memory, of
// which nothing may be forwarded, and against waiting for its end.
func TestEndlessChunkOfCompletion(t *testing.T) {
	first := "data: " + string(newChunk("one", "a")) + "\n\n"
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + first
	responses := []endless.Response{
		{Name: "line of a chunk", Start: head + "data: ", Unit: "x"},
		{Name: "lines of a chunk", Start: head, Unit: "data: x\n"},
		{Name: "comment lines", Start: head, Unit: ":\n"},
		{Name: "comments", Start: head, Unit: ":\n\n"},
	}
	withEndlessServer(t, responses, maxResponseHead+maxChunkBytes, func(is *is.I, s *Server, backend *endless.Server) {
		o, w := newRelay()
		o.server, o.call = s, &call{id: "id1", receivedAt: time.Now()}
		o.request = &completion{stream: true, spliceable: true, path: "/v1/completions", body: []byte("{}")}
		begin := time.Now()
		err := o.attempt(context.Background(), node.Route{Group: "g", Address: "s:1"}, true)
		is.True(err != nil)
		is.Equal(err.stage, stageSent)
		is.Equal(w.Body.String(), first)
		is.True(time.Since(begin) <= testStallTimeout+testFirstTimeout)
		is.True(backend.Slow || time.Since(begin) < 100*time.Millisecond)
	})
}

// TestLongStreamIsNotKept guards against keeping all of a stream of complete chunks in
// memory, for a replay or for the request's claim: a stream beyond those bounds is
// forwarded, but neither continued by another attempt nor stored.
func TestLongStreamIsNotKept(t *testing.T) {
	is := is.New(t)
	o, w := newRelay()
	o.record = &bytes.Buffer{}
	text := strings.Repeat("x", 64<<10)
	chunks := maxSplicedText/len(text) + 2
	for range chunks {
		is.True(o.forwardChunk(newChunk("one", text)) == nil)
	}
	is.Equal(len(w.Body.Bytes()) > chunks*len(text), true) // all of it is forwarded
	is.True(len(o.sentText) <= maxSplicedText)
	is.True(!o.request.spliceable)
	o.started = true
	is.True(!o.mayContinue())
	is.True(o.record.Len() > claim.MaxBody && o.record.Len() <= claim.MaxBody+2*len(text))
}

// TestReadEventIsBounded guards against the same in the reader alone, and checks that an
// event of the largest size is read.
func TestReadEventIsBounded(t *testing.T) {
	is := is.New(t)
	data := strings.Repeat("x", maxChunkBytes-len("data: \n\n"))
	got, err := readEvent(newChunkReader(strings.NewReader("data: " + data + "\n\n")))
	is.NoErr(err)
	is.Equal(len(got), len(data))
	_, err = readEvent(newChunkReader(strings.NewReader("data: x" + data + "\n\n")))
	is.True(errors.Is(err, errEventTooLong))
	_, err = readEvent(newChunkReader(io.LimitReader(strings.NewReader("data: "+data), 100)))
	is.Equal(err, io.ErrUnexpectedEOF)
}
