package proof

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/standin/platform"
)

// headAddress returns the address of the head (the member that takes the
// requests) of the group that got the last request.
func headAddress(s *fake.System) string { return s.History.LastSent().To }

// A stream that breaks off must be resumed or replayed by another attempt,
// without the caller noticing.
func TestBrokenStreamIsCompleted(t *testing.T) {
	const tokens = 200
	tests := []struct {
		name        string
		injectFault func(s *fake.System)
	}{
		{"head crashes", func(s *fake.System) { s.CrashEngine(s.VMAt(headAddress(s))) }},
		{"another member crashes", func(s *fake.System) { s.CrashEngine(s.OtherMember(headAddress(s))) }},
		{"connection delivers no more data", func(s *fake.System) { s.Net.BlockResponses("n1", headAddress(s), true) }},
		{"connection breaks and the group stays up", func(s *fake.System) { s.Net.ResetConnections("n1", headAddress(s)) }},
		{"head pauses", func(s *fake.System) { s.PauseEngine(s.VMAt(headAddress(s))) }},
		{"head crashes while the store is down", func(s *fake.System) {
			for _, name := range s.NodeNames() {
				s.Node(name).Store.SetFault(platform.FaultDown)
			}
			s.CrashEngine(s.VMAt(headAddress(s)))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runSystem(t, newOptions(newDocument(2, 3, 1, 8), 2), func(is *is.I, s *fake.System) {
				time.AfterFunc(time.Second, func() { test.injectFault(s) })
				r := s.Do(fake.Chat("n1", keyA, "long", tokens))
				assertResponse(is, r, "long", tokens)
				is.True(s.History.Requests() > 1) // the response took more than one attempt
			})
		})
	}
}

// After a connection breaks, a group that stays up must continue the stream at
// the next token.
func TestResumeOnSameGroupRepeatsNoToken(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 3, 1, 4), 1), func(is *is.I, s *fake.System) {
		time.AfterFunc(time.Second, func() { s.Net.ResetConnections("n1", headAddress(s)) })
		r := s.Do(fake.Chat("n1", keyA, "long", 200))
		assertResponse(is, r, "long", 200)
		is.Equal(s.Engine(s.VMAt(headAddress(s))).Counters().Resumed, 1)
	})
}

// A replay whose text differs from what the caller already got must end the
// stream with an error.
func TestDivergedReplayIsReported(t *testing.T) {
	d := newDocument(2, 3, 1, 8)
	o := newOptions(d, 1)
	attempts := 0
	o.WrapTransport = func(inner http.RoundTripper) http.RoundTripper {
		return roundTripFunc(func(r *http.Request) (*http.Response, error) {
			if attempts++; attempts > 1 {
				r = replaceBody(r, func(b string) string { return strings.Replace(b, `"seed":7`, `"seed":8`, 1) })
				r.Header.Del(engine.HeaderOffset)
			}
			return inner.RoundTrip(r)
		})
	}
	runSystem(t, o, func(is *is.I, s *fake.System) {
		time.AfterFunc(time.Second, func() { s.CrashEngine(s.VMAt(headAddress(s))) })
		r := s.Do(fake.Chat("n1", keyA, "long", 200))
		_, complete := r.Text()
		is.True(!complete)
		is.Equal(resultCode(r), 3005)
		text, _ := r.Text()
		is.True(strings.HasPrefix(fake.ExpectedText("long", 200), text)) // the caller got only text of the first attempt
	})
}

// returnPreviousResponse returns the previous request's response for each
// request, as a connection with mixed-up responses would. With keepRequestID
// set, the response still names the request that it belongs to.
func returnPreviousResponse(inner http.RoundTripper, keepRequestID bool) http.RoundTripper {
	var last *http.Response
	return roundTripFunc(func(r *http.Request) (*http.Response, error) {
		resp, err := inner.RoundTrip(r)
		if err != nil {
			return resp, err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return nil, err
		}
		resp.Body = io.NopCloser(bytes.NewReader(body))
		returned := *resp
		if last != nil {
			returned = *last
		}
		saved := *resp
		saved.Body = io.NopCloser(bytes.NewReader(body))
		last = &saved
		if !keepRequestID {
			returned.Header = returned.Header.Clone()
			returned.Header.Set(engine.HeaderRequest, r.Header.Get(engine.HeaderRequest))
		}
		return &returned, nil
	})
}

// sendTwoRequests sends two chats with different prompts, one after the other,
// and returns their results.
func sendTwoRequests(s *fake.System) (first, second fake.Result) {
	first = s.Do(fake.Chat("n1", keyA, "one", 5))
	return first, s.Do(fake.Chat("n1", keyA, "two", 5))
}

