package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/admin"
	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/openai"
	"eelgrassring.dev/internal/standin/service"
)

// checkRecord returns how a response breaks a promise to its caller, or "".
func checkRecord(r record) string {
	response := fake.Result{Body: r.Body}
	failure, failed := response.Failure()
	switch {
	case r.Outcome == silent:
		return "no complete response after " + answerTimeout.String()
	case r.Operation == stream && r.Status < http.StatusBadRequest:
		return checkStream(r, response)
	case r.Outcome != answered:
		return ""
	case r.Status >= http.StatusBadRequest && (!failed || r.Header.Get(headerCode) != strconv.Itoa(failure.Number) || r.Header.Get(headerRan) != failure.Ran):
		return "the failure is not complete"
	case r.Status >= http.StatusBadRequest:
		return checkFailure(failure)
	case r.Operation == signOff:
		var c service.Certificate
		if json.Unmarshal([]byte(r.Body), &c) != nil || c.Sample != r.Want || c.Run != 1 {
			return "the certificate is not the first of the caller's own sample"
		}
		return ""
	}
	var c openai.Completion
	if r.Body != r.Want && (json.Unmarshal([]byte(r.Body), &c) != nil || c.Text() != r.Want) {
		return "the response is not the caller's own"
	}
	return ""
}

// checkStream checks that the text has no gap and no repetition, that [DONE] follows
// only the whole text, and that another end of a response is an error event.
func checkStream(r record, response fake.Result) string {
	text, done := response.Text()
	failure, failed := response.Failure()
	switch {
	case !strings.HasPrefix(r.Want, text):
		return "the stream has a gap, a repetition or another's text"
	case done && (text != r.Want || !r.isWhole()):
		return "the stream is reported complete but is not"
	case done || r.Outcome != answered:
		return ""
	case !failed:
		return "the stream ends without [DONE] and without an error"
	}
	return checkFailure(failure)
}

const (
	// limitContact is the time after which the users' rule on limits holds, for any limitWindow:
	// limitExcess times what the limit allows, and limitSlack requests.
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitExcess  = 1.5
	limitSlack   = 5
)

// checkLimit returns how requests, between two times, break the rule on limits, or "".
func checkLimit(arrivals []time.Time, from, to time.Time) string {
	var counted []time.Time
	for _, at := range arrivals {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		counted = append(counted, at)
		for at.Sub(counted[0]) > limitWindow {
			counted = counted[1:]
		}
		if allowed := limitExcess*limitPerSecond*limitWindow.Seconds() + limitSlack; float64(len(counted)) > allowed {
			return fmt.Sprintf("%d requests in %s at a limit of %g a second, allowed are %.0f", len(counted), limitWindow, limitPerSecond, allowed)
		}
	}
	return ""
}

// TestCheckLimitFindsTooManyRequests checks the checker.
func TestCheckLimitFindsTooManyRequests(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1000, 0)
	var arrivals []time.Time
	for i := range 40 {
		arrivals = append(arrivals, begin.Add(time.Duration(i)*250*time.Millisecond))
	}
	is.True(checkLimit(arrivals, begin, begin.Add(time.Minute)) != "")
	is.Equal(checkLimit(arrivals, begin.Add(8*time.Second), begin.Add(time.Minute)), "")
	is.Equal(checkLimit(arrivals[:14], begin, begin.Add(time.Minute)), "")
}

// firstServerCode is the lowest code that is not the caller's mistake.
const firstServerCode = 2000

// checkFailure checks that a failure agrees with its code on whether the request ran,
// and does not blame the caller.
func checkFailure(f openai.Error) string {
	switch {
	case string(ring.Code(f.Number).Info().Ran) != f.Ran:
		return "the failure's code does not agree with its statement " + f.Ran
	case f.Number < firstServerCode:
		return "a valid request is refused as invalid"
	}
	return ""
}

// exit is the end of one run of a process. stoppedAt is when SIGTERM or, if killed is
// set, SIGKILL was sent to it; it is zero if the process ended by itself.
type exit struct {
	name      string
	killed    bool
	stoppedAt time.Time
	exitedAt  time.Time
	err       error
}

// overlaps reports whether a request was in flight at the node when it was stopped.
func (e exit) overlaps(r record) bool {
	return e.name == r.Node && !e.stoppedAt.IsZero() && !e.stoppedAt.After(r.EndedAt) && !e.exitedAt.Before(r.SentAt)
}

// checkExits returns the processes that ended unasked, and the planned stops that
// failed.
func checkExits(exits []exit) []string {
	var out []string
	for _, e := range exits {
		switch {
		case e.stoppedAt.IsZero():
			out = append(out, fmt.Sprintf("%s ended by itself: %v", e.name, e.err))
		case !e.killed && e.err != nil:
			out = append(out, fmt.Sprintf("the planned stop of %s failed: %v", e.name, e.err))
		}
	}
	return out
}

