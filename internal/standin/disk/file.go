package disk

import (
	"io"
	"math/rand/v2"
	"slices"
	"syscall"
)

// handle is an open file. It implements store.File and store.Reader.
type handle struct {
	disk  *Disk
	inode *inode
}

// Write implements store.File.
func (h *handle) Write(data []byte) (int, error) {
	disk := h.disk
	disk.mu.Lock()
	defer disk.mu.Unlock()
	losesPower, err := disk.beginOperation()
	if err != nil {
		return 0, err
	}
	written := len(data)
	if losesPower {
		written = rand.New(rand.NewPCG(disk.faults.tearSeed, 1)).IntN(written + 1)
		err = ErrPowerLost
	}
	if disk.faults.capacity >= 0 && written > disk.faults.capacity {
		written = disk.faults.capacity
		err = syscall.ENOSPC
	}
	if disk.faults.capacity >= 0 {
		disk.faults.capacity -= written
	}
	h.append(data[:written])
	return written, err
}

// append adds bytes to the end of the file. They are not durable until the next sync. The caller holds the disk's mutex.
func (h *handle) append(b []byte) {
	data := slices.Clone(b)
	h.inode.pending = append(h.inode.pending, write{offset: len(h.inode.data), data: data})
	h.inode.data = append(h.inode.data, data...)
	h.disk.history = append(h.disk.history, historyEntry{nameChange: nameChange{file: h.inode}, isWrite: true, data: data})
	h.disk.units += len(data)
}

// Sync implements store.File.
func (h *handle) Sync() error {
	h.waitWhileBlocked()
	disk := h.disk
	disk.mu.Lock()
	defer disk.mu.Unlock()
	losesPower, err := disk.beginOperation()
	if err != nil {
		return err
	}
	if losesPower {
		return ErrPowerLost
	}
	if disk.faults.failingSyncs > 0 {
		disk.faults.failingSyncs--
		// Later syncs treat the pending writes as written, but they never become durable.
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

// waitWhileBlocked waits while BlockSyncs blocks syncs.
func (h *handle) waitWhileBlocked() {
	h.disk.mu.Lock()
	blocked := h.disk.faults.blockedSyncs
	h.disk.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
}

// ReadAt implements store.Reader.
func (h *handle) ReadAt(buffer []byte, at int64) (int, error) {
	disk := h.disk
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if disk.powerLost {
		return 0, ErrPowerLost
	}
	if at >= int64(len(h.inode.data)) {
		return 0, io.EOF
	}
	if disk.faults.shortReads && len(buffer) > 1 {
		half := (len(buffer) + 1) / 2
		return copy(buffer[:half], h.inode.data[at:]), nil
	}
	n := copy(buffer, h.inode.data[at:])
	if n < len(buffer) {
		return n, io.EOF
	}
	return n, nil
}

// Size implements store.Reader.
func (h *handle) Size() (int64, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.disk.powerLost {
		return 0, ErrPowerLost
	}
	return int64(len(h.inode.data)), nil
}

// Close implements io.Closer. It does nothing, because the handle holds no resources.
func (h *handle) Close() error { return nil }
