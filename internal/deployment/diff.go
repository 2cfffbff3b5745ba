package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Difference is one change between two documents. Before is empty for an
// addition and After for a removal.
type Difference struct {
	Path   string
	Before string
	After  string
}

// String renders the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s = %s", d.Path, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s = %s", d.Path, d.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Before, d.After)
	}
}

// Diff lists the differences from before to after, ordered by path. Items are
// matched by name, so a different order is no difference.
func Diff(before, after Document) []Difference {
	a, b := flatten(before), flatten(after)
	paths := make([]string, 0, len(a)+len(b))
	for p := range a {
		paths = append(paths, p)
	}
	for p := range b {
		if _, both := a[p]; !both {
			paths = append(paths, p)
		}
	}
	sort.Strings(paths)
	var out []Difference
	for _, p := range paths {
		if a[p] != b[p] {
			out = append(out, Difference{Path: p, Before: a[p], After: b[p]})
		}
	}
	return out
}

func flatten(d Document) map[string]string {
	out := map[string]string{}
	text, err := json.Marshal(d)
	if err != nil {
		panic(err) // A Document holds nothing that JSON cannot write.
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		panic(err) // The text was written by Marshal.
	}
	flattenValue("", tree, out)
	return out
}

func flattenValue(path string, node any, out map[string]string) {
	switch n := node.(type) {
	case map[string]any:
		for k, v := range n {
			flattenValue(path+"/"+k, v, out)
		}
	case []any:
		flattenList(path, n, out)
	case nil:
	default:
		text, _ := json.Marshal(n)
		out[path] = string(text)
	}
}

func flattenList(path string, items []any, out map[string]string) {
	var plain []string
	for _, item := range items {
		object, ok := item.(map[string]any)
		if !ok {
			text, _ := json.Marshal(item)
			plain = append(plain, string(text))
			continue
		}
		name, _ := object["name"].(string)
		flattenValue(path+"/"+name, item, out)
	}
	if len(plain) > 0 {
		out[path] = "[" + strings.Join(plain, ",") + "]"
	}
}
