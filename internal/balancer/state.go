package balancer

import (
	"math"
	"slices"
	"time"
)

// This file holds the state that decisions rest on, and how figures are smoothed; it decides nothing.

// availability is what an endpoint is open to.
type availability uint8

const (
	available availability = iota
	warmingUp              // usable, but just started or just back: drawn less often
	ejected                // gets trial calls only
	draining               // draining or gone: gets nothing new
)

// endpoint is what this instance knows of one endpoint.
type endpoint struct {
	id            EndpointID
	zone, cell    int
	kind          int
	listedWeight  float64 // listed size, compared with others'
	latency       movingAverage
	serviceTime   movingAverage // seconds of service that it reports
	availability  availability
	listed        bool
	startedAt     time.Duration // process start as listed
	listVersion   uint64        // of the list that named it last
	slowStartFrom time.Duration // since when its ramp counts

	index             indexEntry // in the fleet
	calls             []*request // own calls in flight, oldest first
	drawWeight        float64    // in the draw that is made
	busyIndex         int        // its place among those that have some, from 1; 0 if it has none
	penalties         []time.Duration
	saturated         bool    // far slower than its kind, and not yet recovered
	connectionBroke   bool    // a connection broke: it may have restarted, and be cold
	subsetWeight      float64 // of its weight that is in this instance's subset; 0 outside of it
	lastResponseAt    time.Duration
	rejectsUntil      time.Duration // turned a call away: passed over until then
	errorRate         float64       // smoothed share of answers that are errors
	lossRate          float64       // and of calls that it lost
	lostCalls         int           // own calls in flight that it will hardly answer
	trialAt           time.Duration
	trialBackoff      time.Duration
	slowStartTokens   float64 // sends a ramping endpoint may get now
	slowStartTokensAt time.Duration
}

// matches tells whether the list has the same of an endpoint as before, but for its state.
func (e *endpoint) matches(x ListEntry) bool {
	return e.zone == x.Zone && e.cell == x.Cell && e.kind == max(x.MachineKind, 0) && e.listedWeight == max(x.Weight, 0)
}

// busySet are the endpoints with calls in flight, in no order.
type busySet []*endpoint

// add puts an endpoint in or takes it out, as its calls in flight have come to be.
func (b *busySet) update(e *endpoint) {
	switch in := len(e.calls) > 0; {
	case in && e.busyIndex == 0:
		*b = append(*b, e)
		e.busyIndex = len(*b)
	case !in && e.busyIndex > 0:
		last := (*b)[len(*b)-1]
		(*b)[e.busyIndex-1], last.busyIndex = last, e.busyIndex
		*b = (*b)[:len(*b)-1]
		e.busyIndex, e.lostCalls = 0, 0
	}
}

// add works out the odds of candidates once for a draw, that looks at each of them four times.
func (b *Balancer) weighCandidates(now time.Duration, c []*endpoint) {
	for _, e := range c {
		e.drawWeight = b.capacityShare(now, e) * b.drawWeight(e)
	}
}

// request is one request from its arrival to its final answer and last outcome.
type request struct {
	id              RequestID
	class           *class
	overQuota       bool // beyond its tenant's share
	deadline        time.Duration
	targetAt        time.Duration // an answer after this is worth little
	attempts        int
	maxAttempts     int           // attempts
	attemptTimeout  time.Duration // of an attempt; 0 for none of its own
	valueFactor     float64       // its worth, beside others of its class
	endpoint        *endpoint     // of the attempt that is out
	failedEndpoint  *endpoint     // of the last attempt that failed
	sentAt          time.Duration
	responsesAtSend int  // the fleet's answers when it was sent
	trial           bool // the attempt that is out ends an isolation if it is served
	mayHaveRun      bool // an attempt may have run:
	ranInZone       int  // where, when it was sent
	ranInCell       int
	ranAt           time.Duration // and when the first one was
	pending         bool
	streaming       bool
	done            bool
	cancelled       bool // withdrawn by us: the outcome is still to come

	overtaken int  // answers to calls that were sent after the attempt that is out
	lost      bool // that attempt will hardly be answered,
	overdue   bool // and was not for longer still
}

