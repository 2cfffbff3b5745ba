// Package eelgrassring is the root of a serving system for language models
// that span several VMs. It stands between callers and backend servers and
// owns the outcome of every request.
//
// The package holds what all parts share: the identities, the numbered result
// codes, and the interfaces behind which outside systems stand. The
// implementations live in packages below internal.
//
// Terms:
//
//   - VM: a machine that runs one member of a model replica.
//   - Group: a declared set of VMs that together hold one model replica.
//   - Member: a VM in its place within a group.
//   - Backend server: the process on a VM that answers requests.
//   - Node: one process of this system; any node may be the controller.
//   - Epoch: the fencing number of one assignment of VMs to a group.
//   - Claim: the record by which a non-idempotent request runs at most once.
//
// Invariants that every package keeps:
//
//   - A request goes to a group only while all members confirm its epoch.
//   - A VM is a member of at most one group.
//   - A result that says "not run" is given only when no byte of the request
//     reached a backend server, or when the backend server refused it.
package eelgrassring
