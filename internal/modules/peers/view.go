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

// Options are the settings of a View. All but ExpectedMembers are above 0.
type Options struct {
	SuspicionTimeout    time.Duration // until a suspect that does not refute it is gone
	ForgetAfter         time.Duration // until a gone member is forgotten; longer than any record can be in flight
	SettleAfter         time.Duration // without a change until the view is stable
	DampingWindow       time.Duration // in which flaps of a name are counted; longer than SettleAfter
	LossWindow          time.Duration // within which all members at the other side of a partition are detected as lost
	ResumeWindow        time.Duration // for which the group of an earlier process is the reference
	MinExchangeInterval time.Duration // between two full exchanges because of a difference
	ExpectedMembers     int           // the settings' number of members, of which a first settled group has more than half; 0 or 1 for none
	MaxMembers          int           // how many processes are kept, including tombstones
}

// member is a record with what this process itself has observed of the member.
type member struct {
	Record
	stateSince time.Duration // when the view got its present state
	knownSince time.Duration // when the view got its first record
	reachable  bool          // this process's source reaches it
}

// View is one process's view of all members.
type View struct {
	self         uint64
	options      Options
	members      map[uint64]*member // by process
	group        stability
	version      uint64
	rejected     int           // records
	changes      []Change      // since the last TakeChanges
	lastExchange time.Duration // when ShouldExchange last returned true
}

// New returns the view of a process that knows only itself. self.Incarnation may be 0.
func New(self Record, o Options, now time.Duration) *View {
	v := &View{self: self.Process, options: o, members: map[uint64]*member{}, lastExchange: now}
	v.group = newStability(&v.options, now)
	v.members[self.Process] = &member{Record: self, stateSince: now, knownSince: now, reachable: true}
	v.updateName(now, self.Name)
	return v
}

// Self returns this process's own record, as it is to be announced.
func (v *View) Self() Record { return v.members[v.self].Record }

// SetState sets this process's own state, Serving or Leaving. A state before the present one changes nothing.
func (v *View) SetState(now time.Duration, s State) {
	m := v.members[v.self]
	if s > m.State && (s == Serving || s == Leaving) {
		v.setState(now, m, s, m.Name, causeOwn)
	}
}

