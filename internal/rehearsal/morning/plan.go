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
	*Morning
	Seed     uint64
	Boxes    []Box // all that there ever are; those of the start first, by tier
	Steps    []Step
	Arrivals []Arrival
	Windows  []Window // what the script says, for pages
}

// Box is one server.
type Box struct {
	Tier   int
	Number int // in its tier, from 1
	UID    string
	Cell   int
	Slot   int // its address: two boxes that share one do so one after the other
	Spec   emulator.Spec
	From   time.Duration // when it starts; 0 for long ago
}

// Do is what a step does.
type Do int

// What steps do. Those on boxes come before what discovery tells of them at the same time.
const (
	Crash   Do = iota // its process ends, and resets its connections
	Silence           // its machine is away
	Start             // it starts, cold
	Pause             // it stands still Until
	Slow              // its speed is divided By
	Fault             // What befalls the share By of its calls; none for 0
	Tell              // discovery can tell its State
	Quiet             // discovery is silent, or no more (By 0)
	Signal            // a sidecar of the first tier gets What
	Revive            // it is started again, if it has ended
	Rude              // so many (By) rude callers; none for 0
	Weigh             // discovery can tell its weight, By
	Again             // discovery says what it says twice, the second time late (By 1), or no more (By 0)
	Link              // What befalls what sidecars of the first tier tell one another, from Sidecar on; no more for By 0
)

// Step is one thing that happens.
type Step struct {
	At      time.Duration
	Do      Do
	Box     int // index into Boxes, where it is about one
	Sidecar int // where it is about one, from 0
	By      float64
	Until   time.Duration
	What    string        // of a Link: cut (By so many of the rest), mute, lost or doubled (the share By), late (by By seconds); of a Fault: lose, reset, fail, garble or refuse; of a Signal: its name
	State   string        // of a Tell: Ready, Terminating or Gone
	Boot    time.Duration // of a Tell: when the box started; 0 for long ago
	Line    int           // of the script
	order   int
}

// Arrival is the first try of a request.
type Arrival struct {
	At       time.Duration
	Class    int
	Patience float64 // the share of the deadline after which each try is given up
	Honours  bool    // waits as long as Retry-After says
}

// Window is a stretch of the script, for pages.
type Window struct {
	From, To time.Duration
	Text     string
}

// Plan draws a morning with a seed; 0 takes the script's.
func (m *Morning) Plan(seed uint64) *Plan {
	if seed == 0 {
		seed = m.Seed
	}
	return draw(m, seed, func(finding.Pos, string, ...any) {})
}

// AtLoad is the same morning with its rate multiplied.
func (m *Morning) AtLoad(by float64) *Morning {
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

// life is how a box is doing while the plan is drawn.
type life struct {
	gone    time.Duration // from when on it is no more; -1 if it is not known to end
	goneBy  int           // the line that says so
	away    time.Duration // until when it is not to be hit again
	awayBy  int
	started time.Duration // its latest start
	told    time.Duration // when discovery last had news of it
}

type drawing struct {
	*Plan
	add    finding.Reporter
	lives  []*life
	counts []int // boxes of each tier, ever
	slots  int
	random *rand.Rand            // of who is hit
	boxes  *rand.Rand            // of what boxes are like
	blind  []Window              // discovery is silent
	down   map[int]time.Duration // until when a sidecar is not to be signalled again
	behind []lag
}

// mostWeight is the most that a box may weigh.
const mostWeight = 10_000

// never is later than any morning.
const never = time.Duration(math.MaxInt64)

type lag struct {
	from, to time.Duration
	by       time.Duration
}

func draw(m *Morning, seed uint64, add finding.Reporter) *Plan {
	d := &drawing{
		Plan: &Plan{Morning: m, Seed: seed}, add: add, counts: make([]int, len(m.Tiers)), down: map[int]time.Duration{},
		random: rand.New(emulator.Source(seed, "who")), boxes: rand.New(emulator.Source(seed, "boxes")),
	}
	for i, t := range m.Tiers {
		for range t.Boxes {
			d.newBox(i, -1, 0)
		}
	}
	events := slices.Clone(m.events)
	slices.SortStableFunc(events, func(a, b *event) int { return cmp.Compare(a.At, b.At) })
	// What discovery does first: it says when the rest is heard of.
	for _, e := range events {
		if l := e.Discovery; l != nil {
			d.discovery(e, l)
		}
	}
	for _, e := range events {
		d.event(e)
	}
	for i := range d.Steps {
		d.Steps[i].order = i
	}
	slices.SortFunc(d.Steps, func(a, b Step) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.order, b.order)) })
	slices.SortStableFunc(d.Windows, func(a, b Window) int { return cmp.Compare(a.From, b.From) })
	d.arrive(events)
	return d.Plan
}

