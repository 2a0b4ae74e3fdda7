package peers

import (
	"slices"
	"time"
)

// Confidence is how far a view can be relied on.
type Confidence uint8

// What a view can be.
const (
	// Changing: something has changed within Options.SettleFor, or nobody has been met yet. What is built on the view
	// stays as it is, and begins with what a file says.
	Changing Confidence = iota
	// Settled: nothing has, and more than half of the group that was settled last is there, but for those that said they
	// end; before the first one, of the members that are expected.
	Settled
	// Part: nothing has changed, but half of that group or less is there. This may be a side of a partition, whose other
	// side goes on as well; so nothing that may exist once only is decided here.
	Part
)

func (c Confidence) String() string {
	return [...]string{"changing", "settled", "cut off"}[min(c, Part)]
}

const (
	// turnsMost are the comings and goings within Options.DampFor that have a name taken for gone. The first coming, a
	// restart and one more going are so many.
	turnsMost = 4
	// restLatest is when a view in which changes never end comes to rest all the same, in Options.SettleFor: while a
	// release goes on for minutes, endpoints of the dead would stay without calls.
	restLatest = 5
)

// group is what is built on a view. It changes only when the view comes to rest.
type group struct {
	turns     map[string]*turns
	met       bool                     // another process was there
	open      bool                     // something has changed since the last rest
	firstOpen time.Duration            // the first of these changes,
	lastOpen  time.Duration            // and the last
	names     []string                 // that counted as there at the last rest, in order; nil before the first
	part      bool                     // it was not a settled one
	damped    int                      // names that were left out for coming and going
	settled   map[string]bool          // that counted when the view was settled last,
	lost      map[string]time.Duration // and those of earlier ones that went since without a word, and when
	resumed   bool                     // settled is of an earlier life
	resumeAt  time.Duration
}

// turns is how a name came and went.
type turns struct {
	here   bool
	at     time.Duration // last coming or going
	n      int           // within Options.DampFor of one another
	damped bool          // taken for gone
}

func newGroup(now time.Duration) group {
	return group{turns: map[string]*turns{}, settled: map[string]bool{}, lost: map[string]time.Duration{}, open: true, firstOpen: now, lastOpen: now}
}

// seen is what the members of a name say of it together.
type seen struct {
	here, known, leaves bool
}

func (v *View) see(now time.Duration, m *member, s seen) seen {
	there := v.there(now, m)
	v.met = v.met || there && m.Process != v.self
	return seen{here: s.here || there, known: true, leaves: s.leaves || m.State == Leaving}
}

// turn notes whether a name is there by now.
func (v *View) turn(now time.Duration, name string) {
	var s seen
	for _, m := range v.members {
		if m.Name == name {
			s = v.see(now, m, s)
		}
	}
	v.turned(now, name, s)
}

// turnAll does so for all names, those that no member has any more among them.
func (v *View) turnAll(now time.Duration) {
	by := map[string]seen{}
	for name := range v.turns {
		by[name] = seen{}
	}
	for _, m := range v.members {
		by[m.Name] = v.see(now, m, by[m.Name])
	}
	for name, s := range by {
		v.turned(now, name, s)
	}
}

func (v *View) turned(now time.Duration, name string, s seen) {
	if s.leaves && !s.here {
		delete(v.settled, name) // it said so: no sign of a cut
		delete(v.lost, name)
	}
	t := v.turns[name]
	if t == nil {
		if !s.here {
			return
		}
		t = &turns{at: now - v.o.DampFor}
		v.turns[name] = t
	}
	if t.damped && now-t.at >= v.o.DampFor {
		if t.damped = false; t.here {
			v.unsettle(now)
		}
	}
	if t.here == s.here {
		if !s.known && now-t.at >= v.o.DampFor {
			delete(v.turns, name)
		}
		return
	}
	t.here = s.here
	v.count(now, t, 1)
}

// count takes comings and goings of a name in.
func (v *View) count(now time.Duration, t *turns, n int) {
	if now-t.at >= v.o.DampFor {
		t.n = 0
	}
	t.n, t.at = t.n+n, now
	if t.damped {
		return
	}
	t.damped = t.n >= turnsMost
	v.unsettle(now)
}

func (v *View) unsettle(now time.Duration) {
	if !v.open {
		v.open, v.firstOpen = true, now
	}
	v.lastOpen = now
}

// Resume takes the group of an earlier life of this sidecar as the one that was settled last, for Options.ResumeFor: an old
// report, by which a member that starts in a part that is cut off knows that it is one. Only before the first rest.
func (v *View) Resume(now time.Duration, names []string) {
	if v.names != nil || len(names) == 0 {
		return
	}
	for _, n := range names[:min(len(names), v.o.Most)] {
		v.settled[n] = true
	}
	v.resumed, v.resumeAt = true, now
}

