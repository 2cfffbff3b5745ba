package main

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/golden"
)

func TestPrintedConfigurations(t *testing.T) {
	is := is.New(t)
	var large, small bytes.Buffer
	is.NoErr(full().Print(&large))
	is.NoErr(demo().Print(&small))
	golden.Check(t, "ferrando.json", large.Bytes())
	golden.Check(t, "demo.json", small.Bytes())
}
