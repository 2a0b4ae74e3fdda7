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

// key is one setting: what may stand behind its name, and where it goes.
type key[T any] struct {
	what string // what is expected, for messages
	set  func(at *T, v *value) bool
}

func count[T any](field func(*T) *int, least, most int) key[T] {
	return key[T]{fmt.Sprintf("a whole number from %d to %d", least, most), func(at *T, v *value) bool {
		n := v.Low.Number
		if v.High != nil || n == nil || !whole(*n) || int(*n) < least || int(*n) > most {
			return false
		}
		*field(at) = int(*n)
		return true
	}}
}

func duration[T any](field func(*T) *time.Duration, least, most time.Duration) key[T] {
	return key[T]{fmt.Sprintf("a time from %v to %v, like 250ms or 9s", least, most), func(at *T, v *value) bool {
		d := v.Low.Duration
		if v.High != nil || d == nil || time.Duration(*d) < least || time.Duration(*d) > most {
			return false
		}
		*field(at) = time.Duration(*d)
		return true
	}}
}

// plain is a number or a percentage.
func (s *scalar) plain() (float64, bool) {
	switch {
	case s.Number != nil:
		return *s.Number, true
	case s.Percent != nil:
		return float64(*s.Percent), true
	}
	return 0, false
}

func figure[T any](field func(*T) *float64, least, most float64) key[T] {
	return key[T]{fmt.Sprintf("a number from %v to %v", least, most), func(at *T, v *value) bool {
		f, ok := v.Low.plain()
		if v.High != nil || !ok || f < least || f > most {
			return false
		}
		*field(at) = f
		return true
	}}
}

func span2[T any](field func(*T) *Range, least, most float64) key[T] {
	return key[T]{fmt.Sprintf("a number or a range like 0.6..1.5, from %v to %v", least, most), func(at *T, v *value) bool {
		low, ok := v.Low.plain()
		high := low
		if ok && v.High != nil {
			high, ok = v.High.plain()
		}
		if !ok || low < least || high > most || low > high {
			return false
		}
		*field(at) = Range{low, high}
		return true
	}}
}

func word[T any](set func(*T, string), known ...string) key[T] {
	return key[T]{"one of " + strings.Join(known, ", "), func(at *T, v *value) bool {
		if v.High != nil || v.Low.Word == nil || len(known) > 0 && !slices.Contains(known, *v.Low.Word) {
			return false
		}
		set(at, *v.Low.Word)
		return true
	}}
}

func yes[T any](field func(*T) *bool) key[T] {
	return word(func(at *T, w string) { *field(at) = w == "yes" }, "yes", "no")
}

