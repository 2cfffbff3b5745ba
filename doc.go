// Package eelgrassring is the root of a serving system for language models
// that span several VMs. It relays requests from callers to backend servers and
// determines the outcome of every request.
//
// The package holds what all parts share: the identifier types, the numbered
// result codes, and the interfaces to outside systems. The implementations are
// in the packages below internal.
//
// Terms:
//
//   - VM: a virtual machine that runs a backend server.
//   - Group: a declared set of VMs that together hold one model replica.
//   - Member: a VM that is assigned to a group, with a rank within it.
//   - Backend server: the process on a VM that runs requests.
//   - Node: one process of this system; any node may be the controller.
//   - Epoch: the fencing number of one assignment of VMs to a group.
//   - Claim: the stored record that lets a non-idempotent request run at most
//     once.
//
// Invariants that every package keeps:
//
//   - A request goes to a group only while all members confirm its epoch.
//   - A VM is a member of at most one group.
//   - A result that says "not run" is returned only when no byte of the request
//     reached a backend server, or when the backend server refused it.
package eelgrassring
