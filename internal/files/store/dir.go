package store

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"quincegap/internal/files/atomicfile"
)

// Dir is the path of an existing directory in the real file system. It implements FS.
type Dir string

// diskFile is a file of the real file system.
type diskFile struct{ *os.File }

// Size returns the current size of the file in bytes.
func (d diskFile) Size() (int64, error) {
	info, err := d.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// path returns the path of a file in the directory.
func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create implements FS.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

// Open implements FS.
func (d Dir) Open(name string) (Reader, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

// List implements FS.
func (d Dir) List() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Rename implements FS.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir implements FS.
func (d Dir) SyncDir() error { return atomicfile.Disk{}.SyncDir(string(d)) }

// Commands of fcntl(2) for open file description locks. The kernel releases such a lock whenever the process ends, even by a crash,
// and the lock can be queried without acquiring it.
const (
	ofdGetLock = 36
	ofdSetLock = 37
)

// exclusiveLock returns the argument of fcntl for an exclusive lock of the whole file.
func exclusiveLock() *syscall.Flock_t { return &syscall.Flock_t{Type: syscall.F_WRLCK} }

// Lock implements FS.
func (d Dir) Lock() (io.Closer, error) {
	file, err := os.OpenFile(d.path(lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	err = syscall.FcntlFlock(file.Fd(), ofdSetLock, exclusiveLock())
	if err == nil {
		return file, nil
	}
	_ = file.Close() // nothing was written to it
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EACCES) {
		return nil, ErrLocked
	}
	return nil, err
}

// Locked implements FS.
func (d Dir) Locked() (bool, error) {
	file, err := os.OpenFile(d.path(lockName), os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }() // nothing was written to it
	lock := exclusiveLock()
	err = syscall.FcntlFlock(file.Fd(), ofdGetLock, lock)
	return lock.Type != syscall.F_UNLCK, err
}
