package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/node"
)

// cutBody is the body of the responses of plain requests in these tests, and cutStream that
// of streams.
const (
	cutBody   = "the whole body"
	cutStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
)

// cutHeads are heads of responses with a length, each with the framing that they announce.
// %s stands for further header lines.
var cutHeads = []struct {
	name, head string
	isChunked  bool
}{
	{"length first", "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%sX-Other: 1\r\n\r\n", false},
	{"length last", "HTTP/1.1 200 OK\r\nX-Other: 1\r\n%[2]sContent-Length: %[1]d\r\n\r\n", false},
	{"chunks", "HTTP/1.1 200 OK\r\n%[2]sX-Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n", true},
	{"trailers", "HTTP/1.1 200 OK\r\nTrailer: X-End\r\n%[2]sTransfer-Encoding: chunked\r\n\r\n", true},
	{"after an informational one", "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\nHTTP/1.1 200 OK\r\n%[2]sContent-Length: %[1]d\r\n\r\n", false},
	{"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: %d\n%sX-Other: 1\n\n", false},
	{"no framing", "HTTP/1.1 200 OK\r\nX-Other: 1\r\n%[2]sConnection: close\r\n\r\n", false},
}

// cutHead returns the head of a response with the body and the header lines.
func cutHead(head, body, header string) string {
	if !strings.Contains(head, "%[2]s") {
		return fmt.Sprintf(head, len(body), header)
	}
	if !strings.Contains(head, "%[1]d") {
		return strings.Replace(head, "%[2]s", header, 1)
	}
	return fmt.Sprintf(head, len(body), header)
}

// resetConn ends with a reset instead of the end of the stream.
type resetConn struct{ net.Conn }

// Read implements net.Conn.
func (c resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return n, err
}

// eachCut calls test for each prefix of each head, ended by a close and by a reset.
func eachCut(t *testing.T, body, header string, test func(t *testing.T, prefix string, isReset bool)) {
	t.Helper()
	for _, c := range cutHeads {
		head := cutHead(c.head, body, header)
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", c.name, isReset), func(t *testing.T) {
				for n := range len(head) {
					test(t, head[:n], isReset)
				}
			})
		}
	}
}

// TestCutHeadIsNoResponse guards against a response whose head ends early and that is
// forwarded as complete, with an empty or short body, and against repeating a request that
// may have run. A request that may be repeated, or a stream that may be continued, gets its
// response from another server.
func TestCutHeadIsNoResponse(t *testing.T) {
	for _, c := range []struct {
		target, body string
		status       int
		attempts     int
		// isContinued is set if the head of the second attempt is cut, which continues a
		// stream whose first event the caller has.
		isContinued bool
	}{
		{"/write/1", cutBody, 502, 1, false},
		{"/read/1", cutBody, 200, 2, false},
		{"/single/1", cutStream, 502, 1, false},
		{"/draft/1", cutStream, 200, 2, false},
		{"/draft/1", cutStream, 0, 2, true},
	} {
		t.Run(fmt.Sprintf("%s, continued %v", c.target, c.isContinued), func(t *testing.T) {
			header := "T-Id: id1\r\nT-Seal: s\r\n"
			if c.body == cutStream {
				header += "Content-Type: text/event-stream\r\n"
			}
			eachCut(t, c.body, header, func(t *testing.T, prefix string, isReset bool) {
				withFrontHarness(t, func(t *testing.T, _ *is.I, h *frontHarness) {
					dial := h.front.config.Dial
					h.front.config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
						conn, err := dial(ctx, network, address)
						if err == nil && isReset {
							return resetConn{conn}, nil
						}
						return conn, err
					}
					h.handle = func(_ string, n int, _ receivedRequest, s net.Conn) {
						switch {
						case c.isContinued && n == 1:
							writeStream(s, 1, 1, "s")
						case c.isContinued || n == 1:
							fmt.Fprint(s, prefix)
						default:
							fmt.Fprintf(s, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(c.body), c.body)
						}
					}
					w, isBroken := h.call("POST", c.target, "x")
					switch {
					case c.isContinued:
						if !isBroken {
							t.Errorf("%q: the stream looks complete: %q", prefix, w.Body)
						}
					case isBroken || w.Code != c.status || (c.status == 200 && w.Body.String() != c.body):
						t.Errorf("%q: got %d, %q, broken %v", prefix, w.Code, w.Body, isBroken)
					}
					if got := len(h.requests()); got != c.attempts {
						t.Errorf("%q: %d attempts", prefix, got)
					}
				})
			})
		})
	}
}

