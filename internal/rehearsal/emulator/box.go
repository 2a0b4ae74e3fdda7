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

	// A box that starts has ColdShare of its capacity (above 0, to 1), which rises evenly to the whole within Warm.
	ColdShare float64
	WarmUp    time.Duration
	// While it warms up, more than OverloadFactor times its capacity, sent to it within OverloadWindow, makes it fall over
	// for good. 0 for never.
	OverloadFactor float64
	OverloadWindow time.Duration

	CancelStopsWork bool // a cancel stops work in progress, not only waiting work
	DropsExpired    bool // a job whose time is up when it would get a slot is dropped

	Congestion *Congestion // nil for never

	ReportEvery time.Duration // of load reports; 0 for none
	ReportDelay time.Duration // how old a report is before it can be seen

	Connections   int           // that it holds; 0 for no bound
	HandshakeWork time.Duration // that a new connection costs it
}

// Congestion is how a box turns slow when it is crowded for too long, and recovers.
type Congestion struct {
	MinJobs             int           // so many jobs held,
	After               time.Duration // for so long without a break, choke it;
	SlowdownFactor      float64       // its speed is divided by this,
	RecoveryUtilization float64       // until less than this share of its cores was busy
	RecoveryTime        time.Duration // for so long,
	MaxDuration         time.Duration // or this time is up.
}

// Validate tells why a Spec cannot be, nil if it can.
func (s *Spec) Validate() error {
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"cores: below 1", s.Cores >= 1},
		{"speed: not above 0", s.Speed > 0 && !math.IsInf(s.Speed, 0)},
		{"slots: below 1", s.Slots >= 1},
		{"queue: below 0", s.Queue >= 0},
		{"cold: not above 0 and at most 1", s.ColdShare > 0 && s.ColdShare <= 1},
		{"warm: below 0", s.WarmUp >= 0},
		{"thrash: not from 0 to 1", s.Thrash >= 0 && s.Thrash <= 1},
		{"thrash_at: below 1", s.Thrash == 0 || s.ThrashAt >= 1},
		{"tip_window: not above 0", s.OverloadFactor == 0 || s.OverloadFactor > 0 && s.OverloadWindow > 0},
		{"choke: slower: below 1", s.Congestion == nil || s.Congestion.SlowdownFactor >= 1},
	} {
		if !f.ok {
			return fmt.Errorf("%s", f.name)
		}
	}
	return nil
}

// LoadReport is a load report, as a box makes them now and then.
type LoadReport struct {
	InFlight    int     // jobs held
	Queued      int     // of these, waiting for a slot
	Utilization float64 // share of the cores that was busy since the report before
}

type jobState int

const (
	queued   jobState = iota
	working           // shares the cores
	blocked           // holds a slot, and waits for somebody else
	orphaned          // working, and nobody wants it
	overhead          // shares the cores, and needs no slot
)

type job struct {
	id        uint64
	work      float64 // seconds of one core of speed 1
	finish    float64 // what attained has to reach
	heapIndex int     // in the heap
	order     uint64
	state     jobState
	expires   time.Duration
}

// minThrashShare is the share of its speed that thrashing leaves a box at least.
const minThrashShare = 0.25

// overloadTolerance is how much more than the multiple makes a cold box fall, for chance.
const overloadTolerance = 1.1

// Server is one server. Its methods take the time; see the package.
type Server struct {
	spec      Spec
	now       time.Duration
	startedAt time.Duration // it is cold from here on
	warmedUp  bool          // it has been up for long

	jobs       map[uint64]*job
	queue      []*job // the queue, and what was cancelled in it
	queuedJobs int    // jobs in line that still want a slot
	running    finishHeap
	attained   float64 // what each job that shares the cores has got since the start, in seconds at speed 1
	order      uint64

	slowdown    float64 // divides its speed; 1 or more
	pausedUntil time.Duration
	collapsed   bool
	offered     []offeredWork // while it is cold, newest last

	crowdedSince   time.Duration // since when it holds too much; -1 if not
	idleSince      time.Duration // since when it is mostly idle; -1 if not
	congestedUntil time.Duration // until when at most; 0 if not
	congestions    int

	reports           []timedReport
	nextReport        time.Duration
	workedSinceReport float64 // core seconds since the last snapshot
	worked            float64 // core seconds, since the start
}

