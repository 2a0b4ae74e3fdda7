package storage

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	lstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

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

// syncFolder has the names of a folder's files written to the disk.
func syncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close() // has nothing to add to the error
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(file.Close())
}

// openFiles opens and locks a folder's files. A folder that another process has open is syscall.EWOULDBLOCK.
func openFiles(folder string) (*durableFiles, error) {
	files, err := lstorage.OpenFile(folder, false)
	if err != nil {
		return nil, err
	}
	return newDurableFiles(files, func() error { return syncFolder(folder) }), nil
}
