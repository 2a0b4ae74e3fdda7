package balancer

import "time"

// This file estimates what endpoints can do beside one another, by their listed weights, the service times that they report and
// the latency of their answers.

const (
	kindLatencyWeight     = 0.02 // of one answer in the latency of its endpoint's kind
	endpointLatencyWeight = 0.1  // of one answer in the latency of its endpoint
	serviceTimeWeight     = 0.3  // of one report in an endpoint's service time
	kindTrustSamples      = 4.0  // answers that the latency of its kind counts for
)

// serviceTimes are the service times that the endpoints of each machine kind report, in seconds.
type serviceTimes struct {
	kinds            []movingAverage // by kind
	inverseSum       movingAverage   // of 1 / mean over the kinds that report
	reporting        int             // how many kinds report
	settledReporting int             // how many reported when all endpoints were last refreshed
}

// add takes a service time in: short ones count more.
func (s *serviceTimes) add(kind int, seconds float64) {
	for len(s.kinds) <= kind {
		s.kinds = append(s.kinds, movingAverage{})
	}
	k := &s.kinds[kind]
	if k.samples == 0 {
		s.reporting++
	} else {
		s.inverseSum.mean -= 1 / k.mean
	}
	if k.samples*kindLatencyWeight < 0.5 || seconds < k.mean {
		k.add(seconds, kindLatencyWeight)
	} else {
		k.add(seconds, kindLatencyWeight/8)
	}
	s.inverseSum.mean += 1 / k.mean
}

// reports tells whether endpoints of a kind have reported service times.
func (s *serviceTimes) reports(kind int) bool {
	return kind < len(s.kinds) && s.kinds[kind].samples > 0
}

// weightModel estimates what endpoints can do. The zero value takes all for alike.
type weightModel struct {
	useListed bool            // the listed weights tell endpoints apart
	latencies []movingAverage // of answers over their class's mean, by machine kind
	services  serviceTimes
}

// kindSpeed is what the service times that endpoints of its kind report say of an endpoint, beside other kinds.
func (w *weightModel) kindSpeed(ep *endpoint) float64 {
	if !w.services.reports(ep.kind) {
		return 1
	}
	return float64(w.services.reporting) / w.services.inverseSum.mean / w.services.kinds[ep.kind].mean
}

// trusted reports whether the latency of a kind rests on enough answers.
func (w *weightModel) trusted(kind int) bool {
	return kind < len(w.latencies) && w.latencies[kind].samples >= kindTrustSamples
}

// kindLatencyRatio is the latency of an endpoint's kind over the fleet's; 1 while its answers are few.
func (w *weightModel) kindLatencyRatio(ep *endpoint) float64 {
	if w.trusted(ep.kind) {
		return w.latencies[ep.kind].mean
	}
	return 1
}

// latencyRatio is an endpoint's latency over the fleet's, drawn towards its kind's while its own answers are few.
func (w *weightModel) latencyRatio(ep *endpoint) float64 {
	return (kindTrustSamples*w.kindLatencyRatio(ep) + ep.latency.samples*ep.latency.mean) / (kindTrustSamples + ep.latency.samples)
}

// endpointWeight is an endpoint's listed weight, where the list's weights tell endpoints apart, else the speed that its kind
// reports.
func (w *weightModel) endpointWeight(ep *endpoint) float64 {
	if w.useListed {
		return ep.listedWeight
	}
	return w.kindSpeed(ep)
}

// effectiveWeight is what an endpoint can do beside others: its listed weight, less what it is slower than its kind by; where the
// list weighs all alike, what its latency says.
func (w *weightModel) effectiveWeight(ep *endpoint) float64 {
	switch {
	case w.useListed:
		return ep.listedWeight * w.kindLatencyRatio(ep) / w.latencyRatio(ep)
	case len(w.services.kinds) == 0:
		return 1 / w.latencyRatio(ep)
	case ep.kind >= len(w.services.kinds): // moved to a kind that has reported nothing
		return w.kindSpeed(ep)
	}
	return w.kindSpeed(ep) * w.services.kinds[ep.kind].ratioTo(&ep.serviceTime)
}

