package tool

import (
	"path/filepath"

	"github.com/spf13/cobra"

	"quincegap/internal/config/apps"
	"quincegap/internal/config/finding"
)

// diffCommand returns the command diff.
func (c *cli) diffCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use: "diff [-o DIR] apps.toml", Short: "Show what write would change, and what was edited by hand", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if dir == "" {
				dir = filepath.Dir(args[0])
			}
			return c.diffFiles(args[0], dir)
		},
	}
	cmd.Flags().StringVarP(&dir, "out", "o", "", "folder of the written files (that of apps.toml)")
	return cmd
}

// diffFiles prints how the derived files in a folder differ from those that the command write would generate from apps.toml. It returns
// errFindings if any file differs or there are findings.
func (c *cli) diffFiles(source, dir string) error {
	var found finding.List
	model := c.readModel(source, &found)
	if found.Len() > 0 {
		return c.report(&found)
	}
	differs := false
	for _, state := range compareFiles(model, dir, &found, &found) {
		if c.diffFile(state) {
			differs = true
		}
	}
	if err := c.report(&found); err != nil {
		return err
	}
	if differs {
		return errFindings
	}
	return nil
}

// diffFile prints the manual edits of a file and what the command write would change in it. It reports whether it printed anything.
func (c *cli) diffFile(state *apps.FileState) (differs bool) {
	for _, e := range state.Edits {
		c.out.printf("edited by hand: %s\n", e)
	}
	switch {
	case state.Text == nil:
		c.out.printf("new: %s\n", state.Path)
		return true
	case state.Provenance == nil || string(state.Text) == string(state.Generated):
		return len(state.Edits) > 0
	}
	next := state.Generated
	if state.Edited() && state.File != nil && len(state.Conflicts()) == 0 {
		next = state.Merge()
		if len(state.Edits) == 0 {
			c.out.printf("edited by hand: %s: comments or spacing only\n", state.Path)
		}
	}
	c.out.print(unifiedDiff(state.Path, state.Text, next))
	return true
}