// class is a class of request with what was seen of its latency.
type class struct {
	Class
	meanLatency   float64 // seconds, smoothed
	baseLatency   float64 // seconds, at little load
	usualLatency  float64 // seconds, at a usual load
	tailRatio     float64 // means that one answer in a hundred passes
	windowSum     float64
	windowSamples int
	windowStart   time.Duration // start of the window that sum and n cover
	windows       int           // looked at so far
	maxTimeLeft   time.Duration
	marginalValue float64 // of serving one more of it
	requests      float64 // requests of late,
	onTime        float64 // and those of them answered within their aim
}

// decayingRate is an exponentially smoothed rate and its recent peak.
type decayingRate struct {
	rate, peakRate float64
	updatedAt      time.Duration
}

func (d *decayingRate) add(now, window time.Duration, x float64) {
	dt := float64(now-d.updatedAt) / float64(window)
	d.rate = d.rate*math.Exp(-dt) + x/window.Seconds()
	d.peakRate = max(d.rate, d.peakRate*math.Exp(-dt/peakHoldWindows))
	d.updatedAt = now
}

// marginalValue is the present rate.
func (d *decayingRate) value(now, window time.Duration) float64 {
	return d.rate * math.Exp(-float64(now-d.updatedAt)/float64(window))
}

// peak is the highest rate of late.
func (d *decayingRate) peak(now, window time.Duration) float64 {
	return d.peakRate * math.Exp(-float64(now-d.updatedAt)/float64(window)/peakHoldWindows)
}

// enqueueAfter lets the rate fade and keeps its peak.
func (d *decayingRate) decay(now, window time.Duration) {
	d.rate, d.updatedAt = d.value(now, window), now
}

// timeShare is the smoothed share of time in which something was so.
type timeShare struct {
	share     float64
	active    bool
	updatedAt time.Duration
}

// set notes whether it is so from now on.
func (t *timeShare) set(now, window time.Duration, is bool) {
	was := 0.0
	if t.active {
		was = 1
	}
	t.share = was + (t.share-was)*math.Exp(-float64(now-t.updatedAt)/float64(window))
	t.active, t.updatedAt = is, now
}

// movingAverage is a smoothed latency ratio and the number of answers, up to a limit, that it rests on.
type movingAverage struct {
	mean, samples float64
	settledMean   float64 // mean when what rests on it was last settled; 0 if it never was
}

// drift is how far it has moved since then, as a ratio of at least 1.
func (m *movingAverage) drift() float64 {
	if m.settledMean <= 0 || m.mean <= 0 {
		return 1
	}
	return max(m.mean/m.settledMean, m.settledMean/m.mean)
}

// serviceTimes are the service times that the endpoints of each kind report, in seconds.
type serviceTimes struct {
	kinds            []movingAverage
	inverseSum       movingAverage // of 1 / mean over the kinds that report
	reporting        int           // and how many they are,
	settledReporting int           // when endpoints were last settled
}

// add takes a service time in: lower ones count more.
func (s *serviceTimes) add(kind int, took float64) {
	for len(s.kinds) <= kind {
		s.kinds = append(s.kinds, movingAverage{})
	}
	k := &s.kinds[kind]
	if k.samples == 0 {
		s.reporting++
	} else {
		s.inverseSum.mean -= 1 / k.mean
	}
	if k.samples*kindLatencyWeight < 0.5 || took < k.mean {
		k.add(took, kindLatencyWeight)
	} else {
		k.add(took, kindLatencyWeight/8)
	}
	s.inverseSum.mean += 1 / k.mean
}

func (m *movingAverage) add(x, weight float64) {
	m.samples = min(m.samples+1, 1/weight)
	m.mean += (x - m.mean) / m.samples
}

// tokenBucket meters what a tenant may ask for within its share.
type tokenBucket struct {
	rate, tokens, capacity float64
	updatedAt              time.Duration
}

