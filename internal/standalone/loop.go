package standalone

import (
	"context"
	"log"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/protocolfallback"
	"quincegap/internal/modules/route"
	"quincegap/internal/network/exchange"
	"quincegap/internal/network/http1"
)

const (
	// clockStart is the event clock at the start of the process. It is well above 0, so that an endpoint
	// that started shortly before this sidecar did has a start above 0 too: 0 stands for long past.
	clockStart     = 24 * time.Hour
	eventQueueSize = 1024
	sweepInterval  = time.Second
)

// loop owns the Balancer and all state that goes with it: one goroutine runs the functions in events, and
// only it touches the fields from rev on. It is the Balancer's Host.
type loop struct {
	events     chan func()
	origin     time.Time   // zero of the event clock
	ready      atomic.Bool // the Balancer has a list
	bodyBudget exchange.Budget

	config        *Config
	shutdownAt    time.Time // when all must be answered; zero unless this sidecar was told to stop
	versionFilter endpointsource.VersionFilter
	merger        *endpointsource.Merger
	nextTick      time.Duration // when members are next looked at; 0 for never
	stopFollower  context.CancelFunc
	balancer      *balancer.Balancer
	requests      map[balancer.RequestID]*request
	recentIDs     recentIDs
	endpoints     *endpointTable
	http1         *http1.Transport // the usual one of ways
	transports    transports
	watcher       *watcher
	memory        *memory // nil for none
	backlog       backlog
}

// request is one request from its arrival until it is answered and its last attempt has ended.
type request struct {
	balancer.Request
	exchange.Inbound

	deadline      time.Time // when its attempts end, so that the last byte of its answer is out in time
	attempts      int
	inFlight      *attempt
	answered      bool
	route         *route.Route // that it takes; nil for none
	retryReserved bool         // a further attempt was taken out of that route's budget, and not made yet
	hedge         hedge
	answer        chan answer // holds one, so that the loop never waits for a handler
}

// answer is the final answer to a request: an endpoint's response, or a refusal or failure of our own.
type answer struct {
	response   *exchange.Response // nil unless served
	rejected   bool
	retryAfter time.Duration
}

func newLoop(c *Config) (*loop, error) {
	l := &loop{
		events: make(chan func(), eventQueueSize), origin: time.Now().Add(-clockStart), config: c,
		requests:      map[balancer.RequestID]*request{},
		versionFilter: endpointsource.VersionFilter{MustSubscribe: c.Settings.MustSubscribe}, merger: endpointsource.New(c.tuning.endpointSource, c.Settings.Zones, c.Settings.Models),
		stopFollower: func() {},
	}
	l.endpoints = newEndpoints(c.Settings.Zones, c.Settings.Models, l.origin)
	sockets := int(c.tuning.endpoints.Share * float64(c.Limits.Sockets-reservedSockets))
	l.http1 = http1.NewTransport(sockets, c.idleTimeout(c.tuning), c.Settings.ConnectTimeout)
	l.transports.fallback = l.http1
	if to, err := openHTTP3Transport(c, sockets, c.idleTimeout(c.tuning)); err != nil {
		return nil, err
	} else if to != nil {
		l.transports.preferred = to
		l.transports.tracker.Settings = protocolfallback.Settings{InitialBackoff: c.tuning.http3Endpoints.Pause, MaxBackoff: c.tuning.http3Endpoints.Longest}
	}
	l.bodyBudget.Release(int(c.tuning.callers.BodyShare * float64(c.Limits.MemoryMB<<20)))
	l.watcher = newWatcher(c.Discovery, c.token, l)
	var err error
	if l.memory, err = openMemory(c, l.endpoints.zones, l.now()); err != nil {
		return nil, err
	}
	settings := c.Settings.Settings
	settings.MaxSubsetSize = c.tuning.endpoints.MaxSubsetSize
	l.balancer, err = balancer.New(settings, c.Seed, l)
	return l, err
}

func (l *loop) now() time.Duration { return time.Since(l.origin) }

// post hands an event to the loop. Only other goroutines may call it.
func (l *loop) post(event func()) { l.events <- event }

