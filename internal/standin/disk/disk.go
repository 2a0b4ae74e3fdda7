// Package disk stands in for a directory on a disk that does what disks do at
// the worst moment: it loses what was not synced, tears writes, lets unsynced
// changes out in any order, fills up, fails a sync once and flips bits.
package disk

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"quincegap/internal/files/store"
)

// ErrPowerLost is what all calls fail with after the power has gone.
var ErrPowerLost = errors.New("the power is gone")

// inode is a file's content, under whatever names.
type inode struct {
	data    []byte // as a process sees it
	durable []byte
	pending []write // since the last sync
	lost    []write // that a sync failed for: never written, though the process goes on seeing them
}

type write struct {
	offset int
	data   []byte
}

// nameChange is what was done to names since the directory was last synced: from goes away, to names a file.
type nameChange struct {
	from, to string // "" for none
	file     *inode
}

// historyEntry is a change in the history: of names, or bytes at the end of a file.
type historyEntry struct {
	nameChange
	name string
	data []byte
}

// Disk is a directory. It is safe for concurrent use.
type Disk struct {
	mu         sync.Mutex
	names      map[string]*inode
	durable    map[string]*inode
	changes    []nameChange
	locked     bool
	powerLost  bool
	operations int
	history    []historyEntry
	units      int

	powerLossAt  int    // call at which the power goes; 0 for never
	tearSeed     uint64 // seed of what is left of it
	capacity     int    // bytes that may still be written; negative for any number
	failingSyncs int
	failure      error
	shortReads   bool
	blockedSyncs chan struct{} // syncs wait until it is closed; nil for none
}

// New is an empty one.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, capacity: -1}
}

// LosePowerAt has the power go in the middle of a call that changes something, the nth from here on.
func (d *Disk) LosePowerAt(n int, seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerLossAt, d.tearSeed = d.operations+n, seed
}

// Operations is how many calls that change something there were.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// Units is how much has happened: bytes written, and changes of names.
func (d *Disk) Units() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.units
}

// SetCapacity bounds the bytes that may still be written; a negative number lifts the bound.
func (d *Disk) SetCapacity(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = n
}

// FailSyncs has the next syncs of files fail once each, and lose what they were to make durable, as Linux does.
func (d *Disk) FailSyncs(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failingSyncs = n
}

// Fail has all calls that change something fail until it is told nil.
func (d *Disk) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = err
}

// BlockSyncs has syncs of files wait until release is called: the disk is slow, and does nothing wrong.
func (d *Disk) BlockSyncs() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := make(chan struct{})
	d.blockedSyncs = held
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		close(held)
		if d.blockedSyncs == held {
			d.blockedSyncs = nil
		}
	})
}

// SetShortReads has each read bring half of what it is asked for, at most.
func (d *Disk) SetShortReads(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shortReads = on
}

// FlipBit turns a bit of a file over, for good.
func (d *Disk) FlipBit(name string, bit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	n.data[bit/8] ^= 1 << (bit % 8)
	if bit/8 < len(n.durable) {
		n.durable[bit/8] ^= 1 << (bit % 8)
	}
}

// Files are the names and sizes of what is there.
func (d *Disk) Files() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	sizes := map[string]int{}
	for name, n := range d.names {
		sizes[name] = len(n.data)
	}
	return sizes
}

// AfterPowerLoss is the disk as it is found when the power is back. Of what was not synced there is what the random
// numbers leave: writes whole, in part or not at all, changes of names each or not. Whoever holds a file of the
// old one can do nothing with it.
func (d *Disk) AfterPowerLoss(rng *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerLost = true
	left := New()
	names := maps.Clone(d.durable)
	for _, c := range d.changes {
		if rng.IntN(2) == 0 {
			continue
		}
		if c.from != "" {
			delete(names, c.from)
		}
		if c.to != "" {
			names[c.to] = c.file
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		n := names[name]
		data := slices.Clone(n.durable)
		for _, w := range n.pending {
			keep := len(w.data)
			switch rng.IntN(3) {
			case 0:
				continue
			case 1:
				keep = rng.IntN(keep + 1)
			}
			if grow := w.offset + keep - len(data); grow > 0 {
				data = append(data, make([]byte, grow)...)
			}
			copy(data[w.offset:], w.data[:keep])
		}
		left.putDurable(name, data)
	}
	return left
}

// AfterCrash is the disk as the next process finds it when this one alone has died: nothing is lost.
func (d *Disk) AfterCrash() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerLost = true
	left := New()
	for name, n := range d.names {
		left.putDurable(name, slices.Clone(n.data))
	}
	return left
}

// CutAt is the disk as it was after a number of units, every byte and change up to there made and none after.
func (d *Disk) CutAt(units int) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	files := map[*inode][]byte{}
	names := map[string]*inode{}
	for _, o := range d.history {
		if units <= 0 {
			break
		}
		if o.name == "" {
			units--
			if o.from != "" {
				delete(names, o.from)
			}
			if o.to != "" {
				names[o.to] = o.file
			}
			continue
		}
		n := min(units, len(o.data))
		files[o.file] = append(files[o.file], o.data[:n]...)
		units -= n
	}
	left := New()
	for name, n := range names {
		left.putDurable(name, slices.Clone(files[n]))
	}
	return left
}

