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
// matched by name, so their order does not matter.
func Diff(before, after Document) []Difference { return Compare(flatten(before), flatten(after)) }

// Compare lists the differences between two maps of paths to values that are not empty,
// ordered by path.
func Compare(before, after map[string]string) []Difference {
	paths := make([]string, 0, len(before)+len(after))
	for p := range before {
		paths = append(paths, p)
	}
	for p := range after {
		if _, both := before[p]; !both {
			paths = append(paths, p)
		}
	}
	sort.Strings(paths)
	var out []Difference
	for _, p := range paths {
		if before[p] != after[p] {
			out = append(out, Difference{Path: p, Before: before[p], After: after[p]})
		}
	}
	return out
}

// flatten maps the path of each value in the document to its JSON text.
func flatten(d Document) map[string]string {
	out := map[string]string{}
	text, err := json.Marshal(d)
	if err != nil {
		panic(err) // All fields of a Document can be encoded as JSON.
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

// flattenValue adds the paths and JSON texts of all values below path to out.
func flattenValue(path string, value any, out map[string]string) {
	switch n := value.(type) {
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

// flattenList adds a list to out: objects under their names, scalars together as
// one value.
func flattenList(path string, items []any, out map[string]string) {
	var scalars []string
	for _, item := range items {
		object, ok := item.(map[string]any)
		if !ok {
			text, _ := json.Marshal(item)
			scalars = append(scalars, string(text))
			continue
		}
		name, _ := object["name"].(string)
		flattenValue(path+"/"+name, item, out)
	}
	if len(scalars) > 0 {
		out[path] = "[" + strings.Join(scalars, ",") + "]"
	}
}
