package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quincegap/internal/structures/throttle"
)

// This file takes each event in and acts on it. What to do is decided in admission.go, limits.go, pick.go,
// health.go and retry.go; here, when lists are asked for. Interface: api.go (settings, events, actions).

// Tunables; those of the other files are at their tops. Times are ratios of settings or of what is observed.
const (
	refreshShare = 0.5  // of AskEvery (or Cold): the pace of fetching lists after broken connections
	listsAtOnce  = 16.0 // of these, that all instances ask for in that time
	watchShare   = 0.05 // of AskEvery: spread of the first Watch; it doubles with each failure
	tickQuanta   = 4    // quanta between looks at held and overdue calls
)

// Balancer decides for one instance. It is not safe for concurrent use.
type Balancer struct {
	set     Settings
	host    Host
	rng     *rand.Rand
	window  time.Duration // over which rates are smoothed
	tick    time.Duration
	ticking bool

	fleet
	byID     map[EndpointID]*endpoint
	listed   []*endpoint // in the order of their ids
	weighted bool        // the listed weights tell endpoints apart
	requests map[RequestID]*request
	classes  []*class
	kinds    []pace // by machine kind
	speeds   speeds
	tenants  []bucket
	all      bucket // what all tenants may ask for within their shares
	held     []*request
	waits    portion // of late in which some were
	scratch  []*endpoint

	out              int     // attempts in flight
	busy             busy    // endpoints that have some
	isolated         int     // endpoints
	lost             int     // those of them that no answer is expected for
	answered         int     // answers of any kind
	rate             flow    // base latencies answered a second: the calls in flight at little load
	limit            float64 // on calls in flight
	queue            float64 // calls that may queue for each endpoint and tier
	queueAt, countAt time.Duration
	seats            float64 // endpoints in this instance's subset
	spare            flow    // the same for the time from base latency to the aim
	served           flow    // answers a second
	asked            flow    // requests a second
	strain           float64 // smoothed latency over what it should at most be on average
	pace             float64 // calls a second that may be sent
	paced            bool    // the strain was above 1, and has not let go
	strainAt         time.Duration
	credit           float64
	creditAt         time.Duration
	warm             flow              // sends a second to warm endpoints, for their odds
	errors           float64           // smoothed share of answers that are errors
	strays           float64           // and of overdue calls that stay away for longer
	budget           float64           // further attempts that may be made
	noneWarm         bool              // none in the subset
	vain             throttle.Throttle // attempts that may end without having run
	quits            int               // attempts withdrawn whose end is still to come

	repeatSpent float64 // mean time, in seconds, that repeats had spent where they show it

	endsAt     time.Duration // when this instance ends, where that is known
	fetchAt    time.Duration // no fetch before
	watchPause time.Duration
}

// Timer tokens.
const tokenTick, tokenWatch = 0, 1

// New makes a Balancer, or names the setting that it cannot act on.
func New(set Settings, seed uint64, host Host) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, host: host, fleet: newFleet(), rng: rand.New(rand.NewPCG(seed, 0x6a617370)),
		byID: map[EndpointID]*endpoint{}, requests: map[RequestID]*request{}, budget: retryReserve,
		queue: queueHolds, strays: 0.5, endsAt: math.MaxInt64}
	b.window, b.sharing = cmp.Or(set.Fall, time.Second), float64(set.Instances)
	b.tick = max(tickQuanta*set.Quantum, time.Millisecond)
	for _, c := range set.Classes {
		b.addClass(c)
	}
	return b, nil
}

// Request takes a new request.
func (b *Balancer) Request(now time.Duration, q Request) {
	c := b.classes[q.Class]
	low, spare := b.beyondShare(now, q)
	r := &request{id: q.ID, class: c, deadline: min(now+q.Left, b.endsAt), low: low,
		most: b.set.most(&q), each: q.Each, from: b.not(q.Not), times: cmp.Or(q.Times, 1),
		mayRun: q.Earlier.MayRun, zone: q.Earlier.Zone, cell: q.Earlier.Cell, runAt: q.Earlier.At}
	r.aimBy = min(now+c.Aim-b.spent(c, q), b.endsAt)
	b.requests[q.ID] = r
	if q.Left <= 0 || low && !spare || b.closing(now, c, q) || !b.repeatable(now, r) {
		b.finish(now, r)
		return
	}
	b.asked.add(now, b.window, 1)
	b.tally(c)
	b.hold(r)
	b.place(now)
	b.arm()
}

