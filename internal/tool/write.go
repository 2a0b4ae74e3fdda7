package tool

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"quincegap/internal/config/apps"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/files/atomicfile"
	"quincegap/internal/product"
)

// writeOptions holds the flags of the command write.
type writeOptions struct {
	dir          string // folder of the derived files; empty for the folder of apps.toml
	keepEdits    bool   // whether to merge manual edits into the new files
	discardEdits bool   // whether to overwrite manual edits
}

// writeCommand returns the command write.
func (c *cli) writeCommand() *cobra.Command {
	var options writeOptions
	cmd := &cobra.Command{
		Use: "write [-o DIR] apps.toml", Short: "Write one file for each application", Args: cobra.ExactArgs(1),
		Long: "write makes NAME.toml for each application of apps.toml: the same bytes every time, each file whole\n" +
			"or not at all, and none where anything stands against one of them. Files that were edited by hand are\n" +
			"refused, with the edits.",
		RunE: func(_ *cobra.Command, args []string) error { return c.writeFiles(args[0], options) },
	}
	cmd.Flags().StringVarP(&options.dir, "out", "o", "", "folder to write into (that of apps.toml)")
	cmd.Flags().BoolVar(&options.keepEdits, "keep-edits", false, "keep edits by hand, where apps.toml has not changed the same keys")
	cmd.Flags().BoolVar(&options.discardEdits, "discard-edits", false, "throw edits by hand away, after printing them")
	cmd.MarkFlagsMutuallyExclusive("keep-edits", "discard-edits")
	return cmd
}

// writeFiles writes the derived files of all applications of an apps.toml. If there are findings, it prints them, writes no file and returns
// errFindings.
func (c *cli) writeFiles(source string, options writeOptions) error {
	dir := options.dir
	if dir == "" {
		dir = filepath.Dir(source)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return runError{err}
	}
	unlock, err := atomicfile.Lock(dir)
	if err != nil {
		return runError{err}
	}
	defer unlock()
	var found finding.List
	model := c.readModel(source, &found)
	if found.Len() > 0 {
		return c.report(&found)
	}
	var repairable finding.List // findings in derived files that go away when the files are generated again
	states := compareFiles(model, dir, &found, &repairable)
	for _, f := range repairable.All() {
		if options.discardEdits {
			c.out.printf("discarded: %s\n", f)
		} else {
			found.Add(f.File, finding.Pos{Line: f.Line, Col: f.Column}, "%s", f.Message)
		}
	}
	files := c.filesToWrite(states, options, &found)
	if found.Len() > 0 {
		err := c.report(&found)
		c.errOut.println("nothing was written; see write --keep-edits, write --discard-edits and adopt")
		return err
	}
	if len(files) == 0 {
		c.out.printf("%d files are up to date\n", len(states))
		return nil
	}
	if err := atomicfile.Write(c.disk, files...); err != nil {
		return runError{err}
	}
	for _, f := range files {
		c.out.printf("wrote %s\n", f.Path)
	}
	return nil
}

// filesToWrite returns the files whose content changes. It adds to found why other files may not be written.
func (c *cli) filesToWrite(states []*apps.FileState, options writeOptions, found *finding.List) []atomicfile.File {
	var files []atomicfile.File
	for _, state := range states {
		text, ok := c.textToWrite(state, options, found)
		if ok && string(text) != string(state.Text) {
			files = append(files, atomicfile.File{Path: state.Path, Content: text, Mode: fileMode})
		}
	}
	return files
}

// textToWrite returns the new text of one file. It returns false for a file that was not generated for this application, which is never
// overwritten. Manual edits that are neither merged nor discarded are added to found.
func (c *cli) textToWrite(state *apps.FileState, options writeOptions, found *finding.List) (text []byte, ok bool) {
	switch {
	case state.Provenance != nil && state.Provenance.App != state.App.Name:
		if options.discardEdits {
			found.Add(state.Path, fileStart, "was written for %s, so it is not thrown away; move it first", state.Provenance.App)
		}
		return nil, false
	case state.Text != nil && state.Provenance == nil && string(state.Text) != string(state.Generated):
		if options.discardEdits {
			found.Add(state.Path, fileStart, "was not written by quincegapctl, so it is not thrown away; move it first")
		}
		return nil, false
	case !state.Edited() || options.discardEdits:
		for _, e := range state.Edits {
			c.out.printf("discarded: %s\n", e)
		}
	case !options.keepEdits:
		reportEdits(state.Edits, found)
		if len(state.Edits) == 0 && !state.Provenance.Truncated {
			found.Add(state.Path, fileStart, "its comments or spacing were changed by hand, no key was")
		}
	case state.File != nil && len(state.Conflicts()) > 0:
		reportEdits(state.Conflicts(), found)
	case state.File != nil:
		merged := state.Merge()
		checkMerged(state.Path, merged, found)
		return merged, true
	}
	return state.Generated, true
}

// reportEdits adds a finding for each edit.
func reportEdits(edits []apps.Edit, found *finding.List) {
	for _, e := range edits {
		found.Add(e.Location.File, e.Location.Pos, "%s", e.Describe())
	}
}

// checkMerged adds the findings in a derived file with merged manual edits to found.
func checkMerged(path string, text []byte, found *finding.List) {
	var inMerged finding.List
	d := doc.ReadTOML(text, apps.MaxFileBytes, inMerged.ForFile(path))
	if d != nil {
		product.Decode(path, d, false, inMerged.Len() == 0, &inMerged)
	}
	for _, f := range inMerged.All() {
		found.Add(f.File, finding.Pos{Line: f.Line, Col: f.Column}, "with the edits kept: %s", f.Message)
	}
}
