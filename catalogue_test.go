package eelgrassring_test

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
)

// tableRows returns the table rows of a page that begin with a number.
func tableRows(t *testing.T, path string) []string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "| ") && strings.ContainsAny(line[2:3], "0123456789") {
			out = append(out, line)
		}
	}
	return out
}

func TestErrorTableMatchesCode(t *testing.T) {
	is := is.New(t)
	table := tableRows(t, "docs/ERRORS.md")
	codes := ring.Codes()
	is.Equal(len(table), len(codes))
	for i, c := range codes {
		want := fmt.Sprintf("| %d | %s | %d | %s | %t |", c.Code, c.Name, c.Status, c.Ran, c.Retry)
		is.True(strings.HasPrefix(table[i], want)) // docs/ERRORS.md row
	}
}

func TestEventCatalogueMatchesCode(t *testing.T) {
	is := is.New(t)
	table := tableRows(t, "docs/EVENTS.md")
	kinds := event.Kinds()
	is.Equal(len(table), len(kinds))
	for i, k := range kinds {
		want := fmt.Sprintf("| %d | %s | %s |", k.Number, k.Name, k.Level)
		is.True(strings.HasPrefix(table[i], want)) // docs/EVENTS.md row
	}
}

// ExampleCode_Info shows how a result code tells whether the request ran.
func ExampleCode_Info() {
	info := ring.CodeClaimUnavailable.Info()
	fmt.Println(info.Name, info.Status, info.Ran)
	// Output: claim_unavailable 503 no
}

// testNames returns the names of all tests in the repository.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	pattern := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range pattern.FindAllStringSubmatch(string(text), -1) {
			out[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestDocsNameExistingTests(t *testing.T) {
	names := testNames(t)
	for _, page := range []string{"docs/PROOFS.md", "docs/DESIGN.md", "docs/ROUTING.md", "KNOWN-RED.txt"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(string(text), -1) {
			if !names[name] {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		}
	}
}
