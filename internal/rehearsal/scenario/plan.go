package scenario

import (
	"cmp"
	"fmt"
	"time"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/emulator"
)

// Plan is a whole scenario, drawn ahead with a seed.
type Plan struct {
	*Scenario
	Seed     uint64
	Servers  []Server  // all that there ever are; those of the start first, by tier
	Steps    []Step    // by time
	Arrivals []Arrival // by time
	Windows  []Window  // the events of the script, for pages
}

// Server is one emulated server.
type Server struct {
	Tier     int
	Number   int // in its tier, from 1
	UID      string
	Cell     int
	Slot     int // its address; servers that share one have it one after the other
	Spec     emulator.Spec
	StartsAt time.Duration // when it starts; 0 for long ago
}

// StepKind is what a step does.
type StepKind int

// What steps do. Those on servers come before the updates of discovery at the same time.
const (
	ServerCrash       StepKind = iota // its process ends, and resets its connections
	ServerSilence                     // its machine becomes unresponsive
	ServerStart                       // it starts, cold
	ServerPause                       // it stands still Until
	ServerSlowdown                    // its speed is divided by Amount
	ServerFault                       // Name happens to the share Amount of its calls; 0 for no more
	DiscoveryUpdate                   // discovery gets its State
	DiscoverySilence                  // discovery answers nothing, or answers again (Amount 0)
	SidecarSignal                     // a sidecar of the first tier gets Name
	SidecarRestart                    // it is started again, if it has ended
	FaultyCallerCount                 // so many (Amount) faulty callers; 0 for none
	DiscoveryWeight                   // discovery gets its weight, Amount
	DiscoveryRepeat                   // discovery repeats each update, late (Amount 1), or no more (Amount 0)
	LinkFault                         // Name happens between sidecars of the first tier, from Sidecar on; below 0 for no more
)

// Step is one thing that happens at a time.
type Step struct {
	At      time.Duration
	Kind    StepKind
	Server  int // index into Servers, if it is about one
	Sidecar int // from 0, if it is about one
	Amount  float64
	Until   time.Duration
	// Name is, of a LinkFault, cut (Amount sidecars from the rest), mute, lost or doubled (the share Amount), or late (by Amount
	// seconds); of a ServerFault lose, reset, fail, garble or refuse; of a SidecarSignal the signal's name.
	Name  string
	State string        // of a DiscoveryUpdate: Ready, Terminating or Gone
	Boot  time.Duration // of a DiscoveryUpdate: when the server started; 0 for long ago
	Line  int           // of the script
	order int           // as it was drawn
}

// Arrival is when a caller comes with a request, and how it behaves.
type Arrival struct {
	At                time.Duration
	Class             int
	Patience          float64 // the share of the deadline after which each attempt is given up
	HonoursRetryAfter bool    // waits as long as Retry-After says
}

// Window is the time of an event, for pages.
type Window struct {
	From, To time.Duration
	Text     string
}

// Plan draws the scenario with a seed; 0 takes the script's. The same seed gives the same plan.
func (s *Scenario) Plan(seed uint64) *Plan {
	if seed == 0 {
		seed = s.Seed
	}
	return drawPlan(s, seed, func(finding.Pos, string, ...any) {})
}

// Name returns the name of a server for people.
func (p *Plan) Name(server int) string {
	s := &p.Servers[server]
	return fmt.Sprintf("box %d of %s", s.Number, p.Tiers[s.Tier].Name)
}

// DisplayName returns the title, or the name of the file.
func (p *Plan) DisplayName() string { return cmp.Or(p.Title, p.Scenario.Name) }

// WorkOf returns the work of one attempt of a request, before and after its calls. It depends only on the seed, the request, its tier and
// the number of the attempt, so that two programs get the same work.
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

// NotificationDelay returns how much later than others a sidecar is notified of updates.
func (p *Plan) NotificationDelay(s SidecarSpec) time.Duration {
	if s.Server >= 0 || float64(s.Number) < float64(s.Count)*(1-p.Discovery.LateShare) {
		return 0
	}
	return p.Discovery.LateDelay
}
