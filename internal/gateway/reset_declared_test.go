package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/head"
	"eelgrassring.dev/internal/head/headtest"
	"eelgrassring.dev/internal/node"
)

// newUpload returns a call with a body of the size.
func newUpload(s *Server, method string, size int) *serviceCall {
	p := newServiceCall(s)
	p.method, p.call.body = method, make([]byte, size)
	return p
}

// makeSlow makes the first connection that a server opens slow.
func makeSlow(s *Server, slow headtest.SlowConn) {
	transport := s.transport.(*head.Transport)
	transport.Dial = slowDialer(transport.Dial, slow, isNth(1))
}

// eachResetCall runs a test in virtual time for uploads to a declared server that sends part and
// resets the connection, and whole in response to the next request.
func eachResetCall(t *testing.T, part, whole string, test func(t *testing.T, is *is.I, s *Server, size int, requests func() int)) {
	t.Helper()
	for _, size := range []int{1, 16 << 10, 1 << 20} {
		for _, delay := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					defer time.Sleep(time.Second) // The write ends.
					s, requests := newAnsweringServer(part, whole)
					makeSlow(s, headtest.SlowConn{Delay: delay, Err: headtest.ErrReset, Upload: size})
					test(t, is.New(t), s, size, requests)
				})
			})
		}
	}
}

// resetCalls are the methods of calls to declared services, with what the callers of uploads that
// are reset get.
var resetCalls = []struct {
	method           string
	status, attempts int
}{{"POST", 502, 1}, {"PUT", 200, 2}}

// checkCall checks the response to a call whose first server has sent a part of cutBody.
func checkCall(is *is.I, w *httptest.ResponseRecorder, status int) {
	is.Helper()
	is.Equal(w.Code, status)
	is.Equal(w.Body.String() == cutBody, status == 200)
	is.Equal(w.Header().Get(headerRan), map[int]string{200: "", 502: "unknown"}[status])
}

// TestResetCallGetsNoPartOfAResponse is TestResetUploadGetsNoPartOfAResponse for the calls of
// declared services.
func TestResetCallGetsNoPartOfAResponse(t *testing.T) {
	for _, c := range resetCalls {
		t.Run(c.method, func(t *testing.T) {
			eachResetCall(t, headtest.Unframed(200, "", cutBody[:9]), headtest.Sound(200, "", cutBody), func(t *testing.T, is *is.I, s *Server, size int, requests func() int) {
				checkCall(is, dispatch(t, newUpload(s, c.method, size)), c.status)
				is.Equal(requests(), c.attempts)
			})
		})
	}
}

// TestPartOfAResponseIsNotRecorded guards against recording a part of a response as the outcome of
// a call with a key.
func TestPartOfAResponseIsNotRecorded(t *testing.T) {
	eachResetCall(t, headtest.Unframed(200, "", cutBody[:9]), headtest.Sound(200, "", cutBody), func(t *testing.T, is *is.I, s *Server, size int, requests func() int) {
		w := httptest.NewRecorder()
		result := newUpload(s, http.MethodPost, size).dispatchOnce(t.Context(), w)
		is.True(result.response == nil)
		is.True(!result.notRun)
		result.reply()
		checkCall(is, w, http.StatusBadGateway)
		is.Equal(requests(), 1)
	})
}

// TestPartOfAResponseIsNoCompletion is the same for the responses of declared groups.
func TestPartOfAResponseIsNoCompletion(t *testing.T) {
	for _, header := range []string{"Content-Type: application/json\r\n", "Content-Type: text/event-stream\r\n"} {
		t.Run(header, func(t *testing.T) {
			eachResetCall(t, headtest.Unframed(200, header, "{}"), headtest.Sound(200, header, "{}"), func(t *testing.T, is *is.I, s *Server, size int, _ func() int) {
				o, w := newRelay()
				o.server, o.call = s, &call{id: "id1", receivedAt: time.Now()}
				o.request = &completion{path: "/v1/completions", body: make([]byte, size)}
				err := o.attempt(t.Context(), node.Route{Group: "g", Address: "s:1"}, false)
				is.True(err != nil && err.stage == stageSent)
				is.Equal(w.Body.Len(), 0)
			})
		})
	}
}

// TestSlowCallGetsItsResponse is TestSlowUploadGetsItsResponse for declared services.
func TestSlowCallGetsItsResponse(t *testing.T) {
	for _, size := range []int{1, 1 << 20} {
		synctest.Test(t, func(t *testing.T) {
			defer time.Sleep(time.Second)
			is := is.New(t)
			s, requests := newAnsweringServer(headtest.Unframed(200, "", cutBody), headtest.Sound(200, "", ""))
			makeSlow(s, headtest.SlowConn{Delay: 10 * time.Millisecond})
			checkCall(is, dispatch(t, newUpload(s, http.MethodPost, size)), http.StatusOK)
			is.Equal(requests(), 2) // the second one checks that the server lives
		})
	}
}

// TestResetCallOverTCP is TestResetUploadOverTCP for the calls of declared services.
func TestResetCallOverTCP(t *testing.T) {
	for _, c := range resetCalls {
		t.Run(c.method, func(t *testing.T) {
			eachReset(t, func(t *testing.T, upload string, server *headtest.EarlyServer) {
				server.Part, server.Whole = headtest.Unframed(200, "", cutBody[:9]), headtest.Sound(200, "", cutBody)
				withDeclaredEarlyServer(t, server, func(s *Server) {
					is := is.New(t)
					checkCall(is, dispatch(t, newUpload(s, c.method, len(upload))), c.status)
					is.Equal(server.Uploads(), c.attempts)
				})
			})
		})
	}
}

// TestEarlyEndOfACallOverTCP is TestEarlyEndOverTCP for the calls of declared services.
func TestEarlyEndOfACallOverTCP(t *testing.T) {
	for _, size := range []int{100, 1 << 20, 4 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			server := &headtest.EarlyServer{Whole: headtest.Unframed(200, "", cutBody), EndsEarly: true}
			withDeclaredEarlyServer(t, server, func(s *Server) {
				is := is.New(t)
				checkCall(is, dispatch(t, newUpload(s, http.MethodPost, size)), http.StatusOK)
				is.Equal(server.Uploads(), 1)
			})
		})
	}
}

// withDeclaredEarlyServer runs a test with a Server whose backend servers are all an EarlyServer
// over TCP.
func withDeclaredEarlyServer(t *testing.T, server *headtest.EarlyServer, test func(s *Server)) {
	t.Helper()
	l := listenEarly(t, server)
	defer l.Close()
	test(newDialingServer(func(ctx context.Context, network, _ string) (net.Conn, error) {
		return newDialer().DialContext(ctx, network, l.Addr().String())
	}))
}