// drawWeight is an endpoint's weight in a draw: by the part of it that is in the subset, or by its whole size for a retry that
// has left the subset. In a large fleet an instance has so few requests in flight that the draw, not the comparison, keeps small
// machines from getting what large ones get.
func (w *weightModel) drawWeight(ep *endpoint) float64 {
	if ep.subsetWeight > 0 {
		return w.effectiveWeight(ep) * ep.subsetWeight / w.endpointWeight(ep)
	}
	return w.effectiveWeight(ep)
}

// kindDrift is how far what the draw weights of a kind's endpoints share may have moved them since they were refreshed, as a
// ratio of at least 1.
func (w *weightModel) kindDrift(kind int) float64 {
	drift := w.services.inverseSum.drift()
	if w.trusted(kind) {
		drift *= w.latencies[kind].drift()
	}
	if kind < len(w.services.kinds) {
		drift *= w.services.kinds[kind].drift()
	}
	return drift
}

// kinds is how many machine kinds anything is known of.
func (w *weightModel) kinds() int { return max(len(w.latencies), len(w.services.kinds)) }

// settleKind notes that the endpoints of a kind are refreshed.
func (w *weightModel) settleKind(kind int) {
	if w.trusted(kind) {
		w.latencies[kind].settle()
	}
	if kind < len(w.services.kinds) {
		w.services.kinds[kind].settle()
	}
}

// settleAll notes that all endpoints are refreshed.
func (w *weightModel) settleAll() {
	for kind := range w.kinds() {
		w.settleKind(kind)
	}
	w.services.inverseSum.settle()
	w.services.settledReporting = w.services.reporting
}

// addLatency takes an answer's latency, over the mean of its class, into that of its endpoint and of all of its kind: an endpoint
// that is seldom called is judged by its kind.
func (w *weightModel) addLatency(ep *endpoint, ratio float64) {
	if missing := ep.kind + 1 - len(w.latencies); missing > 0 {
		w.latencies = append(w.latencies, make([]movingAverage, missing)...)
	}
	w.latencies[ep.kind].add(ratio, kindLatencyWeight)
	ep.latency.add(ratio, endpointLatencyWeight)
}

// recordLatency takes an answer's latency into its class's figures, the limits and the weights.
func (b *Balancer) recordLatency(now time.Duration, c *class, ep *endpoint, took time.Duration) {
	latency := took.Seconds()
	c.latency.add(now, b.rateWindow, latency)
	b.concurrency.record(now, b.rateWindow, c)
	b.recordEndpointLatency(now, ep, latency/c.latency.mean)
	b.concurrency.adaptQueue(now, b.rateWindow, ep, b.weights.latencies[ep.kind].mean, len(b.pending) > 0)
	b.servedRate.add(now, b.rateWindow, 1)
}

// recordEndpointLatency takes an answer's latency, over the mean of its class, into the weights.
func (b *Balancer) recordEndpointLatency(now time.Duration, ep *endpoint, ratio float64) {
	b.weights.addLatency(ep, ratio)
	b.noteDrift(now, ep.kind, false)
	b.refreshPools(now, ep)
}

// recordLoadReport takes the service time that an endpoint reports into the weights. It shows how fast a machine is within an
// answer or two; the latency of answers does not, as it holds the time of the tiers below.
func (b *Balancer) recordLoadReport(now time.Duration, ep *endpoint, l *Load) {
	if l == nil || l.ServiceTime <= 0 {
		return
	}
	b.weights.services.add(ep.kind, l.ServiceTime.Seconds())
	ep.serviceTime.add(l.ServiceTime.Seconds(), serviceTimeWeight)
	b.noteDrift(now, ep.kind, true)
	b.refreshPools(now, ep)
	if now-b.reweighedAt > b.rateWindow {
		b.updateWeights(now)
		b.reweighedAt = now
	}
}
