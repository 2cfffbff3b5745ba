package inspection

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"eelgrassring.dev/internal/deployment"
)

// Change says what a difference between two configurations means for callers. Item is what
// differs, such as a route.
type Change struct {
	Item   string `json:"item"`
	Effect string `json:"effect"`
}

// String returns the change as one line.
func (c Change) String() string { return c.Item + ": " + c.Effect }

// itemState says whether an item is in both configurations.
type itemState int

const (
	itemKept itemState = iota
	itemAdded
	itemRemoved
)

// item is a named part of a configuration with its differences. Kind is its section, such as
// "routes".
type item struct {
	kind, name  string
	state       itemState
	differences []difference
}

// difference is a difference of an item. Its field is the part of the path after the item's
// name.
type difference struct {
	field         []string
	before, after string
}

// nameField is the field that an item has exactly if it is in a configuration.
const nameField = "name"

// itemsOf groups differences, which are ordered by path, by item. Those of fields that belong to
// no item are in an item without a name.
func itemsOf(all []deployment.Difference) []item {
	var out []item
	for _, d := range all {
		parts := strings.Split(strings.TrimPrefix(d.Path, "/"), "/")
		next := item{kind: parts[0]}
		field := parts[1:]
		switch {
		case len(parts) > 2:
			next.name, field = unescape(parts[1]), parts[2:]
		case len(parts) == 1:
			field = parts
		}
		if n := len(out); n == 0 || out[n-1].kind != next.kind || out[n-1].name != next.name {
			out = append(out, next)
		}
		last := &out[len(out)-1]
		last.differences = append(last.differences, difference{field, d.Before, d.After})
		if len(field) == 1 && field[0] == nameField {
			switch {
			case d.Before == "":
				last.state = itemAdded
			case d.After == "":
				last.state = itemRemoved
			}
		}
	}
	return out
}

// escape and unescape convert a name to and from a part of a path, as in a JSON pointer.
func escape(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}

func unescape(part string) string {
	return strings.ReplaceAll(strings.ReplaceAll(part, "~1", "/"), "~0", "~")
}

// movement returns "rises from A to B" or "falls from A to B", and whether it falls. Values that
// are neither numbers nor durations change.
func movement(before, after string) (string, bool) {
	a, isANumber := number(before)
	b, isBNumber := number(after)
	verb := "changes"
	switch {
	case !isANumber || !isBNumber:
	case b < a:
		verb = "falls"
	case b > a:
		verb = "rises"
	}
	return fmt.Sprintf("%s from %s to %s", verb, shown(before), shown(after)), verb == "falls"
}

// number returns the value of a number or a duration.
func number(text string) (float64, bool) {
	if d, err := time.ParseDuration(text); err == nil {
		return float64(d), true
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}

// counted returns a number of things, such as "1 key" or "2 keys".
func counted(n int, thing string) string {
	if n == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", n, thing)
}

// shown returns a value as a sentence names it.
func shown(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

// timeoutEffect returns what another timeout means for callers. A timeout of 0 is none.
func timeoutEffect(before, after string) string {
	change, falls := movement(before, after)
	a, _ := number(before)
	b, _ := number(after)
	if falls && b == 0 {
		return "the timeout of " + before + " is removed: requests may take as long as their callers wait"
	}
	if falls || (a == 0 && b > 0) {
		return "timeout " + change + ": requests that take longer fail"
	}
	return "timeout " + change + ": callers may wait longer for a failure"
}

// genericEffect returns what changes in a field that has no sentence of its own.
func genericEffect(d difference) string {
	change, _ := movement(d.before, d.after)
	return strings.Join(d.field, " ") + " " + change
}
