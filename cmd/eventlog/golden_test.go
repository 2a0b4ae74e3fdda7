package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"quincegap/internal/golden"
)

// The help text, with the flags and their defaults, stays as it is in the golden file.
func TestGoldenUsage(t *testing.T) {
	t.Setenv("COLUMNS", "80") // the width at which kong wraps the text
	var flags options
	var usage strings.Builder
	parser, err := kong.New(&flags, kong.Name("eventlog"), kong.Writers(&usage, &usage), kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = parser.Parse([]string{"--help"}) // --help is handled before the check for required flags, whose error is ignored
	golden.Text(t, "usage.txt", []byte(usage.String()))
}
