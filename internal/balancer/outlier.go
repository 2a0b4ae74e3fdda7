package balancer

import (
	"fmt"
	"time"
)

// This file decides by the outcomes of attempts which endpoints are ejected (outlier detection), and when trial requests bring
// them back.

const (
	// Unresponsive: no response of any kind since an attempt was sent, while others respond.
	suspectMeans      = 3.0 // mean latencies until an endpoint is passed over
	unresponsiveTails = 4.0 // tail latencies until one attempt ejects
	unresponsiveCalls = 2   // so many attempts eject at suspectMeans already
	minOtherResponses = 4   // responses of others in that time that make it a fault of the endpoint's own

	// Errors: an endpoint is judged against the fleet, for the tier below may be at fault.
	endpointErrorWeight = 0.3  // of one answer in an endpoint's error rate: two in a row pass ejectionErrorRate
	fleetErrorWeight    = 0.02 // of one answer in the fleet's
	ejectionErrorRate   = 0.45 // error rate that ejects
	ejectionFleetRatio  = 3.0  // and at least so many times the fleet's
	maxEjectedShare     = 0.5  // of the list that errors and unresponsiveness may eject
	errorPenalty        = 5.0  // base latencies that a failed attempt still counts as in flight

	firstTrialTimeouts = 4.0 // connect time-outs from ejection to the first trial request
)

// outliers is what ejections go by beside the endpoints' own state.
type outliers struct {
	responses int     // of any kind
	errorRate float64 // smoothed share of the fleet's answers that are errors
	ejected   int     // endpoints
}

// addSample takes an answer into the error rates, 1 for an error and 0 for none.
func (o *outliers) addSample(e *endpoint, x float64) {
	e.errorRate += endpointErrorWeight * (x - e.errorRate)
	o.errorRate += fleetErrorWeight * (x - o.errorRate)
}

// stands reports whether an endpoint's errors set it apart from the fleet.
func (o *outliers) stands(e *endpoint) bool {
	return e.errorRate >= ejectionErrorRate && e.errorRate >= ejectionFleetRatio*o.errorRate
}

// recordOutcome learns from an outcome about its endpoint and the fleet.
func (b *Balancer) recordOutcome(now time.Duration, r *request, e *endpoint, o Outcome) {
	switch o.Status {
	case StatusOK, StatusError, StatusRejected, StatusReset, StatusInvalidResponse:
		e.lastResponseAt = now
		b.outliers.responses++
	}
	switch o.Status {
	case StatusOK:
		b.recordSuccess(now, r, e, o.Elapsed)
		return
	case StatusInvalidResponse:
		return // it says no more of the endpoint than that it responds: every one sends some
	case StatusError:
		b.recordError(now, r, e)
	case StatusRejected:
		e.rejectsUntil = now + seconds(r.class.latency.base)
	case StatusConnectFailed:
		b.recordConnectFailure(now, r, e)
	case StatusReset:
		e.connectionBroke = true
		b.eject(now, e, "connection reset")
		b.fetchPaced(now)
	case StatusTimeout:
		// Its answers alone would make a saturated endpoint, that answers few in time, look well.
		if mean := r.class.latency.mean; mean > 0 {
			b.recordEndpointLatency(now, e, o.Elapsed.Seconds()/mean)
		}
		b.recordAbandoned(now, r, e, o.Elapsed)
	case StatusCancelled:
		b.recordAbandoned(now, r, e, o.Elapsed)
	}
	// An attempt that went there for want of any other says no more than that a trial is still to come.
	if r.trial && e.availability == ejected && r.sentAt >= e.trialAt {
		b.delayTrial(now, e)
	}
}

// recordSuccess takes in an answer that is served.
func (b *Balancer) recordSuccess(now time.Duration, r *request, e *endpoint, took time.Duration) {
	b.countOvertaken(r)
	b.losses.recordAnswer(r, e)
	b.recordLatency(now, r.class, e, took)
	b.recordPressure(now, r.class, took)
	if now <= r.targetAt {
		r.class.onTime++
	}
	b.outliers.addSample(e, 0)
	b.retries.earn()
	if r.trial && e.availability == ejected {
		b.uneject(now, e)
	}
}

// recordError takes in an answer that is an error.
func (b *Balancer) recordError(now time.Duration, r *request, e *endpoint) {
	b.outliers.addSample(e, 1)
	e.penalize(now, r.class, errorPenalty)
	if b.outliers.stands(e) && b.ejectionAllowed() {
		b.eject(now, e, "errors")
	}
}

// recordConnectFailure takes in that no connection came about. A full connection table refuses as a dead process does, but
// its open calls go on.
func (b *Balancer) recordConnectFailure(now time.Duration, r *request, e *endpoint) {
	if len(e.calls) > 0 || e.lastResponseAt > r.sentAt {
		e.rejectsUntil = now + b.settings.ConnectTimeout
		return
	}
	b.eject(now, e, "connect failed")
	b.fetchPaced(now)
}

