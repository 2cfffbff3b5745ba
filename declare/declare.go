// Package declare lets operators declare a deployment in a small Go program. The
// program prints the configuration as JSON with comments, which is then reviewed,
// kept in version control and applied.
//
// Invariant: equal declarations print equal bytes, in whatever order they are
// made.
package declare

import (
	"fmt"
	"io"
	"os"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// The parts of a deployment that an operator declares.
type (
	// VM declares a VM that runs a backend server.
	VM = deployment.VM
	// Model declares a base model.
	Model = deployment.Model
	// Adapter declares an adapter of a model.
	Adapter = deployment.Adapter
	// Group declares one replica over several VMs.
	Group = deployment.Group
	// Workspace declares a customer.
	Workspace = deployment.Workspace
	// Application declares a client program of a workspace.
	Application = deployment.Application
	// Service declares a plain service, which runs no models.
	Service = deployment.Service
	// Objective holds the weights of group downtime and of stranded accelerators.
	Objective = deployment.Objective
)

// The names that declarations refer to.
type (
	// VMName names a VM.
	VMName = ring.VM
	// GroupName names a group.
	GroupName = ring.Group
	// WorkspaceName names a workspace.
	WorkspaceName = ring.Workspace
	// ModelName names a model.
	ModelName = ring.Model
	// AdapterName names an adapter.
	AdapterName = ring.Adapter
	// ServiceName names a plain service (one without models).
	ServiceName = ring.Service
	// ZoneName names an availability zone.
	ZoneName = ring.Zone
	// DomainName names a fabric domain.
	DomainName = ring.Domain
)

// The values of VM.Fencing: whether a backend server refuses orders with a stale
// epoch.
const (
	FencingChecked = deployment.FencingChecked
	FencingIgnored = deployment.FencingIgnored
)

// The priorities of applications, from first to last served.
const (
	PriorityHigh   = deployment.PriorityHigh
	PriorityNormal = deployment.PriorityNormal
	PriorityLow    = deployment.PriorityLow
)

// Deployment collects declarations. Create one with New.
type Deployment struct {
	document deployment.Document
}

// New returns an empty deployment with the given name and objective.
func New(name string, objective Objective) *Deployment {
	return &Deployment{document: deployment.Document{Name: name, Objective: objective}}
}

// VM adds VMs to the deployment.
func (d *Deployment) VM(vms ...VM) {
	d.document.VMs = append(d.document.VMs, vms...)
}

// Model adds models to the deployment.
func (d *Deployment) Model(models ...Model) {
	d.document.Models = append(d.document.Models, models...)
}

// Group adds groups to the deployment.
func (d *Deployment) Group(groups ...Group) {
	d.document.Groups = append(d.document.Groups, groups...)
}

// Workspace adds workspaces to the deployment.
func (d *Deployment) Workspace(workspaces ...Workspace) {
	d.document.Workspaces = append(d.document.Workspaces, workspaces...)
}

// Service adds plain services (those without models) to the deployment.
func (d *Deployment) Service(services ...Service) {
	d.document.Services = append(d.document.Services, services...)
}

// Timeout converts a time.Duration to the type of Service.Timeout.
func Timeout(timeout time.Duration) deployment.Duration {
	return deployment.Duration(timeout)
}

// HashKey returns the SHA-256 of a bearer key in hexadecimal. A configuration
// never holds the key itself.
func HashKey(key string) string {
	return deployment.HashKey(key)
}

// Print validates the deployment and writes it as JSON with comments. If the
// deployment is invalid, it writes nothing and returns all faults.
func (d *Deployment) Print(w io.Writer) error {
	if _, err := deployment.New(d.document); err != nil {
		return fmt.Errorf("invalid deployment %s:\n%w", d.document.Name, err)
	}
	return d.document.Print(w)
}

// Main prints the deployment to standard output. If the deployment is invalid, it
// exits with code 1.
func (d *Deployment) Main() {
	if err := d.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
