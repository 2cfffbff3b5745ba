package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/strictjson"
)

// Configuration is a valid document, indexed by name. It is read-only and may be
// shared between goroutines.
type Configuration struct {
	document   Document
	vms        map[ring.VM]VM
	groups     map[ring.Group]Group
	models     map[ring.Model]Model
	services   map[ring.Service]Service
	workspaces map[ring.Workspace]Workspace
	// keys maps the hash of each bearer key to its caller.
	keys map[string]Caller
}

// Caller is the workspace and application that a bearer key belongs to.
type Caller struct {
	Workspace   Workspace
	Application Application
}

// Parse parses and validates JSON with comments. It returns the configuration,
// or all faults as strictjson.Faults.
func Parse(text []byte) (*Configuration, error) {
	parsed, err := strictjson.Parse(text)
	if err != nil {
		return nil, err
	}
	var d Document
	if err := parsed.Decode(&d); err != nil {
		return nil, err
	}
	faults := validate(d)
	for i := range faults {
		faults[i].Position = parsed.PositionOf(faults[i].Path)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return newConfiguration(d), nil
}

// New validates a document and returns it as a Configuration. The faults in its error
// carry paths but no positions.
func New(d Document) (*Configuration, error) {
	if err := validate(d).Err(); err != nil {
		return nil, err
	}
	return newConfiguration(d), nil
}

// newConfiguration returns a valid document indexed by name, and its applications
// indexed by key.
func newConfiguration(d Document) *Configuration {
	c := &Configuration{
		document:   d.sorted(),
		vms:        map[ring.VM]VM{},
		groups:     map[ring.Group]Group{},
		models:     map[ring.Model]Model{},
		services:   map[ring.Service]Service{},
		workspaces: map[ring.Workspace]Workspace{},
		keys:       map[string]Caller{},
	}
	for _, v := range d.VMs {
		c.vms[v.Name] = v
	}
	for _, g := range d.Groups {
		c.groups[g.Name] = g
	}
	for _, m := range d.Models {
		c.models[m.Name] = m
	}
	for _, s := range d.Services {
		c.services[s.Name] = s
	}
	for _, w := range d.Workspaces {
		c.workspaces[w.Name] = w
		for _, a := range w.Applications {
			c.keys[a.Key] = Caller{Workspace: w, Application: a}
		}
	}
	return c
}

// Document returns the validated document, sorted by name.
func (c *Configuration) Document() Document { return c.document }

// VM returns the VM with the given name. VM and the other lookups return false if the
// name is not declared.
func (c *Configuration) VM(name ring.VM) (VM, bool) {
	v, ok := c.vms[name]
	return v, ok
}

// Group returns the group with the given name.
func (c *Configuration) Group(name ring.Group) (Group, bool) {
	g, ok := c.groups[name]
	return g, ok
}

// Groups returns all groups, sorted by name.
func (c *Configuration) Groups() []Group { return c.document.Groups }

// VMs returns all VMs, sorted by name.
func (c *Configuration) VMs() []VM { return c.document.VMs }

// Workspaces returns all workspaces, sorted by name.
func (c *Configuration) Workspaces() []Workspace { return c.document.Workspaces }

// Objective returns the weights of group downtime and stranded accelerators.
func (c *Configuration) Objective() Objective { return c.document.Objective }

// Service returns the plain service (a service without models) with the given name.
func (c *Configuration) Service(name ring.Service) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Spec returns what the group's servers must load: the model and version, and the
// adapters with their versions.
func (c *Configuration) Spec(g Group) ring.Spec {
	spec := ring.Spec{Model: g.Model, Version: g.Version}
	m := c.models[g.Model]
	for _, name := range g.Adapters {
		for _, a := range m.Adapters {
			if a.Name == name {
				spec.Adapters = append(spec.Adapters, VersionedAdapter(a))
			}
		}
	}
	return spec
}

// VersionedAdapter returns an adapter's name and version as "name@version".
func VersionedAdapter(a Adapter) ring.Adapter {
	return ring.Adapter(fmt.Sprintf("%s@%s", a.Name, a.Version))
}

// HashKey returns the form of a bearer key that a configuration holds: the
// SHA-256 of the key in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Caller returns the caller that a bearer key belongs to, or false if the key is
// unknown.
func (c *Configuration) Caller(key string) (Caller, bool) {
	caller, ok := c.keys[HashKey(key)]
	return caller, ok
}

// Target is what a caller's model name refers to: a model and, if the name includes
// one, a version or an adapter.
type Target struct {
	Model   ring.Model
	Version string
	Adapter ring.Adapter
}

// ResolveTarget resolves a caller's model name: "model", "model@version" or
// "model:adapter". It reports false if a part of the name is not declared.
func (c *Configuration) ResolveTarget(name string) (Target, bool) {
	base, adapterName, hasAdapter := strings.Cut(name, ":")
	modelName, version, pinned := strings.Cut(base, "@")
	m, ok := c.models[ring.Model(modelName)]
	if !ok {
		return Target{}, false
	}
	t := Target{Model: m.Name, Version: version}
	if pinned && !slices.Contains(m.Versions, version) {
		return Target{}, false
	}
	if !hasAdapter {
		return t, true
	}
	for _, a := range m.Adapters {
		if string(a.Name) == adapterName {
			t.Adapter = VersionedAdapter(a)
			return t, true
		}
	}
	return Target{}, false
}

// ModelNames returns the model names that a caller of the application may use,
// including "model:adapter" for each adapter that a declared group serves.
func (c *Configuration) ModelNames(a Application) []string {
	var out []string
	for _, m := range c.document.Models {
		if !slices.Contains(a.Models, m.Name) {
			continue
		}
		out = append(out, string(m.Name))
		for _, ad := range m.Adapters {
			if c.isAdapterServed(m.Name, ad.Name) {
				out = append(out, fmt.Sprintf("%s:%s", m.Name, ad.Name))
			}
		}
	}
	return out
}

// isAdapterServed reports whether a declared group serves the model with the
// adapter.
func (c *Configuration) isAdapterServed(m ring.Model, a ring.Adapter) bool {
	for _, g := range c.document.Groups {
		if g.Model == m && slices.Contains(g.Adapters, a) {
			return true
		}
	}
	return false
}

// Serves reports whether a group with this spec can run requests for the target.
func (t Target) Serves(spec ring.Spec) bool {
	if spec.Model != t.Model {
		return false
	}
	if t.Version != "" && spec.Version != t.Version {
		return false
	}
	return t.Adapter == "" || slices.Contains(spec.Adapters, t.Adapter)
}

// MayUse reports whether the application may send requests to the model.
func (a Application) MayUse(m ring.Model) bool { return slices.Contains(a.Models, m) }

// MayCall reports whether the application may send requests to the plain service, a
// service without models.
func (a Application) MayCall(s ring.Service) bool { return slices.Contains(a.Services, s) }

// IsNonIdempotent reports whether a call with the given method and path is
// non-idempotent. It is if one of the routes in the service's Once list matches it.
func (s Service) IsNonIdempotent(method, path string) bool {
	for _, route := range s.Once {
		m, pattern, _ := strings.Cut(route, " ")
		if m != method {
			continue
		}
		if prefix, isWildcard := strings.CutSuffix(pattern, "*"); isWildcard && strings.HasPrefix(path, prefix) {
			return true
		}
		if pattern == path {
			return true
		}
	}
	return false
}

// CallTimeout returns the service's time limit for one call.
func (s Service) CallTimeout() time.Duration { return time.Duration(s.Timeout) }
