package membership

import (
	"cmp"
	"slices"
	"time"
)

// replacedHeartbeatMargin is added to the heartbeat in the tombstone of an incarnation that was replaced by another one at its address, if
// the new one has sent a message itself. The replaced one has certainly ended then, and the tombstone is to hold against all of its
// records that are still spreading.
const replacedHeartbeatMargin = 1 << 20

// tombstoneEntry is a view's tombstone of one incarnation. A record of the incarnation with a higher heartbeat refutes it. If the
// incarnation was replaced, that record must come from the incarnation itself, or its heartbeat must be new after FailureTimeout.
type tombstoneEntry struct {
	heartbeat  uint64
	address    string
	replaced   bool          // by another incarnation at the address
	recordedAt time.Duration // when the heartbeat was last raised
	transmits  int           // how often the tombstone was sent
}

// tombstoneTable holds tombstones by incarnation. Above its capacity the oldest is forgotten.
type tombstoneTable struct {
	capacity int
	entries  map[uint64]tombstoneEntry
	order    []uint64 // incarnations, the oldest first
}

// newTombstoneTable returns an empty table.
func newTombstoneTable(capacity int) tombstoneTable {
	return tombstoneTable{capacity: capacity, entries: map[uint64]tombstoneEntry{}}
}

// add adds a tombstone, or merges it into the one that the incarnation has: the higher heartbeat counts.
func (t *tombstoneTable) add(now time.Duration, incarnation uint64, tombstone tombstoneEntry) {
	old, known := t.entries[incarnation]
	if !known {
		tombstone.recordedAt = now
		t.order = append(t.order, incarnation)
		if len(t.order) > t.capacity {
			delete(t.entries, t.order[0])
			t.order = slices.Delete(t.order, 0, 1)
		}
		t.entries[incarnation] = tombstone
		return
	}
	tombstone.transmits = old.transmits
	tombstone.recordedAt = old.recordedAt
	if tombstone.heartbeat > old.heartbeat {
		tombstone.recordedAt = now
	}
	tombstone.heartbeat = max(tombstone.heartbeat, old.heartbeat)
	tombstone.replaced = tombstone.replaced || old.replaced
	t.entries[incarnation] = tombstone
}

// remove removes the tombstone of an incarnation, if it has one.
func (t *tombstoneTable) remove(incarnation uint64) {
	delete(t.entries, incarnation)
	if i := slices.Index(t.order, incarnation); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// contradicts reports whether a record is to be ignored because of the tombstone of its incarnation. direct means that the member itself
// has sent the record; seen is when the heartbeat in it was new.
func (t *tombstoneTable) contradicts(m *Member, seen time.Duration, direct bool, failureTimeout time.Duration) bool {
	d, ok := t.entries[m.Incarnation]
	if !ok {
		return false
	}
	return m.Heartbeat <= d.heartbeat || d.replaced && !direct && seen < d.recordedAt+failureTimeout
}

// selectTombstones selects the tombstones for a shuffle, those that were sent least often. A brief shuffle carries only updates.
func (v *View) selectTombstones(now time.Duration, brief bool) []Tombstone {
	entries := v.tombstones.entries
	candidates := slices.DeleteFunc(slices.Clone(v.tombstones.order), func(incarnation uint64) bool {
		d := entries[incarnation]
		outdated := now-d.recordedAt >= 2*v.config.FailureTimeout
		return outdated || brief && d.transmits >= maxPriorityTransmits
	})
	slices.SortStableFunc(candidates, func(a, b uint64) int { return cmp.Compare(entries[a].transmits, entries[b].transmits) })
	var out []Tombstone
	for _, incarnation := range candidates[:min(len(candidates), v.config.MaxTombstonesPerShuffle)] {
		d := entries[incarnation]
		d.transmits++
		entries[incarnation] = d
		out = append(out, Tombstone{Incarnation: incarnation, Address: d.address, Heartbeat: d.heartbeat})
	}
	return out
}

// mergeTombstone merges a tombstone of a shuffle. It reports whether a member has departed because of it.
func (v *View) mergeTombstone(now time.Duration, t Tombstone) bool {
	if t.Incarnation == v.self.Incarnation {
		v.refuteTombstone(now, t)
		return false
	}
	e := v.table.byIncarnation[t.Incarnation]
	if e != nil && e.Heartbeat > t.Heartbeat {
		if e.dispute.heartbeat < t.Heartbeat && e.state == alive { // it may have ended all the same, so it is asked
			e.dispute = dispute{heartbeat: t.Heartbeat, probeDue: true}
		}
		return false
	}
	v.tombstones.add(now, t.Incarnation, tombstoneEntry{heartbeat: t.Heartbeat, address: t.Address})
	if e == nil {
		return false
	}
	v.depart(now, e)
	v.schedule.lastRemoval = now
	v.noteUpdate(now)
	return true
}

// refuteTombstone raises the heartbeat of this process above that of a tombstone of it.
func (v *View) refuteTombstone(now time.Duration, t Tombstone) {
	if v.self.Heartbeat <= t.Heartbeat {
		v.self.Heartbeat = t.Heartbeat + 1
		v.noteUpdate(now)
	}
}

// reportReappeared notifies the sender of a shuffle of its own tombstone if that keeps it out of the view, so that it raises its heartbeat.
// The reply carries the tombstone, or the next shuffle if reply is nil.
func (v *View) reportReappeared(sender *Member, reply *Shuffle) {
	d, ok := v.tombstones.entries[sender.Incarnation]
	if !ok || v.table.byIncarnation[sender.Incarnation] != nil {
		return
	}
	t := Tombstone{Incarnation: sender.Incarnation, Address: sender.Address, Heartbeat: d.heartbeat}
	if reply != nil {
		reply.Tombstones = append(reply.Tombstones, t)
	} else if len(v.reappeared) < v.config.MaxTombstonesPerShuffle {
		v.reappeared = append(v.reappeared, t)
	}
}
