package deployment

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/strictjson"
)

// maxNameLength is the longest name in a configuration, in bytes.
const maxNameLength = 63

// namePattern matches the valid names; their length is checked separately.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// validator collects the faults of a document. names maps each section and name
// to the path of its first declaration.
type validator struct {
	faults strictjson.Faults
	names  map[string]string
}

// addFault records a fault of the value at path.
func (v *validator) addFault(path, format string, args ...any) {
	v.faults = append(v.faults, strictjson.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// checkName checks a name's characters and that it is unique in its section.
func (v *validator) checkName(section, path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		v.addFault(path, "name %q must be 1 to %d of a-z, 0-9, '.', '-' and begin with a letter or digit", name, maxNameLength)
		return
	}
	key := section + "/" + name
	if first, isDuplicate := v.names[key]; isDuplicate {
		v.addFault(path, "name %q is already declared at %s", name, first)
		return
	}
	v.names[key] = path
}

// checkAtLeastOne checks that the number at path is 1 or more.
func (v *validator) checkAtLeastOne(path string, n int) {
	if n <= 0 {
		v.addFault(path, "must be at least 1, not %d", n)
	}
}

// checkAddress checks that the text at path is an IP address with a port.
func (v *validator) checkAddress(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		v.addFault(path, "%q is not an IP address with a port", address)
	}
}

// validate returns all faults of the document, with paths but without positions.
func validate(d Document) strictjson.Faults {
	v := &validator{names: map[string]string{}}
	v.checkName("deployment", "/name", d.Name)
	if d.Objective.Downtime < 0 || d.Objective.Stranded < 0 || d.Objective.Downtime+d.Objective.Stranded == 0 {
		v.addFault("/objective", "weights must not be negative, and at least one must be above 0")
	}
	v.checkVMs(d)
	v.checkModels(d)
	v.checkGroups(d)
	v.checkServices(d)
	v.checkWorkspaces(d)
	return v.faults
}

// checkVMs checks the VMs and that no two have the same address.
func (v *validator) checkVMs(d Document) {
	addresses := map[string]ring.VM{}
	for i, vm := range d.VMs {
		path := fmt.Sprintf("/vms/%d", i)
		v.checkName("vm", path+"/name", string(vm.Name))
		v.checkAddress(path+"/address", vm.Address)
		if other, isDuplicate := addresses[vm.Address]; isDuplicate {
			v.addFault(path+"/address", "VM %q already has address %s", other, vm.Address)
		}
		addresses[vm.Address] = vm.Name
		// Zones and domains need a valid name, but may appear more than once.
		v.checkName("", path+"/zone", string(vm.Zone))
		delete(v.names, "/"+string(vm.Zone))
		v.checkName("", path+"/domain", string(vm.Domain))
		delete(v.names, "/"+string(vm.Domain))
		v.checkAtLeastOne(path+"/accelerators", vm.Accelerators)
		if vm.Fencing != FencingChecked && vm.Fencing != FencingIgnored {
			v.addFault(path+"/fencing", "must be %q or %q", FencingChecked, FencingIgnored)
		}
	}
}

// checkModels checks the models and their adapters.
func (v *validator) checkModels(d Document) {
	for i, m := range d.Models {
		path := fmt.Sprintf("/models/%d", i)
		v.checkName("model", path+"/name", string(m.Name))
		if len(m.Versions) == 0 {
			v.addFault(path+"/versions", "needs at least one version")
		}
		for j, a := range m.Adapters {
			adapterPath := fmt.Sprintf("%s/adapters/%d", path, j)
			v.checkName("adapter/"+string(m.Name), adapterPath+"/name", string(a.Name))
			if a.Version == "" {
				v.addFault(adapterPath+"/version", "must not be empty")
			}
		}
	}
}

// checkGroups checks the groups, and that a fabric domain has enough VMs for each.
func (v *validator) checkGroups(d Document) {
	domainSizes := map[ring.Domain]int{}
	largest := 0
	for _, vm := range d.VMs {
		domainSizes[vm.Domain]++
		largest = max(largest, domainSizes[vm.Domain])
	}
	for i, g := range d.Groups {
		path := fmt.Sprintf("/groups/%d", i)
		v.checkName("group", path+"/name", string(g.Name))
		v.checkAtLeastOne(path+"/size", g.Size)
		v.checkAtLeastOne(path+"/slots", g.Slots)
		size, known := domainSizes[g.Domain]
		switch {
		case g.Domain == "" && g.Size > largest:
			v.addFault(path+"/size", "spans %d VMs, but the largest fabric domain has %d", g.Size, largest)
		case g.Domain != "" && !known:
			v.addFault(path+"/domain", "no VM is in fabric domain %q", g.Domain)
		case g.Domain != "" && g.Size > size:
			v.addFault(path+"/size", "spans %d VMs, but fabric domain %q has %d", g.Size, g.Domain, size)
		}
		v.checkGroupSpec(d, g, path)
	}
}

