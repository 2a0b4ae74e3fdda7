package peers

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

// Options are the settings of a View. All except ExpectedMembers must be positive.
type Options struct {
	SuspicionTimeout    time.Duration // time in which a suspect can refute the suspicion before it is gone
	ForgetAfter         time.Duration // time after which a gone member is removed; longer than any record can be in flight
	SettleAfter         time.Duration // time without a change after which the view is stable
	DampingWindow       time.Duration // time after which a name without a flap is steady and its flaps are reset; longer than SettleAfter
	LossWindow          time.Duration // time within which all members at the other side of a partition are detected as lost
	ResumeWindow        time.Duration // time for which the group of an earlier process is the reference group
	MinExchangeInterval time.Duration // minimum time between two full exchanges because of a difference
	ExpectedMembers     int           // members by the settings; the first settled group has more than half of them; 0 or 1 if unknown
	MaxMembers          int           // maximum number of processes with a record, including tombstones
}

// member is the record of a process, and what this process itself has observed about it.
type member struct {
	Record
	stateSince time.Duration // time at which the view got the member's present state and incarnation
	knownSince time.Duration // time at which the view got the first record of the member
	reachable  bool          // whether this process's source reaches the member
}

// View is one process's view of all members.
type View struct {
	self         uint64 // ID of this process
	options      Options
	members      map[uint64]*member // members by process ID, this process among them
	group        stability
	version      uint64        // see Version
	rejected     int           // number of records that were rejected
	changes      []Change      // transitions since the last TakeChanges
	lastExchange time.Duration // time at which ShouldExchange last returned true
}

// New returns the view of a process that knows no other process yet. self.Incarnation may be 0.
func New(self Record, options Options, now time.Duration) *View {
	v := &View{self: self.Process, options: options, members: map[uint64]*member{}, lastExchange: now}
	v.group = newStability(&v.options, now)
	v.members[self.Process] = &member{Record: self, stateSince: now, knownSince: now, reachable: true}
	v.updateName(now, self.Name)
	return v
}

// Self returns this process's own record, which is to be announced to other members.
func (v *View) Self() Record { return v.members[v.self].Record }

// SetState sets this process's own state to Serving or Leaving. It has no effect for other states, or if the present state is the same or
// a later one.
func (v *View) SetState(now time.Duration, s State) {
	m := v.members[v.self]
	if s > m.State && (s == Serving || s == Leaving) {
		v.setState(now, m, s, m.Name, causeSetState)
	}
}

// Merge merges a record that another member, the witness, has sent. It returns true if the record is new and is to be broadcast. If the
// record is a false one about this process, Merge raises the incarnation of Self to refute it and returns true; then Self is to be
// broadcast instead. Merge also returns true if the false record was refuted before, because the witness does not have the refutation.
func (v *View) Merge(now time.Duration, record Record, witness string) bool {
	// No correct member uses the highest incarnation, because it could not be refuted.
	if record.Process == 0 || record.State < Joining || record.State > Gone || record.Incarnation == math.MaxUint64 {
		v.rejected++
		return false
	}
	if record.Process == v.self {
		return v.refute(record)
	}
	var merged bool
	if m := v.members[record.Process]; m == nil {
		merged = v.addMember(now, record, witness)
	} else {
		merged = v.updateMember(now, m, record, witness)
	}
	if !merged {
		return false
	}
	v.version++
	v.yieldName(record)
	v.updateName(now, record.Name)
	return true
}

// addMember adds the first record of a process. It returns false if the process is gone, or if there are too many members and none can be
// evicted.
func (v *View) addMember(now time.Duration, r Record, witness string) bool {
	if r.State == Gone {
		return false // no tombstone is needed for a member that was never known
	}
	if len(v.members) >= v.options.MaxMembers && !v.evictOne() {
		v.rejected++
		return false
	}
	m := &member{Record: r, stateSince: now, knownSince: now}
	v.members[r.Process] = m
	v.recordChange(now, m, 0, witness, causeRecordMerged)
	return true
}

// updateMember replaces the record of a known process if the new one supersedes it, and reports whether it does.
func (v *View) updateMember(now time.Duration, m *member, r Record, witness string) bool {
	if !r.supersedes(&m.Record) {
		return false
	}
	previous := m.Record
	m.Record = r
	if previous.State != r.State || previous.Incarnation != r.Incarnation {
		m.stateSince = now // a higher incarnation comes from the member itself, which has refuted the earlier state
	}
	if previous.State != r.State {
		v.recordChange(now, m, previous.State, witness, causeRecordMerged)
	}
	if previous.Name != r.Name {
		v.updateName(now, previous.Name)
	}
	return true
}

// yieldName raises BornMillis of this process above that of a present process with the same name, if this process is still Joining. So the
// other process owns the name, whatever the clocks of the two are.
func (v *View) yieldName(r Record) {
	own := v.members[v.self]
	if r.Name != own.Name || !r.State.Present() || own.State != Joining || own.BornMillis > r.BornMillis {
		return
	}
	own.BornMillis = r.BornMillis + 1
	own.Incarnation++
	v.version++
}

