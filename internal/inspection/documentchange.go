package inspection

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"eelgrassring.dev/internal/deployment"
)

// sections names the items of a declared document's sections.
var sections = map[string]string{"vms": "VM", "models": "model", "groups": "group", "workspaces": "workspace", "services": "service"}

// DocumentChanges returns what the second declared document changes for callers of the first.
func DocumentChanges(before, after deployment.Document) []Change {
	var out []Change
	holders := keysOf(after)
	for _, i := range itemsOf(deployment.Diff(before, after)) {
		what := strings.TrimSpace(sections[i.kind] + " " + i.name)
		if sections[i.kind] == "" {
			what = i.kind
		}
		if i.state != itemKept {
			out = append(out, Change{what, presenceEffect(i, before, after)})
			continue
		}
		for _, d := range i.differences {
			for _, effect := range documentEffects(i.kind, d, holders) {
				out = append(out, Change{what, effect})
			}
		}
	}
	return out
}

// keysOf returns the application of each key in the document, by the key's hash.
func keysOf(d deployment.Document) map[string]string {
	out := map[string]string{}
	for _, w := range d.Workspaces {
		for _, a := range w.Applications {
			out[a.Key] = fmt.Sprintf("application %s of workspace %s", a.Name, w.Name)
		}
	}
	return out
}

// lostKey returns what it means that an application no longer has the key. It may belong to
// another one now.
func lostKey(hash string, holders map[string]string) string {
	if holder := holders[hash]; holder != "" {
		return "counts as that of " + holder
	}
	return "gets status 401"
}

// presenceEffect returns what an item that is added or removed means.
func presenceEffect(i item, before, after deployment.Document) string {
	isAdded := i.state == itemAdded
	switch i.kind {
	case "workspaces":
		if isAdded {
			return "callers get access with the keys of its applications"
		}
		return workspaceEffect(i, keysOf(after))
	case "services":
		if isAdded {
			return "is served to the applications that may call it"
		}
		return "calls to it fail"
	case "groups":
		return groupEffect(i, after)
	case "models":
		if isAdded {
			return "is served once a group serves it and an application may use it"
		}
		if !isServed(before, i.name) {
			return "is removed: no group served it"
		}
		return "is removed: requests for it fail"
	}
	if isAdded {
		return "is added"
	}
	return "is removed"
}

// workspaceEffect returns what a workspace that is removed means.
func workspaceEffect(i item, holders map[string]string) string {
	var out []string
	for _, d := range i.differences {
		if len(d.field) == 3 && d.field[2] == "key" {
			out = append(out, fmt.Sprintf("the key of application %s %s", d.field[1], lostKey(strings.Trim(d.before, `"`), holders)))
		}
	}
	if len(out) == 0 {
		return "is removed: no key was its own"
	}
	return "callers lose access: " + strings.Join(out, ", ")
}

// groupEffect returns what a group that is added or removed means.
func groupEffect(i item, after deployment.Document) string {
	model := ""
	for _, d := range i.differences {
		if d.field[0] == "model" {
			model = strings.Trim(d.before+d.after, `"`)
		}
	}
	if i.state == itemAdded {
		return "serves model " + model + " too"
	}
	if isServed(after, model) {
		return "no longer serves model " + model + "; other groups do"
	}
	return "no longer serves model " + model + ": requests for it fail"
}

// isServed reports whether a group of the document serves the model.
func isServed(d deployment.Document, model string) bool {
	return slices.ContainsFunc(d.Groups, func(g deployment.Group) bool { return string(g.Model) == model })
}