var tierKeys = map[string]key[Tier]{
	"boxes":      count(func(t *Tier) *int { return &t.Boxes }, 1, MostBoxes),
	"cells":      count(func(t *Tier) *int { return &t.CellSize }, 1, MostBoxes),
	"cores":      count(func(t *Tier) *int { return &t.Cores }, 1, 256),
	"speed":      span2(func(t *Tier) *Range { return &t.Speed }, 0.01, 100),
	"slots":      count(func(t *Tier) *int { return &t.Slots }, 1, 100_000),
	"queue":      count(func(t *Tier) *int { return &t.Queue }, 0, 100_000),
	"work":       duration(func(t *Tier) *time.Duration { return &t.Work.Mean }, 10*time.Microsecond, time.Minute),
	"shape":      word(func(t *Tier, w string) { t.Work.Shape = emulator.Shape(w) }, emulator.Shapes()...),
	"cv":         figure(func(t *Tier) *float64 { return &t.Work.CV }, 0.01, 10),
	"noise":      figure(func(t *Tier) *float64 { return &t.Noise }, 0, 10),
	"cold":       span2(func(t *Tier) *Range { return &t.Cold }, 0.01, 1),
	"warm":       duration(func(t *Tier) *time.Duration { return &t.Warm }, 0, 10*time.Minute),
	"thrash":     figure(func(t *Tier) *float64 { return &t.Thrash }, 0, 1),
	"thrash_at":  count(func(t *Tier) *int { return &t.ThrashAt }, 1, 100_000),
	"choke_held": count(func(t *Tier) *int { return &t.ChokeHeld }, 0, 100_000),
	"choke_over": duration(func(t *Tier) *time.Duration { return &t.ChokeOver }, time.Millisecond, time.Minute),
	"choke_by":   figure(func(t *Tier) *float64 { return &t.ChokeBy }, 1, 100),
	"calls":      {"the name of a tier", func(t *Tier, v *value) bool { return v.name(&t.Calls) }},
	"times":      count(func(t *Tier) *int { return &t.Times }, 1, 20),
	"before":     figure(func(t *Tier) *float64 { return &t.Before }, 0, 1),
	"cancel":     word(func(t *Tier, w string) { t.Cancel = w == "all" }, "queued", "all"),
	"expired":    word(func(t *Tier, w string) { t.Expired = w == "dropped" }, "dropped", "served"),
	"protocol":   word(func(t *Tier, w string) { t.HTTP3 = w == "http3" }, "http1", "http3"),
	"conns":      count(func(t *Tier) *int { return &t.Conns }, 0, 100_000),
	"handshake":  duration(func(t *Tier) *time.Duration { return &t.Handshake }, 0, time.Second),
	"fallen_for": duration(func(t *Tier) *time.Duration { return &t.FallenFor }, 0, time.Minute),
	"report":     duration(func(t *Tier) *time.Duration { return &t.Report }, 0, 10*time.Second),
}

var classKeys = map[string]key[Class]{
	"effect":   word(func(c *Class, w string) { c.Effect = balancer.Idempotency(w) }, "safe", "keyed", "unsafe"),
	"scope":    word(func(c *Class, w string) { c.Scope = balancer.KeyScope(w) }, "cell", "zone", "all"),
	"window":   duration(func(c *Class) *time.Duration { return &c.Window }, time.Millisecond, time.Hour),
	"aim":      duration(func(c *Class) *time.Duration { return &c.Aim }, time.Millisecond, time.Minute),
	"deadline": duration(func(c *Class) *time.Duration { return &c.Deadline }, 10*time.Millisecond, time.Minute),
	"worth":    figure(func(c *Class) *float64 { return &c.Worth }, 0, 1000),
	"share":    figure(func(c *Class) *float64 { return &c.Share }, 0.0001, 1000),
}

var sidecarKeys = map[string]key[Morning]{
	"count":   count(func(m *Morning) *int { return &m.Sidecars.Count }, 1, MostSidecars),
	"told":    count(func(m *Morning) *int { return &m.Sidecars.Told }, 0, 10*MostSidecars),
	"peers":   yes(func(m *Morning) *bool { return &m.Sidecars.Peers }),
	"sockets": count(func(m *Morning) *int { return &m.Sidecars.Sockets }, 64, 65536),
	"memory": {"a size like 192MiB", func(m *Morning, v *value) bool {
		if v.High != nil || v.Low.Size == nil {
			return false
		}
		n, err := strconv.Atoi(strings.TrimSuffix(*v.Low.Size, "MiB"))
		m.Sidecars.MemoryMB = n
		return err == nil && n >= 16 && n <= 4096
	}},
}

var callerKeys = map[string]key[Morning]{
	"rate": {"a rate like 150/s, above 0", func(m *Morning, v *value) bool {
		if v.High != nil || v.Low.Rate == nil {
			return false
		}
		f, err := strconv.ParseFloat(strings.TrimSuffix(*v.Low.Rate, "/s"), 64)
		m.Callers.Rate = f
		return err == nil && f > 0 && f <= 20_000
	}},
	"shape":    word(func(m *Morning, w string) { m.Callers.Shape = w }, "steady", "bursty", "wave"),
	"swing":    figure(func(m *Morning) *float64 { return &m.Callers.Swing }, 0, 1),
	"retries":  count(func(m *Morning) *int { return &m.Callers.Retries }, 0, 10),
	"patience": span2(func(m *Morning) *Range { return &m.Callers.Patience }, 0.01, 1),
	"backoff":  duration(func(m *Morning) *time.Duration { return &m.Callers.Backoff }, 0, time.Minute),
	"at_first": figure(func(m *Morning) *float64 { return &m.Callers.AtFirst }, 0, 1),
	"honour":   figure(func(m *Morning) *float64 { return &m.Callers.Honour }, 0, 1),
}

