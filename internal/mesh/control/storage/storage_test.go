package storage

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"
	lstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// copyAsKilled returns a copy of a folder as a killed process would leave it: all files as of the same moment. The database may be
// writing and removing tables meanwhile, so copyAsKilled copies again until no file changes during the copy.
func copyAsKilled(t *testing.T, folder string) string {
	t.Helper()
	for range 100 {
		before := files(t, folder)
		copied := t.TempDir()
		err := os.CopyFS(copied, os.DirFS(folder))
		if maps.Equal(before, files(t, folder)) {
			qt.Assert(t, err, qt.IsNil)
			return copied
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the files of the folder changed during each of 100 attempts to copy them")
	return ""
}

// files returns the sizes of a folder's files by name. The size of a file that is being removed is -1.
func files(t *testing.T, folder string) map[string]int64 {
	t.Helper()
	sizes := map[string]int64{}
	for _, entry := range must(os.ReadDir(folder)) {
		info, err := entry.Info()
		if errors.Is(err, fs.ErrNotExist) {
			sizes[entry.Name()] = -1
			continue
		}
		qt.Assert(t, err, qt.IsNil)
		sizes[entry.Name()] = info.Size()
	}
	return sizes
}

// must returns value, and panics if err is not nil.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// open opens a folder, and closes it at the end of the test.
func open(t *testing.T, folder string) *Store {
	t.Helper()
	store, err := Open(folder)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = store.Close() }) // tests that need the error of Close call it themselves
	return store
}

// After the process is killed, all records are read. The folder does not grow with the number of writes.
func TestRecordsSurviveAKill(t *testing.T) {
	c := qt.New(t)
	folder := filepath.Join(t.TempDir(), "a", "b")
	store := open(t, folder)
	_, err := store.Get("vote")
	c.Assert(trace.IsNotFound(err), qt.IsTrue)
	large := bytes.Repeat([]byte("0123456789abcdef"), 1<<16) // more than the write buffer
	for i := range 12 {
		c.Assert(store.Put("vote", append(large, byte(i))), qt.IsNil)
		c.Assert(store.Put("standing", []byte{byte(i)}), qt.IsNil)
	}
	c.Assert(store.Close(), qt.IsNil) // otherwise the files might change while copyAsKilled copies them
	store = open(t, folder)
	c.Assert(store.Put("empty", nil), qt.IsNil)
	store = open(t, copyAsKilled(t, folder))
	for key, want := range map[string][]byte{"vote": append(large, 11), "standing": {11}, "empty": {}} {
		data, err := store.Get(key)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(data, want), qt.IsTrue,
			qt.Commentf("record %q: read %d bytes that differ from the %d written", key, len(data), len(want)))
	}
	c.Assert(store.Check(), qt.IsNil)
	size := int64(0)
	for _, n := range files(t, folder) {
		size += max(n, 0)
	}
	c.Assert(size < 8<<20, qt.IsTrue, qt.Commentf("size of the folder: %d bytes", size)) // the space of overwritten records is freed
}

// If the last write is incomplete, at whichever byte it ends, the folder opens and contains the last record or the one before it.
func TestTornWrites(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	store := open(t, folder)
	c.Assert(store.Put("vote", []byte("first")), qt.IsNil)
	log := slices.Max(must(filepath.Glob(filepath.Join(folder, "*.log"))))
	synced := must(os.ReadFile(log))
	c.Assert(store.Put("vote", bytes.Repeat([]byte("second"), 20)), qt.IsNil)
	complete := must(os.ReadFile(log))
	for n := len(synced); n <= len(complete); n = min(n+5, max(n+1, len(complete))) {
		for _, zeros := range []int{0, len(complete) - n} { // the file system may have set the new length without writing the bytes
			torn := copyAsKilled(t, folder)
			left := append(slices.Clone(complete[:n]), make([]byte, zeros)...)
			c.Assert(os.WriteFile(filepath.Join(torn, filepath.Base(log)), left, 0o600), qt.IsNil)
			again := open(t, torn)
			data, err := again.Get("vote")
			c.Assert(err, qt.IsNil, qt.Commentf("%d of %d bytes written", n, len(complete)))
			c.Assert(string(data) == "first" || n >= len(complete)-1, qt.IsTrue,
				qt.Commentf("%d of %d bytes written: record is %q", n, len(complete), data))
			c.Assert(again.Put("vote", []byte("third")), qt.IsNil)
			c.Assert(again.Close(), qt.IsNil)
		}
	}
}

