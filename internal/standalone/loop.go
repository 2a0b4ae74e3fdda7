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
	clockStart = 24 * time.Hour
	eventQueue = 1024
	sweepEvery = time.Second
)

// loop owns the Balancer and all state that goes with it: one goroutine runs the functions in events, and
// only it touches the fields from rev on. It is the Balancer's Host.
type loop struct {
	events chan func()
	origin time.Time   // zero of the event clock
	ready  atomic.Bool // the Balancer has a list
	bodies exchange.Budget

	config    *Config
	endsAt    time.Time // when all must be answered; zero unless this sidecar was told to stop
	feed      endpointsource.VersionFilter
	members   *endpointsource.Merger
	due       time.Duration // when members are next looked at; 0 for never
	unfollow  context.CancelFunc
	balancer  *balancer.Balancer
	requests  map[balancer.RequestID]*request
	past      past
	endpoints *endpoints
	http1     *http1.Transport // the usual one of ways
	ways      transports
	watcher   *watcher
	memory    *memory // nil for none
	backlog   backlog
}

// request is one request from its arrival until it is answered and its last attempt has ended.
type request struct {
	balancer.Request
	exchange.Inbound

	deadline time.Time // when its attempts end, so that the last byte of its answer is out in time
	attempts int
	out      *attempt
	answered bool
	route    *route.Route // that it takes; nil for none
	credit   bool         // a further attempt was taken out of that route's budget, and not made yet
	pair     pair
	answer   chan answer // holds one, so that the loop never waits for a handler
}

// answer is the final answer to a request: an endpoint's response, or a refusal or failure of our own.
type answer struct {
	response   *exchange.Response // nil unless served
	refused    bool
	retryAfter time.Duration
}

func newLoop(c *Config) (*loop, error) {
	l := &loop{
		events: make(chan func(), eventQueue), origin: time.Now().Add(-clockStart), config: c,
		requests: map[balancer.RequestID]*request{},
		feed:     endpointsource.VersionFilter{MustSubscribe: c.Settings.MustSubscribe}, members: endpointsource.New(c.tuning.membership, c.Settings.Zones, c.Settings.Models),
		unfollow: func() {},
	}
	l.endpoints = newEndpoints(c.Settings.Zones, c.Settings.Models, l.origin)
	sockets := int(c.tuning.endpoints.Share * float64(c.Limits.Sockets-reservedSockets))
	l.http1 = http1.NewTransport(sockets, c.maxIdle(c.tuning), c.Settings.ConnectTimeout)
	l.ways.usual = l.http1
	if to, err := openHTTP3To(c, sockets, c.maxIdle(c.tuning)); err != nil {
		return nil, err
	} else if to != nil {
		l.ways.first = to
		l.ways.reach.Settings = protocolfallback.Settings{InitialBackoff: c.tuning.http3to.Pause, MaxBackoff: c.tuning.http3to.Longest}
	}
	l.bodies.Give(int(c.tuning.callers.BodyShare * float64(c.Limits.MemoryMB<<20)))
	l.watcher = newWatcher(c.Discovery, c.token, l)
	var err error
	if l.memory, err = openMemory(c, l.endpoints.zones, l.now()); err != nil {
		return nil, err
	}
	settings := c.Settings.Settings
	settings.MaxSubsetSize = c.tuning.endpoints.SubsetMost
	l.balancer, err = balancer.New(settings, c.Seed, l)
	return l, err
}

func (l *loop) now() time.Duration { return time.Since(l.origin) }

// post hands an event to the loop. Only other goroutines may call it.
func (l *loop) post(event func()) { l.events <- event }

// run handles events for the life of the process.
func (l *loop) run() {
	l.lastKnown()
	if !l.config.Settings.MustSubscribe && l.config.Discovery != "" {
		l.watcher.start(l.feed.WatchFrom())
	}
	l.followBeside(l.config.follower)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case event := <-l.events:
			event()
		case <-l.backlog.ready():
			l.backlog.next()
		case <-sweep.C:
			l.ways.sweep(time.Now())
			if l.memory != nil && l.watcher.current(l.now()) {
				l.memory.heard(l.now())
			}
		}
	}
}

