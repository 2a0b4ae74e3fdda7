// Interface: api.go (settings, events, actions). This file holds all decisions.

package gingerlead

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gingerlead/internal/structures/throttle"
)

// Tunables. Times are ratios of settings or of what is observed.
const (
	candidates = 2 // distinct endpoints drawn for a pick, as the design has it
	// callers is how many instances should call one endpoint; where more would, each keeps to a subset, in
	// which its own counts and answers tell it something.
	callers = 3
	// subsetLeast is the fewest endpoints' worth of weight in a subset: with one, there is nothing to compare.
	subsetLeast = 2.0
	// arcsFrom is the size from which a subset is by the endpoints' ids alone, so that one that comes or goes
	// moves no other's place; it stays so down to arcsTo. Smaller ones would differ too much by chance.
	arcsFrom = 64.0
	arcsTo   = 48.0
	arcsOpen = 0.5 // part of such a subset that has to be usable: else it grows to twice the size

	// Limits: in flight there may be what is answered at base latency, and a queue: so many calls for each
	// endpoint and tier from here on, no more than a share of the first, and none that would use up the time to
	// the aim. More only waits there instead of here, is answered late, and may choke endpoints.
	queueHolds    = 0.75  // calls for each endpoint and tier at first, and within these bounds:
	queueLeast    = 0.6   // so little never choked one
	queueMost     = 1.6   // more only delays
	queueGrows    = 0.012 // part it grows by in a rate window in which calls were held
	queueShrinks  = 0.6   // part that is left when an endpoint chokes
	chokedAt      = 1.7   // times its kind's pace: an endpoint has choked,
	unchokedAt    = 1.3   // and has recovered
	queueShare    = 0.8
	aimShare      = 0.5  // of the time from base latency to the aim; the rest is for slow calls
	startHolds    = 5.0  // the limit at first, for each endpoint that is this instance's share of the tier
	leastHolds    = 1.2  // and the least it may come to
	limitSlack    = 2.0  // calls that any endpoint, and the fleet, may hold beyond its share
	endpointShare = 1.5  // of an even share of the limit, that one endpoint may hold
	slackMeans    = 1.8  // mean latencies that must be left until the aim when a call is sent
	peakHold      = 5.0  // how long a peak rate is remembered, in rate windows
	baseAnswers   = 16   // answers, and one rate window, averaged for one look at the base latency
	baseFall      = 0.3  // how fast the base latency follows lower ones
	baseSkip      = 1    // first windows that do not count
	baseRise      = 0.02 // and higher ones: slowly, so that an overload is not taken for normal
	usualRise     = 0.08 // and how fast the usual latency, that strain is measured against, follows higher ones
	kindWeight    = 0.02 // of one answer in the pace of a kind,
	paceWeight    = 0.1  // and of an endpoint
	reportWeight  = 0.3  // of one report in an endpoint's service time
	paceTrust     = 4.0  // answers that the pace of its kind counts for
	latencyWeight = 0.05 // weight of one answer in a class's mean latency

	bucketLeast = 8.0 // requests that chance may bring together, at any rate,
	bucketStart = 2.0 // and at the start
	tenantBurst = 4.0 // seconds of its share that a tenant may save up,
	allBurst    = 1.0 // and all tenants together

	// Strain: what calls take, over what they should at most take on average. Above 1 calls are paced, for where
	// an instance has a call or two in flight a limit on their number holds nothing back.
	strainBase   = 1.5  // usual latencies that calls should take at most on average,
	strainAim    = 0.55 // and part of the aim
	strainWeight = 0.12 // of one answer at most,
	strainAims   = 2.0  // and all those of so many aims count alike
	strainGain   = 1.5  // part of the pace that one second of a strain of 2 takes off
	strainMost   = 4.0  // the most that one call may tell
	paceMost     = 1.5  // of the peak rate of requests: the pace when nothing is held back
	paceLeast    = 0.15 // and the least, of that
	paceBurst    = 2.0  // calls that may be sent at once, or those of half a second

	// Silence: no answer of any kind since a call was sent, while others answer.
	suspectAfter  = 3.0 // mean latencies until an endpoint is passed over
	tailStart     = 6.0 // first guess of the latency that one answer in a hundred passes, in means
	tailShare     = 0.01
	tailStep      = 0.3  // how far one answer moves that guess, in means
	silentTails   = 4.0  // such latencies until silence isolates on one call
	silentCalls   = 2    // so many calls isolate it at suspectAfter already
	othersAnswers = 4    // answers of others in that time that make silence its own
	lossWeight    = 0.05 // of one call in an endpoint's share of lost ones: two in a row pass losesAt
	losesAt       = 0.12 // share of calls that an endpoint loses, not one that is slow now and then
	stuckTails    = 0.6  // such latencies until a call that so many later ones overtook leaves room for others,
	lostTails     = 1.1  // and until it counts as lost
	strayTails    = 1.5  // and until it is sent again, where most that count as lost go unanswered until then
	strayWeight   = 0.3  // of one call that counts as lost, in the fleet's share of those that do
	straysAt      = 0.6  // that share from which on it is; at first it is taken for a half

	// Errors: an endpoint is judged against the fleet, for the tier below may be at fault.
	errorWeight   = 0.3  // of one answer in an endpoint's error share: two in a row pass ejectAt
	fleetWeight   = 0.02 // of one answer in the fleet's
	ejectAt       = 0.45 // error share that ejects
	ejectRatio    = 3.0  // and at least so many times the fleet's
	maxEjected    = 0.5  // share of the list that errors and silence may isolate
	errorDebt     = 5.0  // base latencies that a failed call still counts as in flight
	trialFirst    = 4.0  // connect time-outs from isolation to the first trial call
	refreshShare  = 0.5  // of AskEvery (or Cold): the pace of fetching lists after broken connections
	listsAtOnce   = 16.0 // of these, that all instances ask for in that time
	watchShare    = 0.05 // of AskEvery: spread of the first Watch; it doubles with each failure
	returnedWarm  = 0.75 // share of Cold that an endpoint skips in its ramp if nothing showed a restart
	rampHeadroom  = 0.7  // of TipMultiple: a ramping endpoint's rate over its share of what warm ones are sent
	rampAlone     = 0.9  // the same while none is warm: there is nobody else to take the calls
	retryShare    = 0.2  // further attempts earned by each answered call
	retryReserve  = 10.0 // and how many may be saved up
	vainMost      = 0.6  // attempts that may end without having run, for each answered call,
	vainReserve   = 1.0  // beyond the limit on calls while none is answered,
	vainKnocks    = 1.0  // and all instances', for each endpoint and time that cold ones are judged over,
	vainShare     = 0.2  // or a share of what was answered at the best rate of late, whichever is more
	holdPerSecond = 2.0  // seconds of calls, at the present rate, that may be held
	waitsLeast    = 0.2  // of a rate window in which calls were held, until it is known how many are worked off
	repeatWeight  = 0.05 // of one repeat in the mean time that repeats have spent
	firstTryShare = 0.97 // of the longest time left seen: less tells of a repeat
	classMemory   = 100  // requests of a class that its part served in time is remembered over
	classAsked    = 5    // and requests from which it counts
	successor     = 1.5  // seconds from an instance's end until the next one serves in its place
	idleLeast     = 3    // callers' connections that the only instance keeps idle once it is told to end
	tickQuanta    = 4    // quanta between looks at held and overdue calls
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

	out      int     // attempts in flight
	busy     busy    // endpoints that have some
	isolated int     // endpoints
	lost     int     // those of them that no answer is expected for
	answered int     // answers of any kind
	rate     flow    // base latencies answered a second: the calls in flight at little load
	limit    float64 // on calls in flight
	queue    float64 // calls that may queue for each endpoint and tier
	queueAt  time.Duration
	countAt  time.Duration
	seats    float64 // endpoints in this instance's subset
	spare    flow    // the same for the time from base latency to the aim
	served   flow    // answers a second
	asked    flow    // requests a second
	strain   float64 // smoothed latency over what it should at most be on average
	pace     float64 // calls a second that may be sent
	paced    bool    // the strain was above 1, and has not let go
	strainAt time.Duration
	credit   float64
	creditAt time.Duration
	warm     flow              // sends a second to warm endpoints, for their odds
	errors   float64           // smoothed share of answers that are errors
	strays   float64           // and of overdue calls that stay away for longer
	budget   float64           // further attempts that may be made
	noneWarm bool              // none in the subset
	vain     throttle.Throttle // attempts that may end without having run
	quits    int               // attempts withdrawn whose end is still to come

	repeatSpent float64 // mean time, in seconds, that repeats had spent where they show it

	endsAt     time.Duration // when this instance ends, where that is known
	fetchAt    time.Duration // no fetch before
	watchPause time.Duration
}

