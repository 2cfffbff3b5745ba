// Package proof holds the tests that check the system's invariants under
// failures. They run real nodes over the fakes of package fake, in virtual
// time, and check the recorded history. docs/PROOFS.md lists them by invariant
// and failure.
//
// Every checker has a test that disables the mechanism which it covers; there
// the checker must find a violation.
package proof
