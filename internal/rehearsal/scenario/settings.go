package scenario

import (
	"maps"
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/finding"
)

// sectionNames are the words that a line may start with.
var sectionNames = []string{"title", "length", "seed", "tier", "class", "sidecars", "callers", "discovery", "rules", "expect", "at"}

// applySetting applies one line of settings to the scenario, and adds findings for its errors.
func (s *Scenario) applySetting(line *setting, add finding.Reporter) {
	at := positionOf(line.Pos)
	switch line.Section {
	case "title", "length", "seed":
		if len(line.Values) != 1 {
			add(at, "%s takes %s", line.Section, topKeys[line.Section].expected)
			return
		}
		applyOne(s, s, "", line.Section, topKeys[line.Section], line.Values[0], add)
	case "tier":
		if name, rest, ok := splitName(line, add); ok {
			applyPairs(s, s.tierFor(name, at), "tier "+name+" ", tierKeys, rest, add)
		}
	case "class":
		if name, rest, ok := splitName(line, add); ok {
			applyPairs(s, s.classFor(name, at), "class "+name+" ", classKeys, rest, add)
		}
	case "sidecars":
		s.positions["sidecars"] = at
		applyPairs(s, s, "sidecars ", sidecarKeys, line.Values, add)
	case "callers":
		applyPairs(s, s, "callers ", callerKeys, line.Values, add)
	case "discovery":
		applyPairs(s, s, "discovery ", discoveryKeys, line.Values, add)
	case "rules":
		applyPairs(s, s, "rules ", ruleKeys, line.Values, add)
	case "expect":
		s.addExpectation(line, add)
	default:
		add(at, "%s", finding.UnknownName("section", line.Section, sectionNames))
	}
}

// tierFor returns the tier with a name, and adds it if it doesn't exist yet.
func (s *Scenario) tierFor(name string, at finding.Pos) *Tier {
	t := s.Tier(name)
	if t == nil {
		t = newTier(name)
		s.Tiers = append(s.Tiers, t)
		s.positions["tier "+name] = at
	}
	return t
}

// classFor returns the class with a name, and adds it with default settings if it doesn't exist yet.
func (s *Scenario) classFor(name string, at finding.Pos) *Class {
	if i := slices.IndexFunc(s.Classes, func(c *Class) bool { return c.Name == name }); i >= 0 {
		return s.Classes[i]
	}
	class := &Class{
		Name: name, Idempotency: balancer.Idempotent, Scope: balancer.KeyScopeCell,
		Window: 10 * time.Second, LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1, Share: 1,
	}
	s.Classes = append(s.Classes, class)
	s.positions["class "+name] = at
	return class
}

// splitName splits a line like "tier booking-front boxes 8" into the name and the values after it. It returns false if it added a finding.
func splitName(s *setting, add finding.Reporter) (name string, rest []*value, ok bool) {
	if len(s.Values) == 0 || !s.Values[0].readName(&name) {
		add(positionOf(s.Pos), "%s needs a name behind it", s.Section)
		return "", nil, false
	}
	if _, key := tierKeys[name]; key && s.Section == "tier" {
		add(positionOf(s.Values[0].Pos), "%q is a key: the name of the tier comes first", name)
		return "", nil, false
	}
	return name, s.Values[1:], true
}

// applyPairs applies a list of keys, each followed by its value, and adds findings for errors.
func applyPairs[T any](scenario *Scenario, to *T, path string, keys map[string]settingKey[T], values []*value, add finding.Reporter) {
	for i := 0; i < len(values); i += 2 {
		var name string
		if !values[i].readName(&name) {
			add(positionOf(values[i].Pos), "the name of a key is expected here")
			return
		}
		k, ok := keys[name]
		switch {
		case !ok:
			add(positionOf(values[i].Pos), "%s", finding.UnknownName("key", name, slices.Sorted(maps.Keys(keys))))
		case i+1 == len(values):
			add(positionOf(values[i].Pos), "%s takes %s", name, k.expected)
		default:
			applyOne(scenario, to, path, name, k, values[i+1], add)
		}
	}
}

// applyOne applies one key with its value. It adds a finding if the key is already set or the value is not allowed.
func applyOne[T any](scenario *Scenario, to *T, path, name string, k settingKey[T], v *value, add finding.Reporter) {
	at := positionOf(v.Pos)
	if old, ok := scenario.positions[path+name]; ok {
		add(at, "%s%s is set twice, first in line %d", path, name, old.Line)
		return
	}
	scenario.positions[path+name] = at
	if !k.set(to, v) {
		add(at, "%s takes %s", name, k.expected)
	}
}