// run handles events for the life of the process.
func (l *loop) run() {
	l.loadLastKnown()
	if !l.config.Settings.MustSubscribe && l.config.Discovery != "" {
		l.watcher.start(l.versionFilter.WatchFrom())
	}
	l.startFollower(l.config.follower)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case event := <-l.events:
			event()
		case <-l.backlog.ready():
			l.backlog.next()
		case <-sweep.C:
			l.transports.sweep(time.Now())
			if l.memory != nil && l.watcher.isCurrent(l.now()) {
				l.memory.refreshList(l.now())
			}
		}
	}
}

// loadLastKnown begins with the endpoints as they were last known: by the platform's word, else by this sidecar's memory.
func (l *loop) loadLastKnown() {
	if l.memory != nil && len(l.config.Known.Targets) == 0 {
		if list, age, ok := l.memory.savedList(); ok {
			log.Printf("memory: begins with %d endpoints as they were %v ago", len(list.Endpoints), age.Round(time.Second))
			l.applyEndpoints(l.merger.HandlePlatformList(l.now(), list))
			return
		}
	}
	l.handleList(l.config.Known, endpointsource.FromCache)
}

// handleArrival takes a request from its handler.
func (l *loop) handleArrival(r *request, received time.Time) {
	switch limit := l.config.Settings.OpenCap; {
	case l.requests[r.ID] != nil || l.recentIDs.has(r.ID, l.now()):
		r.answer <- answer{} // the id is taken: nothing may be promised of it
		return
	case limit > 0 && len(l.requests) >= limit:
		r.answer <- answer{rejected: true}
		return
	}
	if l.memory != nil {
		if l.memory.rejects(l.now(), r) {
			r.answer <- answer{rejected: true, retryAfter: time.Second}
			return
		}
	}
	if r.route != nil && !r.route.Enter() {
		// A refusal says that a repeat is harmless, which is not so of what may have run.
		r.answer <- answer{rejected: !r.Prior.MayHaveRun, retryAfter: r.route.Settings.ComeBack}
		return
	}
	r.deadline = received.Add(r.TimeLeft - l.config.Settings.GraceToAnswer)
	r.TimeLeft = time.Until(r.deadline) // also where this sidecar ends before: the Balancer knows
	r.capDeadline(l.shutdownAt)
	l.requests[r.ID] = r
	l.balancer.HandleRequest(l.now(), r.Request)
}

// announceLeave has everything answered by a given time. What is out then is called off.
func (l *loop) shutDownAt(end time.Time) {
	l.shutdownAt = end
	for _, r := range l.requests {
		r.capDeadline(end)
	}
	l.balancer.ShutDownAt(l.now(), end.Sub(l.origin))
	time.AfterFunc(time.Until(end), func() {
		l.post(func() {
			for _, r := range l.requests {
				if r.inFlight != nil {
					r.inFlight.cancel()
				}
			}
		})
	})
}

// capDeadline cuts the time of a request's further attempts; a zero time leaves it.
func (r *request) capDeadline(end time.Time) {
	if !end.IsZero() && end.Before(r.deadline) {
		r.deadline = end
	}
}

// handleClientGone tells the Balancer that a client has gone.
func (l *loop) handleClientGone(r *request) {
	if l.requests[r.ID] != r || r.answered {
		select {
		case a := <-r.answer: // crossed the client's going
			l.releaseResponse(a.response)
		default:
		}
		return
	}
	l.abandon(r)
}

// abandon ends a request that nobody waits for any more, and its second copy. Only between events of the Balancer.
func (l *loop) abandon(r *request) {
	r.answered = true
	if r.inFlight != nil {
		r.inFlight.cancel() // its outcome follows
	}
	l.balancer.HandleClientGone(l.now(), r.ID)
	l.forget(r)
	if other := r.hedge.secondary; other != nil && !other.answered {
		l.abandon(other)
	}
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	exchange.Attempt
	request     *request
	number      int
	cancel      context.CancelFunc
	transport   exchange.Transport
	conn        exchange.Conn
	holdsConn   bool            // it was acquired, which nil may be too
	gate        *durabilityGate // what it waits for before it goes out; nil for nothing
	notRecorded bool            // it did not go out, for it could not be remembered
}

