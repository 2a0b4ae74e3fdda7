package membership

import (
	"cmp"
	"slices"
	"time"
)

// replacedHeartbeatMargin is added to the heartbeat in the tombstone of an incarnation that was replaced by another one at its address, if
// the new incarnation itself has sent a message. The replaced incarnation has then certainly ended, and its tombstone must cover all of
// its records that are still spreading.
const replacedHeartbeatMargin = 1 << 20

// tombstoneEntry is a view's tombstone of one incarnation. A record of the incarnation with a higher heartbeat refutes it. If the
// incarnation was replaced, the record must also either come from the incarnation itself, or its heartbeat must have been new no earlier
// than FailureTimeout after recordedAt.
type tombstoneEntry struct {
	heartbeat  uint64
	address    string
	replaced   bool          // another incarnation at the address has replaced this one
	recordedAt time.Duration // time at which the tombstone was added or its heartbeat last raised
	transmits  int           // number of times that the tombstone was sent
}

// tombstoneTable holds tombstones by incarnation. When it exceeds its capacity, the oldest tombstone is evicted.
type tombstoneTable struct {
	capacity int
	entries  map[uint64]tombstoneEntry
	order    []uint64 // incarnations of the tombstones, the oldest tombstone first
}

// newTombstoneTable returns an empty table.
func newTombstoneTable(capacity int) tombstoneTable {
	return tombstoneTable{capacity: capacity, entries: map[uint64]tombstoneEntry{}}
}

// add adds a tombstone. If the incarnation already has one, they are merged, and the higher heartbeat is used.
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

// remove removes the tombstone of an incarnation, if there is one.
func (t *tombstoneTable) remove(incarnation uint64) {
	delete(t.entries, incarnation)
	if i := slices.Index(t.order, incarnation); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// contradicts reports whether a record must be ignored because of the tombstone of its incarnation. direct means that the member itself
// has sent the record; seen is the time at which the heartbeat in the record was new.
func (t *tombstoneTable) contradicts(m *Member, seen time.Duration, direct bool, failureTimeout time.Duration) bool {
	tombstone, ok := t.entries[m.Incarnation]
	if !ok {
		return false
	}
	return m.Heartbeat <= tombstone.heartbeat || tombstone.replaced && !direct && seen < tombstone.recordedAt+failureTimeout
}

// selectTombstones returns the tombstones for a shuffle, those that were sent least often first. A brief shuffle carries only tombstones
// that are still updates, which means that they were sent fewer than maxPriorityTransmits times.
func (v *View) selectTombstones(now time.Duration, brief bool) []Tombstone {
	entries := v.tombstones.entries
	candidates := slices.DeleteFunc(slices.Clone(v.tombstones.order), func(incarnation uint64) bool {
		tombstone := entries[incarnation]
		outdated := now-tombstone.recordedAt >= 2*v.config.FailureTimeout
		return outdated || brief && tombstone.transmits >= maxPriorityTransmits
	})
	slices.SortStableFunc(candidates, func(a, b uint64) int { return cmp.Compare(entries[a].transmits, entries[b].transmits) })
	var out []Tombstone
	for _, incarnation := range candidates[:min(len(candidates), v.config.MaxTombstonesPerShuffle)] {
		tombstone := entries[incarnation]
		tombstone.transmits++
		entries[incarnation] = tombstone
		out = append(out, Tombstone{Incarnation: incarnation, Address: tombstone.address, Heartbeat: tombstone.heartbeat})
	}
	return out
}

// mergeTombstone merges a tombstone that was received. It reports whether a member has departed because of it.
func (v *View) mergeTombstone(now time.Duration, t Tombstone) bool {
	if t.Incarnation == v.self.Incarnation {
		v.refuteTombstone(now, t)
		return false
	}
	e := v.table.byIncarnation[t.Incarnation]
	if e != nil && e.Heartbeat > t.Heartbeat {
		if e.dispute.heartbeat < t.Heartbeat && e.state == alive { // the member may still have ended, so it is probed
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

// refuteTombstone raises the heartbeat of this process above the one in a tombstone of this process.
func (v *View) refuteTombstone(now time.Duration, t Tombstone) {
	if v.self.Heartbeat <= t.Heartbeat {
		v.self.Heartbeat = t.Heartbeat + 1
		v.noteUpdate(now)
	}
}

// reportReappeared sends the sender of a shuffle its own tombstone if the tombstone prevents the view from adding it. The sender then
// raises its heartbeat. The tombstone is added to the reply, or to the next shuffle if reply is nil.
func (v *View) reportReappeared(sender *Member, reply *Shuffle) {
	known, ok := v.tombstones.entries[sender.Incarnation]
	if !ok || v.table.byIncarnation[sender.Incarnation] != nil {
		return
	}
	t := Tombstone{Incarnation: sender.Incarnation, Address: sender.Address, Heartbeat: known.heartbeat}
	if reply != nil {
		reply.Tombstones = append(reply.Tombstones, t)
	} else if len(v.reappearedTombstones) < v.config.MaxTombstonesPerShuffle {
		v.reappearedTombstones = append(v.reappearedTombstones, t)
	}
}
