package experiment

import (
	"embed"
	"fmt"
	"io/fs"
)

//go:embed experiments/*.json
var scenarioFiles embed.FS

// Scenarios returns the experiments of the repository, by file name.
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

// ByName returns an experiment of the repository.
func ByName(name string) (Scenario, error) {
	shapes, err := Scenarios()
	if err != nil {
		return Scenario{}, err
	}
	for _, s := range shapes {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("no experiment %q", name)
}