// lastKnown begins with the endpoints as they were last known: by the platform's word, else by this sidecar's memory.
func (l *loop) lastKnown() {
	if l.memory != nil && len(l.config.Known.Targets) == 0 {
		if list, age, ok := l.memory.list(); ok {
			log.Printf("memory: begins with %d endpoints as they were %v ago", len(list.Endpoints), age.Round(time.Second))
			l.told(l.members.HandlePlatformList(l.now(), list))
			return
		}
	}
	l.targets(l.config.Known, endpointsource.FromCache)
}

// arrive takes a request from its handler.
func (l *loop) arrive(r *request, received time.Time) {
	switch limit := l.config.Settings.OpenCap; {
	case l.requests[r.ID] != nil || l.past.has(r.ID, l.now()):
		r.answer <- answer{} // the id is taken: nothing may be promised of it
		return
	case limit > 0 && len(l.requests) >= limit:
		r.answer <- answer{refused: true}
		return
	}
	if l.memory != nil {
		if l.memory.turnsAway(l.now(), r) {
			r.answer <- answer{refused: true, retryAfter: time.Second}
			return
		}
	}
	if r.route != nil && !r.route.Enter() {
		// A refusal says that a repeat is harmless, which is not so of what may have run.
		r.answer <- answer{refused: !r.Prior.MayHaveRun, retryAfter: r.route.Settings.ComeBack}
		return
	}
	r.deadline = received.Add(r.TimeLeft - l.config.Settings.GraceToAnswer)
	r.TimeLeft = time.Until(r.deadline) // also where this sidecar ends before: the Balancer knows
	r.endBy(l.endsAt)
	l.requests[r.ID] = r
	l.balancer.HandleRequest(l.now(), r.Request)
}

// leave has everything answered by a given time. What is out then is called off.
func (l *loop) leave(end time.Time) {
	l.endsAt = end
	for _, r := range l.requests {
		r.endBy(end)
	}
	l.balancer.ShutDownAt(l.now(), end.Sub(l.origin))
	time.AfterFunc(time.Until(end), func() {
		l.post(func() {
			for _, r := range l.requests {
				if r.out != nil {
					r.out.cancel()
				}
			}
		})
	})
}

// endBy cuts the time of a request's further attempts; a zero time leaves it.
func (r *request) endBy(end time.Time) {
	if !end.IsZero() && end.Before(r.deadline) {
		r.deadline = end
	}
}

// lapse tells the Balancer that a client has gone.
func (l *loop) lapse(r *request) {
	if l.requests[r.ID] != r || r.answered {
		select {
		case a := <-r.answer: // crossed the client's going
			l.discard(a.response)
		default:
		}
		return
	}
	l.giveUp(r)
}

