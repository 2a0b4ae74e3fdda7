package disk

import "sync"

// faults are the faults of a disk.
type faults struct {
	powerLossAt  int    // number of the operation in which the power is lost; 0 for never
	tearSeed     uint64 // draws how much is left of the write in which the power is lost
	capacity     int    // bytes that may still be written; negative for any number
	failingSyncs int    // how many of the next syncs fail
	err          error  // of all operations; nil for none
	shortReads   bool
	blockedSyncs chan struct{} // syncs wait until it is closed; nil for none
}

// LosePowerAt makes the disk lose its power in the middle of the nth operation from now on. seed draws how much is left of a write.
func (d *Disk) LosePowerAt(n int, seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.powerLossAt = d.operations + n
	d.faults.tearSeed = seed
}

// SetCapacity bounds the bytes that may still be written; a negative number lifts the bound.
func (d *Disk) SetCapacity(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.capacity = bytes
}

// FailSyncs makes the next n syncs of files fail, and lose what they should have made durable, as Linux does.
func (d *Disk) FailSyncs(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.failingSyncs = n
}

// Fail makes all operations fail with an error, until it is called with nil.
func (d *Disk) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.err = err
}

// BlockSyncs makes syncs of files wait until release is called, like a disk that is slow.
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

// SetShortReads makes each read return at most half of what it is asked for.
func (d *Disk) SetShortReads(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.shortReads = on
}

// FlipBit inverts a bit of a file for good, counted from the lowest bit of its first byte.
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
