package peers

import (
	"slices"
	"time"
)

// Confidence is how far a view can be relied on.
type Confidence uint8

// What a view can be.
const (
	// Changing is a view in which something has changed within Options.SettleAfter, or that has met nobody yet. What is built on
	// the view stays as it is, and starts with what a file says.
	Changing Confidence = iota
	// Settled is a view in which nothing has, and that holds more than half of the reference group: the group that was settled
	// last, without those that announced their end; before the first one, the members that are expected.
	Settled
	// Partitioned is a view in which nothing has changed, but that holds half of the reference group or less. This may be one
	// side of a network partition, whose other side goes on as well: what may exist only once must not be decided here.
	Partitioned
)

// String is the confidence as reports and log lines have it.
func (c Confidence) String() string {
	return [...]string{"changing", "settled", "cut off"}[min(c, Partitioned)]
}

// maxSettleIntervals bounds, in Options.SettleAfter, how long a view in which changes never end stays unstable: while a release
// goes on for minutes, endpoints of the dead would stay without calls.
const maxSettleIntervals = 5

// stability decides when a view is stable, and holds the group of that moment. The view tells it which names are present; it
// knows nothing of processes.
type stability struct {
	options   *Options
	histories map[string]*nameHistory
	metOthers bool          // another process was present at some time
	lastTick  time.Duration // a long pause between two ticks means that this process stood still

	unsettled      bool          // something has changed since the view was last stable
	unsettledSince time.Duration // the first of these changes
	lastChange     time.Duration // and the last

	// What the view was when it was last stable.
	names       []string // that counted, in order; nil before the first time
	partitioned bool     // it was not settled
	damped      int      // names that were present and damped, or damped and gone

	// The reference group, by which a partition is recognised.
	reference map[string]bool          // names of the group that was settled last
	lost      map[string]time.Duration // those of earlier ones that went since without announcing it, and when
	resumed   bool                     // reference is of an earlier run of this sidecar
	resumedAt time.Duration
}

func newStability(o *Options, now time.Duration) stability {
	return stability{
		options:        o,
		histories:      map[string]*nameHistory{},
		lastTick:       now,
		unsettled:      true,
		unsettledSince: now,
		lastChange:     now,
		reference:      map[string]bool{},
		lost:           map[string]time.Duration{},
	}
}

// applyStatus takes whether a name is present by now.
func (s *stability) applyStatus(now time.Duration, name string, status nameStatus) {
	if status.leaving && !status.present {
		// It announced its end, which is no sign of a partition.
		delete(s.reference, name)
		delete(s.lost, name)
	}
	h := s.histories[name]
	if h == nil {
		if !status.present {
			return
		}
		h = &nameHistory{changedAt: now - s.options.DampingWindow}
		s.histories[name] = h
	}
	steady := h.steady(now, s.options.DampingWindow)
	if h.damped && steady {
		h.damped = false
		if h.present {
			s.unsettle(now)
		}
	}
	if h.present != status.present {
		h.present = status.present
		if h.flap(now, s.options.DampingWindow) {
			s.unsettle(now)
		}
		return
	}
	if !status.known && steady {
		delete(s.histories, name)
	}
}

// unsettle notes that something the group is made of has changed.
func (s *stability) unsettle(now time.Duration) {
	if !s.unsettled {
		s.unsettled = true
		s.unsettledSince = now
	}
	s.lastChange = now
}

// tick notes that this process runs. After a pause longer than Options.SettleAfter what it knew is old.
func (s *stability) tick(now time.Duration) {
	if now-s.lastTick > s.options.SettleAfter {
		s.unsettle(now)
	}
	s.lastTick = now
}

// resume takes the group of an earlier run as the reference.
func (s *stability) resume(now time.Duration, names []string) {
	if s.names != nil || len(names) == 0 {
		return
	}
	for _, name := range names[:min(len(names), s.options.MaxMembers)] {
		s.reference[name] = true
	}
	s.resumed = true
	s.resumedAt = now
}

// confidence is that of the group at a time.
func (s *stability) confidence(now time.Duration) Confidence {
	stoodStill := now-s.lastTick > s.options.SettleAfter
	switch {
	case s.unsettled || stoodStill:
		return Changing
	case s.partitioned:
		return Partitioned
	}
	return Settled
}

// settling tells whether the view is not stable yet.
func (s *stability) settling(now time.Duration) bool {
	if !s.metOthers && s.options.ExpectedMembers > 1 {
		return true // each one is alone until it has found the others
	}
	quiet := now-s.lastChange >= s.options.SettleAfter
	overdue := now-s.unsettledSince >= maxSettleIntervals*s.options.SettleAfter
	return s.unsettled && !quiet && !overdue
}

// reachable is how many names of the reference group count, and how many it has.
func (s *stability) reachable() (reached, size int) {
	if len(s.reference) == 0 {
		for _, h := range s.histories {
			if h.counts() {
				reached++
			}
		}
		return reached, max(s.options.ExpectedMembers, 1)
	}
	add := func(name string) {
		size++
		if h := s.histories[name]; h != nil && h.counts() {
			reached++
		}
	}
	for name := range s.reference {
		add(name)
	}
	for name := range s.lost {
		if !s.reference[name] {
			add(name)
		}
	}
	return reached, size
}

// trySettle makes the view stable once nothing changes any more, and tells whether its group is a new one.
func (s *stability) trySettle(now time.Duration) bool {
	if s.resumed && now-s.resumedAt >= s.options.ResumeWindow {
		clear(s.reference)
		s.resumed = false
		s.unsettle(now)
	}
	if s.settling(now) {
		return false
	}
	reached, size := s.reachable()
	partitioned := 2*reached <= size
	if !partitioned {
		s.forgetLost(now)
	}
	if !s.unsettled && s.partitioned == partitioned {
		return false
	}
	s.unsettled = false
	s.partitioned = partitioned
	s.updateNames()
	if !partitioned {
		s.updateReference(now)
	}
	return true
}

// forgetLost drops those whose loss can't belong to a partition that is still being found.
func (s *stability) forgetLost(now time.Duration) {
	for name, at := range s.lost {
		if now-at >= s.options.LossWindow {
			delete(s.lost, name)
		}
	}
}

// updateNames takes the group as it is.
func (s *stability) updateNames() {
	s.names = []string{}
	s.damped = 0
	for name, h := range s.histories {
		switch {
		case h.damped:
			s.damped++
		case h.present:
			s.names = append(s.names, name)
		}
	}
	slices.Sort(s.names)
}

// updateReference takes the group as the one by which a later partition is recognised.
func (s *stability) updateReference(now time.Duration) {
	for name := range s.reference {
		s.lost[name] = now
	}
	clear(s.reference)
	s.resumed = false
	for _, name := range s.names {
		s.reference[name] = true
		delete(s.lost, name)
	}
}
