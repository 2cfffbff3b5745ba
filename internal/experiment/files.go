package experiment

import (
	"embed"
	"fmt"
	"io/fs"
)

//go:embed experiments/*.json
var files embed.FS

// Shapes returns the experiments of the repository, by file name.
func Shapes() ([]Shape, error) {
	names, err := fs.Glob(files, "experiments/*.json")
	if err != nil {
		return nil, err
	}
	var out []Shape
	for _, name := range names {
		text, err := files.ReadFile(name)
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
func ByName(name string) (Shape, error) {
	shapes, err := Shapes()
	if err != nil {
		return Shape{}, err
	}
	for _, s := range shapes {
		if s.Name == name {
			return s, nil
		}
	}
	return Shape{}, fmt.Errorf("no experiment %q", name)
}
