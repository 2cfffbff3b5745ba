// Package strictjson decodes JSON with comments into typed values. It reports all
// unknown fields and wrong types at once, each with its path and position.
//
// Terms: a path is a JSON pointer ("/groups/3/size"); a position is a line
// and a column, both counted from 1.
//
// Invariant: a document with any fault is not decoded.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Position is a position in a document. The zero value means "unknown".
type Position struct {
	Line   int
	Column int
}

// String returns the position as "line:column".
func (p Position) String() string {
	return fmt.Sprintf("%d:%d", p.Line, p.Column)
}

// Fault is an error in a document, at a path and position. Unknown is set if it is a
// field that the decoded type does not have, and Similar is then a field of a similar
// name that it has and the document lacks, if there is one. Read is a field whose name is the
// same in another case: encoding/json decodes the value into it.
type Fault struct {
	Path     string
	Position Position
	Message  string
	Unknown  bool
	Similar  string
	Read     string
	// isNull is set if the value is null, which encoding/json takes for a value that is missing.
	isNull bool
}

// Error implements error. It leaves out the position if that is unknown because
// the value was not parsed from text.
func (f Fault) Error() string {
	if f.Position == (Position{}) {
		return fmt.Sprintf("%s: %s", f.Path, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", f.Position, f.Path, f.Message)
}

// Faults is a list of faults that are reported as one error.
type Faults []Fault

// Error returns one fault per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err sorts f by position and returns it as an error, or nil if it is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool {
		a, b := f[i].Position, f[j].Position
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return f
}

// Document is a parsed JSON text with comments. It can be decoded, and gives the
// positions of paths in the text.
type Document struct {
	text []byte
	root hujson.Value
	// lineStarts holds the offset of each line in the text.
	lineStarts []int
}

// maxDepth is how deep values may be nested, as in encoding/json. The parser calls itself for
// each level.
const maxDepth = 10000

// Parse parses JSON with comments. It returns a syntax error as Faults.
func Parse(text []byte) (*Document, error) {
	d := &Document{text: text, lineStarts: []int{0}}
	for i, b := range text {
		if b == '\n' {
			d.lineStarts = append(d.lineStarts, i+1)
		}
	}
	if at, isTooDeep := findTooDeep(text); isTooDeep {
		return nil, Faults{{Path: "/", Position: d.positionAt(at), Message: fmt.Sprintf("values are nested more than %d deep", maxDepth)}}
	}
	var err error
	if d.root, err = hujson.Parse(text); err != nil {
		return nil, Faults{{Path: "/", Position: syntaxPosition(err), Message: syntaxMessage(err)}}
	}
	return d, nil
}

// findTooDeep returns where values are nested more than maxDepth deep. Brackets in strings
// and comments do not count.
func findTooDeep(text []byte) (at int, isTooDeep bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		case '[', '{':
			if depth++; depth > maxDepth {
				return i, true
			}
		case ']', '}':
			depth--
		}
	}
	return 0, false
}

// endOfString returns the offset of the quote that ends the string at an offset, or the length
// of the text.
func endOfString(text []byte, from int) int {
	for i := from + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// endOfComment returns the offset of the last byte of the comment at an offset, or the offset
// if there is none.
func endOfComment(text []byte, from int) int {
	end := ""
	switch rest := text[from:]; {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return from
	}
	length := bytes.Index(text[from+2:], []byte(end))
	if length < 0 {
		return len(text)
	}
	return from + 2 + length + len(end) - 1
}

// literalText is the text of a hujson error before the literal that is wrong.
const literalText = "invalid literal"

// syntaxMessage returns the text of a hujson error without the literal that is wrong: it may be
// a key.
func syntaxMessage(err error) string {
	message := err.Error()
	if before, _, isLiteral := strings.Cut(message, literalText+": "); isLiteral {
		return before + literalText
	}
	return message
}

// syntaxPosition extracts the position from the text of a hujson error.
func syntaxPosition(err error) Position {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); scanErr != nil {
		return Position{Line: 1, Column: 1}
	}
	return Position{Line: line, Column: column}
}

// Decode decodes the document into target, a pointer to a struct. It reports all
// unknown fields and wrong types together as Faults.
func (d *Document) Decode(target any) error {
	var faults Faults
	d.checkValue(d.root, reflect.TypeOf(target).Elem(), "", &faults)
	if err := faults.Err(); err != nil {
		return err
	}
	return d.unmarshal(target)
}

// unmarshal decodes the document into target, whose type it fits.
func (d *Document) unmarshal(target any) error {
	if err := json.Unmarshal(standardJSON(d.root), target); err != nil {
		return Faults{{Path: "/", Position: Position{1, 1}, Message: err.Error()}}
	}
	return nil
}

// DecodeKnown decodes the fields that the target, a pointer to a struct, has. It returns
// the other fields, and as an error the wrong types and duplicate fields. Null is a value that
// is missing, as in encoding/json.
func (d *Document) DecodeKnown(target any) (Faults, error) {
	var faults, unknown Faults
	d.checkValue(d.root, reflect.TypeOf(target).Elem(), "", &faults)
	faults = slices.DeleteFunc(faults, func(f Fault) bool {
		if f.Unknown {
			unknown = append(unknown, f)
		}
		return f.Unknown || f.isNull
	})
	if err := faults.Err(); err != nil {
		return unknown, err
	}
	return unknown, d.unmarshal(target)
}

// StandardError returns where the text stops to be standard JSON, which has no comments
// and no trailing commas, or nil.
func (d *Document) StandardError() error {
	var syntax *json.SyntaxError
	if errors.As(json.Unmarshal(d.text, new(any)), &syntax) {
		return Faults{{Path: "/", Position: d.positionAt(max(int(syntax.Offset)-1, 0)), Message: "is not standard JSON, which has no comments and no trailing commas: " + syntax.Error()}}
	}
	return nil
}

