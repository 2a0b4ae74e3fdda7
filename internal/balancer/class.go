package balancer

import "time"

// This file estimates, for each class of request, its latency, the share that is answered in time, and the value of an answer.

const (
	meanLatencyWeight = 0.05 // of one answer in the mean latency
	minWindowSamples  = 16   // least number of answers whose mean moves the base latency; a rate window must have passed as well
	skippedWindows    = 1    // number of first windows that no limit is based on
	baseLatencyFall   = 0.3  // part of the difference by which base and usual latency move towards a lower mean
	baseLatencyRise   = 0.02 // the same towards a higher mean, for the base latency: small, so that overload does not become the norm
	usualLatencyRise  = 0.08 // the same towards a higher mean, for the usual latency

	initialTailRatio = 6.0  // initial estimate of the tail latency, in mean latencies
	tailQuantile     = 0.01 // share of the answers that take longer than the tail latency
	tailStep         = 0.3  // how far one slow answer raises the estimate, in mean latencies

	classHistoryRequests = 100 // requests of a class after which the counts of all classes are halved
	minClassRequests     = 5   // least number of requests with which a class may be the worst-served one
)

// latencyEstimate is the estimated latency of a class, in seconds.
type latencyEstimate struct {
	mean      float64 // smoothed; 0 before the first answer
	base      float64 // at low load
	usual     float64 // at the usual load: the pressure is measured against it
	tailRatio float64 // the tail latency, in mean latencies

	windowSum     float64 // sum of the latencies in the current window
	windowSamples int     // number of the latencies in windowSum
	windowStart   time.Duration
	windows       int // number of windows that have been closed
}

// add records the latency of one answer, in seconds.
func (l *latencyEstimate) add(now, window time.Duration, latency float64) {
	if l.mean == 0 {
		l.mean = latency
		l.base = latency
	}
	// A stochastic estimate of a quantile: in equilibrium the rare slow answers raise it as much as all answers together lower
	// it.
	l.tailRatio -= tailStep * tailQuantile
	if latency > (l.tailRatio+tailStep)*l.mean {
		l.tailRatio += tailStep
	}
	l.mean += meanLatencyWeight * (latency - l.mean)
	l.windowSum += latency
	l.windowSamples++
	windowMean := l.windowSum / float64(l.windowSamples)
	if l.windows == 0 {
		l.base = windowMean
		l.usual = windowMean
	}
	if l.windowSamples >= minWindowSamples && now-l.windowStart >= window {
		l.closeWindow(windowMean)
		l.windowSum = 0
		l.windowSamples = 0
		l.windowStart = now
	}
}

// closeWindow moves the base and the usual latency towards the mean of a window. The first window is skipped, as it holds only
// the short answers of the first requests: limits derived from it would hold back nearly all requests.
func (l *latencyEstimate) closeWindow(mean float64) {
	l.windows++
	if l.windows <= skippedWindows+1 {
		l.usual = mean
		l.base = mean
		return
	}
	// The base latency follows the lowest windows, and so settles well below the mean of a lightly loaded tier. Pressure measured
	// against it held requests back at low load, hence the usual latency beside it.
	l.usual = moveToward(l.usual, mean, usualLatencyRise)
	l.base = moveToward(l.base, mean, baseLatencyRise)
}

// known reports whether the estimate is based on enough answers to derive limits from it.
func (l *latencyEstimate) known() bool { return l.windows > skippedWindows }

// tail returns the latency, in seconds, that a share of tailQuantile of the answers exceeds. It is 0 before the first answer.
func (l *latencyEstimate) tail() float64 { return l.tailRatio * l.mean }

// class is a class of request with the statistics of its requests.
type class struct {
	Class
	latency     latencyEstimate
	maxTimeLeft time.Duration // the longest remaining time that a request arrived with
	requests    float64       // number of recent requests; it is halved from time to time
	onTime      float64       // how many of the recent requests were answered within the latency target
	// marginalValue is how much the optimized value rises with one more unit of this class's work that is answered.
	marginalValue float64
}

// AddClass adds a class to those of Settings and returns its index for Request.Class. Requests of other classes are not affected.
// It returns an error, and changes nothing, for a class that New would reject.
func (b *Balancer) AddClass(c Class) (int, error) {
	key := classKey(len(b.classes))
	if err := c.checkEnums(key); err != nil {
		return 0, err
	}
	if err := checkMinimums(c.minimums(key)); err != nil {
		return 0, err
	}
	return b.addClass(c), nil
}

func (b *Balancer) addClass(c Class) int {
	b.classes = append(b.classes, &class{Class: c, latency: latencyEstimate{tailRatio: initialTailRatio}})
	return len(b.classes) - 1
}

// countRequest counts a request of a class. When the class reaches classHistoryRequests, the counts of all classes are halved, so
// that recent requests dominate.
func (b *Balancer) countRequest(c *class) {
	if c.requests++; c.requests < classHistoryRequests {
		return
	}
	for _, each := range b.classes {
		each.requests /= 2
		each.onTime /= 2
	}
}

// updateClassValues sets the marginal value of each class: its part of the total value and, for the worst-served class, the
// weight of being that. Pending requests that were sent in order of their time alone cost the class of the highest value as many
// answers as that of the lowest.
func (b *Balancer) updateClassValues() {
	totalValue, totalWork := 0.0, 0.0
	worst := b.classes[0]
	for _, c := range b.classes {
		totalValue += c.requests * c.latency.mean * b.valueDensity(c)
		totalWork += c.requests * c.latency.mean
		if c.requests >= minClassRequests && (worst.requests < minClassRequests || c.worseServedThan(worst)) {
			worst = c
		}
	}
	for _, c := range b.classes {
		c.marginalValue = 0
		if totalValue > 0 {
			c.marginalValue = b.settings.TotalValueWeight * b.valueDensity(c) * totalWork / totalValue
		}
		if work := c.requests * c.latency.mean; c == worst && work > 0 {
			c.marginalValue += b.settings.WorstClassWeight * totalWork / work
		}
	}
}

// worseServedThan reports whether a smaller share of this class's requests than of another's is answered in time. Both classes
// must have requests.
func (c *class) worseServedThan(other *class) bool {
	return c.onTime*other.requests < other.onTime*c.requests
}

// valueDensity returns the value of a class for each unit of its work, for which its mean latency stands.
func (b *Balancer) valueDensity(c *class) float64 {
	if b.settings.ValuePerWorkUnit || c.latency.mean == 0 {
		return c.Value
	}
	return c.Value / c.latency.mean
}
