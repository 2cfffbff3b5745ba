// Package misuse holds tests in which crowds of clients misbehave towards the programs, run
// as separate processes on loopback, one crowd at a time.
//
// Terms:
//
//   - Crowd: connections of one shape, each opened again when it ends.
//   - Ordinary request: a sound one with a body of 128 KiB.
//
// What is checked does not depend on the speed of the machine: the process lives, its memory
// and descriptors stay under a bound, ordinary requests are answered, and no request was
// refused and run. The crowds and the bounds are not changed with the product.
//
// scripts/test.sh runs this package alone, after the others:
//
//	go test -count=1 ./internal/misuse
package misuse