// recordAbandoned takes in an attempt that ended without a response, and may go on at its endpoint.
func (b *Balancer) recordAbandoned(now time.Duration, r *request, e *endpoint, took time.Duration) {
	b.recordPressure(now, r.class, took)
	e.penalize(now, r.class, 1)
}

// ejectionAllowed keeps errors and unresponsiveness from ejecting too much of the list: so many have a cause they share.
func (b *Balancer) ejectionAllowed() bool {
	return float64(b.outliers.ejected+1) <= maxEjectedShare*float64(len(b.listed))
}

// eject takes an endpoint out of the draw until a trial request is served or a newer list names a new start.
func (b *Balancer) eject(now time.Duration, e *endpoint, why string) {
	if e.availability > warmingUp {
		return
	}
	e.availability = ejected
	b.outliers.ejected++
	b.inFlight -= len(e.calls) // stuck attempts must not use up the limit
	b.subset.stale = true
	e.trialBackoff = max(seconds(firstTrialTimeouts*b.settings.ConnectTimeout.Seconds()), b.tickInterval)
	e.trialAt = now + b.jitter(e.trialBackoff)
	b.refreshPools(now, e)
	b.host.Log(fmt.Sprintf("endpoint %d isolated: %s (list version %d)", e.id, why, e.listVersion))
}

// delayTrial doubles the wait for the next trial request after one that failed.
func (b *Balancer) delayTrial(now time.Duration, e *endpoint) {
	e.trialBackoff = min(2*e.trialBackoff, max(b.settings.SlowStartWindow, b.rateWindow))
	e.trialAt = now + b.jitter(e.trialBackoff)
	b.refreshPools(now, e)
}

// uneject ends an ejection; the endpoint begins with a slow start, as it may have restarted.
func (b *Balancer) uneject(now time.Duration, e *endpoint) {
	from := now
	if !e.connectionBroke {
		from -= seconds(restoredWarmShare * b.settings.SlowStartWindow.Seconds())
	}
	e.connectionBroke = false
	b.startSlowStart(now, e, from)
	b.host.Log(fmt.Sprintf("endpoint %d back: trial call served", e.id))
}

// startDraining marks an endpoint that drains or is gone: nothing new goes there, what runs may end.
func (b *Balancer) startDraining(now time.Duration, e *endpoint) {
	b.clearEjection(e)
	e.availability = draining
	b.reindex(now, e)
}

// clearEjection counts an ejected endpoint's attempts in flight again, as it is ejected no longer.
func (b *Balancer) clearEjection(e *endpoint) {
	if e.availability == ejected {
		b.outliers.ejected--
		b.inFlight += len(e.calls)
	}
}

// trialEndpoint is an ejected endpoint whose trial is due; nil for none. Only a first attempt that may be retried is risked.
func (b *Balancer) trialEndpoint(now time.Duration, r *request) *endpoint {
	e, at, ok := b.trials.Peek()
	if ok && at <= now && r.attempts == 0 && !r.mayHaveRun && r.class.Idempotency != NonIdempotent {
		return e
	}
	return nil
}

// isSuspect reports whether an endpoint has left its oldest attempt without a response for so many mean latencies and said
// nothing since, while others responded.
func (b *Balancer) isSuspect(now time.Duration, e *endpoint, means float64) bool {
	if len(e.calls) == 0 {
		return false
	}
	r := e.calls[0]
	mean := r.class.latency.mean
	return mean > 0 && now-r.sentAt > seconds(means*mean) && e.lastResponseAt < r.sentAt &&
		b.outliers.responses-r.responsesAtSend >= minOtherResponses
}

// isUnresponsive reports whether an endpoint with attempts in flight has responded to none of them for long.
func (b *Balancer) isUnresponsive(now time.Duration, e *endpoint) bool {
	if b.isSuspect(now, e, unresponsiveTails*e.calls[0].class.latency.tailRatio) {
		return true
	}
	if len(e.calls) < unresponsiveCalls || !b.isSuspect(now, e, suspectMeans) {
		return false
	}
	later := e.calls[unresponsiveCalls-1]
	return now-later.sentAt > seconds(suspectMeans*later.class.latency.mean)
}

// ejectUnresponsive ejects an endpoint with attempts in flight that has not responded for long, and cancels those that can still
// be retried.
func (b *Balancer) ejectUnresponsive(now time.Duration, e *endpoint) {
	if !b.isUnresponsive(now, e) {
		return
	}
	if e.availability == ejected {
		if !e.calls[0].trial {
			return
		}
	} else if !b.ejectionAllowed() {
		return
	}
	b.eject(now, e, "silent")
	for _, r := range e.calls {
		if b.canRetryInTime(now, r) {
			b.cancelAttempt(r)
		}
	}
}

// Ejected reports whether this instance sends an endpoint trial requests alone. It is for people and measurements.
func (b *Balancer) Ejected(id EndpointID) bool {
	e := b.endpointsByID[id]
	return e != nil && e.availability == ejected
}

// jitter is a duration between three quarters and five quarters of another, drawn at random.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (0.75 + 0.5*b.rng.Float64()))
}
