// Package declare is the library with which operators write a deployment as a
// small Go program. The program prints the configuration as JSON with
// comments, which is then reviewed, kept in version control and applied.
//
// Invariant: the same program prints the same bytes, whatever the order of
// its declarations.
package declare

import (
	"fmt"
	"io"
	"os"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// The parts of a deployment.
type (
	// VM declares a machine for backend servers.
	VM = deployment.VM
	// Model declares a base model.
	Model = deployment.Model
	// Adapter declares an adapter of a model.
	Adapter = deployment.Adapter
	// Group declares one replica over several VMs.
	Group = deployment.Group
	// Workspace declares a customer.
	Workspace = deployment.Workspace
	// Application declares a program of a workspace.
	Application = deployment.Application
	// Service declares a plain service.
	Service = deployment.Service
	// Objective weighs group downtime against stranded accelerators.
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
	// ServiceName names a plain service.
	ServiceName = ring.Service
	// ZoneName names an availability zone.
	ZoneName = ring.Zone
	// DomainName names a fabric domain.
	DomainName = ring.Domain
)

// Whether a backend server refuses orders with an old epoch.
const (
	FencingChecked = deployment.FencingChecked
	FencingIgnored = deployment.FencingIgnored
)

// The priorities of applications.
const (
	PriorityHigh   = deployment.PriorityHigh
	PriorityNormal = deployment.PriorityNormal
	PriorityLow    = deployment.PriorityLow
)

// Deployment collects declarations. Create one with New.
type Deployment struct {
	document deployment.Document
}

// New starts a deployment with the given name and objective.
func New(name string, objective Objective) *Deployment {
	return &Deployment{document: deployment.Document{Name: name, Objective: objective}}
}

// VM adds machines.
func (d *Deployment) VM(vms ...VM) {
	d.document.VMs = append(d.document.VMs, vms...)
}

// Model adds models.
func (d *Deployment) Model(models ...Model) {
	d.document.Models = append(d.document.Models, models...)
}

// Group adds groups.
func (d *Deployment) Group(groups ...Group) {
	d.document.Groups = append(d.document.Groups, groups...)
}

// Workspace adds workspaces.
func (d *Deployment) Workspace(workspaces ...Workspace) {
	d.document.Workspaces = append(d.document.Workspaces, workspaces...)
}

// Service adds plain services.
func (d *Deployment) Service(services ...Service) {
	d.document.Services = append(d.document.Services, services...)
}

// Timeout turns a span into the form of a configuration.
func Timeout(span time.Duration) deployment.Duration {
	return deployment.Duration(span)
}

// HashKey returns the SHA-256 of a bearer key, the only form in which a key
// enters a configuration.
func HashKey(key string) string {
	return deployment.HashKey(key)
}

// Print validates the deployment and writes it. It writes nothing and returns
// all faults when the deployment is not valid.
func (d *Deployment) Print(w io.Writer) error {
	if _, err := deployment.New(d.document); err != nil {
		return fmt.Errorf("deployment %s is not valid:\n%w", d.document.Name, err)
	}
	return d.document.Print(w)
}

// Main prints the deployment to standard output and ends the program with
// exit code 1 when it is not valid.
func (d *Deployment) Main() {
	if err := d.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
