package main

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/golden"
)

func TestPrintedConfiguration(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(deployment().Print(&out))
	golden.Check(t, "cooperative.json", out.Bytes())
}
