package storage

import (
	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
)

// databaseOptions returns options that keep the memory use of the database small, as it contains few records.
func databaseOptions() *opt.Options {
	return &opt.Options{
		WriteBuffer:                  256 * opt.KiB,
		DisableBlockCache:            true,
		BlockCacheCapacity:           -1,
		OpenFilesCacheCapacity:       16,
		CompactionTableSize:          512 * opt.KiB,
		DisableBufferPool:            true,
		DisableLargeBatchTransaction: true, // a large batch would write a table for every large record
	}
}

// openDatabase opens the database in the given files. If the manifest, goleveldb's list of the files in use, is corrupt, or is missing
// while other files exist, it creates a new manifest from the files.
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
		_ = db.Close() // the caller gets err, the cause
		return nil, err
	}
	return db, nil
}