// The errors of Get and Check name the corrupt record, and other records can be read.
func TestCorruptRecordsAreNamed(t *testing.T) {
	c := qt.New(t)
	store := open(t, t.TempDir())
	c.Assert(store.Put("good", []byte("x")), qt.IsNil)
	corrupt := encodeRecord([]byte("data"))
	corrupt[len(corrupt)-1] ^= 1
	otherFormat := append([]byte{1}, encodeRecord(nil)[1:]...)
	for key, record := range map[string][]byte{"corrupt": corrupt, "short": {recordFormat}, "other": otherFormat} {
		c.Assert(store.db.Put([]byte(key), record, nil), qt.IsNil)
		_, err := store.Get(key)
		c.Assert(trace.IsCompareFailed(err), qt.IsTrue, qt.Commentf("record %q: error %v, want a CompareFailed", key, err))
		c.Assert(store.Check(), qt.ErrorMatches, `(?s).*"`+key+`".*`)
	}
	_, err := store.Get("good")
	c.Assert(err, qt.IsNil)
}

// After an error of the database, the next calls succeed. They also succeed after the manifest was corrupted.
func TestWritesGoOn(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	store := open(t, folder)
	c.Assert(store.Put("vote", []byte("1")), qt.IsNil)
	c.Assert(store.db.Close(), qt.IsNil)
	c.Assert(store.Put("vote", []byte("2")), qt.IsNotNil)
	data, err := store.Get("vote")
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "1")
	c.Assert(store.Put("vote", []byte("3")), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)

	for _, manifest := range must(filepath.Glob(filepath.Join(folder, "MANIFEST-*"))) {
		c.Assert(os.WriteFile(manifest, []byte("corrupt"), 0o600), qt.IsNil)
	}
	data, err = open(t, folder).Get("vote")
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "3")
}

// volatileFiles simulates a folder's files on a machine that may lose power: written data is in memory until the file is synced, and a
// file's name until the folder is synced. While gate is not nil, the creation of tables blocks, so that no compaction syncs the folder.
type volatileFiles struct {
	lstorage.Storage
	mu            sync.Mutex
	unsyncedNames map[lstorage.FileDesc]bool // files whose names are not synced
	blockTables   bool                       // true if the creation of a journal sets gate
	gate          chan struct{}              // closed to unblock the creation of tables; nil if it does not block
}

// volatileFile is a file of volatileFiles.
type volatileFile struct {
	lstorage.Writer
	files    *volatileFiles
	fd       lstorage.FileDesc
	unsynced []byte
}

func (v *volatileFiles) Create(fd lstorage.FileDesc) (lstorage.Writer, error) {
	v.mu.Lock()
	gate := v.gate
	v.mu.Unlock()
	if gate != nil && fd.Type == lstorage.TypeTable {
		<-gate
	}
	writer, err := v.Storage.Create(fd)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unsyncedNames[fd] = true
	if v.blockTables && fd.Type == lstorage.TypeJournal {
		v.gate = make(chan struct{})
	}
	return &volatileFile{Writer: writer, files: v, fd: fd}, err
}

func (v *volatileFiles) SetMeta(fd lstorage.FileDesc) error {
	v.syncFolder()
	return v.Storage.SetMeta(fd)
}

func (v *volatileFiles) syncFolder() {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.unsyncedNames)
}

// unblockTables unblocks the creation of tables.
func (v *volatileFiles) unblockTables() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.gate != nil {
		close(v.gate)
		v.gate = nil
	}
}

func (v *volatileFile) Write(data []byte) (int, error) {
	v.unsynced = append(v.unsynced, data...)
	return len(data), nil
}

func (v *volatileFile) Sync() error {
	_, err := v.Writer.Write(v.unsynced)
	v.unsynced = nil
	if v.fd.Type == lstorage.TypeManifest {
		v.files.syncFolder()
	}
	return err
}

// copyAfterPowerLoss returns a copy of the folder after the worst loss of power, in which all unsynced data and names are lost.
func (v *volatileFiles) copyAfterPowerLoss(t *testing.T, folder string) string {
	t.Helper()
	v.mu.Lock()
	defer v.mu.Unlock()
	left := t.TempDir()
	qt.Assert(t, os.CopyFS(left, os.DirFS(folder)), qt.IsNil)
	for fd := range v.unsyncedNames {
		if err := os.Remove(filepath.Join(left, fd.String())); err != nil {
			qt.Assert(t, errors.Is(err, fs.ErrNotExist), qt.IsTrue)
		}
	}
	return left
}

