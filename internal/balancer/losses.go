package balancer

import "time"

// This file detects attempts that will not be answered although their endpoint answers others. Such an attempt has been in flight
// for longer than nearly all answers take, and later attempts have been answered before it. The cause may be a lost answer, a
// connection that stopped working, or a request that is stuck in a tier below.

const (
	lossRateWeight = 0.05 // weight of one attempt in an endpoint's share of lost attempts: three losses in a row exceed lossyRate
	lossyRate      = 0.12 // share of lost attempts above which an endpoint is assumed to lose attempts, not to be slow at times

	// Ages, in tail latencies, of an attempt that at least minOtherResponses later attempts have overtaken: they were answered first.
	stuckTails   = 0.6 // age from which the attempt does not count towards the limits
	lostTails    = 1.1 // age from which the attempt counts as lost
	overdueTails = 1.5 // age from which the attempt is overdue

	// If most lost attempts become overdue, overdue attempts are retried also when their endpoint loses few.
	overdueWeight    = 0.3 // weight of one lost attempt in the share that become overdue; the share starts at one half
	overdueThreshold = 0.6 // share above which overdue attempts are retried
)

// losses is the state of the detection of lost attempts, except for the state of each endpoint.
type losses struct {
	inFlight     int     // number of attempts in flight that will probably not be answered
	overdueShare float64 // smoothed share of the lost attempts that become overdue
}

// recordAnswer records that an attempt was answered.
func (l *losses) recordAnswer(req *request, ep *endpoint) {
	ep.lossRate -= lossRateWeight * ep.lossRate
	if req.lost {
		l.overdueShare -= overdueWeight * l.overdueShare // the attempt was slow, not lost
	}
}

// countOvertaken increments the count of later answers of all attempts in flight that were sent before an attempt that has now
// been answered.
func (b *Balancer) countOvertaken(by *request) {
	for _, ep := range b.busy {
		for _, req := range ep.calls {
			if req.sentAt >= by.sentAt {
				break
			}
			req.overtaken++
		}
	}
}

// detectLost detects attempts that an endpoint has lost. They are retried if the time allows it. They do not count towards the
// limit on attempts in flight, since that limit falls anyway when answers do not arrive. If all endpoints become slow at once,
// some slow attempts run twice.
func (b *Balancer) detectLost(now time.Duration, ep *endpoint) {
	ep.lostCalls = 0
	for _, req := range ep.calls {
		age, tail := now-req.sentAt, req.class.latency.tail()
		if req.overtaken < minOtherResponses || age <= seconds(stuckTails*tail) {
			continue
		}
		ep.lostCalls++
		if !req.lost && age > seconds(lostTails*tail) {
			req.lost = true
			ep.lossRate += lossRateWeight * (1 - ep.lossRate)
		}
		if !req.overdue && age > seconds(overdueTails*tail) {
			req.overdue = true
			b.losses.overdueShare += overdueWeight * (1 - b.losses.overdueShare)
		}
		if b.mayRetryLost(req, ep) && b.canRetryInTime(now, req) {
			b.cancelAttempt(req)
		}
	}
	if ep.availability != ejected {
		b.losses.inFlight += ep.lostCalls
	}
}

// mayRetryLost reports whether an attempt is unlikely enough to be answered that it may be cancelled and retried.
func (b *Balancer) mayRetryLost(req *request, ep *endpoint) bool {
	return req.lost && ep.lossRate > lossyRate || req.overdue && b.losses.overdueShare > overdueThreshold
}
