package tool

import (
	_ "embed"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"quincegap/internal/files/atomicfile"
)

// initialApps is the apps.toml that init writes.
//
//go:embed apps.toml
var initialApps []byte

// fileMode is the mode of new files. They are world-readable, since they contain no secrets, only paths of files with secrets.
const fileMode = fs.FileMode(0o644)

// initCommand returns the command init.
func (c *cli) initCommand() *cobra.Command {
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
			c.out.printf("wrote %s\n", path)
			return nil
		},
	}
}
