package disk

import "sync"

// faults holds the faults to inject into operations on a disk.
type faults struct {
	powerLossAt  int           // number of the operation during which power is lost; 0 for never
	tearSeed     uint64        // seed that determines how much of the write interrupted by the power loss reaches the file
	capacity     int           // number of bytes that may still be written; negative for no limit
	failingSyncs int           // number of upcoming syncs of files that fail
	err          error         // error returned by all modifying operations; nil for none
	shortReads   bool          // whether reads return at most half of what was requested
	blockedSyncs chan struct{} // channel on whose close syncs of files wait; nil if syncs are not blocked
}

// LosePowerAt makes the disk lose power during the nth operation from now on. If that is a write, seed determines how many of its bytes
// reach the file.
func (d *Disk) LosePowerAt(n int, seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.powerLossAt = d.operations + n
	d.faults.tearSeed = seed
}

// SetCapacity limits the number of bytes that may still be written; a negative number removes the limit.
func (d *Disk) SetCapacity(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.capacity = bytes
}

// FailSyncs makes the next n syncs of files fail and discard the writes that they should have made durable, as Linux does.
func (d *Disk) FailSyncs(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.failingSyncs = n
}

// Fail makes all modifying operations fail with err, until it is called with nil.
func (d *Disk) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.err = err
}

// BlockSyncs makes syncs of files wait until release is called, to simulate a slow disk.
func (d *Disk) BlockSyncs() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	blocked := make(chan struct{})
	d.faults.blockedSyncs = blocked
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		close(blocked)
		if d.faults.blockedSyncs == blocked {
			d.faults.blockedSyncs = nil
		}
	})
}

// SetShortReads sets whether reads return at most half of the requested bytes.
func (d *Disk) SetShortReads(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.shortReads = on
}

// FlipBit permanently inverts a bit of a file. Bits are numbered from the lowest bit of the first byte.
func (d *Disk) FlipBit(name string, bit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	at, mask := bit/8, byte(1)<<(bit%8)
	n.data[at] ^= mask
	if at < len(n.durable) {
		n.durable[at] ^= mask
	}
}