// newBox draws a box; slot -1 is a new address.
func (d *drawing) newBox(tier, slot int, from time.Duration) int {
	t := d.Tiers[tier]
	if slot < 0 {
		slot = d.slots
		d.slots++
	}
	n := d.counts[tier]
	d.counts[tier]++
	hash := emulator.Source(d.Seed, fmt.Sprintf("box %s %d", t.Name, n)).Uint64()
	cell := n / t.CellSize
	if old := slices.IndexFunc(d.Boxes, func(b Box) bool { return b.Slot == slot }); from > 0 && old >= 0 {
		cell = d.Boxes[old].Cell // whoever takes a box's place serves the same desk
	}
	// The last half is its number among all, so that no two share an id.
	id := uint32(hash)&0xffff0000 | uint32(len(d.Boxes))&0xffff
	d.Boxes = append(d.Boxes, Box{
		Tier: tier, Number: n + 1, UID: fmt.Sprintf("s-%08x", id), Cell: cell, Slot: slot, From: from,
		Spec: d.spec(t, t.Speed.at(d.boxes.Float64()), t.Cold.at(d.boxes.Float64())),
	})
	d.lives = append(d.lives, &life{gone: -1, started: from})
	if len(d.Boxes) > MostBoxes+1 {
		d.Boxes = d.Boxes[:MostBoxes+1] // it is reported where it is asked for
		d.lives = d.lives[:MostBoxes+1]
	}
	return len(d.Boxes) - 1
}

// Name is what people call a box.
func (p *Plan) Name(box int) string {
	b := p.Boxes[box]
	return fmt.Sprintf("box %d of %s", b.Number, p.Tiers[b.Tier].Name)
}

func (d *drawing) step(s Step) { d.Steps = append(d.Steps, s) }

func (d *drawing) window(e *event, length time.Duration, format string, args ...any) {
	at := time.Duration(e.At)
	d.Windows = append(d.Windows, Window{at, at + length, fmt.Sprintf(format, args...)})
}

// discovery notes when the list is silent or late.
func (d *drawing) discovery(e *event, l *listEvent) {
	from, to := time.Duration(e.At), time.Duration(e.At+l.For)
	if l.Again {
		d.step(Step{At: from, Do: Again, By: 1, Line: e.Pos.Line})
		d.step(Step{At: to, Do: Again, Line: e.Pos.Line})
		d.window(e, time.Duration(l.For), "discovery repeats itself")
		return
	}
	if l.Silent {
		d.blind = append(d.blind, Window{From: from, To: to})
		d.step(Step{At: from, Do: Quiet, By: 1, Line: e.Pos.Line})
		d.step(Step{At: to, Do: Quiet, Line: e.Pos.Line})
		d.window(e, time.Duration(l.For), "discovery is silent")
		return
	}
	d.behind = append(d.behind, lag{from, to, time.Duration(*l.Behind)})
	d.window(e, time.Duration(l.For), "discovery is %v behind", time.Duration(*l.Behind))
}

// tell has discovery hear of a box, later where it is behind, and after its silence.
func (d *drawing) tell(at time.Duration, box int, state string, boot time.Duration, line int) {
	for _, l := range d.behind {
		if at >= l.from && at < l.to {
			at += l.by
		}
	}
	for _, w := range d.blind {
		if at >= w.From && at < w.To {
			at = w.To
		}
	}
	l := d.lives[box]
	at = max(at, l.told) // news of one box keep their order
	l.told = at
	d.step(Step{At: at, Do: Tell, Box: box, State: state, Boot: boot, Line: line})
}