// checkGroupSpec checks that the group's model, version and adapters are declared.
func (v *validator) checkGroupSpec(d Document, g Group, path string) {
	for _, m := range d.Models {
		if m.Name != g.Model {
			continue
		}
		if !slices.Contains(m.Versions, g.Version) {
			v.addFault(path+"/version", "model %q has no version %q", m.Name, g.Version)
		}
		for j, name := range g.Adapters {
			if !hasAdapter(m, name) {
				v.addFault(fmt.Sprintf("%s/adapters/%d", path, j), "model %q has no adapter %q", m.Name, name)
			}
		}
		return
	}
	v.addFault(path+"/model", "model %q is not declared", g.Model)
}

// hasAdapter reports whether the model declares the adapter.
func hasAdapter(m Model, name ring.Adapter) bool {
	for _, a := range m.Adapters {
		if a.Name == name {
			return true
		}
	}
	return false
}

// checkServices checks the plain services (services without models): their names,
// addresses and timeouts, and the non-idempotent routes in Once.
func (v *validator) checkServices(d Document) {
	for i, s := range d.Services {
		path := fmt.Sprintf("/services/%d", i)
		v.checkName("service", path+"/name", string(s.Name))
		if len(s.Servers) == 0 {
			v.addFault(path+"/servers", "needs at least one server")
		}
		for j, a := range s.Servers {
			v.checkAddress(fmt.Sprintf("%s/servers/%d", path, j), a)
		}
		for j, route := range s.Once {
			method, pattern, ok := strings.Cut(route, " ")
			if !ok || method == "" || method != strings.ToUpper(method) || !strings.HasPrefix(pattern, "/") {
				v.addFault(fmt.Sprintf("%s/once/%d", path, j), "must be \"METHOD /path\", not %q", route)
			}
		}
		if s.Timeout <= 0 {
			v.addFault(path+"/timeout", "must be above 0")
		}
	}
}

// checkWorkspaces checks the workspaces and their applications.
func (v *validator) checkWorkspaces(d Document) {
	keys := map[string]string{}
	for i, w := range d.Workspaces {
		path := fmt.Sprintf("/workspaces/%d", i)
		v.checkName("workspace", path+"/name", string(w.Name))
		v.checkAtLeastOne(path+"/weight", w.Weight)
		v.checkAtLeastOne(path+"/limit", w.Limit)
		for j, a := range w.Applications {
			applicationPath := fmt.Sprintf("%s/applications/%d", path, j)
			v.checkName("application/"+string(w.Name), applicationPath+"/name", string(a.Name))
			v.checkKeyHash(keys, applicationPath+"/key", a.Key)
			v.checkApplication(d, a, applicationPath)
		}
	}
}

// checkKeyHash checks that key is a hexadecimal SHA-256 that no earlier
// application has. keys maps each key to the path of its latest use so far.
func (v *validator) checkKeyHash(keys map[string]string, path, key string) {
	if b, err := hex.DecodeString(key); err != nil || len(b) != 32 {
		v.addFault(path, "must be the SHA-256 of a key in hexadecimal")
		return
	}
	if first, isDuplicate := keys[key]; isDuplicate {
		v.addFault(path, "the key is already used at %s", first)
	}
	keys[key] = path
}

// checkApplication checks an application's priority, and checks that groups serve its
// models and that its services are declared.
func (v *validator) checkApplication(d Document, a Application, path string) {
	switch a.Priority {
	case PriorityHigh, PriorityNormal, PriorityLow:
	default:
		v.addFault(path+"/priority", "must be %q, %q or %q", PriorityHigh, PriorityNormal, PriorityLow)
	}
	for j, m := range a.Models {
		if !isModelServed(d, m) {
			v.addFault(fmt.Sprintf("%s/models/%d", path, j), "no group serves model %q", m)
		}
	}
	for j, s := range a.Services {
		if !isServiceDeclared(d, s) {
			v.addFault(fmt.Sprintf("%s/services/%d", path, j), "service %q is not declared", s)
		}
	}
}

// isModelServed reports whether a group of the document serves the model.
func isModelServed(d Document, m ring.Model) bool {
	for _, g := range d.Groups {
		if g.Model == m {
			return true
		}
	}
	return false
}

// isServiceDeclared reports whether the document declares the plain service, a
// service without models.
func isServiceDeclared(d Document, name ring.Service) bool {
	for _, s := range d.Services {
		if s.Name == name {
			return true
		}
	}
	return false
}
