package storage

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	lstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// createFolder creates a folder if it is missing, and then syncs its parent. Without that sync, a loss of power could remove the new folder
// with all of its files.
func createFolder(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return trace.ConvertSystemError(err)
	}
	return syncFolder(filepath.Dir(folder))
}

// syncFolder syncs a folder to the disk, so that the names of its files are durable.
func syncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close() // the caller gets err, the cause
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(file.Close())
}

// openFiles opens a folder and locks it. The error is syscall.EWOULDBLOCK if another process has the folder open.
func openFiles(folder string) (*durableFiles, error) {
	files, err := lstorage.OpenFile(folder, false)
	if err != nil {
		return nil, err
	}
	return newDurableFiles(files, func() error { return syncFolder(folder) }), nil
}
