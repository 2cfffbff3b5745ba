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
	p.printLine("// Configuration of %s, printed by its declare program.", s.Name)
	p.printLine("{")
	p.printField("name", s.Name)
	p.printLine("")
	p.printLine("  // Weights of group downtime against stranded accelerators.")
	p.printField("objective", s.Objective)
	printSection(p, "vms", "Machines for backend servers.", s.VMs)
	printSection(p, "models", "Base models with their versions and adapters.", s.Models)
	printSection(p, "groups", "Replicas; all VMs of a group share a fabric domain.", s.Groups)
	printSection(p, "workspaces", "Customers; a key is the SHA-256 of the bearer key.", s.Workspaces)
	printSection(p, "services", "Plain services; \"once\" routes are non-idempotent.", s.Services)
	p.printLine("}")
	if p.err != nil {
		return p.err
	}
	_, err := w.Write(p.out.Bytes())
	return err
}

// sorted returns the document with the items of each section sorted by name.
func (d Document) sorted() Document {
	s := d
	s.VMs = sortByName(d.VMs, func(v VM) string { return string(v.Name) })
	s.Models = sortByName(d.Models, func(m Model) string { return string(m.Name) })
	s.Groups = sortByName(d.Groups, func(g Group) string { return string(g.Name) })
	s.Workspaces = sortByName(d.Workspaces, func(w Workspace) string { return string(w.Name) })
	s.Services = sortByName(d.Services, func(x Service) string { return string(x.Name) })
	return s
}

func sortByName[T any](items []T, key func(T) string) []T {
	out := append([]T(nil), items...)
	sort.SliceStable(out, func(i, j int) bool { return key(out[i]) < key(out[j]) })
	return out
}

type printer struct {
	out bytes.Buffer
	err error
}

func (p *printer) printLine(format string, args ...any) {
	fmt.Fprintf(&p.out, format+"\n", args...)
}

func (p *printer) printField(name string, value any) {
	p.printLine("  %q: %s,", name, p.compactJSON(value))
}

// compactJSON returns the value as JSON on one line. It keeps the first error.
func (p *printer) compactJSON(value any) string {
	var b strings.Builder
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(value); err != nil && p.err == nil {
		p.err = fmt.Errorf("print configuration: %w", err)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func printSection[T any](p *printer, name, comment string, items []T) {
	p.printLine("")
	p.printLine("  // %s", comment)
	p.printLine("  %q: [", name)
	for _, item := range items {
		p.printLine("    %s,", p.compactJSON(item))
	}
	p.printLine("  ],")
}
