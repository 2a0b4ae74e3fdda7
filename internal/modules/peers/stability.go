package peers

import (
	"slices"
	"time"
)

// Confidence says how reliable a view is.
type Confidence uint8

// The values of Confidence.
const (
	// Changing is a view that has changed within Options.SettleAfter, or that has met no other member yet. Its users continue to use the last
	// group or, before the first one, with the settings of the file.
	Changing Confidence = iota
	// Settled is a stable view with more than half of the reference group. The reference group is the last settled group, without members
	// that have announced their shutdown since; before the first settled group its size is Options.ExpectedMembers.
	Settled
	// Partitioned is a stable view with half of the reference group or less. It may be that of one side of a network partition whose other
	// side also continues to run, so it must not be used to decide about anything that may exist only once.
	Partitioned
)

// String returns the confidence as it appears in reports and log lines.
func (c Confidence) String() string {
	return [...]string{"changing", "settled", "cut off"}[min(c, Partitioned)]
}

// maxUnstableIntervals is the maximum time for which a view that changes continuously stays unstable, as a multiple of
// Options.SettleAfter. Without it, the endpoints of members that have ended would get no calls during a release, which takes minutes.
const maxUnstableIntervals = 5

// stability decides when a view is stable, and stores the group of that moment. The view passes it the status of names; it has no
// information on processes.
type stability struct {
	options   *Options
	histories map[string]*nameHistory // histories of the names that are present, or were until recently
	metOthers bool                    // whether another process has ever been present
	lastTick  time.Duration           // time of the last tick; a long pause after it means that this process was suspended

	unstable      bool          // whether the group may have changed since the view was last stable
	unstableSince time.Duration // time of the first of these changes
	lastChange    time.Duration // time of the last change

	// The state of the view when it was last stable.
	names       []string // names of the group, sorted; nil if the view was never stable
	partitioned bool     // whether the view was partitioned instead of settled
	damped      int      // number of damped names

	// The reference group, with which the present names are compared to detect a partition.
	reference map[string]bool          // names of the last settled group
	lost      map[string]time.Duration // names of earlier groups that disappeared without an announcement, and when
	resumed   bool                     // whether reference was saved by an earlier process of this sidecar
	resumedAt time.Duration            // time at which it was resumed
}

// newStability returns the stability of a view without any names.
func newStability(options *Options, now time.Duration) stability {
	return stability{
		options:       options,
		histories:     map[string]*nameHistory{},
		lastTick:      now,
		unstable:      true,
		unstableSince: now,
		lastChange:    now,
		reference:     map[string]bool{},
		lost:          map[string]time.Duration{},
	}
}

// applyStatus updates the history of a name to its present status.
func (s *stability) applyStatus(now time.Duration, name string, status nameStatus) {
	if status.leaving && !status.present {
		// An announced shutdown does not indicate a partition.
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
			s.markUnstable(now)
		}
	}
	if history.present != status.present {
		history.present = status.present
		if history.flap(now, s.options.DampingWindow) {
			s.markUnstable(now)
		}
		return
	}
	if !status.known && steady {
		delete(s.histories, name)
	}
}

// markUnstable records a change that may change the group.
func (s *stability) markUnstable(now time.Duration) {
	if !s.unstable {
		s.unstable = true
		s.unstableSince = now
	}
	s.lastChange = now
}

// tick records that this process is running. If the last tick is longer ago than Options.SettleAfter, the process was suspended and its
// view is out of date.
func (s *stability) tick(now time.Duration) {
	if now-s.lastTick > s.options.SettleAfter {
		s.markUnstable(now)
	}
	s.lastTick = now
}

// resume sets the group of an earlier process as the reference group. It has no effect once the view has been stable.
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

// confidence returns the confidence of the view at a time.
func (s *stability) confidence(now time.Duration) Confidence {
	wasSuspended := now-s.lastTick > s.options.SettleAfter
	switch {
	case s.unstable || wasSuspended:
		return Changing
	case s.partitioned:
		return Partitioned
	}
	return Settled
}

// stabilizing reports whether the view is not yet stable again after a change.
func (s *stability) stabilizing(now time.Duration) bool {
	if !s.metOthers && s.options.ExpectedMembers > 1 {
		return true // until a member has found another one, its view says nothing about the group
	}
	quiet := now-s.lastChange >= s.options.SettleAfter
	overdue := now-s.unstableSince >= maxUnstableIntervals*s.options.SettleAfter
	return s.unstable && !quiet && !overdue
}

// reachable returns how many names of the reference group are eligible, and the size of the reference group.
func (s *stability) reachable() (reached, size int) {
	if len(s.reference) == 0 {
		for _, h := range s.histories {
			if h.eligible() {
				reached++
			}
		}
		return reached, max(s.options.ExpectedMembers, 1)
	}
	add := func(name string) {
		size++
		if h := s.histories[name]; h != nil && h.eligible() {
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

// tryStabilize makes the view stable if it has not changed for long enough. It reports whether there is a new group or confidence.
func (s *stability) tryStabilize(now time.Duration) bool {
	if s.resumed && now-s.resumedAt >= s.options.ResumeWindow {
		clear(s.reference)
		s.resumed = false
		s.markUnstable(now)
	}
	if s.stabilizing(now) {
		return false
	}
	reached, size := s.reachable()
	partitioned := 2*reached <= size
	if !partitioned {
		s.forgetLost(now)
	}
	if !s.unstable && s.partitioned == partitioned {
		return false
	}
	s.unstable = false
	s.partitioned = partitioned
	s.updateNames()
	if !partitioned {
		s.updateReference(now)
	}
	return true
}

// forgetLost removes the lost names that disappeared at least Options.LossWindow ago. They are not part of a partition that is still being
// detected.
func (s *stability) forgetLost(now time.Duration) {
	for name, at := range s.lost {
		if now-at >= s.options.LossWindow {
			delete(s.lost, name)
		}
	}
}

// updateNames sets the group to the eligible names, and counts the damped ones.
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

// updateReference makes the group the reference group, and marks names that are no longer in it as lost.
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
