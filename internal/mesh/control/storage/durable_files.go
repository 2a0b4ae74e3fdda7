package storage

import (
	"sync"

	"github.com/gravitational/trace"
	lstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// durableFiles are goleveldb's files in an order that any loss of power may interrupt. A folder keeps a name that was made, removed
// or set since its last sync, or loses it, each by itself; goleveldb 1.0.0 alone does not cover that:
//
//   - A journal's content is synced with each write, its name in the folder only once the journal before it is compacted.
//   - A table's name may be lost while the list of files, which is synced at once, names the table.
//   - A new list of files (manifest) is put in use before its content is synced, and the files that the old one needs are removed then.
//   - leveldb.Recover puts an empty list in use first and fills it later: after a loss of power in between, the next start takes the
//     database for an empty one and removes all tables.
//
// goleveldb calls it from several goroutines.
type durableFiles struct {
	lstorage.Storage
	syncFolder func() error

	mu               sync.Mutex
	manifests        map[lstorage.FileDesc]lstorage.Writer // those that are open
	deferring        bool                                  // until applyDeferred: nothing that is on disk is given up
	deferredMeta     lstorage.FileDesc                     // the manifest to put in use; zero for none
	deferredRemovals []lstorage.FileDesc
}

func newDurableFiles(files lstorage.Storage, syncFolder func() error) *durableFiles {
	return &durableFiles{Storage: files, syncFolder: syncFolder, manifests: map[lstorage.FileDesc]lstorage.Writer{}}
}

// Create makes a file. A journal's name is on disk when Create returns, and a table's name when the table is synced.
func (d *durableFiles) Create(fd lstorage.FileDesc) (lstorage.Writer, error) {
	writer, err := d.Storage.Create(fd)
	if err != nil {
		return nil, err
	}
	switch fd.Type {
	case lstorage.TypeJournal:
		if err := d.syncFolder(); err != nil {
			_ = writer.Close() // has nothing to add to the error
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

// SetMeta puts a manifest in use, once it is on disk.
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

// Remove removes a file, or notes to do so.
func (d *durableFiles) Remove(fd lstorage.FileDesc) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.deferring {
		d.deferredRemovals = append(d.deferredRemovals, fd)
		return nil
	}
	return d.Storage.Remove(fd)
}

// deferChanges has the manifest that is in use, and all files, stay until applyDeferred is called.
func (d *durableFiles) deferChanges() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deferring = true
}

// applyDeferred puts the manifest that was made anew in use, and then removes what it does not need.
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
		_ = d.Storage.Remove(fd) // a file that stays is found, and removed, at the next start
	}
	d.deferredRemovals = nil
	return nil
}

// tableWriter writes a table. Its Sync syncs the folder with the content: from then on a manifest may name the table.
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

// manifestWriter writes a manifest, which SetMeta syncs as long as it is open.
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
