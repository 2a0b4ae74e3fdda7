// Package storage keeps a few records on disk, each under its key and written through before Put returns. What a record holds
// is checked when it is read. All calls wait for the disk, as long as it takes: the caller makes them on one goroutine.
package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	lstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// A record is the format's number, the CRC32C of what follows, then the data. Formats up to maxRecordFormat keep this header.
const (
	recordFormat    = 0x71
	maxRecordFormat = 0x7f
	headerBytes     = 1 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Store is a folder of records.
type Store struct {
	folder    string
	openFiles func(folder string) (*durableFiles, error) // gives the folder's files
	files     *durableFiles
	db        *leveldb.DB // nil after an error, until the next call
}

// databaseOptions keep the memory of the database small: it holds few records.
func databaseOptions() *opt.Options {
	return &opt.Options{
		WriteBuffer:                  256 * opt.KiB,
		DisableBlockCache:            true,
		BlockCacheCapacity:           -1,
		OpenFilesCacheCapacity:       16,
		CompactionTableSize:          512 * opt.KiB,
		DisableBufferPool:            true,
		DisableLargeBatchTransaction: true, // which would write a table for every large record
	}
}

// Open opens a folder, which it creates. A lock that a killed process left, and a last write that was torn, don't matter. The
// error names the folder; a folder that another process has open is trace.AlreadyExists.
func Open(folder string) (*Store, error) {
	t := &Store{folder: folder, openFiles: openFiles}
	return t, trace.Wrap(t.open())
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
	s.db, s.files = db, files
	return nil
}

// openDatabase opens the database in a folder's files, and makes its list of files anew if that is spoilt, or gone beside files.
func openDatabase(files *durableFiles) (*leveldb.DB, error) {
	db, err := leveldb.Open(files, databaseOptions())
	if !lerrors.IsCorrupted(err) {
		return db, err
	}
	files.deferChanges()
	if db, err = leveldb.Recover(files, databaseOptions()); err != nil {
		return nil, err
	}
	if err := files.applyDeferred(); err != nil {
		_ = db.Close() // has nothing to add to the error
		return nil, err
	}
	return db, nil
}

// createFolder makes a folder, and syncs the one that it is in: else a loss of power could take it away with all that it holds.
func createFolder(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return trace.ConvertSystemError(err)
	}
	return syncFolder(filepath.Dir(folder))
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	return trace.ConvertSystemError(f.Sync())
}

func openFiles(folder string) (*durableFiles, error) {
	files, err := lstorage.OpenFile(folder, false)
	if err != nil {
		return nil, err
	}
	return newDurableFiles(files, func() error { return syncFolder(folder) }), nil
}

// discard closes the database after an error: its journal may be broken, and is read anew before the next write.
func (s *Store) discard() { _ = s.Close() }

// Get reads a record: trace.NotFound if there is none, trace.CompareFailed if it isn't what was written, trace.NotImplemented
// if a later version of this program wrote it. The error names the folder and the record.
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

// Put writes a record through to the disk. A spoilt table is an error that names it, for good: to go on without it could bring an
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

// Check reads all records, and names those that aren't what was written.
func (s *Store) Check() error {
	if err := s.open(); err != nil {
		return trace.Wrap(err)
	}
	var faults []error
	it := s.db.NewIterator(nil, &opt.ReadOptions{DontFillCache: true})
	defer it.Release()
	for it.Next() {
		if _, err := decodeRecord(it.Value()); err != nil {
			faults = append(faults, trace.Wrap(err, "folder %s, record %q", s.folder, it.Key()))
		}
	}
	return trace.NewAggregate(append(faults, it.Error())...)
}

// Close ends the use of the folder. An error tells of a file that could not be read or written since, also in the background;
// what Put returned without an error is on disk all the same.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	err := trace.NewAggregate(s.db.Close(), s.files.Close())
	s.db, s.files = nil, nil
	return trace.Wrap(err, "folder %s", s.folder)
}

func encodeRecord(data []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(data))
	record[0] = recordFormat
	binary.LittleEndian.PutUint32(record[1:], crc32.Checksum(data, castagnoli))
	return append(record, data...)
}

func decodeRecord(record []byte) ([]byte, error) {
	if len(record) < headerBytes {
		return nil, trace.CompareFailed("%d bytes, expected %d at least", len(record), headerBytes)
	}
	data := record[headerBytes:]
	sum, want := crc32.Checksum(data, castagnoli), binary.LittleEndian.Uint32(record[1:])
	switch number := record[0]; {
	case number > recordFormat && number <= maxRecordFormat && sum == want:
		return nil, trace.NotImplemented("format %#x, this program reads %#x", number, recordFormat)
	case number != recordFormat:
		return nil, trace.CompareFailed("format %#x, expected %#x", number, recordFormat)
	case sum != want:
		return nil, trace.CompareFailed("checksum %#x, expected %#x", sum, want)
	}
	return data, nil
}
