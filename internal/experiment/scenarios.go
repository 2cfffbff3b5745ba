package experiment

import (
	"embed"
	"fmt"
	"io/fs"
)

//go:embed experiments/*.json
var scenarioFiles embed.FS

// Scenarios returns the embedded scenarios, sorted by file name.
func Scenarios() ([]Scenario, error) {
	names, err := fs.Glob(scenarioFiles, "experiments/*.json")
	if err != nil {
		return nil, err
	}
	var out []Scenario
	for _, name := range names {
		text, err := scenarioFiles.ReadFile(name)
		if err != nil {
			return nil, err
		}
		s, err := Parse(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, s)
	}
	return out, nil
}

// ByName returns the embedded scenario with the given name.
func ByName(name string) (Scenario, error) {
	scenarios, err := Scenarios()
	if err != nil {
		return Scenario{}, err
	}
	for _, s := range scenarios {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("unknown scenario %q", name)
}