var discoveryKeys = map[string]key[Morning]{
	"by":            word(func(m *Morning, w string) { m.Discovery.Consul = w == "consul" }, "platform", "consul"),
	"notice":        duration(func(m *Morning) *time.Duration { return &m.Discovery.Notice }, 0, time.Minute),
	"silent_notice": duration(func(m *Morning) *time.Duration { return &m.Discovery.SilentNotice }, 0, time.Minute),
	"late":          duration(func(m *Morning) *time.Duration { return &m.Discovery.Late }, 0, 5*time.Second),
	"late_share":    figure(func(m *Morning) *float64 { return &m.Discovery.LateShare }, 0, 1),
	"boot":          word(func(m *Morning, w string) { m.Discovery.Boot = Boot(w) }, string(BootTrue), string(BootNone), string(BootAhead)),
	"add":           duration(func(m *Morning) *time.Duration { return &m.Discovery.Add }, 0, time.Minute),
}

var ruleKeys = map[string]key[Morning]{
	"drain":      duration(func(m *Morning) *time.Duration { return &m.Rules.Drain }, 0, time.Minute),
	"tip_by":     figure(func(m *Morning) *float64 { return &m.Rules.TipBy }, 0, 1000),
	"tip_window": duration(func(m *Morning) *time.Duration { return &m.Rules.TipWindow }, time.Millisecond, time.Minute),
	"attempts":   count(func(m *Morning) *int { return &m.Rules.Attempts }, 1, 100),
	"copies":     yes(func(m *Morning) *bool { return &m.Rules.Copies }),
	"connect":    duration(func(m *Morning) *time.Duration { return &m.Rules.Connect }, time.Millisecond, time.Minute),
	"slack":      duration(func(m *Morning) *time.Duration { return &m.Rules.Slack }, 0, time.Second),
	"kill":       duration(func(m *Morning) *time.Duration { return &m.Rules.Kill }, 0, time.Minute),
}

var topKeys = map[string]key[Morning]{
	"title":  {"a text in quotation marks", func(m *Morning, v *value) bool { return v.High == nil && v.Low.text(&m.Title) }},
	"length": duration(func(m *Morning) *time.Duration { return &m.Length }, time.Second, MostLength),
	"seed": {"a whole number", func(m *Morning, v *value) bool {
		n := v.Low.Number
		if v.High != nil || n == nil || !whole(*n) {
			return false
		}
		m.Seed = uint64(*n)
		return true
	}},
}

func (s *scalar) text(to *string) bool {
	if s.Text == nil {
		return false
	}
	*to = *s.Text
	return true
}

func (v *value) name(to *string) bool {
	if v.High != nil || v.Low.Word == nil {
		return false
	}
	*to = *v.Low.Word
	return true
}

// sections are the words that a setting may begin with.
var sections = []string{"title", "length", "seed", "tier", "class", "sidecars", "callers", "discovery", "rules", "expect", "at"}

