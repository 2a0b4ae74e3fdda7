package morning

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/emulator"
)

// settingKey is one setting: what may stand behind its name, and where it goes.
type settingKey[T any] struct {
	expected string // what is expected, for messages
	set      func(at *T, v *value) bool
}

func integerKey[T any](field func(*T) *int, least, most int) settingKey[T] {
	return settingKey[T]{fmt.Sprintf("a whole number from %d to %d", least, most), func(at *T, v *value) bool {
		n := v.Low.Number
		if v.High != nil || n == nil || !isInteger(*n) || int(*n) < least || int(*n) > most {
			return false
		}
		*field(at) = int(*n)
		return true
	}}
}

func durationKey[T any](field func(*T) *time.Duration, least, most time.Duration) settingKey[T] {
	return settingKey[T]{fmt.Sprintf("a time from %v to %v, like 250ms or 9s", least, most), func(at *T, v *value) bool {
		d := v.Low.Duration
		if v.High != nil || d == nil || time.Duration(*d) < least || time.Duration(*d) > most {
			return false
		}
		*field(at) = time.Duration(*d)
		return true
	}}
}

// number is a number or a percentage.
func (s *scalar) number() (float64, bool) {
	switch {
	case s.Number != nil:
		return *s.Number, true
	case s.Percent != nil:
		return float64(*s.Percent), true
	}
	return 0, false
}

func numberKey[T any](field func(*T) *float64, least, most float64) settingKey[T] {
	return settingKey[T]{fmt.Sprintf("a number from %v to %v", least, most), func(at *T, v *value) bool {
		f, ok := v.Low.number()
		if v.High != nil || !ok || f < least || f > most {
			return false
		}
		*field(at) = f
		return true
	}}
}

func rangeKey[T any](field func(*T) *Range, least, most float64) settingKey[T] {
	return settingKey[T]{fmt.Sprintf("a number or a range like 0.6..1.5, from %v to %v", least, most), func(at *T, v *value) bool {
		low, ok := v.Low.number()
		high := low
		if ok && v.High != nil {
			high, ok = v.High.number()
		}
		if !ok || low < least || high > most || low > high {
			return false
		}
		*field(at) = Range{low, high}
		return true
	}}
}

func wordKey[T any](set func(*T, string), known ...string) settingKey[T] {
	return settingKey[T]{"one of " + strings.Join(known, ", "), func(at *T, v *value) bool {
		if v.High != nil || v.Low.Word == nil || len(known) > 0 && !slices.Contains(known, *v.Low.Word) {
			return false
		}
		set(at, *v.Low.Word)
		return true
	}}
}

func boolKey[T any](field func(*T) *bool) settingKey[T] {
	return wordKey(func(at *T, w string) { *field(at) = w == "yes" }, "yes", "no")
}

