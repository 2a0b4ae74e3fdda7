// Package morning reads the scripts of rehearsals, checks them, and draws from
// one, with a seed, the plan of a whole morning: boxes, arrivals, and who is hit by
// what and when. It does no I/O; the same script and seed give the same plan.
//
// A script is lines. A line is a setting (a section, and names with values) or an
// event ("at 12s: 11% of boxes go silent for 9s"); # begins a comment.
package morning

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/emulator"
)

// The bounds of a script.
const (
	MaxBytes    = 256 << 10
	maxLines    = 2000
	MaxLength   = 10 * time.Minute
	MaxServers  = 25_000
	MaxSidecars = 256 // in virtual time; internal/rehearsal/rehearse has a bound of its own
	MaxRequests = 300_000
)

// Range is what a figure is drawn from, evenly.
type Range struct{ Low, High float64 }

// Scenario is a script that has been read.
type Scenario struct {
	Name         string // of its file
	Title        string
	Length       time.Duration // of the time in which callers come
	Seed         uint64
	Tiers        []*Tier
	Classes      []*Class
	Sidecars     Sidecars
	Callers      Callers
	Discovery    Discovery
	Rules        Rules
	Expectations []Expectation

	events    []*event
	positions map[string]finding.Pos // of "section key" or "section name key"
}

// Tier is the boxes of one application.
type Tier struct {
	Name                 string
	Servers              int // at the start
	CellSize             int
	Cores                int
	Speed                Range // of a core
	Slots                int
	Queue                int
	Work                 emulator.WorkDistribution // of a request
	Noise                float64                   // standard deviation over mean of an attempt, round the work of its request
	ColdShare            Range                     // the share that a box starts with
	WarmUp               time.Duration
	Thrash               float64
	ThrashAt             int
	CongestionJobs       int // 0 for never
	CongestionAfter      time.Duration
	CongestionSlowdown   float64
	Calls                string // the tier that its boxes call; empty for none
	CallsPerRequest      int    // calls a request, one after another
	WorkBeforeCalls      float64
	CancelStopsWork      bool // stops work in progress
	DropsExpired         bool // drops what is overdue in the queue
	MaxConnections       int
	HandshakeWork        time.Duration
	ReportInterval       time.Duration // every; 0 for none
	HTTP3                bool          // beside HTTP/1.1
	RestartAfterCollapse time.Duration // after which a box that fell over is started again; 0 for never
}

// Class is a class of request.
type Class struct {
	Name          string
	Idempotency   balancer.Idempotency
	Scope         balancer.KeyScope
	Window        time.Duration
	LatencyTarget time.Duration
	Deadline      time.Duration
	Value         float64
	Share         float64 // of all requests; the shares are scaled to sum 1
}

// Sidecars are those of the first tier. Each box of a tier that calls has one of its own.
type Sidecars struct {
	Count          int
	MemoryMB       int
	Sockets        int
	AnnouncedCount int  // how many each is told there are; 0 for the truth
	Peers          bool // they find one another; on sockets alone
}

// Callers are clients from outside.
type Callers struct {
	Rate              float64 // requests a second
	Shape             string  // steady, bursty or wave
	Swing             float64 // of a shape that is not steady
	Retries           int
	Patience          Range // the share of the deadline after which a try is given up
	Backoff           time.Duration
	HonoursRetryAfter float64 // the share that waits as long as Retry-After says
	FirstSidecarShare float64 // the share that comes to the first sidecar, while it is there; the others are dealt out as ever
}

// Discovery is how late the list is.
type Discovery struct {
	Consul            bool          // Consul tells, not the platform
	NoticeDelay       time.Duration // until it tells of what ends or drains
	SilentNoticeDelay time.Duration // until it misses a silent box
	AddDelay          time.Duration // until it tells of a new one
	LateDelay         time.Duration // how much later still a part of the sidecars of the first tier hears of it all
	LateShare         float64       // that part; the last ones
	BootTime          BootTime
}

// BootTime is what discovery says of when a box started.
type BootTime string

// What it may say.
const (
	BootTimeTrue  BootTime = "true"  // when it did
	BootTimeNone  BootTime = "none"  // nothing: long ago, of each
	BootTimeAhead BootTime = "ahead" // a minute later than it did, which is still to come: its clock is wrong
)

// BootTimeSkew is how far the clock of BootTimeAhead is.
const BootTimeSkew = time.Minute

