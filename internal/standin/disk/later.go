package disk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// AfterPowerLoss returns the disk as it is found when the power is back. Of what was not synced it has what the random numbers
// leave: each write complete, in part or not at all, each change of a name or not. The power of the old disk is lost:
// whoever has a file of it open can do nothing with it.
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

// afterPowerLoss returns what is durable with some of what is pending.
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

// AfterCrash returns the disk as the next process finds it when only this one has ended: nothing is lost. The process that has
// the old disk can do nothing with it any more.
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

// CutAt returns the disk as it was after a number of units: every byte and change of a name up to there was made, and none
// after. The old disk goes on.
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
