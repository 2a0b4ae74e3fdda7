package peers

import (
	"slices"
	"time"
)

// Confidence is how far a view can be relied on.
type Confidence uint8

// What a view can be.
const (
	// Changing: something has changed within Options.SettleAfter, or nobody has been met yet. What is built on the view
	// stays as it is, and begins with what a file says.
	Changing Confidence = iota
	// Settled: nothing has, and more than half of the group that was settled last is there, but for those that said they
	// end; before the first one, of the members that are expected.
	Settled
	// Part: nothing has changed, but half of that group or less is there. This may be a side of a partition, whose other
	// side goes on as well; so nothing that may exist once only is decided here.
	Partitioned
)

func (c Confidence) String() string {
	return [...]string{"changing", "settled", "cut off"}[min(c, Partitioned)]
}

const (
	// maxFlaps are the comings and goings within Options.DampingWindow that have a name taken for gone. The first coming, a
	// restart and one more going are so many.
	maxFlaps = 4
	// maxSettleIntervals is when a view in which changes never end comes to rest all the same, in Options.SettleAfter: while a
	// release goes on for minutes, endpoints of the dead would stay without calls.
	maxSettleIntervals = 5
)

// groupNames is what is built on a view. It changes only when the view comes to rest.
type stability struct {
	histories      map[string]*nameHistory
	metOthers      bool                     // another process was there
	unsettled      bool                     // something has changed since the last rest
	unsettledSince time.Duration            // the first of these changes,
	lastChange     time.Duration            // and the last
	names          []string                 // that counted as there at the last rest, in order; nil before the first
	partitioned    bool                     // it was not a settled one
	damped         int                      // names that were left out for coming and going
	reference      map[string]bool          // that counted when the view was settled last,
	lost           map[string]time.Duration // and those of earlier ones that went since without a word, and when
	resumed        bool                     // settled is of an earlier life
	resumedAt      time.Duration
}

// histories is how a name came and went.
type nameHistory struct {
	present   bool
	changedAt time.Duration // last coming or going
	flaps     int           // within Options.DampingWindow of one another
	damped    bool          // taken for gone
}

func newStability(now time.Duration) stability {
	return stability{histories: map[string]*nameHistory{}, reference: map[string]bool{}, lost: map[string]time.Duration{}, unsettled: true, unsettledSince: now, lastChange: now}
}

// nameStatus is what the members of a name say of it together.
type nameStatus struct {
	present, known, leaving bool
}

func (v *View) mergeStatus(now time.Duration, m *member, s nameStatus) nameStatus {
	there := v.present(now, m)
	v.metOthers = v.metOthers || there && m.Process != v.self
	return nameStatus{present: s.present || there, known: true, leaving: s.leaving || m.State == Leaving}
}

// updateName notes whether a name is there by now.
func (v *View) updateName(now time.Duration, name string) {
	var s nameStatus
	for _, m := range v.members {
		if m.Name == name {
			s = v.mergeStatus(now, m, s)
		}
	}
	v.applyStatus(now, name, s)
}

// updateAllNames does so for all names, those that no member has any more among them.
func (v *View) updateAllNames(now time.Duration) {
	by := map[string]nameStatus{}
	for name := range v.histories {
		by[name] = nameStatus{}
	}
	for _, m := range v.members {
		by[m.Name] = v.mergeStatus(now, m, by[m.Name])
	}
	for name, s := range by {
		v.applyStatus(now, name, s)
	}
}

func (v *View) applyStatus(now time.Duration, name string, s nameStatus) {
	if s.leaving && !s.present {
		delete(v.reference, name) // it said so: no sign of a cut
		delete(v.lost, name)
	}
	t := v.histories[name]
	if t == nil {
		if !s.present {
			return
		}
		t = &nameHistory{changedAt: now - v.options.DampingWindow}
		v.histories[name] = t
	}
	if t.damped && now-t.changedAt >= v.options.DampingWindow {
		if t.damped = false; t.present {
			v.unsettle(now)
		}
	}
	if t.present == s.present {
		if !s.known && now-t.changedAt >= v.options.DampingWindow {
			delete(v.histories, name)
		}
		return
	}
	t.present = s.present
	v.recordFlaps(now, t, 1)
}

// recordFlaps takes comings and goings of a name in.
func (v *View) recordFlaps(now time.Duration, t *nameHistory, n int) {
	if now-t.changedAt >= v.options.DampingWindow {
		t.flaps = 0
	}
	t.flaps, t.changedAt = t.flaps+n, now
	if t.damped {
		return
	}
	t.damped = t.flaps >= maxFlaps
	v.unsettle(now)
}

func (v *View) unsettle(now time.Duration) {
	if !v.unsettled {
		v.unsettled, v.unsettledSince = true, now
	}
	v.lastChange = now
}

// Resume takes the group of an earlier life of this sidecar as the one that was settled last, for Options.ResumeWindow: an old
// report, by which a member that starts in a part that is cut off knows that it is one. Only before the first rest.
func (v *View) Resume(now time.Duration, names []string) {
	if v.names != nil || len(names) == 0 {
		return
	}
	for _, n := range names[:min(len(names), v.options.MaxMembers)] {
		v.reference[n] = true
	}
	v.resumed, v.resumedAt = true, now
}

