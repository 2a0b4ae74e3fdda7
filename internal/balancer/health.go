package balancer

import (
	"fmt"
	"time"
)

// This file decides what an endpoint is open to: what isolates it, trials that bring it back, ramps.

const (
	// Silence: no answer of any kind since a call was sent, while others answer.
	suspectMeans      = 3.0 // mean latencies until an endpoint is passed over
	initialTailRatio  = 6.0 // first guess of the latency that one answer in a hundred passes, in means
	tailQuantile      = 0.01
	tailStep          = 0.3 // how far one answer moves that guess, in means
	unresponsiveTails = 4.0 // such latencies until silence isolates on one call
	unresponsiveCalls = 2   // so many calls isolate it at suspectMeans already
	minOtherResponses = 4   // answers of others in that time that make silence its own

	// Errors: an endpoint is judged against the fleet, for the tier below may be at fault.
	endpointErrorWeight = 0.3  // of one answer in an endpoint's error share: two in a row pass ejectionErrorRate
	fleetErrorWeight    = 0.02 // of one answer in the fleet's
	ejectionErrorRate   = 0.45 // error share that ejects
	ejectionFleetRatio  = 3.0  // and at least so many times the fleet's
	maxEjectedShare     = 0.5  // share of the list that errors and silence may isolate
	errorPenalty        = 5.0  // base latencies that a failed call still counts as in flight

	firstTrialTimeouts     = 4.0  // connect time-outs from isolation to the first trial call
	restoredWarmShare      = 0.75 // share of Cold that an endpoint skips in its ramp if nothing showed a restart
	slowStartHeadroom      = 0.7  // of OverloadMultiple: a ramping endpoint's rate over its share of what warm ones are sent
	slowStartAloneHeadroom = 0.9  // the same while none is warm: there is nobody else to take the calls
)

// recordOutcome learns from an outcome about its endpoint and the fleet.
func (b *Balancer) recordOutcome(now time.Duration, r *request, e *endpoint, o Outcome) {
	switch o.Status {
	case StatusOK, StatusError, StatusRejected, StatusReset, StatusInvalidResponse:
		e.lastResponseAt = now
		b.responses++
	}
	switch o.Status {
	case StatusOK:
		b.countOvertaken(r)
		e.lossRate -= lossRateWeight * e.lossRate
		if r.lost {
			b.overdueShare -= overdueWeight * b.overdueShare // it was slow
		}
		b.recordLatency(now, r, e, o.Elapsed)
		b.updatePressure(now, r.class, o.Elapsed)
		if now <= r.targetAt {
			r.class.onTime++
		}
		b.addErrorSample(e, 0)
		b.retryBudget = min(b.retryBudget+retryBudgetShare, maxRetryBudget)
		if r.trial && e.availability == ejected {
			b.uneject(now, e)
		}
		return
	case StatusInvalidResponse:
		return // it tells nothing of the endpoint but that it answers: every one sends some
	case StatusError:
		b.addErrorSample(e, 1)
		b.penalize(now, e, r.class, errorPenalty)
		if e.errorRate >= ejectionErrorRate && e.errorRate >= ejectionFleetRatio*b.errorRate && b.ejectionAllowed() {
			b.eject(now, e, "errors")
		}
	case StatusRejected:
		e.rejectsUntil = now + seconds(r.class.baseLatency)
	case StatusConnectFailed:
		// A full connection table refuses as a dead process does, but its open calls go on.
		if len(e.calls) > 0 || e.lastResponseAt > r.sentAt {
			e.rejectsUntil = now + b.settings.ConnectTimeout
		} else {
			b.eject(now, e, "connect failed")
			b.fetchPaced(now)
		}
	case StatusReset:
		e.connectionBroke = true
		b.eject(now, e, "connection reset")
		b.fetchPaced(now)
	case StatusTimeout:
		// Its answers alone would make a choked endpoint, that answers few in time, look well.
		if r.class.meanLatency > 0 {
			b.recordEndpointLatency(now, e, o.Elapsed.Seconds()/r.class.meanLatency)
		}
		fallthrough
	case StatusCancelled:
		b.updatePressure(now, r.class, o.Elapsed)
		b.penalize(now, e, r.class, 1)
	}
	// A call that went there for want of any other tells no more than that one is still to come.
	if r.trial && e.availability == ejected && r.sentAt >= e.trialAt {
		b.delayTrial(now, e)
	}
}

// ejectionAllowed keeps errors and silence from isolating too much of the list: so many have a cause they share.
func (b *Balancer) ejectionAllowed() bool {
	return float64(b.ejectedCount+1) <= maxEjectedShare*float64(len(b.listedEndpoints))
}

// eject takes an endpoint out of the draw until a trial call is served or a newer list names a new start.
func (b *Balancer) eject(now time.Duration, e *endpoint, why string) {
	if e.availability > warmingUp {
		return
	}
	e.availability = ejected
	b.ejectedCount++
	b.inFlight -= len(e.calls) // stuck calls must not use up the limit
	b.subsetStale = true
	e.trialBackoff = max(seconds(firstTrialTimeouts*b.settings.ConnectTimeout.Seconds()), b.tickInterval)
	e.trialAt = now + b.jitter(e.trialBackoff)
	b.refreshPools(now, e)
	b.host.Log(fmt.Sprintf("endpoint %d isolated: %s (list version %d)", e.id, why, e.listVersion))
}

