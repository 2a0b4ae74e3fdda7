package storage

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
)

const (
	currentFile = "CURRENT"   // the file with which goleveldb marks a folder that has a database
	probeFile   = "probe.tmp" // the file that Probe creates; goleveldb ignores its name
	probeBytes  = 4096        // size of probeFile
)

// errFolderReplaced is an error of Verify.
var errFolderReplaced = errors.New("another folder has taken its place")

// Store stores records in a folder. It is not safe for concurrent use.
type Store struct {
	folder    string
	openFiles func(folder string) (*durableFiles, error)
	files     *durableFiles // nil while the folder is closed
	db        *leveldb.DB   // nil while the folder is closed; the next call opens it
	opened    os.FileInfo   // the folder as it was opened; nil if it could not be examined
}

// Open opens a folder, and creates it if it is missing. The lock file of a killed process does not prevent that, and an incomplete last
// write is ignored. The error names the folder; it is a trace.AlreadyExists if another process has the folder open. Open returns a usable
// Store even with an error: each call tries to open the folder again.
func Open(folder string) (*Store, error) {
	s := &Store{folder: folder, openFiles: openFiles}
	return s, trace.Wrap(s.open())
}

// open opens the folder unless it is open already.
func (s *Store) open() error {
	if s.db != nil {
		return nil
	}
	if err := createFolder(s.folder); err != nil {
		return trace.Wrap(err, "folder %s", s.folder)
	}
	files, err := s.openFiles(s.folder)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return trace.AlreadyExists("folder %s is in use by another process", s.folder)
	}
	if err != nil {
		return trace.Wrap(err, "folder %s", s.folder)
	}
	db, err := openDatabase(files)
	if err != nil {
		_ = files.Close() // the caller gets err, the cause
		return trace.Wrap(err, "folder %s", s.folder)
	}
	s.db = db
	s.files = files
	s.opened, _ = os.Stat(s.folder) // without it, Verify does not notice that the folder was replaced
	return nil
}

// closeAfterError closes the database, because its journal may be incomplete after an error. The next call opens and reads it again.
func (s *Store) closeAfterError() {
	_ = s.Close() // the caller returns the error that came before
}

// Get returns the data of a record. The error names the folder and the record. It is a trace.NotFound if there is no such record, a
// trace.CompareFailed if the record is corrupt, and a trace.NotImplemented if it has the format of a later version of this program.
func (s *Store) Get(key string) ([]byte, error) {
	if err := s.open(); err != nil {
		return nil, trace.Wrap(err)
	}
	record, err := s.db.Get([]byte(key), nil)
	switch {
	case errors.Is(err, leveldb.ErrNotFound):
		return nil, trace.NotFound("folder %s, record %q", s.folder, key)
	case lerrors.IsCorrupted(err):
		return nil, trace.CompareFailed("folder %s, record %q: %v", s.folder, key, err)
	case err != nil:
		s.closeAfterError()
		return nil, trace.Wrap(err, "folder %s, record %q", s.folder, key)
	}
	data, err := decodeRecord(record)
	return data, trace.Wrap(err, "folder %s, record %q", s.folder, key)
}

// Put writes a record and syncs it to the disk. If a table of the database is corrupt, Put fails permanently with an error that names the
// table: a database without that table could return an older record. An operator can remove the folder; the process then starts like one
// that lost its disk.
func (s *Store) Put(key string, data []byte) error {
	if err := s.open(); err != nil {
		return trace.Wrap(err)
	}
	if err := s.db.Put([]byte(key), encodeRecord(data), &opt.WriteOptions{Sync: true}); err != nil {
		s.closeAfterError()
		return trace.Wrap(err, "folder %s, record %q", s.folder, key)
	}
	return nil
}

// Verify fails if the folder's files were removed, or the folder was replaced, while it was open: writes to open files succeed although
// the next start will not find them. After that, each call opens the folder as it is now. The error names the folder.
func (s *Store) Verify() error {
	if err := s.open(); err != nil {
		return trace.Wrap(err)
	}
	now, err := os.Stat(s.folder)
	if err == nil && s.opened != nil && !os.SameFile(now, s.opened) {
		err = errFolderReplaced
	}
	if err == nil {
		_, err = os.Stat(filepath.Join(s.folder, currentFile))
	}
	if err != nil {
		s.closeAfterError()
		return trace.Wrap(err, "folder %s", s.folder)
	}
	return nil
}

// Probe finds out whether the folder's disk takes writes: it creates, syncs and removes a file there. It may be called during the other
// methods. The error names the folder.
func (s *Store) Probe() error {
	return trace.Wrap(writeProbe(filepath.Join(s.folder, probeFile)), "folder %s", s.folder)
}

// writeProbe creates, syncs and removes a file of one block. An old one is removed first, so that a new block is needed: a full disk could
// take the same block again.
func writeProbe(path string) error {
	if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
		return trace.ConvertSystemError(err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = file.Write(make([]byte, probeBytes))
	if err == nil {
		err = file.Sync()
	}
	return trace.NewAggregate(err, file.Close(), os.Remove(path))
}

// Check reads and verifies all records. Its error aggregates one error for each record that is corrupt or of a later format, which names
// the folder and the record, and the error of reading the database.
func (s *Store) Check() error {
	if err := s.open(); err != nil {
		return trace.Wrap(err)
	}
	var faults []error
	records := s.db.NewIterator(nil, &opt.ReadOptions{DontFillCache: true})
	defer records.Release()
	for records.Next() {
		if _, err := decodeRecord(records.Value()); err != nil {
			faults = append(faults, trace.Wrap(err, "folder %s, record %q", s.folder, records.Key()))
		}
	}
	return trace.NewAggregate(append(faults, records.Error())...)
}

// Close closes the folder. Its error names a file that could not be read or written, possibly earlier in the background. Even then, all
// records for which Put returned no error are on disk.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	err := trace.NewAggregate(s.db.Close(), s.files.Close())
	s.db = nil
	s.files = nil
	return trace.Wrap(err, "folder %s", s.folder)
}
