package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/emulator"
)

// settingKey is a key of a setting that is stored in a T.
type settingKey[T any] struct {
	expected string                     // description of the allowed values, for findings
	set      func(at *T, v *value) bool // stores the value; returns false if it is not allowed
}

// integerKey returns a key whose value is an integer from least to most.
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

// durationKey returns a key whose value is a duration from least to most.
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

// number returns the value of a number or a percentage, or false if the scalar is neither.
func (s *scalar) number() (float64, bool) {
	switch {
	case s.Number != nil:
		return *s.Number, true
	case s.Percent != nil:
		return float64(*s.Percent), true
	}
	return 0, false
}

// numberKey returns a key whose value is a number or a percentage from least to most.
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

// rangeKey returns a key whose value is a number, or a range of numbers, from least to most.
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

// wordKey returns a key whose value is one of the known words, or any word if none is given.
func wordKey[T any](set func(*T, string), known ...string) settingKey[T] {
	return settingKey[T]{"one of " + strings.Join(known, ", "), func(at *T, v *value) bool {
		if v.High != nil || v.Low.Word == nil || len(known) > 0 && !slices.Contains(known, *v.Low.Word) {
			return false
		}
		set(at, *v.Low.Word)
		return true
	}}
}

// boolKey returns a key whose value is yes or no.
func boolKey[T any](field func(*T) *bool) settingKey[T] {
	return wordKey(func(at *T, w string) { *field(at) = w == "yes" }, "yes", "no")
}

// tierKeys are the keys of the section tier.
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

// classKeys are the keys of the section class.
var classKeys = map[string]settingKey[Class]{
	"effect":   wordKey(func(c *Class, w string) { c.Idempotency = balancer.Idempotency(w) }, "safe", "keyed", "unsafe"),
	"scope":    wordKey(func(c *Class, w string) { c.Scope = balancer.KeyScope(w) }, "cell", "zone", "all"),
	"window":   durationKey(func(c *Class) *time.Duration { return &c.Window }, time.Millisecond, time.Hour),
	"aim":      durationKey(func(c *Class) *time.Duration { return &c.LatencyTarget }, time.Millisecond, time.Minute),
	"deadline": durationKey(func(c *Class) *time.Duration { return &c.Deadline }, 10*time.Millisecond, time.Minute),
	"worth":    numberKey(func(c *Class) *float64 { return &c.Value }, 0, 1000),
	"share":    numberKey(func(c *Class) *float64 { return &c.Share }, 0.0001, 1000),
}

// sidecarKeys are the keys of the section sidecars.
var sidecarKeys = map[string]settingKey[Scenario]{
	"count":   integerKey(func(s *Scenario) *int { return &s.Sidecars.Count }, 1, MaxSidecars),
	"told":    integerKey(func(s *Scenario) *int { return &s.Sidecars.AnnouncedCount }, 0, 10*MaxSidecars),
	"peers":   boolKey(func(s *Scenario) *bool { return &s.Sidecars.Peers }),
	"sockets": integerKey(func(s *Scenario) *int { return &s.Sidecars.Sockets }, 64, 65536),
	"memory": {"a size like 192MiB", func(s *Scenario, v *value) bool {
		if v.High != nil || v.Low.Size == nil {
			return false
		}
		n, err := strconv.Atoi(strings.TrimSuffix(*v.Low.Size, "MiB"))
		s.Sidecars.MemoryMB = n
		return err == nil && n >= 16 && n <= 4096
	}},
}

