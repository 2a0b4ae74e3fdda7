package scenario

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
	MaxSidecars = 256 // in virtual time; package rehearse has a bound of its own
	MaxRequests = 300_000
)

// Scenario is a script that has been read: what servers, callers and sidecars there are, and what happens to them.
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
	positions map[string]finding.Pos // where things were set, by "section key" or "section name key"
}

// Tier is the servers of one application.
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
	ColdShare            Range                     // the share of its capacity that a server starts with
	WarmUp               time.Duration
	Thrash               float64
	ThrashAt             int
	CongestionJobs       int // 0 for never
	CongestionAfter      time.Duration
	CongestionSlowdown   float64
	Calls                string // the tier that its servers call; empty for none
	CallsPerRequest      int    // calls a request, one after another
	WorkBeforeCalls      float64
	CancelStopsWork      bool // a cancel stops work in progress
	DropsExpired         bool // what is overdue in the queue is dropped
	MaxConnections       int
	HandshakeWork        time.Duration
	ReportInterval       time.Duration // every; 0 for none
	HTTP3                bool          // beside HTTP/1.1
	RestartAfterCollapse time.Duration // after which a server that collapsed is started again; 0 for never
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

// Sidecars are those of the first tier. Each server of a tier that calls has one of its own.
type Sidecars struct {
	Count          int
	MemoryMB       int
	Sockets        int
	AnnouncedCount int  // how many there are said to be to each; 0 for the truth
	Peers          bool // they find one another; on sockets alone
}

// Callers are clients from outside.
type Callers struct {
	Rate              float64 // requests a second
	Shape             string  // steady, bursty or wave
	Swing             float64 // of a shape that is not steady
	Retries           int
	Patience          Range // the share of the deadline after which an attempt is given up
	Backoff           time.Duration
	HonoursRetryAfter float64 // the share that waits as long as Retry-After says
	FirstSidecarShare float64 // the share that goes to the first sidecar, while it is there; the others are spread as ever
}

// Discovery is how late the list is.
type Discovery struct {
	Consul            bool          // Consul has the list, not the platform
	NoticeDelay       time.Duration // until it knows of what ends or drains
	SilentNoticeDelay time.Duration // until it misses a silent server
	AddDelay          time.Duration // until it knows of a new one
	LateDelay         time.Duration // how much later still some sidecars of the first tier are notified
	LateShare         float64       // how many of them; the last ones
	BootTime          BootTime
}

// BootTime is what discovery says of when a server started.
type BootTime string

// What discovery may say.
const (
	BootTimeTrue  BootTime = "true"  // when it did
	BootTimeNone  BootTime = "none"  // nothing: long ago, of each
	BootTimeAhead BootTime = "ahead" // a minute later than it did, which is still to come: its clock is wrong
)

// BootTimeSkew is how far the clock of BootTimeAhead is ahead.
const BootTimeSkew = time.Minute

// Rules are the platform's figures.
type Rules struct {
	Drain          time.Duration // how long after its end is announced a server may get new attempts
	OverloadFactor float64       // times its capacity that a cold server bears; 0 for any
	OverloadWindow time.Duration // in which that is counted
	MaxAttempts    int           // of one request
	Hedging        bool          // two attempts of a request may be in flight at once
	ConnectTimeout time.Duration
	Slack          time.Duration // what each limit is longer on sockets
	KillDelay      time.Duration // from SIGTERM to SIGKILL
}

// defaults returns a scenario as it is if its script says nothing.
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

// newTier returns a tier as it is if the script says nothing of it.
func newTier(name string) *Tier {
	return &Tier{
		Name: name, Servers: 3, CellSize: 4, Cores: 2, Speed: Range{1, 1}, Slots: 2, Queue: 4,
		Work: emulator.WorkDistribution{Mean: 50 * time.Millisecond, Shape: emulator.Exponential, CV: 1}, ColdShare: Range{0.4, 0.4}, WarmUp: 5 * time.Second,
		CongestionAfter: 2 * time.Second, CongestionSlowdown: 2.5, CallsPerRequest: 1, WorkBeforeCalls: 0.5, CancelStopsWork: true, MaxConnections: 64, HandshakeWork: 3 * time.Millisecond,
	}
}

