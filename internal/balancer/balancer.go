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
	fetchIntervalShare   = 0.5  // of ResubscribeInterval (or Cold): the pace of fetching lists after broken connections
	maxConcurrentFetches = 16.0 // of these, that all instances ask for in that time
	watchSpreadShare     = 0.05 // of ResubscribeInterval: spread of the first Watch; it doubles with each failure
	tickQuanta           = 4    // quanta between looks at held and overdue calls
)

// Balancer decides for one instance. It is not safe for concurrent use.
type Balancer struct {
	settings     Settings
	host         Host
	rng          *rand.Rand
	rateWindow   time.Duration // over which rates are smoothed
	tickInterval time.Duration
	tickArmed    bool

	endpointIndex
	endpointsByID    map[EndpointID]*endpoint
	listedEndpoints  []*endpoint // in the order of their ids
	useListedWeights bool        // the listed weights tell endpoints apart
	requests         map[RequestID]*request
	classes          []*class
	kindLatencies    []movingAverage // by machine kind
	kindServiceTimes serviceTimes
	tenantQuotas     []tokenBucket
	totalQuota       tokenBucket // what all tenants may ask for within their shares
	pending          []*request
	pendingTime      timeShare // of late in which some were
	candidateBuffer  []*endpoint

	inFlight                    int          // attempts in flight
	busy                        busySet      // endpoints that have some
	ejectedCount                int          // endpoints
	lostInFlight                int          // those of them that no answer is expected for
	responses                   int          // answers of any kind
	baseConcurrency             decayingRate // base latencies answered a second: the calls in flight at little load
	concurrencyLimit            float64      // on calls in flight
	queuePerEndpoint            float64      // calls that may queue for each endpoint and tier
	queueChangedAt, reweighedAt time.Duration
	subsetSize                  float64      // endpoints in this instance's subset
	targetConcurrency           decayingRate // the same for the time from base latency to the aim
	servedRate                  decayingRate // answers a second
	requestRate                 decayingRate // requests a second
	pressure                    float64      // smoothed latency over what it should at most be on average
	sendRate                    float64      // calls a second that may be sent
	sendRateLimited             bool         // the strain was above 1, and has not let go
	pressureAt                  time.Duration
	sendTokens                  float64
	sendTokensAt                time.Duration
	warmSendRate                decayingRate      // sends a second to warm endpoints, for their odds
	errorRate                   float64           // smoothed share of answers that are errors
	overdueShare                float64           // and of overdue calls that stay away for longer
	retryBudget                 float64           // further attempts that may be made
	noneWarm                    bool              // none in the subset
	rejectionThrottle           throttle.Throttle // attempts that may end without having run
	pendingCancels              int               // attempts withdrawn whose end is still to come

	retryElapsed float64 // mean time, in seconds, that repeats had spent where they show it

	shutdownAt   time.Duration // when this instance ends, where that is known
	nextFetchAt  time.Duration // no fetch before
	watchBackoff time.Duration
}

// Timer tokens.
const timerTick, timerWatch = 0, 1

// New makes a Balancer, or names the setting that it cannot act on.
func New(set Settings, seed uint64, host Host) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: set, host: host, endpointIndex: newEndpointIndex(), rng: rand.New(rand.NewPCG(seed, 0x6a617370)),
		endpointsByID: map[EndpointID]*endpoint{}, requests: map[RequestID]*request{}, retryBudget: maxRetryBudget,
		queuePerEndpoint: initialQueue, overdueShare: 0.5, shutdownAt: math.MaxInt64,
	}
	b.rateWindow, b.quotaDivisor = cmp.Or(set.OverloadDuration, time.Second), float64(set.Instances)
	b.tickInterval = max(tickQuanta*set.Quantum, time.Millisecond)
	for _, c := range set.Classes {
		b.addClass(c)
	}
	return b, nil
}

// HandleRequest takes a new request.
func (b *Balancer) HandleRequest(now time.Duration, q Request) {
	c := b.classes[q.Class]
	low, spare := b.takeQuota(now, q)
	r := &request{
		id: q.ID, class: c, deadline: min(now+q.TimeLeft, b.shutdownAt), overQuota: low,
		maxAttempts: b.settings.maxAttempts(&q), attemptTimeout: q.AttemptTimeout, failedEndpoint: b.excluded(q.Exclude), valueFactor: cmp.Or(q.ValueFactor, 1),
		mayHaveRun: q.Prior.MayHaveRun, ranInZone: q.Prior.Zone, ranInCell: q.Prior.Cell, ranAt: q.Prior.SentAt,
	}
	r.targetAt = min(now+c.LatencyTarget-b.elapsedForClient(c, q), b.shutdownAt)
	b.requests[q.ID] = r
	if q.TimeLeft <= 0 || low && !spare || b.rejectsForShutdown(now, c, q) || !b.retrySafe(now, r) {
		b.finish(now, r)
		return
	}
	b.requestRate.add(now, b.rateWindow, 1)
	b.countRequest(c)
	b.enqueue(r)
	b.dispatch(now)
	b.armTick()
}