// Merge merges a record from another member, the witness, and reports whether it is new, so that it is to be broadcast. A false record
// of this process is refuted by a higher incarnation of Self, which is to be announced instead. That is also so if it was refuted
// before: the witness does not know that.
func (v *View) Merge(now time.Duration, record Record, witness string) bool {
	// The highest incarnation could not be refuted, so no correct member uses it.
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

// addMember adds the first record of a process, unless there are too many members.
func (v *View) addMember(now time.Duration, r Record, witness string) bool {
	if r.State == Gone {
		return false // a member that was never known need not be recorded as gone
	}
	if len(v.members) >= v.options.MaxMembers && !v.evictOne() {
		v.rejected++
		return false
	}
	m := &member{Record: r, stateSince: now, knownSince: now}
	v.members[r.Process] = m
	v.recordChange(now, m, 0, witness, causeHeard)
	return true
}

// updateMember replaces the record of a known process, if the new one supersedes it.
func (v *View) updateMember(now time.Duration, m *member, r Record, witness string) bool {
	if !r.supersedes(&m.Record) {
		return false
	}
	previous := m.Record
	m.Record = r
	if previous.State != r.State || previous.Incarnation != r.Incarnation {
		m.stateSince = now // a higher incarnation is the member's own: it has refuted the state before
	}
	if previous.State != r.State {
		v.recordChange(now, m, previous.State, witness, causeHeard)
	}
	if previous.Name != r.Name {
		v.updateName(now, previous.Name)
	}
	return true
}

// yieldName sets BornMillis of this process, while it starts, to after that of a present process with its name, whatever their clocks
// say: that process keeps the name.
func (v *View) yieldName(r Record) {
	own := v.members[v.self]
	if r.Name != own.Name || !r.State.Present() || own.State != Joining || own.BornMillis > r.BornMillis {
		return
	}
	own.BornMillis = r.BornMillis + 1
	own.Incarnation++
	v.version++
}

// refute handles a record of this process itself, and reports whether Self is to be announced. However often a false record arrives,
// its incarnation is refuted once.
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

// Disputed returns the records of members that are claimed to be gone and that this process's source reaches. Each is to be sent to
// that member itself, repeatedly until it is refuted, because neither a broadcast nor a refutation surely reaches each member.
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

// MarkUnreachable records that the source no longer reaches a process. It returns the record to be broadcast, and false if that is not
// new.
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

// MarkSuspect records that a member did not answer, for sources that do not decide themselves whether it is reachable. It returns the
// record to be broadcast, and false if that is not new.
func (v *View) MarkSuspect(now time.Duration, process uint64) (Record, bool) {
	m := v.members[process]
	if m == nil || process == v.self || m.State >= Suspect {
		return Record{}, false
	}
	v.setState(now, m, Suspect, v.members[v.self].Name, causeNoAnswer)
	return m.Record, true
}

// setState sets the state of a member by a decision of this process.
func (v *View) setState(now time.Duration, m *member, s State, witness, cause string) {
	previous := m.State
	m.State = s
	m.stateSince = now
	v.version++
	v.recordChange(now, m, previous, witness, cause)
	v.updateName(now, m.Name)
}

// evictOne forgets the member that has been gone for longest, or else the one that has been unreachable for longest, and reports
// whether there was one. A reachable member is never forgotten in favour of a new one.
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

// evictedBefore orders members for eviction: those that are gone first, then by how long they have had their state.
func (m *member) evictedBefore(other *member) bool {
	if gone := m.State == Gone; gone != (other.State == Gone) {
		return gone
	}
	return cmp.Or(cmp.Compare(m.stateSince, other.stateSince), cmp.Compare(m.Process, other.Process)) < 0
}

func (v *View) forget(m *member) {
	delete(v.members, m.Process)
	v.version++
}

// Tick advances the view in time: suspects that have not refuted it are gone, members that have long been gone or were never reached
// are forgotten, and a view without changes becomes stable. It returns the records that are new by this, in the order of their
// processes. It is to be called several times in each Options.SettleAfter: a longer pause means that this process was suspended
// (SIGSTOP, a virtual machine that was moved), and that its view is out of date.
func (v *View) Tick(now time.Duration) (updates []Record) {
	v.group.tick(now)
	for _, process := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[process]
		neverReached := m.State != Gone && !m.reachable // MarkUnreachable sets a member that was reached to Gone
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
	if v.group.trySettle(now) {
		v.version++
	}
	return updates
}

// updateName passes the status of a name to the group.
func (v *View) updateName(now time.Duration, name string) {
	var status nameStatus
	for _, m := range v.members {
		if m.Name == name {
			status = v.mergeStatus(now, m, status)
		}
	}
	v.group.applyStatus(now, name, status)
}

// updateAllNames passes the status of all names to the group, including names that no member has any more.
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

// mergeStatus adds a member to the status of its name.
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

// present reports whether a process counts as present: this one reaches it, and it serves or can still refute that it is gone.
func (v *View) present(now time.Duration, m *member) bool {
	refutable := m.State == Gone && now-m.stateSince < v.options.SuspicionTimeout
	return m.reachable && (m.State.Present() || refutable)
}

// Resume sets the group of an earlier process of this sidecar as the one that was settled last, for Options.ResumeWindow, so that a
// member that starts within a partition recognises it. It changes nothing once the view has been stable.
func (v *View) Resume(now time.Duration, names []string) { v.group.resume(now, names) }

// Confidence returns how far the view, and the group of when it was last stable, can be relied on at a time. It is never higher than it
// was then, because later changes are not part of the group.
func (v *View) Confidence(now time.Duration) Confidence { return v.group.confidence(now) }

// Reachable returns how many names of the reference group are present, and how many it has: the group that was settled last, without
// members that have announced their shutdown since; before the first one, how many are present and how many are expected. Names that
// were lost within Options.LossWindow still belong to it: the losses at the other side of a partition are not detected all at once, and
// if the group shrank with each loss, both sides would be settled.
func (v *View) Reachable() (reached, size int) { return v.group.reachable() }

// SettledGroup returns the names of the group that was settled last, in order, for Resume in a later process; nil before the first.
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

// Present returns the members that count as present, in the order of names. Of several processes with one name it has the one that owns
// the name, so that a second one that is started with the same file takes no share of another. This process is included if it serves
// and owns its name.
func (v *View) Present(now time.Duration) []Record {
	owners := map[string]Record{}
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

// DuplicateNames returns the names that several present processes have, in order.
func (v *View) DuplicateNames(now time.Duration) (names []string) {
	processes := map[string]int{}
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

// Records returns all records, in the order of the processes, for a member that has none yet.
func (v *View) Records() (all []Record) {
	for _, process := range slices.Sorted(maps.Keys(v.members)) {
		all = append(all, v.members[process].Record)
	}
	return all
}

// Digest returns a hash of the processes that are present. It is the same at two members if these are, and hardly ever otherwise.
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
			_, _ = hash.Write(b[:]) // a hash returns no error
		}
	}
	return hash.Sum64()
}

// ShouldExchange reports whether all records are to be exchanged with another member, because of its digest. Updates in flight make
// digests differ for a moment, so only a difference from a stable view counts, and at most one in Options.MinExchangeInterval.
func (v *View) ShouldExchange(now time.Duration, digest uint64) bool {
	if v.group.unsettled || now-v.lastExchange < v.options.MinExchangeInterval || digest == v.Digest(now) {
		return false
	}
	v.lastExchange = now
	return true
}

// Version returns a number that grows with each change of the view.
func (v *View) Version() uint64 { return v.version }

// Rejected returns how many records were rejected: malformed ones, and those of new members beyond Options.MaxMembers.
func (v *View) Rejected() int { return v.rejected }
