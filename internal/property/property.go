// Package property runs the tests of a package with fixed settings for its
// property tests, so that every run draws the same and writes no file.
package property

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is the seed of all property tests.
const seed = 20261204

// Config says how much is drawn; zero keeps the library's default.
type Config struct {
	// Checks is how many cases are drawn, Steps how long a drawn sequence is.
	Checks int
	Steps  int
}

// Main is the body of a TestMain. It does not return.
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

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // The package under test imports no property tests.
	}
}
