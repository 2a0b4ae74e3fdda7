package balancer

import "time"

// This file estimates the relative capacity of endpoints from their listed weights, the service times that they report and the
// latency of their answers.

const (
	kindLatencyWeight     = 0.02 // weight of one answer in the mean latency of its endpoint's kind
	endpointLatencyWeight = 0.1  // weight of one answer in the mean latency of its endpoint
	serviceTimeWeight     = 0.3  // weight of one report in an endpoint's mean service time
	// kindTrustSamples is the number of answers of a kind from which its latency is used. It is also the number of an endpoint's own
	// answers that have the same weight as the latency of its kind.
	kindTrustSamples = 4.0
)

// serviceTimes holds the mean service times that the endpoints of each machine kind report, in seconds.
type serviceTimes struct {
	kinds              []movingAverage // mean service time, by kind
	inverseSum         movingAverage   // inverseSum.mean is the sum of 1 / mean over the kinds that report
	reporting          int             // number of kinds that report
	reportingAtRefresh int             // number of kinds that reported when all endpoints were last refreshed
}

// add adds a service time in seconds. Once there are enough samples, values above the mean have a lower weight.
func (s *serviceTimes) add(kind int, seconds float64) {
	for len(s.kinds) <= kind {
		s.kinds = append(s.kinds, movingAverage{})
	}
	kindTime := &s.kinds[kind]
	if kindTime.samples == 0 {
		s.reporting++
	} else {
		s.inverseSum.mean -= 1 / kindTime.mean
	}
	if kindTime.samples*kindLatencyWeight < 0.5 || seconds < kindTime.mean {
		kindTime.add(seconds, kindLatencyWeight)
	} else {
		kindTime.add(seconds, kindLatencyWeight/8)
	}
	s.inverseSum.mean += 1 / kindTime.mean
}

// reported reports whether endpoints of a kind have reported service times.
func (s *serviceTimes) reported(kind int) bool {
	return kind < len(s.kinds) && s.kinds[kind].samples > 0
}

// weightModel estimates the relative capacity of endpoints. The zero value treats all as equal.
type weightModel struct {
	useListed bool            // the listed weights differ, and are used for the estimate
	latencies []movingAverage // latency by machine kind, in mean latencies
	services  serviceTimes
}

// kindSpeed returns the speed of an endpoint's kind relative to other kinds, by the service times that they report. It is 1 if the
// kind reports none.
func (w *weightModel) kindSpeed(ep *endpoint) float64 {
	if !w.services.reported(ep.kind) {
		return 1
	}
	return float64(w.services.reporting) / w.services.inverseSum.mean / w.services.kinds[ep.kind].mean
}

// trusted reports whether the latency of a kind is based on enough answers to be used.
func (w *weightModel) trusted(kind int) bool {
	return kind < len(w.latencies) && w.latencies[kind].samples >= kindTrustSamples
}

// kindLatencyRatio returns the latency of an endpoint's kind in mean latencies, or 1 while it has few answers.
func (w *weightModel) kindLatencyRatio(ep *endpoint) float64 {
	if w.trusted(ep.kind) {
		return w.latencies[ep.kind].mean
	}
	return 1
}

// latencyRatio returns an endpoint's latency in mean latencies. It is close to its kind's while the endpoint has few answers.
func (w *weightModel) latencyRatio(ep *endpoint) float64 {
	return (kindTrustSamples*w.kindLatencyRatio(ep) + ep.latency.samples*ep.latency.mean) / (kindTrustSamples + ep.latency.samples)
}

// endpointWeight returns an endpoint's listed weight if the listed weights differ, otherwise the speed that its kind reports.
func (w *weightModel) endpointWeight(ep *endpoint) float64 {
	if w.useListed {
		return ep.listedWeight
	}
	return w.kindSpeed(ep)
}

