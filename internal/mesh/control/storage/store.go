package storage

import (
	"errors"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
)

// Store is a folder of records. It is not safe for concurrent use.
type Store struct {
	folder    string
	openFiles func(folder string) (*durableFiles, error)
	files     *durableFiles
	db        *leveldb.DB // nil while closed: the next call opens it
}

// Open opens a folder, and creates it if it is missing. The lock of a killed process and a torn last write do no harm. The error names the
// folder; it is a trace.AlreadyExists if another process has the folder open. The Store is usable even after an error: each call tries to
// open the folder again.
func Open(folder string) (*Store, error) {
	s := &Store{folder: folder, openFiles: openFiles}
	return s, trace.Wrap(s.open())
}

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
		_ = files.Close() // err says what went wrong
		return trace.Wrap(err, "folder %s", s.folder)
	}
	s.db = db
	s.files = files
	return nil
}

// discard closes the database after an error: its journal may be broken, and is read again by the next call.
func (s *Store) discard() {
	_ = s.Close() // the caller returns the first error
}

// Get reads a record. The error is a trace.NotFound if there is none, a trace.CompareFailed if it is corrupt, and a trace.NotImplemented if
// a later version of this program wrote it. It names the folder and the record.
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
		s.discard()
		return nil, trace.Wrap(err, "folder %s, record %q", s.folder, key)
	}
	data, err := decodeRecord(record)
	return data, trace.Wrap(err, "folder %s, record %q", s.folder, key)
}

// Put writes a record and syncs it to the disk. A corrupt table is a permanent error that names the table: without it, an older record
// could reappear. An operator may remove the folder; the process then starts as one that lost its disk.
func (s *Store) Put(key string, data []byte) error {
	if err := s.open(); err != nil {
		return trace.Wrap(err)
	}
	if err := s.db.Put([]byte(key), encodeRecord(data), &opt.WriteOptions{Sync: true}); err != nil {
		s.discard()
		return trace.Wrap(err, "folder %s, record %q", s.folder, key)
	}
	return nil
}

// Check reads all records. The error aggregates one error for each corrupt record.
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

// Close closes the folder. An error names a file that could not be read or written, also in the background. All records for which Put
// returned no error are on disk all the same.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	err := trace.NewAggregate(s.db.Close(), s.files.Close())
	s.db = nil
	s.files = nil
	return trace.Wrap(err, "folder %s", s.folder)
}
