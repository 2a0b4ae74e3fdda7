package scenario

import (
	"slices"

	"quincegap/internal/balancer"
	"quincegap/internal/config/finding"
)

// validate adds findings for settings that are missing, contradict each other or exceed a limit in total.
func (s *Scenario) validate(add finding.Reporter) {
	if len(s.Tiers) == 0 {
		add(finding.Pos{}, "no tier: a line like 'tier booking-front boxes 8' says what boxes there are")
		return
	}
	if len(s.Classes) == 0 {
		add(finding.Pos{}, "no class: a line like 'class book-trip effect keyed aim 2500ms deadline 6s' says what is asked for")
		return
	}
	servers, sidecars := 0, s.Sidecars.Count
	called := map[string]bool{}
	for i, t := range s.Tiers {
		servers += t.Servers
		if t.Servers > MaxServers {
			add(s.position("tier", t.Name, "boxes"), "more than %d boxes", MaxServers)
			return
		}
		if t.Calls != "" {
			sidecars += t.Servers
			called[t.Calls] = true
		}
		s.validateTier(i, called, add)
	}
	if servers > MaxServers {
		add(s.position("tier", s.Tiers[0].Name), "%d boxes in all, %d at most", servers, MaxServers)
	}
	if sidecars > MaxSidecars {
		add(s.position("sidecars"), "%d sidecars, %d at most: %d for callers, and one for each box of a tier that calls another",
			sidecars, MaxSidecars, s.Sidecars.Count)
	}
	if requests := s.Callers.Rate * s.Length.Seconds(); requests > MaxRequests {
		add(s.position("callers", "rate"), "about %.0f requests, %d at most", requests, MaxRequests)
	}
	for _, class := range s.Classes {
		s.validateClass(class, add)
	}
}

// validateTier validates one tier. called are the names of the tiers that this tier and those before it call.
func (s *Scenario) validateTier(index int, called map[string]bool, add finding.Reporter) {
	t := s.Tiers[index]
	if t.Calls != "" {
		if t.RestartAfterCollapse > 0 {
			add(s.position("tier", t.Name, "fallen_for"), "boxes that call others have a sidecar each, and are not started again after a fall")
		}
		s.validateCalls(index, add)
	}
	if index > 0 && !called[t.Name] {
		add(s.position("tier", t.Name), "no tier calls %s: put 'calls %s' to %s", t.Name, t.Name, s.Tiers[index-1].Name)
	}
	if spec := s.serverSpec(t, 1, t.ColdShare.Low); spec.Validate() != nil {
		add(s.position("tier", t.Name), "%v", spec.Validate())
	}
}

// validateCalls validates that a tier calls the next tier in the script.
func (s *Scenario) validateCalls(index int, add finding.Reporter) {
	t := s.Tiers[index]
	at := s.position("tier", t.Name, "calls")
	callee := slices.IndexFunc(s.Tiers, func(other *Tier) bool { return other.Name == t.Calls })
	switch {
	case callee < 0:
		add(at, "%s", finding.UnknownName("tier", t.Calls, s.tierNames()))
	case callee <= index:
		add(at, "a tier calls only tiers that come after it in the script")
	case callee != index+1:
		add(at, "a tier calls the one after it, which is %s", s.Tiers[index+1].Name)
	}
}

// validateClass validates the time limits of a class against each other.
func (s *Scenario) validateClass(class *Class, add finding.Reporter) {
	if class.LatencyTarget > class.Deadline {
		add(s.position("class", class.Name, "aim"), "the aim, %v, lies beyond the deadline, %v", class.LatencyTarget, class.Deadline)
	}
	if class.Idempotency == balancer.IdempotentWithKey && class.Window < class.Deadline {
		add(s.position("class", class.Name), "boxes remember keys for %v, and callers repeat them for up to %v: a repeat would run twice",
			class.Window, class.Deadline)
	}
}