// Leave tells when this instance ends. All that it has or takes is answered by then: what can hardly be
// served in time is refused at once. Calls that are out then are the host's to end.
func (b *Balancer) Leave(now, at time.Duration) {
	b.endsAt = at
	for _, r := range b.requests {
		r.deadline, r.aimBy = min(r.deadline, at), min(r.aimBy, at)
	}
	b.place(now)
}

// place sends held requests, the most worth first, while there is room.
func (b *Balancer) place(now time.Duration) {
	b.raise(now)
	if b.stale {
		b.count(now)
	}
	b.refit(now)
	if len(b.held) > 1 {
		b.rateClasses()
	}
	for len(b.held) > 0 {
		if float64(b.out-b.lost) >= b.limit || b.paced && b.credit < 1 || !b.vain.Open() {
			break
		}
		i := b.next(now)
		r := b.held[i]
		e, trial := b.pick(now, r)
		if e == nil {
			if !b.placeOther(now, i) {
				break
			}
			continue
		}
		b.unhold(i)
		b.send(now, r, e, trial)
	}
	b.shed(now)
}

// placeOther places another request when the first in line, on a further attempt or a repeat, and so bound
// to a group or barred from an endpoint, has nowhere to go.
func (b *Balancer) placeOther(now time.Duration, not int) bool {
	if b.held[not].attempts == 0 && !b.held[not].mayRun {
		return false
	}
	for i, r := range b.held {
		if i == not {
			continue
		}
		if e, trial := b.pick(now, r); e != nil {
			b.unhold(i)
			b.send(now, r, e, trial)
			return true
		}
	}
	return false
}

// send makes an attempt.
func (b *Balancer) send(now time.Duration, r *request, e *endpoint, trial bool) {
	r.to, r.sentAt, r.trial, r.answered, r.quit = e, now, trial, b.answered, false
	r.overtaken, r.lost, r.stray = 0, false, false
	r.attempts++
	b.credit--
	b.vain.Sent()
	if e.mark != isolated {
		b.out++
	}
	e.calls = append(e.calls, r)
	b.busy.note(e)
	if e.mark == ramping {
		e.tokens--
	} else if e.mark == isolated {
		b.settle(now, e)
	}
	if w := b.warmOdds(); w > 0 && e.mark == usable && e.part > 0 {
		b.warm.add(now, b.window, 1/w)
	}
	timeout, slow := r.each, seconds(silentTails*r.class.tail*r.class.mean)
	if !b.set.MayCancel && r.class.Effect != Unsafe && slow > 0 {
		timeout = min(slow, cmp.Or(timeout, slow))
	}
	if timeout >= r.deadline-now {
		timeout = 0
	}
	b.host.Send(r.id, e.id, timeout)
}

// Begun tells that a streamed answer has started: the request is the client's from here on.
func (b *Balancer) Begun(now time.Duration, id RequestID, attempt int, from EndpointID) {
	if r := b.requests[id]; r != nil && r.to != nil {
		r.stream = true
		r.to.lastAnswer = now
		b.answered++
	}
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || r.to == nil {
		return
	}
	e := r.to
	r.to = nil
	if r.quit {
		b.quits--
	}
	if e.mark != isolated {
		b.out--
	}
	e.calls = slices.DeleteFunc(e.calls, func(x *request) bool { return x == r })
	b.busy.note(e)
	b.freed = e
	if e.mark == isolated {
		b.settle(now, e)
	}
	if o.Status == OK {
		b.vain.Ran(min(vainMost, max(rampHeadroom*b.set.TipMultiple-1, retryShare)))
	} else if !o.Status.NeverRan() {
		b.vain.Ran(0)
	}
	b.report(now, e, o.Load)
	b.judge(now, r, e, o)
	if o.Final || r.done || r.stream {
		if !o.Final && !r.done {
			b.host.Fail(r.id)
		}
		delete(b.requests, r.id)
	} else {
		b.again(now, r, e, o)
	}
	b.place(now)
	b.arm()
}

