// Package proof holds the tests that show the invariants under failure. They
// run real nodes over the fakes of package fake, in virtual time, and check
// the recorded history. docs/PROOFS.md lists them by invariant and failure.
//
// Every checker has a test in which the mechanism behind it is switched off;
// there the checker must find a violation.
package proof
