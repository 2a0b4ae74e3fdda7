package disk

import (
	"io"
	"io/fs"
	"maps"
	"slices"

	"quincegap/internal/files/store"
)

// Create implements store.FS.
func (d *Disk) Create(name string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	losesPower, err := d.beginOperation()
	if err != nil {
		return nil, err
	}
	if d.names[name] != nil {
		return nil, fs.ErrExist
	}
	n := &inode{}
	d.applyNameChange(nameChange{to: name, file: n})
	if losesPower {
		return nil, ErrPowerLost
	}
	return &handle{d, n}, nil
}

// Open implements store.FS.
func (d *Disk) Open(name string) (store.Reader, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.powerLost {
		return nil, ErrPowerLost
	}
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &handle{d, n}, nil
}

// List implements store.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.powerLost {
		return nil, ErrPowerLost
	}
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Rename implements store.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	losesPower, err := d.beginOperation()
	if err != nil {
		return err
	}
	n := d.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	d.applyNameChange(nameChange{from: from, to: to, file: n})
	if losesPower {
		return ErrPowerLost
	}
	return nil
}

// Remove implements store.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	losesPower, err := d.beginOperation()
	if err != nil {
		return err
	}
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	d.applyNameChange(nameChange{from: name})
	if losesPower {
		return ErrPowerLost
	}
	return nil
}

// SyncDir implements store.FS.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	losesPower, err := d.beginOperation()
	if err != nil {
		return err
	}
	if losesPower {
		return ErrPowerLost
	}
	d.durableNames = maps.Clone(d.names)
	d.pendingChanges = nil
	return nil
}

// lockHandle is the acquired lock of a disk; Close releases it.
type lockHandle struct{ disk *Disk }

// Close releases the lock. It never fails.
func (l lockHandle) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	l.disk.locked = false
	return nil
}

// Lock implements store.FS.
func (d *Disk) Lock() (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.powerLost:
		return nil, ErrPowerLost
	case d.locked:
		return nil, store.ErrLocked
	}
	d.locked = true
	return lockHandle{d}, nil
}

// Locked implements store.FS.
func (d *Disk) Locked() (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.locked, nil
}
