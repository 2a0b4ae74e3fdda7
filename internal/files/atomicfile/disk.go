package atomicfile

import (
	"errors"
	"io/fs"
	"os"
	"syscall"
)

// FS has the file system operations that Write needs. Disk implements it on the real file system; tests inject faults.
type FS interface {
	// CreateTemp creates a file whose name is the pattern with the asterisk replaced by a random string, as os.CreateTemp does.
	CreateTemp(dir, pattern string) (TempFile, error)
	// Rename renames a file, and replaces an existing one.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDir makes the renames in a directory durable.
	SyncDir(dir string) error
}

// TempFile is a temporary file that is open for writing. *os.File implements it.
type TempFile interface {
	Name() string
	Write([]byte) (int, error)
	Chmod(fs.FileMode) error
	Sync() error
	Close() error
}

// Disk is the real file system. It implements FS.
type Disk struct{}

// CreateTemp calls os.CreateTemp.
func (Disk) CreateTemp(dir, pattern string) (TempFile, error) { return os.CreateTemp(dir, pattern) }

// Rename calls os.Rename.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove calls os.Remove.
func (Disk) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the renames, creations and removals in a directory durable, if its file system supports that.
func (Disk) SyncDir(dir string) error {
	file, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // nothing was written to it
	err = file.Sync()
	if errors.Is(err, syscall.EINVAL) { // the file system cannot sync a directory
		return nil
	}
	return err
}
