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

// The limits for a script.
const (
	MaxBytes    = 256 << 10
	maxLines    = 2000
	MaxLength   = 10 * time.Minute
	MaxServers  = 25_000
	MaxSidecars = 256 // limit in virtual time; package rehearse has a lower one
	MaxRequests = 300_000
)

// Scenario is a parsed script: the servers, callers and sidecars, and the events that affect them.
type Scenario struct {
	Name         string // name of the script's file
	Title        string
	Length       time.Duration // time during which callers arrive
	Seed         uint64
	Tiers        []*Tier
	Classes      []*Class
	Sidecars     Sidecars
	Callers      Callers
	Discovery    Discovery
	Rules        Rules
	Expectations []Expectation

	events    []*event               // all events, in the order of the script
	positions map[string]finding.Pos // positions of settings, by "section key" or "section name key"
}

// Tier describes the servers of one application.
type Tier struct {
	Name                 string
	Servers              int // number of servers at the start
	CellSize             int // number of servers in a cell
	Cores                int
	Speed                Range                     // speed of a core; at 1 it does a second of work per second
	Slots                int                       // maximum number of requests in work at once
	Queue                int                       // maximum number of requests that wait for a slot
	Work                 emulator.WorkDistribution // distribution of the work of a request
	Noise                float64                   // coefficient of variation of an attempt around the work of its request
	ColdShare            Range                     // share of the capacity that is available when a server starts
	WarmUp               time.Duration             // time from the start of a server to its full capacity
	Thrash               float64                   // as in emulator.Spec
	ThrashAt             int                       // as in emulator.Spec
	CongestionJobs       int                       // MinJobs of emulator.Congestion; 0 for no congestion
	CongestionAfter      time.Duration             // After of emulator.Congestion
	CongestionSlowdown   float64                   // SlowdownFactor of emulator.Congestion
	Calls                string                    // name of the tier that its servers call; empty for none
	CallsPerRequest      int                       // number of calls for one request, made one after another
	WorkBeforeCalls      float64                   // share of the work that is done before the calls
	CancelStopsWork      bool                      // whether a cancel stops work in progress
	DropsExpired         bool                      // whether expired requests are dropped from the queue
	MaxConnections       int                       // maximum number of connections; 0 for no limit
	HandshakeWork        time.Duration             // work of a new connection
	ReportInterval       time.Duration             // interval of load reports; 0 for none
	HTTP3                bool                      // whether the servers offer HTTP/3 in addition to HTTP/1.1
	RestartAfterCollapse time.Duration             // delay after which a collapsed server is started again; 0 for never
}

// Class is a class of requests with the same properties.
type Class struct {
	Name          string
	Idempotency   balancer.Idempotency
	Scope         balancer.KeyScope // group of servers that remember an idempotency key
	Window        time.Duration     // time for which they remember a key
	LatencyTarget time.Duration
	Deadline      time.Duration // time limit for all attempts of a caller together
	Value         float64       // value of an answer within the latency target
	Share         float64       // share of all requests; the shares are scaled so that their sum is 1
}

// Sidecars describes the sidecars that send to the first tier. In addition, each server of a tier that calls another has its own sidecar.
type Sidecars struct {
	Count          int
	MemoryMB       int  // memory limit of each sidecar, in MiB
	Sockets        int  // limit of open sockets of each sidecar
	AnnouncedCount int  // number of sidecars that the settings announce; 0 for Count
	Peers          bool // whether the sidecars discover each other; in runs on sockets only
}

// Callers describes the external clients.
type Callers struct {
	Rate              float64       // requests per second
	Shape             string        // steady, bursty or wave
	Swing             float64       // amplitude of a shape that is not steady, as a share of the rate
	Retries           int           // maximum number of attempts of a caller after its first
	Patience          Range         // share of the deadline that is the timeout of an attempt
	Backoff           time.Duration // mean delay before the first retry; it doubles with each further retry
	HonoursRetryAfter float64       // share of the callers that wait as long as Retry-After says
	FirstSidecarShare float64       // share of the callers that use the first sidecar while it is serving; the others go by rotation
}

// Discovery describes the source of the server list, and its delays.
type Discovery struct {
	Consul            bool          // whether Consul provides the list instead of the platform
	NoticeDelay       time.Duration // delay until it learns that a server ended or drains
	SilentNoticeDelay time.Duration // delay until it learns that a server became silent
	AddDelay          time.Duration // delay until it learns of a new server
	LateDelay         time.Duration // additional delay for some sidecars of the first tier
	LateShare         float64       // share of the sidecars that have LateDelay; these are the last ones
	BootTime          BootTime
}