var tierKeys = map[string]settingKey[Tier]{
	"boxes":      integerKey(func(t *Tier) *int { return &t.Servers }, 1, MaxServers),
	"cells":      integerKey(func(t *Tier) *int { return &t.CellSize }, 1, MaxServers),
	"cores":      integerKey(func(t *Tier) *int { return &t.Cores }, 1, 256),
	"speed":      rangeKey(func(t *Tier) *Range { return &t.Speed }, 0.01, 100),
	"slots":      integerKey(func(t *Tier) *int { return &t.Slots }, 1, 100_000),
	"queue":      integerKey(func(t *Tier) *int { return &t.Queue }, 0, 100_000),
	"work":       durationKey(func(t *Tier) *time.Duration { return &t.Work.Mean }, 10*time.Microsecond, time.Minute),
	"shape":      wordKey(func(t *Tier, w string) { t.Work.Shape = emulator.DistributionFamily(w) }, emulator.Families()...),
	"cv":         numberKey(func(t *Tier) *float64 { return &t.Work.CV }, 0.01, 10),
	"noise":      numberKey(func(t *Tier) *float64 { return &t.Noise }, 0, 10),
	"cold":       rangeKey(func(t *Tier) *Range { return &t.ColdShare }, 0.01, 1),
	"warm":       durationKey(func(t *Tier) *time.Duration { return &t.WarmUp }, 0, 10*time.Minute),
	"thrash":     numberKey(func(t *Tier) *float64 { return &t.Thrash }, 0, 1),
	"thrash_at":  integerKey(func(t *Tier) *int { return &t.ThrashAt }, 1, 100_000),
	"choke_held": integerKey(func(t *Tier) *int { return &t.CongestionJobs }, 0, 100_000),
	"choke_over": durationKey(func(t *Tier) *time.Duration { return &t.CongestionAfter }, time.Millisecond, time.Minute),
	"choke_by":   numberKey(func(t *Tier) *float64 { return &t.CongestionSlowdown }, 1, 100),
	"calls":      {"the name of a tier", func(t *Tier, v *value) bool { return v.readName(&t.Calls) }},
	"times":      integerKey(func(t *Tier) *int { return &t.CallsPerRequest }, 1, 20),
	"before":     numberKey(func(t *Tier) *float64 { return &t.WorkBeforeCalls }, 0, 1),
	"cancel":     wordKey(func(t *Tier, w string) { t.CancelStopsWork = w == "all" }, "queued", "all"),
	"expired":    wordKey(func(t *Tier, w string) { t.DropsExpired = w == "dropped" }, "dropped", "served"),
	"protocol":   wordKey(func(t *Tier, w string) { t.HTTP3 = w == "http3" }, "http1", "http3"),
	"conns":      integerKey(func(t *Tier) *int { return &t.MaxConnections }, 0, 100_000),
	"handshake":  durationKey(func(t *Tier) *time.Duration { return &t.HandshakeWork }, 0, time.Second),
	"fallen_for": durationKey(func(t *Tier) *time.Duration { return &t.RestartAfterCollapse }, 0, time.Minute),
	"report":     durationKey(func(t *Tier) *time.Duration { return &t.ReportInterval }, 0, 10*time.Second),
}

var classKeys = map[string]settingKey[Class]{
	"effect":   wordKey(func(c *Class, w string) { c.Idempotency = balancer.Idempotency(w) }, "safe", "keyed", "unsafe"),
	"scope":    wordKey(func(c *Class, w string) { c.Scope = balancer.KeyScope(w) }, "cell", "zone", "all"),
	"window":   durationKey(func(c *Class) *time.Duration { return &c.Window }, time.Millisecond, time.Hour),
	"aim":      durationKey(func(c *Class) *time.Duration { return &c.LatencyTarget }, time.Millisecond, time.Minute),
	"deadline": durationKey(func(c *Class) *time.Duration { return &c.Deadline }, 10*time.Millisecond, time.Minute),
	"worth":    numberKey(func(c *Class) *float64 { return &c.Value }, 0, 1000),
	"share":    numberKey(func(c *Class) *float64 { return &c.Share }, 0.0001, 1000),
}

var sidecarKeys = map[string]settingKey[Scenario]{
	"count":   integerKey(func(m *Scenario) *int { return &m.Sidecars.Count }, 1, MaxSidecars),
	"told":    integerKey(func(m *Scenario) *int { return &m.Sidecars.AnnouncedCount }, 0, 10*MaxSidecars),
	"peers":   boolKey(func(m *Scenario) *bool { return &m.Sidecars.Peers }),
	"sockets": integerKey(func(m *Scenario) *int { return &m.Sidecars.Sockets }, 64, 65536),
	"memory": {"a size like 192MiB", func(m *Scenario, v *value) bool {
		if v.High != nil || v.Low.Size == nil {
			return false
		}
		n, err := strconv.Atoi(strings.TrimSuffix(*v.Low.Size, "MiB"))
		m.Sidecars.MemoryMB = n
		return err == nil && n >= 16 && n <= 4096
	}},
}

