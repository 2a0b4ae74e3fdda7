// Package peers keeps a sidecar's view of the other sidecars of its application: who is there, in which state, and how
// far that view can be relied on. It does no I/O and reads no clock: who spreads the records (a gossip protocol, a
// list, datagrams) hands them over with the time, counted from an arbitrary start that is the same for all calls of one View.
//
// # Records
//
// What one member says of another, or of itself, is a Record: which process, its incarnation and its state. Two records
// of one process are merged by the higher incarnation, then the later state. So the order in which records come, and how
// often, does not matter, and what is old changes nothing. A process alone raises its own incarnation: to deny that it is
// suspected or gone. A process that starts anew is another process, under the same name.
//
// # States
//
//	Joining   known, and does not serve yet
//	Serving   serves, as far as anybody says
//	Suspect   somebody could not reach it; it has Options.SuspicionTimeout to deny that
//	Leaving   said itself that it ends
//	Gone      ended, or never denied a suspicion; remembered for Options.ForgetAfter, so that an old record does not
//	          bring it back, and then forgotten
//
// # Words and reach
//
// A word alone moves nothing: a member counts as there only while this process's own source reaches it, so that an old
// record that is played again, or a liar's, makes no member; and one that is said to be gone while this process reaches
// it counts as there for Options.SuspicionTimeout, in which it hears of that and denies it.
//
// # The group
//
// What others build on is the group: the names that count as there, as of when the view last came to rest. See Confidence
// and Share.
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

// State is what a member is open to. Later ones win over earlier ones of the same incarnation.
type State uint8

// The states, in the order in which they win.
const (
	Joining State = iota + 1
	Serving
	Suspect
	Leaving
	Gone
)

func (s State) String() string {
	if s < Joining || s > Gone {
		return "unknown"
	}
	return [...]string{"joining", "serving", "suspect", "leaving", "gone"}[s-Joining]
}

// Present tells whether a member counts as there: it serves, or may yet deny that it does not.
func (s State) Present() bool { return s == Serving || s == Suspect }

// Record is what is said of one process.
type Record struct {
	Process     uint64 // drawn at its start, not 0
	Name        string // of the sidecar, the same after a restart
	BornMillis  int64  // wall clock at its start, Unix milliseconds, or later than that of one it met; the earlier has the name
	Zone        string
	Version     string
	Incarnation uint64
	State       State
}

// supersedes tells whether a record wins over another one of the same process. What else they say decides between equals, so
// that all members come to hold the same, though a process never says two things in one incarnation and state.
func (r *Record) supersedes(than *Record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, than.Incarnation), cmp.Compare(r.State, than.State), cmp.Compare(r.Name, than.Name),
		cmp.Compare(r.BornMillis, than.BornMillis), cmp.Compare(r.Zone, than.Zone), cmp.Compare(r.Version, than.Version)) > 0
}

// Options are the figures of a View. All but Expected are above 0.
type Options struct {
	SuspicionTimeout    time.Duration // until a suspect that denies nothing is gone
	ForgetAfter         time.Duration // until one that is gone is forgotten; longer than any record can be on its way
	SettleAfter         time.Duration // without a change until the view is settled
	DampingWindow       time.Duration // in which a name that comes and goes is taken for gone; longer than SettleAfter
	LossWindow          time.Duration // in which all of those at the other side of a cut are surely found to be lost
	ResumeWindow        time.Duration // in which the group of an earlier life counts
	MinExchangeInterval time.Duration // between two full exchanges for a difference
	ExpectedMembers     int           // members that a file names; the first group has more than half of them. 0 or 1: none are expected
	MaxMembers          int           // processes that are kept, those that are gone among them
}

// member is a record with what this process knows of it by itself.
type member struct {
	Record
	stateSince time.Duration // in its state here
	knownSince time.Duration // since when it is known here
	reachable  bool          // this process's source reaches it now
}

// View is one process's. It is not safe for concurrent use.
type View struct {
	self         uint64
	options      Options
	members      map[uint64]*member
	version      uint64
	rejected     int
	changes      []Change
	lastTick     time.Duration
	lastExchange time.Duration // when a difference was last acted on
	stability
}

// New makes the view of a process that knows itself alone. self.Incarnation may be 0.
func New(self Record, o Options, now time.Duration) *View {
	v := &View{self: self.Process, options: o, members: map[uint64]*member{}, lastTick: now, lastExchange: now}
	v.stability = newStability(now)
	v.members[self.Process] = &member{Record: self, stateSince: now, knownSince: now, reachable: true}
	v.updateName(now, self.Name)
	return v
}

// Self is this process's own record, as it is to be spread.
func (v *View) Self() Record { return v.members[v.self].Record }

