package morning

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/emulator"
)

// Plan is a whole morning, drawn ahead.
type Plan struct {
	*Scenario
	Seed     uint64
	Servers  []Server // all that there ever are; those of the start first, by tier
	Steps    []Step
	Arrivals []Arrival
	Windows  []Window // what the script says, for pages
}

// Server is one server.
type Server struct {
	Tier     int
	Number   int // in its tier, from 1
	UID      string
	Cell     int
	Slot     int // its address: two boxes that share one do so one after the other
	Spec     emulator.Spec
	StartsAt time.Duration // when it starts; 0 for long ago
}

// Kind is what a step does.
type StepKind int

// What steps do. Those on boxes come before what discovery tells of them at the same time.
const (
	ServerCrash       StepKind = iota // its process ends, and resets its connections
	ServerSilence                     // its machine is away
	ServerStart                       // it starts, cold
	ServerPause                       // it stands still Until
	ServerSlowdown                    // its speed is divided By
	ServerFault                       // What befalls the share By of its calls; none for 0
	DiscoveryUpdate                   // discovery can tell its State
	DiscoverySilence                  // discovery is silent, or no more (By 0)
	SidecarSignal                     // a sidecar of the first tier gets What
	SidecarRestart                    // it is started again, if it has ended
	FaultyCallerCount                 // so many (By) rude callers; none for 0
	DiscoveryWeight                   // discovery can tell its weight, By
	DiscoveryRepeat                   // discovery says what it says twice, the second time late (By 1), or no more (By 0)
	LinkFault                         // What befalls what sidecars of the first tier tell one another, from Sidecar on; no more for By 0
)

// Step is one thing that happens.
type Step struct {
	At      time.Duration
	Kind    StepKind
	Server  int // index into Boxes, where it is about one
	Sidecar int // where it is about one, from 0
	Amount  float64
	Until   time.Duration
	Name    string        // of a Link: cut (By so many of the rest), mute, lost or doubled (the share By), late (by By seconds); of a Fault: lose, reset, fail, garble or refuse; of a Signal: its name
	State   string        // of a Tell: Ready, Terminating or Gone
	Boot    time.Duration // of a Tell: when the box started; 0 for long ago
	Line    int           // of the script
	order   int
}

// Arrival is the first try of a request.
type Arrival struct {
	At                time.Duration
	Class             int
	Patience          float64 // the share of the deadline after which each try is given up
	HonoursRetryAfter bool    // waits as long as Retry-After says
}

// Window is a stretch of the script, for pages.
type Window struct {
	From, To time.Duration
	Text     string
}

// Plan draws a morning with a seed; 0 takes the script's.
func (m *Scenario) Plan(seed uint64) *Plan {
	if seed == 0 {
		seed = m.Seed
	}
	return drawPlan(m, seed, func(finding.Pos, string, ...any) {})
}

// AtLoad is the same morning with its rate multiplied.
func (m *Scenario) AtLoad(by float64) *Scenario {
	other := *m
	other.Callers.Rate *= by
	return &other
}

// replaceGap is how long the address of a box stands empty before the one that replaces it has it, and drainFor how
// long one that is replaced by a box elsewhere drains.
const (
	replaceGap = time.Second
	drainFor   = 5 * time.Second
)

// serverState is how a box is doing while the plan is drawn.
type serverState struct {
	goneAt     time.Duration // from when on it is no more; -1 if it is not known to end
	goneLine   int           // the line that says so
	busyUntil  time.Duration // until when it is not to be hit again
	busyLine   int
	startedAt  time.Duration // its latest start
	notifiedAt time.Duration // when discovery last had news of it
}

type planner struct {
	*Plan
	add               finding.Reporter
	servers           []*serverState
	counts            []int // boxes of each tier, ever
	slots             int
	random            *rand.Rand            // of who is hit
	serverRandom      *rand.Rand            // of what boxes are like
	silences          []Window              // discovery is silent
	sidecarsDownUntil map[int]time.Duration // until when a sidecar is not to be signalled again
	delays            []discoveryDelay
}

// maxWeight is the most that a box may weigh.
const maxWeight = 10_000

// never is later than any morning.
const never = time.Duration(math.MaxInt64)

