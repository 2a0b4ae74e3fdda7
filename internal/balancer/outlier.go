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
	unresponsiveCalls = 2   // attempts that eject at suspectMeans already, if none of them gets a response
	minOtherResponses = 4   // responses of others in that time that make it a fault of the endpoint's own

	// Errors: an endpoint is judged against the fleet, for the tier below may be at fault.
	endpointErrorWeight = 0.3  // of one answer in an endpoint's error rate: two in a row pass ejectionErrorRate
	fleetErrorWeight    = 0.02 // of one answer in the fleet's
	ejectionErrorRate   = 0.45 // an error rate ejects that is at least so high
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
func (o *outliers) addSample(ep *endpoint, x float64) {
	ep.errorRate += endpointErrorWeight * (x - ep.errorRate)
	o.errorRate += fleetErrorWeight * (x - o.errorRate)
}

// isOutlier reports whether an endpoint's errors set it apart from the fleet.
func (o *outliers) isOutlier(ep *endpoint) bool {
	return ep.errorRate >= ejectionErrorRate && ep.errorRate >= ejectionFleetRatio*o.errorRate
}

// recordOutcome learns from an outcome about its endpoint and the fleet.
func (b *Balancer) recordOutcome(now time.Duration, req *request, ep *endpoint, outcome Outcome) {
	switch outcome.Status {
	case StatusOK, StatusError, StatusRejected, StatusReset, StatusInvalidResponse:
		ep.lastResponseAt = now
		b.outliers.responses++
	}
	switch outcome.Status {
	case StatusOK:
		b.recordSuccess(now, req, ep, outcome.Elapsed)
		return
	case StatusInvalidResponse:
		return // it says no more of the endpoint than that it responds: every one sends some
	case StatusError:
		b.recordError(now, req, ep)
	case StatusRejected:
		ep.rejectsUntil = now + seconds(req.class.latency.base)
	case StatusConnectFailed:
		b.recordConnectFailure(now, req, ep)
	case StatusReset:
		ep.connectionBroke = true
		b.eject(now, ep, "connection reset")
		b.fetchPaced(now)
	case StatusTimeout:
		// Its answers alone would make a saturated endpoint, that answers few in time, look well.
		if mean := req.class.latency.mean; mean > 0 {
			b.recordEndpointLatency(now, ep, outcome.Elapsed.Seconds()/mean)
		}
		b.recordAbandoned(now, req, ep, outcome.Elapsed)
	case StatusCancelled:
		b.recordAbandoned(now, req, ep, outcome.Elapsed)
	}
	// An attempt that went there for want of any other says no more than that a trial is still to come.
	if req.trial && ep.availability == ejected && req.sentAt >= ep.trialAt {
		b.delayTrial(now, ep)
	}
}

// recordSuccess takes in an answer that is served.
func (b *Balancer) recordSuccess(now time.Duration, req *request, ep *endpoint, took time.Duration) {
	b.countOvertaken(req)
	b.losses.recordAnswer(req, ep)
	b.recordLatency(now, req.class, ep, took)
	b.recordPressure(now, req.class, took)
	if now <= req.targetAt {
		req.class.onTime++
	}
	b.outliers.addSample(ep, 0)
	b.retries.earn()
	if req.trial && ep.availability == ejected {
		b.uneject(now, ep)
	}
}

// recordError takes in an answer that is an error.
func (b *Balancer) recordError(now time.Duration, req *request, ep *endpoint) {
	b.outliers.addSample(ep, 1)
	ep.penalize(now, req.class, errorPenalty)
	if b.outliers.isOutlier(ep) && b.ejectionAllowed() {
		b.eject(now, ep, "errors")
	}
}

// recordConnectFailure takes in that no connection came about. A full connection table rejects as a dead process does, but
// its open calls go on.
func (b *Balancer) recordConnectFailure(now time.Duration, req *request, ep *endpoint) {
	if len(ep.calls) > 0 || ep.lastResponseAt > req.sentAt {
		ep.rejectsUntil = now + b.settings.ConnectTimeout
		return
	}
	b.eject(now, ep, "connect failed")
	b.fetchPaced(now)
}

// recordAbandoned takes in an attempt that ended without a response, and may go on at its endpoint.
func (b *Balancer) recordAbandoned(now time.Duration, req *request, ep *endpoint, took time.Duration) {
	b.recordPressure(now, req.class, took)
	ep.penalize(now, req.class, 1)
}

// ejectionAllowed keeps errors and unresponsiveness from ejecting too much of the list: so many have a cause they share.
func (b *Balancer) ejectionAllowed() bool {
	return float64(b.outliers.ejected+1) <= maxEjectedShare*float64(len(b.listed))
}