// ShutDownAt tells when this instance ends. All that it has or takes is answered by then: what can hardly be
// served in time is refused at once. Calls that are out then are the host's to end.
func (b *Balancer) ShutDownAt(now, at time.Duration) {
	b.shutdownAt = at
	for _, r := range b.requests {
		r.deadline, r.targetAt = min(r.deadline, at), min(r.targetAt, at)
	}
	b.dispatch(now)
}

// indexEntry sends held requests, the most worth first, while there is room.
func (b *Balancer) dispatch(now time.Duration) {
	b.advanceSlowStarts(now)
	if b.subsetStale {
		b.updateSubset(now)
	}
	b.updateLimits(now)
	if len(b.pending) > 1 {
		b.updateClassValues()
	}
	for len(b.pending) > 0 {
		if float64(b.inFlight-b.lostInFlight) >= b.concurrencyLimit || b.sendRateLimited && b.sendTokens < 1 || !b.rejectionThrottle.Allowed() {
			break
		}
		i := b.nextPending(now)
		r := b.pending[i]
		e, trial := b.pick(now, r)
		if e == nil {
			if !b.dispatchOther(now, i) {
				break
			}
			continue
		}
		b.removePending(i)
		b.send(now, r, e, trial)
	}
	b.shedLoad(now)
}

// dispatchOther places another request when the first in line, on a further attempt or a repeat, and so bound
// to a group or barred from an endpoint, has nowhere to go.
func (b *Balancer) dispatchOther(now time.Duration, not int) bool {
	if b.pending[not].attempts == 0 && !b.pending[not].mayHaveRun {
		return false
	}
	for i, r := range b.pending {
		if i == not {
			continue
		}
		if e, trial := b.pick(now, r); e != nil {
			b.removePending(i)
			b.send(now, r, e, trial)
			return true
		}
	}
	return false
}

// send makes an attempt.
func (b *Balancer) send(now time.Duration, r *request, e *endpoint, trial bool) {
	r.endpoint, r.sentAt, r.trial, r.responsesAtSend, r.cancelled = e, now, trial, b.responses, false
	r.overtaken, r.lost, r.overdue = 0, false, false
	r.attempts++
	b.sendTokens--
	b.rejectionThrottle.RecordAttempt()
	if e.availability != ejected {
		b.inFlight++
	}
	e.calls = append(e.calls, r)
	b.busy.update(e)
	if e.availability == warmingUp {
		e.slowStartTokens--
	} else if e.availability == ejected {
		b.refreshPools(now, e)
	}
	if w := b.availableSubsetWeight(); w > 0 && e.availability == available && e.subsetWeight > 0 {
		b.warmSendRate.add(now, b.rateWindow, 1/w)
	}
	timeout, slow := r.attemptTimeout, seconds(unresponsiveTails*r.class.tailRatio*r.class.meanLatency)
	if !b.settings.MayCancel && r.class.Idempotency != NonIdempotent && slow > 0 {
		timeout = min(slow, cmp.Or(timeout, slow))
	}
	if timeout >= r.deadline-now {
		timeout = 0
	}
	b.host.Send(r.id, e.id, timeout)
}

// HandleResponseStart tells that a streamed answer has started: the request is the client's from here on.
func (b *Balancer) HandleResponseStart(now time.Duration, id RequestID, attempt int, from EndpointID) {
	if r := b.requests[id]; r != nil && r.endpoint != nil {
		r.streaming = true
		r.endpoint.lastResponseAt = now
		b.responses++
	}
}

// HandleOutcome takes the end of an attempt.
func (b *Balancer) HandleOutcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || r.endpoint == nil {
		return
	}
	e := r.endpoint
	r.endpoint = nil
	if r.cancelled {
		b.pendingCancels--
	}
	if e.availability != ejected {
		b.inFlight--
	}
	e.calls = slices.DeleteFunc(e.calls, func(x *request) bool { return x == r })
	b.busy.update(e)
	b.lastFreed = e
	if e.availability == ejected {
		b.refreshPools(now, e)
	}
	if o.Status == StatusOK {
		b.rejectionThrottle.RecordResponse(min(maxRejectionsPerResponse, max(slowStartHeadroom*b.settings.OverloadMultiple-1, retryBudgetShare)))
	} else if !o.Status.NeverRan() {
		b.rejectionThrottle.RecordResponse(0)
	}
	b.recordLoadReport(now, e, o.Load)
	b.recordOutcome(now, r, e, o)
	if o.Final || r.done || r.streaming {
		if !o.Final && !r.done {
			b.host.Fail(r.id)
		}
		delete(b.requests, r.id)
	} else {
		b.retryOrFinish(now, r, e, o)
	}
	b.dispatch(now)
	b.armTick()
}

// HandleClientGone tells that the client has gone: nothing is owed, and work for it is called off.
func (b *Balancer) HandleClientGone(now time.Duration, id RequestID) {
	r := b.requests[id]
	if r == nil {
		return
	}
	r.done = true
	if r.pending {
		b.removePending(slices.Index(b.pending, r))
	}
	if r.endpoint == nil {
		delete(b.requests, id)
		return
	}
	b.cancelAttempt(r)
}

