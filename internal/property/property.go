// Package property runs the tests of a package that has property tests with the
// library rapid. It sets the flags of rapid so that every run generates the same
// cases and writes no files.
package property

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is the seed of all property tests.
const seed = 20261204

// Config bounds the generated cases. A zero field keeps the library's default.
type Config struct {
	// Checks is the number of cases, and Steps the length of a generated sequence
	// of actions.
	Checks int
	Steps  int
}

// Main runs the tests of m with the configuration and exits the process; call
// it from TestMain.
func Main(m *testing.M, c Config) {
	flag.Parse()
	setFlag("rapid.seed", strconv.Itoa(seed))
	setFlag("rapid.nofailfile", "true")
	if c.Checks > 0 {
		setFlag("rapid.checks", strconv.Itoa(c.Checks))
	}
	if c.Steps > 0 {
		setFlag("rapid.steps", strconv.Itoa(c.Steps))
	}
	os.Exit(m.Run())
}

// setFlag sets a flag of the test binary and panics if it does not exist.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // the test binary does not import rapid, which defines the flag
	}
}
