package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/node"
)

// chunkedText returns a whole chunked body.
func chunkedText(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)
}

// foreignResponses returns what the next server may answer when a stream that has broken off
// is continued there, none of which is the rest of the stream. head starts a stream's response.
func foreignResponses(head string) map[string]string {
	const event = "id: 9\ndata: foreign\n\n"
	otherID := strings.Replace(head, "id1", "id2", 1)
	unsigned := strings.Replace(head, "T-Seal: s\r\n", "", 1)
	return map[string]string{
		"error":                      "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nboom",
		"unavailable":                "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy",
		"not found, as events":       strings.Replace(head, "200", "404", 1) + chunkedText(event),
		"redirect":                   "HTTP/1.1 302 X\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
		"page":                       "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 6\r\n\r\n<html>",
		"nothing":                    "",
		"no content":                 "HTTP/1.1 204 X\r\n\r\n",
		"empty stream":               unsigned + "0\r\n\r\n",
		"events of another":          otherID + chunkedText(event),
		"error as an event":          head + chunkedText("event: error\ndata: internal error\n\n"),
		"response head in the body":  head + chunkedText("HTTP/1.1 500 Internal Server Error\nContent-Length: 4\n\nboom"),
		"half an event":              head + chunkedText("id: 9\ndata: fore"),
		"bytes that are no response": "\x00\x01boom\r\n\r\n",
	}
}

// TestBrokenStreamGetsNoForeignBytes guards against an error or another response of the next
// server in the middle of a caller's stream, and against a stream that ends as if complete.
func TestBrokenStreamGetsNoForeignBytes(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nT-Id: id1\r\nT-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	responses := foreignResponses(head)
	responses["events without a seal"] = strings.Replace(head, "T-Seal: s\r\n", "", 1) + chunkedText("id: 9\ndata: foreign\n\n")
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
				h.handle = func(_ string, n int, _ receivedRequest, c net.Conn) {
					if n == 1 {
						writeStream(c, 1, 3, "first")
						return
					}
					fmt.Fprint(c, response)
				}
				w, broken := h.call("POST", "/draft/1", "", "T-Model", "m")
				is.Equal(w.Body.String(), streamText(3))
				is.True(broken)
			})
		})
	}
}

// TestErrorInAContinuedStreamEndsIt is the same for an error after some sound events.
func TestErrorInAContinuedStreamEndsIt(t *testing.T) {
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		h.handle = func(_ string, n int, _ receivedRequest, c net.Conn) {
			if n == 1 {
				writeStream(c, 1, 3, "first")
				return
			}
			writeStream(c, 4, 5, "second")
			writeChunk(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nboom\n\n")
			endStream(c)
		}
		w, broken := h.call("POST", "/draft/1", "", "T-Model", "m")
		is.Equal(w.Body.String(), streamText(5))
		is.True(broken)
	})
}

// dialAnswers returns a dialer whose n-th connection gets the n-th answer after its request,
// and is closed then.
func dialAnswers(answers []string) Dialer {
	n := 0
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		answer := answers[n]
		n++
		go func() {
			defer server.Close()
			r, err := http.ReadRequest(bufio.NewReader(server))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				fmt.Fprint(server, answer)
			}
		}()
		return client, nil
	}
}