type discoveryDelay struct {
	from, to time.Duration
	amount   time.Duration
}

func drawPlan(m *Scenario, seed uint64, add finding.Reporter) *Plan {
	d := &planner{
		Plan: &Plan{Scenario: m, Seed: seed}, add: add, counts: make([]int, len(m.Tiers)), sidecarsDownUntil: map[int]time.Duration{},
		random: rand.New(emulator.RandomSource(seed, "who")), serverRandom: rand.New(emulator.RandomSource(seed, "boxes")),
	}
	for i, t := range m.Tiers {
		for range t.Servers {
			d.newServer(i, -1, 0)
		}
	}
	events := slices.Clone(m.events)
	slices.SortStableFunc(events, func(a, b *event) int { return cmp.Compare(a.At, b.At) })
	// What discovery does first: it says when the rest is heard of.
	for _, e := range events {
		if l := e.Discovery; l != nil {
			d.planDiscovery(e, l)
		}
	}
	for _, e := range events {
		d.planEvent(e)
	}
	for i := range d.Steps {
		d.Steps[i].order = i
	}
	slices.SortFunc(d.Steps, func(a, b Step) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.order, b.order)) })
	slices.SortStableFunc(d.Windows, func(a, b Window) int { return cmp.Compare(a.From, b.From) })
	d.drawArrivals(events)
	return d.Plan
}

// newServer draws a box; slot -1 is a new address.
func (p *planner) newServer(tier, slot int, from time.Duration) int {
	t := p.Tiers[tier]
	if slot < 0 {
		slot = p.slots
		p.slots++
	}
	n := p.counts[tier]
	p.counts[tier]++
	hash := emulator.RandomSource(p.Seed, fmt.Sprintf("box %s %d", t.Name, n)).Uint64()
	cell := n / t.CellSize
	if old := slices.IndexFunc(p.Servers, func(b Server) bool { return b.Slot == slot }); from > 0 && old >= 0 {
		cell = p.Servers[old].Cell // whoever takes a box's place serves the same desk
	}
	// The last half is its number among all, so that no two share an id.
	id := uint32(hash)&0xffff0000 | uint32(len(p.Servers))&0xffff
	p.Servers = append(p.Servers, Server{
		Tier: tier, Number: n + 1, UID: fmt.Sprintf("s-%08x", id), Cell: cell, Slot: slot, StartsAt: from,
		Spec: p.serverSpec(t, t.Speed.interpolate(p.serverRandom.Float64()), t.ColdShare.interpolate(p.serverRandom.Float64())),
	})
	p.servers = append(p.servers, &serverState{goneAt: -1, startedAt: from})
	if len(p.Servers) > MaxServers+1 {
		p.Servers = p.Servers[:MaxServers+1] // it is reported where it is asked for
		p.servers = p.servers[:MaxServers+1]
	}
	return len(p.Servers) - 1
}

// Name is what people call a box.
func (p *Plan) Name(box int) string {
	b := p.Servers[box]
	return fmt.Sprintf("box %d of %s", b.Number, p.Tiers[b.Tier].Name)
}

func (p *planner) addStep(s Step) { p.Steps = append(p.Steps, s) }

func (p *planner) addWindow(e *event, length time.Duration, format string, args ...any) {
	at := time.Duration(e.At)
	p.Windows = append(p.Windows, Window{at, at + length, fmt.Sprintf(format, args...)})
}

// planDiscovery notes when the list is silent or late.
func (p *planner) planDiscovery(e *event, l *discoveryEvent) {
	from, to := time.Duration(e.At), time.Duration(e.At+l.For)
	if l.Repeats {
		p.addStep(Step{At: from, Kind: DiscoveryRepeat, Amount: 1, Line: e.Pos.Line})
		p.addStep(Step{At: to, Kind: DiscoveryRepeat, Line: e.Pos.Line})
		p.addWindow(e, time.Duration(l.For), "discovery repeats itself")
		return
	}
	if l.Silent {
		p.silences = append(p.silences, Window{From: from, To: to})
		p.addStep(Step{At: from, Kind: DiscoverySilence, Amount: 1, Line: e.Pos.Line})
		p.addStep(Step{At: to, Kind: DiscoverySilence, Line: e.Pos.Line})
		p.addWindow(e, time.Duration(l.For), "discovery is silent")
		return
	}
	p.delays = append(p.delays, discoveryDelay{from, to, time.Duration(*l.Behind)})
	p.addWindow(e, time.Duration(l.For), "discovery is %v behind", time.Duration(*l.Behind))
}

