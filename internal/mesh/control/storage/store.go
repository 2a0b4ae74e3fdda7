package storage

import (
	"errors"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
)

// Store stores records in a folder. It is not safe for concurrent use.
type Store struct {
	folder    string
	openFiles func(folder string) (*durableFiles, error)
	files     *durableFiles // nil while the folder is closed
	db        *leveldb.DB   // nil while the folder is closed; the next call opens it
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
