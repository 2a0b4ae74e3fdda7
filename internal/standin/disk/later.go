package disk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// AfterPowerLoss returns the disk as it is found when the power is back. Of what was not synced it has what is drawn: each write complete,
// in part or not at all, each change of a name or not. The old disk loses its power: its open files fail with ErrPowerLost.
func (d *Disk) AfterPowerLoss(rng *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerLost = true
	names := maps.Clone(d.durable)
	for _, c := range d.changes {
		if rng.IntN(2) == 1 {
			c.applyTo(names)
		}
	}
	left := New()
	for _, name := range slices.Sorted(maps.Keys(names)) {
		left.putDurable(name, names[name].afterPowerLoss(rng))
	}
	return left
}

// afterPowerLoss returns the durable content with a random part of the pending writes.
func (i *inode) afterPowerLoss(rng *rand.Rand) []byte {
	data := slices.Clone(i.durable)
	for _, w := range i.pending {
		kept := len(w.data)
		switch rng.IntN(3) {
		case 0:
			continue
		case 1:
			kept = rng.IntN(kept + 1)
		}
		if growth := w.offset + kept - len(data); growth > 0 {
			data = append(data, make([]byte, growth)...)
		}
		copy(data[w.offset:], w.data[:kept])
	}
	return data
}

// AfterCrash returns the disk as the next process finds it after a crash of this one: nothing is lost. All calls of the old disk fail with
// ErrPowerLost from now on.
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

// CutAt returns the disk as it was after a number of units (see Units): with all bytes and changes of names up to there, and none after.
// The old disk goes on.
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
	left := New()
	for name, n := range names {
		left.putDurable(name, slices.Clone(content[n]))
	}
	return left
}