// notify has discovery hear of a box, later where it is behind, and after its silence.
func (p *planner) notify(at time.Duration, box int, state string, boot time.Duration, line int) {
	for _, l := range p.delays {
		if at >= l.from && at < l.to {
			at += l.amount
		}
	}
	for _, w := range p.silences {
		if at >= w.From && at < w.To {
			at = w.To
		}
	}
	l := p.servers[box]
	at = max(at, l.notifiedAt) // news of one box keep their order
	l.notifiedAt = at
	p.addStep(Step{At: at, Kind: DiscoveryUpdate, Server: box, State: state, Boot: boot, Line: line})
}

// planEvent draws one event of the script.
func (p *planner) planEvent(e *event) {
	at := time.Duration(e.At)
	if at >= p.Length {
		p.add(positionOf(e.Pos), "at %v the morning is over: it is %v long", at, p.Length)
		return
	}
	switch {
	case e.NewServers != nil:
		p.planNewServers(e, e.NewServers)
	case e.Servers != nil:
		from := len(p.Windows)
		hit := p.selectServers(e, e.Servers.Targets)
		for i, box := range hit {
			p.planServerEvent(e, e.Servers, i, box)
		}
		p.mergeWindows(from, hit)
	case e.Link != nil:
		p.planLink(e, e.Link)
	case e.Sidecars != nil:
		p.planSignals(e, e.Sidecars)
	case e.Load != nil:
		if e.Load.Times > 100 {
			p.add(positionOf(e.Load.Pos), "load is 100 times at most")
		}
		p.addWindow(e, time.Duration(e.Load.For), "load is %v times", e.Load.Times)
	case e.FaultyCallers != nil:
		if e.FaultyCallers.Count < 1 || e.FaultyCallers.Count > 1000 {
			p.add(positionOf(e.FaultyCallers.Pos), "%d rude callers: 1 to 1000 can be played", e.FaultyCallers.Count)
		}
		p.addStep(Step{At: at, Kind: FaultyCallerCount, Amount: float64(e.FaultyCallers.Count), Line: e.Pos.Line})
		p.addStep(Step{At: at + time.Duration(e.FaultyCallers.For), Kind: FaultyCallerCount, Line: e.Pos.Line})
		p.addWindow(e, time.Duration(e.FaultyCallers.For), "%d rude callers", e.FaultyCallers.Count)
	}
}

// maxNamedServers is how many boxes are named; of more, their number is told.
const maxNamedServers = 4

// mergeWindows makes one window of those that an event's boxes have had each.
func (p *planner) mergeWindows(from int, hit []int) {
	if len(p.Windows) == from {
		return
	}
	all := p.Windows[from:]
	one := all[0]
	for _, w := range all {
		one.From, one.To = min(one.From, w.From), max(one.To, w.To)
	}
	tier := p.Tiers[p.Servers[hit[0]].Tier].Name
	who := fmt.Sprintf("%d boxes of %s", len(hit), tier)
	if len(hit) <= maxNamedServers {
		var numbers []string
		for _, i := range hit {
			numbers = append(numbers, fmt.Sprint(p.Servers[i].Number))
		}
		who = fmt.Sprintf("%s %s", tier, strings.Join(numbers, ", "))
	}
	one.Text = who + ": " + one.Text
	p.Windows = append(p.Windows[:from], one)
}

