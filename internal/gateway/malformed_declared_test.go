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

// TestMalformedHeadIsNoResponseToServiceCall is TestMalformedHeadIsNoResponse for the calls of
// declared services.
func TestMalformedHeadIsNoResponseToServiceCall(t *testing.T) {
	for _, status := range []int{200, 404, 503} {
		for _, malformed := range malformedDeclared(status, "", cutBody) {
			for _, c := range []struct {
				method           string
				status, attempts int
			}{{"POST", 502, 1}, {"GET", 200, 2}} {
				t.Run(fmt.Sprintf("%s %d %s", c.method, status, malformed.Name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						s, requests := newAnsweringServer(malformed.Text, headtest.Sound(200, "", cutBody))
						p := newServiceCall(s)
						p.method = c.method
						w := dispatch(t, p)
						is.Equal(w.Code, c.status)
						is.Equal(w.Body.String() == cutBody, c.status == 200)
						is.Equal(w.Header().Get(headerRan), map[int]string{200: "", 502: "unknown"}[c.status])
						is.Equal(requests(), c.attempts)
						for name := range w.Header() {
							is.True(!strings.HasPrefix(name, "X-") || name == headerShouldRetry)
						}
						is.True(s.permits.IsUnused()) // no limit was taken from it
						time.Sleep(time.Second)
					})
				})
			}
		}
	}
}

// dispatch makes a call without a key and returns its response.
func dispatch(t *testing.T, p *serviceCall) (w *httptest.ResponseRecorder) {
	t.Helper()
	w = httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil { // net/http does not write a status that is none.
			t.Errorf("panic: %v", cause)
		}
	}()
	p.dispatchWithRetries(t.Context(), w)
	return w
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
		for _, malformed := range append(malformedDeclared(status, "", cutBody), headtest.MalformedTrailers(status, "", cutBody)...) {
			t.Run(fmt.Sprint(status, " ", malformed.Name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s, requests := newAnsweringServer(malformed.Text)
					w := httptest.NewRecorder()
					result := newServiceCall(s).dispatchOnce(t.Context(), w)
					is.True(result.response == nil)
					is.True(!result.notRun)
					result.reply()
					is.Equal(w.Code, http.StatusBadGateway)
					is.Equal(w.Header().Get(headerRan), "unknown")
					is.Equal(requests(), 1)
					time.Sleep(time.Second)
				})
			})
		}
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
			for _, malformed := range malformedDeclared(status, c.header, c.body) {
				t.Run(fmt.Sprint(c.name, " ", status, " ", malformed.Name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						o, w := newRelay()
						broken := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", stream, len(first), first)
						o.server, _ = newAnsweringServer(broken, malformed.Text)
						if !c.isContinued {
							o.server, _ = newAnsweringServer(malformed.Text)
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
						time.Sleep(time.Second)
					})
				})
			}
		}
	}
}

// TestOddHeadIsAResponseOfADeclaredServer is TestOddHeadIsAResponse for declared services.
func TestOddHeadIsAResponseOfADeclaredServer(t *testing.T) {
	for _, status := range []int{200, 404, 599, 600, 999} {
		for _, odd := range headtest.Odd(status, "T-Seal: s\r\n", cutBody) {
			t.Run(fmt.Sprint(status, " ", odd.Name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s, requests := newAnsweringServer(odd.Text)
					w := dispatch(t, newServiceCall(s))
					is.Equal(w.Code, status)
					is.Equal(w.Body.String(), cutBody)
					is.Equal(w.Header().Get("T-Seal"), "s")
					is.Equal(requests(), 1)
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// TestMalformedTrailerBreaksTheServiceResponse is TestMalformedTrailerBreaksTheResponse for
// declared services.
func TestMalformedTrailerBreaksTheServiceResponse(t *testing.T) {
	for _, malformed := range headtest.MalformedTrailers(200, "", cutBody) {
		t.Run(malformed.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, requests := newAnsweringServer(malformed.Text)
				resp, _, err := newServiceCall(s).sendAndRead(t.Context(), "s:1")
				if resp != nil || err == nil || err.stage != stageSent || requests() != 1 {
					t.Errorf("got %v, %v, %d requests", resp, err, requests())
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestMalformedOptionsShowNoLivingServer is TestMalformedHealthAnswerShowsNoLivingServer for
// declared services.
func TestMalformedOptionsShowNoLivingServer(t *testing.T) {
	for _, malformed := range headtest.MalformedHeads(200, "", cutBody) {
		t.Run(malformed.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, _ := newAnsweringServer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf", malformed.Text)
				resp, _, err := newServiceCall(s).sendAndRead(t.Context(), "s:1")
				is.True(resp == nil)
				is.True(err != nil && err.stage == stageSent)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestMalformedStatusShowsNoEndedServer guards against a request that counts as one that ends
// servers, because a server answers the question whether it has ended with a malformed head.
func TestMalformedStatusShowsNoEndedServer(t *testing.T) {
	for _, malformed := range headtest.MalformedHeads(200, "", "{}") {
		t.Run(malformed.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, requests := newAnsweringServer(malformed.Text)
				is.True(!s.hasEnded(t.Context(), node.Route{Group: "g", Address: "s:1"}))
				is.Equal(requests(), 1)
				is.True(s.hasEnded(t.Context(), node.Route{Group: "g", Address: "s:1"})) // the connection is refused
				time.Sleep(time.Second)
			})
		})
	}
}

// TestMalformedHeadIsNoCrash guards against striking a request because its server answers with a
// malformed head: only a server that has ended may have ended under it.
func TestMalformedHeadIsNoCrash(t *testing.T) {
	for _, malformed := range headtest.MalformedHeads(200, "", cutBody) {
		t.Run(malformed.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newAnsweringServer(malformed.Text)
				_, _, err := newServiceCall(s).sendAndRead(t.Context(), "s:1")
				if err == nil || isBrokenConnection(err) || errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("got %v", err)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
