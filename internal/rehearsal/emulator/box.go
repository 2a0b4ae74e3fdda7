// Package emulator has models of booking servers: what a box does with the work
// that it is sent. It does no I/O and reads no clock: each call carries the time,
// counted from any start, and no call may carry an earlier one than the call
// before. The same calls give the same answers.
//
// A Box is asked to take a job (Offer), tells when it wants to be looked at next
// (Next), and tells which jobs have ended their work when it is (Advance). A job
// that waits for somebody else (a call to the next tier) keeps its slot until it
// goes on (Resume) or leaves (Release).
package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"time"
)

// Spec is what a box is like. Work is measured in the time that one core of speed 1 needs for it.
type Spec struct {
	Cores int     // 1 or more
	Speed float64 // of a core; above 0
	Slots int     // jobs in work or waiting for others at once; they share the cores. 1 or more
	Queue int     // jobs that wait for a slot; beyond that a box turns away. 0 or more

	// Thrash is the share of its speed that a box loses for each ThrashAt jobs that it holds beyond the first
	// ThrashAt, down to a quarter of it. 0 for none.
	Thrash   float64
	ThrashAt int

	// A box that starts has ColdFrom of its capacity (above 0, to 1), which rises evenly to the whole within Warm.
	ColdFrom float64
	Warm     time.Duration
	// While it warms up, more than TipMultiple times its capacity, sent to it within TipWindow, makes it fall over
	// for good. 0 for never.
	TipMultiple float64
	TipWindow   time.Duration

	CancelStops  bool // a cancel stops work in progress, not only waiting work
	DropsExpired bool // a job whose time is up when it would get a slot is dropped

	Choke *Choke // nil for never

	ReportEvery time.Duration // of load reports; 0 for none
	ReportDelay time.Duration // how old a report is before it can be seen

	Connections   int           // that it holds; 0 for no bound
	HandshakeWork time.Duration // that a new connection costs it
}

// Choke is how a box turns slow when it is crowded for too long, and recovers.
type Choke struct {
	Held   int           // so many jobs held,
	Over   time.Duration // for so long without a break, choke it;
	Slower float64       // its speed is divided by this,
	Below  float64       // until less than this share of its cores was busy
	Rest   time.Duration // for so long,
	Most   time.Duration // or this time is up.
}

// Check tells why a Spec cannot be, nil if it can.
func (s *Spec) Check() error {
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"cores: below 1", s.Cores >= 1},
		{"speed: not above 0", s.Speed > 0 && !math.IsInf(s.Speed, 0)},
		{"slots: below 1", s.Slots >= 1},
		{"queue: below 0", s.Queue >= 0},
		{"cold: not above 0 and at most 1", s.ColdFrom > 0 && s.ColdFrom <= 1},
		{"warm: below 0", s.Warm >= 0},
		{"thrash: not from 0 to 1", s.Thrash >= 0 && s.Thrash <= 1},
		{"thrash_at: below 1", s.Thrash == 0 || s.ThrashAt >= 1},
		{"tip_window: not above 0", s.TipMultiple == 0 || s.TipMultiple > 0 && s.TipWindow > 0},
		{"choke: slower: below 1", s.Choke == nil || s.Choke.Slower >= 1},
	} {
		if !f.ok {
			return fmt.Errorf("%s", f.name)
		}
	}
	return nil
}

// Report is a load report, as a box makes them now and then.
type Report struct {
	InFlight int     // jobs held
	Queue    int     // of these, waiting for a slot
	Util     float64 // share of the cores that was busy since the report before
}

type where int

const (
	queued   where = iota
	working        // shares the cores
	waiting        // holds a slot, and waits for somebody else
	orphaned       // working, and nobody wants it
	chore          // shares the cores, and needs no slot
)

type job struct {
	id      uint64
	work    float64 // seconds of one core of speed 1
	finish  float64 // what attained has to reach
	at      int     // in the heap
	order   uint64
	where   where
	expires time.Duration
}