// refute handles a record about this process itself, and reports whether Self is to be broadcast. However often a false record arrives, it
// raises the incarnation only once.
func (v *View) refute(r Record) bool {
	m := v.members[v.self]
	if r.Incarnation < m.Incarnation {
		return r.State > m.State
	}
	if r.Incarnation == m.Incarnation && r.State <= m.State {
		return false
	}
	m.Incarnation = r.Incarnation + 1
	v.version++
	return true
}

// Disputed returns the records of members that are claimed to be gone although this process's source reaches them. Each record is to be
// sent to its member repeatedly until the member refutes it, because neither a broadcast nor a refutation is certain to reach every
// member.
func (v *View) Disputed() (all []Record) {
	for _, m := range v.members {
		if m.reachable && m.State == Gone {
			all = append(all, m.Record)
		}
	}
	return all
}

// MarkReachable records that this process's source reaches a process.
func (v *View) MarkReachable(now time.Duration, process uint64) {
	if m := v.members[process]; m != nil && !m.reachable {
		m.reachable = true
		v.updateName(now, m.Name)
	}
}

// MarkUnreachable records that this process's source no longer reaches a process. It returns the new record, which is to be broadcast, or
// false if the process is unknown, is this one or was already gone.
func (v *View) MarkUnreachable(now time.Duration, process uint64) (Record, bool) {
	m := v.members[process]
	if m == nil || process == v.self {
		return Record{}, false
	}
	m.reachable = false
	if m.State == Gone {
		v.updateName(now, m.Name)
		return Record{}, false
	}
	v.setState(now, m, Gone, v.members[v.self].Name, causeUnreachable)
	return m.Record, true
}

// MarkSuspect records that a member did not answer. It is for sources that do not decide themselves whether a member is reachable. It
// returns the new record, which is to be broadcast, or false if the process is unknown, is this one or was already Suspect or in a later
// state.
func (v *View) MarkSuspect(now time.Duration, process uint64) (Record, bool) {
	m := v.members[process]
	if m == nil || process == v.self || m.State >= Suspect {
		return Record{}, false
	}
	v.setState(now, m, Suspect, v.members[v.self].Name, causeNoAnswer)
	return m.Record, true
}

// setState sets the state of a member because of a decision of this process.
func (v *View) setState(now time.Duration, m *member, s State, witness, cause string) {
	previous := m.State
	m.State = s
	m.stateSince = now
	v.version++
	v.recordChange(now, m, previous, witness, cause)
	v.updateName(now, m.Name)
}

// evictOne removes one unreachable member: the one that has been gone for longest or, if none is gone, the one that has had its state for
// longest. It reports whether there was one. A reachable member is never evicted.
func (v *View) evictOne() bool {
	var victim *member
	for _, m := range v.members {
		if m.Process == v.self || m.reachable {
			continue
		}
		if victim == nil || m.evictedBefore(victim) {
			victim = m
		}
	}
	if victim == nil {
		return false
	}
	v.forget(victim)
	return true
}

// evictedBefore reports whether a member is evicted before another one: a gone member first, then the one that has had its state for
// longer.
func (m *member) evictedBefore(other *member) bool {
	if gone := m.State == Gone; gone != (other.State == Gone) {
		return gone
	}
	return cmp.Or(cmp.Compare(m.stateSince, other.stateSince), cmp.Compare(m.Process, other.Process)) < 0
}

// forget removes a member.
func (v *View) forget(m *member) {
	delete(v.members, m.Process)
	v.version++
}

// Tick applies all timeouts. It moves suspects that have not refuted the suspicion in time to Gone, removes members that have been gone
// for Options.ForgetAfter or were not reached within that time after their first record, and makes a view without changes stable. It
// returns the new records, which are to be broadcast, in the order of their processes. It must be called several times in each
// Options.SettleAfter: a longer pause means that this process was suspended (by SIGSTOP, or because its virtual machine was moved) and
// that its view is out of date.
func (v *View) Tick(now time.Duration) (updates []Record) {
	v.group.tick(now)
	for _, process := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[process]
		neverReached := m.State != Gone && !m.reachable // MarkUnreachable moves a member that was reached to Gone
		switch {
		case process == v.self:
		case m.State == Suspect && now-m.stateSince >= v.options.SuspicionTimeout:
			v.setState(now, m, Gone, v.members[v.self].Name, causeNotRefuted)
			updates = append(updates, m.Record)
		case m.State == Gone && now-m.stateSince >= v.options.ForgetAfter:
			v.forget(m)
		case neverReached && now-m.knownSince >= v.options.ForgetAfter:
			v.forget(m)
		}
	}
	v.updateAllNames(now)
	if v.group.tryStabilize(now) {
		v.version++
	}
	return updates
}

// updateName passes the status of a name to v.group.
func (v *View) updateName(now time.Duration, name string) {
	var status nameStatus
	for _, m := range v.members {
		if m.Name == name {
			status = v.mergeStatus(now, m, status)
		}
	}
	v.group.applyStatus(now, name, status)
}