// TestBrokenStreamOfADeclaredGroupGetsNoForeignBytes is the same for declared groups.
func TestBrokenStreamOfADeclaredGroupGetsNoForeignBytes(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nEelgrass-Request: id1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	responses := foreignResponses(head)
	responses["error and end"] = head + chunkedText("data: {\"error\":{\"message\":\"internal\"}}\n\ndata: [DONE]\n\n")
	confirmed := strings.Replace(head, "\r\n\r\n", "\r\nEelgrass-Offset: 1\r\n\r\n", 1)
	responses["error and end, continued"] = confirmed + chunkedText("data: {\"error\":{\"message\":\"internal\"}}\n\ndata: [DONE]\n\n")
	responses["end as not found, continued"] = strings.Replace(confirmed, "200", "404", 1) + chunkedText("data: [DONE]\n\n")
	responses["end as not found"] = strings.Replace(head, "200", "404", 1) + chunkedText("data: [DONE]\n\n")
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o, w := newRelay()
			const first = "data: {\"id\":\"c1\",\"choices\":[{\"text\":\"one \"}]}\n\n"
			answers := []string{head + fmt.Sprintf("%x\r\n%s\r\n", len(first), first), response}
			s := newDialingServer(dialAnswers(answers))
			o.server, o.call = s, &call{id: "id1", receivedAt: time.Now()}
			o.request = &completion{stream: true, spliceable: true, path: "/v1/completions", body: []byte("{}")}
			for repeat := range answers {
				err := o.attempt(t.Context(), node.Route{Group: "g", Address: "s:1"}, repeat > 0)
				is.True(err != nil)
			}
			is.Equal(w.Body.String(), first)
			s.transport.(interface{ CloseIdleConnections() }).CloseIdleConnections()
		})
	}
}

// TestUnsignedSuccessIsNoResponse guards against forwarding a success that no server has
// signed: it may be anyone's. The request may have run all the same. An unsigned failure is
// forwarded, as the network between may have made it.
func TestUnsignedSuccessIsNoResponse(t *testing.T) {
	for _, c := range []struct {
		target            string
		status            int
		isStream          bool
		want, attempts    int
		isForwardedAsItIs bool
	}{
		{"/write/1", 200, false, 502, 1, false},
		{"/write/1", 201, false, 502, 1, false},
		{"/read/1", 200, false, 200, 2, false},
		{"/single/1", 200, true, 502, 1, false},
		{"/draft/1", 200, true, 200, 2, false},
		{"/draft/1", 200, false, 200, 2, false},
		{"/write/1", 404, false, 404, 1, true},
	} {
		t.Run(fmt.Sprintf("%s %d, stream %v", c.target, c.status, c.isStream), func(t *testing.T) {
			withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
				h.handle = func(_ string, n int, _ receivedRequest, s net.Conn) {
					contentType, text, seal := "text/plain", "anyone's", ""
					if c.isStream {
						contentType, text = "text/event-stream", "id: 1\ndata: anyone's\n\n"
					}
					if n > 1 {
						text, seal = strings.Replace(text, "anyone", "the server", 1), "T-Seal: s\r\n"
					}
					fmt.Fprintf(s, "HTTP/1.1 %d X\r\nT-Id: id1\r\n%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", c.status, seal, contentType, len(text), text)
				}
				w, isBroken := h.call("POST", c.target, "x")
				is.True(!isBroken)
				is.Equal(w.Code, c.want)
				is.Equal(len(h.requests()), c.attempts)
				is.Equal(strings.Contains(w.Body.String(), "anyone"), c.isForwardedAsItIs)
			})
		})
	}
}

// TestServersOwnRefusalPromisesNothing guards against a failure of a server that its caller
// takes for the promise that the request has not run, and repeats, though the server does not
// say so: the request may not run twice.
func TestServersOwnRefusalPromisesNothing(t *testing.T) {
	for _, c := range []struct {
		target, header string
		status, want   int
	}{
		{"/write/1", "", 503, 502}, {"/write/1", "", 429, 502}, {"/write/1", "", 408, 502}, {"/single/1", "", 503, 502},
		{"/write/1", "T-NotRun: 1\r\n", 503, 503}, {"/write/1", "", 500, 500}, {"/write/1", "", 404, 404}, {"/read/1", "", 503, 503},
	} {
		t.Run(fmt.Sprintf("%s %d %q", c.target, c.status, c.header), func(t *testing.T) {
			withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
				h.handle = func(_ string, _ int, _ receivedRequest, s net.Conn) { respond(s, c.status, "id1", "no", c.header) }
				w, isBroken := h.call("POST", c.target, "x")
				is.True(!isBroken)
				is.Equal(w.Code, c.want)
				is.Equal(w.Header().Get("T-Seal") != "", c.want == c.status && c.header == "") // A seal only with the server's own status.
				is.True(len(h.requests()) == 1 || c.target == "/read/1" || c.header != "")
			})
		})
	}
}