type offeredWork struct {
	at   time.Duration
	work float64
}

type timedReport struct {
	at time.Duration
	LoadReport
}

// NewServer is a box that has been up for long, or, with cold set, one that starts now.
func NewServer(spec Spec, now time.Duration, cold bool) *Server {
	return &Server{
		spec: spec, now: now, startedAt: now, warmedUp: !cold, jobs: map[uint64]*job{}, slowdown: 1, crowdedSince: -1, idleSince: -1,
		nextReport: now + spec.ReportEvery,
	}
}

// warmShare is the part of its capacity that a box has at a time, for it is cold.
func (b *Server) warmShare(at time.Duration) float64 {
	if b.warmedUp || at >= b.startedAt+b.spec.WarmUp {
		return 1
	}
	return b.spec.ColdShare + (1-b.spec.ColdShare)*float64(at-b.startedAt)/float64(b.spec.WarmUp)
}

// jobRate is what one job gets a second, but for the cold.
func (b *Server) jobRate() float64 {
	n := len(b.running)
	if n == 0 || b.now < b.pausedUntil {
		return 0
	}
	r := b.spec.Speed / b.slowdown
	if held := b.Jobs(); b.spec.Thrash > 0 && held > b.spec.ThrashAt {
		r *= max(minThrashShare, 1-b.spec.Thrash*float64(held-b.spec.ThrashAt)/float64(b.spec.ThrashAt))
	}
	if b.congestedUntil > 0 {
		r /= b.spec.Congestion.SlowdownFactor
	}
	return r * min(1, float64(b.spec.Cores)/float64(n))
}

// progressUntil is what a job of rate 1 gets from now until then: the area under share.
func (b *Server) progressUntil(to time.Duration) float64 {
	from, full := b.now, b.startedAt+b.spec.WarmUp
	if b.warmedUp || from >= full {
		return (to - from).Seconds()
	}
	if to <= full {
		return (to - from).Seconds() * (b.warmShare(from) + b.warmShare(to)) / 2
	}
	return (full-from).Seconds()*(b.warmShare(from)+1)/2 + (to - full).Seconds()
}

// finishTime is when a job of rate 1 will have got so much from now on, rounded up: at that time it has.
func (b *Server) finishTime(amount float64) time.Duration {
	if amount <= 0 {
		return b.now
	}
	full := b.startedAt + b.spec.WarmUp
	if b.warmedUp || b.now >= full {
		return addSeconds(b.now, amount)
	}
	if ramp := b.progressUntil(full); amount > ramp {
		return addSeconds(full, amount-ramp)
	}
	// amount = s*t + k*t*t/2
	s, k := b.warmShare(b.now), (1-b.spec.ColdShare)/b.spec.WarmUp.Seconds()
	if k == 0 {
		return addSeconds(b.now, amount/s)
	}
	return addSeconds(b.now, 2*amount/(s+math.Sqrt(s*s+2*k*amount)))
}

// never is later than any rehearsal.
const never = time.Duration(math.MaxInt64)

func addSeconds(t time.Duration, seconds float64) time.Duration {
	if seconds > 1e6 {
		return never
	}
	return t + time.Duration(math.Ceil(seconds*1e9))
}

// advanceReports brings all work up to a time at which nothing happens before it.
func (b *Server) advanceReports(to time.Duration) {
	for b.spec.ReportEvery > 0 && b.nextReport <= to {
		b.advanceWork(b.nextReport)
		period := b.spec.ReportEvery.Seconds() * float64(b.spec.Cores)
		b.reports = append(b.reports, timedReport{b.now, LoadReport{b.Jobs(), b.queuedJobs, min(1, b.workedSinceReport/period)}})
		b.workedSinceReport = 0
		b.nextReport += b.spec.ReportEvery
		for len(b.reports) > 1 && b.reports[1].at+b.spec.ReportDelay <= b.now {
			b.reports = b.reports[1:]
		}
	}
	b.advanceWork(to)
}