// SetState takes this process's own new state: Serving or Leaving. It never goes back.
func (v *View) SetState(now time.Duration, s State) {
	m := v.members[v.self]
	if s > m.State && (s == Serving || s == Leaving) {
		v.setState(now, m, s, m.Name, "its own word")
	}
}

// Merge takes a record that came from another member, and returns true if it says something new, which is to be spread
// on. What it says of this process, and is not so, is denied by a higher incarnation of Self, which is to be spread in its
// place; also where it was denied before, for whoever says it has not heard of that. The witness is who says it, for Changes.
func (v *View) Merge(now time.Duration, r Record, witness string) bool {
	// The last incarnation can't be denied any more: only a liar would say it.
	if r.Process == 0 || r.State < Joining || r.State > Gone || r.Incarnation == math.MaxUint64 {
		v.rejected++
		return false
	}
	if r.Process == v.self {
		return v.refute(r)
	}
	m := v.members[r.Process]
	if m == nil {
		if r.State == Gone {
			return false // nothing to be told of one that was never known here
		}
		if len(v.members) >= v.options.MaxMembers && !v.evictOne() {
			v.rejected++
			return false
		}
		m = &member{Record: r, stateSince: now, knownSince: now}
		v.members[r.Process] = m
		v.recordChange(now, m, 0, witness, "heard of")
	} else {
		if !r.supersedes(&m.Record) {
			return false
		}
		was := m.Record
		if m.Record = r; was.State != r.State || was.Incarnation != r.Incarnation {
			m.stateSince = now // a higher incarnation is the member's own: it has denied what was said before
		}
		if was.State != r.State {
			v.recordChange(now, m, was.State, witness, "heard of")
		}
		if was.Name != r.Name {
			v.updateName(now, was.Name)
		}
	}
	v.version++
	v.yieldName(r)
	v.updateName(now, r.Name)
	return true
}

// yieldName has this process, while it only begins, come after one of its name that serves, whatever their clocks say.
func (v *View) yieldName(r Record) {
	if own := v.members[v.self]; r.Name == own.Name && r.State.Present() && own.State == Joining && own.BornMillis <= r.BornMillis {
		own.BornMillis = r.BornMillis + 1
		own.Incarnation++
		v.version++
	}
}

// refute answers what others say of this process. However often they say it, one denial stands at a time.
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

// Disputed are the records by which members are gone that this process's source reaches. Each is to be told to that member
// itself, again and again until it denies it: what is spread by chance may pass one by, and so may its denial.
func (v *View) Disputed() (all []Record) {
	for _, m := range v.members {
		if m.reachable && m.State == Gone {
			all = append(all, m.Record)
		}
	}
	return all
}

// Reachable tells that this process's source reaches a process by now.
func (v *View) MarkReachable(now time.Duration, process uint64) {
	if m := v.members[process]; m != nil && !m.reachable {
		m.reachable = true
		v.updateName(now, m.Name)
	}
}

// MarkUnreachable tells that the source no longer reaches a process, by a verdict of its own. It returns the record to be spread;
// false if that says nothing new.
func (v *View) MarkUnreachable(now time.Duration, process uint64) (Record, bool) {
	m := v.members[process]
	if m == nil || process == v.self {
		return Record{}, false
	}
	m.reachable = false
	defer func() { v.updateName(now, m.Name) }()
	if m.State == Gone {
		return Record{}, false
	}
	v.setState(now, m, Gone, v.members[v.self].Name, "not reached")
	return m.Record, true
}

// MarkSuspect makes a member suspect whom this process could not reach at once: for sources that have no verdict of their own. It
// returns the record to be spread; false if that says nothing new.
func (v *View) MarkSuspect(now time.Duration, process uint64) (Record, bool) {
	m := v.members[process]
	if m == nil || process == v.self || m.State >= Suspect {
		return Record{}, false
	}
	v.setState(now, m, Suspect, v.members[v.self].Name, "no answer")
	return m.Record, true
}

func (v *View) setState(now time.Duration, m *member, s State, witness, cause string) {
	was := m.State
	m.State, m.stateSince = s, now
	v.version++
	v.recordChange(now, m, was, witness, cause)
	v.updateName(now, m.Name)
}

