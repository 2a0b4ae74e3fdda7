// Package storage keeps a few records on disk, each under its key and written through before Put returns. What a record holds
// is checked when it is read. All calls wait for the disk, as long as it takes: the caller makes them on one goroutine.
package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"

	"github.com/gravitational/trace"
	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
)

// A record is magic, the CRC32C of what follows, then the data.
const (
	magic  = 0x71 // and the version of the format
	header = 1 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Trunk is a folder of records.
type Store struct {
	folder string
	db     *leveldb.DB // nil after an error, until the next call
}

// options keep the memory of the database small: it holds few records.
func options() *opt.Options {
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

// Open opens a folder, which it creates. A lock that a killed process left, and a last write that was torn, don't matter.
func Open(folder string) (*Store, error) {
	t := &Store{folder: folder}
	return t, trace.Wrap(t.open())
}

func (t *Store) open() error {
	if t.db != nil {
		return nil
	}
	if err := os.MkdirAll(t.folder, 0o700); err != nil {
		return trace.ConvertSystemError(err)
	}
	db, err := leveldb.OpenFile(t.folder, options())
	if lerrors.IsCorrupted(err) {
		db, err = leveldb.RecoverFile(t.folder, options())
	}
	if err != nil {
		return trace.Wrap(err, "folder %s", t.folder)
	}
	t.db = db
	return nil
}

// drop closes the database after an error: its journal may be broken, and is read anew before the next write.
func (t *Store) drop() {
	if t.db != nil {
		_ = t.db.Close() // has nothing to add to the error
		t.db = nil
	}
}

// Get reads a record: trace.NotFound if there is none, trace.CompareFailed if it isn't what was written.
func (t *Store) Get(key string) ([]byte, error) {
	if err := t.open(); err != nil {
		return nil, trace.Wrap(err)
	}
	record, err := t.db.Get([]byte(key), nil)
	switch {
	case errors.Is(err, leveldb.ErrNotFound):
		return nil, trace.NotFound("record %q", key)
	case lerrors.IsCorrupted(err):
		return nil, trace.CompareFailed("record %q: %v", key, err)
	case err != nil:
		t.drop()
		return nil, trace.Wrap(err, "record %q", key)
	}
	data, err := unwrap(record)
	return data, trace.Wrap(err, "record %q", key)
}

// Put writes a record through to the disk.
func (t *Store) Put(key string, data []byte) error {
	if err := t.open(); err != nil {
		return trace.Wrap(err)
	}
	if err := t.db.Put([]byte(key), wrap(data), &opt.WriteOptions{Sync: true}); err != nil {
		t.drop()
		return trace.Wrap(err, "record %q", key)
	}
	return nil
}

// Check reads all records, and names those that aren't what was written.
func (t *Store) Check() error {
	if err := t.open(); err != nil {
		return trace.Wrap(err)
	}
	var faults []error
	it := t.db.NewIterator(nil, &opt.ReadOptions{DontFillCache: true})
	defer it.Release()
	for it.Next() {
		if _, err := unwrap(it.Value()); err != nil {
			faults = append(faults, trace.Wrap(err, "record %q", it.Key()))
		}
	}
	return trace.NewAggregate(append(faults, it.Error())...)
}

// Close ends the use of the folder.
func (t *Store) Close() error {
	if t.db == nil {
		return nil
	}
	err := t.db.Close()
	t.db = nil
	return trace.Wrap(err)
}

func wrap(data []byte) []byte {
	record := make([]byte, header, header+len(data))
	record[0] = magic
	binary.LittleEndian.PutUint32(record[1:], crc32.Checksum(data, castagnoli))
	return append(record, data...)
}

func unwrap(record []byte) ([]byte, error) {
	if len(record) < header || record[0] != magic {
		return nil, trace.CompareFailed("not of this format")
	}
	data := record[header:]
	if crc32.Checksum(data, castagnoli) != binary.LittleEndian.Uint32(record[1:]) {
		return nil, trace.CompareFailed("checksum doesn't fit")
	}
	return data, nil
}