// event draws one event of the script.
func (d *drawing) event(e *event) {
	at := time.Duration(e.At)
	if at >= d.Length {
		d.add(pos(e.Pos), "at %v the morning is over: it is %v long", at, d.Length)
		return
	}
	switch {
	case e.New != nil:
		d.arriving(e, e.New)
	case e.Boxes != nil:
		from := len(d.Windows)
		hit := d.who(e, e.Boxes.Who)
		for i, box := range hit {
			d.hit(e, e.Boxes, i, box)
		}
		d.gather(from, hit)
	case e.Link != nil:
		d.link(e, e.Link)
	case e.Sidecars != nil:
		d.signals(e, e.Sidecars)
	case e.Load != nil:
		if e.Load.Times > 100 {
			d.add(pos(e.Load.Pos), "load is 100 times at most")
		}
		d.window(e, time.Duration(e.Load.For), "load is %v times", e.Load.Times)
	case e.Rude != nil:
		if e.Rude.Count < 1 || e.Rude.Count > 1000 {
			d.add(pos(e.Rude.Pos), "%d rude callers: 1 to 1000 can be played", e.Rude.Count)
		}
		d.step(Step{At: at, Do: Rude, By: float64(e.Rude.Count), Line: e.Pos.Line})
		d.step(Step{At: at + time.Duration(e.Rude.For), Do: Rude, Line: e.Pos.Line})
		d.window(e, time.Duration(e.Rude.For), "%d rude callers", e.Rude.Count)
	}
}

// mostNamed is how many boxes are named; of more, their number is told.
const mostNamed = 4

// gather makes one window of those that an event's boxes have had each.
func (d *drawing) gather(from int, hit []int) {
	if len(d.Windows) == from {
		return
	}
	all := d.Windows[from:]
	one := all[0]
	for _, w := range all {
		one.From, one.To = min(one.From, w.From), max(one.To, w.To)
	}
	tier := d.Tiers[d.Boxes[hit[0]].Tier].Name
	who := fmt.Sprintf("%d boxes of %s", len(hit), tier)
	if len(hit) <= mostNamed {
		var numbers []string
		for _, i := range hit {
			numbers = append(numbers, fmt.Sprint(d.Boxes[i].Number))
		}
		who = fmt.Sprintf("%s %s", tier, strings.Join(numbers, ", "))
	}
	one.Text = who + ": " + one.Text
	d.Windows = append(d.Windows[:from], one)
}

// arriving adds boxes.
func (d *drawing) arriving(e *event, n *newBoxes) {
	t := d.Tier(n.Tier)
	if t == nil {
		d.add(pos(n.Pos), "%s", finding.UnknownName("tier", n.Tier, d.tierNames()))
		return
	}
	if n.Count < 1 || len(d.Boxes)+n.Count > MostBoxes {
		d.add(pos(n.Pos), "%d new boxes: 1 or more, and %d in all at most", n.Count, MostBoxes)
		return
	}
	if t.Calls != "" && d.callers()+n.Count > MostSidecars {
		d.add(pos(n.Pos), "%d more sidecars, one for each of these boxes: %d at most", n.Count, MostSidecars)
		return
	}
	for range n.Count {
		d.begin(time.Duration(e.At), d.newBox(d.index(t), -1, time.Duration(e.At)), e.Pos.Line)
	}
	d.window(e, 0, "%d new of %s", n.Count, t.Name)
}

// callers is how many sidecars there are at most.
func (d *drawing) callers() int {
	n := d.Sidecars.Count
	for _, b := range d.Boxes {
		if d.Tiers[b.Tier].Calls != "" {
			n++
		}
	}
	return n
}

// begin starts a box, cold.
func (d *drawing) begin(at time.Duration, box, line int) {
	at = max(at, time.Millisecond) // 0 is long ago
	if d.Boxes[box].From > 0 || d.lives[box].started == 0 && d.Boxes[box].From == 0 {
		d.lives[box].started = at
	}
	d.step(Step{At: at, Do: Start, Box: box, Line: line})
	d.tell(at+d.Discovery.Add, box, "Ready", at, line)
}

