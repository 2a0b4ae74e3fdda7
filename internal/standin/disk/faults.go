package disk

import "sync"

// faults are what goes wrong on a disk.
type faults struct {
	powerLossAt  int    // number of the operation in which the power goes; 0 for never
	tearSeed     uint64 // decides how much of a write is left that the power is lost in
	capacity     int    // bytes that may still be written; negative for any number
	failingSyncs int    // how many of the next syncs fail
	err          error  // of all operations; nil for none
	shortReads   bool
	blockedSyncs chan struct{} // syncs wait until it is closed; nil for none
}

// LosePowerAt has the power go in the middle of the nth operation from here on. seed decides how much is left of a write.
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

// FailSyncs has the next n syncs of files fail once each, and lose what they were to make durable, as Linux does.
func (d *Disk) FailSyncs(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.failingSyncs = n
}

// Fail has all operations fail with an error, until it is called with nil.
func (d *Disk) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.err = err
}

// BlockSyncs has syncs of files wait until release is called: the disk is slow, and does nothing wrong.
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

// SetShortReads has each read return at most half of what it is asked for.
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