// planNewServers adds boxes.
func (p *planner) planNewServers(e *event, n *newServers) {
	t := p.Tier(n.Tier)
	if t == nil {
		p.add(positionOf(n.Pos), "%s", finding.UnknownName("tier", n.Tier, p.tierNames()))
		return
	}
	if n.Count < 1 || len(p.Servers)+n.Count > MaxServers {
		p.add(positionOf(n.Pos), "%d new boxes: 1 or more, and %d in all at most", n.Count, MaxServers)
		return
	}
	if t.Calls != "" && p.sidecarCount()+n.Count > MaxSidecars {
		p.add(positionOf(n.Pos), "%d more sidecars, one for each of these boxes: %d at most", n.Count, MaxSidecars)
		return
	}
	for range n.Count {
		p.startServer(time.Duration(e.At), p.newServer(p.tierIndex(t), -1, time.Duration(e.At)), e.Pos.Line)
	}
	p.addWindow(e, 0, "%d new of %s", n.Count, t.Name)
}

// sidecarCount is how many sidecars there are at most.
func (p *planner) sidecarCount() int {
	n := p.Sidecars.Count
	for _, b := range p.Servers {
		if p.Tiers[b.Tier].Calls != "" {
			n++
		}
	}
	return n
}

// startServer starts a box, cold.
func (p *planner) startServer(at time.Duration, box, line int) {
	at = max(at, time.Millisecond) // 0 is long ago
	if p.Servers[box].StartsAt > 0 || p.servers[box].startedAt == 0 && p.Servers[box].StartsAt == 0 {
		p.servers[box].startedAt = at
	}
	p.addStep(Step{At: at, Kind: ServerStart, Server: box, Line: line})
	p.notify(at+p.Discovery.AddDelay, box, "Ready", at, line)
}

// selectServers draws the boxes that an event hits: such as are there, up, and not hit by another one already.
func (p *planner) selectServers(e *event, w *serverSelector) []int {
	at, where := time.Duration(e.At), positionOf(w.Pos)
	t := p.Tier(w.Tier)
	if t == nil {
		p.add(where, "%s", finding.UnknownName("tier", w.Tier, p.tierNames()))
		return nil
	}
	var up []int
	total := 0
	for i := range p.Servers {
		l := p.servers[i]
		if p.Servers[i].Tier != p.tierIndex(t) || p.Servers[i].StartsAt > at || l.goneAt >= 0 && at >= l.goneAt {
			continue
		}
		total++
		if at >= l.busyUntil {
			up = append(up, i)
		}
	}
	if w.One != nil {
		for i, b := range p.Servers {
			if b.Tier != p.tierIndex(t) || b.Number != *w.One {
				continue
			}
			switch l := p.servers[i]; {
			case b.StartsAt > at:
				p.add(where, "box %d of %s starts at %v only", *w.One, t.Name, b.StartsAt)
			case l.goneAt >= 0 && at >= l.goneAt:
				p.add(where, "box %d of %s is gone since %v (line %d)", *w.One, t.Name, l.goneAt, l.goneLine)
			case at < l.busyUntil:
				p.add(where, "box %d of %s is busy with line %d until %v", *w.One, t.Name, l.busyLine, l.busyUntil)
			default:
				return []int{i}
			}
			return nil
		}
		p.add(where, "there is no box %d of %s: it has %d", *w.One, t.Name, p.counts[p.tierIndex(t)])
		return nil
	}
	n := len(up)
	switch {
	case w.Count != nil:
		n = *w.Count
	case w.Share != nil:
		if *w.Share > 1 {
			p.add(where, "%v%% of the boxes is more than there are", float64(*w.Share)*100)
			return nil
		}
		// The nearest whole number: a share that is named hits somebody.
		n = max(1, int(math.Round(float64(*w.Share)*float64(total))))
	}
	if n < 1 || n > len(up) {
		p.add(where, "%d boxes of %s are to be hit, and %d are up and not hit by another line at %v", n, t.Name, len(up), at)
		return nil
	}
	p.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	hit := up[:n]
	slices.Sort(hit)
	return hit
}

