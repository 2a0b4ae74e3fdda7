package tool

import (
	"path/filepath"

	"github.com/spf13/cobra"

	"quincegap/internal/config/apps"
	"quincegap/internal/config/finding"
	"quincegap/internal/files/atomicfile"
	"quincegap/internal/product"
)

// adoptCommand returns the command adopt.
func (c *cli) adoptCommand() *cobra.Command {
	return &cobra.Command{
		Use: "adopt apps.toml FILE...", Short: "Take edits by hand back into apps.toml", Args: cobra.MinimumNArgs(2),
		Long: "adopt takes the keys that were edited by hand in written files back into apps.toml, whose comments and\n" +
			"other lines stay. All files are checked with the new apps.toml first; with a finding nothing changes.",
		RunE: func(_ *cobra.Command, args []string) error { return c.adoptEdits(args[0], args[1:]) },
	}
}

// adoptEdits merges the manual edits of derived files into apps.toml, and regenerates the files from the new apps.toml. If there
// are findings, it prints them, changes no file and returns errFindings.
func (c *cli) adoptEdits(source string, paths []string) error {
	unlock, err := atomicfile.Lock(filepath.Dir(source))
	if err != nil {
		return runError{err}
	}
	defer unlock()
	var found finding.List
	model := c.readModel(source, &found)
	if found.Len() > 0 {
		return c.report(&found)
	}
	states := readEditedFiles(model, paths, &found)
	text := model.Adopt(states, &found)
	if found.Len() > 0 {
		return c.report(&found)
	}
	after := apps.Read(product.Schema, model.FileName, text, &found)
	if after != nil {
		checkModel(after, &found)
	}
	if found.Len() > 0 {
		c.errOut.println("no file was changed, because apps.toml would have findings with these edits:")
		return c.report(&found)
	}
	files := adoptedFiles(model, after, text, states, &found)
	if len(files) == 0 {
		c.out.println("there is nothing to adopt")
		return nil
	}
	if err := atomicfile.Write(c.disk, files...); err != nil {
		return runError{err}
	}
	edits := 0
	for _, state := range states {
		for _, e := range state.Edits {
			c.out.printf("adopted: %s\n", e)
			edits++
		}
	}
	c.out.printf("%d edits are now in %s\n", edits, model.FileName)
	return nil
}

// readEditedFiles reads derived files and compares them with apps.toml. It adds to found which of them can't be read or were not derived
// from this apps.toml.
func readEditedFiles(model *apps.Model, paths []string, found *finding.List) []*apps.FileState {
	var states []*apps.FileState
	for _, path := range paths {
		text, err := product.Read(path, apps.MaxFileBytes)
		if err != nil {
			found.Add(path, finding.Pos{}, "%v", err)
			continue
		}
		provenance := apps.ParseProvenance(text)
		if provenance == nil {
			found.Add(path, fileStart, "was not written by quincegapctl (its header is missing)")
			continue
		}
		app := model.App(provenance.App)
		if app == nil {
			found.Add(path, fileStart, "was written for %s, which %s does not have", provenance.App, model.FileName)
			continue
		}
		states = append(states, apps.Compare(product.Schema, app, filepath.Base(model.FileName), path, text, found))
	}
	return states
}

// adoptedFiles returns the files to write: apps.toml if its text has changed, and the derived files whose content changes as a result.
func adoptedFiles(before, after *apps.Model, text []byte, states []*apps.FileState, found *finding.List) []atomicfile.File {
	var files []atomicfile.File
	add := func(path string, content []byte) {
		files = append(files, atomicfile.File{Path: path, Content: content, Mode: fileMode})
	}
	if string(text) != string(before.Doc.Text) {
		add(before.FileName, text)
	}
	for _, state := range states {
		updated := apps.Compare(product.Schema, after.App(state.App.Name), filepath.Base(before.FileName), state.Path, state.Text, found)
		if updated.File == nil || string(updated.Generated) == string(state.Text) {
			continue
		}
		if merged := updated.Merge(); string(merged) != string(state.Text) {
			add(state.Path, merged)
		}
	}
	return files
}
