package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pipeListener accepts connections in memory, which work in virtual time.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// keptConn is a caller's connection that is kept open for several requests.
type keptConn struct {
	net.Conn
	in *bufio.Reader
}

// withKeptConn runs a test with a harness whose Front serves a caller's connection
// through net/http.
func withKeptConn(t *testing.T, test func(t *testing.T, is *is.I, h *frontHarness, c *keptConn)) {
	t.Helper()
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		server := &http.Server{Handler: h.front, ReadHeaderTimeout: time.Minute}
		var serving sync.WaitGroup
		serving.Go(func() { _ = server.Serve(l) })
		client, conn := net.Pipe()
		l.conns <- conn
		test(t, is, h, &keptConn{Conn: client, in: bufio.NewReader(client)})
		client.Close()
		server.Close()
		serving.Wait()
	})
}

// call sends a request and returns the response with its whole body, or an error if the
// connection ends before. header are further header lines, each with its line end.
func (c *keptConn) call(method, target, body, header string) (*http.Response, string, error) {
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if !strings.Contains(header, "T-Id: ") {
		header += "T-Id: id1\r\n"
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nT-Key: k\r\nT-Model: m\r\n%s%s\r\n%s", method, target, length, header, body); err != nil {
		return nil, "", err
	}
	return c.receive()
}

// receive returns the next response like call.
func (c *keptConn) receive() (*http.Response, string, error) {
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// TestStreamThatEndsLongAfterItsLastEventIsComplete guards against cutting the end of a
// stream whose server is silent between the last event and the end: the deadline for
// writes of the last event is over by then.
func TestStreamThatEndsLongAfterItsLastEventIsComplete(t *testing.T) {
	for _, pause := range []time.Duration{2, 4, 6} {
		withKeptConn(t, func(t *testing.T, _ *is.I, h *frontHarness, c *keptConn) {
			h.handle = func(_ string, _ int, _ receivedRequest, s net.Conn) {
				writeStream(s, 1, 4, "s")
				time.Sleep(pause * time.Second)
				endStream(s)
			}
			_, text, err := c.call("POST", "/single/1", "x", "")
			if err != nil || text != streamText(4) {
				t.Errorf("with a pause of %d s: %v, %q", pause, err, text)
			}
		})
	}
}

// TestKeptConnectionServesPlainRequestsLongAfterAStream guards against a deadline for
// the writes of a stream that is still set when the next response on its connection is
// written.
func TestKeptConnectionServesPlainRequestsLongAfterAStream(t *testing.T) {
	withKeptConn(t, func(t *testing.T, _ *is.I, h *frontHarness, c *keptConn) {
		h.handle = func(server string, _ int, _ receivedRequest, s net.Conn) {
			if server == "e1" || server == "e2" {
				writeStream(s, 1, 4, "s")
				endStream(s)
				return
			}
			time.Sleep(1500 * time.Millisecond)
			respond(s, 200, "id1", "done")
		}
		for _, target := range []string{"/single/1", "/write/1", "/draft/1", "/write/1", "/none/1"} {
			response, text, err := c.call("POST", target, "x", "")
			if err != nil || (target == "/write/1" && text != "done") || (target == "/none/1" && response.StatusCode != 404) {
				t.Errorf("%s: %v, %q", target, err, text)
			}
			time.Sleep(4 * time.Second)
		}
	})
}

// TestRequestWithoutTimeLeftIsRefused guards against closing a caller's connection
// without an answer because the request's deadline is over before its body is read: a
// deadline for reads in the past looks to net/http as if the caller had left.
func TestRequestWithoutTimeLeftIsRefused(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		for _, wait := range []string{"1ns", "1ms", "15ms", "20ms", "21ms", "30ms"} {
			for _, target := range []string{"/read/1", "/write/1", "/draft/1", "/single/1"} {
				withKeptConn(t, func(t *testing.T, _ *is.I, h *frontHarness, c *keptConn) {
					h.handle = func(_ string, _ int, _ receivedRequest, s net.Conn) { time.Sleep(50 * time.Millisecond) }
					for range 2 {
						response, _, err := c.call(method, target, "x", "T-Patience: "+wait+"\r\n")
						if err != nil || response.StatusCode < 500 {
							t.Errorf("%s %s with %s: %v", method, target, wait, err)
							return
						}
					}
				})
			}
		}
	}
}