// planServerEvent draws what one box suffers; i counts those of the event.
func (p *planner) planServerEvent(e *event, b *serverEvent, i, box int) {
	at, line, l := time.Duration(e.At), e.Pos.Line, p.servers[box]
	step := func(s Step) {
		s.Server, s.Line = box, line
		p.addStep(s)
	}
	busy := func(until time.Duration) { l.busyUntil, l.busyLine = until, line }
	ends := func(when time.Duration) { l.goneAt, l.goneLine = when, line }
	switch {
	case b.Silent != nil:
		back := at + time.Duration(*b.Silent)
		busy(back)
		step(Step{At: at, Kind: ServerSilence})
		if missed := at + p.Discovery.SilentNoticeDelay; missed < back {
			p.notify(missed, box, "Gone", l.startedAt, line)
		}
		p.startServer(back, box, line)
		p.addWindow(e, time.Duration(*b.Silent), "silent")
	case b.Restart != nil:
		back := at + time.Duration(*b.Restart)
		busy(back)
		step(Step{At: at, Kind: ServerCrash})
		if noticed := at + p.Discovery.NoticeDelay; noticed < back {
			p.notify(noticed, box, "Gone", l.startedAt, line)
		}
		p.startServer(back, box, line)
		p.addWindow(e, time.Duration(*b.Restart), "restart")
	case b.Die:
		ends(at)
		step(Step{At: at, Kind: ServerCrash})
		p.notify(at+p.Discovery.NoticeDelay, box, "Gone", l.startedAt, line)
		p.addWindow(e, 0, "gone for good")
	case b.Drain != nil:
		p.drainServer(at, at+time.Duration(*b.Drain), box, line)
		p.addWindow(e, time.Duration(*b.Drain), "drain")
	case b.Replace != nil:
		tier := p.Servers[box].Tier
		if len(p.Servers) >= MaxServers || p.Tiers[tier].Calls != "" && p.sidecarCount() >= MaxSidecars {
			p.add(positionOf(e.Pos), "there would be more boxes or sidecars in all than %d or %d", MaxServers, MaxSidecars)
			return
		}
		when := at
		if b.Replace.Over != nil {
			when += time.Duration(i) * time.Duration(*b.Replace.Over) / time.Duration(max(1, p.Tiers[tier].Servers))
		}
		if b.Replace.Same {
			ends(when)
			p.addStep(Step{At: when, Kind: ServerCrash, Server: box, Line: line})
			p.notify(when+p.Discovery.NoticeDelay, box, "Gone", l.startedAt, line)
			p.startServer(when+replaceGap, p.newServer(tier, p.Servers[box].Slot, when+replaceGap), line)
		} else {
			p.startServer(when, p.newServer(tier, -1, when), line)
			p.drainServer(when, when+drainFor, box, line)
		}
		p.addWindow(e, when-at+replaceGap, "replaced")
	case b.Pause != nil:
		until := at + time.Duration(*b.Pause)
		busy(until)
		step(Step{At: at, Kind: ServerPause, Until: until})
		p.addWindow(e, time.Duration(*b.Pause), "stand still")
	case b.Slow != nil:
		if b.Slow.By < 1 || b.Slow.By > 1000 {
			p.add(positionOf(e.Pos), "%v times slower: 1 to 1000 can be played", b.Slow.By)
		}
		until := at + time.Duration(b.Slow.For)
		busy(until)
		step(Step{At: at, Kind: ServerSlowdown, Amount: b.Slow.By})
		step(Step{At: until, Kind: ServerSlowdown, Amount: 1})
		p.addWindow(e, time.Duration(b.Slow.For), "%v times slower", b.Slow.By)
	case b.Weigh != nil:
		if *b.Weigh > maxWeight {
			p.add(positionOf(e.Pos), "a weight is %d at most", maxWeight)
		}
		p.addStep(Step{At: max(at+p.Discovery.AddDelay, l.notifiedAt), Kind: DiscoveryWeight, Server: box, Amount: *b.Weigh, Line: line})
		p.addWindow(e, 0, "weigh %v", *b.Weigh)
	case b.Fault != nil:
		f := b.Fault
		what := map[byte]string{'l': "lose", 'f': "fail", 'g': "garble"}[f.What[0]]
		if what == "" {
			what = f.What[:len("reset")]
			if f.What[2] == 'f' {
				what = "refuse"
			}
		}
		if *f.Of > 1 {
			p.add(positionOf(f.Pos), "%v%% is more than all", float64(*f.Of)*100)
		}
		until := at + time.Duration(f.For)
		busy(until)
		step(Step{At: at, Kind: ServerFault, Name: what, Amount: float64(*f.Of)})
		step(Step{At: until, Kind: ServerFault, Name: what})
		p.addWindow(e, time.Duration(f.For), "%s %v%% of calls", what, float64(*f.Of)*100)
	}
}