func newAttempt(r *request, e *exchange.Endpoint, timeout time.Duration, bodies *exchange.Budget) *attempt {
	a := &attempt{request: r, number: r.attempts}
	a.Request, a.Endpoint, a.Sent, a.Bodies = &r.Inbound, e, time.Now(), bodies
	deadline := r.deadline
	if end := a.Sent.Add(timeout); timeout != 0 && end.Before(deadline) {
		deadline = end
	}
	a.Context, a.cancel = context.WithDeadline(context.Background(), deadline)
	return a
}

// handleAttemptEnd takes the end of an attempt; its connection is closed or fit for another one.
func (l *loop) handleAttemptEnd(a *attempt, res exchange.Result) {
	r := a.request
	if a.holdsConn {
		a.transport.Release(a.Endpoint, a.conn, res.Conn)
	}
	if way := l.transports.fallbackAfter(l.now(), a, res); way != nil {
		l.dispatch(a, way)
		return
	}
	a.cancel()
	r.inFlight = nil
	l.recordLatency(a, res)
	final := r.answered
	if l.memory != nil {
		mayRun := l.memory.endAttempt(l.now(), a, res.Status, res.Status == balancer.StatusOK && !r.answered)
		if a.notRecorded && !r.answered {
			final = true
			l.deliver(r, answer{rejected: !mayRun, retryAfter: time.Second})
		}
	}
	last, pause := false, time.Duration(0)
	if r.route != nil && !final && res.Status != balancer.StatusOK {
		if r.route.Settings.Allows(res.Status) {
			r.retryReserved = r.retryReserved || r.route.Repeat()
		}
		last = !r.retryReserved
		pause = r.route.Settings.PauseAfter(r.attempts, rand.Float64())
	}
	if res.Status == balancer.StatusOK && !r.answered {
		if final = true; r.route != nil {
			r.route.Answered()
		}
		l.deliver(r, answer{response: res.Response})
		l.cancelOther(r)
	} else {
		l.releaseResponse(res.Response)
	}
	l.balancer.HandleOutcome(l.now(), balancer.Outcome{
		ID: r.ID, Endpoint: a.Endpoint.ID, Attempt: a.number, Final: final,
		Elapsed: res.Elapsed, Status: res.Status, Load: res.Load, NoRetry: last, Backoff: pause,
	})
	l.forget(r)
	if res.Status == balancer.StatusConnectFailed && l.merger.HasUnconfirmed() {
		l.applyEndpoints(l.merger.HandleConnectFailure(l.now(), a.Endpoint.UID))
	}
}

// releaseResponse lets go of a response.
func (l *loop) releaseResponse(r *exchange.Response) {
	if r != nil {
		l.bodyBudget.Release(len(r.Body))
	}
}

func (l *loop) deliver(r *request, a answer) {
	if r.answered || l.awaitHedge(r, &a) {
		return
	}
	r.answered = true
	r.answer <- a
}

// remove drops a request that nothing is owed to and nothing is out for.
func (l *loop) forget(r *request) {
	if r.answered && r.inFlight == nil && l.requests[r.ID] == r {
		delete(l.requests, r.ID)
		l.recentIDs.add(r.ID, l.now())
		if r.retryReserved {
			r.route.Unused()
		}
		if r.route != nil {
			r.route.Leave()
		}
	}
}

const (
	recentIDRetention = 10 * time.Second
	maxRecentIDs      = 4096
)

// recentIDs holds the ids of requests that have ended a short while ago. An id is new with every request: one that
// comes again is another's, and endpoints may run it twice or turn it away.
type recentIDs struct {
	endedAt map[balancer.RequestID]time.Duration
	ids     []balancer.RequestID // in the order in which they ended
}

func (p *recentIDs) add(id balancer.RequestID, now time.Duration) {
	if p.endedAt == nil {
		p.endedAt = map[balancer.RequestID]time.Duration{}
	}
	for len(p.ids) > 0 && (len(p.ids) >= maxRecentIDs || now-p.endedAt[p.ids[0]] > recentIDRetention) {
		delete(p.endedAt, p.ids[0])
		p.ids = p.ids[1:]
	}
	p.endedAt[id] = now
	p.ids = append(p.ids, id)
}

