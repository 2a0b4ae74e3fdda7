package storage

import (
	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
)

// databaseOptions returns options that keep the database's memory small, as it holds few records.
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

// openDatabase opens the database in a folder's files. If its list of files (manifest) is corrupt, or missing while there are files, it
// makes a new list from the files.
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
		_ = db.Close() // err says what went wrong
		return nil, err
	}
	return db, nil
}