// newCuttingServer returns a Server all of whose connections answer a request with a prefix
// of a response and end, and a function that returns how many requests came.
func newCuttingServer(prefix string, isReset bool) (s *Server, requests func() int) {
	var count atomic.Int64
	s = newDialingServer(func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			buffer := make([]byte, 4<<10)
			if _, err := server.Read(buffer); err == nil {
				count.Add(1)
				_, _ = io.WriteString(server, prefix)
			}
		}()
		if isReset {
			return resetConn{client}, nil
		}
		return client, nil
	})
	return s, func() int { return int(count.Load()) }
}

// TestCutHeadIsNoResponseToServiceCall is the same for the calls of declared services.
func TestCutHeadIsNoResponseToServiceCall(t *testing.T) {
	eachCut(t, cutBody, "", func(t *testing.T, prefix string, isReset bool) {
		synctest.Test(t, func(t *testing.T) {
			s, requests := newCuttingServer(prefix, isReset)
			p := newServiceCall(s)
			resp, _, err := p.sendAndRead(context.Background(), "s:1")
			if resp != nil || err == nil || err.stage != stageSent {
				t.Errorf("%q: got %v, %v", prefix, resp, err)
			}
			time.Sleep(time.Second)
			if requests() != 1 {
				t.Errorf("%q: %d requests", prefix, requests())
			}
		})
	})
}

// TestCutHeadIsNoCompletion is the same for the streams of declared groups.
func TestCutHeadIsNoCompletion(t *testing.T) {
	chunk := "data: " + string(newChunk("one", "a")) + "\n\n"
	eachCut(t, chunk, "Content-Type: text/event-stream\r\n", func(t *testing.T, prefix string, isReset bool) {
		synctest.Test(t, func(t *testing.T) {
			o, w := newRelay()
			o.server, _ = newCuttingServer(prefix, isReset)
			o.call = &call{id: "id1", receivedAt: time.Now()}
			o.request = &completion{stream: true, spliceable: true, path: "/v1/completions", body: []byte("{}")}
			err := o.attempt(context.Background(), node.Route{Group: "g", Address: "s:1"}, true)
			if err == nil || err.stage != stageSent || w.Body.Len() > 0 {
				t.Errorf("%q: got %v, %q", prefix, err, w.Body)
			}
		})
	})
}

// TestUnframedServiceResponseNeedsALivingServer guards against a part of a declared service's
// response without a length that is forwarded as a success because its server ends.
func TestUnframedServiceResponseNeedsALivingServer(t *testing.T) {
	for _, isAlive := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var requests []string
			s := newDialingServer(func(context.Context, string, string) (net.Conn, error) {
				if len(requests) > 1 && !isAlive {
					return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
				}
				client, server := net.Pipe()
				go func() {
					defer server.Close()
					buffer := make([]byte, 4<<10)
					n, _ := server.Read(buffer)
					line, _, _ := strings.Cut(string(buffer[:n]), "\r\n")
					requests = append(requests, line)
					switch {
					case len(requests) == 1:
						_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf and half")
					case isAlive:
						_, _ = io.WriteString(server, "HTTP/1.1 405 Not Allowed\r\nContent-Length: 0\r\n\r\n")
					}
				}()
				return client, nil
			})
			p := newServiceCall(s)
			_, body, err := p.sendAndRead(context.Background(), "s:1")
			is.Equal(err == nil, isAlive)
			is.Equal(string(body) == "half and half", isAlive)
			is.Equal(requests, []string{"POST /x HTTP/1.1", "OPTIONS * HTTP/1.1"})
			time.Sleep(time.Second)
		})
	}
}
