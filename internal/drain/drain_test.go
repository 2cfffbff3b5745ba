package drain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// harness is a server with one connection from a caller.
type harness struct {
	server *Server
	// pipes takes the connections in memory, which work in virtual time; address is set
	// instead if they are TCP.
	pipes   *pipeListener
	address string
	// served counts the requests that reached the handler; hold makes the handler wait.
	served atomic.Int64
	hold   chan struct{}
}

// pipeListener accepts the connections that are sent to it.
type pipeListener struct {
	conns  chan net.Conn
	closed sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error {
	l.closed.Do(func() { close(l.conns) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// newHarness starts a server whose handler waits for hold, if that is not nil, and then
// answers with the request's body. The server listens on l, or on pipes if l is nil.
func newHarness(t *testing.T, hold chan struct{}, l net.Listener) *harness {
	t.Helper()
	h := &harness{hold: hold, pipes: &pipeListener{conns: make(chan net.Conn)}}
	h.server = NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.served.Add(1)
		body, _ := io.ReadAll(r.Body)
		if h.hold != nil {
			<-h.hold
		}
		_, _ = w.Write(body)
	})})
	if l == nil {
		l = h.pipes
	} else {
		h.address = l.Addr().String()
	}
	go func() { _ = h.server.Serve(l) }()
	return h
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// startDrain starts a drain and returns a channel that gets its result.
func (h *harness) startDrain() chan error {
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		result <- h.server.Drain(ctx)
	}()
	return result
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	in *bufio.Reader
}

// dial opens a connection, and waits until the server has accepted it.
func (h *harness) dial(t *testing.T) *caller {
	t.Helper()
	before := len(h.server.openConns())
	var c net.Conn
	if h.address == "" {
		var conn net.Conn
		c, conn = net.Pipe()
		h.pipes.conns <- conn
	} else {
		var err error
		if c, err = net.Dial("tcp", h.address); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { c.Close() })
	for len(h.server.openConns()) == before {
		time.Sleep(time.Millisecond)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{Conn: c, in: bufio.NewReader(c)}
}

// request returns an encoded request with the body.
func request(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// send writes text to the server.
func (c *caller) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// receive returns the body of the next response.
func (c *caller) receive(t *testing.T) string {
	t.Helper()
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatalf("no response: %s", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("incomplete response: %s", err)
	}
	return string(body)
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

// waitUntilBusy waits until the server has read from all its connections.
func (h *harness) waitUntilBusy(t *testing.T) {
	t.Helper()
	waitFor(t, "the read", func() bool {
		for _, c := range h.server.openConns() {
			c.mu.Lock()
			isBusy := c.isBusy
			c.mu.Unlock()
			if !isBusy {
				return false
			}
		}
		return true
	})
}

// TestRequestThatArrivesAsTheDrainBeginsIsAnswered guards against closing a connection
// without an answer though the server reads a request from it: the drain begins when
// part of the request was read, or right after the connection was opened.
func TestRequestThatArrivesAsTheDrainBeginsIsAnswered(t *testing.T) {
	whole := request("hello")
	for _, isKept := range []bool{false, true} {
		for _, begun := range []int{0, 1, 10, len(whole) - 1} {
			if isKept && begun == 0 {
				continue // An idle connection may be closed.
			}
			inBubble(t, fmt.Sprintf("kept %v, %d bytes read", isKept, begun), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, nil, nil)
				c := h.dial(t)
				if isKept {
					c.send(t, request("before"))
					is.Equal(c.receive(t), "before")
					waitFor(t, "the end of the first request", func() bool { return !h.server.openConns()[0].busy() })
				}
				c.send(t, whole[:begun])
				if begun > 0 {
					h.waitUntilBusy(t)
				}
				drained := h.startDrain()
				waitFor(t, "the end of the listener", h.hasStopped)
				time.Sleep(2 * closeInterval)
				c.send(t, whole[begun:])
				is.Equal(c.receive(t), "hello")
				is.NoErr(<-drained)
			})
		}
	}
}

// hasStopped reports whether the server takes no more connections.
func (h *harness) hasStopped() bool {
	select {
	case <-h.server.stopped:
		return true
	default:
		return false
	}
}

// busy returns isBusy.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isBusy
}

// TestDrainWaitsForResponses checks that a drain closes idle connections at once and
// waits for the responses that are under way.
func TestDrainWaitsForResponses(t *testing.T) { inBubble(t, "", testDrainWaits) }

func testDrainWaits(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, make(chan struct{}), nil)
	c := h.dial(t)
	c.send(t, request("hello"))
	waitFor(t, "the request", func() bool { return h.served.Load() == 1 })
	idle := h.dial(t)
	drained := h.startDrain()
	_, err := idle.in.ReadByte()
	is.True(err != nil) // a new connection without a request, after firstRequestGrace
	is.Equal(len(drained), 0)
	close(h.hold)
	is.Equal(c.receive(t), "hello")
	is.NoErr(<-drained)
}