func (b *Server) advanceWork(to time.Duration) {
	if to <= b.now {
		return
	}
	if r := b.jobRate(); r > 0 {
		b.attained += r * b.progressUntil(to)
		cores := (to - b.now).Seconds() * float64(min(len(b.running), b.spec.Cores))
		b.workedSinceReport += cores
		b.worked += cores
	}
	b.now = to
}

// nextChange is when a box changes next by itself.
func (b *Server) nextChange() time.Duration {
	next := never
	if b.now < b.pausedUntil {
		next = b.pausedUntil
	} else if r := b.jobRate(); r > 0 {
		next = b.finishTime((b.running[0].finish - b.attained) / r)
	}
	if c := b.spec.Congestion; c != nil {
		switch {
		case b.congestedUntil > 0:
			next = min(next, b.congestedUntil)
			if b.idleSince >= 0 {
				next = min(next, b.idleSince+c.RecoveryTime)
			}
		case b.crowdedSince >= 0:
			next = min(next, b.crowdedSince+c.After)
		}
	}
	return next
}

// Next is when the box wants to be looked at; false if nothing will happen by itself.
func (b *Server) Next() (time.Duration, bool) {
	next := b.nextChange()
	return next, next < never
}

// Completion is a job whose work has ended.
type Completion struct {
	ID uint64
	At time.Duration
	// Expired tells that its time was up before it got a slot: nothing was done of it, and it has left.
	Expired bool
}

// Advance brings the box up to a time and returns, in order, the jobs that have ended their work. Each keeps its
// slot until Release or Resume, unless it expired.
func (b *Server) Advance(now time.Duration) []Completion {
	var done []Completion
	if b.collapsed {
		b.now = max(b.now, now)
		return nil
	}
	for {
		next := b.nextChange()
		if next > now {
			break
		}
		b.advanceReports(next)
		for len(b.running) > 0 && b.now >= b.pausedUntil && b.running[0].finish <= b.attained*(1+1e-12)+1e-12 {
			j := heap.Pop(&b.running).(*job)
			switch j.state {
			case overhead:
			case orphaned:
				b.remove(j, &done)
			default:
				j.state = blocked
				done = append(done, Completion{ID: j.id, At: b.now})
			}
		}
		b.updateCongestion()
	}
	b.advanceReports(now)
	return done
}

// updateCongestion follows whether the box is crowded, and when it chokes and recovers.
func (b *Server) updateCongestion() {
	c := b.spec.Congestion
	if c == nil {
		return
	}
	if b.Jobs() < c.MinJobs {
		b.crowdedSince = -1
	} else if b.crowdedSince < 0 {
		b.crowdedSince = b.now
	}
	if float64(len(b.running)) >= c.RecoveryUtilization*float64(b.spec.Cores) {
		b.idleSince = -1
	} else if b.idleSince < 0 {
		b.idleSince = b.now
	}
	switch {
	case b.congestedUntil > 0 && (b.now >= b.congestedUntil || b.idleSince >= 0 && b.now >= b.idleSince+c.RecoveryTime):
		b.congestedUntil, b.crowdedSince = 0, -1
	case b.congestedUntil == 0 && b.crowdedSince >= 0 && b.now >= b.crowdedSince+c.After:
		b.congestedUntil = b.now + c.MaxDuration
		b.congestions++
	}
}

// Admission is what a box says to a job that it is offered.
type Admission int

// The answers of a box.
const (
	Accepted  Admission = iota
	Rejected            // no room: nothing of it will run
	Collapsed           // it was too much for a cold box, which has fallen over with all that it held
)