// A response whose request ID is that of another request must not reach the
// caller.
func TestResponseToAnotherRequestIsDropped(t *testing.T) {
	o := newOptions(newDocument(1, 3, 1, 4), 1)
	o.WrapTransport = func(inner http.RoundTripper) http.RoundTripper { return returnPreviousResponse(inner, true) }
	runSystem(t, o, func(is *is.I, s *fake.System) {
		first, second := sendTwoRequests(s)
		assertResponse(is, first, "one", 5)
		text, complete := second.Text()
		if complete {
			is.Equal(text, fake.ExpectedText("two", 5))
		} else {
			is.True(resultCode(second) > 0)
		}
	})
}

// When a swapped response names the current request, the node cannot detect the
// swap; the comparison with the expected text must.
func TestCheckerDetectsSwappedResponse(t *testing.T) {
	o := newOptions(newDocument(1, 3, 1, 4), 1)
	o.WrapTransport = func(inner http.RoundTripper) http.RoundTripper { return returnPreviousResponse(inner, false) }
	runSystem(t, o, func(is *is.I, s *fake.System) {
		_, second := sendTwoRequests(s)
		text, complete := second.Text()
		is.True(complete && text != fake.ExpectedText("two", 5))
	})
}

// When the caller disconnects, the backend server must stop generating; the
// target is within 1 s.
func TestRequestOfDisconnectedCallerIsCancelled(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 3, 1, 4), 1), func(is *is.I, s *fake.System) {
		s.DoWithTimeout(fake.Chat("n1", keyA, "long", 500), time.Second)
		time.Sleep(time.Second)
		c := s.Engine(s.VMAt(headAddress(s))).Counters()
		is.Equal(c.Cancelled, 1)
		is.True(c.Tokens < 130)
		is.Equal(s.Node("n1").Node.Table().Outstanding()["g1"], 0)
	})
}

// blockedWriter fails after some bytes, as the connection of a caller that
// stopped reading does when its write deadline passes.
type blockedWriter struct {
	*httptest.ResponseRecorder
	remaining int
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	if w.remaining -= len(b); w.remaining < 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return w.ResponseRecorder.Write(b)
}

// When writing to the caller fails, the node must cancel the request at the
// backend server and start no further attempt.
func TestCallerThatStopsReadingFreesItsSlot(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 3, 1, 4), 1), func(is *is.I, s *fake.System) {
		w := &blockedWriter{ResponseRecorder: httptest.NewRecorder(), remaining: 4000}
		took := s.DoTo(context.Background(), w, fake.Chat("n1", keyA, "long", 500))
		is.True(took < time.Second) // 500 tokens would take 5 s
		time.Sleep(time.Second)
		is.Equal(s.Engine(s.VMAt(headAddress(s))).Counters().Cancelled, 1)
		is.Equal(s.Node("n1").Node.Table().Outstanding()["g1"], 0)
		is.Equal(s.History.Requests(), 1) // there is no further attempt
	})
}

// A request with an idempotency key must be completed and recorded although its
// caller stopped reading, so that a retry gets the recorded response.
func TestResponseIsRecordedForCallerThatStopsReading(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 3, 1, 4), 2), func(is *is.I, s *fake.System) {
		c := fake.Chat("n1", keyA, "long", 50)
		c.IdempotencyKey = "k"
		s.DoTo(context.Background(), &blockedWriter{ResponseRecorder: httptest.NewRecorder(), remaining: 1000}, c)
		c.Node = "n2"
		assertResponse(is, s.Do(c), "long", 50)
		is.Equal(s.History.Requests(), 1)
	})
}

// roundTripFunc implements http.RoundTripper with a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// replaceBody returns a copy of the request whose body is the result of change.
func replaceBody(r *http.Request, change func(string) string) *http.Request {
	body, _ := io.ReadAll(r.Body)
	out := r.Clone(r.Context())
	changed := change(string(body))
	out.Body = io.NopCloser(strings.NewReader(changed))
	out.ContentLength = int64(len(changed))
	return out
}

// An attempt at a group that is known to have failed is cancelled at once, not
// when its timeout (10 s here) expires.
func TestAttemptAtFailedGroupIsCancelledEarly(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 3, 1, 8), 2), func(is *is.I, s *fake.System) {
		s.PauseEngine(members(s, "g1")[0].VM)
		s.PauseEngine(members(s, "g2")[0].VM)
		r := s.Do(fake.Chat("n1", keyA, "x", 5))
		assertResponse(is, r, "x", 5)
		t.Logf("complete after %s", r.Took)
		is.True(r.Took < 4*time.Second)
	})
}

// A group with a leaving member must finish its running streams without another
// attempt.
func TestStreamsOfDrainingGroupAreNotCancelled(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 3, 1, 5), 1), func(is *is.I, s *fake.System) {
		time.AfterFunc(time.Second, func() { s.StartLeaving(members(s, "g1")[1].VM, true, true) })
		r := s.Do(fake.Chat("n1", keyA, "long", 600))
		assertResponse(is, r, "long", 600)
		is.Equal(s.History.Requests(), 1)
	})
}
