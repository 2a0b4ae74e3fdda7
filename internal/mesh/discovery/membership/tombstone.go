package membership

import (
	"cmp"
	"slices"
	"time"
)

// replacedHeartbeatMargin is added to the heartbeat in the tombstone of an incarnation that another one replaced at its address, if the
// latter has sent a message itself: no record of the replaced one that is still under way matters then.
const replacedHeartbeatMargin = 1 << 20

// tombstoneEntry is what a view knows of an incarnation that ended. The member is taken back if a heartbeat above the remembered one is
// known. One that was replaced comes back only by a message of its own, or with a heartbeat that is new long after.
type tombstoneEntry struct {
	heartbeat  uint64
	address    string
	replaced   bool          // by another incarnation at its address
	recordedAt time.Duration // when the heartbeat was last raised
	transmits  int
}

// tombstoneTable holds the tombstones by incarnation, up to a number of them: the oldest is forgotten first.
type tombstoneTable struct {
	capacity int
	entries  map[uint64]tombstoneEntry
	order    []uint64 // incarnations, the oldest first
}

func newTombstoneTable(capacity int) tombstoneTable {
	return tombstoneTable{capacity: capacity, entries: map[uint64]tombstoneEntry{}}
}

// add takes a tombstone, or raises the heartbeat of the one that there is.
func (t *tombstoneTable) add(now time.Duration, incarnation uint64, d tombstoneEntry) {
	old, known := t.entries[incarnation]
	if !known {
		d.recordedAt = now
		t.order = append(t.order, incarnation)
		if len(t.order) > t.capacity {
			delete(t.entries, t.order[0])
			t.order = slices.Delete(t.order, 0, 1)
		}
		t.entries[incarnation] = d
		return
	}
	d.transmits = old.transmits
	d.recordedAt = old.recordedAt
	if d.heartbeat > old.heartbeat {
		d.recordedAt = now
	}
	d.heartbeat = max(d.heartbeat, old.heartbeat)
	d.replaced = d.replaced || old.replaced
	t.entries[incarnation] = d
}

func (t *tombstoneTable) remove(incarnation uint64) {
	delete(t.entries, incarnation)
	if i := slices.Index(t.order, incarnation); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// contradicts reports whether a record of an incarnation is older than its tombstone. direct says that the member itself sent it, and
// seen when its heartbeat was new.
func (t *tombstoneTable) contradicts(m *Member, seen time.Duration, direct bool, failureTimeout time.Duration) bool {
	d, ok := t.entries[m.Incarnation]
	if !ok {
		return false
	}
	return m.Heartbeat <= d.heartbeat || d.replaced && !direct && seen < d.recordedAt+failureTimeout
}

// selectTombstones takes those that were sent least for a shuffle. A brief shuffle carries only those that are updates.
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

// mergeTombstone merges a tombstone of a shuffle. It reports whether a member departed for it.
func (v *View) mergeTombstone(now time.Duration, t Tombstone) bool {
	if t.Incarnation == v.self.Incarnation {
		v.refuteTombstone(now, t)
		return false
	}
	e := v.table.byIncarnation[t.Incarnation]
	if e != nil && e.Heartbeat > t.Heartbeat {
		if e.dispute.heartbeat < t.Heartbeat && e.state == alive { // either the tombstone is outdated or the heartbeat is
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

// refuteTombstone raises the own heartbeat above that of a tombstone of this process.
func (v *View) refuteTombstone(now time.Duration, t Tombstone) {
	if v.self.Heartbeat <= t.Heartbeat {
		v.self.Heartbeat = t.Heartbeat + 1
		v.noteUpdate(now)
	}
}

// reportReappeared notifies the sender of a shuffle if a tombstone of it still holds: it raises its heartbeat above that. reply is nil if
// there is none, and the next shuffle carries the tombstone then.
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