// effectiveWeight returns the estimated relative capacity of an endpoint: its listed weight, corrected by its latency relative to
// the latency of its kind. If the listed weights are equal, the estimate is based on the reported service times or, if no endpoint
// reports any, on the latency.
func (w *weightModel) effectiveWeight(ep *endpoint) float64 {
	switch {
	case w.useListed:
		return ep.listedWeight * w.kindLatencyRatio(ep) / w.latencyRatio(ep)
	case len(w.services.kinds) == 0:
		return 1 / w.latencyRatio(ep)
	case ep.kind >= len(w.services.kinds): // no endpoint of the kind has reported a service time
		return w.kindSpeed(ep)
	}
	return w.kindSpeed(ep) * w.services.kinds[ep.kind].ratioTo(&ep.serviceTime)
}

// drawWeight returns the weight of an endpoint in a draw: the part of its capacity that is in the subset, or its full capacity if
// it is outside of the subset, where only retries use it. In a large fleet, an instance has so few requests in flight that the
// draw, rather than the comparison of loads, prevents small machines from getting as many requests as large ones.
func (w *weightModel) drawWeight(ep *endpoint) float64 {
	if ep.subsetWeight > 0 {
		return w.effectiveWeight(ep) * ep.subsetWeight / w.endpointWeight(ep)
	}
	return w.effectiveWeight(ep)
}

// kindDrift returns the largest ratio, at least 1, by which the factors common to the draw weights of a kind's endpoints may have
// changed since the endpoints were refreshed.
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

// kinds returns the number of machine kinds for which latencies or service times have been recorded.
func (w *weightModel) kinds() int { return max(len(w.latencies), len(w.services.kinds)) }

// markKindRefreshed records that the endpoints of a kind have been refreshed.
func (w *weightModel) markKindRefreshed(kind int) {
	if w.trusted(kind) {
		w.latencies[kind].markRefreshed()
	}
	if kind < len(w.services.kinds) {
		w.services.kinds[kind].markRefreshed()
	}
}

// markAllRefreshed records that all endpoints have been refreshed.
func (w *weightModel) markAllRefreshed() {
	for kind := range w.kinds() {
		w.markKindRefreshed(kind)
	}
	w.services.inverseSum.markRefreshed()
	w.services.reportingAtRefresh = w.services.reporting
}

// addLatency adds the latency of an answer, in mean latencies, to the means of its endpoint and of the endpoint's kind. The mean of
// the kind serves as the estimate for endpoints with few answers.
func (w *weightModel) addLatency(ep *endpoint, ratio float64) {
	if missing := ep.kind + 1 - len(w.latencies); missing > 0 {
		w.latencies = append(w.latencies, make([]movingAverage, missing)...)
	}
	w.latencies[ep.kind].add(ratio, kindLatencyWeight)
	ep.latency.add(ratio, endpointLatencyWeight)
}

// recordLatency updates the estimates of the class, the limits and the weights by the latency of an answer.
func (b *Balancer) recordLatency(now time.Duration, c *class, ep *endpoint, elapsed time.Duration) {
	latency := elapsed.Seconds()
	c.latency.add(now, b.rateWindow, latency)
	b.concurrency.record(now, b.rateWindow, c)
	b.recordEndpointLatency(now, ep, latency/c.latency.mean)
	b.concurrency.adaptQueue(now, b.rateWindow, ep, b.weights.latencies[ep.kind].mean, len(b.pending) > 0)
	b.servedRate.add(now, b.rateWindow, 1)
}

// recordEndpointLatency updates the weights by the latency of an answer, in mean latencies.
func (b *Balancer) recordEndpointLatency(now time.Duration, ep *endpoint, ratio float64) {
	b.weights.addLatency(ep, ratio)
	b.recordDrift(now, ep.kind, false)
	b.refreshPools(now, ep)
}

// recordLoadReport updates the weights by the service time that an endpoint reports, if any. The service time shows the speed of a
// machine after one or two answers. The latency of answers does not, as it includes the time in the tiers below.
func (b *Balancer) recordLoadReport(now time.Duration, ep *endpoint, load *Load) {
	if load == nil || load.ServiceTime <= 0 {
		return
	}
	b.weights.services.add(ep.kind, load.ServiceTime.Seconds())
	ep.serviceTime.add(load.ServiceTime.Seconds(), serviceTimeWeight)
	b.recordDrift(now, ep.kind, true)
	b.refreshPools(now, ep)
	if now-b.reweighedAt > b.rateWindow {
		b.updateWeights(now)
		b.reweighedAt = now
	}
}
