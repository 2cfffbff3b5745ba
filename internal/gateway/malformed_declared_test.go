package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/head/headtest"
	"eelgrassring.dev/internal/node"
)

// malformedDeclared returns malformed responses of a declared server. Those with status 503 say
// that the request did not run, and all of them that the server takes no requests.
func malformedDeclared(status int, header, body string) []headtest.Response {
	header += "Eelgrass-Request: id1\r\nEelgrass-Rate-Limit: 0\r\n"
	if status == 503 {
		header += "Eelgrass-Ran: no\r\n"
	}
	return headtest.MalformedHeads(status, header, body)
}

// eachAlone runs a test in virtual time for each response.
func eachAlone(t *testing.T, responses []headtest.Response, test func(t *testing.T, is *is.I, text string)) {
	t.Helper()
	for _, r := range responses {
		t.Run(r.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test(t, is.New(t), r.Text)
				time.Sleep(time.Second) // Connections end.
			})
		})
	}
}

// TestMalformedHeadIsNoResponseToServiceCall is TestMalformedHeadIsNoResponse for the calls of
// declared services.
func TestMalformedHeadIsNoResponseToServiceCall(t *testing.T) {
	for _, status := range []int{200, 404, 503} {
		for _, c := range []struct {
			method           string
			status, attempts int
		}{{"POST", 502, 1}, {"GET", 200, 2}} {
			t.Run(fmt.Sprint(c.method, " ", status), func(t *testing.T) {
				eachAlone(t, malformedDeclared(status, "", cutBody), func(t *testing.T, is *is.I, text string) {
					s, requests := newAnsweringServer(text, headtest.Sound(200, "", cutBody))
					p := newServiceCall(s)
					p.method = c.method
					w := dispatch(t, p)
					is.Equal(w.Code, c.status)
					is.Equal(w.Body.String() == cutBody, c.status == 200)
					is.Equal(w.Header().Get(headerRan), map[int]string{200: "", 502: "unknown"}[c.status])
					is.Equal(requests(), c.attempts)
					for name := range w.Header() {
						is.True(!strings.HasPrefix(name, "X") || name == headerShouldRetry)
					}
					is.True(s.permits.IsUnused()) // no limit was taken from it
				})
			})
		}
	}
}

// dispatch makes a call without a key and returns its response.
func dispatch(t *testing.T, p *serviceCall) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	withoutPanic(t, func() { p.dispatchWithRetries(t.Context(), w) })
	return w
}

// withoutPanic checks that do does not panic, as a ResponseWriter does for a status that is none.
func withoutPanic(t *testing.T, do func()) {
	t.Helper()
	defer func() {
		if cause := recover(); cause != nil {
			t.Errorf("panic: %v", cause)
		}
	}()
	do()
}

// newAnsweringServer returns a Server whose n-th connection gets the n-th answer, and a function
// that returns how many connections were opened. There are no connections after the last answer.
func newAnsweringServer(answers ...string) (s *Server, requests func() int) {
	count := 0
	dial := dialAnswers(answers)
	s = newDialingServer(func(ctx context.Context, network, address string) (net.Conn, error) {
		if count == len(answers) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		count++
		return dial(ctx, network, address)
	})
	return s, func() int { return count }
}

// TestMalformedHeadIsNotRecorded guards against recording a malformed response as the outcome of
// a call with a key, or recording that it has not run.
func TestMalformedHeadIsNotRecorded(t *testing.T) {
	for _, status := range []int{200, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			responses := append(malformedDeclared(status, "", cutBody), headtest.MalformedTrailers(status, "", cutBody)...)
			eachAlone(t, responses, func(t *testing.T, is *is.I, text string) {
				s, requests := newAnsweringServer(text)
				w := httptest.NewRecorder()
				result := newServiceCall(s).dispatchOnce(t.Context(), w)
				is.True(result.response == nil)
				is.True(!result.notRun)
				result.reply()
				is.Equal(w.Code, http.StatusBadGateway)
				is.Equal(w.Header().Get(headerRan), "unknown")
				is.Equal(requests(), 1)
			})
		})
	}
}

