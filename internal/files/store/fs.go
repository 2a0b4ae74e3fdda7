package store

import (
	"errors"
	"io"
)

// FS has the file operations in the directory of a store. Names do not include a path. Dir implements it on the real file system;
// tests inject faults.
type FS interface {
	// Create creates a file for appending. It fails if the file already exists.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (Reader, error)
	// List returns the names of all files. If the directory does not exist, it returns nil or fs.ErrNotExist.
	List() ([]string, error)
	// Rename renames a file, and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes the creations, renames and removals of files durable.
	SyncDir() error
	// Lock locks the directory for this process until the returned Closer is closed. It returns ErrLocked if another process has
	// the lock.
	Lock() (io.Closer, error)
	// Locked reports whether a process has the lock. It does not acquire the lock, so that a concurrent Lock does not fail.
	Locked() (bool, error)
}

// Reader is a file that is open for reading.
type Reader interface {
	io.ReaderAt
	io.Closer
	// Size returns the current size in bytes.
	Size() (int64, error)
	// Sync makes the content durable, including data that other processes have written.
	Sync() error
}

// File is a file that is open for appending and reading.
type File interface {
	Reader
	io.Writer
}

// writeFull writes b, and returns io.ErrShortWrite if the writer has written only a part without an error.
func writeFull(w io.Writer, b []byte) (n int, err error) {
	n, err = w.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return n, err
}

// writeAndSync appends b to a file and syncs the file. It returns the number of bytes that were written, even after an error.
func writeAndSync(f File, b []byte) (n int, err error) {
	n, err = writeFull(f, b)
	if err != nil {
		return n, err
	}
	return n, f.Sync()
}

// readUpTo reads the first size bytes of a file, or the complete content of a shorter file.
func readUpTo(f Reader, size int64) ([]byte, error) {
	b := make([]byte, size)
	n, err := io.ReadFull(io.NewSectionReader(f, 0, size), b)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return b[:n], err
}
