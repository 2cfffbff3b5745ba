package inspection

import (
	"fmt"
	"slices"
	"strings"

	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/strictjson"
)

// Document returns the warnings in a declared document that is valid: what callers never reach.
func Document(d deployment.Document) []Finding {
	i := &inspector{}
	for n, m := range d.Models {
		i.checkModel(d, m, fmt.Sprintf("/models/%d", n))
	}
	for n, s := range d.Services {
		i.checkService(d, s, fmt.Sprintf("/services/%d", n))
	}
	for n, w := range d.Workspaces {
		path := fmt.Sprintf("/workspaces/%d", n)
		if len(w.Applications) == 0 {
			i.addWarning(path, "workspace %q has no application: no key is its own", w.Name)
		}
		for k, a := range w.Applications {
			if len(a.Models) == 0 && len(a.Services) == 0 {
				i.addWarning(fmt.Sprintf("%s/applications/%d", path, k), "application %q may use no model and no service", a.Name)
			}
		}
	}
	return i.findings
}

// checkModel checks that groups serve a model and its adapters, and that callers may use it.
func (i *inspector) checkModel(d deployment.Document, m deployment.Model, path string) {
	if !isServed(d, string(m.Name)) {
		i.addWarning(path+"/name", "no group serves model %q", m.Name)
		return
	}
	if !isUsed(d, func(a deployment.Application) bool { return a.MayUse(m.Name) }) {
		i.addWarning(path+"/name", "no application may use model %q", m.Name)
	}
	for k, adapter := range m.Adapters {
		if !slices.ContainsFunc(d.Groups, func(g deployment.Group) bool { return g.Model == m.Name && slices.Contains(g.Adapters, adapter.Name) }) {
			i.addWarning(fmt.Sprintf("%s/adapters/%d", path, k), "no group loads adapter %q", adapter.Name)
		}
	}
}

// checkService checks that callers may use a plain service, and its servers and routes.
func (i *inspector) checkService(d deployment.Document, s deployment.Service, path string) {
	if !isUsed(d, func(a deployment.Application) bool { return a.MayCall(s.Name) }) {
		i.addWarning(path+"/name", "no application may call service %q", s.Name)
	}
	for n, server := range s.Servers {
		if slices.Contains(s.Servers[:n], server) {
			i.addWarning(fmt.Sprintf("%s/servers/%d", path, n), "%s is already a server of the service", server)
		}
	}
	for n, route := range s.Once {
		for k, other := range s.Once {
			if k != n && covers(other, route) && (k < n || other != route) {
				i.addWarning(fmt.Sprintf("%s/once/%d", path, n), "has no effect: %q matches all its calls", other)
				break
			}
		}
	}
}

// covers reports whether a Once route matches all calls that another one matches.
func covers(route, other string) bool {
	prefix, isWildcard := strings.CutSuffix(route, "*")
	return route == other || (isWildcard && strings.HasPrefix(other, prefix))
}

// isUsed reports whether an application of a workspace fulfils the condition.
func isUsed(d deployment.Document, may func(deployment.Application) bool) bool {
	return slices.ContainsFunc(d.Workspaces, func(w deployment.Workspace) bool { return slices.ContainsFunc(w.Applications, may) })
}

// TextSource is the Source of a file whose paths are those of the findings.
type TextSource struct{ document *strictjson.Document }

// NewTextSource returns the source of JSON with comments.
func NewTextSource(text []byte) (TextSource, error) {
	document, err := strictjson.Parse(text)
	return TextSource{document}, err
}

// Locate implements Source.
func (s TextSource) Locate(path string) (string, strictjson.Position) {
	return path, s.document.PositionOf(path)
}

// ParseDocument decodes a declared document without sorting it, and returns its findings and
// their source. Faults of the document are errors, and then it has no warnings.
func ParseDocument(file string, text []byte) (deployment.Document, []Finding) {
	var d deployment.Document
	configuration, err := deployment.Parse(text)
	if err != nil {
		faults, _ := err.(strictjson.Faults)
		return d, FromFaults(SeverityError, file, faults)
	}
	source, err := NewTextSource(text)
	if err == nil {
		err = source.document.Decode(&d)
	}
	if err != nil {
		return configuration.Document(), nil // Parse has read the same text.
	}
	findings := Document(d)
	Locate(findings, file, source)
	return d, findings
}
