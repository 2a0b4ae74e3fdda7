package balancer

import "time"

// This file estimates, for each class of request, the latency, the share of requests answered in time, and the value of an answer.

const (
	meanLatencyWeight = 0.05 // weight of one answer in the mean latency
	minWindowSamples  = 16   // minimum number of answers in a window; a window also lasts at least one rate window
	skippedWindows    = 1    // number of windows at the start that no limit is based on

	// When a window is closed, the base and the usual latency move towards its mean by these parts of the difference.
	baseLatencyFall  = 0.3  // part for both latencies, if the mean is lower
	baseLatencyRise  = 0.02 // part for the base latency, if the mean is higher; small, so that overload is not taken as normal
	usualLatencyRise = 0.08 // part for the usual latency, if the mean is higher

	initialTailRatio = 6.0  // initial estimate of the tail latency, in mean latencies
	tailQuantile     = 0.01 // share of the answers that take longer than the tail latency
	tailStep         = 0.3  // increase of the estimate with each slow answer, in mean latencies

	classHistoryRequests = 100 // requests of a class after which the counts of all classes are halved
	minClassRequests     = 5   // minimum number of requests for a class to count as the worst-served one
)

// latencyEstimate is the estimated latency of a class, in seconds.
type latencyEstimate struct {
	mean      float64 // smoothed latency; 0 before the first answer
	base      float64 // latency at low load
	usual     float64 // latency at the usual load, to which the pressure is relative
	tailRatio float64 // tail latency, in mean latencies

	windowSum     float64 // sum of the latencies in the current window
	windowSamples int     // number of latencies in windowSum
	windowStart   time.Duration
	windows       int // number of closed windows
}

// add records the latency of one answer, in seconds.
func (l *latencyEstimate) add(now, window time.Duration, latency float64) {
	if l.mean == 0 {
		l.mean = latency
		l.base = latency
	}
	// Stochastic estimate of a quantile: in equilibrium, the rare slow answers raise the estimate by as much as all answers
	// together lower it.
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

// closeWindow moves the base and the usual latency towards the mean of a window. The first window is skipped, as it contains only
// the requests that are answered first, which are the short ones: limits derived from it would delay nearly all requests.
func (l *latencyEstimate) closeWindow(mean float64) {
	l.windows++
	if l.windows <= skippedWindows+1 {
		l.usual = mean
		l.base = mean
		return
	}
	// The base latency follows the lowest windows, so it ends up well below the mean of a lightly loaded tier. Pressure relative
	// to the base latency delayed requests at low load; therefore it is relative to the usual latency.
	l.usual = moveToward(l.usual, mean, usualLatencyRise)
	l.base = moveToward(l.base, mean, baseLatencyRise)
}

// known reports whether the estimate is based on enough answers to derive limits from it.
func (l *latencyEstimate) known() bool { return l.windows > skippedWindows }

// tail returns the latency, in seconds, that a share of tailQuantile of the answers exceeds, or 0 before the first answer.
func (l *latencyEstimate) tail() float64 { return l.tailRatio * l.mean }

// class is a class of request with the statistics of its requests.
type class struct {
	Class
	latency     latencyEstimate
	maxTimeLeft time.Duration // longest remaining time of any request on arrival
	requests    float64       // number of recent requests; halved by countRequest
	onTime      float64       // number of recent requests that were answered within the latency target
	// marginalValue is the increase of the optimized value for each additional unit of this class's work that is answered.
	marginalValue float64
}

// AddClass adds a class to those of Settings and returns its index for Request.Class. Requests of other classes are not affected.
// For a class that New would reject, it returns an error and adds nothing.
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

// countRequest counts a request of a class. When a class reaches classHistoryRequests, the counts of all classes are halved, so
// that recent requests weigh most.
func (b *Balancer) countRequest(c *class) {
	if c.requests++; c.requests < classHistoryRequests {
		return
	}
	for _, each := range b.classes {
		each.requests /= 2
		each.onTime /= 2
	}
}

// updateClassValues sets the marginal value of each class: its contribution to the total value and, for the worst-served class,
// additionally the contribution of Settings.WorstClassWeight. When pending requests were sent only in order of their latest send
// time, the class of the highest value lost as many answers as the class of the lowest.
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

// worseServedThan reports whether this class has a smaller share of requests answered in time than another class. Both classes
// must have requests.
func (c *class) worseServedThan(other *class) bool {
	return c.onTime*other.requests < other.onTime*c.requests
}

// valueDensity returns the value of a class for each unit of its work. The work of a request is estimated by the mean latency.
func (b *Balancer) valueDensity(c *class) float64 {
	if b.settings.ValuePerWorkUnit || c.latency.mean == 0 {
		return c.Value
	}
	return c.Value / c.latency.mean
}
