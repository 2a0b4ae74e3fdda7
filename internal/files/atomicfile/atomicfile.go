// Package atomicfile replaces files atomically: after any failure, each file has either its complete old content or its complete
// new content. Several files are not replaced in one step: see Write. Lock coordinates the writers of one directory.
package atomicfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// File is a file to write, with its new content.
type File struct {
	Path    string
	Content []byte
	Mode    fs.FileMode // permissions of a new file; an existing file keeps its own
}

// replacement is a temporary file that will be renamed to the file that it replaces.
type replacement struct {
	file   File
	temp   string // path of the temporary file
	target string // path that the temporary file is renamed to
}

// Write replaces files. All temporary files are complete and synced before the first one is renamed, so that a full disk, the most
// likely failure, changes no file. If a rename fails nevertheless, the files before it are replaced, and the error says how many.
// If a path is a symlink, the file that it refers to is replaced, and the symlink remains. Errors name the file.
func Write(disk FS, files ...File) (err error) {
	replacements, err := prepare(disk, files)
	renamed := 0
	if err == nil {
		renamed, err = rename(disk, replacements)
	}
	for _, r := range replacements[renamed:] {
		_ = disk.Remove(r.temp) // the write error is returned instead; a file that remains is recognizable by its suffix
	}
	if err != nil {
		return err
	}
	return syncDirs(disk, replacements)
}

// prepare writes the temporary files. If it fails, it returns those that were created, complete or not, so that the caller can
// remove them.
func prepare(disk FS, files []File) (prepared []replacement, err error) {
	for _, f := range files {
		target, mode, err := resolveTarget(f)
		if err != nil {
			return prepared, err
		}
		temp, err := disk.CreateTemp(filepath.Dir(target), "."+filepath.Base(target)+".*.tmp")
		if err != nil {
			return prepared, fmt.Errorf("%s: cannot be written: %w", f.Path, withoutPath(err))
		}
		prepared = append(prepared, replacement{file: f, temp: temp.Name(), target: target})
		if err := writeTemp(temp, f.Content, mode); err != nil {
			return prepared, fmt.Errorf("%s: cannot be written, and is unchanged: %w", f.Path, withoutPath(err))
		}
	}
	return prepared, nil
}

// rename renames the temporary files to their targets. It stops at the first error, and returns the number of files that were
// renamed before it.
func rename(disk FS, replacements []replacement) (renamed int, err error) {
	for i, r := range replacements {
		err := disk.Rename(r.temp, r.target)
		if err == nil {
			continue
		}
		if i > 0 {
			return i, fmt.Errorf("%s: cannot be written: %w; %d files were already replaced", r.file.Path, withoutPath(err), i)
		}
		return i, fmt.Errorf("%s: cannot be written, and is unchanged: %w", r.file.Path, withoutPath(err))
	}
	return len(replacements), nil
}

// syncDirs makes the renames durable. It returns an error that names the directory that could not be synced.
func syncDirs(disk FS, replacements []replacement) error {
	dirs := map[string]bool{}
	for _, r := range replacements {
		dirs[filepath.Dir(r.target)] = true
	}
	for dir := range dirs {
		if err := disk.SyncDir(dir); err != nil {
			return fmt.Errorf("%s: cannot be synced, so the new files may not survive a loss of power: %w", dir, withoutPath(err))
		}
	}
	return nil
}

// resolveTarget returns the path of the file to replace, with symlinks resolved, and the permissions of the new file. It fails if
// the path is a dangling symlink or not a regular file.
func resolveTarget(file File) (target string, mode fs.FileMode, err error) {
	info, err := os.Stat(file.Path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if _, err := os.Lstat(file.Path); err == nil {
			return "", 0, fmt.Errorf("%s: is a symlink to a file that does not exist", file.Path)
		}
		return file.Path, file.Mode, nil
	case err != nil:
		return "", 0, fmt.Errorf("%s: %w", file.Path, withoutPath(err))
	case !info.Mode().IsRegular():
		return "", 0, fmt.Errorf("%s: is no regular file", file.Path)
	}
	if target, err = filepath.EvalSymlinks(file.Path); err != nil {
		return "", 0, fmt.Errorf("%s: %w", file.Path, withoutPath(err))
	}
	return target, info.Mode().Perm(), nil
}

// writeTemp writes the content of a temporary file, syncs it and closes it.
func writeTemp(temp TempFile, content []byte, mode fs.FileMode) error {
	_, err := temp.Write(content)
	if err == nil {
		err = temp.Chmod(mode)
	}
	if err == nil {
		err = temp.Sync()
	}
	return errors.Join(err, temp.Close())
}

// withoutPath removes the path from an error of package os. The path may be that of a temporary file, which operators do not know.
// Callers add the path of the target instead.
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
