package storage

import (
	"sync"

	"github.com/gravitational/trace"
	lstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// durableFiles writes goleveldb's files in an order that keeps the database valid if power is lost at any moment. A loss of power may keep
// or undo, independently of the others, each file creation, removal and renaming since the folder's last sync. goleveldb 1.0.0 alone does
// not handle that:
//
//   - It syncs the content of a journal with each write, but the journal's name in the folder only after the previous journal is
//     compacted.
//   - A table's name may be lost although the manifest (the list of the files in use), which is synced at once, names the table.
//   - A new manifest is activated before its content is synced, and the files that the previous manifest needs are then removed.
//   - leveldb.Recover activates an empty manifest first and fills it later. If power is lost in between, the next start finds an empty
//     database and removes all tables.
//
// durableFiles is safe for concurrent use, which goleveldb requires.
type durableFiles struct {
	lstorage.Storage
	syncFolder func() error

	mu               sync.Mutex
	manifests        map[lstorage.FileDesc]lstorage.Writer // writers of the open manifests
	deferring        bool                                  // true while SetMeta and Remove are deferred until applyDeferred
	deferredMeta     lstorage.FileDesc                     // manifest that applyDeferred activates; zero for none
	deferredRemovals []lstorage.FileDesc                   // files that applyDeferred removes
}

// newDurableFiles returns durableFiles on top of files. syncFolder must sync the names of the files to the disk.
func newDurableFiles(files lstorage.Storage, syncFolder func() error) *durableFiles {
	return &durableFiles{Storage: files, syncFolder: syncFolder, manifests: map[lstorage.FileDesc]lstorage.Writer{}}
}

// Create creates a file. The name of a journal is on disk when Create returns, and the name of a table when the table's Sync returns.
func (d *durableFiles) Create(fd lstorage.FileDesc) (lstorage.Writer, error) {
	writer, err := d.Storage.Create(fd)
	if err != nil {
		return nil, err
	}
	switch fd.Type {
	case lstorage.TypeJournal:
		if err := d.syncFolder(); err != nil {
			_ = writer.Close() // the caller gets err, the cause
			return nil, err
		}
	case lstorage.TypeTable:
		return &tableWriter{writer, d.syncFolder}, nil
	case lstorage.TypeManifest:
		d.mu.Lock()
		d.manifests[fd] = writer
		d.mu.Unlock()
		return &manifestWriter{writer, d, fd}, nil
	}
	return writer, nil
}

// SetMeta syncs a manifest and then activates it. After deferChanges it only syncs it; applyDeferred activates it.
func (d *durableFiles) SetMeta(fd lstorage.FileDesc) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if writer := d.manifests[fd]; writer != nil {
		if err := writer.Sync(); err != nil {
			return err
		}
	}
	if d.deferring {
		d.deferredMeta = fd
		return nil
	}
	return d.Storage.SetMeta(fd)
}

// Remove removes a file. After deferChanges, applyDeferred removes it.
func (d *durableFiles) Remove(fd lstorage.FileDesc) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.deferring {
		d.deferredRemovals = append(d.deferredRemovals, fd)
		return nil
	}
	return d.Storage.Remove(fd)
}

// deferChanges leaves the active manifest and all files in place until applyDeferred is called.
func (d *durableFiles) deferChanges() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deferring = true
}

// applyDeferred activates the newest manifest, and then removes the files whose removal was deferred. It fails if the manifest cannot be
// activated.
func (d *durableFiles) applyDeferred() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deferring = false
	if !d.deferredMeta.Zero() {
		if err := d.Storage.SetMeta(d.deferredMeta); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	for _, fd := range d.deferredRemovals {
		_ = d.Storage.Remove(fd) // goleveldb removes a remaining file at the next start
	}
	d.deferredRemovals = nil
	return nil
}

// tableWriter writes a table. Its Sync also syncs the folder, so that a manifest can safely name the table afterwards.
type tableWriter struct {
	lstorage.Writer
	syncFolder func() error
}

// Sync implements lstorage.Syncer.
func (t *tableWriter) Sync() error {
	if err := t.Writer.Sync(); err != nil {
		return err
	}
	return t.syncFolder()
}

// manifestWriter writes a manifest. SetMeta syncs the manifest if its writer is open.
type manifestWriter struct {
	lstorage.Writer
	files *durableFiles
	fd    lstorage.FileDesc
}

// Close implements io.Closer.
func (m *manifestWriter) Close() error {
	m.files.mu.Lock()
	delete(m.files.manifests, m.fd)
	m.files.mu.Unlock()
	return m.Writer.Close()
}
