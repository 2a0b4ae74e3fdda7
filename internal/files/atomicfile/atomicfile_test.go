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

// faulty is the real file system up to its Nth call, which fails; a write that fails has written half.
type faulty struct {
	Disk
	left int
	err  error
	what string // the call that failed
	all  []string
}

func (f *faulty) fail(what string) error {
	f.all = append(f.all, what)
	if f.left--; f.left == 0 {
		f.what = what
		return f.err
	}
	return nil
}

func (f *faulty) CreateTemp(dir, pattern string) (TempFile, error) {
	if err := f.fail("create"); err != nil {
		return nil, &fs.PathError{Op: "open", Path: dir, Err: err}
	}
	t, err := f.Disk.CreateTemp(dir, pattern)
	return &faultyTemp{t, f}, err
}

func (f *faulty) Rename(from, to string) error {
	if err := f.fail("rename"); err != nil {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
	}
	return f.Disk.Rename(from, to)
}

func (f *faulty) SyncDir(dir string) error {
	if err := f.fail("sync dir"); err != nil {
		return err
	}
	return f.Disk.SyncDir(dir)
}

type faultyTemp struct {
	TempFile
	f *faulty
}

func (f *faultyTemp) Write(b []byte) (int, error) {
	if err := f.f.fail("write"); err != nil {
		n, _ := f.TempFile.Write(b[:len(b)/2])
		return n, &fs.PathError{Op: "write", Path: f.Name(), Err: err}
	}
	return f.TempFile.Write(b)
}

func (f *faultyTemp) Chmod(m fs.FileMode) error {
	if err := f.f.fail("chmod"); err != nil {
		return err
	}
	return f.TempFile.Chmod(m)
}

func (f *faultyTemp) Sync() error {
	if err := f.f.fail("sync"); err != nil {
		return err
	}
	return f.TempFile.Sync()
}

func (f *faultyTemp) Close() error {
	err := f.TempFile.Close()
	if fault := f.f.fail("close"); fault != nil {
		return fault
	}
	return err
}

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	return string(text)
}

// At whatever call the disk fails, each file is complete, old or new; before the first rename all are old; no
// temporary file is left; and the error names a file or its folder.
func TestAFullDiskLeavesWholeFiles(t *testing.T) {
	for n := 1; ; n++ {
		disk := &faulty{left: n, err: syscall.ENOSPC}
		if done := checkFailingWrite(t, disk); done {
			if n < 15 {
				t.Errorf("only %d calls can fail", n)
			}
			return
		}
	}
}

// checkFailingWrite replaces two files and makes a third on a disk that fails at one call. It returns true where that call
// was never reached.
func checkFailingWrite(t *testing.T, disk *faulty) (done bool) {
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
	if disk.left > 0 {
		if err != nil {
			t.Errorf("nothing failed, and the error is %v", err)
		}
		return true
	}
	if !errors.Is(err, syscall.ENOSPC) || !strings.Contains(err.Error(), dir) || strings.Contains(err.Error(), ".tmp") {
		t.Errorf("%s fails: %v", disk.what, err)
	}
	renamed := 0
	for i, path := range paths {
		got := read(t, path)
		isOld := got == oldContent || i == 2 && got == ""
		if got == newContent {
			renamed++
		} else if !isOld {
			t.Errorf("%s fails: %s holds %q", disk.what, path, got)
		}
	}
	if disk.what != "rename" && disk.what != "sync dir" && renamed > 0 {
		t.Errorf("%s fails: %d files are new", disk.what, renamed)
	}
	checkNoTemporaryFile(t, dir, disk.what)
	return false
}

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

// Each file is synced before any takes its place, and the folder after all have: in any other order a loss of
// power could leave an empty file where a whole one was.
func TestOrderOfCalls(t *testing.T) {
	dir := t.TempDir()
	disk := &faulty{left: -1}
	if err := Write(disk, File{filepath.Join(dir, "a"), []byte("a"), 0o600}, File{filepath.Join(dir, "b"), []byte("b"), 0o600}); err != nil {
		t.Fatal(err)
	}
	const want = "create write chmod sync close create write chmod sync close rename rename sync dir"
	if got := strings.Join(disk.all, " "); got != want {
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
	if err != nil || info.Mode()&fs.ModeSymlink == 0 || read(t, target) != "x" {
		t.Error("the link was replaced, not its file")
	}
	if info, _ := os.Stat(target); info.Mode().Perm() != 0o640 {
		t.Errorf("rights became %v", info.Mode())
	}
	if err := Write(Disk{}, File{filepath.Join(dir, "new"), []byte("x"), 0o604}); err != nil {
		t.Fatal(err)
	}
	if info, _ := os.Stat(filepath.Join(dir, "new")); info.Mode().Perm() != 0o604 {
		t.Errorf("rights of a new file are %v", info.Mode())
	}
	if err := os.Remove(target); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{link: "a symlink to a file that is not there", dir: "no regular file", filepath.Join(dir, "none", "x"): "cannot be written"} {
		if err := Write(Disk{}, File{path, []byte("x"), 0o600}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func TestReadOnlyFolder(t *testing.T) {
	if os.Getuid() == 0 {
		t.Skip("root may write everywhere")
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

// Writers that come together go one after another: none sees another's half.
func TestLock(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "n")
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			unlock, err := Lock(dir)
			if err != nil {
				t.Error(err)
				return
			}
			defer unlock()
			if err := Write(Disk{}, File{path, []byte(read(t, path) + "x"), 0o600}); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	if got := read(t, path); got != "xxxxxxxx" {
		t.Errorf("got %q", got)
	}
	if _, err := Lock(filepath.Join(dir, "none")); err == nil {
		t.Error("a folder that is not there was locked")
	}
}
