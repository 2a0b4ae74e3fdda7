package balancer

import (
	"math"
	"slices"
	"time"
)

// This file holds the state that decisions rest on, and how figures are smoothed; it decides nothing.

// mark is what an endpoint is open to.
type mark uint8

const (
	usable   mark = iota
	ramping       // usable, but just started or just back: drawn less often
	isolated      // gets trial calls only
	leaving       // draining or gone: gets nothing new
)

// endpoint is what this instance knows of one endpoint.
type endpoint struct {
	id         EndpointID
	zone, cell int
	kind       int
	weight     float64 // listed size, compared with others'
	pace       pace
	service    pace // seconds of service that it reports
	mark       mark
	listed     bool
	started    time.Duration // process start as listed
	version    uint64        // of the list that named it last
	coldFrom   time.Duration // since when its ramp counts

	at         place      // in the fleet
	calls      []*request // own calls in flight, oldest first
	odds       float64    // in the draw that is made
	busyAt     int        // its place among those that have some, from 1; 0 if it has none
	debts      []time.Duration
	choked     bool    // far slower than its kind, and not yet recovered
	broke      bool    // a connection broke: it may have restarted, and be cold
	part       float64 // of its weight that is in this instance's subset; 0 outside of it
	lastAnswer time.Duration
	fullUntil  time.Duration // turned a call away: passed over until then
	errors     float64       // smoothed share of answers that are errors
	losses     float64       // and of calls that it lost
	lost       int           // own calls in flight that it will hardly answer
	trialAt    time.Duration
	trialPause time.Duration
	tokens     float64 // sends a ramping endpoint may get now
	tokensAt   time.Duration
}

// alike tells whether the list has the same of an endpoint as before, but for its state.
func (e *endpoint) alike(x Entry) bool {
	return e.zone == x.Zone && e.cell == x.Cell && e.kind == max(x.Kind, 0) && e.weight == max(x.Weight, 0)
}

// busy are the endpoints with calls in flight, in no order.
type busy []*endpoint

// note puts an endpoint in or takes it out, as its calls in flight have come to be.
func (s *busy) note(e *endpoint) {
	switch in := len(e.calls) > 0; {
	case in && e.busyAt == 0:
		*s = append(*s, e)
		e.busyAt = len(*s)
	case !in && e.busyAt > 0:
		last := (*s)[len(*s)-1]
		(*s)[e.busyAt-1], last.busyAt = last, e.busyAt
		*s = (*s)[:len(*s)-1]
		e.busyAt, e.lost = 0, 0
	}
}

// note works out the odds of candidates once for a draw, that looks at each of them four times.
func (b *Balancer) note(now time.Duration, c []*endpoint) {
	for _, e := range c {
		e.odds = b.share(now, e) * b.odds(e)
	}
}

// request is one request from its arrival to its final answer and last outcome.
type request struct {
	id       RequestID
	class    *class
	low      bool // beyond its tenant's share
	deadline time.Duration
	aimBy    time.Duration // an answer after this is worth little
	attempts int
	most     int           // attempts
	each     time.Duration // of an attempt; 0 for none of its own
	times    float64       // its worth, beside others of its class
	to       *endpoint     // of the attempt that is out
	from     *endpoint     // of the last attempt that failed
	sentAt   time.Duration
	answered int  // the fleet's answers when it was sent
	trial    bool // the attempt that is out ends an isolation if it is served
	mayRun   bool // an attempt may have run:
	zone     int  // where, when it was sent
	cell     int
	runAt    time.Duration // and when the first one was
	held     bool
	stream   bool
	done     bool
	quit     bool // withdrawn by us: the outcome is still to come

	overtaken int  // answers to calls that were sent after the attempt that is out
	lost      bool // that attempt will hardly be answered,
	stray     bool // and was not for longer still
}

// class is a class of request with what was seen of its latency.
type class struct {
	Class
	mean    float64 // seconds, smoothed
	base    float64 // seconds, at little load
	usual   float64 // seconds, at a usual load
	tail    float64 // means that one answer in a hundred passes
	sum     float64
	n       int
	since   time.Duration // start of the window that sum and n cover
	windows int           // looked at so far
	maxLeft time.Duration
	value   float64 // of serving one more of it
	asked   float64 // requests of late,
	good    float64 // and those of them answered within their aim
}

// flow is an exponentially smoothed rate and its recent peak.
type flow struct {
	sum, top float64
	at       time.Duration
}