// evictOne forgets the one that has been gone for longest, else the one that was never reached for longest. Who is there
// is not forgotten for strangers.
func (v *View) evictOne() bool {
	var oldest *member
	for _, m := range v.members {
		if m.Process == v.self || m.reachable || m.State != Gone && oldest != nil && oldest.State == Gone {
			continue
		}
		if oldest == nil || m.State == Gone && oldest.State != Gone ||
			cmp.Or(cmp.Compare(m.stateSince, oldest.stateSince), cmp.Compare(m.Process, oldest.Process)) < 0 {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	v.forget(oldest)
	return true
}

func (v *View) forget(m *member) {
	delete(v.members, m.Process)
	v.version++
}

// Tick moves the view on with time: suspects that deny nothing are gone, those long gone or never reached forgotten, and a
// view in which nothing has changed comes to rest. It returns the records that this makes new, in the order of their
// processes. Call it some times in each SettleAfter: after a longer pause this process stood still (SIGSTOP, a machine that was
// moved), and what it held for settled is old.
func (v *View) Tick(now time.Duration) (news []Record) {
	if now-v.lastTick > v.options.SettleAfter {
		v.unsettle(now)
	}
	v.lastTick = now
	for _, p := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[p]
		switch {
		case p == v.self:
		case m.State == Suspect && now-m.stateSince >= v.options.SuspicionTimeout:
			v.setState(now, m, Gone, v.members[v.self].Name, "denied no suspicion")
			news = append(news, m.Record)
		case m.State == Gone && now-m.stateSince >= v.options.ForgetAfter:
			v.forget(m)
		case m.State != Gone && !m.reachable && now-m.knownSince >= v.options.ForgetAfter:
			v.forget(m) // never reached: Lost makes it Gone
		}
	}
	v.updateAllNames(now)
	v.trySettle(now)
	return news
}

// Present are the members that count as there, one for each name, in the order of names: of several processes under
// one name the one that was born first, so that a second one started from the same file gets nobody's share. This
// process is among them if it serves and the name is its own.
func (v *View) Present(now time.Duration) []Record {
	by := map[string]Record{}
	for _, m := range v.members {
		if !v.present(now, m) {
			continue
		}
		if o, ok := by[m.Name]; !ok || m.bornBefore(&o) {
			by[m.Name] = m.Record
		}
	}
	all := slices.Collect(maps.Values(by))
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (r *Record) bornBefore(o *Record) bool {
	return cmp.Or(cmp.Compare(r.BornMillis, o.BornMillis), cmp.Compare(r.Process, o.Process)) < 0
}

// present tells whether a process counts as there: this one reaches it, and it serves, or can yet deny that it is gone.
func (v *View) present(now time.Duration, m *member) bool {
	return m.reachable && (m.State.Present() || m.State == Gone && now-m.stateSince < v.options.SuspicionTimeout)
}

// DuplicateNames are the names under which several processes are present, in order.
func (v *View) DuplicateNames(now time.Duration) (names []string) {
	seen := map[string]int{}
	for _, m := range v.members {
		if v.present(now, m) {
			if seen[m.Name]++; seen[m.Name] == 2 {
				names = append(names, m.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// Records are all that is known, in the order of the processes, for a member that knows nothing yet.
func (v *View) Records() (all []Record) {
	for _, p := range slices.Sorted(maps.Keys(v.members)) {
		all = append(all, v.members[p].Record)
	}
	return all
}

// Digest is the same at two members who count the same processes as there, and hardly ever else.
func (v *View) Digest(now time.Duration) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for _, p := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[p]
		if !v.present(now, m) {
			continue
		}
		for _, x := range []uint64{p, m.Incarnation, uint64(m.State)} {
			binary.LittleEndian.PutUint64(b[:], x)
			h.Write(b[:])
		}
	}
	return h.Sum64()
}

// ShouldExchange takes another member's digest, and tells whether all that both know is to be exchanged with it. News that are on
// their way make digests differ for a moment; so only those of a view at rest count, and at most once in so long.
func (v *View) ShouldExchange(now time.Duration, digest uint64) bool {
	if v.unsettled || now-v.lastExchange < v.options.MinExchangeInterval || digest == v.Digest(now) {
		return false
	}
	v.lastExchange = now
	return true
}

// Version grows with each change of the view.
func (v *View) Version() uint64 { return v.version }

// Rejected is how many records could not be taken: spoilt ones, and new members beyond Options.Most.
func (v *View) Rejected() int { return v.rejected }

// Change is one step of a member, for people.
type Change struct {
	At       time.Duration
	Name     string
	Process  uint64
	From, To State // From is 0 for one that was not known
	Witness  string
	Cause    string
}

// maxChanges bounds those that nobody has asked for; the first ones go.
const maxChanges = 256

func (v *View) recordChange(now time.Duration, m *member, was State, witness, cause string) {
	if len(v.changes) >= maxChanges {
		v.changes = v.changes[1:]
	}
	v.changes = append(v.changes, Change{now, m.Name, m.Process, was, m.State, witness, cause})
}

// TakeChanges are the steps since they were last asked for.
func (v *View) TakeChanges() []Change {
	c := v.changes
	v.changes = nil
	return c
}
