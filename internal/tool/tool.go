// Package tool is the command line of quincegapctl.
package tool

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"quincegap/internal/config/apps"
	"quincegap/internal/config/finding"
	"quincegap/internal/files/atomicfile"
	"quincegap/internal/product"
)

// The exit codes.
const (
	ExitOK       = 0
	ExitFindings = 1 // something is wrong with a file, or differs
	ExitUsage    = 2 // something is wrong with the command line
)

// fileStart is where findings on a file as a whole point to.
var fileStart = finding.Pos{Line: 1, Col: 1}

// errFindings ends a command whose findings have been printed.
var errFindings = errors.New("findings")

// runError is an error that is no wrong usage.
type runError struct{ error }

func (f runError) Unwrap() error { return f.error }

// Run runs a command line and returns its exit code.
func Run(args []string, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:           "quincegapctl",
		Short:         "Write and check the configuration of quincegap's sidecars",
		Long:          "quincegapctl writes a configuration file for each application from one apps.toml,\nchecks files before a sidecar sees them, and keeps track of edits by hand.\n\nExit codes: 0 fine, 1 findings, 2 wrong usage, 3 a rehearsal that is void.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c := &command{out: printer{out}, errOut: printer{errs}, disk: atomicfile.Disk{}}
	root.AddCommand(c.initCommand(), c.writeCommand(), c.checkCommand(), c.diffCommand(), c.adoptCommand(), c.sampleCommand(), c.referenceCommand(), c.demoCommand(), c.membersCommand(), c.peersCommand(), c.rehearseCommand(), c.experimentCommand(), c.fleetCommand(), c.routeCommand(), c.storeCommand())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	var f runError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFindings):
		return ExitFindings
	case errors.Is(err, errVoid):
		return ExitVoid
	case errors.As(err, &f):
		c.errOut.println("quincegapctl: " + err.Error())
		return ExitFindings
	}
	c.errOut.printf("quincegapctl: %v\nSee quincegapctl --help.\n", err)
	return ExitUsage
}

// command is what all commands share.
type command struct {
	out, errOut printer
	disk        atomicfile.FS
}

// report prints findings; it is nil where there are none.
func (c *command) report(found *finding.List) error {
	if found.Len() == 0 {
		return nil
	}
	if err := found.Print(c.out); err != nil {
		return runError{err}
	}
	return errFindings
}

// readModel reads apps.toml and checks it whole.
func (c *command) readModel(path string, found *finding.List) *apps.Model {
	text, err := product.Read(path, apps.MaxBytes)
	if err != nil {
		found.Add(path, finding.Pos{}, "%v", err)
		return nil
	}
	m := apps.Read(product.Schema, path, text, found)
	if m != nil && found.Len() == 0 {
		checkModel(m, found)
	}
	return m
}

// checkModel checks the applications of apps.toml with one another and with the files that they name.
func checkModel(m *apps.Model, found *finding.List) {
	m.Check(found)
	for _, a := range m.Apps {
		product.CheckSecrets(a.File, m.FileName, found)
	}
}

// compareFiles compares the file of each application with what would be written. Files that cannot be opened go
// into unread, and what is wrong with those that can into found.
func compareFiles(m *apps.Model, dir string, unread, found *finding.List) []*apps.FileState {
	var all []*apps.FileState
	for _, a := range m.Apps {
		path := filepath.Join(dir, a.Name+".toml")
		text, err := product.Read(path, apps.MaxFileBytes)
		if errors.Is(err, os.ErrNotExist) {
			text = nil
		} else if err != nil {
			unread.Add(path, finding.Pos{}, "%v", err)
			continue
		}
		all = append(all, apps.Compare(product.Schema, a, filepath.Base(m.FileName), path, text, found))
	}
	return all
}