// leastSpeed is the share of its speed that thrashing leaves a box at least.
const leastSpeed = 0.25

// tipSlack is how much more than the multiple makes a cold box fall, for chance.
const tipSlack = 1.1

// Box is one server. Its methods take the time; see the package.
type Box struct {
	spec    Spec
	now     time.Duration
	started time.Duration // it is cold from here on
	warm    bool          // it has been up for long

	jobs     map[uint64]*job
	line     []*job // the queue, and what was cancelled in it
	waiting  int    // jobs in line that still want a slot
	busy     byFinish
	attained float64 // what each job that shares the cores has got since the start, in seconds at speed 1
	order    uint64

	slowed  float64 // divides its speed; 1 or more
	pausing time.Duration
	fallen  bool
	sent    []sent // while it is cold, newest last

	crowded time.Duration // since when it holds too much; -1 if not
	calm    time.Duration // since when it is mostly idle; -1 if not
	choked  time.Duration // until when at most; 0 if not
	chokes  int

	reports  []stamped
	nextSnap time.Duration
	worked   float64 // core seconds since the last snapshot
	total    float64 // core seconds, since the start
}

type sent struct {
	at   time.Duration
	work float64
}

type stamped struct {
	at time.Duration
	Report
}

// NewBox is a box that has been up for long, or, with cold set, one that starts now.
func NewBox(spec Spec, now time.Duration, cold bool) *Box {
	return &Box{
		spec: spec, now: now, started: now, warm: !cold, jobs: map[uint64]*job{}, slowed: 1, crowded: -1, calm: -1,
		nextSnap: now + spec.ReportEvery,
	}
}

// share is the part of its capacity that a box has at a time, for it is cold.
func (b *Box) share(at time.Duration) float64 {
	if b.warm || at >= b.started+b.spec.Warm {
		return 1
	}
	return b.spec.ColdFrom + (1-b.spec.ColdFrom)*float64(at-b.started)/float64(b.spec.Warm)
}

// rate is what one job gets a second, but for the cold.
func (b *Box) rate() float64 {
	n := len(b.busy)
	if n == 0 || b.now < b.pausing {
		return 0
	}
	r := b.spec.Speed / b.slowed
	if held := b.Held(); b.spec.Thrash > 0 && held > b.spec.ThrashAt {
		r *= max(leastSpeed, 1-b.spec.Thrash*float64(held-b.spec.ThrashAt)/float64(b.spec.ThrashAt))
	}
	if b.choked > 0 {
		r /= b.spec.Choke.Slower
	}
	return r * min(1, float64(b.spec.Cores)/float64(n))
}

// gained is what a job of rate 1 gets from now until then: the area under share.
func (b *Box) gained(to time.Duration) float64 {
	from, full := b.now, b.started+b.spec.Warm
	if b.warm || from >= full {
		return (to - from).Seconds()
	}
	if to <= full {
		return (to - from).Seconds() * (b.share(from) + b.share(to)) / 2
	}
	return (full-from).Seconds()*(b.share(from)+1)/2 + (to - full).Seconds()
}

// until is when a job of rate 1 will have got so much from now on, rounded up: at that time it has.
func (b *Box) until(amount float64) time.Duration {
	if amount <= 0 {
		return b.now
	}
	full := b.started + b.spec.Warm
	if b.warm || b.now >= full {
		return after(b.now, amount)
	}
	if ramp := b.gained(full); amount > ramp {
		return after(full, amount-ramp)
	}
	// amount = s*t + k*t*t/2
	s, k := b.share(b.now), (1-b.spec.ColdFrom)/b.spec.Warm.Seconds()
	if k == 0 {
		return after(b.now, amount/s)
	}
	return after(b.now, 2*amount/(s+math.Sqrt(s*s+2*k*amount)))
}

// never is later than any rehearsal.
const never = time.Duration(math.MaxInt64)