// updateAllNames passes the status of all names to v.group, including names that no member has any more.
func (v *View) updateAllNames(now time.Duration) {
	statuses := map[string]nameStatus{}
	for name := range v.group.histories {
		statuses[name] = nameStatus{}
	}
	for _, m := range v.members {
		statuses[m.Name] = v.mergeStatus(now, m, statuses[m.Name])
	}
	for name, status := range statuses {
		v.group.applyStatus(now, name, status)
	}
}

// mergeStatus returns the status of a name with one more of its members.
func (v *View) mergeStatus(now time.Duration, m *member, status nameStatus) nameStatus {
	present := v.present(now, m)
	if present && m.Process != v.self {
		v.group.metOthers = true
	}
	return nameStatus{
		present: status.present || present,
		known:   true,
		leaving: status.leaving || m.State == Leaving,
	}
}

// present reports whether a member counts as present: this process's source reaches it, and it serves or can still refute the claim that
// it is suspect or gone.
func (v *View) present(now time.Duration, m *member) bool {
	refutable := m.State == Gone && now-m.stateSince < v.options.SuspicionTimeout
	return m.reachable && (m.State.Present() || refutable)
}

// Resume sets the names of a settled group of an earlier process of this sidecar as the reference group for Options.ResumeWindow, so that
// a member that starts during a partition detects it. It has no effect once the view has been stable.
func (v *View) Resume(now time.Duration, names []string) { v.group.resume(now, names) }

// Confidence returns how reliable the view and its group are at a time. It is never higher than when the view was last stable, because the
// group lacks later changes.
func (v *View) Confidence(now time.Duration) Confidence { return v.group.confidence(now) }

// Reachable returns how many names of the reference group are present, and the size of the reference group, which is the last settled group
// without members that have announced their shutdown since. Before the first settled group it returns how many names are present and how
// many are expected. Names that were lost within Options.LossWindow still belong to the reference group, because the members at the other
// side of a partition are detected as lost one after another. If the reference group shrank with each of them, the views of both sides
// would be Settled.
func (v *View) Reachable() (reached, size int) { return v.group.reachable() }

// SettledGroup returns the sorted names of the last settled group, to be saved and passed to Resume in a later process. It returns nil if
// no group has been settled in this process.
func (v *View) SettledGroup() (names []string) {
	if v.group.resumed {
		return nil
	}
	for name := range v.group.reference {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Present returns the records of the members that count as present, sorted by name. Of several processes with one name it has only the
// owner of the name, so that a second process that is started with the same file does not reduce the share of other members. This process
// is included if it serves and owns its name.
func (v *View) Present(now time.Duration) []Record {
	owners := map[string]Record{} // the present owner of each name
	for _, m := range v.members {
		if !v.present(now, m) {
			continue
		}
		if other, ok := owners[m.Name]; !ok || m.bornBefore(&other) {
			owners[m.Name] = m.Record
		}
	}
	all := slices.Collect(maps.Values(owners))
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// DuplicateNames returns the sorted names that more than one present process has.
func (v *View) DuplicateNames(now time.Duration) (names []string) {
	processes := map[string]int{} // number of present processes by name
	for _, m := range v.members {
		if !v.present(now, m) {
			continue
		}
		processes[m.Name]++
		if processes[m.Name] == 2 {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Records returns all records, in the order of the processes. They are sent to a member that has none yet, and in a full exchange.
func (v *View) Records() (all []Record) {
	for _, process := range slices.Sorted(maps.Keys(v.members)) {
		all = append(all, v.members[process].Record)
	}
	return all
}

// Digest returns a hash of the present processes, with their incarnations and states. Two members whose views agree on these have the same
// digest; other views have different digests, except for very rare hash collisions.
func (v *View) Digest(now time.Duration) uint64 {
	hash := fnv.New64a()
	var b [8]byte
	for _, process := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[process]
		if !v.present(now, m) {
			continue
		}
		for _, x := range []uint64{process, m.Incarnation, uint64(m.State)} {
			binary.LittleEndian.PutUint64(b[:], x)
			_, _ = hash.Write(b[:]) // Write of a hash never returns an error
		}
	}
	return hash.Sum64()
}

// ShouldExchange reports whether all records are to be exchanged with another member, because its digest differs. Updates in flight make
// digests differ for a moment, so it returns true only if this view is stable, and at most once in each Options.MinExchangeInterval.
func (v *View) ShouldExchange(now time.Duration, digest uint64) bool {
	if v.group.unstable || now-v.lastExchange < v.options.MinExchangeInterval || digest == v.Digest(now) {
		return false
	}
	v.lastExchange = now
	return true
}

// Version returns a number that increases with each change of the view.
func (v *View) Version() uint64 { return v.version }

// Rejected returns how many records were rejected: malformed ones, and records of new members above Options.MaxMembers.
func (v *View) Rejected() int { return v.rejected }
