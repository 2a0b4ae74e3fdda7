package balancer

import (
	"fmt"
	"time"
)

// This file decides which endpoints are ejected, by the outcomes of attempts (outlier detection), and when an ejection ends, by
// trial requests.

const (
	// An endpoint is unresponsive if it has sent no response of any kind since an attempt was sent to it, while others respond.
	suspectMeans      = 3.0 // age of that attempt, in mean latencies, from which the endpoint is not picked
	unresponsiveTails = 4.0 // age of that attempt, in tail latencies, from which the endpoint is ejected
	unresponsiveCalls = 2   // number of attempts for which the age of suspectMeans is enough for an ejection
	minOtherResponses = 4   // number of other responses since then which show that the cause is the endpoint

	// An endpoint's error rate is compared with the fleet's, as the cause of errors may be the tier below.
	endpointErrorWeight = 0.3  // weight of one answer in an endpoint's error rate: two errors in a row exceed ejectionErrorRate
	fleetErrorWeight    = 0.02 // weight of one answer in the fleet's error rate
	ejectionErrorRate   = 0.45 // lowest error rate for which an endpoint is ejected
	ejectionFleetRatio  = 3.0  // lowest ratio to the fleet's error rate for which an endpoint is ejected
	maxEjectedShare     = 0.5  // largest share of the listed endpoints that errors and unresponsiveness may eject
	errorPenalty        = 5.0  // time for which a failed attempt still counts as in flight, in base latencies

	firstTrialTimeouts = 4.0 // mean time from the ejection to the first trial request, in connect timeouts
)

// outliers is the state of the outlier detection, except for the state of each endpoint.
type outliers struct {
	responses int     // number of responses of any kind
	errorRate float64 // smoothed share of the fleet's answers that are errors
	ejected   int     // number of ejected endpoints
}

// addSample adds an answer to the error rates: 1 for an error, 0 otherwise.
func (o *outliers) addSample(ep *endpoint, x float64) {
	ep.errorRate += endpointErrorWeight * (x - ep.errorRate)
	o.errorRate += fleetErrorWeight * (x - o.errorRate)
}

// isOutlier reports whether an endpoint's error rate is high, and far above the fleet's.
func (o *outliers) isOutlier(ep *endpoint) bool {
	return ep.errorRate >= ejectionErrorRate && ep.errorRate >= ejectionFleetRatio*o.errorRate
}

// recordOutcome updates the estimates for an endpoint and the fleet by an outcome, and ejects or unejects the endpoint if the
// outcome requires it.
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
		return // the outcome shows only that the endpoint responds, as every endpoint sends some invalid responses
	case StatusError:
		b.recordError(now, req, ep)
	case StatusRejected:
		ep.rejectsUntil = now + seconds(req.class.latency.base)
	case StatusConnectFailed:
		b.recordConnectFailure(now, req, ep)
	case StatusReset:
		ep.connectionBroke = true
		b.eject(now, ep, "connection reset")
		b.fetchRateLimited(now)
	case StatusTimeout:
		// A saturated endpoint answers few calls in time. If timeouts did not count, its latency would appear normal.
		if mean := req.class.latency.mean; mean > 0 {
			b.recordEndpointLatency(now, ep, outcome.Elapsed.Seconds()/mean)
		}
		b.recordAbandoned(now, req, ep, outcome.Elapsed)
	case StatusCancelled:
		b.recordAbandoned(now, req, ep, outcome.Elapsed)
	}
	// Only an attempt sent after the trial was due counts as the trial.
	if req.trial && ep.availability == ejected && req.sentAt >= ep.trialAt {
		b.delayTrial(now, ep)
	}
}

// recordSuccess records an answer without an error.
func (b *Balancer) recordSuccess(now time.Duration, req *request, ep *endpoint, elapsed time.Duration) {
	b.countOvertaken(req)
	b.losses.recordAnswer(req, ep)
	b.recordLatency(now, req.class, ep, elapsed)
	b.recordPressure(now, req.class, elapsed)
	if now <= req.targetAt {
		req.class.onTime++
	}
	b.outliers.addSample(ep, 0)
	b.retries.earn()
	if req.trial && ep.availability == ejected {
		b.uneject(now, ep)
	}
}

// recordError records an answer that is an error.
func (b *Balancer) recordError(now time.Duration, req *request, ep *endpoint) {
	b.outliers.addSample(ep, 1)
	ep.penalize(now, req.class, errorPenalty)
	if b.outliers.isOutlier(ep) && b.ejectionAllowed() {
		b.eject(now, ep, "errors")
	}
}

// recordConnectFailure records that no connection could be opened. An endpoint whose connection table is full rejects connections
// as a dead process does, but continues its calls in flight; it is not ejected.
func (b *Balancer) recordConnectFailure(now time.Duration, req *request, ep *endpoint) {
	if len(ep.calls) > 0 || ep.lastResponseAt > req.sentAt {
		ep.rejectsUntil = now + b.settings.ConnectTimeout
		return
	}
	b.eject(now, ep, "connect failed")
	b.fetchRateLimited(now)
}