var callerKeys = map[string]settingKey[Scenario]{
	"rate": {"a rate like 150/s, above 0", func(m *Scenario, v *value) bool {
		if v.High != nil || v.Low.Rate == nil {
			return false
		}
		f, err := strconv.ParseFloat(strings.TrimSuffix(*v.Low.Rate, "/s"), 64)
		m.Callers.Rate = f
		return err == nil && f > 0 && f <= 20_000
	}},
	"shape":    wordKey(func(m *Scenario, w string) { m.Callers.Shape = w }, "steady", "bursty", "wave"),
	"swing":    numberKey(func(m *Scenario) *float64 { return &m.Callers.Swing }, 0, 1),
	"retries":  integerKey(func(m *Scenario) *int { return &m.Callers.Retries }, 0, 10),
	"patience": rangeKey(func(m *Scenario) *Range { return &m.Callers.Patience }, 0.01, 1),
	"backoff":  durationKey(func(m *Scenario) *time.Duration { return &m.Callers.Backoff }, 0, time.Minute),
	"at_first": numberKey(func(m *Scenario) *float64 { return &m.Callers.FirstSidecarShare }, 0, 1),
	"honour":   numberKey(func(m *Scenario) *float64 { return &m.Callers.HonoursRetryAfter }, 0, 1),
}

var discoveryKeys = map[string]settingKey[Scenario]{
	"by":            wordKey(func(m *Scenario, w string) { m.Discovery.Consul = w == "consul" }, "platform", "consul"),
	"notice":        durationKey(func(m *Scenario) *time.Duration { return &m.Discovery.NoticeDelay }, 0, time.Minute),
	"silent_notice": durationKey(func(m *Scenario) *time.Duration { return &m.Discovery.SilentNoticeDelay }, 0, time.Minute),
	"late":          durationKey(func(m *Scenario) *time.Duration { return &m.Discovery.LateDelay }, 0, 5*time.Second),
	"late_share":    numberKey(func(m *Scenario) *float64 { return &m.Discovery.LateShare }, 0, 1),
	"boot":          wordKey(func(m *Scenario, w string) { m.Discovery.BootTime = BootTime(w) }, string(BootTimeTrue), string(BootTimeNone), string(BootTimeAhead)),
	"add":           durationKey(func(m *Scenario) *time.Duration { return &m.Discovery.AddDelay }, 0, time.Minute),
}

var ruleKeys = map[string]settingKey[Scenario]{
	"drain":      durationKey(func(m *Scenario) *time.Duration { return &m.Rules.Drain }, 0, time.Minute),
	"tip_by":     numberKey(func(m *Scenario) *float64 { return &m.Rules.OverloadFactor }, 0, 1000),
	"tip_window": durationKey(func(m *Scenario) *time.Duration { return &m.Rules.OverloadWindow }, time.Millisecond, time.Minute),
	"attempts":   integerKey(func(m *Scenario) *int { return &m.Rules.MaxAttempts }, 1, 100),
	"copies":     boolKey(func(m *Scenario) *bool { return &m.Rules.Hedging }),
	"connect":    durationKey(func(m *Scenario) *time.Duration { return &m.Rules.ConnectTimeout }, time.Millisecond, time.Minute),
	"slack":      durationKey(func(m *Scenario) *time.Duration { return &m.Rules.Slack }, 0, time.Second),
	"kill":       durationKey(func(m *Scenario) *time.Duration { return &m.Rules.KillDelay }, 0, time.Minute),
}

var topKeys = map[string]settingKey[Scenario]{
	"title":  {"a text in quotation marks", func(m *Scenario, v *value) bool { return v.High == nil && v.Low.readText(&m.Title) }},
	"length": durationKey(func(m *Scenario) *time.Duration { return &m.Length }, time.Second, MaxLength),
	"seed": {"a whole number", func(m *Scenario, v *value) bool {
		n := v.Low.Number
		if v.High != nil || n == nil || !isInteger(*n) {
			return false
		}
		m.Seed = uint64(*n)
		return true
	}},
}

func (s *scalar) readText(to *string) bool {
	if s.Text == nil {
		return false
	}
	*to = *s.Text
	return true
}

func (v *value) readName(to *string) bool {
	if v.High != nil || v.Low.Word == nil {
		return false
	}
	*to = *v.Low.Word
	return true
}