// Lapsed tells that the client has gone: nothing is owed, and work for it is called off.
func (b *Balancer) Lapsed(now time.Duration, id RequestID) {
	r := b.requests[id]
	if r == nil {
		return
	}
	r.done = true
	if r.held {
		b.unhold(slices.Index(b.held, r))
	}
	if r.to == nil {
		delete(b.requests, id)
		return
	}
	b.withdraw(r)
}

// arm keeps the tick going while anything is held or in flight.
func (b *Balancer) arm() {
	if !b.ticking && len(b.requests) > 0 {
		b.ticking = true
		b.host.SetTimer(tokenTick, b.tick)
	}
}

// Timer takes a timer that fell due.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case tokenTick:
		b.ticking = false
		b.lost = 0
		b.raise(now)
		b.dry, b.freed = [2]bool{}, nil
		// Where none is warm no send can renew what ramps go by: it faded, and with it what cold ones got.
		if b.noneWarm = b.warmOdds() == 0; b.noneWarm {
			b.warm.rest(now, b.window)
		}
		for _, e := range b.busy {
			b.age(now, e)
			b.miss(now, e)
		}
		b.place(now)
		b.arm()
	case tokenWatch:
		b.host.Watch(true)
	}
}

// Targets takes news of the endpoint list.
func (b *Balancer) Targets(now time.Duration, l List) {
	if l.Kind == Failed {
		b.rewatch()
		return
	}
	if l.Kind != Delta {
		for _, e := range b.listed {
			e.listed = false
		}
	}
	if b.tenants == nil {
		b.meter(now)
	}
	for _, x := range l.Entries {
		b.entry(now, l, x)
	}
	b.relist(now, l)
	b.dry, b.freed = [2]bool{}, nil
	switch {
	case l.Kind == Cached && b.set.MustAsk:
		b.rewatch()
	case l.Kind != Cached:
		b.watchPause = 0
	}
	b.place(now)
	b.arm()
}

// rewatch subscribes after a pause that doubles with each failure, spread so that not all ask at once.
func (b *Balancer) rewatch() {
	if !b.set.MustAsk {
		return
	}
	first := max(seconds(watchShare*b.set.AskEvery.Seconds()), b.tick)
	b.watchPause = min(max(2*b.watchPause, first), max(b.set.AskEvery, first))
	b.host.SetTimer(tokenWatch, seconds(b.watchPause.Seconds()*b.rng.Float64()))
}

// refresh asks for a fresh list after a broken connection, at a pace. What breaks breaks for many instances
// at once, and discovery is one service for all: of more than listsAtOnce so many ask on average, by lot. The
// others hear of it as of any change.
func (b *Balancer) refresh(now time.Duration) {
	if now < b.fetchAt {
		return
	}
	pace := cmp.Or(b.set.AskEvery, max(b.set.Cold, b.window))
	b.fetchAt = now + b.jitter(seconds(refreshShare*pace.Seconds()))
	if n := b.sharing; n <= listsAtOnce || b.rng.Float64()*n < listsAtOnce {
		b.host.Fetch()
	}
}

// entry takes one line of a list.
func (b *Balancer) entry(now time.Duration, l List, x Entry) {
	e := b.byID[x.Endpoint]
	if e == nil {
		e = &endpoint{id: x.Endpoint, mark: leaving}
		b.byID[x.Endpoint] = e
		b.news = append(b.news, e)
	}
	moved := !e.alike(x)
	e.zone, e.cell, e.kind, e.version = x.Zone, x.Cell, max(x.Kind, 0), l.Version
	e.weight, e.listed = max(x.Weight, 0), x.State != Gone
	b.fleet.weigh(e)
	restarted := x.Started > e.started
	e.started = max(e.started, x.Started)
	switch {
	case x.State != Ready:
		b.leave(now, e)
	case restarted && now-x.Started < b.set.Cold:
		e.errors, e.debts = 0, nil
		b.ramp(now, e, x.Started)
	case restarted, e.mark == leaving:
		b.reopen(e)
		e.mark = usable
		b.seat(now, e)
	case moved:
		b.seat(now, e)
	}
}

// Probed takes the result of a probe; this Balancer sends none, and passes it over.
func (b *Balancer) Probed(now time.Duration, p Probed) {}

// Told takes a peer's message; this Balancer sends none, and passes it over.
func (b *Balancer) Told(now time.Duration, from int, data []byte) {}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (0.75 + 0.5*b.rng.Float64()))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