// Timer tokens.
const (
	tokenTick = iota
	tokenWatch
)

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

// meter starts the buckets of the tenants.
func (b *Balancer) meter(now time.Duration) {
	total := 0.0
	for _, t := range b.set.Tenants {
		rate := t.QuotaPerS / b.sharing
		b.tenants = append(b.tenants, newBucket(now, rate, tenantBurst))
		total += rate
	}
	b.all = newBucket(now, total, allBurst)
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

// closing tells whether an instance that ends refuses a request: for want of time, or, as the only one, of
// connections. Callers open no more; who finds all in use, by a burst or by slow endpoints, finds nobody and
// stops looking. Where callers do open more, some are refused in vain.
func (b *Balancer) closing(now time.Duration, c *class, q Request) bool {
	return b.ends(now, c) || b.endsAt < math.MaxInt64 && b.set.Instances == 1 && q.Idle < idleLeast
}

// ends tells whether this instance ends before a call that is sent at a time is answered, slow as it may be.
func (b *Balancer) ends(at time.Duration, c *class) bool {
	return at+seconds(slackMeans*c.mean) >= b.endsAt
}

// spent is a lower bound of the time that had passed for the client when the request arrived. Clients'
// tries begin with the same time left; a shorter one tells of a repeat, or of work in the tiers above.
func (b *Balancer) spent(c *class, q Request) time.Duration {
	c.maxLeft = max(c.maxLeft, q.Left)
	switch {
	case b.set.Stage > 0:
		return c.maxLeft - q.Left
	case float64(q.Left) < firstTryShare*float64(c.maxLeft):
		spent := c.Deadline - q.Left
		if q.Repeat && float64(c.maxLeft) >= firstTryShare*float64(c.Deadline) {
			b.repeatSpent += repeatWeight * (spent.Seconds() - b.repeatSpent)
		}
		return spent
	case q.Repeat:
		// It came before, by about as much as those that show it. Taken for new, repeats would fill an
		// overloaded tier with calls whose aim has passed.
		return seconds(b.repeatSpent)
	}
	return 0
}

// beyondShare meters a tenant's requests against its share at this instance, and all of them against all
// shares together: what goes beyond both is more than the fleet can do, and is worth little.
// A repeat counts as beyond: most are of requests refused for that, and would use up the share of new ones.
func (b *Balancer) beyondShare(now time.Duration, q Request) (low, spare bool) {
	if b.set.Stage > 0 || q.Tenant >= len(b.tenants) {
		return false, true
	}
	low = q.Repeat || !b.tenants[q.Tenant].take(now, 1)
	if low {
		return true, b.all.take(now, 1)
	}
	b.all.spend(now, 1)
	return false, true
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

// next is the held request to place first: one that can still meet its aim before one that cannot, one
// within its tenant's share before one beyond, one of a class that adds more to what the site counts, then
// the one that must be sent first to meet its aim.
func (b *Balancer) next(now time.Duration) int {
	best := 0
	for i := 1; i < len(b.held); i++ {
		if b.before(now, b.held[i], b.held[best]) {
			best = i
		}
	}
	return best
}

// before tells whether one held request is placed before another.
func (b *Balancer) before(now time.Duration, x, y *request) bool {
	if rx, ry := b.rank(now, x), b.rank(now, y); rx != ry {
		return rx > ry
	}
	if vx, vy := x.class.value*x.times, y.class.value*y.times; vx != vy {
		return vx > vy
	}
	return x.sendBy() < y.sendBy()
}

// rateClasses sets what serving one more unit of each class's work adds to what the site counts: its part of
// all worth, and for the class that is served worst the weight of being that. Held requests that went by
// their time alone cost the dearest class as many answers as the cheapest.
func (b *Balancer) rateClasses() {
	all, work := 0.0, 0.0
	worst := b.classes[0]
	for _, c := range b.classes {
		all += c.asked * c.mean * b.density(c)
		work += c.asked * c.mean
		if c.asked >= classAsked && (worst.asked < classAsked || c.good*worst.asked < worst.good*c.asked) {
			worst = c
		}
	}
	for _, c := range b.classes {
		c.value = 0
		if all > 0 {
			c.value = b.set.GoalWhole * b.density(c) * work / all
		}
		if c == worst && c.asked*c.mean > 0 {
			c.value += b.set.GoalWorstClass * work / (c.asked * c.mean)
		}
	}
}

// density is the worth of a unit of a class's work, taken to be as its latency.
func (b *Balancer) density(c *class) float64 {
	if b.set.WorthByWork || c.mean == 0 {
		return c.Worth
	}
	return c.Worth / c.mean
}

// tally counts a request of a class, and lets the past fade.
func (b *Balancer) tally(c *class) {
	if c.asked++; c.asked < classMemory {
		return
	}
	for _, c := range b.classes {
		c.asked /= 2
		c.good /= 2
	}
}

func (b *Balancer) rank(now time.Duration, r *request) int {
	rank := 0
	if r.sendBy() > now || r.class.LateWorth > 0 {
		rank += 2
	}
	if !r.low {
		rank++
	}
	return rank
}

// sendBy is until when a call must be sent to meet its aim, slow as it may be.
func (r *request) sendBy() time.Duration {
	return r.aimBy - seconds(slackMeans*r.class.mean)
}

// shed refuses what is held beyond what can be sent in time: what will miss its aim, and the least worth
// when more is held than the present rate works off. That rate is known only where some have waited for a
// while: by what was answered before, callers who came all at once, after a quiet time or to an instance that
// has just started, were refused beside idle endpoints.
func (b *Balancer) shed(now time.Duration) {
	b.waits.turn(now, b.window, len(b.held) > 0)
	room := max(holdPerSecond*b.served.value(now, b.window), float64(len(b.listed)))
	if b.waits.share < waitsLeast {
		room = math.Inf(1)
	}
	for i := len(b.held) - 1; i >= 0; i-- {
		r := b.held[i]
		late := now >= r.sendBy() && r.class.LateWorth == 0
		if late || now+2*b.tick >= r.deadline {
			b.unhold(i)
			b.finish(now, r)
		}
	}
	for float64(len(b.held)) > room {
		worst := len(b.held) - 1
		for i := len(b.held) - 2; i >= 0; i-- {
			if b.before(now, b.held[worst], b.held[i]) {
				worst = i
			}
		}
		r := b.held[worst]
		b.unhold(worst)
		b.finish(now, r)
	}
}

// refit sets the limit on calls in flight: those answered at base latency at the best rate of late, and a
// queue. It has a floor, for calls that got stuck would else lower rate and limit in turn, without end.
//
// It also bounds the attempts that never run. Those that are turned away or refused go on to the next
// endpoint at once, so the sum of all instances' was the requests times MaxAttempts where all were full, and
// each learns by an attempt of its own which are: cold ones fell over under calls that they had turned away.
// What answers earn adds up to the answers, and what is allowed without them is a part of the list's length
// for each instance, or of what it had answered, so that endpoints that are back are soon found. It goes by
// cold endpoints' bound whether or not the list calls them cold: lists come late, and know little at first.
func (b *Balancer) refit(now time.Duration) {
	b.credit = min(b.credit+b.pace*(now-b.creditAt).Seconds(), max(paceBurst, b.pace/2))
	b.creditAt = now
	least := b.perInstance(leastHolds, float64(b.set.Instances))
	if !b.settled() {
		least = b.perInstance(startHolds, b.sharing)
	}
	base := b.rate.peak(now, b.window)
	queue := b.queue * float64(len(b.listed)*max(b.set.Tiers-b.set.Stage, 1)) / float64(b.set.Instances)
	queue = min(queue, queueShare*base, b.spare.peak(now, b.window))
	b.limit = max(base+queue+limitSlack, least)
	if each := float64(len(b.listed)) / b.sharing; each > 0 {
		knocks := max(vainKnocks*each/b.window.Seconds(), vainShare*b.served.peak(now, b.window))
		b.vain.Bound(now, knocks, vainReserve+startHolds*each, b.limit+vainReserve)
	}
}

// perInstance is a number of calls for each listed endpoint, divided among the tier's instances.
func (b *Balancer) perInstance(calls, instances float64) float64 {
	return limitSlack + calls*float64(len(b.listed))/instances
}

// room tells whether an endpoint may get one more call.
func (b *Balancer) room(now time.Duration, e *endpoint) bool {
	if e.fullUntil > now || e.mark == ramping && !b.rampRoom(now, e) {
		return false
	}
	// A cold endpoint with a warm one's calls in flight would answer none of them in time.
	most := (endpointShare*b.limit/max(b.seats, 1)/b.slow(e) + limitSlack) * b.share(now, e)
	return float64(b.load(now, e)-e.lost) < max(most, limitSlack)
}

// load is the number of own calls in flight, with those that failed a short while ago: few in flight must
// not draw calls to an endpoint that fails fast, and timed-out work may still run there.
func (b *Balancer) load(now time.Duration, e *endpoint) int {
	e.debts = slices.DeleteFunc(e.debts, func(t time.Duration) bool { return t <= now })
	return len(e.calls) + len(e.debts)
}

// share is the part of its capacity that a ramping endpoint is taken to have.
func (b *Balancer) share(now time.Duration, e *endpoint) float64 {
	if e.mark != ramping || b.set.Cold == 0 {
		return 1
	}
	s := b.set.ColdFrom + (1-b.set.ColdFrom)*float64(now-e.coldFrom)/float64(b.set.Cold)
	return min(max(s, b.set.ColdFrom), 1)
}

// rampRoom caps what a ramping endpoint is sent to its share of what a warm one gets, whatever the others
// do: when nearly all are cold a draw by share alone would push them over. It goes by the odds, too: a slow
// machine, or one of which a sliver lies in each of many subsets, got a whole fast one's.
func (b *Balancer) rampRoom(now time.Duration, e *endpoint) bool {
	warm := b.warm.peak(now, b.window)
	if warm == 0 {
		return len(e.calls) == 0
	}
	headroom := rampHeadroom
	if b.noneWarm {
		headroom = rampAlone
	}
	rate := max(headroom*b.set.TipMultiple, 1) * b.share(now, e) * warm * b.odds(e)
	e.tokens = min(e.tokens+rate*(now-e.tokensAt).Seconds(), 1+rate*b.window.Seconds()/4)
	e.tokensAt = now
	return e.tokens >= 1
}

// suspect tells whether an endpoint has left its oldest call unanswered for long and said nothing since.
func (b *Balancer) suspect(now time.Duration, e *endpoint, after float64) bool {
	if len(e.calls) == 0 {
		return false
	}
	r := e.calls[0]
	return r.class.mean > 0 && now-r.sentAt > seconds(after*r.class.mean) && e.lastAnswer < r.sentAt &&
		b.answered-r.answered >= othersAnswers
}

// pick chooses an endpoint for a request: a due trial, else the fewer in flight of two drawn among those
// with room; ramping ones are drawn less often. Where none is in good health, suspect and then isolated
// ones serve: isolation never empties the set.
func (b *Balancer) pick(now time.Duration, r *request) (to *endpoint, trial bool) {
	if e := b.dueTrial(now, r); e != nil {
		return e, true
	}
	wide := r.attempts > 0 || r.mayRun
	if b.barren(r, wide) {
		if e := b.freed; e != nil && b.fits(now, r, e, wide) && b.free(now, r, e) {
			return e, false
		}
		return nil, false
	}
	first, second := b.drawn(now, r, wide)
	if second != nil {
		return b.lighter(now, first, second), false
	}
	healthy := first != nil
	c := b.scratch[:0]
	near := b.cells[r.cell]
	if !b.isBound(r) {
		near = b.near(wide)
	}
	for _, e := range near {
		if b.fits(now, r, e, wide) {
			healthy = true
			if e != first && b.free(now, r, e) {
				c = append(c, e)
			}
		}
	}
	b.scratch = c
	if healthy {
		to = b.draw(now, first, c)
		b.looked(now, r, wide, to)
		return to, false
	}
	for _, e := range b.near(true) {
		spent := e.mark == ramping && !b.rampRoom(now, e) || float64(b.load(now, e)) >= limitSlack
		if b.permitted(now, r, e) && !spent {
			c = append(c, e)
		}
	}
	b.scratch = c
	to = b.draw(now, nil, c)
	b.looked(now, r, wide, to)
	return to, to != nil && to.mark == isolated
}

// count notes which endpoints are in this instance's subset, and with what part of their weight. Many
// instances that each call every endpoint fill its connection table with idle connections, and know nothing
// of any. Small subsets tile a ring of the listed weights by ordinal, so that together they reach each
// endpoint in proportion to its weight; an instance that has isolated some goes on along the ring. Endpoints
// that leave are no part of it: when many left at once, their shares fell to the few that came after them.
func (b *Balancer) count(now time.Duration) {
	total, n := b.ring.Total(), float64(b.ring.Len())
	b.seats = min(max(callers*n/float64(b.set.Instances), subsetLeast), cmp.Or(float64(b.set.SubsetMost), n), n)
	if b.seats >= n {
		b.assignAll(now)
		return
	}
	if b.seats > arcsFrom || b.arced && b.seats > arcsTo {
		wide := 1.0
		for wide*b.seats < n && b.openOn(wide) < arcsOpen*b.seats {
			wide *= 2
		}
		b.assignArcs(now, wide)
		return
	}
	need := total * b.seats / n
	_, at := math.Modf(float64(b.set.Ordinal) * b.seats / n)
	eps := total * 1e-9
	b.unassign()
	c, at := b.ring.Seek(at*total, eps)
	for i := 0; need > eps && i < 2*b.ring.Len(); i, at = i+1, 0 {
		e, w, _ := c.Next()
		if take := min(w-max(at, 0)-e.part, need); take >= eps {
			b.assign(e, take)
			if e.mark <= ramping {
				need -= take
			}
		}
	}
	b.assigned(now)
}

// permitted tells whether the rules let a request go to an endpoint.
func (b *Balancer) permitted(now time.Duration, r *request, e *endpoint) bool {
	if !r.mayRun || r.class.Effect == Safe {
		return true
	}
	if !b.repeatable(now, r) {
		return false
	}
	switch r.class.Scope {
	case ScopeCell:
		return e.cell == r.cell
	case ScopeZone:
		return e.zone == r.zone
	}
	return true
}

// repeatable tells whether a request may go to any endpoint at all: not if it may have run and nobody, or
// nobody any more, drops its repeat.
func (b *Balancer) repeatable(now time.Duration, r *request) bool {
	return !r.mayRun || r.class.Effect == Safe ||
		r.class.Effect == Keyed && now-r.runAt < r.class.Window-b.tick
}

// fits tells whether an endpoint is in good health for a request. Further attempts may leave the subset,
// but not for a ramping endpoint: all instances' together would push it over.
func (b *Balancer) fits(now time.Duration, r *request, e *endpoint, wide bool) bool {
	return e.mark <= ramping && (e.part > 0 || wide && e.mark == usable) && b.permitted(now, r, e) &&
		!b.suspect(now, e, suspectAfter)
}

// free tells whether it may have this request, too.
func (b *Balancer) free(now time.Duration, r *request, e *endpoint) bool {
	return b.room(now, e) && (e != r.from || len(b.listed) == 1)
}

// drawn draws candidates from the pools, by the odds and among those that are free, without a look at all:
// both, or one or none where too many draws were in vain. The others are to be looked at then.
func (b *Balancer) drawn(now time.Duration, r *request, wide bool) (first, second *endpoint) {
	if !b.many(wide) || b.isBound(r) {
		return nil, nil
	}
	from := b.pools[:otherPool]
	if wide {
		from = b.pools[:]
	}
	for range drawTries {
		e, ok := b.drawOne(now, from)
		if !ok || e == first || !b.fits(now, r, e, wide) || !b.free(now, r, e) {
			continue
		}
		if first != nil {
			return first, e
		}
		first = e
	}
	return first, nil
}

// draw takes distinct candidates at random, each by its odds, after one that may have been drawn, and
// returns the lighter.
func (b *Balancer) draw(now time.Duration, first *endpoint, c []*endpoint) *endpoint {
	b.note(now, c)
	best, n := first, 0
	if first != nil {
		n = 1
	}
	for ; n < candidates && len(c) > 0; n++ {
		total := 0.0
		for _, e := range c {
			total += e.odds
		}
		x, i := b.rng.Float64()*total, 0
		for ; i < len(c)-1; i++ {
			if x -= c[i].odds; x < 0 {
				break
			}
		}
		e := c[i]
		c[i], c = c[len(c)-1], c[:len(c)-1]
		best = b.lighter(now, best, e)
	}
	return best
}

// lighter is the one with the fewest own calls in flight for its odds; of equals, the one drawn first, so
// that ties fall at random and by the odds: the same calls are a longer queue at a smaller endpoint, and a
// coin, in a subset of two, gave both the same whatever their odds.
func (b *Balancer) lighter(now time.Duration, first, e *endpoint) *endpoint {
	if first == nil || float64(b.load(now, e))/b.odds(e) < float64(b.load(now, first))/b.odds(first) {
		return e
	}
	return first
}

// dueTrial is an isolated endpoint whose turn for a trial call has come. Only a first attempt with time
// for another is risked.
func (b *Balancer) dueTrial(now time.Duration, r *request) *endpoint {
	first := r.attempts == 0 && !r.mayRun
	if e, at, ok := b.trials.First(); ok && at <= now && first && r.class.Effect != Unsafe {
		return e
	}
	return nil
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

// judge learns from an outcome about its endpoint and the fleet.
func (b *Balancer) judge(now time.Duration, r *request, e *endpoint, o Outcome) {
	switch o.Status {
	case OK, Error, Full, Reset, Spoilt:
		e.lastAnswer = now
		b.answered++
	}
	switch o.Status {
	case OK:
		b.overtake(r)
		e.losses -= lossWeight * e.losses
		if r.lost {
			b.strays -= strayWeight * b.strays // it was slow
		}
		b.learn(now, r, e, o.Elapsed)
		b.press(now, r.class, o.Elapsed)
		if now <= r.aimBy {
			r.class.good++
		}
		b.noteError(e, 0)
		b.budget = min(b.budget+retryShare, retryReserve)
		if r.trial && e.mark == isolated {
			b.restore(now, e)
		}
		return
	case Spoilt:
		return // it tells nothing of the endpoint but that it answers: every one sends some
	case Error:
		b.noteError(e, 1)
		b.debt(now, e, r.class, errorDebt)
		if e.errors >= ejectAt && e.errors >= ejectRatio*b.errors && b.mayEject() {
			b.isolate(now, e, "errors")
		}
	case Full:
		e.fullUntil = now + seconds(r.class.base)
	case ConnectFailed:
		// A full connection table refuses as a dead process does, but its open calls go on.
		if len(e.calls) > 0 || e.lastAnswer > r.sentAt {
			e.fullUntil = now + b.set.ConnectTimeout
		} else {
			b.isolate(now, e, "connect failed")
			b.refresh(now)
		}
	case Reset:
		e.broke = true
		b.isolate(now, e, "connection reset")
		b.refresh(now)
	case Timeout:
		// Its answers alone would make a choked endpoint, that answers few in time, look well.
		if r.class.mean > 0 {
			b.notePace(now, e, o.Elapsed.Seconds()/r.class.mean)
		}
		fallthrough
	case Cancelled:
		b.press(now, r.class, o.Elapsed)
		b.debt(now, e, r.class, 1)
	}
	// A call that went there for want of any other tells no more than that one is still to come.
	if r.trial && e.mark == isolated && r.sentAt >= e.trialAt {
		b.postpone(now, e)
	}
}

// press takes what a call took into the strain, and moves the pace of calls by it. It acts where instances
// outnumber endpoints: there each has a call or two in flight, and no limit on their number keeps a tier
// from filling up; and on clients' requests only: what the tiers above have worked on is not refused below.
func (b *Balancer) press(now time.Duration, c *class, took time.Duration) {
	due := min(strainBase*c.usual, strainAim*c.Aim.Seconds())
	if due <= 0 || b.set.Stage > 0 || b.set.Instances <= len(b.listed) {
		return
	}
	dt := (now - b.strainAt).Seconds()
	weight := min(strainWeight, dt/(strainAims*c.Aim.Seconds()))
	b.strain += weight * (min(took.Seconds()/due, strainMost) - b.strain)
	most := paceMost * b.asked.peak(now, b.window)
	if !b.paced {
		b.paced, b.pace, b.credit, b.creditAt = b.strain > 1, most, paceBurst, now
	} else {
		b.pace = max(b.pace*(1-strainGain*min(b.strain-1, 1)*min(dt, 1)), paceLeast*most)
		b.paced = b.strain > 1
	}
	b.strainAt = now
}

// fit moves the queue that endpoints may hold. What one bears before it chokes is told nowhere: the queue
// grows while calls are held here, and shrinks when an endpoint turns far slower than its kind.
func (b *Balancer) fit(now time.Duration, e *endpoint) {
	kind := b.kinds[e.kind].mean
	choked := e.pace.n*paceWeight > 0.99 && e.pace.mean > chokedAt*kind
	if choked && !e.choked {
		b.queue = max(b.queue*queueShrinks, queueLeast)
	}
	if choked || e.pace.mean < unchokedAt*kind {
		e.choked = choked
	}
	if len(b.held) > 0 && now-b.queueAt > b.window {
		b.queue, b.queueAt = min(b.queue*(1+queueGrows), queueMost), now
	}
}

// odds is an endpoint's chance in a draw: by the part of its weight in the subset, or by its whole size for
// a further attempt that has left the subset. At full size an instance has so few calls in flight that the
// draw, not the comparison, keeps small machines from getting what large ones get.
func (b *Balancer) odds(e *endpoint) float64 {
	if e.part > 0 {
		return b.size(e) * e.part / b.weight(e)
	}
	return b.size(e)
}

// size is what an endpoint can do beside others: its listed weight, less what it is slower than its kind by;
// where the list weighs all alike, what its pace tells.
func (b *Balancer) size(e *endpoint) float64 {
	if len(b.speeds.kinds) > 0 && !b.weighted {
		if e.kind >= len(b.speeds.kinds) { // moved to a kind that has reported nothing
			return b.speed(e)
		}
		return b.speed(e) * b.speeds.kinds[e.kind].over(e.service)
	}
	if !b.weighted {
		return 1 / b.slow(e)
	}
	kind := 1.0
	if e.kind < len(b.kinds) && b.kinds[e.kind].n >= paceTrust {
		kind = b.kinds[e.kind].mean
	}
	return e.weight * kind / b.slow(e)
}

// mayEject keeps errors and silence from isolating too much of the list: that many failing at once have
// a cause they share.
func (b *Balancer) mayEject() bool {
	return float64(b.isolated+1) <= maxEjected*float64(len(b.listed))
}

// isolate takes an endpoint out of the draw until a trial call is served or a newer list names a new start.
func (b *Balancer) isolate(now time.Duration, e *endpoint, why string) {
	if e.mark > ramping {
		return
	}
	e.mark = isolated
	b.isolated++
	b.out -= len(e.calls) // stuck calls must not use up the limit
	b.stale = true
	e.trialPause = max(seconds(trialFirst*b.set.ConnectTimeout.Seconds()), b.tick)
	e.trialAt = now + b.jitter(e.trialPause)
	b.settle(now, e)
	b.host.Log(fmt.Sprintf("endpoint %d isolated: %s (list version %d)", e.id, why, e.version))
}

// postpone doubles the wait for the next trial call after one that failed.
func (b *Balancer) postpone(now time.Duration, e *endpoint) {
	e.trialPause = min(2*e.trialPause, max(b.set.Cold, b.window))
	e.trialAt = now + b.jitter(e.trialPause)
	b.settle(now, e)
}

// restore ends an isolation; the endpoint ramps up, as it may have restarted.
func (b *Balancer) restore(now time.Duration, e *endpoint) {
	from := now
	if !e.broke {
		from -= seconds(returnedWarm * b.set.Cold.Seconds())
	}
	e.broke = false
	b.ramp(now, e, from)
	b.host.Log(fmt.Sprintf("endpoint %d back: trial call served", e.id))
}

// ramp starts slow start, counted from the given time.
func (b *Balancer) ramp(now time.Duration, e *endpoint, from time.Duration) {
	b.reopen(e)
	e.mark, e.coldFrom = ramping, from
	e.tokens, e.tokensAt = b.rng.Float64(), now
	b.ramps.Remove(e)
	b.seat(now, e)
}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (0.75 + 0.5*b.rng.Float64()))
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

// again decides what follows an attempt that was not served: another one where the rules, the budget and
// the time allow it, else the final answer.
func (b *Balancer) again(now time.Duration, r *request, e *endpoint, o Outcome) {
	r.from = e
	if !o.Status.NeverRan() {
		if !r.mayRun {
			r.mayRun, r.zone, r.cell, r.runAt = true, e.zone, e.cell, r.sentAt
		}
		if b.budget < 1 || r.class.Effect == Unsafe {
			b.finish(now, r)
			return
		}
		b.budget--
	}
	if o.Last || r.attempts >= r.most || now+max(b.tick, o.Pause) >= r.deadline {
		b.finish(now, r)
		return
	}
	b.rest(now, r, o.Pause)
}

// finish gives the final answer: refused where a repeat is proven harmless, else failed.
func (b *Balancer) finish(now time.Duration, r *request) {
	r.done = true
	if !r.mayRun && r.to == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Scope == ScopeAll && b.repeatable(now, r) {
		b.host.Refuse(r.id, b.comeBack(now, r.class))
	} else {
		b.host.Fail(r.id)
	}
	if r.to == nil {
		delete(b.requests, r.id)
	}
}

// comeBack is when a refused client should ask again: when what is held and in flight now will have been
// answered at the present rate, or, where that outlasts the only instance, when its successor serves. Clients
// that come sooner find the same queue, or nobody; 0 gives no advice.
func (b *Balancer) comeBack(now time.Duration, c *class) (wait time.Duration) {
	if rate := b.served.value(now, b.window); rate > 0 {
		wait = seconds(min(float64(len(b.held)+b.out)/rate, b.set.MaxRetryAfter.Seconds()))
	}
	if b.set.Instances == 1 && b.ends(now+wait, c) {
		wait = min(b.endsAt+seconds(successor)-now, b.set.MaxRetryAfter)
	}
	return wait
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

func (b *Balancer) withdraw(r *request) {
	if b.set.MayCancel && !r.quit && !r.stream {
		r.quit = true
		b.quits++
		b.host.Cancel(r.id, r.attempts-1)
	}
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

// age moves a busy endpoint on with time: a silence that has lasted.
func (b *Balancer) age(now time.Duration, e *endpoint) {
	silent := b.suspect(now, e, silentTails*e.calls[0].class.tail) ||
		len(e.calls) >= silentCalls && b.suspect(now, e, suspectAfter) &&
			now-e.calls[silentCalls-1].sentAt > seconds(suspectAfter*e.calls[silentCalls-1].class.mean)
	if !silent || e.mark == isolated && !e.calls[0].trial || e.mark != isolated && !b.mayEject() {
		return
	}
	b.isolate(now, e, "silent")
	for _, r := range e.calls {
		if b.retriable(now, r) {
			b.withdraw(r)
		}
	}
}

// overtake notes that a call was answered before others that were sent earlier.
func (b *Balancer) overtake(by *request) {
	for _, e := range b.busy {
		for _, r := range e.calls {
			if r.sentAt >= by.sentAt {
				break
			}
			r.overtaken++
		}
	}
}

// miss looks for calls that an endpoint has lost, though it answers others: out for longer than hardly any,
// and overtaken. They are sent again while there is time, and do not use up the limit: the limit falls as
// answers fail to come. That serves for lost answers, mute connections and stuck tiers below alike. Where all
// turn slow at once, some slow calls run twice.
func (b *Balancer) miss(now time.Duration, e *endpoint) {
	e.lost = 0
	for _, r := range e.calls {
		age, long := now-r.sentAt, r.class.tail*r.class.mean
		if r.overtaken < othersAnswers || age <= seconds(stuckTails*long) {
			continue
		}
		e.lost++
		if !r.lost && age > seconds(lostTails*long) {
			r.lost = true
			e.losses += lossWeight * (1 - e.losses)
		}
		if !r.stray && age > seconds(strayTails*long) {
			r.stray = true
			b.strays += strayWeight * (1 - b.strays)
		}
		if (r.lost && e.losses > losesAt || r.stray && b.strays > straysAt) && b.retriable(now, r) {
			b.withdraw(r)
		}
	}
	if e.mark != isolated {
		b.lost += e.lost
	}
}

// retriable tells whether a call that is out could be sent again, in time, after it is withdrawn. Each that
// is on its way back will take of the budget: of a crowd of slow calls that were all called off at once,
// those that it did not cover failed, though their answers were near. Nor is one called off that could go
// nowhere then, as the last of its cell drains.
func (b *Balancer) retriable(now time.Duration, r *request) bool {
	return !r.done && r.class.Effect != Unsafe && b.budget-float64(b.quits) >= 1 && b.reaches(r) &&
		now+seconds(r.class.base) < r.aimBy && r.attempts < r.most
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

// rewatch subscribes after a pause that doubles with each failure; its spread keeps many instances from
// asking at once.
func (b *Balancer) rewatch() {
	if !b.set.MustAsk {
		return
	}
	first := max(seconds(watchShare*b.set.AskEvery.Seconds()), b.tick)
	b.watchPause = min(max(2*b.watchPause, first), max(b.set.AskEvery, first))
	b.host.SetTimer(tokenWatch, seconds(b.watchPause.Seconds()*b.rng.Float64()))
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
	e.weight = max(x.Weight, 0)
	e.listed = x.State != Gone
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

// leave marks an endpoint that drains or is gone: nothing new goes there, what runs may end.
func (b *Balancer) leave(now time.Duration, e *endpoint) {
	b.reopen(e)
	e.mark = leaving
	b.seat(now, e)
}

// reopen counts an isolated endpoint's calls in flight again, as it is isolated no longer.
func (b *Balancer) reopen(e *endpoint) {
	if e.mark == isolated {
		b.isolated--
		b.out += len(e.calls)
	}
}

// Probed takes the result of a probe; this Balancer sends none, and passes it over.
func (b *Balancer) Probed(now time.Duration, p Probed) {}

// Told takes a peer's message; this Balancer sends none, and passes it over.
func (b *Balancer) Told(now time.Duration, from int, data []byte) {}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
