package disk

import (
	"errors"
	"slices"
	"sync"
)

// ErrPowerLost is the error of all calls after a loss of power.
var ErrPowerLost = errors.New("the power is gone")

// Disk is a directory on a disk. Its methods may be called by several goroutines.
type Disk struct {
	mu         sync.Mutex        // guards what follows
	names      map[string]*inode // as a process sees them
	durable    map[string]*inode
	changes    []nameChange // since the last sync of the directory
	locked     bool
	powerLost  bool
	operations int // calls that change something, so far
	history    []historyEntry
	units      int // bytes written and changes of names, so far
	faults     faults
}

// inode is the content of a file, whatever its names are.
type inode struct {
	data    []byte // as a process sees it
	durable []byte
	pending []write // since the last sync
	lost    []write // of a sync that failed: never written, though the process still reads them
}

// write is bytes that were added to a file.
type write struct {
	offset int
	data   []byte
}

// nameChange is a change of names: from is removed, to is added.
type nameChange struct {
	from, to string // "" for none
	file     *inode
}

// applyTo applies the change to a directory.
func (n *nameChange) applyTo(names map[string]*inode) {
	if n.from != "" {
		delete(names, n.from)
	}
	if n.to != "" {
		names[n.to] = n.file
	}
}

// historyEntry is a change of names, or bytes that were written at the end of the file.
type historyEntry struct {
	nameChange
	isWrite bool
	data    []byte
}

// New returns an empty disk without faults.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, faults: faults{capacity: -1}}
}

// Operations returns how many calls have changed something.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// Units returns how much has happened: bytes written, and changes of names.
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

// beginOperation counts a call that changes something; losesPower reports whether the power is lost in the middle of it. d.mu is held.
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

// applyNameChange makes a change of names, which is pending until the next sync of the directory. d.mu is held.
func (d *Disk) applyNameChange(c nameChange) {
	c.applyTo(d.names)
	d.changes = append(d.changes, c)
	d.history = append(d.history, historyEntry{nameChange: c})
	d.units++
}

// putDurable adds a file that is durable with its name.
func (d *Disk) putDurable(name string, data []byte) {
	n := &inode{data: data, durable: slices.Clone(data)}
	d.names[name] = n
	d.durable[name] = n
}
