package disk

import (
	"errors"
	"slices"
	"sync"
)

// ErrPowerLost is what all calls fail with after the power has gone.
var ErrPowerLost = errors.New("the power is gone")

// Disk is a directory. It is safe for concurrent use.
type Disk struct {
	mu         sync.Mutex        // guards what follows
	names      map[string]*inode // as a process sees them
	durable    map[string]*inode
	changes    []nameChange // since the last sync of the directory
	locked     bool
	powerLost  bool
	operations int // calls that change something
	history    []historyEntry
	units      int // bytes written and changes of names
	faults     faults
}

// inode is a file's content, under whatever names.
type inode struct {
	data    []byte // as a process sees it
	durable []byte
	pending []write // since the last sync
	lost    []write // that a sync failed for: never written, though the process goes on seeing them
}

// write is bytes that were added to a file.
type write struct {
	offset int
	data   []byte
}

// nameChange is a change of names: from goes away, to names a file.
type nameChange struct {
	from, to string // "" for none
	file     *inode
}

// applyTo makes the change in a directory.
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

// Operations returns how many calls there were that change something.
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

// beginOperation counts a call that changes something. losesPower says that the power goes in the middle of it.
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

func (d *Disk) applyNameChange(c nameChange) {
	c.applyTo(d.names)
	d.changes = append(d.changes, c)
	d.history = append(d.history, historyEntry{nameChange: c})
	d.units++
}

// putDurable adds a file all of which is durable.
func (d *Disk) putDurable(name string, data []byte) {
	n := &inode{data: data, durable: slices.Clone(data)}
	d.names[name] = n
	d.durable[name] = n
}
