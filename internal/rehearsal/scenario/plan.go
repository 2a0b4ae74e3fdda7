package scenario

import (
	"cmp"
	"fmt"
	"time"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/emulator"
)

// Plan is a scenario with everything random drawn in advance from a seed.
type Plan struct {
	*Scenario
	Seed     uint64
	Servers  []Server  // all servers of the run; first those present at the start, by tier
	Steps    []Step    // all steps, in order of time
	Arrivals []Arrival // all arrivals, in order of time
	Windows  []Window  // the events of the script, for reports
}

// Server is one emulated server.
type Server struct {
	Tier     int
	Number   int // number in its tier, from 1
	UID      string
	Cell     int
	Slot     int // index of its address; servers with the same slot use it one after the other
	Spec     emulator.Spec
	StartsAt time.Duration // time at which it starts; 0 for a server that started long before the run
}

// StepKind is the kind of a step.
type StepKind int

// The kinds of steps. Server, Sidecar, Amount, Until, Name and State are the fields of Step.
const (
	ServerCrash       StepKind = iota // the process of a server ends, which resets its connections
	ServerSilence                     // the machine of a server stops responding
	ServerStart                       // a server starts and is cold
	ServerPause                       // a server is suspended until Until
	ServerSlowdown                    // the speed of a server is divided by Amount
	ServerFault                       // the fault Name affects the share Amount of a server's calls; 0 ends the fault
	DiscoveryUpdate                   // discovery learns the State of a server
	DiscoverySilence                  // discovery stops answering (Amount 1) or answers again (Amount 0)
	SidecarSignal                     // a sidecar of the first tier gets the signal Name
	SidecarRestart                    // a sidecar is started again if it has ended, or resumed
	FaultyCallerCount                 // the number of faulty callers becomes Amount
	DiscoveryWeight                   // discovery learns that the weight of a server is Amount
	DiscoveryRepeat                   // discovery repeats each update late (Amount 1), or stops doing so (Amount 0)
	LinkFault                         // the fault Name of links in the first tier starts, from Sidecar on; negative Amount: it ends
)

// Step is a single action at a given time.
type Step struct {
	At      time.Duration
	Kind    StepKind
	Server  int // index into Servers, for steps about a server
	Sidecar int // index of the sidecar, from 0, for steps about a sidecar
	Amount  float64
	Until   time.Duration
	// Name depends on the kind. LinkFault: cut (Amount sidecars from the rest), mute, lost or doubled (the share Amount of the
	// messages), or late (by Amount seconds). ServerFault: lose, reset, fail, garble or refuse. SidecarSignal: the signal's name.
	Name  string
	State string        // state of the server (DiscoveryUpdate): Ready, Terminating or Gone
	Boot  time.Duration // start time of the server (DiscoveryUpdate); 0 if it started long before the run
	Line  int           // line of the script that the step comes from
	order int           // index in the order in which the steps were planned
}

// Arrival is the arrival of a caller with a request, and how the caller behaves.
type Arrival struct {
	At                time.Duration
	Class             int     // index of the class
	Patience          float64 // share of the deadline that is the timeout of each attempt
	HonoursRetryAfter bool    // whether the caller waits as long as Retry-After says
}

// Window is the duration of an event with its text, for reports.
type Window struct {
	From, To time.Duration
	Text     string
}

// Plan draws a plan of the scenario with a seed, or with the script's seed if it is 0. The same seed gives the same plan.
func (s *Scenario) Plan(seed uint64) *Plan {
	if seed == 0 {
		seed = s.Seed
	}
	return drawPlan(s, seed, func(finding.Pos, string, ...any) {})
}

// Name returns the name of a server for texts, like "box 3 of slot-keeper".
func (p *Plan) Name(server int) string {
	s := &p.Servers[server]
	return fmt.Sprintf("box %d of %s", s.Number, p.Tiers[s.Tier].Name)
}

// DisplayName returns the title of the script, or the name of its file if it has none.
func (p *Plan) DisplayName() string { return cmp.Or(p.Title, p.Scenario.Name) }

// WorkOf returns the work of one attempt of a request, before and after its calls to the next tier. It depends only on the plan, the
// request, its tier and the number of the attempt, so that two programs get the same work.
func (p *Plan) WorkOf(request string, tier, attempt int) (before, after time.Duration) {
	t := p.Tiers[tier]
	work := t.Work.Draw(emulator.RandomSource(p.Seed, "work "+t.Name+" "+request))
	if t.Noise > 0 {
		noise := emulator.WorkDistribution{Mean: time.Second, Shape: emulator.Lognormal, CV: t.Noise}
		source := emulator.RandomSource(p.Seed, fmt.Sprintf("noise %s %s %d", t.Name, request, attempt))
		work = time.Duration(float64(work) * noise.Draw(source).Seconds())
	}
	if t.Calls == "" {
		return work, 0
	}
	before = time.Duration(t.WorkBeforeCalls * float64(work))
	return before, work - before
}

// NotificationDelay returns the additional delay with which a sidecar is notified of updates; 0 for sidecars that are not late.
func (p *Plan) NotificationDelay(s SidecarSpec) time.Duration {
	if s.Server >= 0 || float64(s.Number) < float64(s.Count)*(1-p.Discovery.LateShare) {
		return 0
	}
	return p.Discovery.LateDelay
}
