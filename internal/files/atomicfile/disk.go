package atomicfile

import (
	"errors"
	"io/fs"
	"os"
	"syscall"
)

// FS is the part of a file system that Write needs. Tests put one in its place that fails.
type FS interface {
	// CreateTemp makes a new file whose name is the pattern with a random string for its star, as os.CreateTemp does.
	CreateTemp(dir, pattern string) (TempFile, error)
	// Rename gives a file another name, and replaces one that has it.
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the renames in a directory durable.
	SyncDir(dir string) error
}

// TempFile is a temporary file that is open for writing. *os.File is one.
type TempFile interface {
	Name() string
	Write([]byte) (int, error)
	Chmod(fs.FileMode) error
	Sync() error
	Close() error
}

// Disk is the real file system.
type Disk struct{}

// CreateTemp is os.CreateTemp.
func (Disk) CreateTemp(dir, pattern string) (TempFile, error) { return os.CreateTemp(dir, pattern) }

// Rename is os.Rename.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove is os.Remove.
func (Disk) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the changes of names in a directory durable, where its file system can.
func (Disk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }() // nothing was written to it
	err = d.Sync()
	if errors.Is(err, syscall.EINVAL) { // some file systems sync no directories
		return nil
	}
	return err
}
