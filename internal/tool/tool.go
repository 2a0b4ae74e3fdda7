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

// The exit codes of all commands. Rehearsals also have ExitVoid.
const (
	ExitOK       = 0 // success, also after --help
	ExitFindings = 1 // a file has findings or differs from the expected one, or the command failed
	ExitUsage    = 2 // the command line is wrong
)

// fileStart is the position of findings about a whole file.
var fileStart = finding.Pos{Line: 1, Col: 1}

// errFindings is the error of a command that has printed its findings. Run turns it into ExitFindings and prints nothing more.
var errFindings = errors.New("findings")

// runError is the failure of a command that was used correctly. Any other error except errFindings and errVoid means wrong usage.
type runError struct{ error }

func (r runError) Unwrap() error { return r.error }

// Run runs a command line, given without the program's name, and returns its exit code. It writes the command's output to out, and progress
// and error messages to errs.
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
	tool := &cli{out: printer{out}, errOut: printer{errs}, disk: atomicfile.Disk{}}
	root.AddCommand(
		tool.initCommand(), tool.writeCommand(), tool.checkCommand(), tool.diffCommand(), tool.adoptCommand(), tool.sampleCommand(),
		tool.referenceCommand(),
		tool.demoCommand(), tool.membersCommand(), tool.peersCommand(), tool.routeCommand(), tool.storeCommand(),
		tool.rehearseCommand(), tool.experimentCommand(), tool.fleetCommand(),
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
		tool.errOut.println("quincegapctl: " + err.Error())
		return ExitFindings
	}
	tool.errOut.printf("quincegapctl: %v\nSee quincegapctl --help.\n", err)
	return ExitUsage
}

// cli holds what all commands share: the writers for output and messages, and the file system that they write to.
type cli struct {
	out, errOut printer
	disk        atomicfile.FS // replaced in tests, for example by a full disk
}

// printJSON prints a value as one indented JSON object, for other programs.
func (c *cli) printJSON(value any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// report prints findings and returns errFindings, or nil if there are none.
func (c *cli) report(found *finding.List) error {
	if found.Len() == 0 {
		return nil
	}
	if err := found.Print(c.out); err != nil {
		return runError{err}
	}
	return errFindings
}

// readModel reads apps.toml, checks it and adds its findings to found. It returns nil if the file can't be read.
func (c *cli) readModel(path string, found *finding.List) *apps.Model {
	text, err := product.Read(path, apps.MaxBytes)
	if err != nil {
		found.Add(path, finding.Pos{}, "%v", err)
		return nil
	}
	model := apps.Read(product.Schema, path, text, found)
	if model != nil && found.Len() == 0 {
		checkModel(model, found)
	}
	return model
}

// checkModel checks the applications of apps.toml against one another, and the secret files that they name.
func checkModel(model *apps.Model, found *finding.List) {
	model.Check(found)
	for _, a := range model.Apps {
		product.CheckSecrets(a.File, model.FileName, found)
	}
}

// compareFiles compares the derived file of each application with the content that the command write would generate; a missing file is
// compared as one without text. It adds findings about files that can't be read to unread, and those in the contents of files to found.
func compareFiles(model *apps.Model, dir string, unread, found *finding.List) []*apps.FileState {
	var all []*apps.FileState
	for _, a := range model.Apps {
		path := filepath.Join(dir, a.Name+".toml")
		text, err := product.Read(path, apps.MaxFileBytes)
		if errors.Is(err, os.ErrNotExist) {
			text = nil
		} else if err != nil {
			unread.Add(path, finding.Pos{}, "%v", err)
			continue
		}
		all = append(all, apps.Compare(product.Schema, a, filepath.Base(model.FileName), path, text, found))
	}
	return all
}
