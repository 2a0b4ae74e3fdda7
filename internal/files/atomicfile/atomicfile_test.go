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

// faultyFS is the real file system, except that one call fails. A failed write writes half of its data.
type faultyFS struct {
	Disk
	callsLeft int      // number of calls up to and including the one that fails; negative if none does
	err       error    // error that the failing call returns
	calls     []string // names of the calls that were made
	failed    string   // name of the call that failed; empty if none did
}

// recordCall records a call, and returns an error if it is the one that has to fail.
func (f *faultyFS) recordCall(call string) error {
	f.calls = append(f.calls, call)
	if f.callsLeft--; f.callsLeft == 0 {
		f.failed = call
		return f.err
	}
	return nil
}

func (f *faultyFS) CreateTemp(dir, pattern string) (TempFile, error) {
	if err := f.recordCall("create"); err != nil {
		return nil, &fs.PathError{Op: "open", Path: dir, Err: err}
	}
	file, err := f.Disk.CreateTemp(dir, pattern)
	return &faultyTempFile{file, f}, err
}

func (f *faultyFS) Rename(from, to string) error {
	if err := f.recordCall("rename"); err != nil {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
	}
	return f.Disk.Rename(from, to)
}

func (f *faultyFS) SyncDir(dir string) error {
	if err := f.recordCall("sync dir"); err != nil {
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
	if err := f.fs.recordCall("write"); err != nil {
		n, _ := f.TempFile.Write(b[:len(b)/2])
		return n, &fs.PathError{Op: "write", Path: f.Name(), Err: err}
	}
	return f.TempFile.Write(b)
}

func (f *faultyTempFile) Chmod(mode fs.FileMode) error {
	if err := f.fs.recordCall("chmod"); err != nil {
		return err
	}
	return f.TempFile.Chmod(mode)
}

func (f *faultyTempFile) Sync() error {
	if err := f.fs.recordCall("sync"); err != nil {
		return err
	}
	return f.TempFile.Sync()
}

func (f *faultyTempFile) Close() error {
	err := f.TempFile.Close()
	if failure := f.fs.recordCall("close"); failure != nil {
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

// If the disk is full at any one call, each file has either its complete old content or its complete new content. Before the first
// rename, no file is changed. No temporary file remains, and the error names a file or its directory.
func TestFullDiskLeavesCompleteFiles(t *testing.T) {
	for call := 1; ; call++ {
		disk := &faultyFS{callsLeft: call, err: syscall.ENOSPC}
		if done := checkFailingWrite(t, disk); done {
			if call < 15 {
				t.Errorf("Write made fewer than %d calls that can fail, want at least 15", call)
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
	for _, path := range paths[:2] { // the third file does not exist yet
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
			t.Errorf("no call failed, but Write returns the error %v", err)
		}
		return true
	}
	if !errors.Is(err, syscall.ENOSPC) || !strings.Contains(err.Error(), dir) || strings.Contains(err.Error(), ".tmp") {
		t.Errorf("failing %s: got error %v, want ENOSPC with a path in %s and no temporary file", disk.failed, err, dir)
	}
	renamed := 0
	for i, path := range paths {
		got := readFile(t, path)
		isOld := got == oldContent || i == 2 && got == ""
		if got == newContent {
			renamed++
		} else if !isOld {
			t.Errorf("failing %s: %s contains %q, want its old or its new content", disk.failed, path, got)
		}
	}
	if disk.failed != "rename" && disk.failed != "sync dir" && renamed > 0 {
		t.Errorf("failing %s: %d files were replaced, want none before the first rename", disk.failed, renamed)
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
			t.Errorf("failing %s: the temporary file %s remains", failed, e.Name())
		}
	}
}

// Each file is synced before the first rename, and the directory after the last rename. In any other order, a loss of power could
// replace a complete file by an empty one.
func TestOrderOfCalls(t *testing.T) {
	dir := t.TempDir()
	disk := &faultyFS{callsLeft: -1}
	first, second := filepath.Join(dir, "a"), filepath.Join(dir, "b")
	if err := Write(disk, File{first, []byte("a"), 0o600}, File{second, []byte("b"), 0o600}); err != nil {
		t.Fatal(err)
	}
	const want = "create write chmod sync close create write chmod sync close rename rename sync dir"
	if got := strings.Join(disk.calls, " "); got != want {
		t.Errorf("calls of the file system: got %s, want %s", got, want)
	}
}

// An existing file keeps its permissions, and a new one gets those in File. A symlink is followed. Paths that cannot be replaced are
// rejected with an error that names the reason.
func TestPermissionsAndSymlinks(t *testing.T) {
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
		t.Error("the symlink was replaced instead of its target")
	}
	if info, _ := os.Stat(target); info.Mode().Perm() != 0o640 {
		t.Errorf("the permissions of the replaced file changed to %v, want 0640", info.Mode())
	}
	if err := Write(Disk{}, File{filepath.Join(dir, "new"), []byte("x"), 0o604}); err != nil {
		t.Fatal(err)
	}
	if info, _ := os.Stat(filepath.Join(dir, "new")); info.Mode().Perm() != 0o604 {
		t.Errorf("the permissions of the new file are %v, want 0604", info.Mode())
	}
	if err := os.Remove(target); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		link:                            "a symlink to a file that does not exist",
		dir:                             "no regular file",
		filepath.Join(dir, "none", "x"): "cannot be written",
	} {
		if err := Write(Disk{}, File{path, []byte("x"), 0o600}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("write %s: got error %v, want one with %q", path, err, want)
		}
	}
}

// Write fails with fs.ErrPermission in a directory without write permission.
func TestReadOnlyDirectory(t *testing.T) {
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
		t.Errorf("write to a read-only directory: got error %v, want fs.ErrPermission", err)
	}
}

// Concurrent writers run one at a time under the lock, so that each reads the complete result of the previous one.
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
		t.Errorf("content after 8 concurrent appends: got %q, want %q", got, "xxxxxxxx")
	}
	if _, err := Lock(filepath.Join(dir, "none")); err == nil {
		t.Error("a directory that does not exist was locked")
	}
}