// Offer brings a job. expires is when nobody waits for it any more; 0 for never. Ids are the caller's, and may not be
// used again while a job has one. As with all calls, Advance to the same time comes first: what ended before is heard of late otherwise.
func (b *Server) Offer(now time.Duration, id uint64, work, expires time.Duration) Admission {
	b.advanceReports(now)
	if b.collapsed {
		return Rejected
	}
	if b.overloads(work.Seconds()) {
		b.collapse()
		return Collapsed
	}
	if b.usedSlots() >= b.spec.Slots && b.queuedJobs >= b.spec.Queue {
		return Rejected
	}
	b.order++
	j := &job{id: id, work: work.Seconds(), order: b.order, expires: expires}
	free := b.usedSlots() < b.spec.Slots
	b.jobs[id] = j
	if free {
		b.begin(j)
	} else {
		j.state = queued
		b.queue = append(b.queue, j)
		b.queuedJobs++
	}
	b.updateCongestion()
	return Accepted
}

// AddOverhead has the box do work that is no job: a handshake or a probe.
func (b *Server) AddOverhead(now time.Duration, work time.Duration) Admission {
	b.advanceReports(now)
	if b.collapsed || work <= 0 {
		return Accepted
	}
	if b.overloads(work.Seconds()) {
		b.collapse()
		return Collapsed
	}
	b.order++
	heap.Push(&b.running, &job{work: work.Seconds(), order: b.order, state: overhead, finish: b.attained + work.Seconds()})
	b.updateCongestion()
	return Accepted
}

// overloads tells whether so much more, all at once, makes a cold box fall over.
func (b *Server) overloads(work float64) bool {
	if b.warmedUp || b.spec.OverloadFactor == 0 || b.now >= b.startedAt+b.spec.WarmUp {
		b.offered = nil
		return false
	}
	for len(b.offered) > 0 && b.offered[0].at <= b.now-b.spec.OverloadWindow {
		b.offered = b.offered[1:]
	}
	sum := work
	for _, s := range b.offered {
		sum += s.work
	}
	b.offered = append(b.offered, offeredWork{b.now, work})
	// One job alone never tips a box, however large it is.
	return len(b.offered) > 1 && sum > overloadTolerance*b.spec.OverloadFactor*float64(b.spec.Cores)*b.spec.Speed*b.warmShare(b.now)*b.spec.OverloadWindow.Seconds()
}

func (b *Server) collapse() {
	b.collapsed = true
	b.jobs, b.queue, b.queuedJobs, b.running = map[uint64]*job{}, nil, 0, nil
}

func (b *Server) usedSlots() int { return len(b.jobs) - b.queuedJobs }

// begin gives a job a slot and the cores.
func (b *Server) begin(j *job) {
	j.state, j.finish = working, b.attained+j.work
	heap.Push(&b.running, j)
}

// remove takes a job out, and gives its slot to who waits longest.
func (b *Server) remove(j *job, done *[]Completion) {
	delete(b.jobs, j.id)
	for b.usedSlots() < b.spec.Slots && b.queuedJobs > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if b.jobs[next.id] != next {
			continue // cancelled in the queue
		}
		b.queuedJobs--
		if b.spec.DropsExpired && next.expires > 0 && b.now >= next.expires {
			delete(b.jobs, next.id)
			if done != nil {
				*done = append(*done, Completion{ID: next.id, At: b.now, Expired: true})
			}
			continue
		}
		b.begin(next)
	}
}

// Release ends a job whose work has ended: its slot is free. What expired in the queue as that came to pass is returned.
func (b *Server) Release(now time.Duration, id uint64) []Completion {
	b.advanceReports(now)
	j := b.jobs[id]
	if j == nil || j.state != blocked {
		return nil
	}
	var done []Completion
	b.remove(j, &done)
	b.updateCongestion()
	return done
}

// Resume gives a job whose work had ended more work; it has kept its slot.
func (b *Server) Resume(now time.Duration, id uint64, work time.Duration) {
	b.advanceReports(now)
	j := b.jobs[id]
	if j == nil || j.state != blocked {
		return
	}
	j.work = work.Seconds()
	b.begin(j)
	b.updateCongestion()
}

