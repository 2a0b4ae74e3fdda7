package balancer

import "time"

// This file finds attempts whose answer is lost though their endpoint answers others: out for longer than hardly any, and
// overtaken. That serves for lost answers, mute connections and stuck tiers below alike.

const (
	lossRateWeight = 0.05 // of one attempt in an endpoint's share of lost ones: two in a row pass lossyRate
	lossyRate      = 0.12 // share of attempts that an endpoint loses, not one that is slow now and then

	// The age, in tail latencies, of an attempt that minOtherResponses later ones overtook.
	stuckTails   = 0.6 // from then on it does not use up the limits
	lostTails    = 1.1 // from then on it counts as lost
	overdueTails = 1.5 // from then on it is overdue

	// Where most lost attempts come to be overdue, those that are get retried, also at endpoints that lose few.
	overdueWeight    = 0.3 // of one lost attempt in the share of these that come to be overdue; the share begins at a half
	overdueThreshold = 0.6 // share from which on they are retried
)

// losses is what the detection of lost attempts goes by beside the endpoints' own state.
type losses struct {
	inFlight     int     // attempts in flight that no answer is expected for
	overdueShare float64 // smoothed share of the lost ones that come to be overdue
}

// recordAnswer takes in that an attempt was answered.
func (l *losses) recordAnswer(req *request, ep *endpoint) {
	ep.lossRate -= lossRateWeight * ep.lossRate
	if req.lost {
		l.overdueShare -= overdueWeight * l.overdueShare // it was slow
	}
}

// countOvertaken notes that an attempt was answered before others that were sent earlier.
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

// detectLost looks for attempts that an endpoint has lost. They are retried while there is time, and do not use up the limit: the
// limit falls as answers fail to come. Where all turn slow at once, some slow attempts run twice.
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

// givenUp reports whether no answer to an attempt is waited for any longer.
func (b *Balancer) givenUp(req *request, ep *endpoint) bool {
	return req.lost && ep.lossRate > lossyRate || req.overdue && b.losses.overdueShare > overdueThreshold
}