func (p *recentIDs) has(id balancer.RequestID, now time.Duration) bool {
	at, ok := p.endedAt[id]
	return ok && now-at <= recentIDRetention
}

// The methods below are the Host. They never block and never call the Balancer.

func (l *loop) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	r := l.requests[id]
	a := newAttempt(r, l.endpoints.byID[to], timeout, &l.bodyBudget)
	r.attempts++
	r.retryReserved = false
	r.inFlight = a
	if l.memory != nil {
		a.gate = l.memory.beginAttempt(l.now(), r, a.Endpoint)
	}
	l.scheduleHedge(a)
	l.dispatch(a, l.transports.choose(l.now(), a.Endpoint))
}

// dispatch makes an attempt by a transport.
func (l *loop) dispatch(a *attempt, by exchange.Transport) {
	c, ok := by.Acquire(a.Endpoint, a.Sent)
	if !ok && by != l.transports.fallback {
		l.transports.tracker.RecordInconclusive(a.Endpoint.Address)
		by = l.transports.fallback
		c, ok = by.Acquire(a.Endpoint, a.Sent)
	}
	a.transport, a.conn, a.holdsConn = by, c, ok
	go func() {
		res := exchange.Result{Status: balancer.StatusNotSent}
		switch {
		case !ok:
		case !a.gate.pass(a.Context):
			a.notRecorded = a.Context.Err() == nil
			res.Conn = c
		default:
			if a.gate != nil {
				a.Sent = time.Now() // the disk's time is not the endpoint's
			}
			res = by.Run(&a.Attempt, c)
		}
		l.post(func() { l.handleAttemptEnd(a, res) })
	}()
}

func (l *loop) Reject(id balancer.RequestID, retryAfter time.Duration) {
	l.endRequest(id, answer{rejected: true, retryAfter: retryAfter})
}

func (l *loop) Fail(id balancer.RequestID) { l.endRequest(id, answer{}) }

func (l *loop) endRequest(id balancer.RequestID, a answer) {
	if r := l.requests[id]; r != nil {
		l.deliver(r, a)
		l.forget(r)
	}
}

func (l *loop) Cancel(id balancer.RequestID, number int) {
	if r := l.requests[id]; r != nil && r.inFlight != nil && r.inFlight.number == number {
		r.inFlight.cancel()
	}
}

func (l *loop) SetTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() {
		l.post(func() { l.balancer.HandleTimer(l.now(), token) })
	})
}

func (l *loop) HealthCheck(to balancer.EndpointID) {
	e := l.endpoints.byID[to]
	if e == nil {
		return
	}
	sent := time.Now()
	go func() {
		status := http1.Probe(e, l.config.Settings.ConnectTimeout)
		l.post(func() {
			l.balancer.HandleHealthCheck(l.now(), balancer.HealthCheckResult{Endpoint: to, Status: status, Elapsed: time.Since(sent)})
		})
	}()
}

// SendToPeer has nowhere to send: the Balancer sends its peers nothing, and no peer sockets are opened for it.
func (l *loop) SendToPeer(peer int, data []byte) {}

func (l *loop) WatchEndpoints(on bool) {
	l.watcher.stop()
	if on {
		l.watcher.start(l.versionFilter.WatchFrom())
	}
}

func (l *loop) FetchEndpoints() {
	if l.config.Discovery != "" { // Consul may be all there is
		l.watcher.fetch()
	}
}

func (l *loop) CloseIdleConnections(to balancer.EndpointID) {
	l.transports.closeIdle(l.endpoints.byID[to])
}

func (l *loop) Log(text string) { log.Print(text) }

// switchDiscovery turns to the discovery at another address. Its versions may count otherwise, so its whole list is
// asked for, and nothing that the old one still says is heard. Until that comes, the list stays as it is.
func (l *loop) switchDiscovery(address, token string) {
	l.watcher.stop()
	l.watcher = newWatcher(address, token, l)
	l.versionFilter.SwitchDiscovery()
	if address == "" {
		return
	}
	l.watcher.fetch()
	if l.config.Settings.MustSubscribe {
		l.balancer.HandleEndpoints(l.now(), balancer.EndpointList{Kind: balancer.ListFailed}) // it watches in its own time
		return
	}
	l.watcher.start(nil)
}