// who draws the boxes that an event hits: such as are there, up, and not hit by another one already.
func (d *drawing) who(e *event, w *who) []int {
	at, where := time.Duration(e.At), pos(w.Pos)
	t := d.Tier(w.Tier)
	if t == nil {
		d.add(where, "%s", finding.UnknownName("tier", w.Tier, d.tierNames()))
		return nil
	}
	var up []int
	total := 0
	for i := range d.Boxes {
		l := d.lives[i]
		if d.Boxes[i].Tier != d.index(t) || d.Boxes[i].From > at || l.gone >= 0 && at >= l.gone {
			continue
		}
		total++
		if at >= l.away {
			up = append(up, i)
		}
	}
	if w.One != nil {
		for i, b := range d.Boxes {
			if b.Tier != d.index(t) || b.Number != *w.One {
				continue
			}
			switch l := d.lives[i]; {
			case b.From > at:
				d.add(where, "box %d of %s starts at %v only", *w.One, t.Name, b.From)
			case l.gone >= 0 && at >= l.gone:
				d.add(where, "box %d of %s is gone since %v (line %d)", *w.One, t.Name, l.gone, l.goneBy)
			case at < l.away:
				d.add(where, "box %d of %s is busy with line %d until %v", *w.One, t.Name, l.awayBy, l.away)
			default:
				return []int{i}
			}
			return nil
		}
		d.add(where, "there is no box %d of %s: it has %d", *w.One, t.Name, d.counts[d.index(t)])
		return nil
	}
	n := len(up)
	switch {
	case w.Count != nil:
		n = *w.Count
	case w.Share != nil:
		if *w.Share > 1 {
			d.add(where, "%v%% of the boxes is more than there are", float64(*w.Share)*100)
			return nil
		}
		// The nearest whole number: a share that is named hits somebody.
		n = max(1, int(math.Round(float64(*w.Share)*float64(total))))
	}
	if n < 1 || n > len(up) {
		d.add(where, "%d boxes of %s are to be hit, and %d are up and not hit by another line at %v", n, t.Name, len(up), at)
		return nil
	}
	d.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	hit := up[:n]
	slices.Sort(hit)
	return hit
}

// hit draws what one box suffers; i counts those of the event.
func (d *drawing) hit(e *event, b *boxEvent, i, box int) {
	at, line, l := time.Duration(e.At), e.Pos.Line, d.lives[box]
	step := func(s Step) {
		s.Box, s.Line = box, line
		d.step(s)
	}
	busy := func(until time.Duration) { l.away, l.awayBy = until, line }
	ends := func(when time.Duration) { l.gone, l.goneBy = when, line }
	switch {
	case b.Silent != nil:
		back := at + time.Duration(*b.Silent)
		busy(back)
		step(Step{At: at, Do: Silence})
		if missed := at + d.Discovery.SilentNotice; missed < back {
			d.tell(missed, box, "Gone", l.started, line)
		}
		d.begin(back, box, line)
		d.window(e, time.Duration(*b.Silent), "silent")
	case b.Restart != nil:
		back := at + time.Duration(*b.Restart)
		busy(back)
		step(Step{At: at, Do: Crash})
		if noticed := at + d.Discovery.Notice; noticed < back {
			d.tell(noticed, box, "Gone", l.started, line)
		}
		d.begin(back, box, line)
		d.window(e, time.Duration(*b.Restart), "restart")
	case b.Die:
		ends(at)
		step(Step{At: at, Do: Crash})
		d.tell(at+d.Discovery.Notice, box, "Gone", l.started, line)
		d.window(e, 0, "gone for good")
	case b.Drain != nil:
		d.drain(at, at+time.Duration(*b.Drain), box, line)
		d.window(e, time.Duration(*b.Drain), "drain")
	case b.Replace != nil:
		tier := d.Boxes[box].Tier
		if len(d.Boxes) >= MostBoxes || d.Tiers[tier].Calls != "" && d.callers() >= MostSidecars {
			d.add(pos(e.Pos), "there would be more boxes or sidecars in all than %d or %d", MostBoxes, MostSidecars)
			return
		}
		when := at
		if b.Replace.Over != nil {
			when += time.Duration(i) * time.Duration(*b.Replace.Over) / time.Duration(max(1, d.Tiers[tier].Boxes))
		}
		if b.Replace.Same {
			ends(when)
			d.step(Step{At: when, Do: Crash, Box: box, Line: line})
			d.tell(when+d.Discovery.Notice, box, "Gone", l.started, line)
			d.begin(when+replaceGap, d.newBox(tier, d.Boxes[box].Slot, when+replaceGap), line)
		} else {
			d.begin(when, d.newBox(tier, -1, when), line)
			d.drain(when, when+drainFor, box, line)
		}
		d.window(e, when-at+replaceGap, "replaced")
	case b.Pause != nil:
		until := at + time.Duration(*b.Pause)
		busy(until)
		step(Step{At: at, Do: Pause, Until: until})
		d.window(e, time.Duration(*b.Pause), "stand still")
	case b.Slow != nil:
		if b.Slow.By < 1 || b.Slow.By > 1000 {
			d.add(pos(e.Pos), "%v times slower: 1 to 1000 can be played", b.Slow.By)
		}
		until := at + time.Duration(b.Slow.For)
		busy(until)
		step(Step{At: at, Do: Slow, By: b.Slow.By})
		step(Step{At: until, Do: Slow, By: 1})
		d.window(e, time.Duration(b.Slow.For), "%v times slower", b.Slow.By)
	case b.Weigh != nil:
		if *b.Weigh > mostWeight {
			d.add(pos(e.Pos), "a weight is %d at most", mostWeight)
		}
		d.step(Step{At: max(at+d.Discovery.Add, l.told), Do: Weigh, Box: box, By: *b.Weigh, Line: line})
		d.window(e, 0, "weigh %v", *b.Weigh)
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
			d.add(pos(f.Pos), "%v%% is more than all", float64(*f.Of)*100)
		}
		until := at + time.Duration(f.For)
		busy(until)
		step(Step{At: at, Do: Fault, What: what, By: float64(*f.Of)})
		step(Step{At: until, Do: Fault, What: what})
		d.window(e, time.Duration(f.For), "%s %v%% of calls", what, float64(*f.Of)*100)
	}
}

