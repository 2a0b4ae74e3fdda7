package tool

import (
	_ "embed"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"quincegap/internal/config/apps"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
	"quincegap/internal/files/atomicfile"
	"quincegap/internal/product"
)

//go:embed apps.toml
var initialApps []byte

// fileMode of new files: others may read them, for they hold no secrets, only the paths of some.
const fileMode = fs.FileMode(0o644)

func (c *command) initCommand() *cobra.Command {
	return &cobra.Command{
		Use: "init DIR", Short: "Write a commented apps.toml for two applications", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			path := filepath.Join(args[0], "apps.toml")
			if err := os.MkdirAll(args[0], 0o755); err != nil {
				return runError{err}
			}
			unlock, err := atomicfile.Lock(args[0])
			if err != nil {
				return runError{err}
			}
			defer unlock()
			if _, err := os.Lstat(path); err == nil {
				return runError{fmt.Errorf("%s is there already, and stays as it is", path)}
			}
			if err := atomicfile.Write(c.disk, atomicfile.File{Path: path, Content: initialApps, Mode: fileMode}); err != nil {
				return runError{err}
			}
			fmt.Fprintf(c.out, "wrote %s\n", path)
			return nil
		},
	}
}

func (c *command) writeCommand() *cobra.Command {
	var dir string
	var keep, discard bool
	cmd := &cobra.Command{
		Use: "write [-o DIR] apps.toml", Short: "Write one file for each application", Args: cobra.ExactArgs(1),
		Long: "write makes NAME.toml for each application of apps.toml: the same bytes every time, each file whole\n" +
			"or not at all, and none where anything stands against one of them. Files that were edited by hand are\n" +
			"refused, with the edits.",
		RunE: func(_ *cobra.Command, args []string) error {
			if dir == "" {
				dir = filepath.Dir(args[0])
			} else if err := os.MkdirAll(dir, 0o755); err != nil {
				return runError{err}
			}
			unlock, err := atomicfile.Lock(dir)
			if err != nil {
				return runError{err}
			}
			defer unlock()
			var found finding.List
			m := c.readModel(args[0], &found)
			if found.Len() > 0 {
				return c.report(&found)
			}
			var spoilt finding.List // what writing anew would mend
			all := compareFiles(m, dir, &found, &spoilt)
			for _, f := range spoilt.All() {
				if discard {
					fmt.Fprintf(c.out, "discarded: %s\n", f)
				} else {
					found.Add(f.File, finding.Pos{Line: f.Line, Col: f.Column}, "%s", f.Message)
				}
			}
			files, err := c.filesToWrite(all, keep, discard, &found)
			if err != nil {
				return err
			}
			if len(files) == 0 {
				fmt.Fprintf(c.out, "%d files are up to date\n", len(all))
				return nil
			}
			if err := atomicfile.Write(c.disk, files...); err != nil {
				return runError{err}
			}
			for _, f := range files {
				fmt.Fprintf(c.out, "wrote %s\n", f.Path)
			}
			return nil
		},
	}
	cmd.Flags().StringVarP(&dir, "out", "o", "", "folder to write into (that of apps.toml)")
	cmd.Flags().BoolVar(&keep, "keep-edits", false, "keep edits by hand, where apps.toml has not changed the same keys")
	cmd.Flags().BoolVar(&discard, "discard-edits", false, "throw edits by hand away, after printing them")
	cmd.MarkFlagsMutuallyExclusive("keep-edits", "discard-edits")
	return cmd
}

// filesToWrite tells what to write. It prints what stands against it, for all files.
func (c *command) filesToWrite(all []*apps.FileState, keep, discard bool, found *finding.List) ([]atomicfile.File, error) {
	var files []atomicfile.File
	for _, st := range all {
		text := st.Generated
		switch {
		case st.Provenance != nil && st.Provenance.App != st.App.Name:
			if discard {
				found.Add(st.Path, finding.Pos{Line: 1, Col: 1}, "was written for %s, so it is not thrown away; move it first", st.Provenance.App)
			}
			continue
		case st.Text != nil && st.Provenance == nil && string(st.Text) != string(st.Generated):
			if discard {
				found.Add(st.Path, finding.Pos{Line: 1, Col: 1}, "was not written by quincegapctl, so it is not thrown away; move it first")
			}
			continue
		case !st.Edited() || discard:
			for _, e := range st.Edits {
				fmt.Fprintf(c.out, "discarded: %s\n", e)
			}
		case !keep:
			for _, e := range st.Edits {
				found.Add(e.Location.File, e.Location.Pos, "%s", e.Describe())
			}
			if len(st.Edits) == 0 && !st.Provenance.Truncated {
				found.Add(st.Path, finding.Pos{Line: 1, Col: 1}, "its comments or spacing were changed by hand, no key was")
			}
		case st.File != nil:
			for _, e := range st.Conflicts() {
				found.Add(e.Location.File, e.Location.Pos, "%s", e.Describe())
			}
			if len(st.Conflicts()) == 0 {
				text = st.Merge()
				c.checkMerged(st.Path, text, found)
			}
		}
		if string(text) != string(st.Text) {
			files = append(files, atomicfile.File{Path: st.Path, Content: text, Mode: fileMode})
		}
	}
	if found.Len() > 0 {
		err := c.report(found)
		fmt.Fprintln(c.errOut, "nothing was written; see write --keep-edits, write --discard-edits and adopt")
		return nil, err
	}
	return files, nil
}

