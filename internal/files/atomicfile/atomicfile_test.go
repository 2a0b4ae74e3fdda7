package atomicfile

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// faultyFS is the real file system with one call that fails. A write that fails has written half of its data.
type faultyFS struct {
	Disk
	callsLeft int // until the call that fails, with that one
	err       error
	calls     []string // so far
	failed    string   // the call that failed
}

// fail counts a call, and returns the error of the one that has to fail.
func (f *faultyFS) fail(call string) error {
	f.calls = append(f.calls, call)
	if f.callsLeft--; f.callsLeft == 0 {
		f.failed = call
		return f.err
	}
	return nil
}

func (f *faultyFS) CreateTemp(dir, pattern string) (TempFile, error) {
	if err := f.fail("create"); err != nil {
		return nil, &fs.PathError{Op: "open", Path: dir, Err: err}
	}
	file, err := f.Disk.CreateTemp(dir, pattern)
	return &faultyTempFile{file, f}, err
}

func (f *faultyFS) Rename(from, to string) error {
	if err := f.fail("rename"); err != nil {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
	}
	return f.Disk.Rename(from, to)
}

func (f *faultyFS) SyncDir(dir string) error {
	if err := f.fail("sync dir"); err != nil {
		return err
	}
	return f.Disk.SyncDir(dir)
}

// faultyTempFile is a temporary file of a faultyFS.
type faultyTempFile struct {
	TempFile
	fs *faultyFS
}

func (f *faultyTempFile) Write(b []byte) (int, error) {
	if err := f.fs.fail("write"); err != nil {
		n, _ := f.TempFile.Write(b[:len(b)/2])
		return n, &fs.PathError{Op: "write", Path: f.Name(), Err: err}
	}
	return f.TempFile.Write(b)
}

func (f *faultyTempFile) Chmod(mode fs.FileMode) error {
	if err := f.fs.fail("chmod"); err != nil {
		return err
	}
	return f.TempFile.Chmod(mode)
}

func (f *faultyTempFile) Sync() error {
	if err := f.fs.fail("sync"); err != nil {
		return err
	}
	return f.TempFile.Sync()
}

func (f *faultyTempFile) Close() error {
	err := f.TempFile.Close()
	if failure := f.fs.fail("close"); failure != nil {
		return failure
	}
	return err
}

// readFile returns the content of a file, or an empty string if there is none.
func readFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	return string(content)
}

// At whichever call the disk fails, each file is complete, old or new; before the first rename all are old; no temporary file
// remains; and the error names a file or its directory.
func TestAFullDiskLeavesWholeFiles(t *testing.T) {
	for call := 1; ; call++ {
		disk := &faultyFS{callsLeft: call, err: syscall.ENOSPC}
		if done := checkFailingWrite(t, disk); done {
			if call < 15 {
				t.Errorf("only %d calls can fail", call)
			}
			return
		}
	}
}

