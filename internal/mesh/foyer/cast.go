package foyer

import (
	"strconv"
	"time"

	"gingerlead"
	"gingerlead/internal/mesh/boxoffice"
	"gingerlead/internal/mesh/callboard"
	"gingerlead/internal/mesh/curtain"
	"gingerlead/internal/mesh/playbill"
	"gingerlead/internal/mesh/script"
	"gingerlead/internal/mesh/stagedoor"
)

// Settings of the decision module that are the mesh's, not the operator's.
const (
	quantum     = 5 * time.Millisecond
	cold        = 3 * time.Second // until a new endpoint is warm; the rest comes with its beats
	coldFrom    = 0.4
	tipMultiple = 2.5
	window      = time.Second
	backMost    = time.Second
	connectTime = 250 * time.Millisecond
	classesMost = 256
	innerTimes  = 4 // how much more calls of endpoints are worth than clients' requests of the highest rank
	triesMost   = 8 // of one request, those that surely did not run among them
)

// player is one endpoint as this sidecar calls it.
type player struct {
	number gingerlead.EndpointID
	callboard.Endpoint
}

// classKey is what makes requests alike for the module.
type classKey struct {
	kind            playbill.Kind
	target, timeout time.Duration
}

// cast is one service's endpoints with the balancer that picks among them. It is the balancer's host.
type cast struct {
	desk     *Desk
	service  string
	balancer *gingerlead.Balancer
	players  map[gingerlead.EndpointID]*player
	byID     map[string]*player
	last     gingerlead.EndpointID
	classes  map[classKey]int
	requests map[gingerlead.RequestID]*request
	repeats  *boxoffice.Repeats
	version  uint64
}

func newCast(d *Desk, service string, seed uint64) (*cast, error) {
	c := &cast{desk: d, service: service, players: map[gingerlead.EndpointID]*player{}, byID: map[string]*player{},
		classes: map[classKey]int{}, requests: map[gingerlead.RequestID]*request{},
		repeats: boxoffice.NewRepeats(d.o.Bounds.BudgetWindow)}
	b, err := gingerlead.New(gingerlead.Settings{
		Instances: 1, Tiers: 1, Quantum: quantum, GoalWhole: 1, MayCancel: true, MaxRetryAfter: backMost,
		ConnectTimeout: connectTime, ColdFrom: coldFrom, Cold: cold, TipMultiple: tipMultiple, Fall: window,
		Classes: []gingerlead.Class{{Name: "any", Aim: time.Second, Deadline: 2 * time.Second, Worth: 1, LateWorth: 0.2,
			Effect: gingerlead.Unsafe}},
	}, seed, c)
	c.balancer = b
	return c, err
}

// class is the number of a route's class; where there are too many, routes share the last.
func (c *cast) class(r *playbill.Route) int {
	key := classKey{r.Kind, r.Target, r.Timeout}
	if n, ok := c.classes[key]; ok {
		return n
	}
	if len(c.classes) >= classesMost {
		return 0
	}
	effect := gingerlead.Safe
	if !r.Kind.Repeatable() {
		effect = gingerlead.Unsafe
	}
	target := r.Target
	if target <= 0 {
		target = r.Timeout / 2
	}
	n, err := c.balancer.AddClass(gingerlead.Class{Name: strconv.Itoa(len(c.classes)), Aim: target, Deadline: r.Timeout,
		Worth: 1, LateWorth: 0.2, Effect: effect})
	if err != nil {
		c.desk.o.Log.Warn("foyer: " + err.Error())
		return 0
	}
	c.classes[key] = n
	return n
}