// handleList takes a list of the platform's in.
func (l *loop) handleList(got endpointList, from endpointsource.ListOrigin) {
	l.handlePreparedList(got.prepare(from), from)
}

// handlePreparedList takes one in that was sorted out ahead.
func (l *loop) handlePreparedList(got preparedList, from endpointsource.ListOrigin) {
	takes, rewatch := l.versionFilter.Accept(from, got.rev, got.all)
	if rewatch {
		l.watcher.stop()
		l.watcher.start(&got.rev)
	}
	if !takes {
		return
	}
	var steps []func()
	for _, part := range l.merger.Chunks(got.PreparedList, maxChunkEntries) {
		steps = append(steps, func() { l.applyEndpoints(l.merger.HandlePlatformList(l.now(), part())) })
	}
	l.backlog.add(steps...)
}

// reportWrite passes on what the members were judged to be, first into the table of endpoints, so that what the
// Balancer then sends finds its address.
func (l *loop) applyEndpoints(list endpointsource.List, news bool) {
	for _, line := range l.merger.TakeLogs() {
		log.Print(line)
	}
	if news {
		entries, retired := l.endpoints.apply(list)
		for _, e := range retired {
			l.transports.closeIdle(e)
			if l.endpoints.byID[e.ID] == nil {
				l.transports.forget(e)
			}
		}
		l.balancer.HandleEndpoints(l.now(), balancer.EndpointList{Kind: list.Kind, Version: list.Version, Entries: entries})
		if l.memory != nil {
			l.memory.saveList(l.now(), list, l.endpoints.byID)
		}
		if list.Kind != balancer.ListCached || len(entries) > 0 {
			l.ready.Store(true)
		}
	}
	if at, ok := l.merger.NextTick(); ok && (l.nextTick == 0 || at < l.nextTick) {
		l.nextTick = at
		time.AfterFunc(at-l.now(), func() {
			l.post(func() {
				if l.nextTick == at { // else an earlier one has taken its place, and asks for the next
					l.nextTick = 0
				}
				l.applyEndpoints(l.merger.Tick(l.now()))
			})
		})
	}
}

// Follower follows a source of endpoints beside discovery until its context ends.
type Follower func(ctx context.Context, tell func(endpointsource.ConsulAnswer), heard func())

// startFollower follows another source in place of the one before; nil for none. Nothing that the old one
// still says is heard.
func (l *loop) startFollower(follow Follower) {
	l.stopFollower()
	if follow == nil {
		l.stopFollower = func() {}
		return
	}
	l.merger.RestartConsul()
	ctx, cancel := context.WithCancel(context.Background())
	l.stopFollower = cancel
	wanted := func(event func()) {
		l.post(func() {
			if ctx.Err() == nil {
				event()
			}
		})
	}
	go follow(ctx, func(a endpointsource.ConsulAnswer) {
		wanted(func() { l.applyEndpoints(l.merger.HandleConsulAnswer(l.now(), a)) })
	}, func() {
		wanted(func() { l.applyEndpoints(l.merger.HandleConsulUnchanged(l.now())) })
	})
}

// endpointView is what the endpoints are, for people; false where the loop does not answer in time.
func (l *loop) endpointView() (source string, rows []endpointsource.Row, ok bool) {
	const patience = 2 * time.Second
	late := time.NewTimer(patience)
	defer late.Stop()
	done := make(chan struct{})
	event := func() {
		source, rows = string(l.merger.Mode()), l.merger.Rows(l.now())
		close(done)
	}
	select {
	case l.events <- event:
	case <-late.C:
		return "", nil, false
	}
	<-done // the loop never waits, so this comes
	return source, rows, true
}

func (l *loop) handleListFailure(err error) {
	log.Printf("discovery: %v", err)
	l.balancer.HandleEndpoints(l.now(), balancer.EndpointList{Kind: balancer.ListFailed})
}