// Cancel withdraws a job. One that waits leaves; one in work leaves where the box stops such work, and else goes on
// for nobody. Stopped tells which; what expired in the queue as its slot became free is returned.
func (b *Server) Cancel(now time.Duration, id uint64) (stopped bool, expired []Completion) {
	b.advanceReports(now)
	j := b.jobs[id]
	if j == nil {
		return true, nil
	}
	switch j.state {
	case queued:
		b.queuedJobs--
		delete(b.jobs, id)
		b.compactQueue()
	case blocked:
		b.remove(j, &expired)
	case working:
		if !b.spec.CancelStopsWork {
			j.state = orphaned
			return false, nil
		}
		heap.Remove(&b.running, j.heapIndex)
		b.remove(j, &expired)
	case orphaned:
		return false, nil
	}
	b.updateCongestion()
	return true, expired
}

// compactQueue drops what was cancelled in the queue, once that is the larger part of it.
func (b *Server) compactQueue() {
	if len(b.queue) <= 2*b.queuedJobs+8 {
		return
	}
	kept := make([]*job, 0, b.queuedJobs)
	for _, j := range b.queue {
		if b.jobs[j.id] == j {
			kept = append(kept, j)
		}
	}
	b.queue = kept
}

// Slow divides the speed of a box, from now on; 1 is its own.
func (b *Server) Slow(now time.Duration, by float64) {
	b.advanceReports(now)
	b.slowdown = max(1, by)
}

// Pause stops all work until a time, as a collector of garbage does.
func (b *Server) Pause(now, until time.Duration) {
	b.advanceReports(now)
	b.pausedUntil = max(b.pausedUntil, until)
}

// WorkDone is the work that a job has been given so far, of what it was offered or resumed with last.
func (b *Server) WorkDone(id uint64) time.Duration {
	j := b.jobs[id]
	switch {
	case j == nil || j.state == queued:
		return 0
	case j.state == blocked:
		return time.Duration(j.work * 1e9)
	}
	return time.Duration(max(0, min(j.work, j.work-(j.finish-b.attained))) * 1e9)
}

// Jobs is how many jobs it holds, in work and waiting.
func (b *Server) Jobs() int { return len(b.jobs) }

// QueueLength is how many wait for a slot.
func (b *Server) QueueLength() int { return b.queuedJobs }

// Collapsed tells whether it has fallen over.
func (b *Server) Collapsed() bool { return b.collapsed }

// Congestions is how often it has choked.
func (b *Server) Congestions() int { return b.congestions }

// BusyTime is the time that its cores have been busy, together.
func (b *Server) BusyTime() time.Duration { return time.Duration(b.worked * 1e9) }

// Capacity is what it can do now in a second, in seconds of work.
func (b *Server) Capacity() float64 {
	if b.collapsed {
		return 0
	}
	c := float64(b.spec.Cores) * b.spec.Speed / b.slowdown * b.warmShare(b.now)
	if b.congestedUntil > 0 {
		c /= b.spec.Congestion.SlowdownFactor
	}
	return c
}

// LoadReport is the newest load report that can be seen, false if there is none.
func (b *Server) LoadReport() (LoadReport, bool) {
	for i := len(b.reports) - 1; i >= 0; i-- {
		if b.reports[i].at+b.spec.ReportDelay <= b.now {
			return b.reports[i].LoadReport, true
		}
	}
	return LoadReport{}, false
}

// finishHeap is a heap of the jobs that share the cores.
type finishHeap []*job

func (f finishHeap) Len() int { return len(f) }
func (f finishHeap) Less(i, j int) bool {
	if f[i].finish != f[j].finish {
		return f[i].finish < f[j].finish
	}
	return f[i].order < f[j].order
}

func (f finishHeap) Swap(i, j int) {
	f[i], f[j] = f[j], f[i]
	f[i].heapIndex, f[j].heapIndex = i, j
}

func (f *finishHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*f)
	*f = append(*f, j)
}

func (f *finishHeap) Pop() any {
	old := *f
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*f = old[:len(old)-1]
	return j
}
