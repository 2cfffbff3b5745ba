// Package golden compares test output with files of expected output (golden
// files) in testdata. The test flag -update writes the files instead.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write golden files instead of comparing")

// Check fails the test if got differs from the content of testdata/name. With
// -update it writes got to that file instead.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != string(got) {
		t.Fatalf("%s differs; if the change is intended, run with -update\n--- want\n%s\n--- got\n%s", path, want, got)
	}
}
