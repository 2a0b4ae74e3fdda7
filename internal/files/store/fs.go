package store

import (
	"errors"
	"io"
)

// FS is a directory as a store uses it. Names have no folders. Tests put one in its place that fails.
type FS interface {
	// Create makes a file that must not exist, for writing at its end.
	Create(name string) (File, error)
	Open(name string) (Reader, error)
	// List returns the names of all files; nil or fs.ErrNotExist where the directory doesn't exist.
	List() ([]string, error)
	// Rename gives a file another name, and replaces one that has it.
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes durable which names were created, renamed and removed.
	SyncDir() error
	// Lock reserves the directory for this process until the lock is closed. It returns ErrLocked where another one has it.
	Lock() (io.Closer, error)
	// Locked tells whether some process has the lock, without getting in the way of one that is about to take it.
	Locked() (bool, error)
}

// Reader is a file that is open for reading.
type Reader interface {
	io.ReaderAt
	io.Closer
	Size() (int64, error)
	// Sync makes durable what any process wrote to the file.
	Sync() error
}

// File is a file that is open for writing at its end, and can be read meanwhile.
type File interface {
	Reader
	io.Writer
}

// writeFull is Write with an error wherever less than b was written.
func writeFull(w io.Writer, b []byte) (n int, err error) {
	n, err = w.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return n, err
}

// writeAndSync makes b durable at the end of a file. It returns how many bytes were written also where the sync failed.
func writeAndSync(f File, b []byte) (n int, err error) {
	n, err = writeFull(f, b)
	if err != nil {
		return n, err
	}
	return n, f.Sync()
}

// readUpTo reads the first bytes of a file: size of them, or fewer where it is shorter.
func readUpTo(f Reader, size int64) ([]byte, error) {
	b := make([]byte, size)
	n, err := io.ReadFull(io.NewSectionReader(f, 0, size), b)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return b[:n], err
}