// giveUp ends a request that nobody waits for any more, and its second copy. Only between events of the Balancer.
func (l *loop) giveUp(r *request) {
	r.answered = true
	if r.out != nil {
		r.out.cancel() // its outcome follows
	}
	l.balancer.HandleClientGone(l.now(), r.ID)
	l.forget(r)
	if other := r.pair.copy; other != nil && !other.answered {
		l.giveUp(other)
	}
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	exchange.Attempt
	request  *request
	number   int
	cancel   context.CancelFunc
	by       exchange.Transport
	acquired exchange.Conn
	holds    bool  // it was acquired, which nil may be too
	gate     *gate // what it waits for before it goes out; nil for nothing
	stopped  bool  // it did not go out, for it could not be remembered
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

// closed takes the end of an attempt; its connection is closed or fit for another one.
func (l *loop) closed(a *attempt, res exchange.Result) {
	r := a.request
	if a.holds {
		a.by.Release(a.Endpoint, a.acquired, res.Conn)
	}
	if way := l.ways.ended(l.now(), a, res); way != nil {
		l.dispatch(a, way)
		return
	}
	a.cancel()
	r.out = nil
	l.timed(a, res)
	final := r.answered
	if l.memory != nil {
		mayRun := l.memory.after(l.now(), a, res.Status, res.Status == balancer.StatusOK && !r.answered)
		if a.stopped && !r.answered {
			final = true
			l.finish(r, answer{refused: !mayRun, retryAfter: time.Second})
		}
	}
	last, pause := false, time.Duration(0)
	if r.route != nil && !final && res.Status != balancer.StatusOK {
		if r.route.Settings.Allows(res.Status) {
			r.credit = r.credit || r.route.Repeat()
		}
		last = !r.credit
		pause = r.route.Settings.PauseAfter(r.attempts, rand.Float64())
	}
	if res.Status == balancer.StatusOK && !r.answered {
		if final = true; r.route != nil {
			r.route.Answered()
		}
		l.finish(r, answer{response: res.Response})
		l.endPair(r)
	} else {
		l.discard(res.Response)
	}
	l.balancer.HandleOutcome(l.now(), balancer.Outcome{
		ID: r.ID, Endpoint: a.Endpoint.ID, Attempt: a.number, Final: final,
		Elapsed: res.Took, Status: res.Status, Load: res.Load, NoRetry: last, Backoff: pause,
	})
	l.forget(r)
	if res.Status == balancer.StatusConnectFailed && l.members.HasUnconfirmed() {
		l.told(l.members.HandleConnectFailure(l.now(), a.Endpoint.UID))
	}
}

// discard lets go of a response.
func (l *loop) discard(r *exchange.Response) {
	if r != nil {
		l.bodies.Give(len(r.Body))
	}
}

func (l *loop) finish(r *request, a answer) {
	if r.answered || l.waitsForPair(r, &a) {
		return
	}
	r.answered = true
	r.answer <- a
}

// forget drops a request that nothing is owed to and nothing is out for.
func (l *loop) forget(r *request) {
	if r.answered && r.out == nil && l.requests[r.ID] == r {
		delete(l.requests, r.ID)
		l.past.add(r.ID, l.now())
		if r.credit {
			r.route.Unused()
		}
		if r.route != nil {
			r.route.Leave()
		}
	}
}

const (
	pastFor  = 10 * time.Second
	pastMost = 4096
)

// past holds the ids of requests that have ended a short while ago. An id is new with every request: one that
// comes again is another's, and endpoints may run it twice or turn it away.
type past struct {
	at  map[balancer.RequestID]time.Duration
	ids []balancer.RequestID // in the order in which they ended
}

func (p *past) add(id balancer.RequestID, now time.Duration) {
	if p.at == nil {
		p.at = map[balancer.RequestID]time.Duration{}
	}
	for len(p.ids) > 0 && (len(p.ids) >= pastMost || now-p.at[p.ids[0]] > pastFor) {
		delete(p.at, p.ids[0])
		p.ids = p.ids[1:]
	}
	p.at[id] = now
	p.ids = append(p.ids, id)
}

func (p *past) has(id balancer.RequestID, now time.Duration) bool {
	at, ok := p.at[id]
	return ok && now-at <= pastFor
}

// The methods below are the Host. They never block and never call the Balancer.

func (l *loop) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	r := l.requests[id]
	a := newAttempt(r, l.endpoints.byID[to], timeout, &l.bodies)
	r.attempts++
	r.credit = false
	r.out = a
	if l.memory != nil {
		a.gate = l.memory.before(l.now(), r, a.Endpoint)
	}
	l.armCopy(a)
	l.dispatch(a, l.ways.choose(l.now(), a.Endpoint))
}

// dispatch makes an attempt by a transport.
func (l *loop) dispatch(a *attempt, by exchange.Transport) {
	c, ok := by.Acquire(a.Endpoint, a.Sent)
	if !ok && by != l.ways.usual {
		l.ways.reach.RecordInconclusive(a.Endpoint.Address)
		by = l.ways.usual
		c, ok = by.Acquire(a.Endpoint, a.Sent)
	}
	a.by, a.acquired, a.holds = by, c, ok
	go func() {
		res := exchange.Result{Status: balancer.StatusNotSent}
		switch {
		case !ok:
		case !a.gate.pass(a.Context):
			a.stopped = a.Context.Err() == nil
			res.Conn = c
		default:
			if a.gate != nil {
				a.Sent = time.Now() // the disk's time is not the endpoint's
			}
			res = by.Run(&a.Attempt, c)
		}
		l.post(func() { l.closed(a, res) })
	}()
}

func (l *loop) Reject(id balancer.RequestID, retryAfter time.Duration) {
	l.end(id, answer{refused: true, retryAfter: retryAfter})
}

func (l *loop) Fail(id balancer.RequestID) { l.end(id, answer{}) }

func (l *loop) end(id balancer.RequestID, a answer) {
	if r := l.requests[id]; r != nil {
		l.finish(r, a)
		l.forget(r)
	}
}

