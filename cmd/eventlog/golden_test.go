package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"quincegap/internal/golden"
)

// The flags and their defaults.
func TestGoldenUsage(t *testing.T) {
	t.Setenv("COLUMNS", "80") // the width that kong writes for
	var flags options
	var usage strings.Builder
	parser, err := kong.New(&flags, kong.Name("eventlog"), kong.Writers(&usage, &usage), kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = parser.Parse([]string{"--help"}) // help does not check for missing flags
	golden.Text(t, "usage.txt", []byte(usage.String()))
}