func (f *flow) add(now, window time.Duration, x float64) {
	dt := float64(now-f.at) / float64(window)
	f.sum = f.sum*math.Exp(-dt) + x/window.Seconds()
	f.top = max(f.sum, f.top*math.Exp(-dt/peakHold))
	f.at = now
}

// value is the present rate.
func (f *flow) value(now, window time.Duration) float64 {
	return f.sum * math.Exp(-float64(now-f.at)/float64(window))
}

// peak is the highest rate of late.
func (f *flow) peak(now, window time.Duration) float64 {
	return f.top * math.Exp(-float64(now-f.at)/float64(window)/peakHold)
}

// rest lets the rate fade and keeps its peak.
func (f *flow) rest(now, window time.Duration) {
	f.sum, f.at = f.value(now, window), now
}

// portion is the smoothed share of time in which something was so.
type portion struct {
	share float64
	is    bool
	at    time.Duration
}

// turn notes whether it is so from now on.
func (p *portion) turn(now, window time.Duration, is bool) {
	was := 0.0
	if p.is {
		was = 1
	}
	p.share = was + (p.share-was)*math.Exp(-float64(now-p.at)/float64(window))
	p.is, p.at = is, now
}

// pace is a smoothed latency ratio and the number of answers, up to a limit, that it rests on.
type pace struct {
	mean, n float64
	seen    float64 // mean when what rests on it was last settled; 0 if it never was
}

// moved is how far it has moved since then, as a ratio of at least 1.
func (p *pace) moved() float64 {
	if p.seen <= 0 || p.mean <= 0 {
		return 1
	}
	return max(p.mean/p.seen, p.seen/p.mean)
}

// speeds are the service times that the endpoints of each kind report, in seconds.
type speeds struct {
	kinds []pace
	sum   pace // of 1 / mean over the kinds that report
	n     int  // and how many they are,
	seen  int  // when endpoints were last settled
}

// note takes a service time in: lower ones count more.
func (s *speeds) note(kind int, took float64) {
	for len(s.kinds) <= kind {
		s.kinds = append(s.kinds, pace{})
	}
	k := &s.kinds[kind]
	if k.n == 0 {
		s.n++
	} else {
		s.sum.mean -= 1 / k.mean
	}
	if k.n*kindWeight < 0.5 || took < k.mean {
		k.add(took, kindWeight)
	} else {
		k.add(took, kindWeight/8)
	}
	s.sum.mean += 1 / k.mean
}

func (p *pace) add(x, weight float64) {
	p.n = min(p.n+1, 1/weight)
	p.mean += (x - p.mean) / p.n
}

// bucket meters what a tenant may ask for within its share.
type bucket struct {
	rate, level, most float64
	at                time.Duration
}

// newBucket makes a bucket that holds some seconds of its rate, and a few more for chance. It starts with next
// to nothing: a tier that starts on more than it can do must not fill up before that is known.
func newBucket(now time.Duration, rate, burst float64) bucket {
	return bucket{rate: rate, level: bucketStart, most: bucketLeast + rate*burst, at: now}
}

// refill changes the rate from now on. What was saved up stays as far as the new rate would have let it: a bucket that
// grows begins without a burst.
func (b *bucket) refill(now time.Duration, rate, burst float64) {
	b.spend(now, 0)
	b.rate, b.most = rate, bucketLeast+rate*burst
	b.level = min(b.level, b.most)
}

