package disk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// AfterPowerLoss returns the disk as it is after power returns. Of the unsynced changes it contains a random selection: each write in
// full, in part or not at all, and each change of a name or not. The old disk loses power: its open files fail with ErrPowerLost.
func (d *Disk) AfterPowerLoss(rng *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerLost = true
	names := maps.Clone(d.durableNames)
	for _, c := range d.pendingChanges {
		if rng.IntN(2) == 1 {
			c.applyTo(names)
		}
	}
	recovered := New()
	for _, name := range slices.Sorted(maps.Keys(names)) {
		recovered.putDurable(name, names[name].afterPowerLoss(rng))
	}
	return recovered
}

// afterPowerLoss returns the durable content with a random selection of the pending writes applied.
func (i *inode) afterPowerLoss(rng *rand.Rand) []byte {
	data := slices.Clone(i.durable)
	for _, w := range i.pending {
		survivingBytes := len(w.data)
		switch rng.IntN(3) {
		case 0:
			continue
		case 1:
			survivingBytes = rng.IntN(survivingBytes + 1)
		}
		if growth := w.offset + survivingBytes - len(data); growth > 0 {
			data = append(data, make([]byte, growth)...)
		}
		copy(data[w.offset:], w.data[:survivingBytes])
	}
	return data
}

// AfterCrash returns the disk as the next process finds it after a crash of this process: nothing is lost. Operations on the old disk fail
// with ErrPowerLost from now on.
func (d *Disk) AfterCrash() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerLost = true
	recovered := New()
	for name, n := range d.names {
		recovered.putDurable(name, slices.Clone(n.data))
	}
	return recovered
}

// CutAt returns the disk as it was after the given number of units (see Units), with all bytes and changes of names up to then and none
// after. The old disk remains usable.
func (d *Disk) CutAt(units int) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	content := map[*inode][]byte{}
	names := map[string]*inode{}
	for _, entry := range d.history {
		if units <= 0 {
			break
		}
		if !entry.isWrite {
			units--
			entry.applyTo(names)
			continue
		}
		n := min(units, len(entry.data))
		content[entry.file] = append(content[entry.file], entry.data[:n]...)
		units -= n
	}
	recovered := New()
	for name, n := range names {
		recovered.putDurable(name, slices.Clone(content[n]))
	}
	return recovered
}