// told takes what the callboard says of the service's endpoints, all of them.
func (c *cast) told(now time.Duration, all []callboard.Endpoint) {
	c.version++
	l := gingerlead.List{Kind: gingerlead.Whole, Version: c.version}
	seen := map[string]bool{}
	for _, e := range all {
		p := c.byID[e.ID]
		if e.State >= callboard.Crashed {
			continue
		}
		if p == nil {
			c.last++
			p = &player{number: c.last}
			c.byID[e.ID], c.players[p.number] = p, p
		}
		p.Endpoint, seen[e.ID] = e, true
		entry := gingerlead.Entry{Endpoint: p.number, Zone: c.desk.zone(e.Zone), Weight: 1}
		if e.State == callboard.Draining {
			entry.State = gingerlead.Draining
		}
		if e.Cold > 0 {
			entry.Started = now + e.Cold - cold
		}
		l.Entries = append(l.Entries, entry)
	}
	for id, p := range c.byID {
		if !seen[id] {
			delete(c.byID, id)
			delete(c.players, p.number)
		}
	}
	c.balancer.Targets(now, l)
}

// Send makes an attempt (gingerlead.Host).
func (c *cast) Send(id gingerlead.RequestID, to gingerlead.EndpointID, _ time.Duration) {
	r, p := c.requests[id], c.players[to]
	if r == nil {
		return
	}
	now := c.desk.Now()
	a := &attempt{request: r, to: to, number: r.attempts, at: now}
	r.attempts++
	r.out = a
	if p == nil { // it left between two events
		c.desk.later(func(now time.Duration) { c.ended(now, a, &stagedoor.Outcome{Kind: curtain.Mistaken}) })
		return
	}
	perform := r.perform
	perform.Endpoint, perform.Left, perform.Aim = p.ID, r.deadline-now, r.aim-now
	done := func(o *stagedoor.Outcome) {
		c.desk.do(func(now time.Duration) { c.ended(now, a, o) })
	}
	if p.Host == c.desk.o.Hub.Self().Address {
		a.withdraw = c.desk.o.Door.Perform(&perform, r.aim, r.deadline, done)
		return
	}
	ask := c.desk.o.Hub.Send(p.Host, stagedoor.MethodPerform, script.Write(nil, &perform), r.deadline,
		func(body []byte, err error) { done(outcome(body, err)) })
	a.withdraw = ask.Withdraw
}

// outcome is what an ask's end says of the attempt.
func outcome(body []byte, err error) *stagedoor.Outcome {
	if lost, ok := asLost(err); ok {
		if lost.Sent {
			return &stagedoor.Outcome{Kind: curtain.Lost, Arrived: true}
		}
		return &stagedoor.Outcome{Kind: curtain.Unreachable}
	}
	if len(body) == 0 { // it has no room for it, or does not know the call: not run
		return &stagedoor.Outcome{Kind: curtain.Full}
	}
	o := &stagedoor.Outcome{}
	if err := script.Read(body, o); err != nil || o.Kind == 0 {
		return &stagedoor.Outcome{Kind: curtain.Spoilt, Arrived: true}
	}
	return o
}

// status is what an outcome is to the module.
func status(o *stagedoor.Outcome, quit bool) gingerlead.Status {
	switch o.Kind {
	case curtain.Answered:
		if o.Status >= 500 {
			return gingerlead.Error
		}
		return gingerlead.OK
	case curtain.Full, curtain.TurnedAway, curtain.Leaving, curtain.Late, curtain.Overloaded:
		return gingerlead.Full
	case curtain.Mistaken, curtain.Unreachable:
		if quit {
			return gingerlead.Moot
		}
		return gingerlead.ConnectFailed
	case curtain.Withdrawn:
		return gingerlead.Moot
	case curtain.Lost:
		return gingerlead.Reset
	case curtain.Spoilt, curtain.Broken: // of one connection; the endpoint's own sidecar says if it is down
		return gingerlead.Spoilt
	}
	if quit {
		return gingerlead.Cancelled
	}
	return gingerlead.Timeout
}