func after(t time.Duration, seconds float64) time.Duration {
	if seconds > 1e6 {
		return never
	}
	return t + time.Duration(math.Ceil(seconds*1e9))
}

// progress brings all work up to a time at which nothing happens before it.
func (b *Box) progress(to time.Duration) {
	for b.spec.ReportEvery > 0 && b.nextSnap <= to {
		b.run(b.nextSnap)
		period := b.spec.ReportEvery.Seconds() * float64(b.spec.Cores)
		b.reports = append(b.reports, stamped{b.now, Report{b.Held(), b.waiting, min(1, b.worked/period)}})
		b.worked = 0
		b.nextSnap += b.spec.ReportEvery
		for len(b.reports) > 1 && b.reports[1].at+b.spec.ReportDelay <= b.now {
			b.reports = b.reports[1:]
		}
	}
	b.run(to)
}

func (b *Box) run(to time.Duration) {
	if to <= b.now {
		return
	}
	if r := b.rate(); r > 0 {
		b.attained += r * b.gained(to)
		cores := (to - b.now).Seconds() * float64(min(len(b.busy), b.spec.Cores))
		b.worked += cores
		b.total += cores
	}
	b.now = to
}

// nextInside is when a box changes next by itself.
func (b *Box) nextInside() time.Duration {
	next := never
	if b.now < b.pausing {
		next = b.pausing
	} else if r := b.rate(); r > 0 {
		next = b.until((b.busy[0].finish - b.attained) / r)
	}
	if c := b.spec.Choke; c != nil {
		switch {
		case b.choked > 0:
			next = min(next, b.choked)
			if b.calm >= 0 {
				next = min(next, b.calm+c.Rest)
			}
		case b.crowded >= 0:
			next = min(next, b.crowded+c.Over)
		}
	}
	return next
}

// Next is when the box wants to be looked at; false if nothing will happen by itself.
func (b *Box) Next() (time.Duration, bool) {
	next := b.nextInside()
	return next, next < never
}

// Done is a job whose work has ended.
type Done struct {
	ID uint64
	At time.Duration
	// Expired tells that its time was up before it got a slot: nothing was done of it, and it has left.
	Expired bool
}

// Advance brings the box up to a time and returns, in order, the jobs that have ended their work. Each keeps its
// slot until Release or Resume, unless it expired.
func (b *Box) Advance(now time.Duration) []Done {
	var done []Done
	if b.fallen {
		b.now = max(b.now, now)
		return nil
	}
	for {
		next := b.nextInside()
		if next > now {
			break
		}
		b.progress(next)
		for len(b.busy) > 0 && b.now >= b.pausing && b.busy[0].finish <= b.attained*(1+1e-12)+1e-12 {
			j := heap.Pop(&b.busy).(*job)
			switch j.where {
			case chore:
			case orphaned:
				b.leave(j, &done)
			default:
				j.where = waiting
				done = append(done, Done{ID: j.id, At: b.now})
			}
		}
		b.mood()
	}
	b.progress(now)
	return done
}

// mood follows whether the box is crowded, and when it chokes and recovers.
func (b *Box) mood() {
	c := b.spec.Choke
	if c == nil {
		return
	}
	if b.Held() < c.Held {
		b.crowded = -1
	} else if b.crowded < 0 {
		b.crowded = b.now
	}
	if float64(len(b.busy)) >= c.Below*float64(b.spec.Cores) {
		b.calm = -1
	} else if b.calm < 0 {
		b.calm = b.now
	}
	switch {
	case b.choked > 0 && (b.now >= b.choked || b.calm >= 0 && b.now >= b.calm+c.Rest):
		b.choked, b.crowded = 0, -1
	case b.choked == 0 && b.crowded >= 0 && b.now >= b.crowded+c.Over:
		b.choked = b.now + c.Most
		b.chokes++
	}
}

// Answer is what a box says to a job that it is offered.
type Answer int

