package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
)

// Print writes the document as JSON with comments, one item per line and sorted
// by name, so that a small change gives a small diff.
func (d Document) Print(w io.Writer) error {
	s := d.sorted()
	p := &printer{}
	p.line("// Configuration of %s, printed by its declare program.", s.Name)
	p.line("{")
	p.field("name", s.Name)
	p.line("")
	p.line("  // Weights of group downtime against stranded accelerators.")
	p.field("objective", s.Objective)
	printSection(p, "vms", "VMs that run backend servers.", s.VMs)
	printSection(p, "models", "Base models with their versions and adapters.", s.Models)
	printSection(p, "groups", "Replicas; all VMs of a group share a fabric domain.", s.Groups)
	printSection(p, "workspaces", "Customers; a key is the SHA-256 of the bearer key.", s.Workspaces)
	printSection(p, "services", "Plain services; \"once\" routes are non-idempotent.", s.Services)
	p.line("}")
	if p.err != nil {
		return p.err
	}
	_, err := w.Write(p.out.Bytes())
	return err
}

// sorted returns the document with the items of each section sorted by name.
func (d Document) sorted() Document {
	s := d
	s.VMs = sortedBy(d.VMs, func(v VM) string { return string(v.Name) })
	s.Models = sortedBy(d.Models, func(m Model) string { return string(m.Name) })
	s.Groups = sortedBy(d.Groups, func(g Group) string { return string(g.Name) })
	s.Workspaces = sortedBy(d.Workspaces, func(w Workspace) string { return string(w.Name) })
	s.Services = sortedBy(d.Services, func(x Service) string { return string(x.Name) })
	return s
}

func sortedBy[T any](items []T, key func(T) string) []T {
	out := append([]T(nil), items...)
	sort.SliceStable(out, func(i, j int) bool { return key(out[i]) < key(out[j]) })
	return out
}

type printer struct {
	out bytes.Buffer
	err error
}

func (p *printer) line(format string, args ...any) {
	fmt.Fprintf(&p.out, format+"\n", args...)
}

func (p *printer) field(name string, value any) {
	p.line("  %q: %s,", name, p.compact(value))
}

// compact returns the value as JSON on one line. It keeps the first error.
func (p *printer) compact(value any) string {
	var b strings.Builder
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(value); err != nil && p.err == nil {
		p.err = fmt.Errorf("print configuration: %w", err)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func printSection[T any](p *printer, name, comment string, items []T) {
	p.line("")
	p.line("  // %s", comment)
	p.line("  %q: [", name)
	for _, item := range items {
		p.line("    %s,", p.compact(item))
	}
	p.line("  ],")
}