// sectionNames are the words that a setting may begin with.
var sectionNames = []string{"title", "length", "seed", "tier", "class", "sidecars", "callers", "discovery", "rules", "expect", "at"}

// applySetting takes one line of settings.
func (m *Scenario) applySetting(s *setting, add finding.Reporter) {
	at := positionOf(s.Pos)
	switch s.Section {
	case "title", "length", "seed":
		if len(s.Values) != 1 {
			add(at, "%s takes %s", s.Section, topKeys[s.Section].expected)
			return
		}
		applyOne(m, m, "", s.Section, topKeys[s.Section], s.Values[0], add)
	case "tier":
		if name, rest, ok := splitName(s, add); ok {
			t := m.Tier(name)
			if t == nil {
				t = newTier(name)
				m.Tiers = append(m.Tiers, t)
				m.positions["tier "+name] = at
			}
			applyPairs(m, t, "tier "+name+" ", tierKeys, rest, add)
		}
	case "class":
		if name, rest, ok := splitName(s, add); ok {
			i := slices.IndexFunc(m.Classes, func(c *Class) bool { return c.Name == name })
			if i < 0 {
				i = len(m.Classes)
				m.Classes = append(m.Classes, &Class{
					Name: name, Idempotency: balancer.Idempotent, Scope: balancer.KeyScopeCell,
					Window: 10 * time.Second, LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1, Share: 1,
				})
				m.positions["class "+name] = at
			}
			applyPairs(m, m.Classes[i], "class "+name+" ", classKeys, rest, add)
		}
	case "sidecars":
		m.positions["sidecars"] = at
		applyPairs(m, m, "sidecars ", sidecarKeys, s.Values, add)
	case "callers":
		applyPairs(m, m, "callers ", callerKeys, s.Values, add)
	case "discovery":
		applyPairs(m, m, "discovery ", discoveryKeys, s.Values, add)
	case "rules":
		applyPairs(m, m, "rules ", ruleKeys, s.Values, add)
	case "expect":
		m.addExpectation(s, add)
	default:
		add(at, "%s", finding.UnknownName("section", s.Section, sectionNames))
	}
}

// splitName splits the name off a line like "tier booking-front boxes 8".
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

// applyPairs takes keys with their values.
func applyPairs[T any](m *Scenario, to *T, path string, keys map[string]settingKey[T], values []*value, add finding.Reporter) {
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
			applyOne(m, to, path, name, k, values[i+1], add)
		}
	}
}

func applyOne[T any](m *Scenario, to *T, path, name string, k settingKey[T], v *value, add finding.Reporter) {
	at := positionOf(v.Pos)
	if old, ok := m.positions[path+name]; ok {
		add(at, "%s%s is set twice, first in line %d", path, name, old.Line)
		return
	}
	m.positions[path+name] = at
	if !k.set(to, v) {
		add(at, "%s takes %s", name, k.expected)
	}
}

// figureNames are what can be expected of a morning.
var figureNames = []string{"service", "worst", "refused", "failed", "attempts"}

// addExpectation takes a line like "expect service above 0.95".
func (m *Scenario) addExpectation(s *setting, add finding.Reporter) {
	var what, side string
	if len(s.Values) != 3 || !s.Values[0].readName(&what) || !s.Values[1].readName(&side) || s.Values[2].High != nil {
		add(positionOf(s.Pos), "an expectation is like 'expect service above 0.95'")
		return
	}
	bound, ok := s.Values[2].Low.number()
	switch {
	case !slices.Contains(figureNames, what):
		add(positionOf(s.Values[0].Pos), "%s", finding.UnknownName("figure", what, figureNames))
	case side != "above" && side != "below":
		add(positionOf(s.Values[1].Pos), "%q: above or below", side)
	case !ok:
		add(positionOf(s.Values[2].Pos), "a number is expected here")
	default:
		m.Expectations = append(m.Expectations, Expectation{positionOf(s.Pos), what, side == "above", bound})
	}
}
