package balancer

import (
	"cmp"
	"math/rand/v2"
	"time"

	"quincegap/internal/structures/deadlinequeue"
	"quincegap/internal/structures/throttle"
)

// tickQuanta is the time between two ticks, as a multiple of Settings.Quantum. Each tick checks the pending and the overdue
// requests.
const tickQuanta = 4

// Tokens of the timers that a Balancer sets.
const (
	timerTick  uint64 = iota // next tick
	timerWatch               // next subscription to the endpoint list
)

// randomStream is the second seed of the random generator, which selects its stream. The first seed is the argument of New.
const randomStream = 0x6a617370

// Balancer makes the decisions of one instance. It is not safe for concurrent use.
type Balancer struct {
	settings     Settings
	host         Host
	rng          *rand.Rand
	rateWindow   time.Duration // time over which rates are smoothed
	tickInterval time.Duration
	tickArmed    bool
	shutdownAt   time.Duration // time at which this instance ends; never while that is unknown
	quotaDivisor float64       // number of instances that a limit shared by all instances is divided by

	// Requests, from arrival until both the final answer and the outcome of the last attempt are known.
	requests    map[RequestID]*request
	classes     []*class
	quotas      quotas
	pending     []*request                    // requests that wait to be sent
	pendingTime timeShare                     // share of recent time in which at least one request was pending
	backoffs    deadlinequeue.Queue[*request] // requests by the end of their backoff, at which they become pending again
	// retryElapsed is the mean age of clients' retries on arrival, in seconds. The age of a retry is the time since the client's
	// first attempt. The mean is over the retries whose remaining time shows their age.
	retryElapsed float64

	// Limits.
	inFlight    int               // number of attempts in flight, except those at ejected endpoints
	concurrency concurrency       // limit on the attempts in flight
	sends       sendLimiter       // limit on the rate of sends
	rejections  throttle.Throttle // limit on the attempts that end without having run
	retries     retryBudget

	// Endpoints.
	endpointsByID   map[EndpointID]*endpoint
	listed          []*endpoint // listed endpoints, in order of their ids
	added           []*endpoint // endpoints that the update being handled names for the first time
	busy            busySet     // endpoints with attempts in flight
	index           endpointIndex
	subset          subset
	pools           drawPools
	scanLimit       int // number of endpoints above which candidates are drawn from pools instead of found by a scan
	exhausted       exhaustion
	candidateBuffer []*endpoint

	// Estimates of the endpoints' speed and health.
	weights     weightModel
	reweighedAt time.Duration
	outliers    outliers
	losses      losses
	trials      deadlinequeue.Queue[*endpoint] // ejected endpoints without attempts in flight, by the time their next trial is due
	slowStarts  deadlinequeue.Queue[*endpoint] // endpoints in slow start, by the time of the next check of their capacity share
	// availableSendRate is the rate of requests per second to available endpoints, for each unit of their draw weight.
	availableSendRate decayingRate
	noneAvailable     bool // no endpoint of the subset was available at the latest tick

	requestRate decayingRate // rate of accepted requests, per second
	servedRate  decayingRate // rate of answers, per second

	nextFetchAt  time.Duration // earliest time of the next fetch of the list
	watchBackoff time.Duration // upper bound of the random delay before the next subscription; doubles with each failure
}

// New returns a Balancer for the settings, or an error that names the first invalid setting. All random choices derive from the
// seed.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	balancer := &Balancer{
		settings:      settings,
		host:          host,
		rng:           rand.New(rand.NewPCG(seed, randomStream)),
		rateWindow:    cmp.Or(settings.OverloadDuration, time.Second),
		tickInterval:  max(tickQuanta*settings.Quantum, time.Millisecond),
		shutdownAt:    never,
		quotaDivisor:  float64(settings.Instances),
		requests:      map[RequestID]*request{},
		endpointsByID: map[EndpointID]*endpoint{},
		concurrency:   concurrency{queue: initialQueue},
		retries:       retryBudget{tokens: maxRetryBudget},
		losses:        losses{overdueShare: 0.5},
		index:         newEndpointIndex(),
		pools:         drawPools{boundSlack: 1},
		scanLimit:     maxScanned,
	}
	// Entries with the same deadline are handled in order of their ids, so that the same events always give the same actions.
	byID := func(a, b *endpoint) bool { return a.id < b.id }
	balancer.slowStarts.Less = byID
	balancer.trials.Less = byID
	balancer.backoffs.Less = func(a, b *request) bool { return a.id < b.id }
	for _, class := range settings.Classes {
		balancer.addClass(class)
	}
	return balancer, nil
}

// HandleTimer handles the expiry of the timer with a token, and ignores an unknown token.
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

// armTick sets the timer of the next tick while any request is pending or in flight.
func (b *Balancer) armTick() {
	if !b.tickArmed && len(b.requests) > 0 {
		b.tickArmed = true
		b.host.SetTimer(timerTick, b.tickInterval)
	}
}

// handleTick handles state that changes with time alone: backoffs, slow starts, and attempts without a response.
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

// HandleHealthCheck ignores the result of a health check, as this Balancer requests none.
func (b *Balancer) HandleHealthCheck(time.Duration, HealthCheckResult) {}

// HandlePeerMessage ignores a message from another instance, as this Balancer sends none.
func (b *Balancer) HandlePeerMessage(_ time.Duration, _ int, _ []byte) {}
