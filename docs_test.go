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

// tableRows returns the table rows of a Markdown file that begin with a number.
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

// Every result code must have its row in docs/ERRORS.md, in the order of the codes.
func TestErrorTableMatchesCode(t *testing.T) {
	is := is.New(t)
	table := tableRows(t, "docs/ERRORS.md")
	codes := ring.Codes()
	is.Equal(len(table), len(codes))
	for i, c := range codes {
		want := fmt.Sprintf("| %d | %s | %d | %s | %t |", c.Code, c.Name, c.Status, c.Ran, c.Retry)
		is.True(strings.HasPrefix(table[i], want)) // row of docs/ERRORS.md in the order of the codes
	}
}

// Every event must have its row in docs/EVENTS.md, in the order of the numbers.
func TestEventCatalogueMatchesCode(t *testing.T) {
	is := is.New(t)
	table := tableRows(t, "docs/EVENTS.md")
	kinds := event.Kinds()
	is.Equal(len(table), len(kinds))
	for i, k := range kinds {
		want := fmt.Sprintf("| %d | %s | %s |", k.Number, k.Name, k.Level)
		is.True(strings.HasPrefix(table[i], want)) // row of docs/EVENTS.md in the order of the event kinds
	}
}

// ExampleCode_Info looks up whether a request that ended with a code was run.
func ExampleCode_Info() {
	info := ring.CodeClaimUnavailable.Info()
	fmt.Println(info.Name, info.Status, info.Ran)
	// Output: claim_unavailable 503 no
}

// matchesInGoFiles returns what the first group of the pattern matches in the
// repository's test files, or in its other Go files if areTests is false.
func matchesInGoFiles(t *testing.T, pattern string, areTests bool) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	compiled := regexp.MustCompile(pattern)
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") != areTests {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range compiled.FindAllStringSubmatch(string(text), -1) {
			out[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// A test that a page names must exist, also after a test is renamed.
func TestDocsNameExistingTests(t *testing.T) {
	names := matchesInGoFiles(t, `(?m)^func (Test\w+)\(`, true)
	for _, page := range []string{"docs/PROOFS.md", "docs/DESIGN.md", "docs/ROUTING.md", "docs/PLATFORM.md", "docs/OPERATIONS.md", "CONTRIBUTING.md", "KNOWN-RED.txt"} {
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

// A rename in the code must also be made in the pages: every Go identifier and
// every path that a page quotes must exist.
func TestDocsNameExistingCode(t *testing.T) {
	words := matchesInGoFiles(t, `(\w+)`, false)
	span := regexp.MustCompile("`[^`\n]+`")
	path := regexp.MustCompile(`^(internal|cmd|platform|scripts|docs|deploy|declare|examples)/[\w./-]*$`)
	identifier := regexp.MustCompile(`^([A-Za-z]\w*\.)*([A-Z]\w*[a-z]\w*|[a-z]+[A-Z]\w*)$`)
	for _, page := range []string{"docs/PROOFS.md", "docs/PLATFORM.md", "docs/DESIGN.md", "docs/ROUTING.md", "docs/CAPACITY.md", "docs/GLOSSARY.md", "CONTRIBUTING.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, quoted := range span.FindAllString(string(text), -1) {
			name := strings.Trim(quoted, "`")
			switch {
			case path.MatchString(name):
				if _, err := os.Stat(name); err != nil {
					t.Errorf("%s names %s, which does not exist", page, name)
				}
			case strings.HasPrefix(name, "Test"):
				// TestDocsNameExistingTests checks these.
			case identifier.MatchString(name):
				for _, part := range strings.Split(name, ".") {
					if !words[part] {
						t.Errorf("%s names %s, but %s is not in the code", page, name, part)
					}
				}
			}
		}
	}
}