// mayCut reports whether a request may end without a response because its node ended: it
// was killed, or the request was written after the lag of a planned stop. Then it can
// cross the close of its connection, and HTTP/1.1 has no way to refuse it.
func (e exit) mayCut(r record) bool {
	crossed := r.Status == 0 && r.WrittenAt.After(e.stoppedAt.Add(balancerLag))
	return e.overlaps(r) && (e.killed || crossed)
}

// checkCuts returns the requests that their node cut off without a reason.
func checkCuts(records []record, exits []exit) []string {
	var out []string
	for _, r := range records {
		mayCut := slices.ContainsFunc(exits, func(e exit) bool { return e.mayCut(r) })
		if r.Outcome == cut && !mayCut {
			out = append(out, "a node cut off a request: "+r.String())
		}
	}
	return out
}

// checkSignOffs compares the sign-offs with the run counts of the service.
func checkSignOffs(records []record, runs func(sample string) int) []string {
	var out []string
	succeeded, mayHaveRun := map[string]bool{}, map[string]bool{}
	for _, r := range records {
		if r.Operation != signOff {
			continue
		}
		refused := r.Outcome == unsent || (r.Outcome == answered && r.Header.Get(headerRan) == string(ring.RanNo))
		mayHaveRun[r.Want] = mayHaveRun[r.Want] || !refused
		succeeded[r.Want] = succeeded[r.Want] || (r.Outcome == answered && r.Status == http.StatusCreated)
	}
	for sample := range mayHaveRun {
		n := runs(sample)
		switch {
		case n > 1:
			out = append(out, fmt.Sprintf("%s ran %d times", sample, n))
		case n == 0 && succeeded[sample]:
			out = append(out, sample+" succeeded but did not run")
		case n > 0 && !mayHaveRun[sample]:
			out = append(out, sample+" ran, but every result says that it did not")
		}
	}
	return out
}

// checkStatus returns why a node's status is not that of a deployment without faults,
// or "". number is the configuration that must be active.
func checkStatus(s admin.Status, number int64) string {
	if s.ConfigNumber < number {
		return fmt.Sprintf("%s has configuration %d, not %d", s.Node, s.ConfigNumber, number)
	}
	groupOf := map[ring.VM]ring.Group{}
	for _, g := range s.Groups {
		if !g.Serving {
			return fmt.Sprintf("%s: %s does not serve: %s %s", s.Node, g.Name, g.Reason, g.ReasonVM)
		}
		for _, vm := range g.Members {
			if other, taken := groupOf[vm]; taken {
				return fmt.Sprintf("%s: %s is in %s and %s", s.Node, vm, other, g.Name)
			}
			groupOf[vm] = g.Name
		}
	}
	if len(s.Groups) != groupCount {
		return fmt.Sprintf("%s knows %d groups", s.Node, len(s.Groups))
	}
	return ""
}

// textEvent returns a stream event that carries text.
func textEvent(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
}

