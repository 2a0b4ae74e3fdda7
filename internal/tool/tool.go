package tool

import (
	"encoding/json"
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

// The exit codes. ExitVoid is that of rehearsals.
const (
	ExitOK       = 0 // success, also after --help
	ExitFindings = 1 // a file has findings or differs, or the command failed
	ExitUsage    = 2 // the command line is wrong
)

// fileStart is the position of findings on a file as a whole.
var fileStart = finding.Pos{Line: 1, Col: 1}

// errFindings is returned by a command that has printed its findings.
var errFindings = errors.New("findings")

// runError is the failure of a command that was used correctly. All other errors except errFindings and errVoid mean wrong usage.
type runError struct{ error }

func (r runError) Unwrap() error { return r.error }

// Run runs a command line, given without the program's name, and returns its exit code. The command's output goes to out, messages on
// wrong usage and failures to errs.
func Run(args []string, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:   "quincegapctl",
		Short: "Write and check the configuration of quincegap's sidecars",
		Long: "quincegapctl writes a configuration file for each application from one apps.toml,\n" +
			"checks files before a sidecar sees them, and keeps track of edits by hand.\n\n" +
			"Exit codes: 0 fine, 1 findings, 2 wrong usage, 3 a rehearsal that is void.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c := &command{out: printer{out}, errOut: printer{errs}, disk: atomicfile.Disk{}}
	root.AddCommand(
		c.initCommand(), c.writeCommand(), c.checkCommand(), c.diffCommand(), c.adoptCommand(), c.sampleCommand(), c.referenceCommand(),
		c.demoCommand(), c.membersCommand(), c.peersCommand(), c.routeCommand(), c.storeCommand(),
		c.rehearseCommand(), c.experimentCommand(), c.fleetCommand(),
	)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	var failed runError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFindings):
		return ExitFindings
	case errors.Is(err, errVoid):
		return ExitVoid
	case errors.As(err, &failed):
		c.errOut.println("quincegapctl: " + err.Error())
		return ExitFindings
	}
	c.errOut.printf("quincegapctl: %v\nSee quincegapctl --help.\n", err)
	return ExitUsage
}

// command has what all commands share: where they print, and the disk that they write to.
type command struct {
	out, errOut printer
	disk        atomicfile.FS // tests replace it, for example by a full disk
}

// printJSON prints a value as one JSON object, for other programs.
func (c *command) printJSON(value any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// report prints findings and returns errFindings; it returns nil if there are none.
func (c *command) report(found *finding.List) error {
	if found.Len() == 0 {
		return nil
	}
	if err := found.Print(c.out); err != nil {
		return runError{err}
	}
	return errFindings
}

// readModel reads apps.toml and checks it as a whole. It returns nil if the file can't be read.
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

// checkModel checks the applications of apps.toml against one another, and the files that they name.
func checkModel(m *apps.Model, found *finding.List) {
	m.Check(found)
	for _, a := range m.Apps {
		product.CheckSecrets(a.File, m.FileName, found)
	}
}

// compareFiles compares the file of each application with the one that would be written. It adds the files that can't be read to unread,
// and findings in the others to found.
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
