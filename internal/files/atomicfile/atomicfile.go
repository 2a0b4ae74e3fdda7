// Package atomicfile replaces files so that each is at all times whole, the old
// one or the new one, whatever fails in between.
package atomicfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// File is a file's new content.
type File struct {
	Path    string
	Content []byte
	Mode    fs.FileMode // of a file that is not there yet; one that is keeps its own
}

// FS is what is asked of the file system. Tests put one in its place that fails.
type FS interface {
	CreateTemp(dir, pattern string) (TempFile, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

// TempFile is a temporary file.
type TempFile interface {
	Name() string
	Write([]byte) (int, error)
	Chmod(fs.FileMode) error
	Sync() error
	Close() error
}

// Disk is the real file system.
type Disk struct{}

func (Disk) CreateTemp(dir, pattern string) (TempFile, error) { return os.CreateTemp(dir, pattern) }
func (Disk) Rename(from, to string) error                     { return os.Rename(from, to) }
func (Disk) Remove(path string) error                         { return os.Remove(path) }

// SyncDir makes renames in a directory durable.
func (Disk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.Sync(); err != nil && !errors.Is(err, syscall.EINVAL) { // some file systems sync no directories
		return err
	}
	return nil
}

// Write replaces files. All are made and synced before the first takes its place, so that a full disk, the
// likeliest failure, leaves every old file. Should a rename fail all the same, those before it stay replaced,
// and the error says so. A symlink stays, and the file that it names is replaced.
func Write(disk FS, files ...File) (err error) {
	type pending struct{ temp, target string }
	var made []pending
	renamed := 0
	defer func() {
		for _, p := range made[renamed:] {
			disk.Remove(p.temp)
		}
	}()
	for _, f := range files {
		target, mode, err := resolveTarget(f)
		if err != nil {
			return err
		}
		t, err := disk.CreateTemp(filepath.Dir(target), "."+filepath.Base(target)+".*.tmp")
		if err != nil {
			return fmt.Errorf("%s: cannot be written: %w", f.Path, withoutPath(err))
		}
		made = append(made, pending{t.Name(), target})
		if err := writeTemp(t, f.Content, mode); err != nil {
			return fmt.Errorf("%s: cannot be written, and is as it was: %w", f.Path, withoutPath(err))
		}
	}
	dirs := map[string]bool{}
	for i, p := range made {
		if err := disk.Rename(p.temp, p.target); err != nil {
			if i > 0 {
				return fmt.Errorf("%s: cannot be written: %w; the %d files before it are new", files[i].Path, withoutPath(err), i)
			}
			return fmt.Errorf("%s: cannot be written, and is as it was: %w", files[i].Path, withoutPath(err))
		}
		renamed = i + 1
		dirs[filepath.Dir(p.target)] = true
	}
	for dir := range dirs {
		if err := disk.SyncDir(dir); err != nil {
			return fmt.Errorf("%s: the new files may not survive a loss of power: %w", dir, withoutPath(err))
		}
	}
	return nil
}

// resolveTarget finds the file to replace, and the rights it is to have.
func resolveTarget(f File) (target string, mode fs.FileMode, err error) {
	target, mode = f.Path, f.Mode
	info, err := os.Stat(target)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if _, err := os.Lstat(target); err == nil {
			return "", 0, fmt.Errorf("%s: is a symlink to a file that is not there", f.Path)
		}
		return target, mode, nil
	case err != nil:
		return "", 0, fmt.Errorf("%s: %w", f.Path, withoutPath(err))
	case !info.Mode().IsRegular():
		return "", 0, fmt.Errorf("%s: is no regular file", f.Path)
	}
	if target, err = filepath.EvalSymlinks(target); err != nil {
		return "", 0, fmt.Errorf("%s: %w", f.Path, withoutPath(err))
	}
	return target, info.Mode().Perm(), nil
}

func writeTemp(t TempFile, text []byte, mode fs.FileMode) error {
	_, err := t.Write(text)
	if err == nil {
		err = t.Chmod(mode)
	}
	if err == nil {
		err = t.Sync()
	}
	return errors.Join(err, t.Close())
}

// withoutPath leaves the name of a temporary file out of an error.
func withoutPath(err error) error {
	var path *fs.PathError
	if errors.As(err, &path) {
		return path.Err
	}
	var link *os.LinkError
	if errors.As(err, &link) {
		return link.Err
	}
	return err
}

// Lock keeps a directory to one writer at a time, until unlock is called or the process ends. It waits for
// another one to be done.
func Lock(dir string) (unlock func(), err error) {
	d, err := os.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, withoutPath(err))
	}
	for {
		err = syscall.Flock(int(d.Fd()), syscall.LOCK_EX)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if err != nil {
		d.Close()
		return nil, fmt.Errorf("%s: cannot be locked: %w", dir, err)
	}
	return func() { d.Close() }, nil
}
