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

// Options are the figures of a View. All but ExpectedMembers are above 0.
type Options struct {
	SuspicionTimeout    time.Duration // until a suspect that refutes nothing is gone
	ForgetAfter         time.Duration // until one that is gone is forgotten; longer than any record can be in flight
	SettleAfter         time.Duration // without a change until the view is stable
	DampingWindow       time.Duration // in which a name that appears and goes is damped; longer than SettleAfter
	LossWindow          time.Duration // in which all members at the other side of a partition are surely found to be lost
	ResumeWindow        time.Duration // in which the group of an earlier run counts
	MinExchangeInterval time.Duration // between two full exchanges for a difference
	ExpectedMembers     int           // that a file names; the first group has more than half of them. 0 or 1: none are expected
	MaxMembers          int           // processes that are kept, tombstones among them
}

// member is a record with what this process knows of it by itself.
type member struct {
	Record
	stateSince time.Duration // when it got its state here
	knownSince time.Duration // when it was first known here
	reachable  bool          // this process's source reaches it now
}

// View is one process's view of all members.
type View struct {
	self         uint64
	options      Options
	members      map[uint64]*member // by process
	group        stability
	version      uint64
	rejected     int
	changes      []Change
	lastExchange time.Duration // when a difference was last acted on
}

// New makes the view of a process that knows itself alone. self.Incarnation may be 0.
func New(self Record, o Options, now time.Duration) *View {
	v := &View{self: self.Process, options: o, members: map[uint64]*member{}, lastExchange: now}
	v.group = newStability(&v.options, now)
	v.members[self.Process] = &member{Record: self, stateSince: now, knownSince: now, reachable: true}
	v.updateName(now, self.Name)
	return v
}

// Self is this process's own record, as it is to be announced.
func (v *View) Self() Record { return v.members[v.self].Record }

// SetState takes this process's own new state, Serving or Leaving. An earlier state than the present one changes nothing.
func (v *View) SetState(now time.Duration, s State) {
	m := v.members[v.self]
	if s > m.State && (s == Serving || s == Leaving) {
		v.setState(now, m, s, m.Name, causeOwn)
	}
}

// Merge takes a record that came from another member, the witness, and returns true if it says something new, which is to be
// broadcast. A false record of this process is refuted by a higher incarnation of Self, which is to be announced in its place; also
// if it was refuted before, for whoever says it has not heard of that.
func (v *View) Merge(now time.Duration, r Record, witness string) bool {
	// The last incarnation could not be refuted any more: no honest member says it.
	if r.Process == 0 || r.State < Joining || r.State > Gone || r.Incarnation == math.MaxUint64 {
		v.rejected++
		return false
	}
	if r.Process == v.self {
		return v.refute(r)
	}
	var merged bool
	if m := v.members[r.Process]; m == nil {
		merged = v.addMember(now, r, witness)
	} else {
		merged = v.updateMember(now, m, r, witness)
	}
	if !merged {
		return false
	}
	v.version++
	v.yieldName(r)
	v.updateName(now, r.Name)
	return true
}