// callerKeys are the keys of the section callers.
var callerKeys = map[string]settingKey[Scenario]{
	"rate": {"a rate like 150/s, above 0", func(s *Scenario, v *value) bool {
		if v.High != nil || v.Low.Rate == nil {
			return false
		}
		f, err := strconv.ParseFloat(strings.TrimSuffix(*v.Low.Rate, "/s"), 64)
		s.Callers.Rate = f
		return err == nil && f > 0 && f <= 20_000
	}},
	"shape":    wordKey(func(s *Scenario, w string) { s.Callers.Shape = w }, "steady", "bursty", "wave"),
	"swing":    numberKey(func(s *Scenario) *float64 { return &s.Callers.Swing }, 0, 1),
	"retries":  integerKey(func(s *Scenario) *int { return &s.Callers.Retries }, 0, 10),
	"patience": rangeKey(func(s *Scenario) *Range { return &s.Callers.Patience }, 0.01, 1),
	"backoff":  durationKey(func(s *Scenario) *time.Duration { return &s.Callers.Backoff }, 0, time.Minute),
	"at_first": numberKey(func(s *Scenario) *float64 { return &s.Callers.FirstSidecarShare }, 0, 1),
	"honour":   numberKey(func(s *Scenario) *float64 { return &s.Callers.HonoursRetryAfter }, 0, 1),
}

// discoveryKeys are the keys of the section discovery.
var discoveryKeys = map[string]settingKey[Scenario]{
	"by":            wordKey(func(s *Scenario, w string) { s.Discovery.Consul = w == "consul" }, "platform", "consul"),
	"notice":        durationKey(func(s *Scenario) *time.Duration { return &s.Discovery.NoticeDelay }, 0, time.Minute),
	"silent_notice": durationKey(func(s *Scenario) *time.Duration { return &s.Discovery.SilentNoticeDelay }, 0, time.Minute),
	"late":          durationKey(func(s *Scenario) *time.Duration { return &s.Discovery.LateDelay }, 0, 5*time.Second),
	"late_share":    numberKey(func(s *Scenario) *float64 { return &s.Discovery.LateShare }, 0, 1),
	"boot":          wordKey(func(s *Scenario, w string) { s.Discovery.BootTime = BootTime(w) }, bootTimes...),
	"add":           durationKey(func(s *Scenario) *time.Duration { return &s.Discovery.AddDelay }, 0, time.Minute),
}

// ruleKeys are the keys of the section rules.
var ruleKeys = map[string]settingKey[Scenario]{
	"drain":      durationKey(func(s *Scenario) *time.Duration { return &s.Rules.Drain }, 0, time.Minute),
	"tip_by":     numberKey(func(s *Scenario) *float64 { return &s.Rules.OverloadFactor }, 0, 1000),
	"tip_window": durationKey(func(s *Scenario) *time.Duration { return &s.Rules.OverloadWindow }, time.Millisecond, time.Minute),
	"attempts":   integerKey(func(s *Scenario) *int { return &s.Rules.MaxAttempts }, 1, 100),
	"copies":     boolKey(func(s *Scenario) *bool { return &s.Rules.Hedging }),
	"connect":    durationKey(func(s *Scenario) *time.Duration { return &s.Rules.ConnectTimeout }, time.Millisecond, time.Minute),
	"slack":      durationKey(func(s *Scenario) *time.Duration { return &s.Rules.Slack }, 0, time.Second),
	"kill":       durationKey(func(s *Scenario) *time.Duration { return &s.Rules.KillDelay }, 0, time.Minute),
}

// topKeys are the settings whose line has only the key and its value.
var topKeys = map[string]settingKey[Scenario]{
	"title":  {"a text in quotation marks", func(s *Scenario, v *value) bool { return v.High == nil && v.Low.readText(&s.Title) }},
	"length": durationKey(func(s *Scenario) *time.Duration { return &s.Length }, time.Second, MaxLength),
	"seed": {"a whole number", func(s *Scenario, v *value) bool {
		n := v.Low.Number
		if v.High != nil || n == nil || !isInteger(*n) {
			return false
		}
		s.Seed = uint64(*n)
		return true
	}},
}

// readText stores a quoted text in to. It returns false if the scalar is none.
func (s *scalar) readText(to *string) bool {
	if s.Text == nil {
		return false
	}
	*to = *s.Text
	return true
}

// readName stores a word in to. It returns false if the value is none.
func (v *value) readName(to *string) bool {
	if v.High != nil || v.Low.Word == nil {
		return false
	}
	*to = *v.Low.Word
	return true
}
