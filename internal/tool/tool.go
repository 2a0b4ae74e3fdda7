// Package tool is the command line of quincegapctl.
package tool

import (
	"errors"
	"fmt"
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
	Fine     = 0
	Findings = 1 // something is wrong with a file, or differs
	Usage    = 2 // something is wrong with the command line
)

// errFindings ends a command whose findings have been printed.
var errFindings = errors.New("findings")

// failure is an error that is no wrong usage.
type failure struct{ error }

func (f failure) Unwrap() error { return f.error }

// Run runs a command line and returns its exit code.
func Run(args []string, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:           "quincegapctl",
		Short:         "Write and check the configuration of quincegap's sidecars",
		Long:          "quincegapctl writes a configuration file for each application from one apps.toml,\nchecks files before a sidecar sees them, and keeps track of edits by hand.\n\nExit codes: 0 fine, 1 findings, 2 wrong usage, 3 a rehearsal that is void.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c := &command{out: out, errs: errs, disk: atomicfile.Disk{}}
	root.AddCommand(c.init(), c.write(), c.check(), c.diff(), c.adopt(), c.sample(), c.reference(), c.demo(), c.members(), c.peers(), c.rehearse(), c.experiment(), c.fleet(), c.route(), c.store())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	var f failure
	switch {
	case err == nil:
		return Fine
	case errors.Is(err, errFindings):
		return Findings
	case errors.Is(err, errVoid):
		return Voided
	case errors.As(err, &f):
		fmt.Fprintln(errs, "quincegapctl: "+err.Error())
		return Findings
	}
	fmt.Fprintf(errs, "quincegapctl: %v\nSee quincegapctl --help.\n", err)
	return Usage
}

// command is what all commands share.
type command struct {
	out, errs io.Writer
	disk      atomicfile.FS
}

// report prints findings; it is nil where there are none.
func (c *command) report(found *finding.List) error {
	if found.Len() == 0 {
		return nil
	}
	if err := found.Print(c.out); err != nil {
		return failure{err}
	}
	return errFindings
}

// model reads apps.toml and checks it whole.
func (c *command) model(path string, found *finding.List) *apps.Model {
	text, err := product.Read(path, apps.MostBytes)
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
		product.Secrets(a.File, m.Name, found)
	}
}

// states compares the file of each application with what would be written. Files that cannot be opened go
// into unread, and what is wrong with those that can into found.
func states(m *apps.Model, dir string, unread, found *finding.List) []*apps.State {
	var all []*apps.State
	for _, a := range m.Apps {
		path := filepath.Join(dir, a.Name+".toml")
		text, err := product.Read(path, apps.MostFileBytes)
		if errors.Is(err, os.ErrNotExist) {
			text = nil
		} else if err != nil {
			unread.Add(path, finding.Pos{}, "%v", err)
			continue
		}
		all = append(all, apps.Compare(product.Schema, a, filepath.Base(m.Name), path, text, found))
	}
	return all
}