func (d *Disk) putDurable(name string, data []byte) {
	n := &inode{data: data, durable: slices.Clone(data)}
	d.names[name], d.durable[name] = n, n
}

// beginOperation counts a call that changes something; last tells that the power goes in the middle of it.
func (d *Disk) beginOperation() (last bool, err error) {
	if d.powerLost {
		return false, ErrPowerLost
	}
	if d.failure != nil {
		return false, d.failure
	}
	d.operations++
	if d.powerLossAt > 0 && d.operations >= d.powerLossAt {
		d.powerLost = true
		return true, nil
	}
	return false, nil
}

func (d *Disk) applyNameChange(c nameChange) {
	if c.from != "" {
		delete(d.names, c.from)
	}
	if c.to != "" {
		d.names[c.to] = c.file
	}
	d.changes = append(d.changes, c)
	d.history = append(d.history, historyEntry{nameChange: c})
	d.units++
}

// Create is of store.FS.
func (d *Disk) Create(name string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, err := d.beginOperation()
	if err != nil {
		return nil, err
	}
	if d.names[name] != nil {
		return nil, fs.ErrExist
	}
	n := &inode{}
	d.applyNameChange(nameChange{to: name, file: n})
	if last {
		return nil, ErrPowerLost
	}
	return &handle{d, n}, nil
}

// Open is of store.FS.
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

// List is of store.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.powerLost {
		return nil, ErrPowerLost
	}
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Rename is of store.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, err := d.beginOperation()
	if err != nil {
		return err
	}
	n := d.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	d.applyNameChange(nameChange{from, to, n})
	if last {
		return ErrPowerLost
	}
	return nil
}

// Remove is of store.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, err := d.beginOperation()
	if err != nil {
		return err
	}
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	d.applyNameChange(nameChange{from: name})
	if last {
		return ErrPowerLost
	}
	return nil
}

// SyncDir is of store.FS.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, err := d.beginOperation()
	if err != nil {
		return err
	}
	if last {
		return ErrPowerLost
	}
	d.durable = maps.Clone(d.names)
	d.changes = nil
	return nil
}

type lockHandle struct{ disk *Disk }

func (u lockHandle) Close() error {
	u.disk.mu.Lock()
	defer u.disk.mu.Unlock()
	u.disk.locked = false
	return nil
}

// Lock is of store.FS.
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

// Locked is of store.FS.
func (d *Disk) Locked() (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.locked, nil
}

// handle is an open file.
type handle struct {
	disk  *Disk
	inode *inode
}

func (h *handle) Write(b []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	last, err := h.disk.beginOperation()
	if err != nil {
		return 0, err
	}
	n := len(b)
	if last {
		n = rand.New(rand.NewPCG(h.disk.tearSeed, 1)).IntN(n + 1)
		err = ErrPowerLost
	}
	if h.disk.capacity >= 0 && n > h.disk.capacity {
		n, err = h.disk.capacity, syscall.ENOSPC
	}
	if h.disk.capacity >= 0 {
		h.disk.capacity -= n
	}
	data := slices.Clone(b[:n])
	h.inode.pending = append(h.inode.pending, write{len(h.inode.data), data})
	h.inode.data = append(h.inode.data, data...)
	h.disk.history = append(h.disk.history, historyEntry{name: "w", nameChange: nameChange{file: h.inode}, data: data})
	h.disk.units += n
	return n, err
}

func (h *handle) Sync() error {
	h.disk.mu.Lock()
	held := h.disk.blockedSyncs
	h.disk.mu.Unlock()
	if held != nil {
		<-held
	}
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	last, err := h.disk.beginOperation()
	if err != nil {
		return err
	}
	if last {
		return ErrPowerLost
	}
	if h.disk.failingSyncs > 0 {
		h.disk.failingSyncs--
		// What was to be made durable is taken for clean from now on, and is never written.
		h.inode.lost = append(h.inode.lost, h.inode.pending...)
		h.inode.pending = nil
		return syscall.EIO
	}
	h.inode.durable = slices.Clone(h.inode.data)
	for _, w := range h.inode.lost {
		clear(h.inode.durable[w.offset : w.offset+len(w.data)])
	}
	h.inode.pending = nil
	return nil
}

func (h *handle) ReadAt(b []byte, at int64) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.disk.powerLost {
		return 0, ErrPowerLost
	}
	if at >= int64(len(h.inode.data)) {
		return 0, io.EOF
	}
	if h.disk.shortReads && len(b) > 1 {
		return copy(b[:(len(b)+1)/2], h.inode.data[at:]), nil
	}
	n := copy(b, h.inode.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (h *handle) Size() (int64, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.disk.powerLost {
		return 0, ErrPowerLost
	}
	return int64(len(h.inode.data)), nil
}

func (h *handle) Close() error { return nil }