// ended takes the end of an attempt.
func (c *cast) ended(now time.Duration, a *attempt, o *stagedoor.Outcome) {
	r := a.request
	if r.out == a {
		r.out = nil
	}
	if !o.Kind.NotRun() {
		r.mayRun = true
	}
	if o.Arrived {
		r.arrivals++
	}
	if o.Kind != curtain.Withdrawn {
		r.last = o
	}
	st := status(o, a.quit)
	final := r.done
	if !final && (st == gingerlead.OK || o.Kind == curtain.Answered && !r.route.Kind.Repeatable()) {
		final = true
		c.desk.answer(r, result{kind: curtain.Answered, outcome: o})
	}
	if r.lapsed && !r.done {
		c.desk.close(r)
	}
	last := false
	if !final && st != gingerlead.OK {
		last = r.attempts >= triesMost
		if o.Arrived && !last { // another one would be a further arrival at the service
			last = r.arrivals >= max(r.route.MaxAttempts, 1) || !c.repeats.Take(now, c.desk.o.Bounds.BudgetRatio,
				c.desk.o.Bounds.BudgetSlack, c.desk.sidecars)
		}
	}
	c.balancer.Outcome(now, gingerlead.Outcome{ID: r.id, Endpoint: a.to, Attempt: a.number, Final: final,
		Elapsed: now - a.at, Status: st, Last: last || r.lapsed})
	if r.done && r.out == nil {
		delete(c.requests, r.id)
	}
}

// Refuse is the module's final answer: nobody serves it (gingerlead.Host).
func (c *cast) Refuse(id gingerlead.RequestID, retryAfter time.Duration) { c.finish(id, retryAfter) }

// Fail is its final answer, promising nothing (gingerlead.Host).
func (c *cast) Fail(id gingerlead.RequestID) { c.finish(id, 0) }

// finish answers by what is known of the request's attempts: the module's word alone is no promise.
func (c *cast) finish(id gingerlead.RequestID, back time.Duration) {
	r := c.requests[id]
	if r == nil || r.done {
		return
	}
	res := result{kind: curtain.Overloaded, back: back}
	switch {
	case r.last != nil && r.last.Kind == curtain.Answered:
		res = result{kind: curtain.Answered, outcome: r.last}
	case r.mayRun && r.last != nil && !r.last.Kind.NotRun():
		res.kind = r.last.Kind
	case r.mayRun || r.out != nil:
		res.kind = curtain.Silent
	case r.last != nil:
		res.kind = r.last.Kind
	}
	if res.kind.NotRun() {
		res.back = max(res.back, res.kind.Back())
	}
	c.desk.answer(r, res)
	if r.out == nil {
		delete(c.requests, id)
	}
}

// Cancel withdraws an attempt (gingerlead.Host).
func (c *cast) Cancel(id gingerlead.RequestID, number int) {
	r := c.requests[id]
	if r == nil || r.out == nil || r.out.number != number {
		return
	}
	a := r.out
	a.quit = true
	if a.withdraw != nil {
		c.desk.later(func(time.Duration) { a.withdraw() })
	}
}

// SetTimer (gingerlead.Host).
func (c *cast) SetTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() {
		c.desk.do(func(now time.Duration) { c.balancer.Timer(now, token) })
	})
}

// Fetch asks the homes anew (gingerlead.Host).
func (c *cast) Fetch() {
	if f := c.desk.o.Refresh; f != nil {
		go f(c.service)
	}
}

// Log (gingerlead.Host).
func (c *cast) Log(text string) {
	c.desk.o.Log.WithField("service", c.service).Info("balancer: " + text)
}

// Probe (gingerlead.Host): endpoints' own sidecars vouch for them, so nobody probes.
func (c *cast) Probe(gingerlead.EndpointID) {}

// Tell (gingerlead.Host): not used by the module.
func (c *cast) Tell(int, []byte) {}

// Watch (gingerlead.Host): lists are pushed.
func (c *cast) Watch(bool) {}

// CloseIdle (gingerlead.Host): the endpoint's own sidecar has its connections.
func (c *cast) CloseIdle(gingerlead.EndpointID) {}
