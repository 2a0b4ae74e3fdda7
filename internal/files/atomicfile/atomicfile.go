// Package atomicfile replaces files so that each is complete at all times, the old one or the new one, whatever fails in
// between. It does not make several files change at once: see Write.
package atomicfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// File is a file's new content.
type File struct {
	Path    string
	Content []byte
	Mode    fs.FileMode // of a file that does not exist yet; one that does keeps its own
}

// replacement is a temporary file on its way to the name of the file that it replaces.
type replacement struct {
	file   File
	temp   string
	target string
}

// Write replaces files. All new ones are complete and synced before the first takes its place, so that a full disk, the
// likeliest failure, leaves every old file. Should a rename fail all the same, the files before it stay replaced, and the
// error says how many. A symlink stays, and the file that it names is replaced.
func Write(disk FS, files ...File) (err error) {
	replacements, err := prepare(disk, files)
	renamed := 0
	if err == nil {
		renamed, err = rename(disk, replacements)
	}
	for _, r := range replacements[renamed:] {
		_ = disk.Remove(r.temp) // the error that is returned matters more; the name says that the file is temporary
	}
	if err != nil {
		return err
	}
	return syncDirs(disk, replacements)
}

// prepare writes the temporary files. After an error it returns those that exist all the same, complete or not.
func prepare(disk FS, files []File) (made []replacement, err error) {
	for _, f := range files {
		target, mode, err := resolveTarget(f)
		if err != nil {
			return made, err
		}
		t, err := disk.CreateTemp(filepath.Dir(target), "."+filepath.Base(target)+".*.tmp")
		if err != nil {
			return made, fmt.Errorf("%s: cannot be written: %w", f.Path, withoutPath(err))
		}
		made = append(made, replacement{file: f, temp: t.Name(), target: target})
		if err := writeTemp(t, f.Content, mode); err != nil {
			return made, fmt.Errorf("%s: cannot be written, and is as it was: %w", f.Path, withoutPath(err))
		}
	}
	return made, nil
}

// rename gives the temporary files the names of their targets, and returns how many have got them.
func rename(disk FS, replacements []replacement) (renamed int, err error) {
	for i, r := range replacements {
		err := disk.Rename(r.temp, r.target)
		if err == nil {
			continue
		}
		if i > 0 {
			return i, fmt.Errorf("%s: cannot be written: %w; the %d files before it are new", r.file.Path, withoutPath(err), i)
		}
		return i, fmt.Errorf("%s: cannot be written, and is as it was: %w", r.file.Path, withoutPath(err))
	}
	return len(replacements), nil
}

// syncDirs makes the renames durable.
func syncDirs(disk FS, replacements []replacement) error {
	dirs := map[string]bool{}
	for _, r := range replacements {
		dirs[filepath.Dir(r.target)] = true
	}
	for dir := range dirs {
		if err := disk.SyncDir(dir); err != nil {
			return fmt.Errorf("%s: the new files may not survive a loss of power: %w", dir, withoutPath(err))
		}
	}
	return nil
}

// resolveTarget finds the file to replace, and the mode that its replacement is to have.
func resolveTarget(f File) (target string, mode fs.FileMode, err error) {
	info, err := os.Stat(f.Path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if _, err := os.Lstat(f.Path); err == nil {
			return "", 0, fmt.Errorf("%s: is a symlink to a file that is not there", f.Path)
		}
		return f.Path, f.Mode, nil
	case err != nil:
		return "", 0, fmt.Errorf("%s: %w", f.Path, withoutPath(err))
	case !info.Mode().IsRegular():
		return "", 0, fmt.Errorf("%s: is no regular file", f.Path)
	}
	if target, err = filepath.EvalSymlinks(f.Path); err != nil {
		return "", 0, fmt.Errorf("%s: %w", f.Path, withoutPath(err))
	}
	return target, info.Mode().Perm(), nil
}

// writeTemp fills a temporary file, makes it durable and closes it.
func writeTemp(t TempFile, content []byte, mode fs.FileMode) error {
	_, err := t.Write(content)
	if err == nil {
		err = t.Chmod(mode)
	}
	if err == nil {
		err = t.Sync()
	}
	return errors.Join(err, t.Close())
}

// withoutPath strips the name of a file from an error of the os package: it may be a temporary one, which means nothing to
// the reader.
func withoutPath(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	var linkError *os.LinkError
	if errors.As(err, &linkError) {
		return linkError.Err
	}
	return err
}