// checkFailingWrite replaces two files and creates a third on a disk where one call fails. It returns true if that call was never
// made.
func checkFailingWrite(t *testing.T, disk *faultyFS) (done bool) {
	t.Helper()
	const oldContent, newContent = "old", "a new text that is longer"
	dir := t.TempDir()
	paths := []string{filepath.Join(dir, "a"), filepath.Join(dir, "b"), filepath.Join(dir, "c")}
	for _, path := range paths[:2] { // the third one is new
		if err := os.WriteFile(path, []byte(oldContent), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var files []File
	for _, path := range paths {
		files = append(files, File{path, []byte(newContent), 0o644})
	}
	err := Write(disk, files...)
	if disk.callsLeft > 0 {
		if err != nil {
			t.Errorf("nothing failed, and the error is %v", err)
		}
		return true
	}
	if !errors.Is(err, syscall.ENOSPC) || !strings.Contains(err.Error(), dir) || strings.Contains(err.Error(), ".tmp") {
		t.Errorf("%s fails: %v", disk.failed, err)
	}
	renamed := 0
	for i, path := range paths {
		got := readFile(t, path)
		isOld := got == oldContent || i == 2 && got == ""
		if got == newContent {
			renamed++
		} else if !isOld {
			t.Errorf("%s fails: %s contains %q", disk.failed, path, got)
		}
	}
	if disk.failed != "rename" && disk.failed != "sync dir" && renamed > 0 {
		t.Errorf("%s fails: %d files are new", disk.failed, renamed)
	}
	checkNoTemporaryFile(t, dir, disk.failed)
	return false
}

// checkNoTemporaryFile checks that no temporary file remains after a call has failed.
func checkNoTemporaryFile(t *testing.T, dir, failed string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if strings.Contains(e.Name(), "tmp") {
			t.Errorf("%s fails: %s is left", failed, e.Name())
		}
	}
}

// Each file is synced before the first rename, and the directory after the last one. In any other order a loss of power could leave
// an empty file in the place of a complete one.
func TestOrderOfCalls(t *testing.T) {
	dir := t.TempDir()
	disk := &faultyFS{callsLeft: -1}
	first, second := filepath.Join(dir, "a"), filepath.Join(dir, "b")
	if err := Write(disk, File{first, []byte("a"), 0o600}, File{second, []byte("b"), 0o600}); err != nil {
		t.Fatal(err)
	}
	const want = "create write chmod sync close create write chmod sync close rename rename sync dir"
	if got := strings.Join(disk.calls, " "); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestRightsAndLinks(t *testing.T) {
	dir := t.TempDir()
	target, link := filepath.Join(dir, "target"), filepath.Join(dir, "link")
	if err := os.WriteFile(target, nil, 0o640); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink("target", link); err != nil {
		t.Fatal(err)
	}
	if err := Write(Disk{}, File{link, []byte("x"), 0o600}); err != nil {
		t.Fatal(err)
	}
	info, err := os.Lstat(link)
	if err != nil || info.Mode()&fs.ModeSymlink == 0 || readFile(t, target) != "x" {
		t.Error("the symlink was replaced, not its target")
	}
	if info, _ := os.Stat(target); info.Mode().Perm() != 0o640 {
		t.Errorf("the permissions became %v", info.Mode())
	}
	if err := Write(Disk{}, File{filepath.Join(dir, "new"), []byte("x"), 0o604}); err != nil {
		t.Fatal(err)
	}
	if info, _ := os.Stat(filepath.Join(dir, "new")); info.Mode().Perm() != 0o604 {
		t.Errorf("the permissions of a new file are %v", info.Mode())
	}
	if err := os.Remove(target); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		link:                            "a symlink to a file that is not there",
		dir:                             "no regular file",
		filepath.Join(dir, "none", "x"): "cannot be written",
	} {
		if err := Write(Disk{}, File{path, []byte("x"), 0o600}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func TestReadOnlyFolder(t *testing.T) {
	if os.Getuid() == 0 {
		t.Skip("root may write to any directory")
	}
	dir := t.TempDir()
	if err := os.Chmod(dir, 0o500); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := os.Chmod(dir, 0o700); err != nil {
			t.Error(err)
		}
	}()
	if err := Write(Disk{}, File{filepath.Join(dir, "x"), nil, 0o600}); !errors.Is(err, fs.ErrPermission) {
		t.Error(err)
	}
}

// Concurrent writers take turns, so that each sees the complete result of the one before.
func TestLock(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "n")
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			unlock, err := Lock(dir)
			if err != nil {
				t.Error(err)
				return
			}
			defer unlock()
			if err := Write(Disk{}, File{path, []byte(readFile(t, path) + "x"), 0o600}); err != nil {
				t.Error(err)
			}
		})
	}
	writers.Wait()
	if got := readFile(t, path); got != "xxxxxxxx" {
		t.Errorf("got %q", got)
	}
	if _, err := Lock(filepath.Join(dir, "none")); err == nil {
		t.Error("a directory that does not exist was locked")
	}
}