// checkMerged checks a text that was merged.
func (c *command) checkMerged(path string, text []byte, found *finding.List) {
	var own finding.List
	d := doc.ReadTOML(text, apps.MaxFileBytes, own.ForFile(path))
	if d != nil {
		product.Decode(path, d, false, own.Len() == 0, &own)
	}
	for _, f := range own.All() {
		found.Add(f.File, finding.Pos{Line: f.Line, Col: f.Column}, "with the edits kept: %s", f.Message)
	}
}

func (c *command) diffCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use: "diff [-o DIR] apps.toml", Short: "Show what write would change, and what was edited by hand", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if dir == "" {
				dir = filepath.Dir(args[0])
			}
			var found finding.List
			m := c.readModel(args[0], &found)
			if found.Len() > 0 {
				return c.report(&found)
			}
			all := compareFiles(m, dir, &found, &found)
			differs := false
			for _, st := range all {
				for _, e := range st.Edits {
					fmt.Fprintf(c.out, "edited by hand: %s\n", e)
					differs = true
				}
				switch {
				case st.Text == nil:
					fmt.Fprintf(c.out, "new: %s\n", st.Path)
					differs = true
				case string(st.Text) != string(st.Generated) && (st.Provenance != nil):
					differs = true
					next := st.Generated
					if st.Edited() && st.File != nil && len(st.Conflicts()) == 0 {
						next = st.Merge()
						if len(st.Edits) == 0 {
							fmt.Fprintf(c.out, "edited by hand: %s: comments or spacing only\n", st.Path)
						}
					}
					fmt.Fprint(c.out, unified(st.Path, st.Text, next))
				}
			}
			if err := c.report(&found); err != nil {
				return err
			}
			if differs {
				return errFindings
			}
			return nil
		},
	}
	cmd.Flags().StringVarP(&dir, "out", "o", "", "folder of the written files (that of apps.toml)")
	return cmd
}

func (c *command) adoptCommand() *cobra.Command {
	return &cobra.Command{
		Use: "adopt apps.toml FILE...", Short: "Take edits by hand back into apps.toml", Args: cobra.MinimumNArgs(2),
		Long: "adopt takes the keys that were edited by hand in written files back into apps.toml, whose comments and\n" +
			"other lines stay. All files are checked with the new apps.toml first; with a finding nothing changes.",
		RunE: func(_ *cobra.Command, args []string) error {
			unlock, err := atomicfile.Lock(filepath.Dir(args[0]))
			if err != nil {
				return runError{err}
			}
			defer unlock()
			var found finding.List
			m := c.readModel(args[0], &found)
			if found.Len() > 0 {
				return c.report(&found)
			}
			var taken []*apps.FileState
			for _, path := range args[1:] {
				text, err := product.Read(path, apps.MaxFileBytes)
				if err != nil {
					found.Add(path, finding.Pos{}, "%v", err)
					continue
				}
				w := apps.ParseProvenance(text)
				if w == nil {
					found.Add(path, finding.Pos{Line: 1, Col: 1}, "was not written by quincegapctl (its header is missing)")
					continue
				}
				a := m.App(w.App)
				if a == nil {
					found.Add(path, finding.Pos{Line: 1, Col: 1}, "was written for %s, which %s does not have", w.App, m.FileName)
					continue
				}
				taken = append(taken, apps.Compare(product.Schema, a, filepath.Base(m.FileName), path, text, &found))
			}
			text := m.Adopt(taken, &found)
			if found.Len() > 0 {
				return c.report(&found)
			}
			after := apps.Read(product.Schema, m.FileName, text, &found)
			if after != nil {
				checkModel(after, &found)
			}
			if found.Len() > 0 {
				fmt.Fprintln(c.errOut, "with these edits apps.toml would not be sound, so nothing was changed:")
				return c.report(&found)
			}
			var files []atomicfile.File
			edits := 0
			if string(text) != string(m.Doc.Text) {
				files = append(files, atomicfile.File{Path: m.FileName, Content: text, Mode: fileMode})
			}
			for _, st := range taken {
				edits += len(st.Edits)
				again := apps.Compare(product.Schema, after.App(st.App.Name), filepath.Base(m.FileName), st.Path, st.Text, &found)
				if again.File == nil || string(again.Generated) == string(st.Text) {
					continue
				}
				if merged := again.Merge(); string(merged) != string(st.Text) {
					files = append(files, atomicfile.File{Path: st.Path, Content: merged, Mode: fileMode})
				}
			}
			if len(files) == 0 {
				fmt.Fprintln(c.out, "there is nothing to adopt")
				return nil
			}
			if err := atomicfile.Write(c.disk, files...); err != nil {
				return runError{err}
			}
			for _, st := range taken {
				for _, e := range st.Edits {
					fmt.Fprintf(c.out, "adopted: %s\n", e)
				}
			}
			fmt.Fprintf(c.out, "%d edits are now in %s\n", edits, m.FileName)
			return nil
		},
	}
}

