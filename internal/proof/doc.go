// Package proof holds the tests that check the system's invariants under
// failures. They run real nodes over the network, store and backend servers of
// package fake, in virtual time, and check the recorded history. docs/PROOFS.md
// lists them by invariant and failure.
//
// Every checker has a test (TestChecker...) that disables the mechanism that
// the checker covers; in that test the checker must find a violation.
package proof