// set takes one line of settings.
func (m *Morning) set(s *setting, add finding.Reporter) {
	at := pos(s.Pos)
	switch s.Section {
	case "title", "length", "seed":
		if len(s.Values) != 1 {
			add(at, "%s takes %s", s.Section, topKeys[s.Section].what)
			return
		}
		one(m, m, "", s.Section, topKeys[s.Section], s.Values[0], add)
	case "tier":
		if name, rest, ok := named(s, add); ok {
			t := m.Tier(name)
			if t == nil {
				t = newTier(name)
				m.Tiers = append(m.Tiers, t)
				m.places["tier "+name] = at
			}
			pairs(m, t, "tier "+name+" ", tierKeys, rest, add)
		}
	case "class":
		if name, rest, ok := named(s, add); ok {
			i := slices.IndexFunc(m.Classes, func(c *Class) bool { return c.Name == name })
			if i < 0 {
				i = len(m.Classes)
				m.Classes = append(m.Classes, &Class{
					Name: name, Effect: balancer.Idempotent, Scope: balancer.KeyScopeCell,
					Window: 10 * time.Second, Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, Share: 1,
				})
				m.places["class "+name] = at
			}
			pairs(m, m.Classes[i], "class "+name+" ", classKeys, rest, add)
		}
	case "sidecars":
		m.places["sidecars"] = at
		pairs(m, m, "sidecars ", sidecarKeys, s.Values, add)
	case "callers":
		pairs(m, m, "callers ", callerKeys, s.Values, add)
	case "discovery":
		pairs(m, m, "discovery ", discoveryKeys, s.Values, add)
	case "rules":
		pairs(m, m, "rules ", ruleKeys, s.Values, add)
	case "expect":
		m.expect(s, add)
	default:
		add(at, "%s", finding.UnknownName("section", s.Section, sections))
	}
}

// named splits the name off a line like "tier booking-front boxes 8".
func named(s *setting, add finding.Reporter) (name string, rest []*value, ok bool) {
	if len(s.Values) == 0 || !s.Values[0].name(&name) {
		add(pos(s.Pos), "%s needs a name behind it", s.Section)
		return "", nil, false
	}
	if _, key := tierKeys[name]; key && s.Section == "tier" {
		add(pos(s.Values[0].Pos), "%q is a key: the name of the tier comes first", name)
		return "", nil, false
	}
	return name, s.Values[1:], true
}

// pairs takes keys with their values.
func pairs[T any](m *Morning, to *T, path string, keys map[string]key[T], values []*value, add finding.Reporter) {
	for i := 0; i < len(values); i += 2 {
		var name string
		if !values[i].name(&name) {
			add(pos(values[i].Pos), "the name of a key is expected here")
			return
		}
		k, ok := keys[name]
		switch {
		case !ok:
			add(pos(values[i].Pos), "%s", finding.UnknownName("key", name, slices.Sorted(maps.Keys(keys))))
		case i+1 == len(values):
			add(pos(values[i].Pos), "%s takes %s", name, k.what)
		default:
			one(m, to, path, name, k, values[i+1], add)
		}
	}
}

func one[T any](m *Morning, to *T, path, name string, k key[T], v *value, add finding.Reporter) {
	at := pos(v.Pos)
	if old, ok := m.places[path+name]; ok {
		add(at, "%s%s is set twice, first in line %d", path, name, old.Line)
		return
	}
	m.places[path+name] = at
	if !k.set(to, v) {
		add(at, "%s takes %s", name, k.what)
	}
}

// bounds are what can be expected of a morning.
var bounds = []string{"service", "worst", "refused", "failed", "attempts"}

// expect takes a line like "expect service above 0.95".
func (m *Morning) expect(s *setting, add finding.Reporter) {
	var what, side string
	if len(s.Values) != 3 || !s.Values[0].name(&what) || !s.Values[1].name(&side) || s.Values[2].High != nil {
		add(pos(s.Pos), "an expectation is like 'expect service above 0.95'")
		return
	}
	bound, ok := s.Values[2].Low.plain()
	switch {
	case !slices.Contains(bounds, what):
		add(pos(s.Values[0].Pos), "%s", finding.UnknownName("figure", what, bounds))
	case side != "above" && side != "below":
		add(pos(s.Values[1].Pos), "%q: above or below", side)
	case !ok:
		add(pos(s.Values[2].Pos), "a number is expected here")
	default:
		m.Expect = append(m.Expect, Expect{pos(s.Pos), what, side == "above", bound})
	}
}