// armTick keeps the tick going while anything is held or in flight.
func (b *Balancer) armTick() {
	if !b.tickArmed && len(b.requests) > 0 {
		b.tickArmed = true
		b.host.SetTimer(timerTick, b.tickInterval)
	}
}

// HandleTimer takes a timer that fell due.
func (b *Balancer) HandleTimer(now time.Duration, token uint64) {
	switch token {
	case timerTick:
		b.tickArmed = false
		b.lostInFlight = 0
		b.advanceSlowStarts(now)
		b.exhausted, b.lastFreed = [2]bool{}, nil
		// Where none is warm no send can renew what ramps go by: it faded, and with it what cold ones got.
		if b.noneWarm = b.availableSubsetWeight() == 0; b.noneWarm {
			b.warmSendRate.decay(now, b.rateWindow)
		}
		for _, e := range b.busy {
			b.ejectUnresponsive(now, e)
			b.detectLost(now, e)
		}
		b.dispatch(now)
		b.armTick()
	case timerWatch:
		b.host.WatchEndpoints(true)
	}
}

// HandleEndpoints takes news of the endpoint list.
func (b *Balancer) HandleEndpoints(now time.Duration, l EndpointList) {
	if l.Kind == ListFailed {
		b.scheduleWatch()
		return
	}
	if l.Kind != ListDelta {
		for _, e := range b.listedEndpoints {
			e.listed = false
		}
	}
	if b.tenantQuotas == nil {
		b.startQuotas(now)
	}
	for _, x := range l.Entries {
		b.applyEntry(now, l, x)
	}
	b.syncList(now, l)
	b.exhausted, b.lastFreed = [2]bool{}, nil
	switch {
	case l.Kind == ListCached && b.settings.MustSubscribe:
		b.scheduleWatch()
	case l.Kind != ListCached:
		b.watchBackoff = 0
	}
	b.dispatch(now)
	b.armTick()
}

// scheduleWatch subscribes after a pause that doubles with each failure, spread so that not all ask at once.
func (b *Balancer) scheduleWatch() {
	if !b.settings.MustSubscribe {
		return
	}
	first := max(seconds(watchSpreadShare*b.settings.ResubscribeInterval.Seconds()), b.tickInterval)
	b.watchBackoff = min(max(2*b.watchBackoff, first), max(b.settings.ResubscribeInterval, first))
	b.host.SetTimer(timerWatch, seconds(b.watchBackoff.Seconds()*b.rng.Float64()))
}

// fetchPaced asks for a fresh list after a broken connection, at a pace. What breaks breaks for many instances
// at once, and discovery is one service for all: of more than maxConcurrentFetches so many ask on average, by lot. The
// others hear of it as of any change.
func (b *Balancer) fetchPaced(now time.Duration) {
	if now < b.nextFetchAt {
		return
	}
	pace := cmp.Or(b.settings.ResubscribeInterval, max(b.settings.SlowStartWindow, b.rateWindow))
	b.nextFetchAt = now + b.jitter(seconds(fetchIntervalShare*pace.Seconds()))
	if n := b.quotaDivisor; n <= maxConcurrentFetches || b.rng.Float64()*n < maxConcurrentFetches {
		b.host.FetchEndpoints()
	}
}

// applyEntry takes one line of a list.
func (b *Balancer) applyEntry(now time.Duration, l EndpointList, x ListEntry) {
	e := b.endpointsByID[x.Endpoint]
	if e == nil {
		e = &endpoint{id: x.Endpoint, availability: draining}
		b.endpointsByID[x.Endpoint] = e
		b.added = append(b.added, e)
	}
	moved := !e.matches(x)
	e.zone, e.cell, e.kind, e.listVersion = x.Zone, x.Cell, max(x.MachineKind, 0), l.Version
	e.listedWeight, e.listed = max(x.Weight, 0), x.State != EndpointRemoved
	b.endpointIndex.countWeight(e)
	restarted := x.StartedAt > e.startedAt
	e.startedAt = max(e.startedAt, x.StartedAt)
	switch {
	case x.State != EndpointReady:
		b.startDraining(now, e)
	case restarted && now-x.StartedAt < b.settings.SlowStartWindow:
		e.errorRate, e.penalties = 0, nil
		b.startSlowStart(now, e, x.StartedAt)
	case restarted, e.availability == draining:
		b.clearEjection(e)
		e.availability = available
		b.reindex(now, e)
	case moved:
		b.reindex(now, e)
	}
}

// HandleHealthCheck takes the result of a probe; this Balancer sends none, and passes it over.
func (b *Balancer) HandleHealthCheck(now time.Duration, p HealthCheckResult) {}

// HandlePeerMessage takes a peer's message; this Balancer sends none, and passes it over.
func (b *Balancer) HandlePeerMessage(now time.Duration, from int, data []byte) {}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (0.75 + 0.5*b.rng.Float64()))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