// After a loss of power, each record for which Put returned no error is read, even from a journal that was created just before.
func TestSyncedRecordsSurviveLossOfPower(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	var files *volatileFiles
	store := &Store{folder: folder, openFiles: func(folder string) (*durableFiles, error) {
		opened, err := lstorage.OpenFile(folder, false)
		files = &volatileFiles{Storage: opened, unsyncedNames: map[lstorage.FileDesc]bool{}}
		return newDurableFiles(files, func() error { files.syncFolder(); return nil }), err
	}}
	c.Assert(store.open(), qt.IsNil)
	defer func() { c.Check(store.Close(), qt.IsNil) }()
	files.mu.Lock()
	files.blockTables = true
	files.mu.Unlock()
	journals := map[string]bool{}
	body := bytes.Repeat([]byte("0123456789abcdef"), 4<<10)
	for i := range 20 {
		c.Assert(store.Put("vote", append(body, byte(i))), qt.IsNil)
		left := files.copyAfterPowerLoss(t, folder)
		files.unblockTables()
		for _, name := range must(filepath.Glob(filepath.Join(folder, "*.log"))) {
			journals[name] = true
		}
		again := open(t, left)
		data, err := again.Get("vote")
		c.Assert(err, qt.IsNil)
		c.Assert(len(data) > 0 && data[len(data)-1] == byte(i), qt.IsTrue, qt.Commentf("record read is not record %d, the last one written", i))
		c.Assert(again.Close(), qt.IsNil)
	}
	c.Assert(len(journals) > 2, qt.IsTrue, qt.Commentf("%d journals were created, want more than 2", len(journals)))
}

// Get returns a different error for a record of a later format than for a corrupt one, and does not change the record.
func TestRecordOfALaterFormat(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	store := open(t, folder)
	later := encodeRecord([]byte("data"))
	later[0] = recordFormat + 1
	c.Assert(store.db.Put([]byte("vote"), later, nil), qt.IsNil)
	_, err := store.Get("vote")
	c.Assert(trace.IsNotImplemented(err), qt.IsTrue, qt.Commentf("error %v, want a NotImplemented", err))
	c.Assert(err, qt.ErrorMatches, `(?s).*folder `+folder+`, record "vote".*format 0x72, this program reads 0x71.*`)
	c.Assert(must(store.db.Get([]byte("vote"), nil)), qt.DeepEquals, later)
	later[len(later)-1] ^= 1
	c.Assert(store.db.Put([]byte("vote"), later, nil), qt.IsNil)
	_, err = store.Get("vote")
	c.Assert(trace.IsCompareFailed(err), qt.IsTrue)
}

// If a folder is already open, a second Open returns an error that names the folder, and the first Store continues to work.
func TestFolderInUse(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	first := open(t, folder)
	_, err := Open(folder)
	c.Assert(trace.IsAlreadyExists(err), qt.IsTrue, qt.Commentf("error %v, want an AlreadyExists", err))
	c.Assert(err, qt.ErrorMatches, "(?s).*folder "+folder+" is in use by another process.*")
	c.Assert(first.Put("vote", []byte("1")), qt.IsNil)
	c.Assert(first.Close(), qt.IsNil)
	data, err := open(t, folder).Get("vote")
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "1")
}

// A folder in which a file is truncated or missing returns the newest record, or an error that names the folder. It returns an older record
// only if a journal is damaged, as after an incomplete write.
func TestTruncatedFolder(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	store := open(t, folder)
	for i := range 8 {
		c.Assert(store.Put("vote", append(slices.Clone(largeRecord), byte(i))), qt.IsNil)
	}
	c.Assert(store.Close(), qt.IsNil)
	for name, size := range files(t, folder) {
		for _, keep := range []int64{-1, 0, size / 2} { // remaining size in bytes; -1 if the file is missing
			t.Run(fmt.Sprintf("%s of %d bytes, cut to %d", name, size, keep), func(t *testing.T) {
				damaged := t.TempDir()
				qt.Assert(t, os.CopyFS(damaged, os.DirFS(folder)), qt.IsNil)
				if keep < 0 {
					qt.Assert(t, os.Remove(filepath.Join(damaged, name)), qt.IsNil)
				} else {
					qt.Assert(t, os.Truncate(filepath.Join(damaged, name), keep), qt.IsNil)
				}
				checkTruncated(t, damaged, name)
			})
		}
	}
}

// largeRecord is as large as the write buffer of the database. Tests append a byte that identifies the record.
var largeRecord = bytes.Repeat([]byte("0123456789abcdef"), 1<<14)

