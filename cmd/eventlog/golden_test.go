package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"quincegap/internal/golden"
)

// The flags, and what they are if they are left out.
func TestGoldenUsage(t *testing.T) {
	t.Setenv("COLUMNS", "80") // the width that kong writes for
	var l options
	var usage strings.Builder
	k, err := kong.New(&l, kong.Name("eventlog"), kong.Writers(&usage, &usage), kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = k.Parse([]string{"--help"}) // what is missing is not asked for
	golden.Text(t, "usage.txt", []byte(usage.String()))
}
