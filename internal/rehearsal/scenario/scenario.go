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
	MaxSidecars = 256 // in virtual time; package rehearse has a lower bound
	MaxRequests = 300_000
)

// Scenario is a script that has been read: the servers, callers and sidecars, and the events that happen to them.
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

	events    []*event               // in the order of the script
	positions map[string]finding.Pos // of settings, by "section key" or "section name key"
}

// Tier is the servers of one application.
type Tier struct {
	Name                 string
	Servers              int // at the start
	CellSize             int // servers of a cell
	Cores                int
	Speed                Range                     // of a core; 1 does a second of work in a second
	Slots                int                       // requests that are worked on at a time
	Queue                int                       // requests that wait beyond these
	Work                 emulator.WorkDistribution // of a request
	Noise                float64                   // coefficient of variation of an attempt around the work of its request
	ColdShare            Range                     // share of its capacity that a server starts with
	WarmUp               time.Duration             // until a server has its whole capacity
	Thrash               float64                   // see emulator.Spec
	ThrashAt             int                       // see emulator.Spec
	CongestionJobs       int                       // 0 for never; see emulator.Congestion, as for the next two
	CongestionAfter      time.Duration
	CongestionSlowdown   float64
	Calls                string        // the tier that its servers call; empty for none
	CallsPerRequest      int           // calls of one request, one after another
	WorkBeforeCalls      float64       // share of the work that comes before the calls
	CancelStopsWork      bool          // a cancel stops work in progress
	DropsExpired         bool          // requests whose time is up are dropped from the queue
	MaxConnections       int           // 0 for any number
	HandshakeWork        time.Duration // of a new connection
	ReportInterval       time.Duration // of load reports; 0 for none
	HTTP3                bool          // beside HTTP/1.1
	RestartAfterCollapse time.Duration // delay until a server that collapsed is started again; 0 for never
}

// Class is a class of request.
type Class struct {
	Name          string
	Idempotency   balancer.Idempotency
	Scope         balancer.KeyScope // where servers remember a key
	Window        time.Duration     // how long they remember it
	LatencyTarget time.Duration
	Deadline      time.Duration // of all attempts of a caller together
	Value         float64       // of an answer within the latency target
	Share         float64       // of all requests; the shares are scaled to sum 1
}

// Sidecars are those of the first tier. Each server of a tier that calls another one has a sidecar of its own.
type Sidecars struct {
	Count          int
	MemoryMB       int  // limit that each is given
	Sockets        int  // limit that each is given
	AnnouncedCount int  // the number of sidecars that each is given; 0 for Count
	Peers          bool // they find one another; on sockets only
}

// Callers are clients from outside.
type Callers struct {
	Rate              float64       // requests per second
	Shape             string        // steady, bursty or wave
	Swing             float64       // amplitude of a shape that is not steady, as a share of the rate
	Retries           int           // attempts of a caller beyond its first
	Patience          Range         // share of the deadline after which an attempt is given up
	Backoff           time.Duration // mean before the first retry; doubled for each one after
	HonoursRetryAfter float64       // share of the callers that wait as long as Retry-After says
	FirstSidecarShare float64       // share of the callers that go to the first sidecar while it serves; the others go by rotation
}

// Discovery is who has the list of servers, and how late it is updated.
type Discovery struct {
	Consul            bool          // Consul has the list, not the platform
	NoticeDelay       time.Duration // until it has a server that ends or drains
	SilentNoticeDelay time.Duration // until it has a server that became silent
	AddDelay          time.Duration // until it has a new server
	LateDelay         time.Duration // by how much later some sidecars of the first tier are notified
	LateShare         float64       // share of the sidecars that are: the last ones
	BootTime          BootTime
}

// BootTime is which start times discovery sends.
type BootTime string

// The start times that discovery may send.
const (
	BootTimeTrue  BootTime = "true"  // when a server started
	BootTimeNone  BootTime = "none"  // none, as if each had started long ago
	BootTimeAhead BootTime = "ahead" // BootTimeSkew later, in the future: the clock is wrong
)

// bootTimes are the values of the setting boot.
var bootTimes = []string{string(BootTimeTrue), string(BootTimeNone), string(BootTimeAhead)}

// BootTimeSkew is how far the clock of BootTimeAhead is ahead.
const BootTimeSkew = time.Minute

// Rules are the platform's bounds.
type Rules struct {
	Drain          time.Duration // how long a server may get new attempts after the sidecar was notified that it is leaving
	OverloadFactor float64       // multiple of its capacity above which a cold server collapses; 0 for never
	OverloadWindow time.Duration // in which the load is counted
	MaxAttempts    int           // of one request
	Hedging        bool          // two attempts of a request may be in flight at once
	ConnectTimeout time.Duration
	Slack          time.Duration // by how much each limit is longer on sockets
	KillDelay      time.Duration // from SIGTERM to SIGKILL
}

