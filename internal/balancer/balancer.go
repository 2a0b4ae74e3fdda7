package balancer

import (
	"cmp"
	"math/rand/v2"
	"time"

	"quincegap/internal/structures/deadlinequeue"
	"quincegap/internal/structures/throttle"
)

// tickQuanta is how many quanta there are between two ticks, at which pending and overdue requests are looked at.
const tickQuanta = 4

// Tokens of the timers that a Balancer sets.
const (
	timerTick uint64 = iota
	timerWatch
)

// randomStream is the stream of the random generator; the seed is that of New.
const randomStream = 0x6a617370

// Balancer decides for one instance. It is not safe for concurrent use.
type Balancer struct {
	settings     Settings
	host         Host
	rng          *rand.Rand
	rateWindow   time.Duration // over which rates are smoothed
	tickInterval time.Duration
	tickArmed    bool
	shutdownAt   time.Duration // when this instance ends; never where that is not known
	quotaDivisor float64       // number of instances by which limits that hold for all of them together are divided

	// Requests, from their arrival to their final answer and last outcome.
	requests    map[RequestID]*request
	classes     []*class
	quotas      quotas
	pending     []*request                    // those that wait to be sent
	pendingTime timeShare                     // share of recent time in which some were pending
	backoffs    deadlinequeue.Queue[*request] // those that are pending again when their backoff is over
	// retryElapsed is the mean time, in seconds, that had elapsed for a client when its retry came, of the retries that show it.
	retryElapsed float64

	// Limits.
	inFlight    int               // attempts in flight, except those at ejected endpoints
	concurrency concurrency       // on attempts in flight
	sends       sendLimiter       // on the rate of sends
	rejections  throttle.Throttle // on attempts that end without having run
	retries     retryBudget

	// Endpoints.
	endpointsByID   map[EndpointID]*endpoint
	listed          []*endpoint // in the order of their ids
	added           []*endpoint // those that were not known before the list that is being handled
	busy            busySet     // those that have attempts in flight
	index           endpointIndex
	subset          subset
	pools           drawPools
	scanLimit       int // up to so many endpoints are scanned one by one; where there are more, candidates are drawn from pools
	exhausted       exhaustion
	candidateBuffer []*endpoint

	// What endpoints are judged by.
	weights     weightModel
	reweighedAt time.Duration
	outliers    outliers
	losses      losses
	trials      deadlinequeue.Queue[*endpoint] // ejected ones without an attempt in flight, by when a trial is due
	slowStarts  deadlinequeue.Queue[*endpoint] // those in slow start, by when their capacity share is to be looked at again
	// warmSendRate is the requests a second that are sent to available endpoints, for each unit of their draw weight.
	warmSendRate  decayingRate
	noneAvailable bool // no endpoint of the subset was available at the latest tick

	requestRate decayingRate // requests a second
	servedRate  decayingRate // answers a second

	nextFetchAt  time.Duration // the list is not fetched again before then
	watchBackoff time.Duration // bound of the random wait for the next subscription; it doubles with each failure
}

// New makes a Balancer, or returns an error that names the setting that it cannot act on. The seed is that of all its random
// choices.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	balancer := &Balancer{
		settings: settings, host: host, rng: rand.New(rand.NewPCG(seed, randomStream)),
		rateWindow:   cmp.Or(settings.OverloadDuration, time.Second),
		tickInterval: max(tickQuanta*settings.Quantum, time.Millisecond),
		shutdownAt:   never, quotaDivisor: float64(settings.Instances),
		requests: map[RequestID]*request{}, endpointsByID: map[EndpointID]*endpoint{},
		concurrency: concurrency{queue: initialQueue},
		retries:     retryBudget{tokens: maxRetryBudget},
		losses:      losses{overdueShare: 0.5},
		index:       newEndpointIndex(), pools: drawPools{boundSlack: 1}, scanLimit: maxScanned,
	}
	// What is due at the same time comes in the order of ids, so that the same events give the same actions.
	byID := func(a, b *endpoint) bool { return a.id < b.id }
	balancer.slowStarts.Less, balancer.trials.Less = byID, byID
	balancer.backoffs.Less = func(a, b *request) bool { return a.id < b.id }
	for _, class := range settings.Classes {
		balancer.addClass(class)
	}
	return balancer, nil
}

// HandleTimer takes a timer that fell due.
func (b *Balancer) HandleTimer(now time.Duration, token uint64) {
	switch token {
	case timerTick:
		b.tickArmed = false
		b.handleTick(now)
		b.armTick()
	case timerWatch:
		b.host.WatchEndpoints(true)
	}
}

// armTick keeps the tick going while any request is pending or in flight.
func (b *Balancer) armTick() {
	if !b.tickArmed && len(b.requests) > 0 {
		b.tickArmed = true
		b.host.SetTimer(timerTick, b.tickInterval)
	}
}

// handleTick looks at what time alone decides.
func (b *Balancer) handleTick(now time.Duration) {
	b.enqueueDue(now)
	b.advanceSlowStarts(now)
	b.exhausted.reset()
	b.holdSlowStartRate(now)
	b.losses.inFlight = 0
	for _, ep := range b.busy {
		b.ejectUnresponsive(now, ep)
		b.detectLost(now, ep)
	}
	b.dispatch(now)
}

// HandleHealthCheck takes the result of a health check; this Balancer asks for none, and passes it over.
func (b *Balancer) HandleHealthCheck(time.Duration, HealthCheckResult) {}

// HandlePeerMessage takes a message of a peer; this Balancer sends none, and passes it over.
func (b *Balancer) HandlePeerMessage(_ time.Duration, _ int, _ []byte) {}