// newTokenBucket makes a bucket that holds some seconds of its rate, and a few more for chance. It starts with next
// to nothing: a tier that starts on more than it can do must not fill up before that is known.
func newTokenBucket(now time.Duration, rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, tokens: initialTokens, capacity: minBurst + rate*burst, updatedAt: now}
}

// setRate changes the rate from now on. What was saved up stays as far as the new rate would have let it: a bucket that
// grows begins without a burst.
func (t *tokenBucket) setRate(now time.Duration, rate, burst float64) {
	t.forceTake(now, 0)
	t.rate, t.capacity = rate, minBurst+rate*burst
	t.tokens = min(t.tokens, t.capacity)
}

// take takes n out, if they are there.
func (t *tokenBucket) take(now time.Duration, n float64) bool {
	t.forceTake(now, 0)
	if t.tokens < n {
		return false
	}
	t.tokens -= n
	return true
}

// forceTake takes n out, on credit where they are not there: as much as it can hold.
func (t *tokenBucket) forceTake(now time.Duration, n float64) {
	t.tokens = max(min(t.capacity, t.tokens+t.rate*(now-t.updatedAt).Seconds())-n, -t.capacity)
	t.updatedAt = now
}

// ratioTo is the ratio of a kind's mean to that of one of its endpoints; 1 while nothing is known of it.
func (m movingAverage) ratioTo(own movingAverage) float64 {
	if own.samples == 0 || m.samples == 0 {
		return 1
	}
	return m.mean / own.mean
}

// add takes an answer's latency, in seconds, into the figures.
func (c *class) addLatency(now, window time.Duration, s float64) {
	if c.meanLatency == 0 {
		c.meanLatency, c.baseLatency = s, s
	}
	if c.tailRatio -= tailStep * tailQuantile; s > (c.tailRatio+tailStep)*c.meanLatency {
		c.tailRatio += tailStep
	}
	c.meanLatency += meanLatencyWeight * (s - c.meanLatency)
	c.windowSum += s
	c.windowSamples++
	if c.windows == 0 {
		c.baseLatency = c.windowSum / float64(c.windowSamples)
		c.usualLatency = c.baseLatency
	}
	if c.windowSamples >= minWindowSamples && now-c.windowStart >= window {
		c.closeWindow(c.windowSum / float64(c.windowSamples))
		c.windowSum, c.windowSamples, c.windowStart = 0, 0, now
	}
}

// closeWindow moves the base latency by the mean of a window. The first window holds only the short ones of the
// first calls, and is passed over: a base learnt from it would hold back nearly everything.
func (c *class) closeWindow(mean float64) {
	c.windows++
	// The base latency comes to lie well under the mean of an easy tier, as it follows the lowest windows;
	// strain measured against it held calls back on quiet days.
	if c.windows <= skippedWindows+1 {
		c.usualLatency, c.baseLatency = mean, mean
		return
	}
	c.usualLatency = moveToward(c.usualLatency, mean, usualLatencyRise)
	c.baseLatency = moveToward(c.baseLatency, mean, baseLatencyRise)
}

// moveToward moves a latency towards a mean: faster where that is lower.
func moveToward(latency, mean, rise float64) float64 {
	if mean < latency {
		rise = baseLatencyFall
	}
	return latency + rise*(mean-latency)
}

func (b *Balancer) addErrorSample(e *endpoint, x float64) {
	e.errorRate += endpointErrorWeight * (x - e.errorRate)
	b.errorRate += fleetErrorWeight * (x - b.errorRate)
}

// penalize counts a failed call as in flight for a number of base latencies more.
func (b *Balancer) penalize(now time.Duration, e *endpoint, c *class, times float64) {
	e.penalties = append(e.penalties, now+seconds(times*c.baseLatency))
}

// latenciesKnown tells whether the base latencies rest on enough to set limits by.
func (b *Balancer) latenciesKnown() bool {
	return slices.ContainsFunc(b.classes, func(c *class) bool { return c.windows > skippedWindows })
}