// Read reads a script, named for its findings; the scenario is nil where there are any.
func Read(name string, text []byte, found *finding.List) *Scenario {
	before := found.Len()
	add := found.ForFile(name)
	s := defaults()
	s.Name = name
	if len(text) > MaxBytes {
		add(finding.Pos{}, "larger than %d KiB", MaxBytes>>10)
		return nil
	}
	for _, statement := range parseScript(string(text), add) {
		if statement.event != nil {
			s.events = append(s.events, statement.event)
		} else {
			s.applySetting(statement.setting, add)
		}
	}
	if found.Len() > before {
		return nil
	}
	s.validate(add)
	if found.Len() > before {
		return nil
	}
	// Drawing the plan finds what is impossible: it is the same for every seed which servers are there, but not which are hit.
	drawPlan(s, s.Seed, add)
	if found.Len() > before {
		return nil
	}
	return s
}

// Tier returns the tier of a name, or nil; the first for an empty one.
func (s *Scenario) Tier(name string) *Tier {
	if name == "" && len(s.Tiers) > 0 {
		return s.Tiers[0]
	}
	if i := slices.IndexFunc(s.Tiers, func(t *Tier) bool { return t.Name == name }); i >= 0 {
		return s.Tiers[i]
	}
	return nil
}

// tierIndex returns a tier's index.
func (s *Scenario) tierIndex(t *Tier) int { return slices.Index(s.Tiers, t) }

// position returns where something was set, by "section key" or "section name key"; the whole file if nowhere.
func (s *Scenario) position(path ...string) finding.Pos { return s.positions[strings.Join(path, " ")] }

// tierNames returns the names of the tiers, in the order of the script.
func (s *Scenario) tierNames() (names []string) {
	for _, t := range s.Tiers {
		names = append(names, t.Name)
	}
	return names
}

// serverSpec returns what a server of a tier is like, with a speed and a share that were drawn.
func (s *Scenario) serverSpec(t *Tier, speed, cold float64) emulator.Spec {
	spec := emulator.Spec{
		Cores: t.Cores, Speed: speed, Slots: t.Slots, Queue: t.Queue, Thrash: t.Thrash, ThrashAt: t.ThrashAt,
		ColdShare: cold, WarmUp: t.WarmUp, OverloadFactor: s.Rules.OverloadFactor, OverloadWindow: s.Rules.OverloadWindow, CancelStopsWork: t.CancelStopsWork, DropsExpired: t.DropsExpired,
		ReportEvery: t.ReportInterval, ReportDelay: t.ReportInterval / 4, Connections: t.MaxConnections, HandshakeWork: t.HandshakeWork,
	}
	if t.CongestionJobs > 0 {
		spec.Congestion = &emulator.Congestion{MinJobs: t.CongestionJobs, After: t.CongestionAfter, SlowdownFactor: t.CongestionSlowdown, RecoveryUtilization: 0.4, RecoveryTime: 3 * time.Second, MaxDuration: 20 * time.Second}
	}
	return spec
}

// AtLoad returns the same scenario with its rate multiplied.
func (s *Scenario) AtLoad(by float64) *Scenario {
	other := *s
	other.Callers.Rate *= by
	return &other
}

// Range is what a figure is drawn from, evenly.
type Range struct{ Low, High float64 }

// String returns a range as scripts write it.
func (r Range) String() string {
	if r.Low == r.High {
		return fmt.Sprint(r.Low)
	}
	return fmt.Sprintf("%v..%v", r.Low, r.High)
}

// interpolate returns the figure for a random number from 0 to 1.
func (r Range) interpolate(u float64) float64 { return r.Low + u*(r.High-r.Low) }

// isInteger reports whether a number is whole, and not too large for that to be sure.
func isInteger(f float64) bool { return f == math.Trunc(f) && math.Abs(f) < 1e15 }
