package disk

import (
	"errors"
	"slices"
	"sync"
)

// ErrPowerLost is returned by the operation during which the disk loses power, and by later operations on the disk and its files.
var ErrPowerLost = errors.New("disk has lost power")

// Disk is a simulated directory on a disk. Its methods are safe for concurrent use.
type Disk struct {
	mu             sync.Mutex        // guards all other fields and the inodes
	names          map[string]*inode // files by name, as processes see them
	durableNames   map[string]*inode // files by name, as of the last sync of the directory
	pendingChanges []nameChange      // changes of names since the last sync of the directory
	locked         bool              // whether a process holds the lock of the directory
	powerLost      bool
	operations     int            // number of modifying calls so far
	history        []historyEntry // all changes in their order, for CutAt
	units          int            // number of bytes written plus changes of names so far
	faults         faults
}

// inode is the content of a file, independent of the file's name.
type inode struct {
	data    []byte  // content as processes see it
	durable []byte  // content as of the last successful sync
	pending []write // writes since the last sync
	lost    []write // writes that a failed sync discarded: processes still read them, but they never become durable
}

// write is a sequence of bytes appended to a file.
type write struct {
	offset int
	data   []byte
}

// nameChange is a creation, renaming or removal of a file: it removes the name from and adds the name to.
type nameChange struct {
	from, to string // empty if no name is removed or added
	file     *inode
}

// applyTo applies the change to the names of a directory.
func (n *nameChange) applyTo(names map[string]*inode) {
	if n.from != "" {
		delete(names, n.from)
	}
	if n.to != "" {
		names[n.to] = n.file
	}
}

// historyEntry is either a change of names or, if isWrite is set, data appended to the file.
type historyEntry struct {
	nameChange
	isWrite bool
	data    []byte
}

// New returns an empty disk without faults.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durableNames: map[string]*inode{}, faults: faults{capacity: -1}}
}

// Operations returns the number of modifying calls so far, including syncs.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// Units returns the number of bytes written plus the number of changes of names so far.
func (d *Disk) Units() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.units
}

// Files returns the names and sizes of all files.
func (d *Disk) Files() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	sizes := map[string]int{}
	for name, n := range d.names {
		sizes[name] = len(n.data)
	}
	return sizes
}

// beginOperation counts a modifying call. It fails if the disk has lost power or Fail is active; losesPower reports whether the disk
// loses power during this call. The caller holds d.mu.
func (d *Disk) beginOperation() (losesPower bool, err error) {
	if d.powerLost {
		return false, ErrPowerLost
	}
	if d.faults.err != nil {
		return false, d.faults.err
	}
	d.operations++
	if d.faults.powerLossAt > 0 && d.operations >= d.faults.powerLossAt {
		d.powerLost = true
		return true, nil
	}
	return false, nil
}

// applyNameChange applies a change of names, which is not durable until the next sync of the directory. The caller holds d.mu.
func (d *Disk) applyNameChange(c nameChange) {
	c.applyTo(d.names)
	d.pendingChanges = append(d.pendingChanges, c)
	d.history = append(d.history, historyEntry{nameChange: c})
	d.units++
}

// putDurable adds a file whose name and content are durable.
func (d *Disk) putDurable(name string, data []byte) {
	n := &inode{data: data, durable: slices.Clone(data)}
	d.names[name] = n
	d.durableNames[name] = n
}