// The answers of a box.
const (
	Taken      Answer = iota
	TurnedAway        // no room: nothing of it will run
	Fell              // it was too much for a cold box, which has fallen over with all that it held
)

// Offer brings a job. expires is when nobody waits for it any more; 0 for never. Ids are the caller's, and may not be
// used again while a job has one. As with all calls, Advance to the same time comes first: what ended before is heard of late otherwise.
func (b *Box) Offer(now time.Duration, id uint64, work, expires time.Duration) Answer {
	b.progress(now)
	if b.fallen {
		return TurnedAway
	}
	if b.tips(work.Seconds()) {
		b.fall()
		return Fell
	}
	if b.used() >= b.spec.Slots && b.waiting >= b.spec.Queue {
		return TurnedAway
	}
	b.order++
	j := &job{id: id, work: work.Seconds(), order: b.order, expires: expires}
	free := b.used() < b.spec.Slots
	b.jobs[id] = j
	if free {
		b.begin(j)
	} else {
		j.where = queued
		b.line = append(b.line, j)
		b.waiting++
	}
	b.mood()
	return Taken
}

// Spend has the box do work that is no job: a handshake or a probe.
func (b *Box) Spend(now time.Duration, work time.Duration) Answer {
	b.progress(now)
	if b.fallen || work <= 0 {
		return Taken
	}
	if b.tips(work.Seconds()) {
		b.fall()
		return Fell
	}
	b.order++
	heap.Push(&b.busy, &job{work: work.Seconds(), order: b.order, where: chore, finish: b.attained + work.Seconds()})
	b.mood()
	return Taken
}

// tips tells whether so much more, all at once, makes a cold box fall over.
func (b *Box) tips(work float64) bool {
	if b.warm || b.spec.TipMultiple == 0 || b.now >= b.started+b.spec.Warm {
		b.sent = nil
		return false
	}
	for len(b.sent) > 0 && b.sent[0].at <= b.now-b.spec.TipWindow {
		b.sent = b.sent[1:]
	}
	sum := work
	for _, s := range b.sent {
		sum += s.work
	}
	b.sent = append(b.sent, sent{b.now, work})
	// One job alone never tips a box, however large it is.
	return len(b.sent) > 1 && sum > tipSlack*b.spec.TipMultiple*float64(b.spec.Cores)*b.spec.Speed*b.share(b.now)*b.spec.TipWindow.Seconds()
}

func (b *Box) fall() {
	b.fallen = true
	b.jobs, b.line, b.waiting, b.busy = map[uint64]*job{}, nil, 0, nil
}

func (b *Box) used() int { return len(b.jobs) - b.waiting }

// begin gives a job a slot and the cores.
func (b *Box) begin(j *job) {
	j.where, j.finish = working, b.attained+j.work
	heap.Push(&b.busy, j)
}

// leave takes a job out, and gives its slot to who waits longest.
func (b *Box) leave(j *job, done *[]Done) {
	delete(b.jobs, j.id)
	for b.used() < b.spec.Slots && b.waiting > 0 {
		next := b.line[0]
		b.line = b.line[1:]
		if b.jobs[next.id] != next {
			continue // cancelled in the queue
		}
		b.waiting--
		if b.spec.DropsExpired && next.expires > 0 && b.now >= next.expires {
			delete(b.jobs, next.id)
			if done != nil {
				*done = append(*done, Done{ID: next.id, At: b.now, Expired: true})
			}
			continue
		}
		b.begin(next)
	}
}

// Release ends a job whose work has ended: its slot is free. What expired in the queue as that came to pass is returned.
func (b *Box) Release(now time.Duration, id uint64) []Done {
	b.progress(now)
	j := b.jobs[id]
	if j == nil || j.where != waiting {
		return nil
	}
	var done []Done
	b.leave(j, &done)
	b.mood()
	return done
}