// Each checker must report a record in which its promise is broken.
func TestCheckersDetectBadRecords(t *testing.T) {
	is := is.New(t)
	const done = "data: [DONE]\n\n"
	const noGroup = `{"error":{"number":2004,"ran":"no"}}`
	failure := func(code, ran string) http.Header {
		return http.Header{headerCode: {code}, headerRan: {ran}}
	}
	for _, test := range []struct {
		name, seen string
		record     record
	}{
		{"good stream", "", record{Operation: stream, Want: "a b ", Body: textEvent("a ") + textEvent("b ") + done}},
		{"gap", "gap", record{Operation: stream, Want: "a b c ", Body: textEvent("a ") + textEvent("c ") + done}},
		{"repetition", "gap", record{Operation: stream, Want: "a b ", Body: textEvent("a ") + textEvent("a ") + done}},
		{"incomplete", "reported complete", record{Operation: stream, Want: "a b ", Body: textEvent("a ") + done}},
		{"too long", "gap", record{Operation: stream, Want: "a ", Body: textEvent("a ") + textEvent("b ") + done}},
		{"no end", "without [DONE]", record{Operation: stream, Want: "a b ", Body: textEvent("a ")}},
		{"event after the end", "reported complete", record{Operation: stream, Want: "a ", Body: textEvent("a ") + done + textEvent("")}},
		{"cut stream with another's text", "gap", record{Operation: stream, Want: "a ", Body: textEvent("x "), Outcome: cut}},
		{"broken stream", "", record{Operation: stream, Want: "a b ", Body: textEvent("a ") + "data: {\"error\":{\"number\":3004,\"ran\":\"yes\"}}\n\n"}},
		{"broken stream with a wrong statement", "does not agree", record{Operation: stream, Want: "a b ", Body: textEvent("a ") + "data: {\"error\":{\"number\":3004,\"ran\":\"no\"}}\n\n"}},
		{"another's completion", "not the caller's own", record{Operation: completion, Want: "a ", Body: `{"choices":[{"message":{"content":"b "}}]}`}},
		{"another's echo", "not the caller's own", record{Operation: echo, Want: "a", Body: "b"}},
		{"another's certificate", "certificate", record{Operation: signOff, Want: "a", Body: `{"sample":"b","run":1}`}},
		{"second certificate", "certificate", record{Operation: signOff, Want: "a", Body: `{"sample":"a","run":2}`}},
		{"silence", "no complete response", record{Operation: echo, Outcome: silent}},
		{"good refusal", "", record{Operation: echo, Status: 503, Header: failure("2004", "no"), Body: noGroup}},
		{"wrong statement", "does not agree", record{Operation: echo, Status: 502, Header: failure("3002", "no"), Body: `{"error":{"number":3002,"ran":"no"}}`}},
		{"no code", "not complete", record{Operation: echo, Status: 502, Body: "bad gateway"}},
		{"blamed caller", "as invalid", record{Operation: echo, Status: 401, Header: failure("1001", "no"), Body: `{"error":{"number":1001,"ran":"no"}}`}},
	} {
		if test.record.Status == 0 {
			test.record.Status = http.StatusOK
		}
		if test.record.Outcome == "" {
			test.record.Outcome = answered
		}
		got := checkRecord(test.record)
		if got != test.seen && (test.seen == "" || !strings.Contains(got, test.seen)) {
			t.Errorf("%s: checkRecord says %q, want %q", test.name, got, test.seen)
		}
	}

	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	lost := record{Outcome: cut, Node: "node-1", SentAt: at(10), WrittenAt: at(10), EndedAt: at(20)}
	is.Equal(len(checkCuts([]record{lost}, []exit{{name: "node-1", killed: true, stoppedAt: at(15), exitedAt: at(16)}})), 0)
	is.Equal(len(checkCuts([]record{lost}, []exit{
		{name: "node-1", stoppedAt: at(15), exitedAt: at(20)},               // a planned stop
		{name: "node-2", killed: true, stoppedAt: at(15), exitedAt: at(16)}, // another node
		{name: "node-1", killed: true, stoppedAt: at(5), exitedAt: at(6)},   // before
		{name: "node-1", killed: true, stoppedAt: at(21), exitedAt: at(22)}, // after
	})), 1)
	crossing := record{Outcome: cut, Node: "node-1", SentAt: at(17), WrittenAt: at(17), EndedAt: at(20)}
	begun := record{Outcome: cut, Node: "node-1", SentAt: at(17), WrittenAt: at(17), EndedAt: at(20), Status: http.StatusOK}
	is.Equal(len(checkCuts([]record{crossing, begun}, []exit{{name: "node-1", stoppedAt: at(15), exitedAt: at(20)}})), 1) // a response that had begun
	is.Equal(len(checkExits([]exit{{name: "a"}, {name: "b", stoppedAt: at(1), err: http.ErrAbortHandler}, {name: "c", stoppedAt: at(1)}})), 2)

	refused := record{Operation: signOff, Want: "a", Outcome: answered, Status: 503, Header: failure("2007", "no")}
	certified := record{Operation: signOff, Want: "b", Outcome: answered, Status: http.StatusCreated}
	unknown := record{Operation: signOff, Want: "c", Outcome: cut}
	runs := func(n int) func(string) int { return func(string) int { return n } }
	is.Equal(len(checkSignOffs([]record{refused}, runs(1))), 1)            // a false refusal
	is.Equal(len(checkSignOffs([]record{refused}, runs(0))), 0)            // a true one
	is.Equal(len(checkSignOffs([]record{certified}, runs(0))), 1)          // a lost sign-off
	is.Equal(len(checkSignOffs([]record{certified, unknown}, runs(2))), 2) // doubled ones
	is.Equal(len(checkSignOffs([]record{certified, unknown}, runs(1))), 0)

	group := func(name ring.Group, serving bool, members ...ring.VM) admin.GroupStatus {
		return admin.GroupStatus{Name: name, Serving: serving, Members: members}
	}
	good := admin.Status{ConfigNumber: 2, Groups: []admin.GroupStatus{group("a", true, "1", "2"), group("b", true, "3", "4"), group("c", true, "5", "6")}}
	is.Equal(checkStatus(good, 2), "")
	is.True(checkStatus(good, 3) != "")                                                                                                           // an old configuration
	is.True(checkStatus(admin.Status{Groups: []admin.GroupStatus{group("a", true, "1"), group("b", true, "1"), group("c", true, "2")}}, 0) != "") // a VM in two groups
	is.True(checkStatus(admin.Status{Groups: []admin.GroupStatus{group("a", false), group("b", true), group("c", true)}}, 0) != "")               // a group that does not serve
}