func (l *loop) Cancel(id balancer.RequestID, number int) {
	if r := l.requests[id]; r != nil && r.out != nil && r.out.number == number {
		r.out.cancel()
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
		l.watcher.start(l.feed.WatchFrom())
	}
}

func (l *loop) FetchEndpoints() {
	if l.config.Discovery != "" { // Consul may be all there is
		l.watcher.fetch()
	}
}

func (l *loop) CloseIdleConnections(to balancer.EndpointID) { l.ways.closeIdle(l.endpoints.byID[to]) }

func (l *loop) Log(text string) { log.Print(text) }

// follow turns to the discovery at another address. Its versions may count otherwise, so its whole list is
// asked for, and nothing that the old one still says is heard. Until that comes, the list stays as it is.
func (l *loop) follow(address, token string) {
	l.watcher.stop()
	l.watcher = newWatcher(address, token, l)
	l.feed.SwitchDiscovery()
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

// targets takes a list of the platform's in.
func (l *loop) targets(got endpointList, from endpointsource.ListOrigin) {
	l.take(got.digest(from), from)
}

// take takes one in that was sorted out ahead.
func (l *loop) take(got listDigest, from endpointsource.ListOrigin) {
	takes, rewatch := l.feed.Accept(from, got.rev, got.all)
	if rewatch {
		l.watcher.stop()
		l.watcher.start(&got.rev)
	}
	if !takes {
		return
	}
	var steps []func()
	for _, part := range l.members.Chunks(got.PreparedList, partMost) {
		steps = append(steps, func() { l.told(l.members.HandlePlatformList(l.now(), part())) })
	}
	l.backlog.add(steps...)
}

// told passes on what the members were judged to be, first into the table of endpoints, so that what the
// Balancer then sends finds its address.
func (l *loop) told(list endpointsource.List, news bool) {
	for _, line := range l.members.TakeLogs() {
		log.Print(line)
	}
	if news {
		entries, retired := l.endpoints.update(list)
		for _, e := range retired {
			l.ways.closeIdle(e)
			if l.endpoints.byID[e.ID] == nil {
				l.ways.forget(e)
			}
		}
		l.balancer.HandleEndpoints(l.now(), balancer.EndpointList{Kind: list.Kind, Version: list.Version, Entries: entries})
		if l.memory != nil {
			l.memory.listed(l.now(), list, l.endpoints.byID)
		}
		if list.Kind != balancer.ListCached || len(entries) > 0 {
			l.ready.Store(true)
		}
	}
	if at, ok := l.members.NextTick(); ok && (l.due == 0 || at < l.due) {
		l.due = at
		time.AfterFunc(at-l.now(), func() {
			l.post(func() {
				if l.due == at { // else an earlier one has taken its place, and asks for the next
					l.due = 0
				}
				l.told(l.members.Tick(l.now()))
			})
		})
	}
}

// Follower follows a source of endpoints beside discovery until its context ends.
type Follower func(ctx context.Context, tell func(endpointsource.ConsulAnswer), heard func())

// followBeside follows another source in place of the one before; nil for none. Nothing that the old one
// still says is heard.
func (l *loop) followBeside(follow Follower) {
	l.unfollow()
	if follow == nil {
		l.unfollow = func() {}
		return
	}
	l.members.RestartConsul()
	ctx, cancel := context.WithCancel(context.Background())
	l.unfollow = cancel
	wanted := func(event func()) {
		l.post(func() {
			if ctx.Err() == nil {
				event()
			}
		})
	}
	go follow(ctx, func(a endpointsource.ConsulAnswer) {
		wanted(func() { l.told(l.members.HandleConsulAnswer(l.now(), a)) })
	}, func() {
		wanted(func() { l.told(l.members.HandleConsulUnchanged(l.now())) })
	})
}

// view is what the endpoints are, for people; false where the loop does not answer in time.
func (l *loop) view() (source string, rows []endpointsource.Row, ok bool) {
	const patience = 2 * time.Second
	late := time.NewTimer(patience)
	defer late.Stop()
	done := make(chan struct{})
	event := func() {
		source, rows = string(l.members.Mode()), l.members.Rows(l.now())
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

func (l *loop) listFailed(err error) {
	log.Printf("discovery: %v", err)
	l.balancer.HandleEndpoints(l.now(), balancer.EndpointList{Kind: balancer.ListFailed})
}