// drain has a box finish what it has, and end.
func (d *drawing) drain(at, end time.Duration, box, line int) {
	l := d.lives[box]
	l.gone, l.goneBy = at, line
	d.tell(at+d.Discovery.Notice, box, "Terminating", l.started, line)
	d.step(Step{At: end, Do: Crash, Box: box, Line: line})
	d.tell(end+d.Discovery.Notice, box, "Gone", l.started, line)
}

// signals draws the sidecars that get one.
func (d *drawing) signals(e *event, s *sidecarEvent) {
	n := d.Sidecars.Count
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	switch {
	case s.One != nil:
		if *s.One < 1 || *s.One > n {
			d.add(pos(s.Pos), "there is no sidecar %d: there are %d", *s.One, n)
			return
		}
		all = []int{*s.One - 1}
		if d.down[*s.One-1] > time.Duration(e.At) {
			d.add(pos(s.Pos), "sidecar %d is down until %v, by another line", *s.One, d.down[*s.One-1])
			return
		}
	case s.Share != nil:
		if *s.Share > 1 {
			d.add(pos(s.Pos), "%v%% of the sidecars is more than there are", float64(*s.Share)*100)
			return
		}
		d.random.Shuffle(n, func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:max(1, int(math.Round(float64(*s.Share)*float64(n))))]
		slices.Sort(all)
	}
	if s.Signal == "SIGHUP" && s.Back != nil {
		d.add(pos(s.Pos), "SIGHUP ends no sidecar: there is nothing to come back")
		return
	}
	if s.Signal == "SIGSTOP" && s.Back == nil {
		d.add(pos(s.Pos), "a sidecar that stands still for good is no morning: say 'and is back after'")
		return
	}
	at := time.Duration(e.At)
	for _, i := range all {
		if d.down[i] > at {
			continue // by another line; "all" are those that are up
		}
		if s.Signal != "SIGHUP" {
			d.down[i] = never
			if s.Back != nil {
				d.down[i] = at + time.Duration(*s.Back)
			}
		}
		d.step(Step{At: at, Do: Signal, Sidecar: i, What: s.Signal, Line: e.Pos.Line})
		var length time.Duration
		if s.Back != nil {
			length = time.Duration(*s.Back)
			d.step(Step{At: at + length, Do: Revive, Sidecar: i, Line: e.Pos.Line})
		}
		d.window(e, length, "sidecar %d: %s", i+1, s.Signal)
	}
}

// burst is how long a stretch of a bursty shape lasts.
const (
	burst = 1500 * time.Millisecond
	wave  = 20 * time.Second
)

