package proof

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/standin/platform"
)

// findFalseRefusals sends one sign-off through n1 under each fault and returns
// the samples that were run although the result says "not run". A fault's name
// is also its sample; "cut" blocks the link to the service and "deaf" blocks
// only its responses.
func findFalseRefusals(s *fake.System) []string {
	var out []string
	faults := []struct {
		name   string
		inject func()
		remove func()
	}{
		{"none", func() {}, func() {}},
		{"cut", func() { s.Net.BlockLink("n1", recordsAddress, true) }, func() { s.Net.BlockLink("n1", recordsAddress, false) }},
		{"deaf", func() { s.Net.BlockResponses("n1", recordsAddress, true) }, func() { s.Net.BlockResponses("n1", recordsAddress, false) }},
		{"deaf later", func() {
			time.AfterFunc(100*time.Millisecond, func() { s.Net.BlockResponses("n1", recordsAddress, true) })
		}, func() { s.Net.BlockResponses("n1", recordsAddress, false) }},
		{"reset", func() {
			time.AfterFunc(100*time.Millisecond, func() { s.Net.ResetConnections("n1", recordsAddress) })
		}, func() {}},
		{"store down", func() { s.Node("n1").Store.SetFault(platform.FaultDown) }, func() { s.Node("n1").Store.SetFault(platform.FaultNone) }},
		{"store ambiguous", func() { s.Node("n1").Store.SetFault(platform.FaultResponseLost) }, func() { s.Node("n1").Store.SetFault(platform.FaultNone) }},
		{"store silent", func() { s.Node("n1").Store.SetFault(platform.FaultSilent) }, func() { s.Node("n1").Store.SetFault(platform.FaultNone) }},
	}
	for _, fault := range faults {
		fault.inject()
		c := fake.SignOff("n1", keyA, fault.name)
		c.IdempotencyKey = "k" + fault.name
		c.Body = `{"sample":"` + fault.name + `","hold":300}`
		r := s.Do(c)
		fault.remove()
		time.Sleep(time.Second)
		if f, failed := r.Failure(); failed && f.Ran == "no" && runCount(s, fault.name) > 0 {
			out = append(out, fault.name)
		}
	}
	return out
}

// A node may say that a request was not run only if it cannot have reached the
// service.
func TestRefusedRequestDidNotRun(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 2, 1, 3), 2), func(is *is.I, s *fake.System) {
		is.Equal(findFalseRefusals(s), nil)
	})
}

// A node tells from the transport error whether a request can have been sent.
// When the transport reports every error as a failed dial, the checker must
// find a false refusal.
func TestCheckerDetectsFalseRefusal(t *testing.T) {
	o := newOptions(newDocument(1, 2, 1, 3), 2)
	o.WrapTransport = func(inner http.RoundTripper) http.RoundTripper {
		return roundTripFunc(func(r *http.Request) (*http.Response, error) {
			resp, err := inner.RoundTrip(r)
			if err != nil {
				return nil, &net.OpError{Op: "dial", Err: errors.New("hidden: " + err.Error())}
			}
			return resp, nil
		})
	}
	runSystem(t, o, func(is *is.I, s *fake.System) {
		is.True(len(findFalseRefusals(s)) > 0)
	})
}

// Invalid requests must get their result code and must not reach a backend
// server.
func TestInvalidInputIsRefusedWithoutRunning(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 2, 1, 3), 1), func(is *is.I, s *fake.System) {
		good := fake.Chat("n1", keyA, "x", 5)
		tests := []struct {
			name   string
			change func(c *fake.Call)
			code   int
		}{
			{"unknown key", func(c *fake.Call) { c.APIKey = "none" }, 1001},
			{"unreadable body", func(c *fake.Call) { c.Body = `{"model":` }, 1002},
			{"body is not an object", func(c *fake.Call) { c.Body = `[1]` }, 1002},
			{"wrong type", func(c *fake.Call) { c.Body = `{"model":7}` }, 1002},
			{"body over the limit", func(c *fake.Call) { c.Body = string(make([]byte, 1<<20+1)) }, 1003},
			{"unknown model", func(c *fake.Call) { c.Body = `{"model":"none"}` }, 1004},
			{"unknown version", func(c *fake.Call) { c.Body = `{"model":"m@9"}` }, 1004},
			{"unknown adapter", func(c *fake.Call) { c.Body = `{"model":"m:none"}` }, 1004},
			{"unknown service", func(c *fake.Call) { c.Path = "/services/none/x" }, 1006},
			{"unknown path", func(c *fake.Call) { c.Path = "/v2/x" }, 1010},
			{"invalid max wait", func(c *fake.Call) { c.Header = map[string]string{"Eelgrass-Patience": "soon"} }, 1009},
			{"version that no group serves", func(c *fake.Call) { c.Body = `{"model":"m@2"}` }, 2004},
		}
		for _, test := range tests {
			c := good
			test.change(&c)
			r := s.Do(c)
			is.Equal(test.name+": "+itoa(resultCode(r)), test.name+": "+itoa(test.code))
			f, _ := r.Failure()
			is.Equal(f.Ran, "no")
		}
		is.Equal(s.History.Requests(), 0)
	})
}

// An error response of a backend server that does not state that the request
// was not run must not reach the caller as "not run".
func TestBackendServerErrorIsNotReportedAsNotRun(t *testing.T) {
	o := newOptions(newDocument(1, 2, 1, 3), 1)
	o.WrapTransport = func(inner http.RoundTripper) http.RoundTripper {
		return roundTripFunc(func(r *http.Request) (*http.Response, error) {
			resp, err := inner.RoundTrip(r)
			if err == nil {
				resp.StatusCode = http.StatusTooManyRequests // the request has already run
			}
			return resp, err
		})
	}
	runSystem(t, o, func(is *is.I, s *fake.System) {
		c := fake.Chat("n1", keyA, "x", 3)
		c.Body = strings.Replace(c.Body, `"stream":true`, `"stream":false`, 1)
		r := s.Do(c)
		is.Equal(r.Status, http.StatusTooManyRequests)
		is.Equal(r.Header.Get("Eelgrass-Ran"), "")
	})
}

// A stream of tool calls cannot be compared by its text, so a broken one is
// not continued by a replay.
func TestToolCallStreamIsNotReplayed(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 3, 1, 8), 1), func(is *is.I, s *fake.System) {
		time.AfterFunc(time.Second, func() { s.CrashEngine(s.VMAt(headAddress(s))) })
		c := fake.Chat("n1", keyA, "long", 200)
		c.Body = strings.Replace(c.Body, `{"model"`, `{"tools":[{"type":"function"}],"model"`, 1)
		r := s.Do(c)
		is.Equal(resultCode(r), 3004)
		is.Equal(s.History.Requests(), 1)
	})
}
