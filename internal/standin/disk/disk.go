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

// ErrDead is what all calls fail with after the power has gone.
var ErrDead = errors.New("the power is gone")

// inode is a file's content, under whatever names.
type inode struct {
	data    []byte // as a process sees it
	durable []byte
	pending []write // since the last sync
	lost    []write // that a sync failed for: never written, though the process goes on seeing them
}

type write struct {
	at   int
	data []byte
}

// change is what was done to names since the directory was last synced: from goes away, to names a file.
type change struct {
	from, to string // "" for none
	file     *inode
}

// op is a change in the history: of names, or bytes at the end of a file.
type op struct {
	change
	name string
	data []byte
}

// Disk is a directory. It is safe for concurrent use.
type Disk struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	changes []change
	locked  bool
	dead    bool
	ops     int
	history []op
	units   int

	dieAt     int    // call at which the power goes; 0 for never
	tear      uint64 // seed of what is left of it
	room      int    // bytes that may still be written; negative for any number
	failSyncs int
	failing   error
	shortRead bool
	held      chan struct{} // syncs wait until it is closed; nil for none
}

// New is an empty one.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, room: -1}
}

// DieAt has the power go in the middle of a call that changes something, the nth from here on.
func (d *Disk) DieAt(n int, seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dieAt, d.tear = d.ops+n, seed
}

// Ops is how many calls that change something there were.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// Units is how much has happened: bytes written, and changes of names.
func (d *Disk) Units() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.units
}

// SetRoom bounds the bytes that may still be written; a negative number lifts the bound.
func (d *Disk) SetRoom(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = n
}

// FailSyncs has the next syncs of files fail once each, and lose what they were to make durable, as Linux does.
func (d *Disk) FailSyncs(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = n
}

// Fail has all calls that change something fail until it is told nil.
func (d *Disk) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = err
}

// Hold has syncs of files wait until release is called: the disk is slow, and does nothing wrong.
func (d *Disk) Hold() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := make(chan struct{})
	d.held = held
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		close(held)
		if d.held == held {
			d.held = nil
		}
	})
}

// ShortReads has each read bring half of what it is asked for, at most.
func (d *Disk) ShortReads(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shortRead = on
}

// Flip turns a bit of a file over, for good.
func (d *Disk) Flip(name string, bit int) {
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

// After is the disk as it is found when the power is back. Of what was not synced there is what the random
// numbers leave: writes whole, in part or not at all, changes of names each or not. Whoever holds a file of the
// old one can do nothing with it.
func (d *Disk) After(rng *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = true
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
			if grow := w.at + keep - len(data); grow > 0 {
				data = append(data, make([]byte, grow)...)
			}
			copy(data[w.at:], w.data[:keep])
		}
		left.settle(name, data)
	}
	return left
}

// Killed is the disk as the next process finds it when this one alone has died: nothing is lost.
func (d *Disk) Killed() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = true
	left := New()
	for name, n := range d.names {
		left.settle(name, slices.Clone(n.data))
	}
	return left
}

// At is the disk as it was after a number of units, every byte and change up to there made and none after.
func (d *Disk) At(units int) *Disk {
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
		left.settle(name, slices.Clone(files[n]))
	}
	return left
}

func (d *Disk) settle(name string, data []byte) {
	n := &inode{data: data, durable: slices.Clone(data)}
	d.names[name], d.durable[name] = n, n
}

// begin counts a call that changes something; last tells that the power goes in the middle of it.
func (d *Disk) begin() (last bool, err error) {
	if d.dead {
		return false, ErrDead
	}
	if d.failing != nil {
		return false, d.failing
	}
	d.ops++
	if d.dieAt > 0 && d.ops >= d.dieAt {
		d.dead = true
		return true, nil
	}
	return false, nil
}