// arrive draws when callers come: a Poisson process by thinning.
func (d *drawing) arrive(events []*event) {
	r := rand.New(emulator.Source(d.Seed, "arrivals"))
	var bursts []float64
	for at := time.Duration(0); at < d.Length; at += burst {
		bursts = append(bursts, 1+d.Callers.Swing*(2*r.Float64()-1))
	}
	factor := func(at time.Duration) float64 {
		f := 1.0
		switch d.Callers.Shape {
		case "bursty":
			f = bursts[at/burst]
		case "wave":
			f = 1 + d.Callers.Swing*math.Sin(2*math.Pi*float64(at)/float64(wave))
		}
		for _, e := range events {
			if e.Load != nil && at >= time.Duration(e.At) && at < time.Duration(e.At+e.Load.For) {
				f *= e.Load.Times
			}
		}
		return f
	}
	most := 1 + d.Callers.Swing
	for _, e := range events {
		if e.Load != nil {
			most *= max(1, e.Load.Times)
		}
	}
	var shares float64
	for _, c := range d.Classes {
		shares += c.Share
	}
	if most > 1e6 {
		return // reported with the event
	}
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / (d.Callers.Rate * most) * 1e9)
		if at >= d.Length {
			return
		}
		u, pick, patience, honour := r.Float64(), r.Float64()*shares, r.Float64(), r.Float64()
		if u*most >= factor(at) {
			continue
		}
		if len(d.Arrivals) == MostRequests {
			d.add(d.place("callers", "rate"), "more than %d requests", MostRequests)
			return
		}
		class := 0
		for class < len(d.Classes)-1 && pick >= d.Classes[class].Share {
			pick -= d.Classes[class].Share
			class++
		}
		d.Arrivals = append(d.Arrivals, Arrival{at, class, d.Callers.Patience.at(patience), honour < d.Callers.Honour})
	}
}

// Lengths of the works of a request's parts before and after its calls, at one attempt. They depend on the request,
// its tier and the number of the attempt alone, so that two builds meet the same work.
func (p *Plan) Works(request string, tier, attempt int) (before, after time.Duration) {
	t := p.Tiers[tier]
	work := t.Work.Draw(emulator.Source(p.Seed, "work "+t.Name+" "+request))
	if t.Noise > 0 {
		noise := emulator.Work{Mean: time.Second, Shape: emulator.Lognormal, CV: t.Noise}
		work = time.Duration(float64(work) * noise.Draw(emulator.Source(p.Seed, fmt.Sprintf("noise %s %s %d", t.Name, request, attempt))).Seconds())
	}
	if t.Calls == "" {
		return work, 0
	}
	before = time.Duration(t.Before * float64(work))
	return before, work - before
}

// Print writes the plan for people: what happens when, to whom.
func (p *Plan) Print(w io.Writer) error {
	text := fmt.Sprintf("%s: seed %d, %v, %d requests\n", p.Called(), p.Seed, p.Length, len(p.Arrivals))
	for _, t := range p.Tiers {
		text += fmt.Sprintf("  %s: %d boxes\n", t.Name, t.Boxes)
	}
	for _, s := range p.Steps {
		text += fmt.Sprintf("  %8.3f s  %s\n", s.At.Seconds(), p.Describe(s))
	}
	_, err := io.WriteString(w, text)
	return err
}

// Called is its title, or the name of its file.
func (p *Plan) Called() string { return cmp.Or(p.Title, p.Morning.Name) }

// Describe puts a step into words.
func (p *Plan) Describe(s Step) string {
	switch s.Do {
	case Crash:
		return p.Name(s.Box) + " ends"
	case Silence:
		return p.Name(s.Box) + " goes silent"
	case Start:
		return p.Name(s.Box) + " starts"
	case Pause:
		return fmt.Sprintf("%s stands still until %.3f s", p.Name(s.Box), s.Until.Seconds())
	case Slow:
		return fmt.Sprintf("%s: speed divided by %v", p.Name(s.Box), s.By)
	case Fault:
		return fmt.Sprintf("%s: %s %v%%", p.Name(s.Box), s.What, s.By*100)
	case Tell:
		return fmt.Sprintf("discovery hears that %s is %s", p.Name(s.Box), s.State)
	case Quiet:
		return "discovery: " + map[bool]string{true: "silent", false: "back"}[s.By > 0]
	case Signal:
		return fmt.Sprintf("sidecar %d gets %s", s.Sidecar+1, s.What)
	case Weigh:
		return fmt.Sprintf("discovery hears that %s weighs %v", p.Name(s.Box), s.By)
	case Again:
		return "discovery: " + map[bool]string{true: "says everything twice", false: "says things once again"}[s.By > 0]
	case Revive:
		return fmt.Sprintf("sidecar %d comes back", s.Sidecar+1)
	case Link:
		return s.link()
	}
	return fmt.Sprintf("%v rude callers", s.By)
}