// addMember takes the first record of a process, unless there is no room for it.
func (v *View) addMember(now time.Duration, r Record, witness string) bool {
	if r.State == Gone {
		return false // nobody here needs to learn that a member is gone that was never known
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

// updateMember takes a record of a process that is known, if it supersedes the one before.
func (v *View) updateMember(now time.Duration, m *member, r Record, witness string) bool {
	if !r.supersedes(&m.Record) {
		return false
	}
	previous := m.Record
	m.Record = r
	if previous.State != r.State || previous.Incarnation != r.Incarnation {
		m.stateSince = now // a higher incarnation is the member's own: it has refuted what was said before
	}
	if previous.State != r.State {
		v.recordChange(now, m, previous.State, witness, causeHeard)
	}
	if previous.Name != r.Name {
		v.updateName(now, previous.Name)
	}
	return true
}

// yieldName has this process, while it starts, be born after one of its name that serves, whatever their clocks say.
func (v *View) yieldName(r Record) {
	own := v.members[v.self]
	if r.Name != own.Name || !r.State.Present() || own.State != Joining || own.BornMillis > r.BornMillis {
		return
	}
	own.BornMillis = r.BornMillis + 1
	own.Incarnation++
	v.version++
}

// refute answers a record of this process itself. However often a false one comes, one refutation stands at a time.
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

// Disputed are the records by which members are gone that this process's source reaches. Each is to be sent to that member itself,
// again and again until it refutes it: a broadcast reaches each member by chance only, and so does a refutation.
func (v *View) Disputed() (all []Record) {
	for _, m := range v.members {
		if m.reachable && m.State == Gone {
			all = append(all, m.Record)
		}
	}
	return all
}

// MarkReachable takes that this process's source reaches a process by now.
func (v *View) MarkReachable(now time.Duration, process uint64) {
	if m := v.members[process]; m != nil && !m.reachable {
		m.reachable = true
		v.updateName(now, m.Name)
	}
}

// MarkUnreachable takes the source's verdict that it no longer reaches a process. It returns the record to be broadcast, and false
// if that says nothing new.
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

// MarkSuspect suspects a member that gave no answer, for sources that have no verdict of their own. It returns the record to be
// broadcast, and false if that says nothing new.
func (v *View) MarkSuspect(now time.Duration, process uint64) (Record, bool) {
	m := v.members[process]
	if m == nil || process == v.self || m.State >= Suspect {
		return Record{}, false
	}
	v.setState(now, m, Suspect, v.members[v.self].Name, causeNoAnswer)
	return m.Record, true
}

func (v *View) setState(now time.Duration, m *member, s State, witness, cause string) {
	previous := m.State
	m.State = s
	m.stateSince = now
	v.version++
	v.recordChange(now, m, previous, witness, cause)
	v.updateName(now, m.Name)
}

// evictOne forgets the member that has been gone for longest, else the one that was never reached for longest, and tells whether
// there was one. A member that is reached is not forgotten for strangers.
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

// evictedBefore orders members by which room is made: those that are gone first, then the ones that have had their state for
// longer.
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

// Tick moves the view on with time: suspects that refute nothing are gone, members that are long gone or were never reached are
// forgotten, and a view in which nothing changes becomes stable. It returns the records that this makes new, in the order of their
// processes. It is to be called several times in each Options.SettleAfter: a longer pause means that this process stood still
// (SIGSTOP, a machine that was moved), and what it knew is old.
func (v *View) Tick(now time.Duration) (updates []Record) {
	v.group.tick(now)
	for _, process := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[process]
		neverReached := m.State != Gone && !m.reachable // a member that was reached is Gone by MarkUnreachable
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

// updateName hands over to the group whether a name is present by now.
func (v *View) updateName(now time.Duration, name string) {
	var status nameStatus
	for _, m := range v.members {
		if m.Name == name {
			status = v.mergeStatus(now, m, status)
		}
	}
	v.group.applyStatus(now, name, status)
}

// updateAllNames does so for all names, those that no member has any more among them.
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

// mergeStatus adds a member to what others of its name say.
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

// present tells whether a process counts as present: this one reaches it, and it serves, or can yet refute that it is gone.
func (v *View) present(now time.Duration, m *member) bool {
	refutable := m.State == Gone && now-m.stateSince < v.options.SuspicionTimeout
	return m.reachable && (m.State.Present() || refutable)
}

// Resume takes the group of an earlier run of this sidecar as the one that was settled last, for Options.ResumeWindow. By it a
// member that starts within a partition knows that it is in one. It changes nothing once the view has been stable.
func (v *View) Resume(now time.Duration, names []string) { v.group.resume(now, names) }

// Confidence is how far the view, and the group of when it was last stable, can be relied on at a time. It never says more than it
// did then: what has changed since is no part of the group.
func (v *View) Confidence(now time.Duration) Confidence { return v.group.confidence(now) }

// Reachable is how many names of the reference group are present, and how many it has: the group that was settled last without
// those that announced their end since; before the first one, how many are present and how many are expected. Names that were lost
// within Options.LossWindow before belong to it still: the other side of a partition is not found dead in one moment, and a group
// that shrank with each loss would be settled at both sides.
func (v *View) Reachable() (reached, size int) { return v.group.reachable() }

// SettledGroup are the names of the group that was settled last, in order, for Resume in a later run; nil before the first.
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

// Present are the members that count as present, one for each name, in the order of names: of several processes with one name the
// one that was born first, so that a second one started from the same file gets nobody's share. This process is among them if it
// serves and owns its name.
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

// DuplicateNames are the names that several present processes have, in order.
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

// Records are all that are known, in the order of the processes, for a member that knows nothing yet.
func (v *View) Records() (all []Record) {
	for _, process := range slices.Sorted(maps.Keys(v.members)) {
		all = append(all, v.members[process].Record)
	}
	return all
}

// Digest is the same at two members for whom the same processes are present, and hardly ever otherwise.
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

// ShouldExchange takes another member's digest, and tells whether all that both know is to be exchanged with it. Updates in flight
// make digests differ for a moment; so only a difference from a stable view counts, and at most one in Options.MinExchangeInterval.
func (v *View) ShouldExchange(now time.Duration, digest uint64) bool {
	if v.group.unsettled || now-v.lastExchange < v.options.MinExchangeInterval || digest == v.Digest(now) {
		return false
	}
	v.lastExchange = now
	return true
}

// Version grows with each change of the view.
func (v *View) Version() uint64 { return v.version }

// Rejected is how many records were not taken: malformed ones, and new members beyond Options.MaxMembers.
func (v *View) Rejected() int { return v.rejected }