// Resume gives a job whose work had ended more work; it has kept its slot.
func (b *Box) Resume(now time.Duration, id uint64, work time.Duration) {
	b.progress(now)
	j := b.jobs[id]
	if j == nil || j.where != waiting {
		return
	}
	j.work = work.Seconds()
	b.begin(j)
	b.mood()
}

// Cancel withdraws a job. One that waits leaves; one in work leaves where the box stops such work, and else goes on
// for nobody. Stopped tells which; what expired in the queue as its slot became free is returned.
func (b *Box) Cancel(now time.Duration, id uint64) (stopped bool, expired []Done) {
	b.progress(now)
	j := b.jobs[id]
	if j == nil {
		return true, nil
	}
	switch j.where {
	case queued:
		b.waiting--
		delete(b.jobs, id)
		b.tidy()
	case waiting:
		b.leave(j, &expired)
	case working:
		if !b.spec.CancelStops {
			j.where = orphaned
			return false, nil
		}
		heap.Remove(&b.busy, j.at)
		b.leave(j, &expired)
	case orphaned:
		return false, nil
	}
	b.mood()
	return true, expired
}

// tidy drops what was cancelled in the queue, once that is the larger part of it.
func (b *Box) tidy() {
	if len(b.line) <= 2*b.waiting+8 {
		return
	}
	kept := make([]*job, 0, b.waiting)
	for _, j := range b.line {
		if b.jobs[j.id] == j {
			kept = append(kept, j)
		}
	}
	b.line = kept
}

// Slow divides the speed of a box, from now on; 1 is its own.
func (b *Box) Slow(now time.Duration, by float64) {
	b.progress(now)
	b.slowed = max(1, by)
}

// Pause stops all work until a time, as a collector of garbage does.
func (b *Box) Pause(now, until time.Duration) {
	b.progress(now)
	b.pausing = max(b.pausing, until)
}

// Got is the work that a job has been given so far, of what it was offered or resumed with last.
func (b *Box) Got(id uint64) time.Duration {
	j := b.jobs[id]
	switch {
	case j == nil || j.where == queued:
		return 0
	case j.where == waiting:
		return time.Duration(j.work * 1e9)
	}
	return time.Duration(max(0, min(j.work, j.work-(j.finish-b.attained))) * 1e9)
}

// Held is how many jobs it holds, in work and waiting.
func (b *Box) Held() int { return len(b.jobs) }

// Queued is how many wait for a slot.
func (b *Box) Queued() int { return b.waiting }

// Fallen tells whether it has fallen over.
func (b *Box) Fallen() bool { return b.fallen }

// Chokes is how often it has choked.
func (b *Box) Chokes() int { return b.chokes }

// Busy is the time that its cores have been busy, together.
func (b *Box) Busy() time.Duration { return time.Duration(b.total * 1e9) }

// Capacity is what it can do now in a second, in seconds of work.
func (b *Box) Capacity() float64 {
	if b.fallen {
		return 0
	}
	c := float64(b.spec.Cores) * b.spec.Speed / b.slowed * b.share(b.now)
	if b.choked > 0 {
		c /= b.spec.Choke.Slower
	}
	return c
}

// Seen is the newest load report that can be seen, false if there is none.
func (b *Box) Seen() (Report, bool) {
	for i := len(b.reports) - 1; i >= 0; i-- {
		if b.reports[i].at+b.spec.ReportDelay <= b.now {
			return b.reports[i].Report, true
		}
	}
	return Report{}, false
}

// byFinish is a heap of the jobs that share the cores.
type byFinish []*job

func (b byFinish) Len() int { return len(b) }
func (b byFinish) Less(i, j int) bool {
	if b[i].finish != b[j].finish {
		return b[i].finish < b[j].finish
	}
	return b[i].order < b[j].order
}

func (b byFinish) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].at, b[j].at = i, j
}

func (b *byFinish) Push(x any) {
	j := x.(*job)
	j.at = len(*b)
	*b = append(*b, j)
}

func (b *byFinish) Pop() any {
	old := *b
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*b = old[:len(old)-1]
	return j
}
