package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/engine"
)

// refusalOfOther is a refusal that a faulty server writes once more, after whole responses
// to others: by %s, the header that says that the request did not run.
const refusalOfOther = "HTTP/1.1 503 Service Unavailable\r\n%s\r\nContent-Length: 7\r\n\r\nrefused"

// surpluses returns what a faulty server may write after a response, given its refusal: whole,
// by halves, twice, and other responses.
func surpluses(refusal string) map[string][]string {
	half := len(refusal) / 2
	return map[string][]string{
		"at once": {refusal}, "by halves": {refusal[:half], "", refusal[half:]}, "half": {refusal[:half]}, "late": {"", refusal},
		"twice": {refusal, refusal}, "success": {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"}, "late success": {"", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"},
		"redirect": {"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"}, "continue": {"HTTP/1.1 100 Continue\r\n\r\n"},
	}
}

// writeSurplus writes the parts of a surplus; an empty one is a pause.
func writeSurplus(c net.Conn, parts []string) {
	for _, part := range parts {
		if part == "" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_, _ = c.Write([]byte(part))
	}
}

// TestSurplusResponseIsNoResponseToTheNextRequest guards against a refusal, or another
// response, that a server writes once more: the next request would be reported as not run
// though it runs, or get a response that is not its own.
func TestSurplusResponseIsNoResponseToTheNextRequest(t *testing.T) {
	for name, parts := range surpluses(fmt.Sprintf(refusalOfOther, engine.HeaderRan+": no")) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newDialingServer(func(context.Context, string, string) (net.Conn, error) {
					client, server := net.Pipe()
					go serveWithSurplus(server, parts)
					return client, nil
				})
				for i := range 6 {
					id := fmt.Sprint("id", i)
					p := &serviceCall{server: s, call: &call{id: id}, service: deployment.Service{Name: "s", Servers: []string{"s:1"}, Timeout: deployment.Duration(testFirstTimeout)}, method: http.MethodGet, path: "/" + id, header: http.Header{}}
					resp, body, err := p.sendAndRead(context.Background(), "s:1")
					if err != nil {
						t.Fatalf("request %d fails: %s (stage %d)", i, err, err.stage)
					}
					is.Equal(resp.StatusCode, 200)
					is.Equal(string(body), "/"+id)
					p.releaseBody()
					time.Sleep(time.Duration(i*30) * time.Millisecond)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// serveWithSurplus answers each request on a connection with its path, and writes surplus
// bytes after it.
func serveWithSurplus(c net.Conn, parts []string) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		go writeSurplus(c, parts)
	}
}

// TestSurplusResponseIsNoResponseOfADiscoveredServer is the same for discovered servers.
func TestSurplusResponseIsNoResponseOfADiscoveredServer(t *testing.T) {
	for name, parts := range surpluses(fmt.Sprintf(refusalOfOther, "T-NotRun: 1")) {
		t.Run(name, func(t *testing.T) {
			withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
				h.handle = func(_ string, _ int, r receivedRequest, c net.Conn) {
					respond(c, 200, "id1", "own "+strings.Fields(r.requestLine)[1])
					writeSurplus(c, parts)
				}
				for i := range 6 {
					target := fmt.Sprintf("/write/%d", i)
					w, _ := h.call("POST", target, "")
					is.Equal(w.Code, 200)
					is.Equal(w.Body.String(), "own "+target)
				}
				is.Equal(len(h.requests()), 6)
			})
		})
	}
}