// NotificationDelay is how much later than others a sidecar hears of boxes.
func (p *Plan) NotificationDelay(s SidecarSpec) time.Duration {
	if s.Server >= 0 || float64(s.Number) < float64(s.Count)*(1-p.Discovery.LateShare) {
		return 0
	}
	return p.Discovery.LateDelay
}

// Rules are the platform's figures.
type Rules struct {
	Drain          time.Duration
	OverloadFactor float64
	OverloadWindow time.Duration
	MaxAttempts    int
	Hedging        bool
	ConnectTimeout time.Duration
	Slack          time.Duration
	KillDelay      time.Duration // SIGKILL comes so long after SIGTERM
}

// Expectation is what a morning has to reach.
type Expectation struct {
	Position finding.Pos
	Figure   string // service, worst, refused, failed or attempts
	Above    bool
	Bound    float64
}

func defaults() *Scenario {
	return &Scenario{
		Length: 30 * time.Second, Seed: 1, positions: map[string]finding.Pos{},
		Sidecars:  Sidecars{Count: 2, MemoryMB: 192, Sockets: 1024},
		Callers:   Callers{Rate: 50, Shape: "steady", Swing: 0.3, Retries: 2, Patience: Range{0.6, 0.6}, Backoff: 300 * time.Millisecond, HonoursRetryAfter: 1},
		Discovery: Discovery{NoticeDelay: 2 * time.Second, SilentNoticeDelay: 8 * time.Second, AddDelay: time.Second, LateShare: 1.0 / 3, BootTime: BootTimeTrue},
		Rules: Rules{
			Drain: 250 * time.Millisecond, OverloadFactor: 3, OverloadWindow: time.Second, MaxAttempts: 5, ConnectTimeout: 250 * time.Millisecond,
			Slack: 50 * time.Millisecond, KillDelay: 3700 * time.Millisecond,
		},
	}
}

func newTier(name string) *Tier {
	return &Tier{
		Name: name, Servers: 3, CellSize: 4, Cores: 2, Speed: Range{1, 1}, Slots: 2, Queue: 4,
		Work: emulator.WorkDistribution{Mean: 50 * time.Millisecond, Shape: emulator.Exponential, CV: 1}, ColdShare: Range{0.4, 0.4}, WarmUp: 5 * time.Second,
		CongestionAfter: 2 * time.Second, CongestionSlowdown: 2.5, CallsPerRequest: 1, WorkBeforeCalls: 0.5, CancelStopsWork: true, MaxConnections: 64, HandshakeWork: 3 * time.Millisecond,
	}
}

// Read reads a script; it is nil where there are findings.
func Read(name string, text []byte, found *finding.List) *Scenario {
	before := found.Len()
	add := found.ForFile(name)
	m := defaults()
	m.Name = name
	if len(text) > MaxBytes {
		add(finding.Pos{}, "larger than %d KiB", MaxBytes>>10)
		return nil
	}
	for _, s := range parseScript(string(text), add) {
		if s.event != nil {
			m.events = append(m.events, s.event)
			continue
		}
		m.applySetting(s.setting, add)
	}
	if found.Len() > before {
		return nil
	}
	m.validate(add)
	if found.Len() > before {
		return nil
	}
	// Drawing the plan finds what is impossible: it is the same for every seed who is there, but not who is hit.
	drawPlan(m, m.Seed, add)
	if found.Len() > before {
		return nil
	}
	return m
}

// Tier is the tier of a name, or nil; the first for an empty one.
func (m *Scenario) Tier(name string) *Tier {
	if name == "" && len(m.Tiers) > 0 {
		return m.Tiers[0]
	}
	if i := slices.IndexFunc(m.Tiers, func(t *Tier) bool { return t.Name == name }); i >= 0 {
		return m.Tiers[i]
	}
	return nil
}

// tierIndex is a tier's place.
func (m *Scenario) tierIndex(t *Tier) int { return slices.Index(m.Tiers, t) }

// position is where something was set, as "section key" or "section name key"; the whole file if nowhere.
func (m *Scenario) position(path ...string) finding.Pos { return m.positions[strings.Join(path, " ")] }

