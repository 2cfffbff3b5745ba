package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/endless"
	"eelgrassring.dev/internal/head"
)

const (
	// testTimeout is the timeout of a call in these tests, and closeDelay the time after
	// a call within which its connection must be closed.
	testTimeout = 500 * time.Millisecond
	closeDelay  = 50 * time.Millisecond
	// maxRead bounds the bytes that a call reads: a head, and a body in the smallest
	// chunks of six bytes for each of its own.
	maxRead = maxResponseHeader + 6*maxResponseBody + 16<<10
)

// withEndlessServer runs a test in virtual time for each endless response with the
// status, sent fast and slowly. It checks that at most maxRead bytes are read on a
// connection and that all are closed.
func withEndlessServer(t *testing.T, status string, test func(is *is.I, c *Control, s *endless.Server)) {
	t.Helper()
	responses := append(append(endless.Heads(), endless.Bodies(status, "")...), endless.Beyond(status, "", "{}")...)
	for _, r := range responses {
		for name, slow := range map[string]bool{"fast": false, "slow": true} {
			t.Run(r.Name+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &endless.Server{Response: r, Slow: slow}
					c := NewControl(ControlConfig{Timeout: testTimeout})
					c.keepAliveClient.Transport.(*head.Transport).Dial = s.Dial
					c.freshClient.Transport.(*head.Transport).Dial = s.Dial
					test(is, c, s)
					c.keepAliveClient.CloseIdleConnections()
					is.True(s.IsClosedWithin(closeDelay))
					if bound := max(len(s.Requests()), 1) * maxRead; s.Sent() > bound {
						t.Errorf("%d bytes were read, the bound is %d", s.Sent(), bound)
					}
				})
			})
		}
	}
}

// TestEndlessStatus guards against holding an endless status response in memory, and
// against using one that has not ended.
func TestEndlessStatus(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Error"} {
		withEndlessServer(t, status, func(is *is.I, c *Control, s *endless.Server) {
			begin := time.Now()
			_, err := c.Status(context.Background(), "s:1")
			is.Equal(err == nil, s.Response.IsComplete && status == "200 OK")
			is.True(time.Since(begin) <= 2*testTimeout)
			is.True(len(s.Requests()) <= 2)
		})
	}
}

// TestEndlessResponseToEngineOrder guards against the same in the response to an order, which
// is sent once.
func TestEndlessResponseToEngineOrder(t *testing.T) {
	for _, status := range []string{"200 OK", "412 Precondition Failed", "500 Error"} {
		withEndlessServer(t, status, func(is *is.I, c *Control, s *endless.Server) {
			begin := time.Now()
			err := c.Send(context.Background(), "s:1", ring.Order{})
			is.Equal(err == nil, s.Response.IsComplete && status == "200 OK")
			is.Equal(errors.Is(err, ring.ErrFenced), s.Response.IsComplete && status == "412 Precondition Failed")
			is.True(time.Since(begin) <= testTimeout)
			is.Equal(len(s.Requests()), 1)
		})
	}
}

// TestRedirectedOrderIsNotCarriedOut guards against taking the response of another path or server
// for that of an order, which would count as carried out.
func TestRedirectedOrderIsNotCarriedOut(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/elsewhere" {
			http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
			return
		}
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	c := NewControl(ControlConfig{Timeout: 5 * time.Second})
	address := strings.TrimPrefix(server.URL, "http://")
	is.True(c.Send(t.Context(), address, ring.Order{}) != nil)
	_, err := c.Status(t.Context(), address)
	is.True(err != nil)
	c.keepAliveClient.CloseIdleConnections()
}
