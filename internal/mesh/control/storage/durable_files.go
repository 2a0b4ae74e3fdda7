package storage

import (
	"sync"

	"github.com/gravitational/trace"
	lstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// durableFiles writes goleveldb's files in an order that stays valid if power is lost at any moment. Each name that was made, removed or
// set in a folder since its last sync may be kept or lost independently. goleveldb 1.0.0 alone does not handle that:
//
//   - A journal's content is synced with each write, but its name in the folder only after the journal before it is compacted.
//   - A table's name may be lost while the list of files, which is synced at once, names the table.
//   - A new list of files (manifest) is put in use before its content is synced, and the files that the old one needs are then removed.
//   - leveldb.Recover first puts an empty list in use and fills it later. If power is lost in between, the next start finds an empty
//     database and removes all tables.
//
// It is safe for concurrent use, as goleveldb needs it.
type durableFiles struct {
	lstorage.Storage
	syncFolder func() error

	mu               sync.Mutex
	manifests        map[lstorage.FileDesc]lstorage.Writer // those that are open
	deferring        bool                                  // SetMeta and Remove take effect at applyDeferred
	deferredMeta     lstorage.FileDesc                     // the manifest to put in use; zero for none
	deferredRemovals []lstorage.FileDesc
}

func newDurableFiles(files lstorage.Storage, syncFolder func() error) *durableFiles {
	return &durableFiles{Storage: files, syncFolder: syncFolder, manifests: map[lstorage.FileDesc]lstorage.Writer{}}
}

// Create creates a file. A journal's name is on disk when Create returns, and a table's name when the table is synced.
func (d *durableFiles) Create(fd lstorage.FileDesc) (lstorage.Writer, error) {
	writer, err := d.Storage.Create(fd)
	if err != nil {
		return nil, err
	}
	switch fd.Type {
	case lstorage.TypeJournal:
		if err := d.syncFolder(); err != nil {
			_ = writer.Close() // err says what went wrong
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

// SetMeta syncs a manifest and then puts it in use, or defers the latter.
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

// Remove removes a file, or defers that.
func (d *durableFiles) Remove(fd lstorage.FileDesc) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.deferring {
		d.deferredRemovals = append(d.deferredRemovals, fd)
		return nil
	}
	return d.Storage.Remove(fd)
}

// deferChanges keeps the manifest in use, and all files, until applyDeferred is called.
func (d *durableFiles) deferChanges() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deferring = true
}

// applyDeferred puts the newest manifest in use, and then removes the files that are not needed any more.
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
		_ = d.Storage.Remove(fd) // a file that remains is removed at the next start
	}
	d.deferredRemovals = nil
	return nil
}

// tableWriter writes a table. Its Sync also syncs the folder, so that a manifest may name the table from then on.
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

// manifestWriter writes a manifest. While it is open, SetMeta syncs it.
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