// Has reports whether the document has a value at the path.
func (d *Document) Has(path string) bool { return d.root.Find(path) != nil }

// PositionOf returns the position of path, or of its nearest existing ancestor.
func (d *Document) PositionOf(path string) Position {
	for {
		if v := d.root.Find(path); v != nil {
			return d.positionAt(v.StartOffset)
		}
		cut := strings.LastIndexByte(path, '/')
		if cut <= 0 {
			return Position{1, 1}
		}
		path = path[:cut]
	}
}

// positionAt converts a byte offset in the text to a position.
func (d *Document) positionAt(offset int) Position {
	offset = min(offset, len(d.text))
	line := sort.SearchInts(d.lineStarts, offset+1)
	return Position{Line: line, Column: offset - d.lineStarts[line-1] + 1}
}

// unmarshalerType is the type of values that decode themselves from JSON.
var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// checkValue appends to faults each reason why v, the value at path, cannot be
// decoded into a value of type t.
func (d *Document) checkValue(v hujson.Value, t reflect.Type, path string, faults *Faults) {
	addFault := func(format string, args ...any) {
		shownPath := path
		if shownPath == "" {
			shownPath = "/"
		}
		*faults = append(*faults, Fault{Path: shownPath, Position: d.positionAt(v.StartOffset), Message: fmt.Sprintf(format, args...), isNull: v.Value.Kind() == 'n'})
	}
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		if err := json.Unmarshal(standardJSON(v), reflect.New(t).Interface()); err != nil {
			addFault("%s", rootCause(err))
		}
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			addFault("must be an object")
			return
		}
		d.checkObject(object, t, path, faults)
	case reflect.Slice:
		array, ok := v.Value.(*hujson.Array)
		if !ok {
			addFault("must be an array")
			return
		}
		for i, e := range array.Elements {
			d.checkValue(e, t.Elem(), path+"/"+strconv.Itoa(i), faults)
		}
	default:
		if err := json.Unmarshal(standardJSON(v), reflect.New(t).Interface()); err != nil {
			addFault("must be %s", expectedType(t))
		}
	}
}

// checkObject appends the faults of an object that is to be decoded into the struct
// type t: unknown and duplicate fields, and the faults of the values.
func (d *Document) checkObject(object *hujson.Object, t reflect.Type, path string, faults *Faults) {
	fields := fieldTypes(t)
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		fieldPath := path + "/" + name
		fieldType, known := fields[name]
		switch {
		case !known:
			*faults = append(*faults, Fault{
				Path: fieldPath, Position: d.positionAt(m.Name.StartOffset), Message: "unknown field" + fieldHint(name, fields),
				Unknown: true, Similar: missingField(name, fields, object), Read: foldedField(name, fields),
			})
		case seen[name]:
			*faults = append(*faults, Fault{Path: fieldPath, Position: d.positionAt(m.Name.StartOffset), Message: "duplicate field"})
		default:
			d.checkValue(m.Value, fieldType, fieldPath, faults)
		}
		seen[name] = true
	}
}

// fieldTypes maps the JSON name of each field of a struct type to its type.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = f.Type
		}
	}
	return out
}

// fieldHint returns a hint for an unknown field: a known field of a similar name
// or, if there is none, the list of all known fields.
func fieldHint(name string, fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for f := range fields {
		names = append(names, f)
	}
	sort.Strings(names)
	for _, f := range names {
		if strings.EqualFold(f, name) || strings.HasPrefix(f, name) || strings.HasPrefix(name, f) {
			return fmt.Sprintf("; did you mean %q?", f)
		}
	}
	return fmt.Sprintf("; known fields are %s", strings.Join(names, ", "))
}

// foldedField returns the field whose name is the given one in another case, or "".
func foldedField(name string, fields map[string]reflect.Type) string {
	for _, f := range slices.Sorted(maps.Keys(fields)) {
		if strings.EqualFold(f, name) {
			return f
		}
	}
	return ""
}

// missingField returns a field that the object lacks and whose name the given one is with
// one character changed, added, removed or swapped with the next, or another case.
func missingField(name string, fields map[string]reflect.Type, object *hujson.Object) string {
	for _, f := range slices.Sorted(maps.Keys(fields)) {
		isThere := slices.ContainsFunc(object.Members, func(m hujson.ObjectMember) bool {
			return m.Name.Value.(hujson.Literal).String() == f
		})
		if !isThere && (strings.EqualFold(f, name) || isOneEdit(f, name)) {
			return f
		}
	}
	return ""
}

// isOneEdit reports whether a and b differ by one character that is changed, missing or
// swapped with the next.
func isOneEdit(a, b string) bool {
	if len(a) < len(b) {
		a, b = b, a
	}
	i := 0
	for i < len(b) && a[i] == b[i] {
		i++
	}
	switch {
	case len(a) == len(b)+1:
		return a[i+1:] == b[i:]
	case len(a) != len(b) || i == len(a):
		return false
	case a[i+1:] == b[i+1:]:
		return true
	}
	return i+1 < len(a) && a[i] == b[i+1] && a[i+1] == b[i] && a[i+2:] == b[i+2:]
}

// standardJSON returns v as JSON without comments and trailing commas.
func standardJSON(v hujson.Value) []byte {
	c := v.Clone()
	c.Standardize()
	return c.Pack()
}

// expectedType returns the name of the JSON type that is decoded into t.
func expectedType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "an integer"
	}
}

// rootCause returns the innermost error that err wraps.
func rootCause(err error) error {
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	return err
}