// TestDrainEndsWithItsContext checks that a response that never comes does not hold up
// the drain beyond its context.
func TestDrainEndsWithItsContext(t *testing.T) { inBubble(t, "", testDrainEnds) }

func testDrainEnds(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, make(chan struct{}), nil)
	defer close(h.hold)
	c := h.dial(t)
	c.send(t, request("hello"))
	waitFor(t, "the request", func() bool { return h.served.Load() == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(h.server.Drain(ctx), context.Canceled)
}

// TestNoRequestIsServedOnAClosedConnection guards against running requests whose
// responses reach nobody: callers send on kept connections just when the drain closes
// them. Each request that reached the handler must be answered.
func TestNoRequestIsServedOnAClosedConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	h := newHarness(t, nil, l)
	var callers sync.WaitGroup
	var answered atomic.Int64
	for range 40 {
		c := h.dial(t)
		callers.Go(func() {
			for {
				if _, err := io.WriteString(c, request("hello")); err != nil {
					return
				}
				response, err := http.ReadResponse(c.in, nil)
				if err != nil {
					return
				}
				var body strings.Builder
				if _, err := io.Copy(&body, response.Body); err != nil || body.String() != "hello" {
					return
				}
				answered.Add(1)
			}
		})
	}
	waitFor(t, "the requests", func() bool { return h.served.Load() > 400 })
	is.NoErr(<-h.startDrain())
	callers.Wait()
	is.Equal(h.served.Load(), answered.Load())
}

// TestRequestAfterAResponseIsAnswered guards against closing a connection while its caller
// sends the next request, which it does as soon as it has read a response that began before
// the drain: it could not tell whether the request was read. That response is the last one.
func TestRequestAfterAResponseIsAnswered(t *testing.T) {
	for _, pause := range []time.Duration{0, closeInterval + time.Millisecond, 150 * time.Millisecond} {
		inBubble(t, pause.String(), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, make(chan struct{}), nil)
			c := h.dial(t)
			c.send(t, request("first"))
			waitFor(t, "the request", func() bool { return h.served.Load() == 1 })
			drained := h.startDrain()
			time.Sleep(time.Second)
			close(h.hold)
			is.Equal(c.receive(t), "first")
			time.Sleep(pause)
			c.send(t, request("second"))
			response, err := http.ReadResponse(c.in, nil)
			is.NoErr(err)
			is.True(response.Close)
			is.NoErr(<-drained)
		})
	}
}

// TestDrainServesArrivedRequests guards against cutting off requests on connections that
// a caller keeps: they have arrived, but the server has not read them when the drain closes
// the connections, which have been idle for a while.
func TestDrainServesArrivedRequests(t *testing.T) {
	t.Parallel()
	const rounds, callers = 10, 100
	is := is.New(t)
	for range rounds {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		h := newHarness(t, nil, l)
		conns := make([]*caller, callers)
		for i := range conns {
			conns[i] = h.dial(t)
			conns[i].send(t, request("before"))
			is.Equal(conns[i].receive(t), "before")
		}
		time.Sleep(nextRequestGrace + 10*time.Millisecond)
		for _, c := range conns {
			c.send(t, request("hello"))
		}
		drained := h.startDrain()
		for _, c := range conns {
			is.Equal(c.receive(t), "hello")
			c.Close()
		}
		is.NoErr(<-drained)
	}
}

// TestDrainClosesIdleConnections guards against a drain that waits for a connection without
// a request, or for one whose caller is idle.
func TestDrainClosesIdleConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	h := newHarness(t, nil, l)
	h.dial(t)
	c := h.dial(t)
	c.send(t, request("hello"))
	is.Equal(c.receive(t), "hello")
	is.NoErr(<-h.startDrain())
}

// TestDrainThatHasAnsweredAllSucceeds guards against an error of a drain whose context ends
// while it only waits for the next request of a caller that has its response.
func TestDrainThatHasAnsweredAllSucceeds(t *testing.T) {
	inBubble(t, "", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, make(chan struct{}), nil)
		c := h.dial(t)
		c.send(t, request("hello"))
		waitFor(t, "the request", func() bool { return h.served.Load() == 1 })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.AfterFunc(time.Second-nextRequestGrace/2, func() { close(h.hold) })
		drained := make(chan error, 1)
		go func() { drained <- h.server.Drain(ctx) }()
		is.Equal(c.receive(t), "hello")
		is.NoErr(<-drained)
		c.Close()
	})
}
