package balancer

import (
	"fmt"
	"time"
)

// This file decides what an endpoint is open to: what isolates it, trials that bring it back, ramps.

const (
	// Silence: no answer of any kind since a call was sent, while others answer.
	suspectAfter  = 3.0 // mean latencies until an endpoint is passed over
	tailStart     = 6.0 // first guess of the latency that one answer in a hundred passes, in means
	tailShare     = 0.01
	tailStep      = 0.3 // how far one answer moves that guess, in means
	silentTails   = 4.0 // such latencies until silence isolates on one call
	silentCalls   = 2   // so many calls isolate it at suspectAfter already
	othersAnswers = 4   // answers of others in that time that make silence its own

	// Errors: an endpoint is judged against the fleet, for the tier below may be at fault.
	errorWeight = 0.3  // of one answer in an endpoint's error share: two in a row pass ejectAt
	fleetWeight = 0.02 // of one answer in the fleet's
	ejectAt     = 0.45 // error share that ejects
	ejectRatio  = 3.0  // and at least so many times the fleet's
	maxEjected  = 0.5  // share of the list that errors and silence may isolate
	errorDebt   = 5.0  // base latencies that a failed call still counts as in flight

	trialFirst   = 4.0  // connect time-outs from isolation to the first trial call
	returnedWarm = 0.75 // share of Cold that an endpoint skips in its ramp if nothing showed a restart
	rampHeadroom = 0.7  // of TipMultiple: a ramping endpoint's rate over its share of what warm ones are sent
	rampAlone    = 0.9  // the same while none is warm: there is nobody else to take the calls
)

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

// mayEject keeps errors and silence from isolating too much of the list: so many have a cause they share.
func (b *Balancer) mayEject() bool { return float64(b.isolated+1) <= maxEjected*float64(len(b.listed)) }

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

// dueTrial is an isolated endpoint whose trial is due. Only a first attempt that may go out again is risked.
func (b *Balancer) dueTrial(now time.Duration, r *request) *endpoint {
	e, at, ok := b.trials.First()
	if ok && at <= now && r.attempts == 0 && !r.mayRun && r.class.Effect != Unsafe {
		return e
	}
	return nil
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
