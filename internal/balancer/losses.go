package balancer

import "time"

// This file detects attempts whose answer is lost although their endpoint answers others: attempts that are older than nearly all
// answers take, and that later attempts have overtaken. The causes may be lost answers, connections that stopped working, or
// stuck requests in the tiers below.

const (
	lossRateWeight = 0.05 // weight of one attempt in an endpoint's share of lost ones: two lost in a row pass lossyRate
	lossyRate      = 0.12 // share of lost attempts above which an endpoint is taken to lose them, rather than to be slow at times

	// Ages, in tail latencies, of an attempt that at least minOtherResponses later ones have overtaken.
	stuckTails   = 0.6 // from this age on it does not count towards the limits
	lostTails    = 1.1 // from this age on it counts as lost
	overdueTails = 1.5 // from this age on it is overdue

	// If most lost attempts become overdue, overdue ones are retried also at endpoints that lose few.
	overdueWeight    = 0.3 // weight of one lost attempt in the share of them that become overdue; the share begins at one half
	overdueThreshold = 0.6 // share above which overdue attempts are retried
)

// losses is the state of the detection of lost attempts that does not belong to one endpoint.
type losses struct {
	inFlight     int     // attempts in flight that will probably not be answered
	overdueShare float64 // smoothed share of the lost attempts that become overdue
}

// recordAnswer records that an attempt was answered.
func (l *losses) recordAnswer(req *request, ep *endpoint) {
	ep.lossRate -= lossRateWeight * ep.lossRate
	if req.lost {
		l.overdueShare -= overdueWeight * l.overdueShare // it was slow, not lost
	}
}

// countOvertaken counts the answer to an attempt for all attempts in flight that were sent before it.
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

// detectLost detects attempts that an endpoint has lost. They are retried if the time allows it, and do not count towards the
// limit on attempts in flight, which falls anyway as answers do not arrive. If all endpoints become slow at once, some slow
// attempts run twice.
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
		if b.givenUp(req, ep) && b.canRetryInTime(now, req) {
			b.cancelAttempt(req)
		}
	}
	if ep.availability != ejected {
		b.losses.inFlight += ep.lostCalls
	}
}

// givenUp reports whether an attempt counts as unanswered for good, so that it may be cancelled and retried.
func (b *Balancer) givenUp(req *request, ep *endpoint) bool {
	return req.lost && ep.lossRate > lossyRate || req.overdue && b.losses.overdueShare > overdueThreshold
}