// drainServer has a box finish what it has, and end.
func (p *planner) drainServer(at, end time.Duration, box, line int) {
	l := p.servers[box]
	l.goneAt, l.goneLine = at, line
	p.notify(at+p.Discovery.NoticeDelay, box, "Terminating", l.startedAt, line)
	p.addStep(Step{At: end, Kind: ServerCrash, Server: box, Line: line})
	p.notify(end+p.Discovery.NoticeDelay, box, "Gone", l.startedAt, line)
}

// planSignals draws the sidecars that get one.
func (p *planner) planSignals(e *event, s *sidecarEvent) {
	n := p.Sidecars.Count
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	switch {
	case s.One != nil:
		if *s.One < 1 || *s.One > n {
			p.add(positionOf(s.Pos), "there is no sidecar %d: there are %d", *s.One, n)
			return
		}
		all = []int{*s.One - 1}
		if p.sidecarsDownUntil[*s.One-1] > time.Duration(e.At) {
			p.add(positionOf(s.Pos), "sidecar %d is down until %v, by another line", *s.One, p.sidecarsDownUntil[*s.One-1])
			return
		}
	case s.Share != nil:
		if *s.Share > 1 {
			p.add(positionOf(s.Pos), "%v%% of the sidecars is more than there are", float64(*s.Share)*100)
			return
		}
		p.random.Shuffle(n, func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:max(1, int(math.Round(float64(*s.Share)*float64(n))))]
		slices.Sort(all)
	}
	if s.Signal == "SIGHUP" && s.Back != nil {
		p.add(positionOf(s.Pos), "SIGHUP ends no sidecar: there is nothing to come back")
		return
	}
	if s.Signal == "SIGSTOP" && s.Back == nil {
		p.add(positionOf(s.Pos), "a sidecar that stands still for good is no morning: say 'and is back after'")
		return
	}
	at := time.Duration(e.At)
	for _, i := range all {
		if p.sidecarsDownUntil[i] > at {
			continue // by another line; "all" are those that are up
		}
		if s.Signal != "SIGHUP" {
			p.sidecarsDownUntil[i] = never
			if s.Back != nil {
				p.sidecarsDownUntil[i] = at + time.Duration(*s.Back)
			}
		}
		p.addStep(Step{At: at, Kind: SidecarSignal, Sidecar: i, Name: s.Signal, Line: e.Pos.Line})
		var length time.Duration
		if s.Back != nil {
			length = time.Duration(*s.Back)
			p.addStep(Step{At: at + length, Kind: SidecarRestart, Sidecar: i, Line: e.Pos.Line})
		}
		p.addWindow(e, length, "sidecar %d: %s", i+1, s.Signal)
	}
}

// burstLength is how long a stretch of a bursty shape lasts.
const (
	burstLength = 1500 * time.Millisecond
	wavePeriod  = 20 * time.Second
)

// drawArrivals draws when callers come: a Poisson process by thinning.
func (p *planner) drawArrivals(events []*event) {
	r := rand.New(emulator.RandomSource(p.Seed, "arrivals"))
	var bursts []float64
	for at := time.Duration(0); at < p.Length; at += burstLength {
		bursts = append(bursts, 1+p.Callers.Swing*(2*r.Float64()-1))
	}
	factor := func(at time.Duration) float64 {
		f := 1.0
		switch p.Callers.Shape {
		case "bursty":
			f = bursts[at/burstLength]
		case "wave":
			f = 1 + p.Callers.Swing*math.Sin(2*math.Pi*float64(at)/float64(wavePeriod))
		}
		for _, e := range events {
			if e.Load != nil && at >= time.Duration(e.At) && at < time.Duration(e.At+e.Load.For) {
				f *= e.Load.Times
			}
		}
		return f
	}
	most := 1 + p.Callers.Swing
	for _, e := range events {
		if e.Load != nil {
			most *= max(1, e.Load.Times)
		}
	}
	var shares float64
	for _, c := range p.Classes {
		shares += c.Share
	}
	if most > 1e6 {
		return // reported with the event
	}
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / (p.Callers.Rate * most) * 1e9)
		if at >= p.Length {
			return
		}
		u, pick, patience, honour := r.Float64(), r.Float64()*shares, r.Float64(), r.Float64()
		if u*most >= factor(at) {
			continue
		}
		if len(p.Arrivals) == MaxRequests {
			p.add(p.position("callers", "rate"), "more than %d requests", MaxRequests)
			return
		}
		class := 0
		for class < len(p.Classes)-1 && pick >= p.Classes[class].Share {
			pick -= p.Classes[class].Share
			class++
		}
		p.Arrivals = append(p.Arrivals, Arrival{at, class, p.Callers.Patience.interpolate(patience), honour < p.Callers.HonoursRetryAfter})
	}
}