// defaults returns a scenario of an empty script.
func defaults() *Scenario {
	return &Scenario{
		Length: 30 * time.Second, Seed: 1, positions: map[string]finding.Pos{},
		Sidecars: Sidecars{Count: 2, MemoryMB: 192, Sockets: 1024},
		Callers: Callers{
			Rate: 50, Shape: "steady", Swing: 0.3, Retries: 2, Patience: Range{0.6, 0.6}, Backoff: 300 * time.Millisecond,
			HonoursRetryAfter: 1,
		},
		Discovery: Discovery{
			NoticeDelay: 2 * time.Second, SilentNoticeDelay: 8 * time.Second, AddDelay: time.Second, LateShare: 1.0 / 3,
			BootTime: BootTimeTrue,
		},
		Rules: Rules{
			Drain: 250 * time.Millisecond, OverloadFactor: 3, OverloadWindow: time.Second, MaxAttempts: 5, ConnectTimeout: 250 * time.Millisecond,
			Slack: 50 * time.Millisecond, KillDelay: 3700 * time.Millisecond,
		},
	}
}

// newTier returns a tier with its defaults.
func newTier(name string) *Tier {
	return &Tier{
		Name: name, Servers: 3, CellSize: 4, Cores: 2, Speed: Range{1, 1}, Slots: 2, Queue: 4,
		Work:      emulator.WorkDistribution{Mean: 50 * time.Millisecond, Shape: emulator.Exponential, CV: 1},
		ColdShare: Range{0.4, 0.4}, WarmUp: 5 * time.Second, CongestionAfter: 2 * time.Second, CongestionSlowdown: 2.5,
		CallsPerRequest: 1, WorkBeforeCalls: 0.5, CancelStopsWork: true, MaxConnections: 64, HandshakeWork: 3 * time.Millisecond,
	}
}

// Read reads a script, whose name stands in its findings; the scenario is nil if there are any.
func Read(name string, text []byte, found *finding.List) *Scenario {
	before := found.Len()
	add := found.ForFile(name)
	scenario := defaults()
	scenario.Name = name
	if len(text) > MaxBytes {
		add(finding.Pos{}, "larger than %d KiB", MaxBytes>>10)
		return nil
	}
	for _, statement := range parseScript(string(text), add) {
		if statement.event != nil {
			scenario.events = append(scenario.events, statement.event)
		} else {
			scenario.applySetting(statement.setting, add)
		}
	}
	if found.Len() > before {
		return nil
	}
	scenario.validate(add)
	if found.Len() > before {
		return nil
	}
	// Drawing the plan finds impossible events. Which servers there are is the same for every seed, but not which are hit.
	drawPlan(scenario, scenario.Seed, add)
	if found.Len() > before {
		return nil
	}
	return scenario
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

// The congestion of servers, where a tier has it, beyond what its settings say.
const (
	recoveryUtilization   = 0.4
	recoveryTime          = 3 * time.Second
	maxCongestionDuration = 20 * time.Second
)

// serverSpec returns the spec of a server of a tier, with the speed and the cold share that were drawn for it.
func (s *Scenario) serverSpec(t *Tier, speed, cold float64) emulator.Spec {
	spec := emulator.Spec{
		Cores: t.Cores, Speed: speed, Slots: t.Slots, Queue: t.Queue, Thrash: t.Thrash, ThrashAt: t.ThrashAt,
		ColdShare: cold, WarmUp: t.WarmUp, OverloadFactor: s.Rules.OverloadFactor, OverloadWindow: s.Rules.OverloadWindow,
		CancelStopsWork: t.CancelStopsWork, DropsExpired: t.DropsExpired,
		ReportEvery: t.ReportInterval, ReportDelay: t.ReportInterval / 4, Connections: t.MaxConnections, HandshakeWork: t.HandshakeWork,
	}
	if t.CongestionJobs > 0 {
		spec.Congestion = &emulator.Congestion{
			MinJobs: t.CongestionJobs, After: t.CongestionAfter, SlowdownFactor: t.CongestionSlowdown,
			RecoveryUtilization: recoveryUtilization, RecoveryTime: recoveryTime, MaxDuration: maxCongestionDuration,
		}
	}
	return spec
}

// AtLoad returns the scenario with the rate of its callers multiplied.
func (s *Scenario) AtLoad(factor float64) *Scenario {
	other := *s
	other.Callers.Rate *= factor
	return &other
}

// Range is the range that a figure is drawn from, with equal chances.
type Range struct{ Low, High float64 }

// String returns a range as scripts write it.
func (r Range) String() string {
	if r.Low == r.High {
		return fmt.Sprint(r.Low)
	}
	return fmt.Sprintf("%v..%v", r.Low, r.High)
}

// interpolate returns the figure for a number from 0 to 1.
func (r Range) interpolate(u float64) float64 { return r.Low + u*(r.High-r.Low) }

// isInteger reports whether a number is whole, and small enough for a float64 to tell.
func isInteger(f float64) bool { return f == math.Trunc(f) && math.Abs(f) < 1e15 }