// eject takes an endpoint out of the draw until a trial request is served or a newer list names a new start.
func (b *Balancer) eject(now time.Duration, ep *endpoint, why string) {
	if ep.availability > warmingUp {
		return
	}
	ep.availability = ejected
	b.outliers.ejected++
	b.inFlight -= len(ep.calls) // stuck attempts must not use up the limit
	b.subset.stale = true
	ep.trialBackoff = max(seconds(firstTrialTimeouts*b.settings.ConnectTimeout.Seconds()), b.tickInterval)
	ep.trialAt = now + b.jitter(ep.trialBackoff)
	b.refreshPools(now, ep)
	b.host.Log(fmt.Sprintf("endpoint %d isolated: %s (list version %d)", ep.id, why, ep.listVersion))
}

// delayTrial doubles the wait for the next trial request after one that failed.
func (b *Balancer) delayTrial(now time.Duration, ep *endpoint) {
	ep.trialBackoff = min(2*ep.trialBackoff, max(b.settings.SlowStartWindow, b.rateWindow))
	ep.trialAt = now + b.jitter(ep.trialBackoff)
	b.refreshPools(now, ep)
}

// uneject ends an ejection; the endpoint begins with a slow start, as it may have restarted.
func (b *Balancer) uneject(now time.Duration, ep *endpoint) {
	from := now
	if !ep.connectionBroke {
		from -= seconds(restoredWarmShare * b.settings.SlowStartWindow.Seconds())
	}
	ep.connectionBroke = false
	b.startSlowStart(now, ep, from)
	b.host.Log(fmt.Sprintf("endpoint %d back: trial call served", ep.id))
}

// startDraining marks an endpoint that drains or is gone: nothing new goes there, what runs may end.
func (b *Balancer) startDraining(now time.Duration, ep *endpoint) {
	b.clearEjection(ep)
	ep.availability = draining
	b.reindex(now, ep)
}

// clearEjection counts an ejected endpoint's attempts in flight again, as it is ejected no longer.
func (b *Balancer) clearEjection(ep *endpoint) {
	if ep.availability == ejected {
		b.outliers.ejected--
		b.inFlight += len(ep.calls)
	}
}

// trialEndpoint is an ejected endpoint whose trial is due; nil for none. Only a first attempt that may be retried is risked.
func (b *Balancer) trialEndpoint(now time.Duration, req *request) *endpoint {
	ep, at, ok := b.trials.Peek()
	if ok && at <= now && req.attempts == 0 && !req.mayHaveRun && req.class.Idempotency != NonIdempotent {
		return ep
	}
	return nil
}

// isSuspect reports whether an endpoint has left its oldest attempt without a response for so many mean latencies and said
// nothing since, while others responded.
func (b *Balancer) isSuspect(now time.Duration, ep *endpoint, means float64) bool {
	if len(ep.calls) == 0 {
		return false
	}
	req := ep.calls[0]
	mean := req.class.latency.mean
	return mean > 0 && now-req.sentAt > seconds(means*mean) && ep.lastResponseAt < req.sentAt &&
		b.outliers.responses-req.responsesAtSend >= minOtherResponses
}

// isUnresponsive reports whether an endpoint with attempts in flight has responded to none of them for long.
func (b *Balancer) isUnresponsive(now time.Duration, ep *endpoint) bool {
	if b.isSuspect(now, ep, unresponsiveTails*ep.calls[0].class.latency.tailRatio) {
		return true
	}
	if len(ep.calls) < unresponsiveCalls || !b.isSuspect(now, ep, suspectMeans) {
		return false
	}
	later := ep.calls[unresponsiveCalls-1]
	return now-later.sentAt > seconds(suspectMeans*later.class.latency.mean)
}

// ejectUnresponsive ejects an endpoint with attempts in flight that has not responded for long, and cancels those that can still
// be retried.
func (b *Balancer) ejectUnresponsive(now time.Duration, ep *endpoint) {
	if !b.isUnresponsive(now, ep) {
		return
	}
	if ep.availability == ejected {
		if !ep.calls[0].trial {
			return
		}
	} else if !b.ejectionAllowed() {
		return
	}
	b.eject(now, ep, "silent")
	for _, req := range ep.calls {
		if b.canRetryInTime(now, req) {
			b.cancelAttempt(req)
		}
	}
}

// Ejected reports whether this instance sends an endpoint trial requests alone. It is for people and measurements.
func (b *Balancer) Ejected(id EndpointID) bool {
	ep := b.endpointsByID[id]
	return ep != nil && ep.availability == ejected
}

// jitter is a duration between three quarters and five quarters of another, drawn at random.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (0.75 + 0.5*b.rng.Float64()))
}