// documentEffects returns what a difference in an item of a declared document's section means.
func documentEffects(kind string, d difference, holders map[string]string) []string {
	d.before, d.after = strings.Trim(d.before, `"`), strings.Trim(d.after, `"`)
	change, falls := movement(d.before, d.after)
	switch last := d.field[len(d.field)-1]; {
	case kind == "workspaces" && d.field[0] == "applications" && len(d.field) == 3:
		return applicationEffects(d.field[1], d, holders)
	case kind == "models" && d.field[0] == "adapters" && last == nameField && d.after == "":
		return []string{fmt.Sprintf("adapter %s is removed: requests for it fail", d.field[1])}
	case kind == "models" && d.field[0] == "adapters" && d.after == "":
		return nil // The name says so.
	case kind == "workspaces" && last == "limit" && falls:
		return []string{"limit " + change + ": fewer of its requests run at a time"}
	case kind == "workspaces" && last == "limit":
		return []string{"limit " + change + ": more of its requests run at a time"}
	case kind == "services" && last == "timeout":
		return []string{timeoutEffect(d.before, d.after)}
	case kind == "services" && last == "once":
		return onceEffects(d)
	case kind == "services" && last == "servers":
		return listEffects(d, "calls no longer go to server %s", "calls go to server %s too")
	case kind == "groups" && last == "model":
		return []string{fmt.Sprintf("serves model %s instead of %s", d.after, d.before)}
	case kind == "groups" && last == "adapters":
		return listEffects(d, "no longer serves adapter %s", "serves adapter %s too")
	case kind == "groups" && last == "slots" && falls:
		return []string{"number of slots " + change + ": fewer requests run at a time"}
	}
	return []string{genericEffect(d)}
}

// applicationEffects returns what a difference of an application means. A key is not shown, not
// even its hash.
func applicationEffects(name string, d difference, holders map[string]string) []string {
	switch d.field[2] {
	case "key":
		switch {
		case d.before == "":
			return []string{fmt.Sprintf("application %s gets access with its key", name)}
		case d.after == "":
			return []string{fmt.Sprintf("application %s loses access: its key %s", name, lostKey(d.before, holders))}
		}
		return []string{fmt.Sprintf("the key of application %s is replaced: the former one %s", name, lostKey(d.before, holders))}
	case "models":
		return listEffects(d, "callers of application "+name+" lose access to model %s", "callers of application "+name+" get access to model %s")
	case "services":
		return listEffects(d, "callers of application "+name+" lose access to service %s", "callers of application "+name+" get access to service %s")
	}
	if d.before == "" || d.after == "" {
		return nil
	}
	change, _ := movement(d.before, d.after)
	return []string{fmt.Sprintf("%s of application %s %s", d.field[2], name, change)}
}

// onceEffects returns what it means that the list of Once routes lost or gained some. A route says
// nothing of calls that another one of the other list matches too.
func onceEffects(d difference) []string {
	before, after := texts(d.before), texts(d.after)
	var out []string
	add := func(routes, others []string, format string) {
		for _, route := range routes {
			if !slices.ContainsFunc(others, func(other string) bool { return covers(other, route) }) {
				out = append(out, fmt.Sprintf(format, route))
			}
		}
	}
	add(before, after, "calls to %s may run more than once")
	add(after, before, "calls to %s run at most once")
	if len(out) == 0 {
		out = append(out, "once changes to a list that matches the same calls: callers notice nothing")
	}
	return out
}

// listEffects returns a sentence for each text that the list lost, and for each that it gained.
func listEffects(d difference, lost, gained string) []string {
	before, after := texts(d.before), texts(d.after)
	var out []string
	for _, text := range before {
		if !slices.Contains(after, text) {
			out = append(out, strings.ReplaceAll(lost, "%s", text))
		}
	}
	for _, text := range after {
		if !slices.Contains(before, text) {
			out = append(out, strings.ReplaceAll(gained, "%s", text))
		}
	}
	if len(out) == 0 {
		out = append(out, "the order of "+strings.Join(d.field, " ")+" changes: callers notice nothing")
	}
	return out
}

// texts returns the texts in a JSON list.
func texts(list string) []string {
	var out []string
	_ = json.Unmarshal([]byte(list), &out) // An empty list has no JSON.
	return out
}