func (b *Balancer) removePending(i int) {
	b.pending[i].pending = false
	b.pending = slices.Delete(b.pending, i, i+1)
}

// enqueue puts a request among those waiting for an endpoint.
func (b *Balancer) enqueue(r *request) {
	r.pending = true
	b.pending = append(b.pending, r)
}

// recordLatency takes an answer's latency into the class's figures and the rates.
func (b *Balancer) recordLatency(now time.Duration, r *request, e *endpoint, took time.Duration) {
	c, s := r.class, took.Seconds()
	c.addLatency(now, b.rateWindow, s)
	b.baseConcurrency.add(now, b.rateWindow, c.baseLatency)
	b.targetConcurrency.add(now, b.rateWindow, targetShare*max(c.LatencyTarget.Seconds()-c.baseLatency, 0))
	b.recordEndpointLatency(now, e, s/c.meanLatency)
	b.adaptQueue(now, e)
	b.servedRate.add(now, b.rateWindow, 1)
}

// recordEndpointLatency takes an answer's latency, over the mean of its class, into the pace of its endpoint and of all
// endpoints of its kind: an endpoint that is seldom called is judged by its kind.
func (b *Balancer) recordEndpointLatency(now time.Duration, e *endpoint, slow float64) {
	if e.kind >= len(b.kindLatencies) {
		b.kindLatencies = append(b.kindLatencies, make([]movingAverage, e.kind+1-len(b.kindLatencies))...)
	}
	b.kindLatencies[e.kind].add(slow, kindLatencyWeight)
	e.latency.add(slow, endpointLatencyWeight)
	b.noteDrift(now, e.kind, false)
	b.refreshPools(now, e)
}

// recordLoadReport takes the service time that an endpoint reports. It tells how fast a machine is within an answer or
// two; the latency of calls does not, as it holds the time of the tiers below.
func (b *Balancer) recordLoadReport(now time.Duration, e *endpoint, l *Load) {
	if l == nil || l.ServiceTime <= 0 {
		return
	}
	b.kindServiceTimes.add(e.kind, l.ServiceTime.Seconds())
	e.serviceTime.add(l.ServiceTime.Seconds(), serviceTimeWeight)
	b.noteDrift(now, e.kind, true)
	b.refreshPools(now, e)
	if now-b.reweighedAt > b.rateWindow {
		b.updateWeights(now)
		b.reweighedAt = now
	}
}

// kindSpeed is what the service times that endpoints of its kind report say of an endpoint, beside other kinds.
func (b *Balancer) kindSpeed(e *endpoint) float64 {
	if e.kind >= len(b.kindServiceTimes.kinds) || b.kindServiceTimes.kinds[e.kind].samples == 0 {
		return 1
	}
	return float64(b.kindServiceTimes.reporting) / b.kindServiceTimes.inverseSum.mean / b.kindServiceTimes.kinds[e.kind].mean
}

// latencyRatio is an endpoint's latency over the fleet's, drawn towards its kind's while its own answers are few.
func (b *Balancer) latencyRatio(e *endpoint) float64 {
	return (kindTrustSamples*b.kindLatencyRatio(e) + e.latency.samples*e.latency.mean) / (kindTrustSamples + e.latency.samples)
}

// kindLatencyRatio is the latency of an endpoint's kind over the fleet's; 1 while its answers are few.
func (b *Balancer) kindLatencyRatio(e *endpoint) float64 {
	if e.kind < len(b.kindLatencies) && b.kindLatencies[e.kind].samples >= kindTrustSamples {
		return b.kindLatencies[e.kind].mean
	}
	return 1
}

// endpointWeight is an endpoint's listed weight, where the list's weights tell endpoints apart, else the speed that
// its kind reports.
func (b *Balancer) endpointWeight(e *endpoint) float64 {
	if b.useListedWeights {
		return e.listedWeight
	}
	return b.kindSpeed(e)
}