// TestMalformedHeadIsNoCompletion is the same for the responses of declared groups, streams or
// not, and for those that continue a stream.
func TestMalformedHeadIsNoCompletion(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	first := "data: " + string(newChunk("one", "a")) + "\n\n"
	rest := "data: " + string(newChunk("one", "b")) + "\n\ndata: [DONE]\n\n"
	for _, c := range []struct {
		name, header, body string
		isContinued        bool
	}{
		{"stream", stream, first + rest, false},
		{"whole", "Content-Type: application/json\r\n", "{}", false},
		{"continued stream", stream + "Eelgrass-Offset: 1\r\n", rest, true},
	} {
		for _, status := range []int{200, 400, 503} {
			t.Run(fmt.Sprint(c.name, " ", status), func(t *testing.T) {
				eachAlone(t, malformedDeclared(status, c.header, c.body), func(t *testing.T, is *is.I, text string) {
					o, w := newRelay()
					broken := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", stream, len(first), first)
					o.server, _ = newAnsweringServer(broken, text)
					if !c.isContinued {
						o.server, _ = newAnsweringServer(text)
					}
					o.call = &call{id: "id1", receivedAt: time.Now()}
					o.request = &completion{stream: true, spliceable: true, path: "/v1/completions", body: []byte("{}")}
					route, want := node.Route{Group: "g", Address: "s:1"}, ""
					if c.isContinued {
						is.True(o.attempt(t.Context(), route, false) != nil)
						want = first
					}
					err := o.attempt(t.Context(), route, c.isContinued)
					is.True(err != nil && err.stage == stageSent && !err.diverged)
					is.Equal(w.Body.String(), want)
					is.True(o.server.permits.IsUnused())
				})
			})
		}
	}
}

// TestOddHeadIsAResponseOfADeclaredServer is TestOddHeadIsAResponse for declared services.
func TestOddHeadIsAResponseOfADeclaredServer(t *testing.T) {
	for _, status := range []int{200, 404, 599, 600, 999} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			eachAlone(t, headtest.Odd(status, "T-Seal: s\r\n", cutBody), func(t *testing.T, is *is.I, text string) {
				s, requests := newAnsweringServer(text)
				w := dispatch(t, newServiceCall(s))
				is.Equal(w.Code, status)
				is.Equal(w.Body.String(), cutBody)
				is.Equal(w.Header().Get("T-Seal"), "s")
				is.Equal(requests(), 1)
			})
		})
	}
}

// TestMalformedTrailerBreaksTheServiceResponse is TestMalformedTrailerBreaksTheResponse for
// declared services.
func TestMalformedTrailerBreaksTheServiceResponse(t *testing.T) {
	eachAlone(t, headtest.MalformedTrailers(200, "", cutBody), func(t *testing.T, is *is.I, text string) {
		s, requests := newAnsweringServer(text)
		resp, _, err := newServiceCall(s).sendAndRead(t.Context(), "s:1")
		is.True(resp == nil)
		is.True(err != nil && err.stage == stageSent)
		is.Equal(requests(), 1)
	})
}

// TestMalformedOptionsShowNoLivingServer is TestMalformedHealthAnswerShowsNoLivingServer for
// declared services.
func TestMalformedOptionsShowNoLivingServer(t *testing.T) {
	eachAlone(t, headtest.MalformedHeads(200, "", cutBody), func(t *testing.T, is *is.I, text string) {
		s, _ := newAnsweringServer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf", text)
		resp, _, err := newServiceCall(s).sendAndRead(t.Context(), "s:1")
		is.True(resp == nil)
		is.True(err != nil && err.stage == stageSent)
	})
}

// TestMalformedStatusShowsNoEndedServer guards against a request that counts as one that ends
// servers, because a server answers the question whether it has ended with a malformed head.
func TestMalformedStatusShowsNoEndedServer(t *testing.T) {
	eachAlone(t, headtest.MalformedHeads(200, "", "{}"), func(t *testing.T, is *is.I, text string) {
		s, requests := newAnsweringServer(text)
		is.True(!s.hasEnded(t.Context(), node.Route{Group: "g", Address: "s:1"}))
		is.Equal(requests(), 1)
		is.True(s.hasEnded(t.Context(), node.Route{Group: "g", Address: "s:1"})) // the connection is refused
	})
}

// TestMalformedHeadIsNoCrash guards against striking a request because its server answers with a
// malformed head: only a server that has ended may have ended under it.
func TestMalformedHeadIsNoCrash(t *testing.T) {
	eachAlone(t, headtest.MalformedHeads(200, "", cutBody), func(t *testing.T, is *is.I, text string) {
		s, _ := newAnsweringServer(text)
		_, _, err := newServiceCall(s).sendAndRead(t.Context(), "s:1")
		is.True(err != nil)
		is.True(!isBrokenConnection(err))
		is.True(!errors.Is(err, context.DeadlineExceeded))
	})
}