// checkTruncated checks a folder to which TestTruncatedFolder wrote eight records, and in which the given file is truncated or missing.
func checkTruncated(t *testing.T, folder, file string) {
	t.Helper()
	c := qt.New(t)
	store, err := Open(folder)
	if err != nil {
		c.Assert(err, qt.ErrorMatches, "(?s).*folder "+folder+".*")
		return
	}
	data, err := store.Get("vote")
	if err == nil {
		c.Assert(len(data) == len(largeRecord)+1 && bytes.Equal(data[:len(largeRecord)], largeRecord), qt.IsTrue,
			qt.Commentf("record of %d bytes is not one of those written", len(data)))
	} else {
		c.Assert(trace.IsNotFound(err) || trace.IsCompareFailed(err), qt.IsTrue, qt.Commentf("error %v, want a NotFound or CompareFailed", err))
		c.Assert(err, qt.ErrorMatches, `(?s).*folder `+folder+`, record "vote".*`)
	}
	if file == "CURRENT" {
		c.Assert(err, qt.IsNil) // the file CURRENT only names the manifest
	}
	if err == nil && filepath.Ext(file) != ".log" { // a truncated journal is like one with an incomplete write
		c.Assert(data[len(largeRecord)], qt.Equals, byte(7))
	}
	if err := store.Put("vote", []byte("next")); err != nil {
		c.Assert(err, qt.ErrorMatches, `(?s).*folder `+folder+`, record "vote".*file=`+file+`.*`)
	}
	if err := store.Close(); err != nil { // a compaction may have failed to read the damaged table
		c.Assert(err, qt.ErrorMatches, `(?s).*folder `+folder+`.*file=`+file+`.*`)
	}
}

// If the files that name the manifest are missing, a new manifest is created from the tables.
func TestListOfFilesIsGone(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	store := open(t, folder)
	large := bytes.Repeat([]byte("0123456789abcdef"), 1<<14)
	for i := range 4 {
		c.Assert(store.Put("vote", append(large, byte(i))), qt.IsNil)
	}
	c.Assert(store.Close(), qt.IsNil)
	for _, name := range must(filepath.Glob(filepath.Join(folder, "CURRENT*"))) {
		c.Assert(os.Remove(name), qt.IsNil)
	}
	data, err := open(t, folder).Get("vote")
	c.Assert(err, qt.IsNil)
	c.Assert(data[len(large)], qt.Equals, byte(3))
}

// A folder that is emptied, removed or replaced while it is open is noticed, and opened anew by the next call.
func TestVerifyNoticesALostFolder(t *testing.T) {
	for name, lose := range map[string]func(folder string) error{
		"emptied": func(folder string) error {
			for name := range files(t, folder) {
				if err := os.Remove(filepath.Join(folder, name)); err != nil {
					return err
				}
			}
			return nil
		},
		"removed": os.RemoveAll,
		"replaced": func(folder string) error {
			if err := os.Rename(folder, folder+".old"); err != nil {
				return err
			}
			return os.Mkdir(folder, 0o700)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			folder := filepath.Join(t.TempDir(), "records")
			store, err := Open(folder)
			c.Assert(err, qt.IsNil)
			c.Assert(store.Put("key", []byte("value")), qt.IsNil)
			c.Assert(store.Verify(), qt.IsNil)
			c.Assert(lose(folder), qt.IsNil)
			c.Assert(store.Verify(), qt.ErrorMatches, "(?s).*"+folder+".*")
			_, err = store.Get("key")
			c.Assert(trace.IsNotFound(err), qt.IsTrue, qt.Commentf("got %v", err))
			c.Assert(store.Put("key", []byte("new")), qt.IsNil)
			c.Assert(store.Verify(), qt.IsNil)
			c.Assert(store.Close(), qt.IsNil)
		})
	}
}

// A probe leaves nothing behind, takes the remains of an interrupted one away, and fails where files cannot be written.
func TestProbe(t *testing.T) {
	c := qt.New(t)
	folder := filepath.Join(t.TempDir(), "records")
	store, err := Open(folder)
	c.Assert(err, qt.IsNil)
	before := files(t, folder)
	c.Assert(os.WriteFile(filepath.Join(folder, probeFile), []byte("interrupted"), 0o600), qt.IsNil)
	c.Assert(store.Probe(), qt.IsNil)
	c.Assert(files(t, folder), qt.DeepEquals, before)
	c.Assert(store.Close(), qt.IsNil)
	c.Assert(os.RemoveAll(folder), qt.IsNil)
	c.Assert(store.Probe(), qt.ErrorMatches, "(?s).*"+folder+".*")
}