func (c *command) checkCommand() *cobra.Command {
	var asJSON, overlay bool
	cmd := &cobra.Command{
		Use: "check [--json] FILE...", Short: "Print every finding in files of any sort", Args: cobra.MinimumNArgs(1),
		Long: "check takes apps.toml, files of single applications (together, they are checked against one another),\n" +
			"and a platform's JSON configuration. It prints every finding as FILE:LINE:COLUMN: message.",
		RunE: func(_ *cobra.Command, args []string) error {
			var found finding.List
			Check(args, overlay, &found)
			if asJSON {
				if err := found.PrintJSON(c.out); err != nil {
					return runError{err}
				}
				if found.Len() > 0 {
					return errFindings
				}
				return nil
			}
			return c.report(&found)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object for programs")
	cmd.Flags().BoolVar(&overlay, "overlay", false, "the files are used under a platform's configuration, which says who the sidecar is")
	return cmd
}

// Check finds what is wrong with files of any sort.
func Check(paths []string, overlay bool, found *finding.List) {
	var single []*schema.File
	before := found.Len()
	for _, path := range paths {
		if filepath.Ext(path) == ".json" {
			product.CheckPlatform(path, found)
			continue
		}
		text, err := product.Read(path, apps.MaxBytes)
		if err != nil {
			found.Add(path, finding.Pos{}, "%v", err)
			continue
		}
		unread := found.Len()
		d := doc.ReadTOML(text, apps.MaxBytes, found.ForFile(path))
		whole := found.Len() == unread
		switch {
		case d == nil:
		case apps.IsInstallation(d) || filepath.Base(path) == "apps.toml":
			m := apps.FromDocument(product.Schema, path, d, whole, found)
			if whole {
				checkModel(m, found)
			}
		default:
			if len(text) > apps.MaxFileBytes {
				found.Add(path, finding.Pos{}, "has %d bytes; at most %d are read of one application's file", len(text), apps.MaxFileBytes)
				continue
			}
			f := product.Decode(path, d, overlay, whole, found)
			product.CheckSecrets(f, path, found)
			if w := apps.ParseProvenance(text); w != nil && whole {
				if w.Truncated {
					found.Add(path, finding.Pos{Line: 1, Col: 1}, "its end is missing: the file was cut after it was written")
				}
				apps.CheckLostKeys(w, f, path, found)
			}
			single = append(single, f)
		}
	}
	// Among findings of single files those across files would mislead.
	if len(single) > 1 && found.Len() == before {
		apps.Check(apps.FromFiles(single), apps.ChainTable.Default(), nil, nil, found)
	}
}

func (c *command) sampleCommand() *cobra.Command {
	return &cobra.Command{
		Use: "sample", Short: "Print a file of one application with all keys", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprint(c.out, product.Sample())
			return err
		},
	}
}

func (c *command) referenceCommand() *cobra.Command {
	return &cobra.Command{
		Use: "reference", Short: "Print the reference page of all keys, in Markdown", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprint(c.out, product.Reference())
			return err
		},
	}
}