// TestCallerThatLeftGetsNoSuccess guards against an empty response with status 200 to
// a caller that closed only its sending side, or whose connection had an error.
func TestCallerThatLeftGetsNoSuccess(t *testing.T) {
	for _, target := range []string{"/read/1", "/write/1", "/draft/1", "/single/1"} {
		withFrontHarness(t, func(t *testing.T, _ *is.I, h *frontHarness) {
			h.handle = func(_ string, _ int, _ receivedRequest, c net.Conn) { time.Sleep(time.Second) }
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			if _, broken := h.callWith(ctx, "POST", target, "x"); !broken {
				t.Errorf("%s: the response is not aborted", target)
			}
		})
	}
}

// TestDrainingNodeAsksCallersToLeave guards against callers that go on to use a
// connection that the node is about to close: the drain may begin after the request
// arrived, and the server's own Connection header does not concern the caller.
func TestDrainingNodeAsksCallersToLeave(t *testing.T) {
	for _, target := range []string{"/read/1", "/draft/1", "/none/1"} {
		for _, header := range []string{"", "Connection: keep-alive\r\n", "Connection: close\r\n"} {
			for _, isDraining := range []bool{false, true} {
				withKeptConn(t, func(t *testing.T, _ *is.I, h *frontHarness, c *keptConn) {
					if target == "/none/1" {
						h.node.setDraining(isDraining)
					}
					h.handle = func(_ string, _ int, _ receivedRequest, s net.Conn) {
						h.node.setDraining(isDraining)
						respond(s, 200, "id1", "done", header)
					}
					response, _, err := c.call("POST", target, "x", "")
					if err != nil || response.Close != isDraining {
						t.Errorf("%s with %q while draining is %v: %v, closes: %v", target, header, isDraining, err, response != nil && response.Close)
					}
				})
			}
		}
	}
}

// TestPendingRequestsAreAnsweredBeforeTheNodeEnds guards against closing connections
// without an answer when a drain's time is up: requests at a server get 502, those that
// were sent to none get 503, and a stream that has begun goes on.
func TestPendingRequestsAreAnsweredBeforeTheNodeEnds(t *testing.T) {
	for _, c := range []struct {
		target string
		status int
		// limit is called before the request.
		limit func(h *frontHarness)
	}{
		{"/write/1", 502, func(*frontHarness) {}},
		{"/read/1", 502, func(*frontHarness) {}},
		{"/single/1", 502, func(*frontHarness) {}},
		{"/draft/1", 502, func(*frontHarness) {}},
		{"/draft/1", 503, func(h *frontHarness) { h.fillReplica("ge1"); h.fillReplica("ge2") }},
		{"/single/2", 200, func(*frontHarness) {}},
		{"/write/2", 503, func(h *frontHarness) { h.front.AnswerPending() }},
		{"/draft/2", 503, func(h *frontHarness) { h.front.AnswerPending() }},
	} {
		t.Run(fmt.Sprintf("%s %d", c.target, c.status), func(t *testing.T) {
			withKeptConn(t, func(t *testing.T, _ *is.I, h *frontHarness, caller *keptConn) {
				const end = 200 * time.Millisecond
				h.handle = func(_ string, _ int, _ receivedRequest, s net.Conn) {
					if c.target == "/single/2" {
						writeStream(s, 1, 4, "s")
						time.Sleep(end)
						endStream(s)
						return
					}
					time.Sleep(time.Second)
				}
				c.limit(h)
				begin := time.Now()
				time.AfterFunc(end, h.front.AnswerPending)
				response, text, err := caller.call("POST", c.target, "x", "")
				if err != nil || response.StatusCode != c.status {
					t.Errorf("got %v, %v, %q", response, err, text)
				}
				if c.status != 200 && time.Since(begin) > end+10*time.Millisecond {
					t.Errorf("answered after %s", time.Since(begin))
				}
				if c.status == 503 && len(h.requests()) > 0 {
					t.Error("a refused request was sent")
				}
			})
		})
	}
}