// Lengths of the works of a request's parts before and after its calls, at one attempt. They depend on the request,
// its tier and the number of the attempt alone, so that two builds meet the same work.
func (p *Plan) WorkOf(request string, tier, attempt int) (before, after time.Duration) {
	t := p.Tiers[tier]
	work := t.Work.Draw(emulator.RandomSource(p.Seed, "work "+t.Name+" "+request))
	if t.Noise > 0 {
		noise := emulator.WorkDistribution{Mean: time.Second, Shape: emulator.Lognormal, CV: t.Noise}
		work = time.Duration(float64(work) * noise.Draw(emulator.RandomSource(p.Seed, fmt.Sprintf("noise %s %s %d", t.Name, request, attempt))).Seconds())
	}
	if t.Calls == "" {
		return work, 0
	}
	before = time.Duration(t.WorkBeforeCalls * float64(work))
	return before, work - before
}

// WriteText writes the plan for people: what happens when, to whom.
func (p *Plan) WriteText(w io.Writer) error {
	text := fmt.Sprintf("%s: seed %d, %v, %d requests\n", p.DisplayName(), p.Seed, p.Length, len(p.Arrivals))
	for _, t := range p.Tiers {
		text += fmt.Sprintf("  %s: %d boxes\n", t.Name, t.Servers)
	}
	for _, s := range p.Steps {
		text += fmt.Sprintf("  %8.3f s  %s\n", s.At.Seconds(), p.Describe(s))
	}
	_, err := io.WriteString(w, text)
	return err
}

// DisplayName is its title, or the name of its file.
func (p *Plan) DisplayName() string { return cmp.Or(p.Title, p.Scenario.Name) }

// Describe puts a step into words.
func (p *Plan) Describe(s Step) string {
	switch s.Kind {
	case ServerCrash:
		return p.Name(s.Server) + " ends"
	case ServerSilence:
		return p.Name(s.Server) + " goes silent"
	case ServerStart:
		return p.Name(s.Server) + " starts"
	case ServerPause:
		return fmt.Sprintf("%s stands still until %.3f s", p.Name(s.Server), s.Until.Seconds())
	case ServerSlowdown:
		return fmt.Sprintf("%s: speed divided by %v", p.Name(s.Server), s.Amount)
	case ServerFault:
		return fmt.Sprintf("%s: %s %v%%", p.Name(s.Server), s.Name, s.Amount*100)
	case DiscoveryUpdate:
		return fmt.Sprintf("discovery hears that %s is %s", p.Name(s.Server), s.State)
	case DiscoverySilence:
		return "discovery: " + map[bool]string{true: "silent", false: "back"}[s.Amount > 0]
	case SidecarSignal:
		return fmt.Sprintf("sidecar %d gets %s", s.Sidecar+1, s.Name)
	case DiscoveryWeight:
		return fmt.Sprintf("discovery hears that %s weighs %v", p.Name(s.Server), s.Amount)
	case DiscoveryRepeat:
		return "discovery: " + map[bool]string{true: "says everything twice", false: "says things once again"}[s.Amount > 0]
	case SidecarRestart:
		return fmt.Sprintf("sidecar %d comes back", s.Sidecar+1)
	case LinkFault:
		return s.describeLink()
	}
	return fmt.Sprintf("%v rude callers", s.Amount)
}