// recordAbandoned records an attempt that ended without a response and may still run at its endpoint.
func (b *Balancer) recordAbandoned(now time.Duration, req *request, ep *endpoint, elapsed time.Duration) {
	b.recordPressure(now, req.class, elapsed)
	ep.penalize(now, req.class, 1)
}

// ejectionAllowed reports whether errors or unresponsiveness may eject one more endpoint. If a large part of the listed endpoints
// is affected, there is probably a common cause, and ejections would not help.
func (b *Balancer) ejectionAllowed() bool {
	return float64(b.outliers.ejected+1) <= maxEjectedShare*float64(len(b.listed))
}

// eject ejects an endpoint until a trial request succeeds or a newer list shows a restart. It does nothing if the endpoint is
// ejected or draining already.
func (b *Balancer) eject(now time.Duration, ep *endpoint, why string) {
	if ep.availability > warmingUp {
		return
	}
	ep.availability = ejected
	b.outliers.ejected++
	b.inFlight -= len(ep.calls) // attempts that are stuck must not count towards the limit
	b.subset.stale = true
	ep.trialBackoff = max(seconds(firstTrialTimeouts*b.settings.ConnectTimeout.Seconds()), b.tickInterval)
	ep.trialAt = now + b.jitter(ep.trialBackoff)
	b.refreshPools(now, ep)
	b.host.Log(fmt.Sprintf("endpoint %d isolated: %s (list version %d)", ep.id, why, ep.listVersion))
}

// delayTrial doubles the delay before the next trial request, after one has failed.
func (b *Balancer) delayTrial(now time.Duration, ep *endpoint) {
	ep.trialBackoff = min(2*ep.trialBackoff, max(b.settings.SlowStartWindow, b.rateWindow))
	ep.trialAt = now + b.jitter(ep.trialBackoff)
	b.refreshPools(now, ep)
}

// uneject ends an ejection. The endpoint begins a slow start, as it may have restarted. If its connections never broke, a part of
// the slow start is skipped.
func (b *Balancer) uneject(now time.Duration, ep *endpoint) {
	from := now
	if !ep.connectionBroke {
		from -= seconds(skippedSlowStartShare * b.settings.SlowStartWindow.Seconds())
	}
	ep.connectionBroke = false
	b.startSlowStart(now, ep, from)
	b.host.Log(fmt.Sprintf("endpoint %d back: trial call served", ep.id))
}

// startDraining marks an endpoint as draining or removed: it gets no new requests, and its attempts in flight are not cancelled.
func (b *Balancer) startDraining(now time.Duration, ep *endpoint) {
	b.clearEjection(ep)
	ep.availability = draining
	b.reindex(now, ep)
}

// clearEjection updates the counts when the ejection of an endpoint ends: its attempts in flight count towards the limit again. It
// does nothing for other endpoints.
func (b *Balancer) clearEjection(ep *endpoint) {
	if ep.availability == ejected {
		b.outliers.ejected--
		b.inFlight += len(ep.calls)
	}
}

// trialEndpoint returns an ejected endpoint whose trial is due, or nil. Only the first attempt of a request is used as a trial, and that
// of a request that must not be repeated only if the settings allow it.
func (b *Balancer) trialEndpoint(now time.Duration, req *request) *endpoint {
	ep, at, ok := b.trials.Peek()
	if !ok || at > now || req.attempts > 0 || req.mayHaveRun {
		return nil
	}
	if req.class.Idempotency == NonIdempotent && !b.nonIdempotentTrialDue(now, ep) {
		return nil
	}
	return ep
}

// nonIdempotentTrialDue reports whether a request that must not be repeated may be the trial of an ejected endpoint: no other request has
// been the trial, although it has been due for as long as it was delayed.
func (b *Balancer) nonIdempotentTrialDue(now time.Duration, ep *endpoint) bool {
	return b.settings.NonIdempotentTrials && now >= ep.trialAt+ep.trialBackoff
}

// isSuspect reports whether an endpoint's oldest attempt in flight is older than the given number of mean latencies, and the
// endpoint has sent no response since that attempt, while other endpoints have.
func (b *Balancer) isSuspect(now time.Duration, ep *endpoint, means float64) bool {
	if len(ep.calls) == 0 {
		return false
	}
	req := ep.calls[0]
	mean := req.class.latency.mean
	return mean > 0 && now-req.sentAt > seconds(means*mean) && ep.lastResponseAt < req.sentAt &&
		b.outliers.responses-req.responsesAtSend >= minOtherResponses
}

// isUnresponsive reports whether an endpoint with attempts in flight has sent no response for long enough to be ejected.
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

// ejectUnresponsive ejects an endpoint with attempts in flight if it is unresponsive, and cancels its attempts that can still be
// retried.
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

// Ejected reports whether this instance has ejected an endpoint. It is meant for operators and measurements, and returns false for
// an unknown endpoint.
func (b *Balancer) Ejected(id EndpointID) bool {
	ep := b.endpointsByID[id]
	return ep != nil && ep.availability == ejected
}

// jitter returns a random duration between 0.75 and 1.25 times the given one.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (0.75 + 0.5*b.rng.Float64()))
}