// take takes n out, if they are there.
func (b *bucket) take(now time.Duration, n float64) bool {
	b.spend(now, 0)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// spend takes n out, on credit where they are not there: as much as it can hold.
func (b *bucket) spend(now time.Duration, n float64) {
	b.level = max(min(b.most, b.level+b.rate*(now-b.at).Seconds())-n, -b.most)
	b.at = now
}

// over is the ratio of a kind's mean to that of one of its endpoints; 1 while nothing is known of it.
func (p pace) over(own pace) float64 {
	if own.n == 0 || p.n == 0 {
		return 1
	}
	return p.mean / own.mean
}

// note takes an answer's latency, in seconds, into the figures.
func (c *class) note(now, window time.Duration, s float64) {
	if c.mean == 0 {
		c.mean, c.base = s, s
	}
	if c.tail -= tailStep * tailShare; s > (c.tail+tailStep)*c.mean {
		c.tail += tailStep
	}
	c.mean += latencyWeight * (s - c.mean)
	c.sum += s
	c.n++
	if c.windows == 0 {
		c.base = c.sum / float64(c.n)
		c.usual = c.base
	}
	if c.n >= baseAnswers && now-c.since >= window {
		c.look(c.sum / float64(c.n))
		c.sum, c.n, c.since = 0, 0, now
	}
}

// look moves the base latency by the mean of a window. The first window holds only the short ones of the
// first calls, and is passed over: a base learnt from it would hold back nearly everything.
func (c *class) look(mean float64) {
	c.windows++
	// The base latency comes to lie well under the mean of an easy tier, as it follows the lowest windows;
	// strain measured against it held calls back on quiet days.
	if c.windows <= baseSkip+1 {
		c.usual, c.base = mean, mean
		return
	}
	c.usual = follow(c.usual, mean, usualRise)
	c.base = follow(c.base, mean, baseRise)
}

// follow moves a latency towards a mean: faster where that is lower.
func follow(latency, mean, rise float64) float64 {
	if mean < latency {
		rise = baseFall
	}
	return latency + rise*(mean-latency)
}

func (b *Balancer) noteError(e *endpoint, x float64) {
	e.errors += errorWeight * (x - e.errors)
	b.errors += fleetWeight * (x - b.errors)
}

// debt counts a failed call as in flight for a number of base latencies more.
func (b *Balancer) debt(now time.Duration, e *endpoint, c *class, times float64) {
	e.debts = append(e.debts, now+seconds(times*c.base))
}

// settled tells whether the base latencies rest on enough to set limits by.
func (b *Balancer) settled() bool {
	return slices.ContainsFunc(b.classes, func(c *class) bool { return c.windows > baseSkip })
}

func (b *Balancer) unhold(i int) {
	b.held[i].held = false
	b.held = slices.Delete(b.held, i, i+1)
}

// hold puts a request among those waiting for an endpoint.
func (b *Balancer) hold(r *request) {
	r.held = true
	b.held = append(b.held, r)
}

// learn takes an answer's latency into the class's figures and the rates.
func (b *Balancer) learn(now time.Duration, r *request, e *endpoint, took time.Duration) {
	c, s := r.class, took.Seconds()
	c.note(now, b.window, s)
	b.rate.add(now, b.window, c.base)
	b.spare.add(now, b.window, aimShare*max(c.Aim.Seconds()-c.base, 0))
	b.notePace(now, e, s/c.mean)
	b.fit(now, e)
	b.served.add(now, b.window, 1)
}

// notePace takes an answer's latency, over the mean of its class, into the pace of its endpoint and of all
// endpoints of its kind: an endpoint that is seldom called is judged by its kind.
func (b *Balancer) notePace(now time.Duration, e *endpoint, slow float64) {
	if e.kind >= len(b.kinds) {
		b.kinds = append(b.kinds, make([]pace, e.kind+1-len(b.kinds))...)
	}
	b.kinds[e.kind].add(slow, kindWeight)
	e.pace.add(slow, paceWeight)
	b.drift(now, e.kind, false)
	b.settle(now, e)
}

// report takes the service time that an endpoint reports. It tells how fast a machine is within an answer or
// two; the latency of calls does not, as it holds the time of the tiers below.
func (b *Balancer) report(now time.Duration, e *endpoint, l *Load) {
	if l == nil || l.Service <= 0 {
		return
	}
	b.speeds.note(e.kind, l.Service.Seconds())
	e.service.add(l.Service.Seconds(), reportWeight)
	b.drift(now, e.kind, true)
	b.settle(now, e)
	if now-b.countAt > b.window {
		b.reweigh(now)
		b.countAt = now
	}
}

// speed is what the service times that endpoints of its kind report say of an endpoint, beside other kinds.
func (b *Balancer) speed(e *endpoint) float64 {
	if e.kind >= len(b.speeds.kinds) || b.speeds.kinds[e.kind].n == 0 {
		return 1
	}
	return float64(b.speeds.n) / b.speeds.sum.mean / b.speeds.kinds[e.kind].mean
}

// slow is an endpoint's latency over the fleet's, drawn towards its kind's while its own answers are few.
func (b *Balancer) slow(e *endpoint) float64 {
	return (paceTrust*b.kindPace(e) + e.pace.n*e.pace.mean) / (paceTrust + e.pace.n)
}

// kindPace is the latency of an endpoint's kind over the fleet's; 1 while its answers are few.
func (b *Balancer) kindPace(e *endpoint) float64 {
	if e.kind < len(b.kinds) && b.kinds[e.kind].n >= paceTrust {
		return b.kinds[e.kind].mean
	}
	return 1
}

// weight is an endpoint's listed weight, where the list's weights tell endpoints apart, else the speed that
// its kind reports.
func (b *Balancer) weight(e *endpoint) float64 {
	if b.weighted {
		return e.weight
	}
	return b.speed(e)
}