// Confidence is how far the view, and the group of its last rest, can be relied on at a time. It never says more than that
// rest did: what has changed since is no part of the group.
func (v *View) Confidence(now time.Duration) Confidence {
	switch {
	case v.open || now-v.ticked > v.o.SettleFor: // the latter: this process stood still
		return Changing
	case v.part:
		return Part
	}
	return Settled
}

func (v *View) moving(now time.Duration) bool {
	if !v.met && v.o.Expected > 1 {
		return true // alone is what each one is that has not found the others yet
	}
	return v.open && now-v.lastOpen < v.o.SettleFor && now-v.firstOpen < restLatest*v.o.SettleFor
}

// Reach is how many of the group that was settled last are there, and how many that group had, without those that said
// since that they end; before the first one, how many are there of those that are expected. Those that went without a word
// within Options.LossFor before count as of the group still: the other side of a cut is not found dead in one moment, and a
// group that shrank with each that is would be settled at both sides.
func (v *View) Reach() (n, of int) {
	if len(v.settled) == 0 {
		for _, t := range v.turns {
			if t.counts() {
				n++
			}
		}
		return n, max(v.o.Expected, 1)
	}
	there := func(name string) {
		of++
		if t := v.turns[name]; t != nil && t.counts() {
			n++
		}
	}
	for name := range v.settled {
		there(name)
	}
	for name := range v.lost {
		if !v.settled[name] {
			there(name)
		}
	}
	return n, of
}

func (t *turns) counts() bool { return t.here && !t.damped }

// rest ends what has changed, once nothing does any more.
func (v *View) rest(now time.Duration) {
	if v.resumed && now-v.resumeAt >= v.o.ResumeFor {
		clear(v.settled)
		v.resumed = false
		v.unsettle(now)
	}
	if v.moving(now) {
		return
	}
	n, of := v.Reach()
	part := 2*n <= of
	if !part {
		for name, at := range v.lost {
			if now-at >= v.o.LossFor {
				delete(v.lost, name)
			}
		}
	}
	if !v.open && v.part == part {
		return
	}
	v.open, v.part = false, part
	v.names, v.damped = []string{}, 0
	for name, t := range v.turns {
		if t.damped {
			v.damped++
		} else if t.here {
			v.names = append(v.names, name)
		}
	}
	slices.Sort(v.names)
	if !part {
		v.settle(now)
	}
	v.version++
}

// settle takes the group for the one that a later part is measured by.
func (v *View) settle(now time.Duration) {
	for name := range v.settled {
		v.lost[name] = now
	}
	clear(v.settled)
	v.resumed = false
	for _, name := range v.names {
		v.settled[name] = true
		delete(v.lost, name)
	}
}

// Share is what a member has of what all do.
type Share struct {
	Confidence Confidence
	Instances  int // members that share the load
	Ordinal    int // this one's number among them, from 0
	// Sharing is how many there may be: what all together must not go beyond is divided by it. In a part it counts those that
	// may go on at the other side; names that come and go count.
	Sharing int
	Names   []string // of the instances, in order of their ordinals
	Placed  bool     // this one's name is its own; else it is one more than those that are there, and nobody has its share
}

// Equal tells whether two shares mean the same for what is built on them.
func (s *Share) Equal(o *Share) bool {
	return s.Instances == o.Instances && s.Ordinal == o.Ordinal && s.Sharing == o.Sharing && s.Placed == o.Placed && slices.Equal(s.Names, o.Names)
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
	s.Ordinal, s.Placed = slices.BinarySearch(s.Names, own.Name)
	for _, m := range v.members {
		if s.Placed && m != own && m.Name == own.Name && v.there(now, m) && m.before(&own.Record) {
			s.Placed = false
		}
	}
	if !s.Placed {
		// A name that nobody has: its own is another's, or it is not counted yet, or comes and goes.
		s.Ordinal = len(s.Names)
		s.Names = append(s.Names, own.Name+"\x00second")
	}
	s.Instances = len(s.Names)
	s.Sharing = s.Instances + v.damped // these may hold themselves for members all the while
	if v.part {
		_, of := v.Reach()
		s.Sharing = max(s.Instances, of, v.o.Expected)
	}
	return s, true
}

// Group is the group that was settled last, in order, for Resume in a later life; nil before the first.
func (v *View) Group() (names []string) {
	if v.resumed {
		return nil
	}
	for name := range v.settled {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
