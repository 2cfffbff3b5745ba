// Package trace finds the log lines of one request in the logs of several nodes and
// prints them with the outcome of the request.
//
// Terms: a related line names no request. It names a replica or backend server
// that the request was sent to, and was written shortly before, during or
// shortly after the request.
//
// Invariants: lines are ordered by time, then by node; the cause of the request's
// outcome is printed last; the output does not depend on the order in which the
// logs are read.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
)

// relatedBefore and relatedAfter bound how long before the first and after the
// last line of the request a related line may be.
const (
	relatedBefore = 3 * time.Second
	relatedAfter  = time.Second
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// logLine is one log line that contains an event. fields contains the attributes
// that have no struct field.
type logLine struct {
	at      time.Time
	node    string
	event   int
	message string
	fields  map[string]any
}

// fieldText returns an attribute as text, or "" if it is neither a string nor a
// number.
func (l logLine) fieldText(field string) string {
	switch v := l.fields[field].(type) {
	case string:
		return v
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return ""
}

// formatField returns an attribute as printed text: numbers without an exponent,
// and "took" as a duration.
func (l logLine) formatField(field string) string {
	number, ok := l.fields[field].(float64)
	switch {
	case !ok:
		return fmt.Sprint(l.fields[field])
	case field == "took":
		return time.Duration(number).Round(time.Millisecond).String()
	default:
		return strconv.FormatFloat(number, 'f', -1, 64)
	}
}

// Log collects the events read from the logs of several nodes.
type Log struct {
	lines []logLine
	// skipped counts the lines that are not events.
	skipped int
}

// Read adds the events of one node's log. Lines that are not events are skipped and
// counted. Text before the JSON of a line, which some log collectors add, is
// ignored.
func (log *Log) Read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for in.Scan() {
		text := in.Text()
		if start := strings.IndexByte(text, '{'); start >= 0 {
			if l, ok := parseLine(text[start:]); ok {
				log.lines = append(log.lines, l)
				continue
			}
		}
		log.skipped++
	}
	return in.Err()
}

// parseLine parses the JSON of a log line. It reports false if the line is not an
// event.
func parseLine(text string) (logLine, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return logLine{}, false
	}
	l := logLine{fields: fields}
	number, ok := fields["event"].(float64)
	at, err := time.Parse(time.RFC3339Nano, l.fieldText("time"))
	if !ok || err != nil {
		return logLine{}, false
	}
	l.at, l.node, l.event, l.message = at, l.fieldText("node"), int(number), l.fieldText("msg")
	for _, known := range []string{"time", "level", "msg", "node", "event"} {
		delete(fields, known)
	}
	return l, true
}

// PrintRequest writes the lines of the request with the given ID, the related lines
// and the cause of its outcome. It reports false if no line names the request.
func (log *Log) PrintRequest(w io.Writer, requestID string) bool {
	own := log.selectLines(func(l logLine) bool { return l.fieldText("request") == requestID })
	if len(own) == 0 {
		return false
	}
	begin, end := own[0].at.Add(-relatedBefore), own[len(own)-1].at.Add(relatedAfter)
	destinations := map[string]bool{}
	for _, l := range own {
		for _, field := range []string{"group", "vm", "to"} {
			destinations[l.fieldText(field)] = true
		}
	}
	delete(destinations, "")
	all := log.selectLines(func(l logLine) bool {
		if l.fieldText("request") != "" {
			return l.fieldText("request") == requestID
		}
		return l.at.After(begin) && l.at.Before(end) && (destinations[l.fieldText("group")] || destinations[l.fieldText("vm")])
	})
	for _, l := range all {
		fmt.Fprintf(w, "%s  %-16s %d %s%s\n", l.at.Format("15:04:05.000"), l.node, l.event, l.message, formatAttributes(l))
	}
	fmt.Fprintf(w, "cause: %s\n", describeOutcome(own))
	return true
}

// selectLines returns the lines for which want returns true, sorted by time, node
// and event number.
func (log *Log) selectLines(want func(logLine) bool) []logLine {
	var out []logLine
	for _, l := range log.lines {
		if want(l) {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		if a.node != b.node {
			return a.node < b.node
		}
		return a.event < b.event
	})
	return out
}

// formatAttributes returns the attributes of a line as " name=value" pairs,
// sorted by name. It leaves out those that are empty, false or zero.
func formatAttributes(l logLine) string {
	names := make([]string, 0, len(l.fields))
	for name, value := range l.fields {
		if value == nil || value == "" || value == false || value == 0.0 {
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, l.formatField(name))
	}
	return b.String()
}

// describeOutcome returns how a request ended and the errors of its failed
// attempts. own are the lines that name the request, ordered by time.
func describeOutcome(own []logLine) string {
	var failed []string
	last := own[len(own)-1]
	for _, l := range own {
		if l.event == event.AttemptFailed.Number {
			where := l.fieldText("group")
			if where == "" {
				where = l.fieldText("vm")
			}
			failed = append(failed, fmt.Sprintf("%s: %s", where, l.fieldText("error")))
		}
	}
	attempts := describeSecond(own)
	if len(failed) > 0 {
		attempts += "; failed attempts: " + strings.Join(failed, "; ")
	}
	code, _ := last.fields["code"].(float64)
	switch {
	case last.event == event.RequestFailed.Number && code != 0:
		info := ring.Code(code).Info()
		return fmt.Sprintf("%d %s (ran: %s)%s", info.Code, info.Name, info.Ran, attempts)
	case last.fields["left"] == true:
		return "the caller disconnected" + attempts
	case last.event == event.RequestDone.Number:
		return "answered with status " + last.fieldText("status") + attempts
	}
	return "the logs contain no line for the end of the request" + attempts
}

// describeSecond returns what became of the second attempt of a request, or "" if it had none.
func describeSecond(own []logLine) string {
	for _, l := range own {
		switch l.event {
		case event.SecondWon.Number:
			return fmt.Sprintf("; the second attempt at %s was faster than %s", l.fieldText("vm"), l.fieldText("first"))
		case event.SecondLost.Number:
			return fmt.Sprintf("; the second attempt at %s lost to %s", l.fieldText("vm"), l.fieldText("first"))
		}
	}
	return ""
}
