// Package inspection checks a configuration before it is sent, and says what it changes for
// callers.
//
// Terms:
//
//   - Finding: a value of a configuration that is wrong (error), or that is allowed but has no
//     effect or contradicts another value (warning).
//   - Path: the place of a value. In a declared document it is a JSON pointer; in a ring.Routing
//     it consists of the names of its fields, such as "/Routes/2/Timeout".
//   - Source: the file that a configuration was read from. It maps paths to its own.
//   - Change: what a difference between two configurations means for callers.
//
// Invariants: all functions are pure, and their results are ordered; equal configurations have
// no changes; no finding and no change contains a bearer key.
package inspection

import (
	"cmp"
	"fmt"
	"slices"

	"eelgrassring.dev/internal/strictjson"
)

// Severity says whether a finding is an error.
type Severity string

// The severities.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is a value that is wrong, has no effect or contradicts another one.
type Finding struct {
	Severity Severity `json:"severity"`
	File     string   `json:"file"`
	Line     int      `json:"line"`
	Column   int      `json:"column"`
	Path     string   `json:"path"`
	Message  string   `json:"message"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s:%d:%d: %s: %s", f.Severity, f.File, f.Line, f.Column, f.Path, f.Message)
}

// Source is a file that a configuration was read from.
type Source interface {
	// Locate returns the file's path of a value, and its position or that of the nearest
	// value around it.
	Locate(path string) (string, strictjson.Position)
}

// Locate sets the file of the findings, their paths in it and their positions, and sorts them
// by position.
func Locate(findings []Finding, file string, s Source) {
	for i := range findings {
		f := &findings[i]
		path, position := s.Locate(f.Path)
		f.File, f.Path, f.Line, f.Column = file, path, position.Line, position.Column
	}
	Sort(findings)
}

// FromFaults returns the faults of a file as findings, sorted by position.
func FromFaults(severity Severity, file string, faults strictjson.Faults) []Finding {
	var out []Finding
	for _, f := range faults {
		out = append(out, Finding{
			Severity: severity, File: file, Line: max(f.Position.Line, 1), Column: max(f.Position.Column, 1), Path: f.Path, Message: f.Message,
		})
	}
	Sort(out)
	return out
}

// Sort sorts findings by file, position and path.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path))
	})
}

// Count returns the number of findings with the severity.
func Count(findings []Finding, s Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// inspector collects findings.
type inspector struct{ findings []Finding }

// addError records that the value at path is wrong.
func (i *inspector) addError(path, format string, args ...any) {
	i.findings = append(i.findings, Finding{Severity: SeverityError, Path: path, Message: fmt.Sprintf(format, args...)})
}

// addWarning records that the value at path has no effect or contradicts another one.
func (i *inspector) addWarning(path, format string, args ...any) {
	i.findings = append(i.findings, Finding{Severity: SeverityWarning, Path: path, Message: fmt.Sprintf(format, args...)})
}