func (d *Disk) rename(c change) {
	if c.from != "" {
		delete(d.names, c.from)
	}
	if c.to != "" {
		d.names[c.to] = c.file
	}
	d.changes = append(d.changes, c)
	d.history = append(d.history, op{change: c})
	d.units++
}

// Create is of store.FS.
func (d *Disk) Create(name string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, err := d.begin()
	if err != nil {
		return nil, err
	}
	if d.names[name] != nil {
		return nil, fs.ErrExist
	}
	n := &inode{}
	d.rename(change{to: name, file: n})
	if last {
		return nil, ErrDead
	}
	return &handle{d, n}, nil
}

// Open is of store.FS.
func (d *Disk) Open(name string) (store.Reader, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dead {
		return nil, ErrDead
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
	if d.dead {
		return nil, ErrDead
	}
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Rename is of store.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, err := d.begin()
	if err != nil {
		return err
	}
	n := d.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	d.rename(change{from, to, n})
	if last {
		return ErrDead
	}
	return nil
}

// Remove is of store.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, err := d.begin()
	if err != nil {
		return err
	}
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	d.rename(change{from: name})
	if last {
		return ErrDead
	}
	return nil
}

// SyncDir is of store.FS.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, err := d.begin()
	if err != nil {
		return err
	}
	if last {
		return ErrDead
	}
	d.durable = maps.Clone(d.names)
	d.changes = nil
	return nil
}

type unlock struct{ d *Disk }

func (u unlock) Close() error {
	u.d.mu.Lock()
	defer u.d.mu.Unlock()
	u.d.locked = false
	return nil
}

// Lock is of store.FS.
func (d *Disk) Lock() (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.dead:
		return nil, ErrDead
	case d.locked:
		return nil, store.ErrLocked
	}
	d.locked = true
	return unlock{d}, nil
}

// Locked is of store.FS.
func (d *Disk) Locked() (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.locked, nil
}

// handle is an open file.
type handle struct {
	d *Disk
	n *inode
}

func (h *handle) Write(b []byte) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	last, err := h.d.begin()
	if err != nil {
		return 0, err
	}
	n := len(b)
	if last {
		n = rand.New(rand.NewPCG(h.d.tear, 1)).IntN(n + 1)
		err = ErrDead
	}
	if h.d.room >= 0 && n > h.d.room {
		n, err = h.d.room, syscall.ENOSPC
	}
	if h.d.room >= 0 {
		h.d.room -= n
	}
	data := slices.Clone(b[:n])
	h.n.pending = append(h.n.pending, write{len(h.n.data), data})
	h.n.data = append(h.n.data, data...)
	h.d.history = append(h.d.history, op{name: "w", change: change{file: h.n}, data: data})
	h.d.units += n
	return n, err
}

func (h *handle) Sync() error {
	h.d.mu.Lock()
	held := h.d.held
	h.d.mu.Unlock()
	if held != nil {
		<-held
	}
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	last, err := h.d.begin()
	if err != nil {
		return err
	}
	if last {
		return ErrDead
	}
	if h.d.failSyncs > 0 {
		h.d.failSyncs--
		// What was to be made durable is taken for clean from now on, and is never written.
		h.n.lost = append(h.n.lost, h.n.pending...)
		h.n.pending = nil
		return syscall.EIO
	}
	h.n.durable = slices.Clone(h.n.data)
	for _, w := range h.n.lost {
		clear(h.n.durable[w.at : w.at+len(w.data)])
	}
	h.n.pending = nil
	return nil
}

func (h *handle) ReadAt(b []byte, at int64) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.dead {
		return 0, ErrDead
	}
	if at >= int64(len(h.n.data)) {
		return 0, io.EOF
	}
	if h.d.shortRead && len(b) > 1 {
		return copy(b[:(len(b)+1)/2], h.n.data[at:]), nil
	}
	n := copy(b, h.n.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (h *handle) Size() (int64, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.dead {
		return 0, ErrDead
	}
	return int64(len(h.n.data)), nil
}

func (h *handle) Close() error { return nil }
