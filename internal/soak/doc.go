// Package soak holds a test that runs the programs as separate processes on loopback
// and injects overlapping faults while callers send requests.
//
// The schedule of faults is a pure function of the seed. Promises are checked only by
// what callers and servers saw: the responses, the run counts of the service and the
// status that operators read. More seeds by hand:
//
//	go test ./internal/soak -timeout 60m -parallel 2 -soak.seeds 50 -soak.from 1
//
// With -artifacts the logs of all processes are kept.
//
// Every checker has a test that feeds it a record of a broken promise.
package soak
