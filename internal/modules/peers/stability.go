package peers

import (
	"slices"
	"time"
)

// Confidence is how far a view can be relied on.
type Confidence uint8

// The confidences.
const (
	// Changing is a view that has changed within Options.SettleAfter, or that has met no other member yet. Its users keep the last
	// group, and at the start the settings of a file.
	Changing Confidence = iota
	// Settled is a view without a change that has more than half of the reference group: the group that was settled last, without
	// members that have announced their shutdown; before the first one, the members that are expected.
	Settled
	// Partitioned is a view without a change that has half of the reference group or less. It may be one side of a network partition,
	// whose other side goes on as well: what may exist only once must not be decided here.
	Partitioned
)

// String returns the confidence as reports and log lines have it.
func (c Confidence) String() string {
	return [...]string{"changing", "settled", "cut off"}[min(c, Partitioned)]
}

// maxSettleIntervals bounds how long a view with changes all the time stays unstable, as a multiple of Options.SettleAfter. During a
// release that takes minutes, the endpoints of members that have ended would otherwise get no calls for that long.
const maxSettleIntervals = 5

// stability decides when a view is stable, and has the group of that moment. It gets the status of names from the view, and knows no
// processes.
type stability struct {
	options   *Options
	histories map[string]*nameHistory
	metOthers bool          // another process has been present
	lastTick  time.Duration // a long pause between two ticks means that this process was suspended

	unsettled      bool          // the group has changed since the view was last stable
	unsettledSince time.Duration // the time of the first of these changes
	lastChange     time.Duration // the time of the last of them

	// The view when it was last stable.
	names       []string // the group, in order; nil before the first time
	partitioned bool     // it was not settled
	damped      int      // how many names were damped

	// The reference group, by which a partition is recognised.
	reference map[string]bool          // the names of the group that was settled last
	lost      map[string]time.Duration // names of earlier groups that have disappeared without an announcement, and when
	resumed   bool                     // reference was saved by an earlier process of this sidecar
	resumedAt time.Duration
}

// newStability returns the state of a view that knows no names.
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

// applyStatus applies the present status of a name.
func (s *stability) applyStatus(now time.Duration, name string, status nameStatus) {
	if status.leaving && !status.present {
		// An announced shutdown is no sign of a partition.
		delete(s.reference, name)
		delete(s.lost, name)
	}
	history := s.histories[name]
	if history == nil {
		if !status.present {
			return
		}
		history = &nameHistory{changedAt: now - s.options.DampingWindow}
		s.histories[name] = history
	}
	steady := history.steady(now, s.options.DampingWindow)
	if history.damped && steady {
		history.damped = false
		if history.present {
			s.unsettle(now)
		}
	}
	if history.present != status.present {
		history.present = status.present
		if history.flap(now, s.options.DampingWindow) {
			s.unsettle(now)
		}
		return
	}
	if !status.known && steady {
		delete(s.histories, name)
	}
}

// unsettle records a change after which the group may be another.
func (s *stability) unsettle(now time.Duration) {
	if !s.unsettled {
		s.unsettled = true
		s.unsettledSince = now
	}
	s.lastChange = now
}

// tick records that this process runs. After a pause longer than Options.SettleAfter its view is out of date.
func (s *stability) tick(now time.Duration) {
	if now-s.lastTick > s.options.SettleAfter {
		s.unsettle(now)
	}
	s.lastTick = now
}

// resume sets the group of an earlier process as the reference.
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

// confidence returns the confidence at a time.
func (s *stability) confidence(now time.Duration) Confidence {
	wasSuspended := now-s.lastTick > s.options.SettleAfter
	switch {
	case s.unsettled || wasSuspended:
		return Changing
	case s.partitioned:
		return Partitioned
	}
	return Settled
}

// settling reports whether the view is not yet stable again after a change.
func (s *stability) settling(now time.Duration) bool {
	if !s.metOthers && s.options.ExpectedMembers > 1 {
		return true // each member is alone until it has found the others
	}
	quiet := now-s.lastChange >= s.options.SettleAfter
	overdue := now-s.unsettledSince >= maxSettleIntervals*s.options.SettleAfter
	return s.unsettled && !quiet && !overdue
}

// reachable returns how many names of the reference group count, and how many it has.
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

// trySettle makes the view stable if it has not changed for long enough, and reports whether the group or its confidence is new.
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

// forgetLost drops the lost names that disappeared before Options.LossWindow: they belong to no partition that is still being detected.
func (s *stability) forgetLost(now time.Duration) {
	for name, at := range s.lost {
		if now-at >= s.options.LossWindow {
			delete(s.lost, name)
		}
	}
}

// updateNames sets the group to the names that count now.
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

// updateReference makes the group the reference, by which a later partition is recognised.
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