// delayTrial doubles the wait for the next trial call after one that failed.
func (b *Balancer) delayTrial(now time.Duration, e *endpoint) {
	e.trialBackoff = min(2*e.trialBackoff, max(b.settings.SlowStartWindow, b.rateWindow))
	e.trialAt = now + b.jitter(e.trialBackoff)
	b.refreshPools(now, e)
}

// uneject ends an isolation; the endpoint ramps up, as it may have restarted.
func (b *Balancer) uneject(now time.Duration, e *endpoint) {
	from := now
	if !e.connectionBroke {
		from -= seconds(restoredWarmShare * b.settings.SlowStartWindow.Seconds())
	}
	e.connectionBroke = false
	b.startSlowStart(now, e, from)
	b.host.Log(fmt.Sprintf("endpoint %d back: trial call served", e.id))
}

// startSlowStart starts slow start, counted from the given time.
func (b *Balancer) startSlowStart(now time.Duration, e *endpoint, from time.Duration) {
	b.clearEjection(e)
	e.availability, e.slowStartFrom = warmingUp, from
	e.slowStartTokens, e.slowStartTokensAt = b.rng.Float64(), now
	b.slowStarts.Remove(e)
	b.reindex(now, e)
}

// startDraining marks an endpoint that drains or is gone: nothing new goes there, what runs may end.
func (b *Balancer) startDraining(now time.Duration, e *endpoint) {
	b.clearEjection(e)
	e.availability = draining
	b.reindex(now, e)
}

// clearEjection counts an isolated endpoint's calls in flight again, as it is isolated no longer.
func (b *Balancer) clearEjection(e *endpoint) {
	if e.availability == ejected {
		b.ejectedCount--
		b.inFlight += len(e.calls)
	}
}

// capacityShare is the part of its capacity that a ramping endpoint is taken to have.
func (b *Balancer) capacityShare(now time.Duration, e *endpoint) float64 {
	if e.availability != warmingUp || b.settings.SlowStartWindow == 0 {
		return 1
	}
	s := b.settings.SlowStartMinShare + (1-b.settings.SlowStartMinShare)*float64(now-e.slowStartFrom)/float64(b.settings.SlowStartWindow)
	return min(max(s, b.settings.SlowStartMinShare), 1)
}

// slowStartAllows caps what a ramping endpoint is sent to its share of what a warm one gets, whatever the others
// do: when nearly all are cold a draw by share alone would push them over. It goes by the odds, too: a slow
// machine, or one of which a sliver lies in each of many subsets, got a whole fast one's.
func (b *Balancer) slowStartAllows(now time.Duration, e *endpoint) bool {
	warm := b.warmSendRate.peak(now, b.rateWindow)
	if warm == 0 {
		return len(e.calls) == 0
	}
	headroom := slowStartHeadroom
	if b.noneWarm {
		headroom = slowStartAloneHeadroom
	}
	rate := max(headroom*b.settings.OverloadMultiple, 1) * b.capacityShare(now, e) * warm * b.drawWeight(e)
	e.slowStartTokens = min(e.slowStartTokens+rate*(now-e.slowStartTokensAt).Seconds(), 1+rate*b.rateWindow.Seconds()/4)
	e.slowStartTokensAt = now
	return e.slowStartTokens >= 1
}

// trialEndpoint is an isolated endpoint whose trial is due. Only a first attempt that may go out again is risked.
func (b *Balancer) trialEndpoint(now time.Duration, r *request) *endpoint {
	e, at, ok := b.trials.Peek()
	if ok && at <= now && r.attempts == 0 && !r.mayHaveRun && r.class.Idempotency != NonIdempotent {
		return e
	}
	return nil
}

// isSuspect tells whether an endpoint has left its oldest call unanswered for long and said nothing since.
func (b *Balancer) isSuspect(now time.Duration, e *endpoint, after float64) bool {
	if len(e.calls) == 0 {
		return false
	}
	r := e.calls[0]
	return r.class.meanLatency > 0 && now-r.sentAt > seconds(after*r.class.meanLatency) && e.lastResponseAt < r.sentAt &&
		b.responses-r.responsesAtSend >= minOtherResponses
}

// ejectUnresponsive moves a busy endpoint on with time: a silence that has lasted.
func (b *Balancer) ejectUnresponsive(now time.Duration, e *endpoint) {
	silent := b.isSuspect(now, e, unresponsiveTails*e.calls[0].class.tailRatio) ||
		len(e.calls) >= unresponsiveCalls && b.isSuspect(now, e, suspectMeans) &&
			now-e.calls[unresponsiveCalls-1].sentAt > seconds(suspectMeans*e.calls[unresponsiveCalls-1].class.meanLatency)
	if !silent || e.availability == ejected && !e.calls[0].trial || e.availability != ejected && !b.ejectionAllowed() {
		return
	}
	b.eject(now, e, "silent")
	for _, r := range e.calls {
		if b.canRetryInTime(now, r) {
			b.cancelAttempt(r)
		}
	}
}