// validate looks at the settings with one another.
func (m *Scenario) validate(add finding.Reporter) {
	if len(m.Tiers) == 0 {
		add(finding.Pos{}, "no tier: a line like 'tier booking-front boxes 8' says what boxes there are")
		return
	}
	if len(m.Classes) == 0 {
		add(finding.Pos{}, "no class: a line like 'class book-trip effect keyed aim 2500ms deadline 6s' says what is asked for")
		return
	}
	boxes, callers := 0, m.Sidecars.Count
	called := map[string]bool{}
	for i, t := range m.Tiers {
		boxes += t.Servers
		if t.Servers > MaxServers {
			add(m.position("tier", t.Name, "boxes"), "more than %d boxes", MaxServers)
			return
		}
		if t.Calls != "" {
			if t.RestartAfterCollapse > 0 {
				add(m.position("tier", t.Name, "fallen_for"), "boxes that call others have a sidecar each, and are not started again after a fall")
			}
			callers += t.Servers
			at := m.position("tier", t.Name, "calls")
			switch n := slices.IndexFunc(m.Tiers, func(o *Tier) bool { return o.Name == t.Calls }); {
			case n < 0:
				add(at, "%s", finding.UnknownName("tier", t.Calls, m.tierNames()))
			case n <= i:
				add(at, "a tier calls only tiers that come after it in the script")
			case n != i+1:
				add(at, "a tier calls the one after it, which is %s", m.Tiers[i+1].Name)
			}
			called[t.Calls] = true
		}
		if i > 0 && !called[t.Name] {
			add(m.position("tier", t.Name), "no tier calls %s: put 'calls %s' to %s", t.Name, t.Name, m.Tiers[i-1].Name)
		}
		if spec := m.serverSpec(t, 1, t.ColdShare.Low); spec.Validate() != nil {
			add(m.position("tier", t.Name), "%v", spec.Validate())
		}
	}
	if boxes > MaxServers {
		add(m.position("tier", m.Tiers[0].Name), "%d boxes in all, %d at most", boxes, MaxServers)
	}
	if callers > MaxSidecars {
		add(m.position("sidecars"), "%d sidecars, %d at most: %d for callers, and one for each box of a tier that calls another", callers, MaxSidecars, m.Sidecars.Count)
	}
	if n := m.Callers.Rate * m.Length.Seconds(); n > MaxRequests {
		add(m.position("callers", "rate"), "about %.0f requests, %d at most", n, MaxRequests)
	}
	for _, c := range m.Classes {
		if c.LatencyTarget > c.Deadline {
			add(m.position("class", c.Name, "aim"), "the aim, %v, lies beyond the deadline, %v", c.LatencyTarget, c.Deadline)
		}
		if c.Idempotency == balancer.IdempotentWithKey && c.Window < c.Deadline {
			add(m.position("class", c.Name), "boxes remember keys for %v, and callers repeat them for up to %v: a repeat would run twice", c.Window, c.Deadline)
		}
	}
}

func (m *Scenario) tierNames() (names []string) {
	for _, t := range m.Tiers {
		names = append(names, t.Name)
	}
	return names
}

// serverSpec is a box of a tier.
func (m *Scenario) serverSpec(t *Tier, speed, cold float64) emulator.Spec {
	s := emulator.Spec{
		Cores: t.Cores, Speed: speed, Slots: t.Slots, Queue: t.Queue, Thrash: t.Thrash, ThrashAt: t.ThrashAt,
		ColdShare: cold, WarmUp: t.WarmUp, OverloadFactor: m.Rules.OverloadFactor, OverloadWindow: m.Rules.OverloadWindow, CancelStopsWork: t.CancelStopsWork, DropsExpired: t.DropsExpired,
		ReportEvery: t.ReportInterval, ReportDelay: t.ReportInterval / 4, Connections: t.MaxConnections, HandshakeWork: t.HandshakeWork,
	}
	if t.CongestionJobs > 0 {
		s.Congestion = &emulator.Congestion{MinJobs: t.CongestionJobs, After: t.CongestionAfter, SlowdownFactor: t.CongestionSlowdown, RecoveryUtilization: 0.4, RecoveryTime: 3 * time.Second, MaxDuration: 20 * time.Second}
	}
	return s
}

// String is a range as scripts write it.
func (r Range) String() string {
	if r.Low == r.High {
		return fmt.Sprint(r.Low)
	}
	return fmt.Sprintf("%v..%v", r.Low, r.High)
}

func (r Range) interpolate(u float64) float64 { return r.Low + u*(r.High-r.Low) }

// isInteger tells whether a number is one.
func isInteger(f float64) bool { return f == math.Trunc(f) && math.Abs(f) < 1e15 }