// BootTime selects the start times of servers that discovery sends.
type BootTime string

// The values of BootTime.
const (
	BootTimeTrue  BootTime = "true"  // the time at which a server started
	BootTimeNone  BootTime = "none"  // no time, as if each server had started long ago
	BootTimeAhead BootTime = "ahead" // a time that is BootTimeSkew too late, as from a wrong clock
)

// bootTimes are the allowed values of the setting boot.
var bootTimes = []string{string(BootTimeTrue), string(BootTimeNone), string(BootTimeAhead)}

// BootTimeSkew is the clock error of BootTimeAhead.
const BootTimeSkew = time.Minute

// Rules are the limits that the platform sets.
type Rules struct {
	Drain          time.Duration // time for which a sidecar may send new attempts to a server after it was notified that the server is leaving
	OverloadFactor float64       // multiple of its capacity above which a cold server collapses; 0 for never
	OverloadWindow time.Duration // window over which the load is counted
	MaxAttempts    int           // maximum number of attempts of one request
	Hedging        bool          // whether two attempts of a request may be in flight at once
	ConnectTimeout time.Duration
	Slack          time.Duration // tolerance that is added to every time limit, for runs on sockets
	KillDelay      time.Duration // time from SIGTERM to SIGKILL
}

// defaults returns a scenario with the default settings and no tiers or classes.
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

// newTier returns a tier with the default settings.
func newTier(name string) *Tier {
	return &Tier{
		Name: name, Servers: 3, CellSize: 4, Cores: 2, Speed: Range{1, 1}, Slots: 2, Queue: 4,
		Work:      emulator.WorkDistribution{Mean: 50 * time.Millisecond, Shape: emulator.Exponential, CV: 1},
		ColdShare: Range{0.4, 0.4}, WarmUp: 5 * time.Second, CongestionAfter: 2 * time.Second, CongestionSlowdown: 2.5,
		CallsPerRequest: 1, WorkBeforeCalls: 0.5, CancelStopsWork: true, MaxConnections: 64, HandshakeWork: 3 * time.Millisecond,
	}
}

// Read parses and validates a script. It adds findings under the given name to found, and returns nil if there are any.
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
	// Drawing a plan detects impossible events. The set of servers is the same for every seed; only those that events affect differ.
	drawPlan(scenario, scenario.Seed, add)
	if found.Len() > before {
		return nil
	}
	return scenario
}

// Tier returns the tier with a name, or the first tier if the name is empty. It returns nil if there is none.
func (s *Scenario) Tier(name string) *Tier {
	if name == "" && len(s.Tiers) > 0 {
		return s.Tiers[0]
	}
	if i := slices.IndexFunc(s.Tiers, func(t *Tier) bool { return t.Name == name }); i >= 0 {
		return s.Tiers[i]
	}
	return nil
}

// tierIndex returns the index of a tier in Tiers, or -1.
func (s *Scenario) tierIndex(t *Tier) int { return slices.Index(s.Tiers, t) }

// position returns the position of a setting, given as section and key or as section, name and key. It is the zero position, which
// stands for the whole file, if the script doesn't set it.
func (s *Scenario) position(path ...string) finding.Pos { return s.positions[strings.Join(path, " ")] }

// tierNames returns the names of the tiers, in the order of the script.
func (s *Scenario) tierNames() (names []string) {
	for _, t := range s.Tiers {
		names = append(names, t.Name)
	}
	return names
}

// The parameters of congestion that the settings of a tier don't include.
const (
	recoveryUtilization   = 0.4
	recoveryTime          = 3 * time.Second
	maxCongestionDuration = 20 * time.Second
)

// serverSpec returns the spec of a server of a tier with the given speed and cold share.
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

// AtLoad returns a copy of the scenario with the rate of its callers multiplied by a factor.
func (s *Scenario) AtLoad(factor float64) *Scenario {
	other := *s
	other.Callers.Rate *= factor
	return &other
}

// Range is an interval from which a figure is drawn uniformly.
type Range struct{ Low, High float64 }

// String returns the range in the syntax of scripts.
func (r Range) String() string {
	if r.Low == r.High {
		return fmt.Sprint(r.Low)
	}
	return fmt.Sprintf("%v..%v", r.Low, r.High)
}

// interpolate returns the figure between Low (u = 0) and High (u = 1).
func (r Range) interpolate(u float64) float64 { return r.Low + u*(r.High-r.Low) }

// isInteger reports whether a number is an integer and small enough for a float64 to represent it exactly.
func isInteger(f float64) bool { return f == math.Trunc(f) && math.Abs(f) < 1e15 }
