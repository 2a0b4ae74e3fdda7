package balancer

import "time"

// This file decides what goes out again: what the rules permit, the budget, lost calls, and the final answer.

const (
	retryShare   = 0.2  // further attempts earned by each answered call
	retryReserve = 10.0 // and how many may be saved up

	lossWeight  = 0.05 // of one call in an endpoint's share of lost ones: two in a row pass losesAt
	losesAt     = 0.12 // share of calls that an endpoint loses, not one that is slow now and then
	stuckTails  = 0.6  // tails (see tailStart) until a call that so many later ones overtook leaves room,
	lostTails   = 1.1  // and until it counts as lost
	strayTails  = 1.5  // and until it is sent again, where most that count as lost go unanswered until then
	strayWeight = 0.3  // of one call that counts as lost, in the fleet's share of those that do
	straysAt    = 0.6  // that share from which on it is; at first it is taken for a half
)

// permitted tells whether the rules let a request go to an endpoint.
func (b *Balancer) permitted(now time.Duration, r *request, e *endpoint) bool {
	switch {
	case !r.mayRun || r.class.Effect == Safe:
		return true
	case !b.repeatable(now, r):
		return false
	case r.class.Scope == ScopeCell:
		return e.cell == r.cell
	case r.class.Scope == ScopeZone:
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

func (b *Balancer) withdraw(r *request) {
	if b.set.MayCancel && !r.quit && !r.stream {
		r.quit = true
		b.quits++
		b.host.Cancel(r.id, r.attempts-1)
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