// Confidence is how far the view, and the group of its last rest, can be relied on at a time. It never says more than that
// rest did: what has changed since is no part of the group.
func (v *View) Confidence(now time.Duration) Confidence {
	switch {
	case v.unsettled || now-v.lastTick > v.options.SettleAfter: // the latter: this process stood still
		return Changing
	case v.partitioned:
		return Partitioned
	}
	return Settled
}

func (v *View) settling(now time.Duration) bool {
	if !v.metOthers && v.options.ExpectedMembers > 1 {
		return true // alone is what each one is that has not found the others yet
	}
	return v.unsettled && now-v.lastChange < v.options.SettleAfter && now-v.unsettledSince < maxSettleIntervals*v.options.SettleAfter
}

// Reachable is how many of the group that was settled last are there, and how many that group had, without those that said
// since that they end; before the first one, how many are there of those that are expected. Those that went without a word
// within Options.LossWindow before count as of the group still: the other side of a cut is not found dead in one moment, and a
// group that shrank with each that is would be settled at both sides.
func (v *View) Reachable() (n, of int) {
	if len(v.reference) == 0 {
		for _, t := range v.histories {
			if t.counts() {
				n++
			}
		}
		return n, max(v.options.ExpectedMembers, 1)
	}
	there := func(name string) {
		of++
		if t := v.histories[name]; t != nil && t.counts() {
			n++
		}
	}
	for name := range v.reference {
		there(name)
	}
	for name := range v.lost {
		if !v.reference[name] {
			there(name)
		}
	}
	return n, of
}

func (t *nameHistory) counts() bool { return t.present && !t.damped }

// trySettle ends what has changed, once nothing does any more.
func (v *View) trySettle(now time.Duration) {
	if v.resumed && now-v.resumedAt >= v.options.ResumeWindow {
		clear(v.reference)
		v.resumed = false
		v.unsettle(now)
	}
	if v.settling(now) {
		return
	}
	n, of := v.Reachable()
	part := 2*n <= of
	if !part {
		for name, at := range v.lost {
			if now-at >= v.options.LossWindow {
				delete(v.lost, name)
			}
		}
	}
	if !v.unsettled && v.partitioned == part {
		return
	}
	v.unsettled, v.partitioned = false, part
	v.names, v.damped = []string{}, 0
	for name, t := range v.histories {
		if t.damped {
			v.damped++
		} else if t.present {
			v.names = append(v.names, name)
		}
	}
	slices.Sort(v.names)
	if !part {
		v.updateReference(now)
	}
	v.version++
}

// updateReference takes the group for the one that a later part is measured by.
func (v *View) updateReference(now time.Duration) {
	for name := range v.reference {
		v.lost[name] = now
	}
	clear(v.reference)
	v.resumed = false
	for _, name := range v.names {
		v.reference[name] = true
		delete(v.lost, name)
	}
}

// Share is what a member has of what all do.
type Share struct {
	Confidence Confidence
	Instances  int // members that share the load
	Ordinal    int // this one's number among them, from 0
	// MaxInstances is how many there may be: what all together must not go beyond is divided by it. In a part it counts those that
	// may go on at the other side; names that come and go count.
	MaxInstances int
	Names        []string // of the instances, in order of their ordinals
	OwnsName     bool     // this one's name is its own; else it is one more than those that are there, and nobody has its share
}

// Equal tells whether two shares mean the same for what is built on them.
func (s *Share) Equal(o *Share) bool {
	return s.Instances == o.Instances && s.Ordinal == o.Ordinal && s.MaxInstances == o.MaxInstances && s.OwnsName == o.OwnsName && slices.Equal(s.Names, o.Names)
}

// Share is this member's as of the last rest; false before the first, when what a file says holds. Its Confidence is that of
// now, and says what else may be built on it.
func (v *View) Share(now time.Duration) (s Share, ok bool) {
	if v.names == nil {
		return s, false
	}
	s.Confidence = v.Confidence(now)
	s.Names = slices.Clone(v.names)
	own := v.members[v.self]
	s.Ordinal, s.OwnsName = slices.BinarySearch(s.Names, own.Name)
	for _, m := range v.members {
		if s.OwnsName && m != own && m.Name == own.Name && v.present(now, m) && m.bornBefore(&own.Record) {
			s.OwnsName = false
		}
	}
	if !s.OwnsName {
		// A name that nobody has: its own is another's, or it is not counted yet, or comes and goes.
		s.Ordinal = len(s.Names)
		s.Names = append(s.Names, own.Name+"\x00second")
	}
	s.Instances = len(s.Names)
	s.MaxInstances = s.Instances + v.damped // these may hold themselves for members all the while
	if v.partitioned {
		_, of := v.Reachable()
		s.MaxInstances = max(s.Instances, of, v.options.ExpectedMembers)
	}
	return s, true
}

// SettledGroup is the group that was settled last, in order, for Resume in a later life; nil before the first.
func (v *View) SettledGroup() (names []string) {
	if v.resumed {
		return nil
	}
	for name := range v.reference {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
