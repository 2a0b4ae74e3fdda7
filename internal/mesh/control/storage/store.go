package storage

import (
	"errors"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
)

// Store is a folder of records. One goroutine uses it at a time.
type Store struct {
	folder    string
	openFiles func(folder string) (*durableFiles, error)
	files     *durableFiles
	db        *leveldb.DB // nil after an error, until the next call
}

// Open opens a folder, which it creates. A lock that a killed process left, and a last write that was torn, don't matter. The error
// names the folder; a folder that another process has open is a trace.AlreadyExists. Also after an error the Store may be used: each
// call tries to open the folder again.
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
		_ = files.Close() // has nothing to add to the error
		return trace.Wrap(err, "folder %s", s.folder)
	}
	s.db = db
	s.files = files
	return nil
}

// discard closes the database after an error: its journal may be broken, and is read anew before the next write.
func (s *Store) discard() {
	_ = s.Close() // has nothing to add to the error
}

// Get reads a record: trace.NotFound if there is none, trace.CompareFailed if it isn't what was written, trace.NotImplemented if a
// later version of this program wrote it. The error names the folder and the record.
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

// Put writes a record through to the disk. A corrupt table is an error that names it, for good: to go on without it could bring an
// older record back. Without the folder, the caller starts as one that lost its disk.
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

// Check reads all records. The error is the aggregate of one error for each that isn't what was written.
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

// Close ends the use of the folder. An error names a file that could not be read or written since, also in the background; what
// Put returned without an error is on disk all the same.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	err := trace.NewAggregate(s.db.Close(), s.files.Close())
	s.db = nil
	s.files = nil
	return trace.Wrap(err, "folder %s", s.folder)
}
